package throttle

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/pointpass/pointpass/quota"
	"github.com/pointpass/pointpass/workers"
)

// rowsOf returns the rows of the given number of daemons.
func rowsOf(daemons int) map[string]uint64 {
	rows := map[string]uint64{}
	for i := range daemons {
		rows[fmt.Sprint("d", i)] = 1
	}
	return rows
}

// newActive returns the throttles of active daemons that know each other, and the present
// time.
func newActive(daemons int) ([]*Throttle, time.Time) {
	var all []*Throttle
	rows := rowsOf(daemons)
	now := noon.Add(2*quota.MaxEvidenceAge + rosterMargin)
	for i := range daemons {
		t := New(fmt.Sprint("d", i), newTestTracker())
		for at := noon; !at.After(now); at = at.Add(time.Second) {
			t.LearnDaemons(quota.View{Rows: rows, Evidence: at}, at)
		}
		all = append(all, t)
	}
	return all, now
}

// observeLimit passes a throttle a limit in the response to a request sent at the given
// time.
func observeLimit(t *Throttle, rate float64, sent time.Time) {
	t.Observe(Answer{Worker: testWorker, Backpressure: Backpressure{Limited: true, Rate: rate}, Sent: sent, At: sent.Add(time.Millisecond)})
}

// TestThrottle_AllDaemonsTogetherKeepTheLimit guards against daemons that together exceed
// or waste a limit. All send as much as they may: on average that must be about the limit,
// and in no window more than the platform allows.
func TestThrottle_AllDaemonsTogetherKeepTheLimit(t *testing.T) {
	const (
		step     = 20 * time.Millisecond
		observed = 2 * time.Minute
	)
	for _, daemons := range []int{1, 3, 9, 40} {
		for _, rate := range []float64{0.3, 1, 1.4, 30} {
			t.Run(fmt.Sprint(daemons, " daemons, ", rate, " a second"), func(t *testing.T) {
				all, now := newActive(daemons)
				for _, d := range all {
					observeLimit(d, rate, now)
				}
				end := now.Add(observed)
				var sent []time.Time
				for start := now; now.Before(end); now = now.Add(step) {
					for _, d := range all {
						if now.Sub(start)%time.Second == 0 {
							keepActive(d, daemons, now)
						}
						if d.Take(testWorker, now).Reason == Allowed {
							sent = append(sent, now)
							d.Read(testWorker, now)
						}
					}
				}
				must.LessEq(t, limitOverrun*rate*limitWindow.Seconds()+limitSlack, float64(maxWithin(sent, limitWindow)))
				must.Between(t, 0.8*rate, float64(len(sent))/observed.Seconds(), 1.1*rate)
			})
		}
	}
}

func keepActive(t *Throttle, daemons int, now time.Time) {
	t.LearnDaemons(quota.View{Rows: rowsOf(daemons), Evidence: now}, now)
}

func maxWithin(times []time.Time, span time.Duration) int {
	highest, from := 0, 0
	for i, at := range times {
		for at.Sub(times[from]) > span {
			from++
		}
		highest = max(highest, i-from+1)
	}
	return highest
}

// TestThrottle_CountsTheRequestThatRevealedTheLimit guards against nine daemons that see a
// limit at the same time and all send again at once.
func TestThrottle_CountsTheRequestThatRevealedTheLimit(t *testing.T) {
	all, now := newActive(9)
	for _, d := range all {
		observeLimit(d, 1, now)
		v := d.Check(testWorker, now.Add(time.Second))
		must.EqOp(t, Limited, v.Reason)
		must.EqOp(t, 9*time.Second, v.Until.Sub(now), must.Sprint("the verdict has the next turn of the daemon"))
		for at := now; at.Before(v.Until); at = at.Add(time.Second) {
			keepActive(d, len(all), at)
		}
		must.EqOp(t, Allowed, d.Check(testWorker, v.Until).Reason)
	}
}

// TestThrottle_SendsNothingWhileOtherDaemonsAreUnknown guards against a daemon that uses the
// limit alone because it has just started or has no recent view of the others.
func TestThrottle_SendsNothingWhileOtherDaemonsAreUnknown(t *testing.T) {
	d := New("d0", newTestTracker())
	observeLimit(d, 100, noon)
	v := d.Take(testWorker, noon.Add(time.Minute))
	must.EqOp(t, Limited, v.Reason)
	must.True(t, v.Until.IsZero())
	must.EqOp(t, Allowed, d.Take(workers.Worker{ID: "other"}, noon).Reason)
}

// TestThrottle_RetriesAWorkerWithAVeryLowLimit guards against a limit that never ends: only
// a response shows that it has ended.
func TestThrottle_RetriesAWorkerWithAVeryLowLimit(t *testing.T) {
	for _, rate := range []float64{0, 1e-300} {
		all, now := newActive(1)
		observeLimit(all[0], rate, now)
		v := all[0].Check(testWorker, now)
		must.EqOp(t, Limited, v.Reason)
		must.LessEq(t, maxInterval, v.Until.Sub(now))
	}
}

// TestThrottle_HugeLimitHasNoEffect guards against an overflow that turns a huge limit
// into a small bound.
func TestThrottle_HugeLimitHasNoEffect(t *testing.T) {
	all, now := newActive(9)
	observeLimit(all[0], 1e300, now)
	for i := range 100 {
		must.EqOp(t, Allowed, all[0].Take(testWorker, now.Add(time.Duration(i+1)*10*time.Millisecond)).Reason)
	}
}

// TestThrottle_SurplusDaemonsSendNothing guards against more daemons with a part than a
// limit has requests. The weight of those with a part accounts for the others.
func TestThrottle_SurplusDaemonsSendNothing(t *testing.T) {
	const daemons = 40
	all, now := newActive(daemons)
	senders := 0
	for _, d := range all {
		observeLimit(d, 1, now)
		must.True(t, d.Check(testWorker, now.Add(maxInterval/2)).Until.IsZero(), must.Sprint("the view of the other daemons is old"))
		if v := d.Check(testWorker, now.Add(time.Second)); !v.Until.IsZero() {
			senders++
			must.EqOp(t, 10.0/daemons, v.Weight)
		}
	}
	must.EqOp(t, 10, senders)
}

// TestThrottle_PauseAppliesToThisDaemon guards against a pause that affects other daemons or
// workers, or that outlasts its time or a restart of the worker.
func TestThrottle_PauseAppliesToThisDaemon(t *testing.T) {
	all, now := newActive(2)
	pause := Answer{Worker: testWorker, Backpressure: Backpressure{Pause: 3 * time.Second, Failed: true}, Sent: now, At: now}
	all[0].Observe(pause)
	for _, check := range []func(workers.Worker, time.Time) Verdict{all[0].Check, all[0].Take} {
		must.Eq(t, Verdict{Reason: Paused, Until: now.Add(3 * time.Second), Weight: 1}, check(testWorker, now.Add(3*time.Second-1)))
		must.EqOp(t, Allowed, check(testWorker, now.Add(3*time.Second)).Reason)
		must.EqOp(t, Allowed, check(workers.Worker{ID: testWorker.ID, StartMs: 2}, now).Reason)
		must.EqOp(t, Allowed, check(workers.Worker{ID: "other"}, now).Reason)
	}
	must.EqOp(t, Allowed, all[1].Check(testWorker, now).Reason)
}

// TestThrottle_LongestPauseApplies guards against a pause that is cut short by a later
// response: responses to requests in flight together may arrive in any order.
func TestThrottle_LongestPauseApplies(t *testing.T) {
	d := New("d0", newTestTracker())
	for _, pause := range []time.Duration{3 * time.Second, time.Second} {
		d.Observe(Answer{Worker: testWorker, Backpressure: Backpressure{Pause: pause, Failed: true}, Sent: noon, At: noon})
	}
	must.EqOp(t, Paused, d.Check(testWorker, noon.Add(2*time.Second)).Reason)
}

// TestThrottle_LeavingWorkerGetsNoRequests guards against requests to a leaving worker after
// a response that doesn't repeat it. A restart under the same id gets requests again.
func TestThrottle_LeavingWorkerGetsNoRequests(t *testing.T) {
	d := New("d0", newTestTracker())
	d.Observe(Answer{Worker: testWorker, Backpressure: Backpressure{Leaving: true}, Sent: noon, At: noon})
	d.Observe(Answer{Worker: testWorker, Sent: noon.Add(time.Second), At: noon.Add(time.Second)})
	for _, check := range []func(workers.Worker, time.Time) Verdict{d.Check, d.Take} {
		must.EqOp(t, Leaving, check(testWorker, noon.Add(time.Hour)).Reason)
		must.EqOp(t, Allowed, check(workers.Worker{ID: testWorker.ID, StartMs: 2}, noon).Reason)
	}
}

func BenchmarkJudge(b *testing.B) {
	for _, daemons := range []int{9, 984} {
		rows := rowsOf(daemons)
		d := New("d0", newTestTracker())
		now := noon
		for ; now.Before(noon.Add(2*quota.MaxEvidenceAge + rosterMargin + time.Second)); now = now.Add(time.Second) {
			d.LearnDaemons(quota.View{Rows: rows, Evidence: now}, now)
		}
		observeLimit(d, 1, now)
		b.Run(fmt.Sprint("limited/", daemons), func(b *testing.B) {
			for b.Loop() {
				d.Check(testWorker, now)
			}
		})
		b.Run(fmt.Sprint("other/", daemons), func(b *testing.B) {
			for b.Loop() {
				d.Check(workers.Worker{ID: "other"}, now)
			}
		})
	}
}
