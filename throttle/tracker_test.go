package throttle

import (
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/phuslu/log"
	"github.com/shoenig/test/must"

	"github.com/pointpass/pointpass/workers"
)

var (
	noon       = time.Unix(43200, 0)
	testWorker = workers.Worker{ID: "w", Service: "s", StartMs: 1}
)

func newTestTracker() *Tracker {
	return NewTracker(metrics.NewSet(), &log.Logger{Level: log.PanicLevel})
}

// responseAt returns a response whose head arrived at the given time after noon, 100 ms
// after its request was sent.
func responseAt(after time.Duration, backpressure Backpressure) Answer {
	return Answer{Worker: testWorker, Backpressure: backpressure, Sent: noon.Add(after - 100*time.Millisecond), At: noon.Add(after)}
}

// TestTracker_LimitEndsOnlyByALaterSuccess guards against a limit that is ended by a
// response which says nothing about it: one to an earlier request, a failure or one with
// an unreadable header.
func TestTracker_LimitEndsOnlyByALaterSuccess(t *testing.T) {
	withLimit := responseAt(0, Backpressure{Limited: true, Rate: 2})
	for _, c := range []struct {
		name string
		next Answer
		want int
	}{
		{"set again", responseAt(time.Second, Backpressure{Limited: true, Rate: 3}), 1},
		{"a later success without it", responseAt(time.Second, Backpressure{}), 0},
		{"a success that was in flight", responseAt(50*time.Millisecond, Backpressure{}), 1},
		{"a later failure without it", responseAt(time.Second, Backpressure{Failed: true}), 1},
		{"an unreadable header", responseAt(time.Second, Backpressure{Unreadable: "x"}), 1},
	} {
		t.Run(c.name, func(t *testing.T) {
			tr := newTestTracker()
			tr.Observe(withLimit)
			tr.Observe(c.next)
			must.EqOp(t, c.want, tr.Limited())
		})
	}
}

// TestTracker_RestartClearsConstraints guards against a restarted worker that keeps the
// limit of its previous run.
func TestTracker_RestartClearsConstraints(t *testing.T) {
	tr := newTestTracker()
	tr.Observe(responseAt(0, Backpressure{Limited: true, Rate: 2}))
	restarted := responseAt(time.Second, Backpressure{Failed: true})
	restarted.Worker.StartMs = 2
	tr.Observe(restarted)
	must.EqOp(t, 0, tr.Limited())
}

// TestTracker_DropsGoneWorkers guards against state that is kept forever, and against state
// that is dropped while the entry of the worker may come back.
func TestTracker_DropsGoneWorkers(t *testing.T) {
	tr := newTestTracker()
	noneListed := func(string) bool { return false }
	tr.Observe(responseAt(0, Backpressure{Limited: true, Rate: 2}))
	tr.Prune(noneListed, noon.Add(goneRetention))
	must.EqOp(t, 1, tr.Limited())
	tr.Prune(noneListed, noon.Add(goneRetention+time.Second))
	must.EqOp(t, 0, tr.Limited())
}

// TestTracker_ListsConstraintsInForce checks the order of the list, and that ended
// constraints are left out.
func TestTracker_ListsConstraintsInForce(t *testing.T) {
	tr := newTestTracker()
	for id, backpressure := range map[string]Backpressure{"c": {Leaving: true}, "a": {Limited: true, Rate: 2}, "b": {Pause: time.Second}, "d": {Unreadable: "x"}} {
		a := responseAt(0, backpressure)
		a.Worker.ID = id
		tr.Observe(a)
	}
	must.Eq(t, []WorkerConstraints{
		{Worker: "a", Service: "s", Rate: 2, LimitedSince: noon},
		{Worker: "b", Service: "s", PausedUntil: noon.Add(time.Second)},
		{Worker: "c", Service: "s", LeavingSince: noon},
	}, tr.Constrained(noon))
	must.EqOp(t, 1, tr.paused(noon))
	must.EqOp(t, 0, tr.paused(noon.Add(time.Second)))
	must.Len(t, 2, tr.Constrained(noon.Add(time.Second)))
}
