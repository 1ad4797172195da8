// Package conns sends HTTP/1.1 requests on kept connections. Unlike http.Transport it never sends a
// request again by itself if a connection ends: only its caller knows whether the request may run
// twice, and counts its sendings.
package conns

import (
	"context"
	"errors"
	"net"
	"net/http"
	"slices"
	"sync"
	"time"
)

// Options are the limits of a pool.
type Options struct {
	Dialer *net.Dialer
	// MaxIdle is how many idle connections are kept per address, and IdleTimeout how long.
	MaxIdle     int
	IdleTimeout time.Duration
	// MaxHeaderBytes bounds the head of a response, interim responses included.
	MaxHeaderBytes int64
	// BufferSize is the size of a connection's read and write buffers in bytes, 0 for the default.
	BufferSize int
}

// Pool keeps idle connections by address. It is safe for concurrent use.
type Pool struct {
	opts      Options
	transport *http.Transport

	mu sync.Mutex
	// idle holds the idle connections of each address, the newest last.
	idle map[string][]*conn
	// waiting holds the requests of each address that wait for a connection, the oldest first.
	waiting map[string][]chan *conn
	losses  losses
	closed  bool
}

// New returns a pool, and a function that closes it with its idle connections.
func New(opts Options) (*Pool, func()) {
	p := &Pool{opts: opts, idle: map[string][]*conn{}, waiting: map[string][]chan *conn{}, losses: losses{}}
	p.transport = &http.Transport{
		DialContext:            p.dial,
		DisableCompression:     true,
		MaxResponseHeaderBytes: opts.MaxHeaderBytes,
		ReadBufferSize:         opts.BufferSize,
		WriteBufferSize:        opts.BufferSize,
	}
	return p, p.close
}

// Sending says how to send a request.
type Sending struct {
	// Fresh sends it on a new connection.
	Fresh bool
	// Started is called before the request is written, nil for none. kept reports whether the connection
	// had been used before. After an error nothing is written.
	Started func(kept bool) error
	// Head is called with the bytes and lines of the head of the response as they arrive, nil for none. An error ends
	// the connection.
	Head func(bytes, lines int) error
}

// SendError means that a request got no response.
type SendError struct {
	// Sent is set unless nothing of the request was written, so that it can't have run.
	Sent bool
	// Kept is set if the connection had been used before.
	Kept bool
	// Ended is set if the other side has ended the connection: what it hasn't read of it, it never will.
	Ended bool
	Err   error
}

// Error implements error.
func (e *SendError) Error() string { return e.Err.Error() }

// Unwrap returns the cause.
func (e *SendError) Unwrap() error { return e.Err }

// ErrNotFinal means that the status of a response isn't that of a final one.
var ErrNotFinal = errors.New("the status is not that of a final response")

// IsFinal reports whether a status is that of a final response. Servers of net/http panic at some others.
func IsFinal(status int) bool { return status >= 200 && status <= 999 }

// RoundTrip sends a request on a kept connection if there is one. It implements http.RoundTripper.
func (p *Pool) RoundTrip(req *http.Request) (*http.Response, error) { return p.Send(req, Sending{}) }

// Send sends a request once. The error is a *SendError. A connection that turns out to be closed before
// anything was written counts as no sending, and another one is used. If req.Close is set, the connection
// is not kept.
func (p *Pool) Send(req *http.Request, s Sending) (*http.Response, error) {
	for {
		c, err := p.take(req.Context(), req.URL.Host, s.Fresh || req.Close)
		if err != nil {
			return nil, &SendError{Err: err}
		}
		if s.Started != nil {
			if err := s.Started(c.kept); err != nil {
				p.giveBack(c)
				return nil, &SendError{Err: err}
			}
		}
		before := c.raw.counts()
		c.raw.expectHead(s.Head)
		resp, err := c.cc.RoundTrip(req)
		c.raw.head.Store(nil)
		if err == nil && !IsFinal(resp.StatusCode) {
			resp.Body.Close()
			c.cc.Close()
			return nil, &SendError{Sent: true, Kept: c.kept, Err: ErrNotFinal}
		}
		if err == nil {
			p.returnAfter(c, resp)
			return resp, nil
		}
		c.cc.Close()
		after := c.raw.counts()
		sent := after.written > before.written
		if sent && c.kept && after.read == before.read && req.Context().Err() == nil {
			p.recordLoss(c.addr)
		}
		if sent || !c.kept || !rewind(req) {
			return nil, &SendError{Sent: sent, Kept: c.kept, Ended: c.raw.ended.Load(), Err: err}
		}
	}
}

// rewind prepares the body of a request for being written again, and reports whether it could.
func rewind(req *http.Request) bool {
	if req.Context().Err() != nil {
		return false
	}
	if req.Body == nil || req.Body == http.NoBody {
		return true
	}
	if req.GetBody == nil {
		return false
	}
	body, err := req.GetBody()
	if err != nil {
		return false
	}
	req.Body = body
	return true
}

// take returns a connection that is reserved for one request.
func (p *Pool) take(ctx context.Context, addr string, fresh bool) (*conn, error) {
	for !fresh {
		c := p.pop(addr)
		if c == nil {
			break
		}
		if c.cc.Reserve() == nil {
			return c, nil
		}
		c.cc.Close() // the other side has closed it
	}
	if fresh {
		return p.open(ctx, addr)
	}
	return p.openOrAwait(ctx, addr)
}

// dialed is the outcome of opening a connection.
type dialed struct {
	c   *conn
	err error
}

// openOrAwait opens a connection, and returns it or one that becomes idle meanwhile: a server whose queue
// of new connections is full takes seconds to accept one.
func (p *Pool) openOrAwait(ctx context.Context, addr string) (*conn, error) {
	opened := make(chan dialed, 1)
	go func() {
		c, err := p.open(context.WithoutCancel(ctx), addr)
		opened <- dialed{c, err}
	}()
	idle := p.await(addr)
	defer p.stopAwaiting(addr, idle)
	for {
		select {
		case d := <-opened:
			return d.c, d.err
		case c := <-idle:
			if c.cc.Reserve() == nil {
				go p.keepOpened(opened)
				return c, nil
			}
			c.cc.Close()
		case <-ctx.Done():
			go p.keepOpened(opened)
			return nil, context.Cause(ctx)
		}
	}
}

// keepOpened keeps a connection that is being opened and that its request no longer needs.
func (p *Pool) keepOpened(opened <-chan dialed) {
	d := <-opened
	if d.err != nil {
		return
	}
	p.giveBack(d.c)
}

// giveBack keeps a connection that was reserved for a request that isn't sent.
func (p *Pool) giveBack(c *conn) {
	c.cc.Release()
	if !c.kept {
		c.lifetime = p.opts.IdleTimeout
	}
	p.put(c)
}

// await returns a channel that gets an idle connection to an address: one that has become idle since the caller
// looked for one, or the next one.
func (p *Pool) await(addr string) chan *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	idle := make(chan *conn, 1)
	if c := p.popLocked(addr); c != nil {
		idle <- c
		return idle
	}
	p.waiting[addr] = append(p.waiting[addr], idle)
	return idle
}

// stopAwaiting ends await. A connection that came too late is kept.
func (p *Pool) stopAwaiting(addr string, idle chan *conn) {
	p.mu.Lock()
	list := slices.DeleteFunc(p.waiting[addr], func(other chan *conn) bool { return other == idle })
	p.waiting[addr] = list
	if len(list) == 0 {
		delete(p.waiting, addr)
	}
	p.mu.Unlock()
	select {
	case c := <-idle:
		p.put(c)
	default:
	}
}

// pop removes the newest idle connection of an address from the pool, nil if there is none.
func (p *Pool) pop(addr string) *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.popLocked(addr)
}

// popLocked is pop for a caller that holds the lock.
func (p *Pool) popLocked(addr string) *conn {
	list := p.idle[addr]
	if len(list) == 0 {
		return nil
	}
	c := list[len(list)-1]
	p.setIdle(addr, list[:len(list)-1])
	c.timer.Stop()
	return c
}

// setIdle sets the idle connections of an address. The caller holds the lock.
func (p *Pool) setIdle(addr string, list []*conn) {
	if len(list) == 0 {
		delete(p.idle, addr)
		return
	}
	p.idle[addr] = list
}

func (p *Pool) open(ctx context.Context, addr string) (*conn, error) {
	c := &conn{addr: addr}
	cc, err := p.transport.NewClientConn(context.WithValue(ctx, dialedKey{}, c), "http", addr)
	if err != nil {
		return nil, err
	}
	c.cc = cc
	if err := cc.Reserve(); err != nil {
		cc.Close()
		return nil, err
	}
	return c, nil
}

// dialedKey is the key of the conn that a connection is opened for, in the context of its dial.
type dialedKey struct{}

func (p *Pool) dial(ctx context.Context, network, addr string) (net.Conn, error) {
	raw, err := p.opts.Dialer.DialContext(ctx, network, addr)
	if err != nil {
		return nil, err
	}
	c, ok := ctx.Value(dialedKey{}).(*conn)
	if !ok {
		raw.Close()
		return nil, errNotByPool
	}
	c.raw = &checkedConn{Conn: raw}
	return c.raw, nil
}

var errNotByPool = errors.New("conns: a connection was opened outside of the pool")

// put keeps a connection for later requests, if it may be kept.
func (p *Pool) put(c *conn) {
	if !p.keep(c) {
		c.cc.Close()
	}
}

func (p *Pool) keep(c *conn) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := p.idle[c.addr]
	if p.closed || len(list) >= p.opts.MaxIdle || c.lifetime <= 0 || p.losses.recent(c.addr, time.Now()) {
		return false
	}
	c.kept = true
	if waiting := p.waiting[c.addr]; len(waiting) > 0 {
		p.waiting[c.addr] = waiting[1:]
		waiting[0] <- c
		return true
	}
	p.idle[c.addr] = append(list, c)
	c.timer = time.AfterFunc(c.lifetime, func() { p.expire(c) })
	return true
}

// expire closes a connection that has been idle for too long.
func (p *Pool) expire(c *conn) {
	p.mu.Lock()
	list := p.idle[c.addr]
	found := false
	for i, other := range list {
		if other == c {
			p.setIdle(c.addr, append(list[:i:i], list[i+1:]...))
			found = true
			break
		}
	}
	p.mu.Unlock()
	if found {
		c.cc.Close()
	}
}

// recordLoss records that a kept connection ended under a request. The other idle ones to the address
// are likely to end as well, and for a while none is kept.
func (p *Pool) recordLoss(addr string) {
	p.mu.Lock()
	p.losses.record(addr, time.Now())
	list := p.idle[addr]
	delete(p.idle, addr)
	p.mu.Unlock()
	closeAll(list)
}

func closeAll(list []*conn) {
	for _, c := range list {
		c.timer.Stop()
		c.cc.Close()
	}
}

func (p *Pool) close() {
	p.mu.Lock()
	p.closed = true
	idle := p.idle
	p.idle = map[string][]*conn{}
	p.mu.Unlock()
	for _, list := range idle {
		closeAll(list)
	}
}
