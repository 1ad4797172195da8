// Package ask is a caller of pointpass: it sends requests as the users'
// applications do, and checks that answers are whole and its own.
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

// Request is one question to a model or call to a plain service.
type Request struct {
	Addr     string // of a daemon
	Key      string // API key
	Service  string
	Kind     string
	ID       string // idempotency key, "" for none
	Path     string // of a plain service; "" asks a model
	Context  string // what the conversation starts with
	Question string
	Tokens   int
	Stream   bool
	Deadline time.Duration
	// LastEvent resumes a stream after an event.
	LastEvent string
	// StopAfter hangs up after so many events, 0 for never.
	StopAfter int
}

// Result is what came of a request.
type Result struct {
	Status     int // 0 if there was no HTTP answer
	Outcome    string
	Detail     string
	RetryAfter time.Duration
	Node       string
	Group      string
	Replayed   bool
	// Whole tells that the answer came to its end and is the one to our own
	// question.
	Whole     bool
	Events    int
	LastEvent string
	First     time.Duration // until the first token
	Took      time.Duration
	Gaps      []time.Duration // between tokens
	Text      string
	Err       error
}

// NewClient returns an HTTP client for callers that opens as many connections
// as it needs.
func NewClient() *http.Client {
	return &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1000, DisableCompression: true}}
}

// Do sends a request once.
func Do(ctx context.Context, client *http.Client, req Request) Result {
	begun := time.Now()
	r, err := newRequest(ctx, req)
	if err != nil {
		return Result{Err: err}
	}
	resp, err := client.Do(r)
	if err != nil {
		return Result{Err: err, Took: time.Since(begun)}
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
		result.readStream(resp.Body, req, begun)
	default:
		result.readWhole(resp.Body, req)
	}
	result.Took = time.Since(begun)
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
	r.Header.Set("Authorization", "Bearer "+req.Key)
	r.Header.Set("Pointpass-Kind", req.Kind)
	r.Header.Set("Content-Type", "application/json")
	if req.ID != "" {
		r.Header.Set("Idempotency-Key", req.ID)
	}
	if req.LastEvent != "" {
		r.Header.Set("Last-Event-ID", req.LastEvent)
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
	}{req.Service, req.Stream, req.Tokens, []message{{"system", req.Context}, {"user", req.Question}}})
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
	r.Whole = r.Err == nil && answer.VM != ""
}

func (r *Result) readWhole(body io.Reader, req Request) {
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
	r.Whole = r.Text == strings.Join(engine.Answer(req.Question, req.Tokens), "")
}

func (r *Result) readStream(body io.Reader, req Request, begun time.Time) {
	last := begun
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
		r.LastEvent = event.LastEventID
		if event.Data == "[DONE]" {
			r.Whole = true
			break
		}
		now := time.Now()
		if r.Events == 0 {
			r.First = now.Sub(begun)
		} else {
			r.Gaps = append(r.Gaps, now.Sub(last))
		}
		last = now
		r.Events++
		text.WriteString(contentOf(event.Data))
		if r.Events == req.StopAfter {
			break
		}
	}
	r.Text = text.String()
	if req.LastEvent == "" {
		r.Whole = r.Whole && r.Text == strings.Join(engine.Answer(req.Question, req.Tokens), "")
	}
}

func contentOf(data string) string {
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
