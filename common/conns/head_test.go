package conns

import (
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"github.com/shoenig/test"
	"github.com/shoenig/test/must"

	"github.com/pointpass/pointpass/common/conns/connstest"
)

// TestHeadMeter_StopsAtTheEndOfTheHead guards against bytes of a body that count as a head, and against heads after interim
// responses that don't count, however the bytes are divided into reads.
func TestHeadMeter_StopsAtTheEndOfTheHead(t *testing.T) {
	const final = "HTTP/1.1 200 OK\r\nA: b\r\n\r\n"
	const interim = "HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n"
	for _, c := range []struct {
		head  string
		lines int
	}{
		{final, 3},
		{"HTTP/1.1 200 OK\nA: b\n\n", 3},
		{interim + final, 6},
		{interim + interim + final, 9},
		{"HTTP/1.1 204 No Content\r\n\r\n", 2},
	} {
		for _, size := range []int{1, 2, 7, 1000} {
			bytes, lines := 0, 0
			m := &headMeter{arrived: func(b, l int) error {
				bytes += b
				lines += l
				return nil
			}}
			in := strings.NewReader(c.head + "body\r\n\r\n\n")
			for in.Len() > 0 {
				part := make([]byte, size)
				n, _ := in.Read(part)
				must.NoError(t, m.add(part[:n]))
			}
			must.EqOp(t, len(c.head), bytes)
			must.EqOp(t, c.lines, lines)
		}
	}
}

// newResponseServers starts servers that write a response, at once or byte by byte, and close the connection.
func newResponseServers(t *testing.T, response string) (addrs []string) {
	for _, pieces := range []bool{false, true} {
		addrs = append(addrs, newEarlyServer(t, func(conn *net.TCPConn, upload io.Reader) bool {
			io.Copy(io.Discard, upload)
			if pieces {
				connstest.WriteInPieces(conn, response)
			} else {
				io.WriteString(conn, response)
			}
			return false
		}))
	}
	return addrs
}

// TestPool_FaultyHeads guards against a response whose head isn't HTTP, and that is taken for one without the faulty
// line or with a wrong body.
func TestPool_FaultyHeads(t *testing.T) {
	for _, c := range connstest.FaultyHeads("X-Own: x\r\n", "body") {
		for _, addr := range newResponseServers(t, c.Text) {
			body, err := ask(t, newPool(t), addr, http.MethodGet, Sending{})
			var failed *SendError
			test.True(t, errors.As(err, &failed) && failed.Sent, test.Sprintf("%s: body %q, error %v", c.Name, body, err))
		}
	}
}

// TestPool_UnusualHeads checks that heads which are HTTP, if rarely seen, are read.
func TestPool_UnusualHeads(t *testing.T) {
	for _, response := range []string{
		"HTTP/1.1 200 OK\nContent-Length: 4\n\nbody",
		"HTTP/1.1 200\r\ncontent-length:4\r\n\r\nbody",
		"HTTP/1.1 200 OK\r\nContent-Length:\t4 \t\r\nX-Empty:\r\n\r\nbody",
		"HTTP/1.1 200 OK\r\nX-Text: \xe9t\xe9 a\tb\r\n!#$%&'*+-.^_`|~09: x\r\nContent-Length: 4\r\n\r\nbody",
		"HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\nHTTP/1.1 102 Processing\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nbody",
		"HTTP/1.0 200 OK\r\nContent-Length: 4\r\n\r\nbody",
		"HTTP/1.0 103 Early Hints\r\n\r\nHTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n",
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4;x=y\r\nbody\r\n0\r\nX-Trailer: x\r\n\r\n",
	} {
		for _, addr := range newResponseServers(t, response) {
			body, err := ask(t, newPool(t), addr, http.MethodGet, Sending{Fresh: true})
			must.NoError(t, err, must.Sprintf("%q", response))
			must.EqOp(t, "body", body, must.Sprintf("%q", response))
		}
	}
}
