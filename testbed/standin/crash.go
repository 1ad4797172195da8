package standin

import (
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"
)

// CrashMoment is how far a worker gets with a request that crashes it.
type CrashMoment int

const (
	// CrashAfterHead crashes after the head of the answer and before any event.
	CrashAfterHead CrashMoment = iota
	// CrashWaiting crashes before the request's turn comes, CrashBeforeHead as it begins.
	CrashWaiting
	CrashBeforeHead
	CrashInFirstEvent
	CrashAfterFirstEvent
	// CrashAfterManyEvents crashes after all events but one.
	CrashAfterManyEvents
)

// CrashEnd is what becomes of a crashed worker's port.
type CrashEnd int

const (
	// EndRefuses closes the port at once.
	EndRefuses CrashEnd = iota
	// EndRefusesLate accepts connections and answers nothing for lateEnd, then closes the port.
	EndRefusesLate
	// EndResets resets new connections for longEnd.
	EndResets
	// EndSilent accepts connections and answers nothing for longEnd.
	EndSilent
)

const (
	lateEnd = 200 * time.Millisecond
	longEnd = 2 * time.Second
	// waitingCrashDelay is how long a request waits at a worker that it crashes before its turn.
	waitingCrashDelay = 60 * time.Millisecond
)

// Crash is how a worker crashes.
type Crash struct {
	Moment CrashMoment
	End    CrashEnd
}

// SetCrashKind sets how the worker crashes at the requests of SetCrash.
func (w *Worker) SetCrashKind(c Crash) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.crash = c
}

// runCrash handles a request at which the worker crashes.
func (w *Worker) runCrash(rw http.ResponseWriter, grouped bool) {
	w.mu.Lock()
	c := w.crash
	w.mu.Unlock()
	control := http.NewResponseController(rw)
	events := 0
	switch c.Moment {
	case CrashWaiting:
		time.Sleep(waitingCrashDelay)
		w.end(c.End)
	case CrashBeforeHead:
		w.end(c.End)
	case CrashAfterFirstEvent:
		events = 1
	case CrashAfterManyEvents:
		events = eventCount - 1
	}
	if grouped {
		rw.Header().Set("Content-Type", "text/event-stream")
	}
	rw.WriteHeader(http.StatusOK)
	control.Flush()
	time.Sleep(eventInterval)
	for i := range events {
		fmt.Fprintf(rw, "id: %d\ndata: a\n\n", i+1)
		control.Flush()
		time.Sleep(eventInterval)
	}
	if c.Moment == CrashInFirstEvent {
		fmt.Fprint(rw, "id: 1\nda")
		control.Flush()
	}
	w.end(c.End)
}

// end crashes the worker and doesn't return.
func (w *Worker) end(end CrashEnd) {
	w.mu.Lock()
	first := !w.crashed
	w.crashed = true
	onCrash := w.onCrash
	w.mu.Unlock()
	if first {
		go w.endPort(end) // asynchronous: it waits for all requests in flight, including this one
		onCrash()
	}
	panic(http.ErrAbortHandler)
}

// endPort breaks off all connections, and closes the port as end says.
func (w *Worker) endPort(end CrashEnd) {
	lasting := map[CrashEnd]time.Duration{EndRefusesLate: lateEnd, EndResets: longEnd, EndSilent: longEnd}[end]
	if lasting > 0 {
		w.port.endAnswers(end == EndResets)
		w.server.CloseClientConnections()
		select {
		case <-time.After(lasting):
		case <-w.killed:
		}
	}
	w.Kill()
}

// port is a worker's listener, which may stop to serve its connections.
type port struct {
	net.Listener

	mu sync.Mutex
	// ended is set once new connections are answered no more, resets if they are reset.
	ended, resets bool
	silent        []net.Conn
	process       standstill
}

// endAnswers makes the port reset new connections, or keep them without an answer.
func (p *port) endAnswers(resets bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.ended = true
	p.resets = resets
}

// Accept returns the next connection that is served.
func (p *port) Accept() (net.Conn, error) {
	for {
		conn, err := p.Listener.Accept()
		p.process.await()
		if err != nil {
			return nil, err
		}
		if !p.drops(conn) {
			return &heldConn{Conn: conn, process: &p.process}, nil
		}
	}
}

// drops reports whether a new connection isn't served any more.
func (p *port) drops(conn net.Conn) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.ended {
		return false
	}
	if !p.resets {
		p.silent = append(p.silent, conn)
		return true
	}
	if tcp, ok := conn.(*net.TCPConn); ok {
		tcp.SetLinger(0)
	}
	conn.Close()
	return true
}

// Close closes the port and the connections that are kept without an answer.
func (p *port) Close() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, conn := range p.silent {
		conn.Close()
	}
	return p.Listener.Close()
}
