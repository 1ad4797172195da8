package conns

import (
	"errors"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// conn is a connection of a pool.
type conn struct {
	addr string
	cc   *http.ClientConn
	raw  *countedConn
	// kept is set once the connection has been idle in the pool.
	kept bool
	// lifetime is how long it may be idle, as of its last response, and timer ends that.
	lifetime time.Duration
	timer    *time.Timer
}

// countedConn counts the bytes of a connection.
type countedConn struct {
	net.Conn
	read, written atomic.Int64
	// ended is set once the other side has ended the connection.
	ended atomic.Bool
	// head meters the head of the response that is awaited, nil if none is.
	head atomic.Pointer[headMeter]
}

type counts struct{ read, written int64 }

func (c *countedConn) counts() counts {
	return counts{read: c.read.Load(), written: c.written.Load()}
}

// Read implements net.Conn.
func (c *countedConn) Read(into []byte) (int, error) {
	n, err := c.Conn.Read(into)
	c.read.Add(int64(n))
	c.noteEnd(err)
	if head := c.head.Load(); head != nil {
		if refused := head.add(into[:n]); refused != nil {
			return 0, refused
		}
	}
	return n, err
}

// Write implements net.Conn. Its bytes count as written from its start: they may reach the other side before it
// returns.
func (c *countedConn) Write(data []byte) (int, error) {
	c.written.Add(int64(len(data)))
	n, err := c.Conn.Write(data)
	c.written.Add(int64(n - len(data)))
	c.noteEnd(err)
	return n, err
}

// noteEnd records whether an error says that the other side has ended the connection.
func (c *countedConn) noteEnd(err error) {
	if errors.Is(err, io.EOF) || errors.Is(err, syscall.ECONNRESET) || errors.Is(err, syscall.EPIPE) {
		c.ended.Store(true)
	}
}

// keepAliveMargin is how long before the end that a server names for idle connections one is closed, so
// that no request crosses the server's close.
const keepAliveMargin = 500 * time.Millisecond

// idleLifetime returns how long a connection may be idle after a response.
func (p *Pool) idleLifetime(h http.Header) time.Duration {
	lifetime := p.opts.IdleTimeout
	for _, values := range h["Keep-Alive"] {
		for parameter := range strings.SplitSeq(values, ",") {
			text, found := strings.CutPrefix(strings.ToLower(strings.TrimSpace(parameter)), "timeout=")
			seconds, err := strconv.Atoi(text)
			if found && err == nil && seconds >= 0 {
				lifetime = min(lifetime, time.Duration(min(seconds, maxKeepAliveSeconds))*time.Second-keepAliveMargin)
			}
		}
	}
	return lifetime
}

// maxKeepAliveSeconds bounds the seconds that a server names.
const maxKeepAliveSeconds = 3600

// returnAfter returns a connection to the pool once the body of its response was read to its end.
func (p *Pool) returnAfter(c *conn, resp *http.Response) {
	c.lifetime = p.idleLifetime(resp.Header)
	if resp.Body == http.NoBody {
		p.settle(c)
		return
	}
	resp.Body = &body{ReadCloser: resp.Body, settle: sync.OnceFunc(func() { p.settle(c) })}
}

// settle keeps a connection whose response has ended if another request may be sent on it.
func (p *Pool) settle(c *conn) {
	if c.cc.Available() == 0 {
		c.cc.Close()
		return
	}
	p.put(c)
}

// body is the body of a response whose end settles its connection.
type body struct {
	io.ReadCloser
	settle func()
}

// Read implements io.Reader.
func (b *body) Read(into []byte) (int, error) {
	n, err := b.ReadCloser.Read(into)
	if errors.Is(err, io.EOF) {
		b.settle()
	}
	return n, err
}

// Close implements io.Closer. The connection of a body that wasn't read to its end is closed.
func (b *body) Close() error {
	err := b.ReadCloser.Close()
	b.settle()
	return err
}
