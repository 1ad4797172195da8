package gateway

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/VictoriaMetrics/metrics"
	"github.com/phuslu/log"
	"github.com/shoenig/test/must"

	"github.com/pointpass/pointpass/claims"
	"github.com/pointpass/pointpass/common/conns/connstest"
	"github.com/pointpass/pointpass/config"
	"github.com/pointpass/pointpass/engine"
	"github.com/pointpass/pointpass/presence"
	"github.com/pointpass/pointpass/tree"
)

// newRawEngine starts an engine that answers each request with a text and closes the connection.
func newRawEngine(t *testing.T, text string) (addr string) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	t.Cleanup(func() { l.Close() })
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer conn.Close()
				if _, err := http.ReadRequest(bufio.NewReader(conn)); err == nil {
					io.WriteString(conn, text)
				}
			}()
		}
	}()
	return l.Addr().String()
}

// TestRelay_HeadsThatBreakOff guards against an answer of an engine that ends within its head, or right after it, and
// reaches the caller as a whole one.
func TestRelay_HeadsThatBreakOff(t *testing.T) {
	cfg, err := config.Decode("e1.json", []byte(testSettings))
	must.NoError(t, err)
	sender, closeSender := engine.NewSender()
	defer closeSender()
	settle := func(claims.Settlement, *claims.Answer) {}
	for _, c := range connstest.CutHeads("Content-Type: text/event-stream\r\n") {
		for _, streamed := range []bool{false, true} {
			g := New(Options{Config: cfg, Claims: &slowClaims{settled: make(chan claims.Settlement, 2)}, Presence: nobody{}, Sender: sender, Metrics: metrics.NewSet(), Log: &log.Logger{Level: log.PanicLevel}})
			reply, err := sender.Send(t.Context(), engine.Call{Addr: newRawEngine(t, c.Text), Method: http.MethodPost, Path: "/", Once: true})
			if err != nil {
				continue // the caller gets an error
			}
			must.StrHasPrefix(t, "a whole head", c.Name)
			w := httptest.NewRecorder()
			call := &call{kind: tree.Kind{Repeatable: false}, customer: "c", key: "k", id: "r1"}
			if streamed {
				_, fault := g.relayStream(t.Context(), w, call, presence.Target{}, reply, settle)
				must.NotNil(t, fault)
				must.StrContains(t, w.Body.String(), "event: error")
				continue
			}
			answer, fault, _ := g.relayBuffered(w, call, reply, settle)
			must.Nil(t, answer)
			must.NotNil(t, fault)
			must.EqOp(t, 0, w.Body.Len())
		}
	}
}
