package throttle

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// TestMergeLimits_TheNewestReportCounts guards against an older report that replaces a
// newer one, in whatever order they arrive and from whichever daemon.
func TestMergeLimits_TheNewestReportCounts(t *testing.T) {
	withLimit := func(s int) Limit {
		return Limit{Worker: "w", StartMs: 1, Rate: 2, At: noon.Add(time.Duration(s) * time.Second)}
	}
	ended := func(s int) Limit {
		l := withLimit(s)
		l.Ended = true
		return l
	}
	withStart := func(l Limit, born int64) Limit {
		l.StartMs = born
		return l
	}
	for _, c := range []struct {
		name    string
		reports []Limit
		want    int
	}{
		{"named", []Limit{withLimit(1)}, 1},
		{"set and ended", []Limit{withLimit(1), ended(2)}, 0},
		{"the end comes first", []Limit{ended(2), withLimit(1)}, 0},
		{"set again", []Limit{withLimit(1), ended(2), withLimit(3)}, 1},
		{"ended at the same time", []Limit{withLimit(1), ended(1)}, 1},
		{"a restart", []Limit{withLimit(1), withStart(ended(2), 2)}, 0},
		{"a report of a previous run", []Limit{withStart(ended(2), 2), withLimit(1)}, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			tr := newTestTracker()
			for _, l := range c.reports {
				tr.MergeLimits([]Limit{l})
			}
			must.EqOp(t, c.want, tr.Limited())
		})
	}
}

// TestMergeLimits_OrdersResponsesAndReportsByTime guards against a report that overrides a
// newer local response, and against one of a newer response elsewhere that is ignored.
func TestMergeLimits_OrdersResponsesAndReportsByTime(t *testing.T) {
	tr := newTestTracker()
	tr.Observe(responseAt(2*time.Second, Backpressure{Limited: true, Rate: 2}))
	tr.MergeLimits([]Limit{{Worker: "w", StartMs: 1, Ended: true, At: noon.Add(time.Second)}})
	must.EqOp(t, 1, tr.Limited())
	tr.MergeLimits([]Limit{{Worker: "w", StartMs: 1, Ended: true, At: noon.Add(3 * time.Second)}})
	must.EqOp(t, 0, tr.Limited())
	tr.Observe(responseAt(4*time.Second, Backpressure{Limited: true, Rate: 2}))
	must.EqOp(t, 1, tr.Limited())
}

// TestLimits_AreReportedWhileRecent guards against daemons that miss the end of a limit, and
// against old limits that are still reported.
func TestLimits_AreReportedWhileRecent(t *testing.T) {
	local, remote := newTestTracker(), newTestTracker()
	local.Observe(responseAt(0, Backpressure{Limited: true, Rate: 2}))
	remote.MergeLimits(local.Limits(noon))
	must.EqOp(t, 1, remote.Limited())
	local.Observe(responseAt(time.Second, Backpressure{}))
	remote.MergeLimits(local.Limits(noon.Add(time.Second)))
	must.EqOp(t, 0, remote.Limited())
	must.Len(t, 1, remote.Limits(noon.Add(time.Second+limitReportPeriod)), must.Sprint("a merged limit is reported too"))
	must.SliceEmpty(t, remote.Limits(noon.Add(time.Second+limitReportPeriod+1)))
}

// TestLimits_AreBounded guards against reports of unbounded size. The newest limits are
// reported.
func TestLimits_AreBounded(t *testing.T) {
	tr := newTestTracker()
	for i := range 2 * maxLimits {
		tr.MergeLimits([]Limit{{Worker: fmt.Sprint("w", i), Rate: 1, At: noon.Add(time.Duration(i) * time.Millisecond)}})
	}
	list := tr.Limits(noon)
	must.Len(t, maxLimits, list)
	must.EqOp(t, fmt.Sprint("w", 2*maxLimits-1), list[0].Worker)
}
