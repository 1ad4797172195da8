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

// StoreFault is a way in which the store misbehaves.
type StoreFault int

const (
	// NoFault is the normal operation.
	NoFault StoreFault = iota
	// Busy answers 503 and executes nothing.
	Busy
	// Throttled answers 429 and executes nothing.
	Throttled
	// Silent sends no response until the fault ends.
	Silent
	// Reset resets connections and executes nothing.
	Reset
	// Lossy executes calls and closes the connection without a response.
	Lossy
	// Late closes the connection at once and executes writes after lateWriteDelay.
	Late
	// Slow delays each response by slowResponseTime.
	Slow
)

// String returns the fault's name.
func (f StoreFault) String() string {
	return [...]string{"sound", "busy", "many", "silent", "reset", "lossy", "late", "slow"}[f]
}

// responds reports whether calls get their response under the fault.
func (f StoreFault) responds() bool { return f == NoFault || f == Slow }

const (
	// slowResponseTime is fifty times the usual response time.
	slowResponseTime = 200 * time.Millisecond
	lateWriteDelay   = time.Second
)

// Frontend is one address of the store with its own faults, so that the store can fail for some
// daemons and serve others.
type Frontend struct {
	store  *Store
	server *httptest.Server
	fault  StoreFault // guarded by store.mu
}

// NewFrontend opens a further address of the store. It closes with the store.
func (s *Store) NewFrontend() *Frontend {
	return s.newFrontend(func(next http.HandlerFunc) http.HandlerFunc { return next })
}

// NewLinkedFrontend is like NewFrontend for daemons that reach workers by links of their own.
func (s *Store) NewLinkedFrontend(l *Links) *Frontend { return s.newFrontend(l.wrap) }

// newFrontend opens a frontend with a wrapper around reads.
func (s *Store) newFrontend(wrap func(http.HandlerFunc) http.HandlerFunc) *Frontend {
	f := &Frontend{store: s}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /rows-get", f.withFault("rows-get", wrap(s.serveRows)))
	mux.HandleFunc("GET /rows-feed", f.withFault("rows-feed", wrap(func(w http.ResponseWriter, r *http.Request) { s.serveFeed(f, w, r) })))
	mux.HandleFunc("POST /rows-tx", f.withFault("rows-tx", s.serveTransaction))
	f.server = httptest.NewServer(mux)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.frontends = append(s.frontends, f)
	return f
}

// Addr returns the address at which the frontend listens.
func (f *Frontend) Addr() string { return f.server.Listener.Addr().String() }

// SetFault sets or ends a fault of this frontend alone.
func (f *Frontend) SetFault(fault StoreFault) {
	f.store.mu.Lock()
	defer f.store.mu.Unlock()
	f.fault = fault
	f.store.wake()
}

// withFault counts calls, and serves or fails them according to the frontend's current fault.
func (f *Frontend) withFault(name string, next http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		f.store.mu.Lock()
		f.store.calls[name]++
		fault := f.fault
		f.store.setEraHeader(w)
		f.store.mu.Unlock()
		switch fault {
		case Busy:
			w.WriteHeader(http.StatusServiceUnavailable)
		case Throttled:
			w.WriteHeader(http.StatusTooManyRequests)
		case Silent:
			f.store.await(r, func() bool { return f.fault != Silent })
			panic(http.ErrAbortHandler)
		case Reset:
			reset(w)
		case Lossy:
			next(httptest.NewRecorder(), r)
			panic(http.ErrAbortHandler)
		case Late:
			if r.Method == http.MethodPost { // a read without a response has no effect
				f.runLater(next, r)
			}
			panic(http.ErrAbortHandler)
		case Slow:
			time.Sleep(slowResponseTime)
			next(w, r)
		default:
			next(w, r)
		}
	}
}

// runLater executes a call after lateWriteDelay and discards the response.
func (f *Frontend) runLater(next http.HandlerFunc, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return // the caller disconnected while it sent the body
	}
	delayed := r.Clone(context.Background())
	delayed.Body = io.NopCloser(bytes.NewReader(body))
	time.AfterFunc(lateWriteDelay, func() { next(httptest.NewRecorder(), delayed) })
}

// reset closes a connection so that the peer gets a TCP reset.
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
