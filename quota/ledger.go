package quota

import "time"

// Ledger records when this daemon sent requests to workers that have a bound. It isn't
// safe for concurrent use.
type Ledger struct {
	// maxWindow is the longest window, for which requests are kept.
	maxWindow time.Duration
	sent      map[string][]time.Time
}

// NewLedger returns an empty ledger that keeps requests for the longest window.
func NewLedger(maxWindow time.Duration) *Ledger {
	return &Ledger{maxWindow: maxWindow, sent: map[string][]time.Time{}}
}

// Next returns when a worker may get the next request under a part: at once if the result
// isn't after now.
func (l *Ledger) Next(worker string, p Part, now time.Time) time.Time {
	list := l.recent(worker, now)
	next := now
	if n := len(list); n >= p.MaxRequests {
		next = list[n-p.MaxRequests].Add(p.Window)
	}
	if n := len(list); n > 0 && list[n-1].Add(p.Gap).After(next) {
		next = list[n-1].Add(p.Gap)
	}
	return next
}

// Room reports whether a worker may get one more request under a part.
func (l *Ledger) Room(worker string, p Part, now time.Time) bool {
	return !l.Next(worker, p, now).After(now)
}

// Take records that a request is sent to a worker. If at is before the time of the last
// request, the request is recorded at that time.
func (l *Ledger) Take(worker string, at time.Time) {
	list := l.recent(worker, at)
	if n := len(list); n > 0 && list[n-1].After(at) {
		at = list[n-1]
	}
	l.sent[worker] = append(list, at)
}

// recent returns the requests to a worker that are within the longest window.
func (l *Ledger) recent(worker string, now time.Time) []time.Time {
	list := l.sent[worker]
	for len(list) > 0 && now.Sub(list[0]) >= l.maxWindow {
		list = list[1:]
	}
	if len(list) > 0 {
		l.sent[worker] = list
	}
	return list
}

// Forget drops the requests that are outside of all windows.
func (l *Ledger) Forget(now time.Time) {
	for worker, list := range l.sent {
		if now.Sub(list[len(list)-1]) > l.maxWindow {
			delete(l.sent, worker)
		}
	}
}

// Len returns the number of workers with recorded requests.
func (l *Ledger) Len() int { return len(l.sent) }
