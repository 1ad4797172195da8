package conns

import (
	"bufio"
	"bytes"
	"io"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/shoenig/test"
	"github.com/shoenig/test/must"
)

const (
	// uploadBytes is more than the buffers of both sides take, so that a request is still being written when it is
	// answered early.
	uploadBytes = 8 << 20
	// earlyReceiveBuffer is the receive buffer of servers that answer early.
	earlyReceiveBuffer = 64 << 10
	earlyBody          = "answer to you"
)

// newEarlyServer starts a server that answers requests before it has read their bodies, by a function that reports
// whether the connection is kept.
func newEarlyServer(t *testing.T, answer func(conn *net.TCPConn, upload io.Reader) (kept bool)) (addr string) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	var running sync.WaitGroup
	t.Cleanup(running.Wait)
	t.Cleanup(func() { l.Close() })
	running.Go(func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			running.Go(func() {
				defer conn.Close()
				tcp := conn.(*net.TCPConn)
				tcp.SetReadBuffer(earlyReceiveBuffer)
				in := bufio.NewReader(conn)
				for {
					req, err := http.ReadRequest(in)
					if err != nil || !answer(tcp, req.Body) {
						return
					}
				}
			})
		}
	})
	return l.Addr().String()
}

// upload sends a request with a long body and returns the body of the response.
func upload(t *testing.T, rt http.RoundTripper, addr string) (string, error) {
	return roundTrip(t, rt, http.MethodPost, addr, bytes.NewReader(make([]byte, uploadBytes)))
}

// roundTrip sends a request and returns the body of the response.
func roundTrip(t *testing.T, rt http.RoundTripper, method, addr string, body io.Reader) (string, error) {
	req, err := http.NewRequestWithContext(t.Context(), method, "http://"+addr+"/x", body)
	must.NoError(t, err)
	resp, err := rt.RoundTrip(req)
	if err != nil {
		return "", err
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	return string(text), err
}

// unframedHeads are heads of responses whose bodies end with their connections.
var unframedHeads = []string{
	"HTTP/1.1 200 OK\r\n\r\n",
	"HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n",
	"HTTP/1.0 200 OK\r\n\r\n",
	"HTTP/1.1 201 Created\r\nContent-Type: text/event-stream\r\n\r\n",
	"HTTP/1.1 404 Not Found\r\n\r\n",
}

// TestPool_ResetsUnderUploads guards against a response without a length whose connection is reset while the request
// is being written, and that passes for a whole one: the write gets the reset, and the read after it the end.
func TestPool_ResetsUnderUploads(t *testing.T) {
	const tries = 25
	for _, head := range unframedHeads {
		for _, c := range []struct {
			name  string
			part  string
			read  int64
			pause time.Duration
		}{
			{"at once", earlyBody[:7], 0, 0},
			{"after 1 ms", earlyBody[:7], 0, time.Millisecond},
			{"after 20 ms", earlyBody[:7], 0, 20 * time.Millisecond},
			{"after a part of the upload", earlyBody[:7], 300 << 10, time.Millisecond},
			{"after the head", "", 0, time.Millisecond},
		} {
			addr := newEarlyServer(t, func(conn *net.TCPConn, upload io.Reader) bool {
				io.CopyN(io.Discard, upload, c.read)
				io.WriteString(conn, head+c.part)
				time.Sleep(c.pause)
				conn.SetLinger(0)
				return false
			})
			p := newPool(t)
			whole := 0
			for range tries {
				if _, err := upload(t, p, addr); err == nil {
					whole++
				}
			}
			test.EqOp(t, 0, whole, test.Sprintf("%q, reset %s: of %d", head, c.name, tries))
		}
	}
}

// TestPool_EarlyResponses checks that responses which are whole before their requests were written are served: with a
// length, in chunks, and ones that end with their connection, also if that is reset later since nobody reads on.
func TestPool_EarlyResponses(t *testing.T) {
	const tries = 10
	type ending func(conn *net.TCPConn, upload io.Reader) (kept bool)
	readsOn := func(_ *net.TCPConn, upload io.Reader) bool {
		io.Copy(io.Discard, upload)
		return true
	}
	endsAndReadsOn := func(conn *net.TCPConn, upload io.Reader) bool {
		conn.CloseWrite()
		io.Copy(io.Discard, upload)
		return false
	}
	readsOnAndEnds := func(_ *net.TCPConn, upload io.Reader) bool {
		time.Sleep(5 * time.Millisecond)
		io.Copy(io.Discard, upload)
		return false
	}
	endsAndIsReset := func(conn *net.TCPConn, _ io.Reader) bool {
		conn.CloseWrite()
		time.Sleep(time.Second) // the reset comes once the end was read
		return false
	}
	const length = "HTTP/1.1 200 OK\r\nContent-Length: 13\r\n\r\n" + earlyBody
	const chunks = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nd\r\n" + earlyBody + "\r\n0\r\n\r\n"
	for _, c := range []struct {
		name, response string
		end            ending
	}{
		{"a length, reads on", length, readsOn},
		{"chunks, reads on", chunks, readsOn},
		{"no length, reads on and ends", unframedHeads[0] + earlyBody, readsOnAndEnds},
		{"no length, ends and reads on", unframedHeads[0] + earlyBody, endsAndReadsOn},
		{"no length, ends and doesn't read on", unframedHeads[0] + earlyBody, endsAndIsReset},
		{"HTTP/1.0, ends and doesn't read on", unframedHeads[2] + earlyBody, endsAndIsReset},
	} {
		addr := newEarlyServer(t, func(conn *net.TCPConn, upload io.Reader) bool {
			io.WriteString(conn, c.response)
			return c.end(conn, upload)
		})
		p := newPool(t)
		for range tries {
			body, err := upload(t, p, addr)
			must.NoError(t, err, must.Sprint(c.name))
			must.EqOp(t, earlyBody, body, must.Sprint(c.name))
		}
	}
}

// TestPool_EndsBeforeResets guards against a whole response that looks broken, or a broken one that looks whole, where
// the end and a reset of its connection follow each other: what passes for whole is whole.
func TestPool_EndsBeforeResets(t *testing.T) {
	const tries = 100
	addr := newEarlyServer(t, func(conn *net.TCPConn, _ io.Reader) bool {
		io.WriteString(conn, unframedHeads[0]+earlyBody)
		conn.CloseWrite()
		return false
	})
	p := newPool(t)
	whole := 0
	for range tries {
		body, err := upload(t, p, addr)
		if err == nil {
			must.EqOp(t, earlyBody, body)
			whole++
		}
	}
	t.Log(whole, " of ", tries, " whole")
	must.Positive(t, whole)
}
