package engine

import (
	"context"
	"errors"
	"io"
	"net"
	"testing"

	"github.com/shoenig/test/must"

	"github.com/pointpass/pointpass/common/conns/connstest"
)

// lostAnswer checks that the bytes of an engine count as a lost answer.
func lostAnswer(t *testing.T, name, text string) {
	t.Helper()
	sender, closeSender := NewSender()
	defer closeSender()
	for _, once := range []bool{false, true} {
		s := startServer(t, func(_ int, conn net.Conn) {
			io.WriteString(conn, text)
			conn.Close()
		})
		_, err := sender.Send(context.Background(), post(s.addr, once))
		var lost *LostError
		must.True(t, errors.As(err, &lost), must.Sprint(name, ": ", err))
	}
}

// TestSender_FaultyHeads guards against an answer of an engine whose head isn't HTTP.
func TestSender_FaultyHeads(t *testing.T) {
	for _, c := range connstest.FaultyHeads("X-Own: x\r\n", "body") {
		lostAnswer(t, c.Name, c.Text)
	}
}

// TestClient_FaultyHeads guards against a report of an engine whose head isn't HTTP.
func TestClient_FaultyHeads(t *testing.T) {
	client, closeClient := NewClient(nil)
	defer closeClient()
	for _, c := range connstest.FaultyHeads("", `{"vm":"v"}`) {
		_, err := client.Status(t.Context(), connstest.NewServer(t, c.Text))
		must.Error(t, err, must.Sprint(c.Name))
	}
}

// TestSender_StatusesOfNoFinalAnswer checks that an answer whose status can't be sent to a caller counts as lost.
func TestSender_StatusesOfNoFinalAnswer(t *testing.T) {
	for _, status := range []string{"000", "001", "099", "101", "-20", "+20", "200OK"} {
		lostAnswer(t, status, "HTTP/1.1 "+status+" Odd\r\nContent-Length: 4\r\n\r\nbody")
	}
}
