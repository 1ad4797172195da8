package connstest

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"
)

// NewServer starts a server that answers each request with a text and closes the connection.
func NewServer(t testing.TB, text string) (addr string) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go answer(conn, text)
		}
	}()
	return l.Addr().String()
}

func answer(conn net.Conn, text string) {
	defer conn.Close()
	r, err := http.ReadRequest(bufio.NewReader(conn))
	if err != nil {
		return
	}
	io.Copy(io.Discard, r.Body)
	io.WriteString(conn, text)
}
