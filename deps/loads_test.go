package deps

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/pointpass/pointpass/load"
)

// TestLoads_ThePartOutlivesTheSumForAWhile: the holder of the lease is gone, or tells late.
func TestLoads_ThePartOutlivesTheSumForAWhile(t *testing.T) {
	m := load.Model{Service: "llm", Name: "m"}
	l := newLoads(nil, nil)
	_, _, known := l.Part(m)
	must.False(t, known, must.Sprint("nothing was told"))

	now := time.Now()
	told := load.Sum{Offered: load.Offered{m: 20}, Daemons: 10, At: now.Add(-3 * time.Second)}
	l.learn(told)
	l.notePart(load.Offered{m: 2})
	l.notePart(load.Offered{m: 2})
	part, asked, known := l.Part(m)
	must.True(t, known)
	must.InDelta(t, 0.1, part, 0.001)
	must.EqOp(t, 20, asked)

	l.learn(load.Sum{Offered: load.Offered{m: 90}, Daemons: 10, At: now.Add(-4 * time.Second)})
	l.learn(load.Sum{})
	_, asked, _ = l.Part(m)
	must.EqOp(t, 20, asked, must.Sprint("older sums, and those of nobody, tell nothing"))

	told.At = now.Add(-partLife)
	l.all.Store(&told)
	_, _, known = l.Part(m)
	must.False(t, known)
}
