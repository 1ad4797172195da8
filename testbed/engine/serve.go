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

// defaultTokens is how long answers are that ask for no length.
const defaultTokens = 20

// Answer returns the tokens that every engine says to a question, so that a
// test can tell the whole answer to its own question from any other.
func Answer(question string, tokens int) []string {
	sum := sha256.Sum256([]byte(question))
	said := make([]string, tokens)
	for i := range said {
		said[i] = fmt.Sprintf("%s-%d ", hex.EncodeToString(sum[:4]), i)
	}
	return said
}

type chat struct {
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
		e.awake()
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
	if !e.order(o) {
		http.Error(w, "the order's epoch is over", http.StatusConflict)
	}
}

func (e *Engine) membersNow() []string {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.members
}

// arrive notes a request, and refuses it if it isn't for this group and epoch
// or the group takes nothing new.
func (e *Engine) arrive(w http.ResponseWriter, r *http.Request) (*batch, bool) {
	epoch, _ := strconv.ParseUint(r.Header.Get("Engine-Epoch"), 10, 64)
	group := r.Header.Get("Engine-Group")
	e.mu.Lock()
	ours := e.group == group && e.epoch == epoch && e.role == client.Ready
	members := e.members
	b := e.batch
	e.mu.Unlock()
	e.fabric.record.Arrive(observed.Arrival{
		VM:      e.opts.VM,
		Group:   group,
		Epoch:   epoch,
		Key:     keyOf(r),
		Time:    time.Now(),
		Whole:   ours && e.fabric.whole(members, group, epoch),
		Leaving: e.fabric.leavingSince(members),
	})
	if !ours {
		w.Header().Set("Engine-Outcome", "not-run")
		http.Error(w, "not serving this group and epoch", http.StatusConflict)
		return nil, false
	}
	return b, true
}

func keyOf(r *http.Request) string {
	if key := r.Header.Get("Pointpass-Key"); key != "" {
		return key
	}
	return r.Header.Get("Engine-Stream")
}

func (e *Engine) serveChat(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	var c chat
	if err == nil {
		err = json.Unmarshal(body, &c)
	}
	if err != nil || len(c.Messages) == 0 {
		http.Error(w, "not a chat completion", http.StatusBadRequest)
		return
	}
	b, ok := e.arrive(w, r)
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
	e.fabric.record.Run(keyOf(r))
	b.add(name, g)
	e.writeHeaders(w, b, name)
	if c.Stream {
		writeEvents(w, r, g, 0)
		return
	}
	writeWhole(w, g)
}

func (e *Engine) writeHeaders(w http.ResponseWriter, b *batch, name string) {
	running, waiting := b.load()
	w.Header().Set("Engine-Running", strconv.Itoa(running))
	w.Header().Set("Engine-Waiting", strconv.Itoa(waiting))
	w.Header().Set("Engine-Stream", name)
}

// writeEvents streams the answer from an offset on. The end mark is an event
// of its own; a broken answer has none.
func writeEvents(w http.ResponseWriter, r *http.Request, g *generation, from int) {
	w.Header().Set("Content-Type", "text/event-stream")
	w.WriteHeader(http.StatusOK)
	control := http.NewResponseController(w)
	control.Flush()
	for n := from; ; n++ {
		token, more, whole := g.next(n)
		if !whole {
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

func writeWhole(w http.ResponseWriter, g *generation) {
	var said strings.Builder
	for n := 0; ; n++ {
		token, more, whole := g.next(n)
		if !whole {
			panic(http.ErrAbortHandler)
		}
		if !more {
			break
		}
		said.WriteString(token)
	}
	w.Header().Set("Content-Type", "application/json")
	json.NewEncoder(w).Encode(map[string]any{"choices": []any{map[string]any{"message": map[string]string{"content": said.String()}}}})
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

// servePlain runs a plain service's call. The query may ask for a delay.
func (e *Engine) servePlain(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	e.fabric.record.Arrive(observed.Arrival{
		VM:      e.opts.VM,
		Key:     keyOf(r),
		Time:    time.Now(),
		Whole:   true,
		Leaving: e.fabric.leavingSince([]string{e.opts.VM}),
	})
	e.fabric.record.Run(keyOf(r))
	if delay, err := time.ParseDuration(r.URL.Query().Get("delay")); err == nil {
		time.Sleep(delay)
		e.awake()
	}
	sum := sha256.Sum256(body)
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Engine-Stream", r.Header.Get("Engine-Stream"))
	json.NewEncoder(w).Encode(map[string]string{"vm": e.opts.VM, "path": r.URL.Path, "echo": hex.EncodeToString(sum[:8])})
}
