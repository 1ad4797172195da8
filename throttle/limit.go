package throttle

import (
	"sync"
	"time"

	"github.com/pointpass/pointpass/quota"
	"github.com/pointpass/pointpass/workers"
)

// What the platform lets a worker get that names a limit: within any limitWindow so many
// times what the limit allows, and so many requests more.
const (
	limitWindow  = 4 * time.Second
	limitOverrun = 1.5
	limitSlack   = 5
)

const (
	// limitCaution is the part of that bound which daemons use. The limit itself is kept on
	// average; the rest of the bound is for daemons that send at the same time.
	limitCaution = 0.95
	// mostLimited bounds what is sent in a window where a limit is too high to bind.
	mostLimited = 1e6
	// longestPeriod bounds how long a daemon waits between two requests to a worker with a
	// very low limit: an answer is what shows that the limit has ended.
	longestPeriod = time.Minute
	// rosterMargin is above limitWindow and quota.MostSendDelay.
	rosterMargin = limitWindow + time.Second
)

// boundOf returns what all daemons together may send a worker that takes rate requests a
// second. Each daemon gets one request of a window where there are more of them than needed:
// so all of up to ten daemons have a part of one request a second.
func boundOf(rate float64) quota.Bound {
	most := limitCaution * (limitOverrun*rate*limitWindow.Seconds() + limitSlack)
	return quota.Bound{
		Most:    int(min(most, mostLimited)),
		Within:  limitWindow + quota.MostSendDelay,
		Rate:    rate,
		Each:    1,
		Longest: longestPeriod,
		Paced:   true,
	}
}

// Reason is why a worker may not get a request from this daemon now.
type Reason string

// The reasons. The zero value means that it may.
const (
	Allowed Reason = ""
	// Limited tells that this daemon has sent its part of the worker's limit.
	Limited Reason = "worker_limited"
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
	rate, limited := t.book.Limit(w)
	if !limited {
		return Verdict{Weight: 1}
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.judgeLimit(w, rate, now)
}

// Take says whether a worker may get a request that is about to be sent, and counts it.
func (t *Throttle) Take(w workers.Worker, now time.Time) Verdict {
	rate, limited := t.book.Limit(w)
	if !limited {
		return Verdict{Weight: 1}
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	v := t.judgeLimit(w, rate, now)
	if v.Reason == Allowed {
		t.ledger.Take(w.ID, now)
	}
	return v
}

// judgeLimit says whether this daemon has room for one more request to a worker with a
// limit. The caller holds the lock.
func (t *Throttle) judgeLimit(w workers.Worker, rate float64, now time.Time) Verdict {
	rank, count, active := t.roster.Place(w.ID, now)
	if !active {
		return Verdict{Reason: Limited, Weight: 1}
	}
	part, has := boundOf(rate).Part(rank, count)
	if !has {
		return Verdict{Reason: Limited, Weight: 1}
	}
	next := t.ledger.Next(w.ID, part, now)
	if next.After(now) {
		return Verdict{Reason: Limited, Until: next, Weight: part.Weight}
	}
	return Verdict{Weight: part.Weight}
}

// Keep forgets the workers that haven't answered for long and that listed doesn't name, and
// what was sent that no window holds any more.
func (t *Throttle) Keep(listed func(id string) bool, now time.Time) {
	t.book.Keep(listed, now)
	t.mu.Lock()
	defer t.mu.Unlock()
	t.ledger.Forget(now)
}

// Limited returns how many workers have a limit in force, as far as this daemon knows.
func (t *Throttle) Limited() int { return t.book.Limited() }
