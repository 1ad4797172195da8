// Package drain ends the connections of an HTTP server without losing requests that it has read.
// http.Server.Shutdown closes a connection as idle while a request that was just read from it is being
// parsed; its caller then gets no answer, and can't know whether the request has run.
package drain

import (
	"bytes"
	"context"
	"errors"
	"net"
	"net/http"
	"os"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pointpass/pointpass/common/tcp"
)

const (
	// pollInterval is how often connections are checked while a server drains.
	pollInterval = 20 * time.Millisecond
	// firstRequestTime is how long the first request on a connection is waited for.
	firstRequestTime = time.Second
	// maxDueTime bounds the wait for answers that are due, should handlers not end.
	maxDueTime = 5 * time.Second
)

// Tracker tracks the connections of one server. It is safe for concurrent use.
type Tracker struct {
	firstRequestTime time.Duration
	stopping         atomic.Bool

	mu    sync.Mutex
	conns map[*conn]struct{}
}

// NewTracker returns a tracker. Its Listener and its Observe must both be used by the server.
func NewTracker() *Tracker {
	return &Tracker{firstRequestTime: firstRequestTime, conns: map[*conn]struct{}{}}
}

// Listener returns a listener whose connections are tracked.
func (t *Tracker) Listener(l net.Listener) net.Listener { return &listener{Listener: l, tracker: t} }

// Observe is a ConnState function of the server.
func (t *Tracker) Observe(c net.Conn, state http.ConnState) {
	tracked, ok := c.(*conn)
	if !ok {
		return
	}
	tracked.mu.Lock()
	defer tracked.mu.Unlock()
	switch state {
	case http.StateActive:
		tracked.idle = false
		tracked.used = true
		tracked.background = false
		tracked.ended = false
		tracked.requests++
		tracked.answering = false
		tracked.answerTime = 0
	case http.StateIdle:
		tracked.idle = true
		tracked.unhandled = false
	}
}

// Stop makes handlers returned by CloseAfterAnswers ask clients to close their connections.
func (t *Tracker) Stop() { t.stopping.Store(true) }

// CloseAfterAnswers returns a handler that passes requests to next. After Stop, connections are closed after their next answer.
func (t *Tracker) CloseAfterAnswers(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if t.stopping.Load() {
			w.Header().Set("Connection", "close")
		}
		next.ServeHTTP(w, r)
	})
}

// Drain ends the connections without a request, and those with one once it is answered. It returns how many are left at the
// end.
func (t *Tracker) Drain(end *End) int { return end.await(t.endIdle) }

// AwaitAnswers waits until no request is Unanswered, or for the end.
func (t *Tracker) AwaitAnswers(end *End) { end.await(t.Unanswered) }

// End is the moment from which connections may be cut: the time for requests is over, the answers to requests that came
// before have been begun, and clients had time to read them. Time is counted in polls then: a process that gets no processor
// time makes none, and may not have begun answers that are due. Later requests don't put the end off.
type End struct {
	ctx      context.Context
	readTime time.Duration
	trackers []*Tracker
	// polled is the time counted so far, and due are the connections whose requests came before it began.
	polled time.Duration
	due    []*conn
}

// NewEnd returns the end of the connections of some trackers. The time for requests is over when ctx ends; clients have
// readTime for answers that are begun later.
func NewEnd(ctx context.Context, readTime time.Duration, trackers ...*Tracker) *End {
	return &End{ctx: ctx, readTime: readTime, trackers: trackers}
}

// await calls left until it returns 0 or the end has come, and returns the last result.
func (e *End) await(left func() int) int {
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	for {
		n := left()
		if n == 0 || e.ctx.Err() != nil && e.poll() {
			return n
		}
		select {
		case <-e.ctx.Done():
			time.Sleep(pollInterval)
		case <-ticker.C:
		}
	}
}

// poll counts a poll, and reports whether the end has come.
func (e *End) poll() bool {
	if e.polled == 0 {
		e.due = e.unanswered()
	}
	e.due = slices.DeleteFunc(e.due, func(c *conn) bool { return !c.owesAnswer(e.readTime) })
	e.polled += pollInterval
	return e.polled > maxDueTime || len(e.due) == 0 && e.polled > e.readTime
}

// unanswered returns the connections with a request that has arrived and isn't answered.
func (e *End) unanswered() []*conn {
	var list []*conn
	for _, t := range e.trackers {
		for _, c := range t.list() {
			if c.markDue() {
				list = append(list, c)
			}
		}
	}
	return list
}

// endIdle ends the connections without a request, and returns how many connections there are.
func (t *Tracker) endIdle() int {
	list := t.list()
	for _, c := range list {
		c.endIfIdle()
	}
	return len(list)
}

// Unanswered returns the number of connections with a request that was read, at least in part, and isn't answered in full
// yet, not counting requests of a Background handler.
func (t *Tracker) Unanswered() int {
	n := 0
	for _, c := range t.list() {
		if c.isUnanswered() {
			n++
		}
	}
	return n
}

// ConnContext is a ConnContext function of the server. It lets Background find the connection of a request.
func (t *Tracker) ConnContext(ctx context.Context, c net.Conn) context.Context {
	tracked, _ := c.(*conn)
	return context.WithValue(ctx, connKey{}, tracked)
}

// connKey is the context key of a request's connection.
type connKey struct{}

// Background returns a handler of requests that Unanswered doesn't count, such as long polls.
func Background(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if c, _ := r.Context().Value(connKey{}).(*conn); c != nil {
			c.mu.Lock()
			c.background = true
			c.mu.Unlock()
		}
		next.ServeHTTP(w, r)
	})
}

func (t *Tracker) list() []*conn {
	t.mu.Lock()
	defer t.mu.Unlock()
	var list []*conn
	for c := range t.conns {
		list = append(list, c)
	}
	return list
}

type listener struct {
	net.Listener
	tracker *Tracker
}

// Accept implements net.Listener.
func (l *listener) Accept() (net.Conn, error) {
	raw, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	c := &conn{Conn: raw, tracker: l.tracker, accepted: time.Now(), idle: true}
	l.tracker.mu.Lock()
	l.tracker.conns[c] = struct{}{}
	l.tracker.mu.Unlock()
	return c, nil
}

// conn is a tracked connection.
type conn struct {
	net.Conn
	tracker  *Tracker
	accepted time.Time

	mu sync.Mutex
	// idle is set while no request is being handled, and used once one was. unhandled is set if bytes of a
	// request were read since the connection became idle.
	idle, used, unhandled bool
	// ended is set while the connection is ended by endIfIdle, and closed once it is closed.
	ended, closed bool
	// background is set while a Background handler has the request.
	background bool
	// requests is the number of requests that handlers got, and due the one whose answer is waited for at the end.
	requests, due int
	// answering is set once bytes of an answer were written, and answerTime is how long that has been so, counted from
	// the end of the time for requests.
	answering  bool
	answerTime time.Duration
}

// markDue records which request is the last one that has arrived, and reports whether it isn't answered.
func (c *conn) markDue() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.due = c.requests
	if tcp.HasUnread(c.Conn) {
		c.due++
	}
	return !c.idle || c.due > c.requests
}

// owesAnswer counts a poll, and reports whether the request that is due, or the one before it, waits for the process: it
// wasn't read, its handler is yet to begin an answer, or began it less than readTime ago.
func (c *conn) owesAnswer(readTime time.Duration) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case c.closed || c.background || c.requests > c.due:
		return false
	case c.idle:
		return c.requests < c.due && tcp.HasUnread(c.Conn)
	case c.answering:
		c.answerTime += pollInterval
	}
	return c.answerTime <= readTime
}

func (c *conn) isUnanswered() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.idle {
		return c.unhandled
	}
	return !c.background
}

// NetConn returns the connection within.
func (c *conn) NetConn() net.Conn { return c.Conn }

// CloseWrite ends what is sent, so that a client which still sends can read an answer.
func (c *conn) CloseWrite() error {
	if half, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return half.CloseWrite()
	}
	return nil
}

// Read implements net.Conn. A read that endIfIdle ends has not looked for bytes that came before.
func (c *conn) Read(into []byte) (int, error) {
	n, err := c.Conn.Read(into)
	if n == 0 && errors.Is(err, os.ErrDeadlineExceeded) && c.resume() {
		n, err = c.Conn.Read(into)
	}
	if n > 0 {
		c.received()
	}
	return n, err
}

// received records that bytes were read. A connection that was ended meanwhile goes on with their request.
func (c *conn) received() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.unhandled = c.unhandled || c.idle
	if c.ended {
		c.ended = false
		c.Conn.SetReadDeadline(time.Time{})
	}
}

// resume reports whether bytes of a request have arrived on a connection that endIfIdle ends, and lets it go on then.
func (c *conn) resume() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.ended || !tcp.HasUnread(c.Conn) {
		return false
	}
	c.ended = false
	c.unhandled = true
	c.Conn.SetReadDeadline(time.Time{})
	return true
}

// interimStatus begins answers such as "100 Continue", after which the handler still owes one.
var interimStatus = []byte("HTTP/1.1 1")

// Write implements net.Conn.
func (c *conn) Write(from []byte) (int, error) {
	if !bytes.HasPrefix(from, interimStatus) {
		c.mu.Lock()
		c.answering = true
		c.mu.Unlock()
	}
	return c.Conn.Write(from)
}

// Close implements net.Conn.
func (c *conn) Close() error {
	err := c.Conn.Close() // may wait until the client has read an answer
	c.tracker.mu.Lock()
	delete(c.tracker.conns, c)
	c.tracker.mu.Unlock()
	c.mu.Lock()
	c.closed = true
	c.mu.Unlock()
	return err
}

// endIfIdle makes the server close the connection if it waits for a request. The server's own read decides:
// it either fails by its deadline, or has got bytes and goes on to handle them.
func (c *conn) endIfIdle() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.idle && !c.unhandled && (c.used || time.Since(c.accepted) > c.tracker.firstRequestTime) {
		c.ended = true
		c.Conn.SetReadDeadline(time.Unix(1, 0))
	}
}
