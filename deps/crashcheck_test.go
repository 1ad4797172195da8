package deps

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"github.com/pointpass/pointpass/workers"
)

// endingWorker is a worker that refuses connections or answers nothing from some time on, 0 for never.
type endingWorker struct {
	started                     time.Time
	refusesAfter, silentAfter   time.Duration
	answersAfter, memberRefuses time.Duration
	// hangs is set if a silent worker leaves probes open, instead of resetting them.
	hangs bool
}

func (e *endingWorker) since(d time.Duration) bool { return d > 0 && time.Since(e.started) >= d }

func (e *endingWorker) Refuses(_ context.Context, w workers.Worker) bool {
	if w.ID == "member" {
		return e.since(e.memberRefuses)
	}
	return e.since(e.refusesAfter)
}

func (e *endingWorker) Answers(ctx context.Context, _ workers.Worker) bool {
	answers := !e.since(e.silentAfter) || e.since(e.answersAfter)
	if !answers && e.hangs {
		<-ctx.Done()
	}
	return answers
}

// TestCrashChecker_NoticesHoweverAWorkerEnds guards against crashes that count for nothing since the worker
// doesn't refuse connections when its responses break off: it does so later, resets them, is silent, or another
// member of its group has ended. A worker that lives on, or that is silent for a moment, hasn't ended.
func TestCrashChecker_NoticesHoweverAWorkerEnds(t *testing.T) {
	const now = time.Nanosecond
	head := workers.Worker{ID: "head", Membership: workers.Membership{Group: workers.GroupID{Name: "m.1"}}}
	for _, c := range []struct {
		name   string
		worker workers.Worker
		ending endingWorker
		cut    bool
		want   checkOutcome
	}{
		{"alive", head, endingWorker{}, false, workerAlive},
		{"refuses at once", head, endingWorker{refusesAfter: now}, false, workerRefuses},
		{"refuses late", head, endingWorker{refusesAfter: 200 * time.Millisecond}, false, workerRefuses},
		{"refuses later", head, endingWorker{refusesAfter: 600 * time.Millisecond}, false, workerRefuses},
		{"resets or is silent", head, endingWorker{silentAfter: now}, false, workerSilent},
		{"silent for a moment", head, endingWorker{silentAfter: now, answersAfter: silenceRecheckDelay}, false, workerAlive},
		{"can't be reached", head, endingWorker{silentAfter: now}, true, workersCut},
		{"a member refuses", head, endingWorker{memberRefuses: now}, false, memberRefuses},
		{"a plain worker isn't probed", workers.Worker{ID: "app"}, endingWorker{silentAfter: now}, false, workerAlive},
		{"a plain worker refuses late", workers.Worker{ID: "app"}, endingWorker{refusesAfter: 200 * time.Millisecond}, false, workerRefuses},
	} {
		synctest.Test(t, func(t *testing.T) {
			e := c.ending
			e.started = time.Now()
			time.Sleep(now)
			others := func(workers.Worker) []workers.Worker { return []workers.Worker{{ID: "member"}} }
			checker := &crashChecker{prober: &e, others: others, cut: func(string) bool { return c.cut }}
			must.EqOp(t, c.want, checker.check(t.Context(), c.worker), must.Sprint(c.name))
			must.Less(t, time.Second, time.Since(e.started), must.Sprint(c.name))
		})
	}
}

// TestCrashChecker_NoticesSilenceWithinHalfASecond guards against a crash that is noticed so late that the next
// workers have crashed at the same requests: a worker that accepts connections and is silent.
func TestCrashChecker_NoticesSilenceWithinHalfASecond(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := endingWorker{started: time.Now(), silentAfter: time.Nanosecond, hangs: true}
		time.Sleep(time.Nanosecond)
		checker := &crashChecker{prober: &e, cut: func(string) bool { return false }}
		w := workers.Worker{ID: "head", Membership: workers.Membership{Group: workers.GroupID{Name: "m.1"}}}
		must.EqOp(t, workerSilent, checker.check(t.Context(), w))
		must.LessEq(t, 500*time.Millisecond, time.Since(e.started)+lossDebounce)
	})
}

// TestCrashChecker_AwaitsARefusal checks that a worker which refuses connections some time after a request was
// canceled there is noticed before its crash is judged, and that one which lives on isn't.
func TestCrashChecker_AwaitsARefusal(t *testing.T) {
	for _, ends := range []time.Duration{0, time.Nanosecond, 400 * time.Millisecond, 1500 * time.Millisecond} {
		synctest.Test(t, func(t *testing.T) {
			e := endingWorker{started: time.Now(), refusesAfter: ends}
			checker := &crashChecker{prober: &e}
			ctx, cancel := context.WithTimeout(t.Context(), cancellationWatch)
			defer cancel()
			must.EqOp(t, ends > 0, checker.awaitRefusal(ctx, workers.Worker{ID: "head"}))
			if ends > 0 {
				must.LessEq(t, ends+refusalPollInterval, time.Since(e.started))
			}
		})
	}
}
