package deps

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/pointpass/pointpass/load"
)

// TestLoadReporter_PartOutlivesTheSum guards against losing the part as soon as sums arrive late or
// the lease holder is gone.
func TestLoadReporter_PartOutlivesTheSum(t *testing.T) {
	m := load.Model{Service: "llm", Name: "m"}
	l := newLoadReporter(nil, nil)
	_, _, ok := l.Part(m)
	must.False(t, ok, must.Sprint("no sum was received"))

	now := time.Now()
	sum := load.Sum{Offered: load.Offered{m: 20}, Daemons: 10, At: now.Add(-3 * time.Second)}
	l.applySum(sum)
	l.updatePart(load.Offered{m: 2})
	l.updatePart(load.Offered{m: 2})
	part, demand, ok := l.Part(m)
	must.True(t, ok)
	must.InDelta(t, 0.1, part, 0.001)
	must.EqOp(t, 20, demand)

	l.applySum(load.Sum{Offered: load.Offered{m: 90}, Daemons: 10, At: now.Add(-4 * time.Second)})
	l.applySum(load.Sum{})
	_, demand, _ = l.Part(m)
	must.EqOp(t, 20, demand, must.Sprint("older and empty sums are ignored"))

	sum.At = now.Add(-partTTL)
	l.total.Store(&sum)
	_, _, ok = l.Part(m)
	must.False(t, ok)
}
