package standin

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"time"
)

// Trouble is how the store misbehaves.
type Trouble int

const (
	// Sound is no trouble.
	Sound Trouble = iota
	// Busy answers 503 and does nothing.
	Busy
	// Many answers 429 and does nothing.
	Many
	// Silent answers nothing until the trouble ends.
	Silent
	// Reset resets connections and does nothing.
	Reset
	// Lossy does what it is asked and closes the connection without an answer.
	Lossy
	// Late does what it is asked a while later, and closes the connection at once.
	Late
	// Slow takes long for each answer.
	Slow
)

// String returns the trouble's name.
func (t Trouble) String() string {
	return [...]string{"sound", "busy", "many", "silent", "reset", "lossy", "late", "slow"}[t]
}

// answers tells whether calls get their answer under a trouble.
func (t Trouble) answers() bool { return t == Sound || t == Slow }

// What an answer takes under Slow, fifty times the usual, and how much later the store
// does what it is asked under Late.
const (
	slowAnswer = 200 * time.Millisecond
	lateness   = time.Second
)

// Door is an address of the store with troubles of its own: whoever comes by it may be
// turned away while others are served.
type Door struct {
	store   *Store
	server  *httptest.Server
	trouble Trouble // guarded by the store's lock
}

// NewDoor opens a further address of the store. It closes with the store.
func (s *Store) NewDoor() *Door {
	d := &Door{store: s}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /rows-get", d.faulty("rows-get", s.serveRows))
	mux.HandleFunc("GET /rows-feed", d.faulty("rows-feed", func(w http.ResponseWriter, r *http.Request) { s.serveFeed(d, w, r) }))
	mux.HandleFunc("POST /rows-tx", d.faulty("rows-tx", s.serveTxn))
	d.server = httptest.NewServer(mux)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.doors = append(s.doors, d)
	return d
}

// Addr returns where the door listens.
func (d *Door) Addr() string { return d.server.Listener.Addr().String() }

// SetTrouble begins or ends a trouble of this door alone.
func (d *Door) SetTrouble(t Trouble) {
	d.store.mu.Lock()
	defer d.store.mu.Unlock()
	d.trouble = t
	d.store.wake()
}

// faulty lets calls through, or not, as the trouble of the moment has it.
func (d *Door) faulty(name string, next http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		d.store.mu.Lock()
		d.store.calls[name]++
		trouble := d.trouble
		d.store.tellEra(w)
		d.store.mu.Unlock()
		switch trouble {
		case Busy:
			w.WriteHeader(http.StatusServiceUnavailable)
		case Many:
			w.WriteHeader(http.StatusTooManyRequests)
		case Silent:
			d.store.await(r, func() bool { return d.trouble != Silent })
			panic(http.ErrAbortHandler)
		case Reset:
			reset(w)
		case Lossy:
			next(httptest.NewRecorder(), r)
			panic(http.ErrAbortHandler)
		case Late:
			if r.Method == http.MethodPost { // a read nobody hears of changes nothing
				d.later(next, r)
			}
			panic(http.ErrAbortHandler)
		case Slow:
			time.Sleep(slowAnswer)
			next(w, r)
		default:
			next(w, r)
		}
	}
}

// later has a call carried out after a while. Its caller never hears of it.
func (d *Door) later(next http.HandlerFunc, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return // the caller left in the middle of it
	}
	again := r.Clone(context.Background())
	again.Body = io.NopCloser(bytes.NewReader(body))
	time.AfterFunc(lateness, func() { next(httptest.NewRecorder(), again) })
}

// reset closes a connection so that the other side sees a reset.
func reset(w http.ResponseWriter) {
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	if tcp, ok := conn.(*net.TCPConn); ok {
		tcp.SetLinger(0)
	}
	conn.Close()
}
