package engine

import (
	"context"
	"io"
	"net"
	"testing"

	"github.com/shoenig/test/must"

	"github.com/pointpass/pointpass/common/conns/connstest"
)

// TestSender_HeadsThatBreakOff guards against an answer of an engine that ends within its head and passes for a whole
// one.
func TestSender_HeadsThatBreakOff(t *testing.T) {
	for _, c := range connstest.CutHeads("X-Own: x\r\n") {
		for _, once := range []bool{false, true} {
			s := startServer(t, func(_ int, conn net.Conn) {
				io.WriteString(conn, c.Text)
				conn.Close()
			})
			sender, closeSender := NewSender()
			reply, err := sender.Send(context.Background(), post(s.addr, once))
			if err == nil {
				_, err = io.ReadAll(reply.Body())
				reply.Body().Close()
			}
			closeSender()
			must.Error(t, err, must.Sprint(c.Name))
			must.EqOp(t, 1, s.requests.Load())
		}
	}
}
