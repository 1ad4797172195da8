package ramp

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/pointpass/pointpass/catalog"
	"github.com/pointpass/pointpass/quota"
	"github.com/pointpass/pointpass/workers"
)

var (
	noon   = time.Unix(1_000_000, 0)
	usage  = func(string) catalog.Cold { return catalog.Cold{Duration: 3 * time.Second, RequestsPerSecond: 18} }
	limits = Limits{Overrun: 1.5, Slack: 5}
	open   = func(string) bool { return true }
)

func second(s float64) time.Time { return noon.Add(time.Duration(s * float64(time.Second))) }

// newActive returns the ramp of daemon "x" among the given number of daemons. The daemon is
// active at the returned time.
func newActive(daemons int, b *ColdTracker) (*Ramp, time.Time) {
	r := quota.NewRoster("x", RosterMargin, quota.MaxEvidenceAge)
	rows := map[string]uint64{"x": 1}
	for i := range daemons - 1 {
		rows[fmt.Sprint("d", i)] = 1
	}
	for at := 0.0; at <= 10; at += 0.5 {
		r.Learn(quota.View{Rows: rows, Evidence: second(at)}, second(at))
	}
	return New(Options{Roster: r, Tracker: b, ColdSettings: usage, Limits: func() Limits { return limits }}), second(10)
}

func takeAll(r *Ramp, w workers.Worker, now time.Time) int {
	n := 0
	for n < 1000 && r.Take(w, now) {
		n++
	}
	r.Read(w, now)
	return n
}

func TestRamp_TakeAgreesWithRoom(t *testing.T) {
	b := newTestTracker()
	r, now := newActive(2, b)
	b.ApplyEntries([]workers.Worker{entry("b", 20*time.Second)}, nil, false, open, now)
	cold, room := r.Room(entry("b", 0), now)
	must.True(t, cold)
	must.True(t, room)
	must.EqOp(t, 15, takeAll(r, entry("b", 0), now))
	_, room = r.Room(entry("b", 0), now)
	must.False(t, room)
	must.EqOp(t, 0, takeAll(r, entry("b", 0), now.Add(countWindow+quota.MaxSendDelay)), must.Sprint("18 per second is the average rate"))
	must.EqOp(t, 15, takeAll(r, entry("b", 0), now.Add(2*time.Second)))
	taken, refused := r.Counts()
	must.EqOp(t, 30, taken)
	must.EqOp(t, 3, refused)
}

func TestRamp_WarmWorkersHaveRoom(t *testing.T) {
	r, now := newActive(2, newTestTracker())
	cold, room := r.Room(entry("a", 0), now)
	must.False(t, cold)
	must.True(t, room)
	must.EqOp(t, 1000, takeAll(r, entry("a", 0), now))
	must.EqOp(t, 1, r.Weight(entry("a", 0), now))
}

// TestRamp_AdmitsNothingBeforeTheRosterIsComplete: the daemon has just started and doesn't know
// the other daemons yet.
func TestRamp_AdmitsNothingBeforeTheRosterIsComplete(t *testing.T) {
	b := newTestTracker()
	b.ApplyEntries([]workers.Worker{entry("b", 20*time.Second)}, nil, false, open, noon)
	r := New(Options{Roster: quota.NewRoster("x", RosterMargin, quota.MaxEvidenceAge), Tracker: b, ColdSettings: usage, Limits: func() Limits { return limits }})
	must.EqOp(t, 0, takeAll(r, entry("b", 0), noon))
}

func TestRamp_AdmitsNothingAfterAWorkerTurnedCold(t *testing.T) {
	b := newTestTracker()
	r, now := newActive(2, b)
	b.ApplyEntries([]workers.Worker{entry("a", 20*time.Second)}, nil, false, open, now)
	must.EqOp(t, 0, takeAll(r, entry("a", 0), now.Add(blockAfterTransition-1)))
	must.EqOp(t, 15, takeAll(r, entry("a", 0), now.Add(blockAfterTransition)))
}

func TestRamp_WeightOfRequestsAtAColdWorker(t *testing.T) {
	b := newTestTracker()
	r, now := newActive(90, b)
	for i := range 60 {
		b.ApplyEntries([]workers.Worker{entry(fmt.Sprint("c", i), time.Second)}, nil, false, open, now)
		w := entry(fmt.Sprint("c", i), 0)
		if _, room := r.Room(w, now); room {
			must.EqOp(t, 15.0/90, r.Weight(w, now))
			must.EqOp(t, takesPerDaemon, takeAll(r, w, now))
		}
	}
}

func TestRamp_IgnoresServicesWithoutSlowStart(t *testing.T) {
	b := newTestTracker()
	b.ApplyEntries([]workers.Worker{entry("b", time.Hour)}, nil, false, open, noon)
	r := New(Options{Roster: quota.NewRoster("x", RosterMargin, quota.MaxEvidenceAge), Tracker: b, ColdSettings: func(string) catalog.Cold { return catalog.Cold{Duration: time.Second} }, Limits: func() Limits { return limits }})
	must.EqOp(t, 1000, takeAll(r, entry("b", 0), noon))
}

func TestRamp_ForgetsOldTakes(t *testing.T) {
	b := newTestTracker()
	r, now := newActive(2, b)
	b.ApplyEntries([]workers.Worker{entry("b", time.Hour)}, nil, false, open, now)
	takeAll(r, entry("b", 0), now)
	r.Forget(now.Add(maxWindow))
	must.EqOp(t, 1, r.ledger.Len())
	r.Forget(now.Add(maxWindow + 1))
	must.EqOp(t, 0, r.ledger.Len())
}

func benchmark(b *testing.B, daemons int, use func(r *Ramp, w workers.Worker, now time.Time)) {
	tracker := newTestTracker()
	r, now := newActive(daemons, tracker)
	tracker.ApplyEntries([]workers.Worker{entry("b", time.Hour)}, nil, false, open, now)
	for b.Loop() {
		use(r, entry("b", 0), now)
	}
}

func BenchmarkRamp(b *testing.B) {
	for _, n := range []int{90, 300} {
		b.Run(fmt.Sprint("Take/", n), func(b *testing.B) {
			benchmark(b, n, func(r *Ramp, w workers.Worker, now time.Time) { r.Take(w, now) })
		})
		b.Run(fmt.Sprint("Room/", n), func(b *testing.B) {
			benchmark(b, n, func(r *Ramp, w workers.Worker, now time.Time) { r.Room(w, now) })
		})
	}
	b.Run("warm", func(b *testing.B) {
		benchmark(b, 90, func(r *Ramp, w workers.Worker, now time.Time) { r.Room(entry("a", 0), now) })
	})
}

// TestRamp_ImpossibleRate guards against a panic in each request to a cold worker because of a rate in the configuration
// that is above every integer. A rate below 0 limits nothing, as one of 0.
func TestRamp_ImpossibleRate(t *testing.T) {
	for _, rate := range []float64{1e308, -1e308, 1e18, -100} {
		b := newTestTracker()
		r, now := newActive(2, b)
		r.opts.ColdSettings = func(string) catalog.Cold {
			return catalog.Cold{Duration: 3 * time.Second, RequestsPerSecond: rate}
		}
		b.ApplyEntries([]workers.Worker{entry("b", 20*time.Second)}, nil, false, open, now)
		must.True(t, r.Take(entry("b", 0), now), must.Sprint(rate))
	}
}
