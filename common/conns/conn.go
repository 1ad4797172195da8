package conns

import (
	"errors"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// conn is a connection of a pool.
type conn struct {
	addr string
	cc   *http.ClientConn
	raw  *checkedConn
	// kept is set once the connection has been idle in the pool.
	kept bool
	// lifetime is how long it may be idle, as of its last response, and timer ends that.
	lifetime time.Duration
	timer    *time.Timer
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
