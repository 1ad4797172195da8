package deps

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/pointpass/pointpass/common/clock"
	"github.com/pointpass/pointpass/load"
)

// TestSurplus_OnlyWhileOthersAreKnownToHaveLess guards against callers that are turned away while no
// other daemon can take them.
func TestSurplus_OnlyWhileOthersAreKnownToHaveLess(t *testing.T) {
	m := load.Model{Service: "llm", Name: "m"}
	for _, c := range []struct {
		own     time.Duration
		daemons int
		age     time.Duration
		want    bool
	}{
		{8 * time.Second, 9, time.Second, true},
		{2 * time.Second, 9, time.Second, false},
		{8 * time.Second, 2, time.Second, false},
		{8 * time.Second, 9, maxSurplusAge + time.Second, false},
	} {
		l := &loadReporter{meter: load.NewMeter()}
		l.total.Store(&load.Sum{Offered: load.Offered{m: 9}, Daemons: c.daemons, At: clock.Now().Add(-c.age)})
		l.record(m, c.own)
		must.EqOp(t, c.want, l.hasSurplus(), must.Sprint(c))
	}
}
