package conns

import (
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/shoenig/test"
	"github.com/shoenig/test/must"

	"github.com/pointpass/pointpass/common/conns/connstest"
)

func newCheckedTransport(t *testing.T) http.RoundTripper {
	base := &http.Transport{}
	t.Cleanup(base.CloseIdleConnections)
	return Checked(base)
}

// get sends a request and returns the body of the response.
func get(t *testing.T, rt http.RoundTripper, addr string) (string, error) {
	return roundTrip(t, rt, http.MethodGet, addr, nil)
}

// TestChecked_FaultyHeads guards against a response whose head isn't HTTP, on new and on kept connections.
func TestChecked_FaultyHeads(t *testing.T) {
	for _, c := range connstest.FaultyHeads("X-Own: x\r\n", "body") {
		var requests atomic.Int64
		s := newServer(t, func(int, int) string {
			if requests.Add(1) <= 2 {
				return okResponse
			}
			return c.Text
		})
		rt := newCheckedTransport(t)
		for range 2 {
			body, err := get(t, rt, s.addr)
			must.NoError(t, err)
			must.EqOp(t, "ok", body)
		}
		body, err := get(t, rt, s.addr)
		test.Error(t, err, test.Sprintf("%s: body %q", c.Name, body))
		for _, addr := range newResponseServers(t, c.Text) {
			body, err := get(t, newCheckedTransport(t), addr)
			test.Error(t, err, test.Sprintf("%s: body %q", c.Name, body))
		}
	}
}

// TestChecked_StatusesOfNoFinalResponse guards against a response whose status is that of none.
func TestChecked_StatusesOfNoFinalResponse(t *testing.T) {
	for _, status := range []string{"000", "042", "099"} {
		s := newServer(t, func(int, int) string { return "HTTP/1.1 " + status + " Odd\r\nContent-Length: 4\r\n\r\nbody" })
		_, err := get(t, newCheckedTransport(t), s.addr)
		must.ErrorIs(t, err, ErrNotFinal)
	}
}

// TestChecked_ResetsUnderUploads guards against a response without a length whose connection is reset while the request
// is being written, and that passes for a whole one.
func TestChecked_ResetsUnderUploads(t *testing.T) {
	for _, head := range unframedHeads {
		addr := newEarlyServer(t, func(conn *net.TCPConn, _ io.Reader) bool {
			io.WriteString(conn, head+earlyBody[:7])
			time.Sleep(time.Millisecond)
			conn.SetLinger(0)
			return false
		})
		rt := newCheckedTransport(t)
		for range 25 {
			body, err := upload(t, rt, addr)
			must.Error(t, err, must.Sprintf("%q: body %q", head, body))
		}
	}
}
