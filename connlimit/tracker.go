// Package connlimit bounds what clients that aren't controlled can make a server hold: connections, heads of
// requests and bodies, and the time that these take to arrive.
package connlimit

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pointpass/pointpass/common/memory"
)

// Limits bound what a client may send, and how long it may take.
type Limits struct {
	// HeadBytes is the maximum length of a request's head, HeadTimeout how long it may take to arrive.
	HeadBytes   int
	HeadTimeout time.Duration
	// IdleTimeout is how long a connection may stay open without a request.
	IdleTimeout time.Duration
}

// Reason is why a connection was closed or a request was refused.
type Reason string

// The reasons.
const (
	HeadTooLong Reason = "head_too_long"
	HeadLate    Reason = "head_late"
	BodyTooLong Reason = "body_too_long"
	BodyLate    Reason = "body_late"
	// NoMemory means that the memory for requests is used up, or that it was needed for others.
	NoMemory Reason = "no_memory"
	// MadeRoom means that a new connection took the place of one that was open for nothing, or whose client hardly read
	// its answer, and NoRoom that there was none.
	MadeRoom Reason = "made_room"
	NoRoom   Reason = "no_room"
	// Stopping means that the process stops before the request has arrived.
	Stopping Reason = "stopping"
	// idle is the usual end of a connection, which isn't reported.
	idle Reason = "idle"
)

// Reasons returns all reasons.
func Reasons() []Reason {
	return []Reason{HeadTooLong, HeadLate, BodyTooLong, BodyLate, NoMemory, MadeRoom, NoRoom, Stopping}
}

// Options are the limits of a tracker.
type Options struct {
	// Budget is the memory for heads.
	Budget *memory.Budget
	// Limits returns the limits in force, and MaxConns the maximum number of connections. Both may change.
	Limits   func() Limits
	MaxConns func() int
	// Refused is called for each connection that the tracker closes for a reason. It must not block.
	Refused func(Reason)
}

const (
	// sweepInterval is the interval between checks for connections that take too long.
	sweepInterval = 250 * time.Millisecond
	// headTimeoutSlack is added to the time of a head: a process that lacks processor time reads late.
	headTimeoutSlack = time.Second
	// overshootShare is the part of the limit, as a divisor, by which connections may exceed it while others
	// that make room for them are still being closed.
	overshootShare = 8
)

// How long a connection is left alone at least when there is no room: after the last byte of a request that arrives, while
// one arrives slowly, before the first byte, between two requests, and while an answer is hardly read: a client that reads
// 20 KB a second may take nothing until a receive buffer of 128 KiB is empty.
const (
	minStallTime  = time.Second
	minSlowTime   = 2 * time.Second
	minSilentTime = 500 * time.Millisecond
	minIdleTime   = time.Second
	minUnreadTime = 7 * time.Second
)

// minIdleShare is the part of the connections that must be idle for one of them to give way, as a divisor.
const minIdleShare = 2

// fullTime is how long new connections are closed unread after none was found that could make room.
const fullTime = 20 * time.Millisecond

// Tracker tracks the connections of one server. It is safe for concurrent use.
type Tracker struct {
	opts Options

	// expiring is how many connections are being closed.
	expiring atomic.Int64

	mu    sync.Mutex
	conns map[*conn]struct{}
	// fullUntil is until when no connection is looked for that could make room.
	fullUntil time.Time
}

// NewTracker returns a tracker. Its Listener, its Observe and its ConnContext must all be used by the server.
func NewTracker(opts Options) *Tracker {
	return &Tracker{opts: opts, conns: map[*conn]struct{}{}}
}

// Len returns the number of connections.
func (t *Tracker) Len() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.conns)
}

// Run closes connections that take too long until ctx ends.
func (t *Tracker) Run(ctx context.Context) {
	ticker := time.NewTicker(sweepInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-ticker.C:
			t.sweep(now)
		}
	}
}

// sweep closes the connections that take too long.
func (t *Tracker) sweep(now time.Time) {
	limits := t.opts.Limits()
	for _, c := range t.list() {
		c.checkTime(now, limits)
		c.checkProgress(now)
	}
	t.shrink(now)
}

// shrink closes connections that exceed a limit which was lowered.
func (t *Tracker) shrink(now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for len(t.conns)-int(t.expiring.Load()) > t.opts.MaxConns() && t.makeRoom(now) {
	}
}

func (t *Tracker) list() []*conn {
	t.mu.Lock()
	defer t.mu.Unlock()
	list := make([]*conn, 0, len(t.conns))
	for c := range t.conns {
		list = append(list, c)
	}
	return list
}

// Listener returns a listener whose connections are tracked. It closes connections unread for which there is no room.
func (t *Tracker) Listener(l net.Listener) net.Listener { return &listener{Listener: l, tracker: t} }

type listener struct {
	net.Listener
	tracker *Tracker
}

// Accept implements net.Listener.
func (l *listener) Accept() (net.Conn, error) {
	for {
		raw, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if c := l.tracker.admit(raw); c != nil {
			return c, nil
		}
		l.tracker.opts.Refused(NoRoom)
		raw.Close()
	}
}

// admit returns a tracked connection, nil if there is no room for one more.
func (t *Tracker) admit(raw net.Conn) *conn {
	now := time.Now()
	c := &conn{Conn: raw, tracker: t, since: now}
	t.mu.Lock()
	defer t.mu.Unlock()
	maxConns := t.opts.MaxConns()
	if len(t.conns) >= maxConns+max(maxConns/overshootShare, 1) {
		return nil
	}
	if len(t.conns)-int(t.expiring.Load()) >= maxConns && !t.makeRoom(now) {
		return nil
	}
	t.conns[c] = struct{}{}
	return c
}

// makeRoom closes the connection that has been open for nothing for longest: one whose request has stalled before one
// without a byte, that before one whose answer is hardly read, that before one that is idle, and that before one whose
// request arrives slowly. An idle one stays where others fill the server: it may be an ordinary client's, and they come
// anew. The caller holds the lock.
func (t *Tracker) makeRoom(now time.Time) bool {
	if now.Before(t.fullUntil) {
		return false
	}
	var victim *conn
	var most uselessness
	idle := 0
	for c := range t.conns {
		u := c.uselessness(now)
		if u.rank == idleRank {
			idle++
		}
		if u.above(most) {
			victim, most = c, u
		}
	}
	if victim == nil || most.rank == idleRank && idle < len(t.conns)/minIdleShare {
		t.fullUntil = now.Add(fullTime)
		return false
	}
	if most.rank == unreadRank {
		return victim.cutAnswer(MadeRoom)
	}
	return victim.expire(MadeRoom)
}

// remove forgets a connection.
func (t *Tracker) remove(c *conn) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.conns, c)
	if c.life.Swap(removed) == expired {
		t.expiring.Add(-1)
	}
}

// Observe is a ConnState function of the server.
func (t *Tracker) Observe(c net.Conn, state http.ConnState) {
	if tracked := trackedConn(c); tracked != nil {
		tracked.observe(state)
	}
}

// trackedConn returns the tracked connection within c, nil if there is none.
func trackedConn(c net.Conn) *conn {
	for {
		if tracked, ok := c.(*conn); ok {
			return tracked
		}
		wrapper, ok := c.(interface{ NetConn() net.Conn })
		if !ok {
			return nil
		}
		c = wrapper.NetConn()
	}
}

type connKey struct{}

// ConnContext is a ConnContext function of the server. It lets Bodies find the connection of a request.
func (t *Tracker) ConnContext(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, trackedConn(c))
}
