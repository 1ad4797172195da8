package conns

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// server answers requests on each connection by a function of the connection's and the request's number,
// from 0. An empty answer closes the connection.
type server struct {
	addr        string
	connections atomic.Int64
	requests    atomic.Int64
}

func newServer(t *testing.T, answer func(conn, request int) string) *server {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	s := &server{addr: l.Addr().String()}
	var running sync.WaitGroup
	t.Cleanup(running.Wait)
	t.Cleanup(func() { l.Close() })
	running.Go(func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			n := int(s.connections.Add(1)) - 1
			running.Go(func() { s.serve(conn, n, answer) })
		}
	})
	return s
}

func (s *server) serve(conn net.Conn, n int, answer func(conn, request int) string) {
	defer conn.Close()
	in := bufio.NewReader(conn)
	for i := 0; ; i++ {
		req, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		io.Copy(io.Discard, req.Body)
		s.requests.Add(1)
		text := answer(n, i)
		if text == "" {
			return
		}
		io.WriteString(conn, text)
	}
}

func newPool(t *testing.T) *Pool {
	p, closePool := New(Options{Dialer: &net.Dialer{Timeout: time.Second}, MaxIdle: 2, IdleTimeout: time.Minute, MaxHeaderBytes: 4 << 10})
	t.Cleanup(closePool)
	return p
}

// ask sends a request and returns the body of the response.
func ask(t *testing.T, p *Pool, addr, method string, s Sending) (string, error) {
	req, err := http.NewRequestWithContext(t.Context(), method, "http://"+addr+"/x", nil)
	must.NoError(t, err)
	resp, err := p.Send(req, s)
	if err != nil {
		return "", err
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	return string(body), err
}

const okResponse = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"

// TestPool_KeepsConnections checks that requests that follow each other share a connection, except where
// a side ends it or a new one is asked for.
func TestPool_KeepsConnections(t *testing.T) {
	for _, c := range []struct {
		response    string
		sending     Sending
		connections int64
		// dirty is set if bytes follow the response, which are read on the idle connection.
		dirty bool
	}{
		{okResponse, Sending{}, 1, false},
		{"HTTP/1.1 204 None\r\n\r\n", Sending{}, 1, false},
		{"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n", Sending{}, 1, false},
		{okResponse, Sending{Fresh: true}, 5, false},
		{"HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 2\r\n\r\nok", Sending{}, 5, false},
		{"HTTP/1.1 200 OK\r\nKeep-Alive: timeout=0\r\nContent-Length: 2\r\n\r\nok", Sending{}, 5, false},
		{"HTTP/1.1 200 OK\r\nKeep-Alive: timeout=9, max=3\r\nContent-Length: 2\r\n\r\nok", Sending{}, 1, false},
		{okResponse + "HTTP/1.1 200 OK\r\n", Sending{}, 5, true},
	} {
		s := newServer(t, func(int, int) string { return c.response })
		p := newPool(t)
		for range 5 {
			_, err := ask(t, p, s.addr, http.MethodGet, c.sending)
			must.NoError(t, err, must.Sprint(c.response))
			if c.dirty {
				p.awaitClosed(s.addr)
			}
		}
		must.EqOp(t, c.connections, s.connections.Load(), must.Sprint(c.response))
	}
}

// awaitClosed waits until the idle connections to an address are closed.
func (p *Pool) awaitClosed(addr string) {
	for {
		p.mu.Lock()
		closed := !slices.ContainsFunc(p.idle[addr], func(c *conn) bool { return c.cc.Err() == nil })
		p.mu.Unlock()
		if closed {
			return
		}
		time.Sleep(time.Millisecond)
	}
}

// TestPool_SendsOnce guards against a request that is sent again by the HTTP library when its kept
// connection ends, whatever its method and header.
func TestPool_SendsOnce(t *testing.T) {
	for _, method := range []string{http.MethodGet, http.MethodHead, http.MethodOptions, http.MethodTrace, http.MethodPost, http.MethodPut, http.MethodDelete} {
		s := newServer(t, func(_, request int) string {
			if request == 0 {
				return "HTTP/1.1 204 None\r\n\r\n"
			}
			return ""
		})
		p := newPool(t)
		_, err := ask(t, p, s.addr, method, Sending{})
		must.NoError(t, err)
		req, err := http.NewRequestWithContext(t.Context(), method, "http://"+s.addr+"/x", nil)
		must.NoError(t, err)
		req.Header.Set("Idempotency-Key", "k")
		_, err = p.Send(req, Sending{})
		var lost *SendError
		must.True(t, errors.As(err, &lost), must.Sprint(method))
		must.True(t, lost.Sent && lost.Kept, must.Sprint(method))
		must.EqOp(t, 2, s.requests.Load(), must.Sprint(method))
	}
}

// TestPool_ClosedIdleConnectionIsNoSending checks that a request whose kept connection was closed before
// it was written is sent on another one, with its whole body.
func TestPool_ClosedIdleConnectionIsNoSending(t *testing.T) {
	s := newServer(t, func(int, int) string { return okResponse })
	p := newPool(t)
	_, err := ask(t, p, s.addr, http.MethodGet, Sending{})
	must.NoError(t, err)
	p.mu.Lock()
	p.idle[s.addr][0].raw.Close() // no reservation fails before the read loop has seen it
	p.mu.Unlock()
	req, err := http.NewRequestWithContext(t.Context(), http.MethodPost, "http://"+s.addr+"/x", strings.NewReader("body"))
	must.NoError(t, err)
	resp, err := p.Send(req, Sending{})
	must.NoError(t, err)
	must.NoError(t, resp.Body.Close())
	must.EqOp(t, 2, s.requests.Load())
}

// TestPool_NothingSentWhereNobodyListens checks that a failed dial is no sending.
func TestPool_NothingSentWhereNobodyListens(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	must.NoError(t, l.Close())
	_, err = ask(t, newPool(t), l.Addr().String(), http.MethodGet, Sending{})
	var failed *SendError
	must.True(t, errors.As(err, &failed))
	must.False(t, failed.Sent)
}

// TestPool_KeepsNoConnectionsAfterALoss guards against requests that are lost one after the other on the
// kept connections of a server which ends these.
func TestPool_KeepsNoConnectionsAfterALoss(t *testing.T) {
	s := newServer(t, func(_, request int) string {
		if request == 0 {
			return okResponse
		}
		return ""
	})
	p := newPool(t)
	lost := 0
	for range 20 {
		if _, err := ask(t, p, s.addr, http.MethodGet, Sending{}); err != nil {
			lost++
		}
	}
	must.EqOp(t, 1, lost)
}

// TestPool_WaitingRequestGetsAnIdleConnection guards against a request that waits for a new connection to a
// server which accepts none for a while, though another connection to it has become idle.
func TestPool_WaitingRequestGetsAnIdleConnection(t *testing.T) {
	answer := make(chan struct{})
	s := newServer(t, func(int, int) string {
		<-answer
		return okResponse
	})
	p := newPool(t)
	dial := p.transport.DialContext
	blocked := make(chan struct{})
	p.transport.DialContext = func(ctx context.Context, network, addr string) (net.Conn, error) {
		if s.requests.Load() > 0 {
			close(blocked)
			<-t.Context().Done()
			return nil, t.Context().Err()
		}
		return dial(ctx, network, addr)
	}
	done := make(chan error, 2)
	go func() {
		_, err := ask(t, p, s.addr, http.MethodGet, Sending{})
		done <- err
	}()
	for s.requests.Load() == 0 {
		time.Sleep(time.Millisecond)
	}
	go func() {
		_, err := ask(t, p, s.addr, http.MethodGet, Sending{})
		done <- err
	}()
	<-blocked
	close(answer)
	must.NoError(t, <-done)
	must.NoError(t, <-done)
	must.EqOp(t, 1, s.connections.Load())
}

// TestPool_AwaitFindsAConnectionThatIsIdleAlready guards against a request that misses a connection which
// became idle after it had looked for one and before it waited.
func TestPool_AwaitFindsAConnectionThatIsIdleAlready(t *testing.T) {
	s := newServer(t, func(int, int) string { return okResponse })
	p := newPool(t)
	_, err := ask(t, p, s.addr, http.MethodGet, Sending{})
	must.NoError(t, err)
	idle := p.await(s.addr)
	must.EqOp(t, 1, len(idle))
	must.Nil(t, p.pop(s.addr))
	p.stopAwaiting(s.addr, idle)
	c := p.pop(s.addr)
	must.NotNil(t, c)
	c.cc.Close()
}

// TestLosses_FreshTimeGrows checks how long no connections are kept after losses.
func TestLosses_FreshTimeGrows(t *testing.T) {
	l := losses{}
	now := time.Unix(1_000_000, 0)
	for _, want := range []time.Duration{1, 2, 4, 8, 16, 16} {
		l.record("a", now)
		l.record("a", now.Add(time.Millisecond))
		must.True(t, l.recent("a", now.Add(want*time.Second-time.Millisecond)))
		now = now.Add(want * time.Second)
		must.False(t, l.recent("a", now))
	}
	now = now.Add(maxFreshTime + time.Second)
	l.record("a", now)
	must.False(t, l.recent("a", now.Add(minFreshTime)))
	for i := range maxLosses {
		l.record(fmt.Sprint(i), now)
	}
	l.record("b", now.Add(3*maxFreshTime))
	must.LessEq(t, 2, len(l))
}

// TestPool_HeadsAreBounded guards against a head or interim responses without end.
func TestPool_HeadsAreBounded(t *testing.T) {
	field := "X-Filler: " + strings.Repeat("f", 1000) + "\r\n"
	for _, response := range []string{
		"HTTP/1.1 200 OK\r\n" + strings.Repeat(field, 10) + "\r\n",
		strings.Repeat("HTTP/1.1 103 Early Hints\r\n"+field+"\r\n", 10) + okResponse,
		"HTTP/1.1 200 " + strings.Repeat("O", 10_000) + "\r\n\r\n",
	} {
		s := newServer(t, func(int, int) string { return response })
		_, err := ask(t, newPool(t), s.addr, http.MethodGet, Sending{})
		var failed *SendError
		must.True(t, errors.As(err, &failed))
	}
}

// TestPool_ConcurrentUse checks that concurrent requests get their own responses, and that no more
// connections are kept than allowed.
func TestPool_ConcurrentUse(t *testing.T) {
	s := newServer(t, func(conn, request int) string {
		if (conn+request)%7 == 6 {
			return "HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 2\r\n\r\nok"
		}
		return okResponse
	})
	p := newPool(t)
	var running sync.WaitGroup
	for range 16 {
		running.Go(func() {
			for range 50 {
				body, err := ask(t, p, s.addr, http.MethodGet, Sending{})
				must.NoError(t, err)
				must.EqOp(t, "ok", body)
			}
		})
	}
	running.Wait()
	must.EqOp(t, 800, s.requests.Load())
	p.mu.Lock()
	defer p.mu.Unlock()
	must.LessEq(t, 2, len(p.idle[s.addr]))
}
