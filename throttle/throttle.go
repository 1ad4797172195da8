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
	// Limited tells that this daemon has sent its part of the worker's limit.
	Limited Reason = "worker_limited"
	// Paused tells that the worker asked this daemon for a pause.
	Paused Reason = "worker_paused"
	// Leaving tells that the worker is about to end.
	Leaving Reason = "worker_leaving"
)

// Verdict says whether a worker may get a request.
type Verdict struct {
	Reason Reason
	// Until is from when on the worker may get one, the zero time if that isn't known.
	Until time.Time
	// Weight is which part of all daemons may send there, 1 unless the worker is limited.
	Weight float64
}

// Throttle decides what workers get of this daemon by what they ask for. It is safe for use
// by many goroutines.
type Throttle struct {
	book   *Book
	roster *quota.Roster

	mu     sync.Mutex
	ledger *quota.Ledger
}

// New returns a throttle of a daemon by what a book tells.
func New(self string, book *Book) *Throttle {
	return &Throttle{book: book, roster: quota.NewRoster(self, rosterMargin), ledger: quota.NewLedger(longestPeriod)}
}

// LearnDaemons takes in which daemons there are.
func (t *Throttle) LearnDaemons(v quota.View, now time.Time) { t.roster.Learn(v, now) }

// Standing returns whether this daemon may send its part to workers with a limit.
func (t *Throttle) Standing(now time.Time) quota.Standing { return t.roster.Standing(now) }

// Heard takes in what an answer asks for. The request that told of a limit counts as the
// first one by it, so that daemons which hear of it at the same time don't all send again.
func (t *Throttle) Heard(a Answer) {
	if !t.book.Heard(a) {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.ledger.Take(a.Worker.ID, a.Sent)
}

// Judge says whether a worker may get a request from this daemon now. It counts nothing. A
// limit is one for all daemons: each that kept to the whole of it would let the worker get as
// many times that as there are daemons.
func (t *Throttle) Judge(w workers.Worker, now time.Time) Verdict {
	asked := t.book.asked(w)
	if v := asked.verdict(now); v.Reason != Allowed || !asked.limited {
		return v
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.judgeLimit(w, asked.rate, now)
}

// Take says whether a worker may get a request that is about to be sent, and counts it.
func (t *Throttle) Take(w workers.Worker, now time.Time) Verdict {
	asked := t.book.asked(w)
	if v := asked.verdict(now); v.Reason != Allowed || !asked.limited {
		return v
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	v := t.judgeLimit(w, asked.rate, now)
	if v.Reason == Allowed {
		t.ledger.Take(w.ID, now)
	}
	return v
}

// Keep forgets the workers that haven't answered for long and that listed doesn't name, and
// what was sent that no window holds any more.
func (t *Throttle) Keep(listed func(id string) bool, now time.Time) {
	t.book.Keep(listed, now)
	t.mu.Lock()
	defer t.mu.Unlock()
	t.ledger.Forget(now)
}

// Learn takes in what another daemon tells of limits.
func (t *Throttle) Learn(limits []Limit) { t.book.Learn(limits) }

// Limits returns what to tell other daemons of limits.
func (t *Throttle) Limits(now time.Time) []Limit { return t.book.Limits(now) }

// Limited returns how many workers have a limit in force, as far as this daemon knows.
func (t *Throttle) Limited() int { return t.book.Limited() }

// Asking returns the workers that ask for something, in order of their ids.
func (t *Throttle) Asking(now time.Time) []Asking { return t.book.Asking(now) }
