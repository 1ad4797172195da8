package shed

import (
	"errors"
	"io"
	"net"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

func always() bool { return true }

// served is what a simulated process did in a time: the longest delay of its queue, and the fraction of
// its processor time that it used.
type served struct {
	worst time.Duration
	used  float64
}

// simulate offers a process a load, as a fraction of what it has processor time for. The load that
// isn't turned away queues.
func simulate(g *Gate, queue *time.Duration, load float64, d time.Duration) served {
	var s served
	for range d / tick {
		taken := load * (1 - g.Share())
		s.used += min(taken, 1) / float64(d/tick)
		*queue = max(*queue+time.Duration((taken-1)*float64(tick)), 0)
		s.worst = max(s.worst, *queue)
		g.Observe(*queue)
	}
	return s
}

// TestGate_KeepsUpWithWhatItTakes guards against a daemon that reads more requests than it has
// processor time for, and serves all of them late. From the contact time after most new connections
// go to it, requests wait for a third of the shortest goal at most, and it uses half of its time.
func TestGate_KeepsUpWithWhatItTakes(t *testing.T) {
	const contact, span, maxWait, leastUsed = 3 * time.Second, 10 * time.Second, 100 * time.Millisecond, 0.5
	for _, load := range []float64{1.1, 1.2, 1.5, 2, 3, 5} {
		g := NewGate(always)
		var queue time.Duration
		simulate(g, &queue, load, contact)
		s := simulate(g, &queue, load, span)
		must.LessEq(t, maxWait, s.worst, must.Sprint(load))
		must.GreaterEq(t, leastUsed, s.used, must.Sprint(load))
	}
}

func TestGate_TurnsNothingAwayWithoutSurplusOrDelay(t *testing.T) {
	g := NewGate(func() bool { return false })
	var queue time.Duration
	simulate(g, &queue, 2, time.Second)
	must.EqOp(t, 0, g.Share())
	g, queue = NewGate(always), 0
	simulate(g, &queue, 0.9, time.Second)
	must.EqOp(t, 0, g.Share())
	g.Observe(time.Hour) // one stall
	must.EqOp(t, 0, g.Share())
}

func TestGate_AlwaysTakesSomeAndOpensAgain(t *testing.T) {
	surplus := true
	g := NewGate(func() bool { return surplus })
	for range 1000 {
		g.Observe(time.Second)
	}
	must.EqOp(t, maxShare, g.Share())
	surplus = false
	for range 100 {
		g.Observe(time.Second)
	}
	must.EqOp(t, 0, g.Share())
}

// TestGate_ClosesConnectionsUnread checks what a caller sees: its connection ends without an answer,
// or is served.
func TestGate_ClosesConnectionsUnread(t *testing.T) {
	const connections = 200
	l, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	t.Cleanup(func() { l.Close() })
	g := NewGate(always)
	g.share = maxShare
	turnedAway := 0
	gated := g.Listener(l, func() { turnedAway++ })
	accepted := make(chan struct{})
	go func() {
		defer close(accepted)
		for {
			conn, err := gated.Accept()
			if err != nil {
				return
			}
			io.WriteString(conn, "x")
			conn.Close()
		}
	}()
	served := 0
	for range connections {
		conn, err := net.Dial("tcp", l.Addr().String())
		must.NoError(t, err)
		if _, err := io.ReadFull(conn, make([]byte, 1)); err == nil {
			served++
		} else {
			must.True(t, errors.Is(err, io.EOF))
		}
		conn.Close()
	}
	l.Close()
	<-accepted
	must.EqOp(t, connections, served+turnedAway)
	must.Between(t, 1, served, connections/2)
}
