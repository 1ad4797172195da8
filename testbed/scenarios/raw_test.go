package scenarios

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"strings"
	"time"

	"github.com/rogpeppe/go-internal/testscript"
)

// cmdRaw sends a malformed or stalled request over a TCP connection to e1, and prints
// the status of the response, or "closed" if there is none: raw CASE.
func cmdRaw(ts *testscript.TestScript, _ bool, args []string) {
	s := sessionOf(ts)
	conn, err := net.Dial("tcp", s.daemon(ts, "e1").CallersAddr)
	failOn(ts, err)
	defer conn.Close()
	head := "POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer key-of-nile-1\r\nPointpass-Kind: question\r\n"
	switch args[0] {
	case "slow-header":
		fmt.Fprint(conn, "POST /v1/chat")
	case "slow-body":
		fmt.Fprint(conn, head+"Content-Length: 100\r\n\r\n{")
	case "large-header":
		fmt.Fprint(conn, head+"X: "+strings.Repeat("x", 64<<10)+"\r\n\r\n")
	case "large-body":
		fmt.Fprintf(conn, head+"Content-Length: %d\r\n\r\n", 8<<20)
		go conn.Write(make([]byte, 8<<20))
	case "garbage":
		fmt.Fprint(conn, "\x16\x03\x01 hello\r\n\r\n")
	default:
		ts.Fatalf("raw: unknown case %q", args[0])
	}
	conn.SetReadDeadline(time.Now().Add(30 * time.Second))
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		fmt.Fprintf(ts.Stdout(), "closed: %v\n", err)
		return
	}
	resp.Body.Close()
	fmt.Fprintf(ts.Stdout(), "status=%d type=%s\n", resp.StatusCode, resp.Header.Get("Content-Type"))
}
