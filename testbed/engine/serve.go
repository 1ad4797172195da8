package engine

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/tmaxmax/go-sse"

	client "github.com/pointpass/pointpass/engine"
	"github.com/pointpass/pointpass/testbed/observed"
)

// defaultTokens is the length of answers to requests without max_tokens.
const defaultTokens = 20

// Answer returns the tokens of every engine's answer to a question. They depend on the
// question, so that a test can verify that an answer is complete and belongs to it.
func Answer(question string, tokens int) []string {
	sum := sha256.Sum256([]byte(question))
	answer := make([]string, tokens)
	for i := range answer {
		answer[i] = fmt.Sprintf("%s-%d ", hex.EncodeToString(sum[:4]), i)
	}
	return answer
}

type chatRequest struct {
	Stream    bool `json:"stream"`
	MaxTokens int  `json:"max_tokens"`
	Messages  []struct {
		Content string `json:"content"`
	} `json:"messages"`
}

func (e *Engine) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /engine/status", e.serveStatus)
	mux.HandleFunc("POST /engine/order", e.serveOrder)
	if e.opts.Plain {
		mux.HandleFunc("/", e.servePlain)
	} else {
		mux.HandleFunc("POST /v1/chat/completions", e.serveChat)
		mux.HandleFunc("GET /engine/streams/{name}", e.serveResume)
		mux.HandleFunc("DELETE /engine/streams/{name}", e.serveCancel)
	}
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		e.waitWhileFrozen()
		mux.ServeHTTP(w, r)
	})
}

func (e *Engine) serveStatus(w http.ResponseWriter, _ *http.Request) {
	json.NewEncoder(w).Encode(e.status())
}

func (e *Engine) serveOrder(w http.ResponseWriter, r *http.Request) {
	var o client.Order
	if err := json.NewDecoder(r.Body).Decode(&o); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if !e.applyOrder(o) {
		http.Error(w, "the order's epoch is over", http.StatusConflict)
	}
}

func (e *Engine) currentMembers() []string {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.members
}

// accept records the arrival of a request. It rejects the request if it is for another
// group or epoch, or if the VM's role isn't "ready".
func (e *Engine) accept(w http.ResponseWriter, r *http.Request) (*batch, bool) {
	epoch, _ := strconv.ParseUint(r.Header.Get("Engine-Epoch"), 10, 64)
	group := r.Header.Get("Engine-Group")
	e.mu.Lock()
	ready := e.group == group && e.epoch == epoch && e.role == client.Ready
	members := e.members
	b := e.batch
	e.mu.Unlock()
	e.fabric.record.AddArrival(observed.Arrival{
		VM:           e.opts.VM,
		Group:        group,
		Epoch:        epoch,
		Key:          requestKey(r),
		Time:         time.Now(),
		Complete:     ready && e.fabric.allJoined(members, group, epoch),
		LeavingSince: e.fabric.leavingSince(members),
	})
	if !ready {
		w.Header().Set("Engine-Outcome", "not-run")
		http.Error(w, "not serving this group and epoch", http.StatusConflict)
		return nil, false
	}
	return b, true
}

// requestKey returns the key under which runs of a request are recorded.
func requestKey(r *http.Request) string {
	if key := r.Header.Get("Pointpass-Key"); key != "" {
		return key
	}
	return r.Header.Get("Engine-Stream")
}

func (e *Engine) serveChat(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	var c chatRequest
	if err == nil {
		err = json.Unmarshal(body, &c)
	}
	if err != nil || len(c.Messages) == 0 {
		http.Error(w, "not a chat completion", http.StatusBadRequest)
		return
	}
	b, ok := e.accept(w, r)
	if !ok {
		return
	}
	if c.MaxTokens == 0 {
		c.MaxTokens = defaultTokens
	}
	question := c.Messages[len(c.Messages)-1].Content
	priority, _ := strconv.Atoi(r.Header.Get("Engine-Priority"))
	g := newGeneration(Answer(question, c.MaxTokens), c.Messages[0].Content, priority)
	name := r.Header.Get("Engine-Stream")
	e.fabric.record.CountRun(requestKey(r))
	b.add(name, g)
	e.writeHeaders(w, b, name)
	if c.Stream {
		writeEvents(w, r, g, 0)
		return
	}
	writeCompletion(w, g)
}

func (e *Engine) writeHeaders(w http.ResponseWriter, b *batch, name string) {
	running, waiting := b.queueLengths()
	w.Header().Set("Engine-Running", strconv.Itoa(running))
	w.Header().Set("Engine-Waiting", strconv.Itoa(waiting))
	w.Header().Set("Engine-Stream", name)
}

// writeEvents streams the answer's tokens from an offset on, and then a "[DONE]" event.
// If the generation fails, the connection is aborted without that event.
func writeEvents(w http.ResponseWriter, r *http.Request, g *generation, from int) {
	w.Header().Set("Content-Type", "text/event-stream")
	w.WriteHeader(http.StatusOK)
	control := http.NewResponseController(w)
	control.Flush()
	for n := from; ; n++ {
		token, more, complete := g.next(n)
		if !complete {
			panic(http.ErrAbortHandler)
		}
		data := "[DONE]"
		if more {
			delta, _ := json.Marshal(map[string]any{"choices": []any{map[string]any{"delta": map[string]string{"content": token}}}})
			data = string(delta)
		}
		message := sse.Message{ID: sse.ID(strconv.Itoa(n + 1))}
		message.AppendData(data)
		if _, err := message.WriteTo(w); err != nil || r.Context().Err() != nil {
			return
		}
		control.Flush()
		if !more {
			return
		}
	}
}

// writeCompletion writes the complete answer in one response.
func writeCompletion(w http.ResponseWriter, g *generation) {
	var answer strings.Builder
	for n := 0; ; n++ {
		token, more, complete := g.next(n)
		if !complete {
			panic(http.ErrAbortHandler)
		}
		if !more {
			break
		}
		answer.WriteString(token)
	}
	w.Header().Set("Content-Type", "application/json")
	json.NewEncoder(w).Encode(map[string]any{"choices": []any{map[string]any{"message": map[string]string{"content": answer.String()}}}})
}

func (e *Engine) serveResume(w http.ResponseWriter, r *http.Request) {
	from, err := strconv.Atoi(r.URL.Query().Get("from"))
	e.mu.Lock()
	b := e.batch
	e.mu.Unlock()
	g := b.find(r.PathValue("name"))
	if err != nil || from < 0 || g == nil || from > len(g.tokens)+1 {
		http.Error(w, "no such answer", http.StatusNotFound)
		return
	}
	w.Header().Set("Engine-Stream", r.PathValue("name"))
	writeEvents(w, r, g, from)
}

func (e *Engine) serveCancel(w http.ResponseWriter, r *http.Request) {
	e.mu.Lock()
	b := e.batch
	e.mu.Unlock()
	b.cancel(r.PathValue("name"))
}

// servePlain serves a call of a plain service. The query parameter "delay" delays the
// response.
func (e *Engine) servePlain(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	e.fabric.record.AddArrival(observed.Arrival{
		VM:           e.opts.VM,
		Key:          requestKey(r),
		Time:         time.Now(),
		Complete:     true,
		LeavingSince: e.fabric.leavingSince([]string{e.opts.VM}),
	})
	e.fabric.record.CountRun(requestKey(r))
	if delay, err := time.ParseDuration(r.URL.Query().Get("delay")); err == nil {
		time.Sleep(delay)
		e.waitWhileFrozen()
	}
	sum := sha256.Sum256(body)
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Engine-Stream", r.Header.Get("Engine-Stream"))
	json.NewEncoder(w).Encode(map[string]string{"vm": e.opts.VM, "path": r.URL.Path, "echo": hex.EncodeToString(sum[:8])})
}
