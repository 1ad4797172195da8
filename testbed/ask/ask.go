// Package ask provides a caller of pointpass. It sends requests as the users'
// applications do, and verifies that each answer is complete and belongs to its request.
package ask

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/tmaxmax/go-sse"

	"github.com/pointpass/pointpass/testbed/engine"
)

// Request is a question to a model or a call to a plain service.
type Request struct {
	Addr           string // of a daemon
	APIKey         string // API key
	Service        string
	Kind           string
	IdempotencyKey string // idempotency key, "" for none
	Path           string // of a plain service; "" for a question to a model
	SystemPrompt   string // system message
	Question       string
	Tokens         int
	Stream         bool
	Deadline       time.Duration
	// LastEventID resumes a stream after the event with this ID.
	LastEventID string
	// DisconnectAfter closes the connection after this many events; 0 means never.
	DisconnectAfter int
}

// Result is the result of a request.
type Result struct {
	Status     int // 0 if there was no HTTP answer
	Outcome    string
	Detail     string
	RetryAfter time.Duration
	Node       string
	Group      string
	Replayed   bool
	// Complete reports whether the answer was received to its end and is the one to the
	// request's question. For a resumed stream only the end is checked, and for a plain
	// service that the response names a VM.
	Complete          bool
	Events            int
	LastEventID       string
	FirstTokenLatency time.Duration // time to the first token
	Took              time.Duration
	Gaps              []time.Duration // intervals between tokens
	Text              string          // the answer; of a plain service the VM that served the call
	Err               error
}

// NewClient returns an HTTP client for callers. It opens any number of connections and
// keeps up to 1000 idle ones per daemon.
func NewClient() *http.Client {
	return &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1000, DisableCompression: true}}
}

// Do sends a request once, without retries, and reads the response.
func Do(ctx context.Context, client *http.Client, req Request) Result {
	start := time.Now()
	r, err := newRequest(ctx, req)
	if err != nil {
		return Result{Err: err}
	}
	resp, err := client.Do(r)
	if err != nil {
		return Result{Err: err, Took: time.Since(start)}
	}
	defer resp.Body.Close()
	result := Result{
		Status:   resp.StatusCode,
		Outcome:  resp.Header.Get("Pointpass-Outcome"),
		Node:     resp.Header.Get("Pointpass-Node"),
		Group:    resp.Header.Get("Pointpass-Group"),
		Replayed: resp.Header.Get("Pointpass-Replayed") != "",
	}
	if seconds, err := strconv.Atoi(resp.Header.Get("Retry-After")); err == nil {
		result.RetryAfter = time.Duration(seconds) * time.Second
	}
	switch {
	case resp.StatusCode != http.StatusOK:
		result.readProblem(resp.Body)
	case req.Path != "":
		result.readPlain(resp.Body, req)
	case req.Stream:
		result.readStream(resp.Body, req, start)
	default:
		result.readCompletion(resp.Body, req)
	}
	result.Took = time.Since(start)
	return result
}

func newRequest(ctx context.Context, req Request) (*http.Request, error) {
	path := "/v1/chat/completions"
	body := []byte(req.Question)
	if req.Path != "" {
		path = "/svc/" + req.Service + req.Path
	} else {
		body = chatBody(req)
	}
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+req.Addr+path, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	r.Header.Set("Authorization", "Bearer "+req.APIKey)
	r.Header.Set("Pointpass-Kind", req.Kind)
	r.Header.Set("Content-Type", "application/json")
	if req.IdempotencyKey != "" {
		r.Header.Set("Idempotency-Key", req.IdempotencyKey)
	}
	if req.LastEventID != "" {
		r.Header.Set("Last-Event-ID", req.LastEventID)
	}
	if req.Deadline > 0 {
		r.Header.Set("Pointpass-Deadline-Ms", strconv.FormatInt(req.Deadline.Milliseconds(), 10))
	}
	return r, nil
}

func chatBody(req Request) []byte {
	type message struct {
		Role    string `json:"role"`
		Content string `json:"content"`
	}
	body, _ := json.Marshal(struct {
		Model     string    `json:"model"`
		Stream    bool      `json:"stream"`
		MaxTokens int       `json:"max_tokens"`
		Messages  []message `json:"messages"`
	}{req.Service, req.Stream, req.Tokens, []message{{"system", req.SystemPrompt}, {"user", req.Question}}})
	return body
}

func (r *Result) readProblem(body io.Reader) {
	var p struct {
		Detail  string `json:"detail"`
		Outcome string `json:"outcome"`
	}
	if err := json.NewDecoder(body).Decode(&p); err != nil {
		r.Err = err
		return
	}
	r.Detail = p.Detail
	r.Outcome = p.Outcome
}

func (r *Result) readPlain(body io.Reader, _ Request) {
	var answer struct {
		VM   string `json:"vm"`
		Echo string `json:"echo"`
	}
	r.Err = json.NewDecoder(body).Decode(&answer)
	r.Text = answer.VM
	r.Complete = r.Err == nil && answer.VM != ""
}

func (r *Result) readCompletion(body io.Reader, req Request) {
	var answer struct {
		Choices []struct {
			Message struct {
				Content string `json:"content"`
			} `json:"message"`
		} `json:"choices"`
	}
	r.Err = json.NewDecoder(body).Decode(&answer)
	if r.Err == nil && len(answer.Choices) == 1 {
		r.Text = answer.Choices[0].Message.Content
	}
	r.Complete = r.Text == strings.Join(engine.Answer(req.Question, req.Tokens), "")
}

func (r *Result) readStream(body io.Reader, req Request, start time.Time) {
	last := start
	var text strings.Builder
	for event, err := range sse.Read(body, nil) {
		if err != nil {
			r.Err = err
			break
		}
		if event.Type == "error" {
			r.readProblem(strings.NewReader(event.Data))
			r.Err = fmt.Errorf("broken off: %s", r.Detail)
			break
		}
		r.LastEventID = event.LastEventID
		if event.Data == "[DONE]" {
			r.Complete = true
			break
		}
		now := time.Now()
		if r.Events == 0 {
			r.FirstTokenLatency = now.Sub(start)
		} else {
			r.Gaps = append(r.Gaps, now.Sub(last))
		}
		last = now
		r.Events++
		text.WriteString(deltaContent(event.Data))
		if r.Events == req.DisconnectAfter {
			break
		}
	}
	r.Text = text.String()
	if req.LastEventID == "" {
		r.Complete = r.Complete && r.Text == strings.Join(engine.Answer(req.Question, req.Tokens), "")
	}
}

func deltaContent(data string) string {
	var chunk struct {
		Choices []struct {
			Delta struct {
				Content string `json:"content"`
			} `json:"delta"`
		} `json:"choices"`
	}
	if json.Unmarshal([]byte(data), &chunk) != nil || len(chunk.Choices) != 1 {
		return ""
	}
	return chunk.Choices[0].Delta.Content
}
