package throttle

import (
	"sync"
	"time"

	"github.com/pointpass/pointpass/quota"
	"github.com/pointpass/pointpass/workers"
)

// Reason is why a worker may not get a request from this daemon now.
type Reason string

// The reasons. The zero value means that it may.
const (
	Allowed Reason = ""
	// Limited means that this daemon has sent its part of the worker's limit.
	Limited Reason = "worker_limited"
	// Paused means that the worker asked this daemon for a pause.
	Paused Reason = "worker_paused"
	// Leaving means that the worker is about to stop.
	Leaving Reason = "worker_leaving"
)

// Verdict is the decision whether a worker may get a request.
type Verdict struct {
	Reason Reason
	// Until is when the worker may get a request, or zero if that isn't known.
	Until time.Time
	// Weight is the fraction of all daemons that may send to the worker, 1 unless it is
	// limited.
	Weight float64
}

// Throttle decides which workers may get a request of this daemon, by the constraints of
// the workers. It is safe for concurrent use.
type Throttle struct {
	tracker *Tracker
	roster  *quota.Roster

	mu     sync.Mutex
	ledger *quota.Ledger
}

// New returns the throttle of the daemon named self, which applies the constraints in
// tracker.
func New(self string, tracker *Tracker) *Throttle {
	return &Throttle{tracker: tracker, roster: quota.NewRoster(self, rosterMargin, quota.MaxEvidenceAge), ledger: quota.NewLedger(maxInterval)}
}

// LearnDaemons updates the set of daemons that share the limits.
func (t *Throttle) LearnDaemons(v quota.View, now time.Time) { t.roster.Learn(v, now) }

// Standing returns whether this daemon may send its part to workers with a limit.
func (t *Throttle) Standing(now time.Time) quota.Standing { return t.roster.Standing(now) }

// Observe applies what a response asks for. The request whose response first sets a limit
// counts against it, so that daemons that learn of the limit at the same time don't all
// send again.
func (t *Throttle) Observe(a Answer) {
	if !t.tracker.Observe(a) {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.ledger.TakeRead(a.Worker.ID, a.Sent)
}

// Read records that a worker's process runs, or has ended: what was sent to it before is read by now, or never.
func (t *Throttle) Read(w workers.Worker, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.ledger.Read(w.ID, now)
}

// Check returns whether a worker may get a request from this daemon now. It counts
// nothing. All daemons share a limit: if each used the whole of it, the worker would get
// it as many times as there are daemons.
func (t *Throttle) Check(w workers.Worker, now time.Time) Verdict {
	c := t.tracker.constraintsOf(w)
	if v := c.verdict(now); v.Reason != Allowed || !c.limited {
		return v
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.checkLimit(w, c.rate, now)
}

// Take returns whether a worker may get a request that is about to be sent, and counts it
// if so.
func (t *Throttle) Take(w workers.Worker, now time.Time) Verdict {
	c := t.tracker.constraintsOf(w)
	if v := c.verdict(now); v.Reason != Allowed || !c.limited {
		return v
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	v := t.checkLimit(w, c.rate, now)
	if v.Reason == Allowed {
		t.ledger.Take(w.ID, now)
	}
	return v
}

// Prune drops the workers that listed doesn't include and that haven't responded for a
// while, and the sent requests that are outside of all windows.
func (t *Throttle) Prune(listed func(id string) bool, now time.Time) {
	t.tracker.Prune(listed, now)
	t.mu.Lock()
	defer t.mu.Unlock()
	t.ledger.Forget(now)
}

// Learn applies the limits that another daemon reports.
func (t *Throttle) Learn(limits []Limit) { t.tracker.MergeLimits(limits) }

// Limits returns the limits to report to other daemons.
func (t *Throttle) Limits(now time.Time) []Limit { return t.tracker.Limits(now) }

// Limited returns how many workers have a limit in force, as tracked by this daemon.
func (t *Throttle) Limited() int { return t.tracker.Limited() }

// Constrained returns the workers that have constraints, in order of their ids.
func (t *Throttle) Constrained(now time.Time) []WorkerConstraints { return t.tracker.Constrained(now) }
