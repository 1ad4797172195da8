package ramp

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/pointpass/pointpass/catalog"
	"github.com/pointpass/pointpass/workers"
)

func entry(id string, left time.Duration) workers.Worker {
	return workers.Worker{ID: id, Hall: "h1", ColdLeft: left}
}

// newTestTracker returns a tracker with one warm worker, "a".
func newTestTracker() *ColdTracker {
	b := NewColdTracker(usage)
	b.ApplyEntries([]workers.Worker{entry("a", 0)}, nil, true, open, noon)
	return b
}

func TestColdTracker_EntryDeterminesTheEnd(t *testing.T) {
	b := newTestTracker()
	becameCold := b.ApplyEntries([]workers.Worker{entry("b", 2*time.Second)}, nil, false, open, noon)
	must.Len(t, 1, becameCold)
	must.EqOp(t, ByEntry, becameCold[0].By)
	must.True(t, becameCold[0].BlockedUntil.IsZero(), must.Sprint("no request was sent to it before"))
	_, cold := b.At("a", noon)
	must.False(t, cold)
	_, cold = b.At("b", second(1.9))
	must.True(t, cold)
	must.SliceEmpty(t, b.ApplyEntries([]workers.Worker{entry("b", time.Second)}, nil, false, open, second(1.5)))
	_, cold = b.At("b", second(2.4))
	must.True(t, cold, must.Sprint("the newer entry takes precedence"))
	b.ApplyEntries([]workers.Worker{entry("b", 0)}, nil, false, open, second(2))
	_, cold = b.At("b", second(2))
	must.False(t, cold, must.Sprint("the worker reports itself warm"))
}

// TestColdTracker_BlocksAWorkerThatTurnsCold: other daemons may not have received the entry yet
// and still send requests.
func TestColdTracker_BlocksAWorkerThatTurnsCold(t *testing.T) {
	b := newTestTracker()
	becameCold := b.ApplyEntries([]workers.Worker{entry("a", 5*time.Second)}, nil, false, open, noon)
	must.EqOp(t, ByTransition, becameCold[0].By)
	must.Eq(t, noon.Add(blockAfterTransition), becameCold[0].BlockedUntil)
}

// TestColdTracker_DoesNotBlockAWorkerThatStaysCold: the worker's last entry reported an earlier
// end of its cold period.
func TestColdTracker_DoesNotBlockAWorkerThatStaysCold(t *testing.T) {
	b := newTestTracker()
	b.ApplyEntries([]workers.Worker{entry("b", time.Second)}, nil, false, open, noon)
	becameCold := b.ApplyEntries([]workers.Worker{entry("b", time.Second/10)}, nil, false, open, second(1.1))
	must.EqOp(t, ByEntry, becameCold[0].By)
	must.True(t, becameCold[0].BlockedUntil.IsZero())
}

// TestColdTracker_DoesNotBlockInAClosedHall: no requests go there in any case.
func TestColdTracker_DoesNotBlockInAClosedHall(t *testing.T) {
	b := newTestTracker()
	becameCold := b.ApplyEntries([]workers.Worker{entry("a", 5*time.Second)}, nil, false, func(string) bool { return false }, noon)
	must.True(t, becameCold[0].BlockedUntil.IsZero())
}

func TestColdTracker_OpenedHallIsCold(t *testing.T) {
	b := newTestTracker()
	b.ApplyEntries([]workers.Worker{{ID: "elsewhere", Hall: "h2"}, entry("told", time.Second)}, nil, false, open, noon)
	becameCold := b.ApplyHallOpening("h1", true, noon)
	must.Len(t, 1, becameCold, must.Sprint("one is in another hall, one has reported itself cold"))
	must.EqOp(t, "a", becameCold[0].Worker)
	must.Eq(t, second(3), becameCold[0].Until)
	must.True(t, becameCold[0].BlockedUntil.IsZero())
	b.ApplyEntries([]workers.Worker{entry("a", 0)}, nil, false, open, second(0.1))
	_, cold := b.At("a", second(0.2))
	must.True(t, cold, must.Sprint("the entry may have been written before the hall was opened"))
	b.ApplyEntries([]workers.Worker{entry("a", 5*time.Second)}, nil, false, open, second(0.5))
	_, cold = b.At("a", second(5.4))
	must.True(t, cold, must.Sprint("a later end in the worker's own entry counts"))
}

// TestColdTracker_BlocksIfTheClosingWasNotSeen: this daemon sent requests there until now.
func TestColdTracker_BlocksIfTheClosingWasNotSeen(t *testing.T) {
	becameCold := newTestTracker().ApplyHallOpening("h1", false, noon)
	must.Eq(t, noon.Add(blockAfterTransition), becameCold[0].BlockedUntil)
}

func TestColdTracker_IgnoresServicesWithoutSlowStart(t *testing.T) {
	b := NewColdTracker(func(string) catalog.Cold { return catalog.Cold{} })
	b.ApplyEntries([]workers.Worker{entry("a", 0)}, nil, true, open, noon)
	must.SliceEmpty(t, b.ApplyHallOpening("h1", true, noon))
}

func TestColdTracker_RemovesWarmWorkers(t *testing.T) {
	b := newTestTracker()
	b.ApplyEntries([]workers.Worker{entry("b", time.Second), entry("c", 2*time.Second)}, nil, false, open, noon)
	must.Len(t, 2, b.All(noon))
	must.Len(t, 1, b.RemoveExpired(second(1)))
	must.Len(t, 1, b.All(second(1)))
	must.EqOp(t, "c", b.All(second(1))[0].Worker)
}
