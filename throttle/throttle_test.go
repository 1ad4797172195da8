package throttle

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/pointpass/pointpass/quota"
	"github.com/pointpass/pointpass/workers"
)

// rowsOf returns the rows of so many daemons.
func rowsOf(daemons int) map[string]uint64 {
	rows := map[string]uint64{}
	for i := range daemons {
		rows[fmt.Sprint("d", i)] = 1
	}
	return rows
}

// newActive returns throttles of so many daemons that know each other, and the time.
func newActive(daemons int) ([]*Throttle, time.Time) {
	var all []*Throttle
	rows := rowsOf(daemons)
	now := noon.Add(2*quota.EvidenceAge + rosterMargin)
	for i := range daemons {
		t := New(fmt.Sprint("d", i), newTestBook())
		for at := noon; !at.After(now); at = at.Add(time.Second) {
			t.LearnDaemons(quota.View{Rows: rows, Evidence: at}, at)
		}
		all = append(all, t)
	}
	return all, now
}

// hear has a throttle hear of a limit in the answer to a request sent at a time.
func hear(t *Throttle, rate float64, sent time.Time) {
	t.Heard(Answer{Worker: busy, Ask: Ask{Limited: true, Rate: rate}, Sent: sent, At: sent.Add(time.Millisecond)})
}

// TestThrottle_AllDaemonsKeepTheLimitTogether: all send as much as they may. On average that
// is the limit, and no window gets more than the platform allows.
func TestThrottle_AllDaemonsKeepTheLimitTogether(t *testing.T) {
	const (
		step    = 20 * time.Millisecond
		watched = 2 * time.Minute
	)
	for _, daemons := range []int{1, 3, 9, 40} {
		for _, rate := range []float64{0.3, 1, 1.4, 30} {
			t.Run(fmt.Sprint(daemons, " daemons, ", rate, " a second"), func(t *testing.T) {
				all, now := newActive(daemons)
				for _, d := range all {
					hear(d, rate, now)
				}
				until := now.Add(watched)
				var sent []time.Time
				for begun := now; now.Before(until); now = now.Add(step) {
					for _, d := range all {
						if now.Sub(begun)%time.Second == 0 {
							keepActive(d, daemons, now)
						}
						if d.Take(busy, now).Reason == Allowed {
							sent = append(sent, now)
						}
					}
				}
				must.LessEq(t, limitOverrun*rate*limitWindow.Seconds()+limitSlack, float64(mostWithin(sent, limitWindow)))
				must.Between(t, 0.8*rate, float64(len(sent))/watched.Seconds(), 1.1*rate)
			})
		}
	}
}

func keepActive(t *Throttle, daemons int, now time.Time) {
	t.LearnDaemons(quota.View{Rows: rowsOf(daemons), Evidence: now}, now)
}

func mostWithin(times []time.Time, span time.Duration) int {
	most, from := 0, 0
	for i, at := range times {
		for at.Sub(times[from]) > span {
			from++
		}
		most = max(most, i-from+1)
	}
	return most
}

// TestThrottle_TheRequestThatToldCounts: nine daemons that hear of a limit at the same time
// don't all send again at once.
func TestThrottle_TheRequestThatToldCounts(t *testing.T) {
	all, now := newActive(9)
	for _, d := range all {
		hear(d, 1, now)
		v := d.Judge(busy, now.Add(time.Second))
		must.EqOp(t, Limited, v.Reason)
		must.EqOp(t, 9*time.Second, v.Until.Sub(now), must.Sprint("its next turn is told"))
		for at := now; at.Before(v.Until); at = at.Add(time.Second) {
			keepActive(d, len(all), at)
		}
		must.EqOp(t, Allowed, d.Judge(busy, v.Until).Reason)
	}
}

// TestThrottle_NothingIsSentWhileTheOthersAreUnknown: the daemon has just started, or lost
// sight of the others.
func TestThrottle_NothingIsSentWhileTheOthersAreUnknown(t *testing.T) {
	d := New("d0", newTestBook())
	hear(d, 100, noon)
	v := d.Take(busy, noon.Add(time.Minute))
	must.EqOp(t, Limited, v.Reason)
	must.True(t, v.Until.IsZero())
	must.EqOp(t, Allowed, d.Take(workers.Worker{ID: "other"}, noon).Reason)
}

// TestThrottle_AVeryLowLimitIsAskedForAgain, since only an answer shows that it has ended.
func TestThrottle_AVeryLowLimitIsAskedForAgain(t *testing.T) {
	for _, rate := range []float64{0, 1e-300} {
		all, now := newActive(1)
		hear(all[0], rate, now)
		v := all[0].Judge(busy, now)
		must.EqOp(t, Limited, v.Reason)
		must.LessEq(t, longestPeriod, v.Until.Sub(now))
	}
}

// TestThrottle_AHugeLimitDoesNotBind.
func TestThrottle_AHugeLimitDoesNotBind(t *testing.T) {
	all, now := newActive(9)
	hear(all[0], 1e300, now)
	for i := range 100 {
		must.EqOp(t, Allowed, all[0].Take(busy, now.Add(time.Duration(i+1)*10*time.Millisecond)).Reason)
	}
}

// TestThrottle_OtherDaemonsThanNeededSendNothing, those that do stand for them.
func TestThrottle_OtherDaemonsThanNeededSendNothing(t *testing.T) {
	const daemons = 40
	all, now := newActive(daemons)
	senders := 0
	for _, d := range all {
		hear(d, 1, now)
		must.True(t, d.Judge(busy, now.Add(longestPeriod/2)).Until.IsZero(), must.Sprint("what is known of the others is old"))
		if v := d.Judge(busy, now.Add(time.Second)); !v.Until.IsZero() {
			senders++
			must.EqOp(t, 10.0/daemons, v.Weight)
		}
	}
	must.EqOp(t, 10, senders)
}

// TestThrottle_APauseIsForThisDaemon, ends by itself, and by a new start of the worker.
func TestThrottle_APauseIsForThisDaemon(t *testing.T) {
	all, now := newActive(2)
	asks := Answer{Worker: busy, Ask: Ask{Pause: 3 * time.Second, Failed: true}, Sent: now, At: now}
	all[0].Heard(asks)
	for _, judge := range []func(workers.Worker, time.Time) Verdict{all[0].Judge, all[0].Take} {
		must.Eq(t, Verdict{Reason: Paused, Until: now.Add(3 * time.Second), Weight: 1}, judge(busy, now.Add(3*time.Second-1)))
		must.EqOp(t, Allowed, judge(busy, now.Add(3*time.Second)).Reason)
		must.EqOp(t, Allowed, judge(workers.Worker{ID: busy.ID, Born: 2}, now).Reason)
		must.EqOp(t, Allowed, judge(workers.Worker{ID: "other"}, now).Reason)
	}
	must.EqOp(t, Allowed, all[1].Judge(busy, now).Reason)
}

// TestThrottle_TheLongestPauseCounts: answers to requests that were under way together may
// come in any order.
func TestThrottle_TheLongestPauseCounts(t *testing.T) {
	d := New("d0", newTestBook())
	for _, pause := range []time.Duration{3 * time.Second, time.Second} {
		d.Heard(Answer{Worker: busy, Ask: Ask{Pause: pause, Failed: true}, Sent: noon, At: noon})
	}
	must.EqOp(t, Paused, d.Judge(busy, noon.Add(2*time.Second)).Reason)
}

// TestThrottle_WhoLeavesGetsNothingMore, also if a later answer doesn't say so. A new start
// under the same id does.
func TestThrottle_WhoLeavesGetsNothingMore(t *testing.T) {
	d := New("d0", newTestBook())
	d.Heard(Answer{Worker: busy, Ask: Ask{Leaving: true}, Sent: noon, At: noon})
	d.Heard(Answer{Worker: busy, Sent: noon.Add(time.Second), At: noon.Add(time.Second)})
	for _, judge := range []func(workers.Worker, time.Time) Verdict{d.Judge, d.Take} {
		must.EqOp(t, Leaving, judge(busy, noon.Add(time.Hour)).Reason)
		must.EqOp(t, Allowed, judge(workers.Worker{ID: busy.ID, Born: 2}, noon).Reason)
	}
}

func BenchmarkJudge(b *testing.B) {
	for _, daemons := range []int{9, 984} {
		rows := rowsOf(daemons)
		d := New("d0", newTestBook())
		now := noon
		for ; now.Before(noon.Add(2*quota.EvidenceAge + rosterMargin + time.Second)); now = now.Add(time.Second) {
			d.LearnDaemons(quota.View{Rows: rows, Evidence: now}, now)
		}
		hear(d, 1, now)
		b.Run(fmt.Sprint("limited/", daemons), func(b *testing.B) {
			for b.Loop() {
				d.Judge(busy, now)
			}
		})
		b.Run(fmt.Sprint("other/", daemons), func(b *testing.B) {
			for b.Loop() {
				d.Judge(workers.Worker{ID: "other"}, now)
			}
		})
	}
}
