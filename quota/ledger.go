package quota

import "time"

// Ledger keeps when this daemon sent requests to workers that are bounded. It isn't safe for
// use by many goroutines.
type Ledger struct {
	// longest is how long takes are remembered: the longest window.
	longest time.Duration
	takes   map[string][]time.Time
}

// NewLedger returns an empty ledger that remembers takes for as long as the longest window.
func NewLedger(longest time.Duration) *Ledger {
	return &Ledger{longest: longest, takes: map[string][]time.Time{}}
}

// Next returns when a worker may get the next request by a part. It may at once if that is
// not after now.
func (l *Ledger) Next(worker string, p Part, now time.Time) time.Time {
	list := l.recent(worker, now)
	next := now
	if n := len(list); n >= p.Takes {
		next = list[n-p.Takes].Add(p.Window)
	}
	if n := len(list); n > 0 && list[n-1].Add(p.Gap).After(next) {
		next = list[n-1].Add(p.Gap)
	}
	return next
}

// Room tells whether a worker may get one more request by a part.
func (l *Ledger) Room(worker string, p Part, now time.Time) bool {
	return !l.Next(worker, p, now).After(now)
}

// Take notes that a request is sent to a worker at a time. Times before that of the last take
// count as that one.
func (l *Ledger) Take(worker string, at time.Time) {
	list := l.recent(worker, at)
	if n := len(list); n > 0 && list[n-1].After(at) {
		at = list[n-1]
	}
	l.takes[worker] = append(list, at)
}

// recent returns the takes of a worker that a window may hold.
func (l *Ledger) recent(worker string, now time.Time) []time.Time {
	list := l.takes[worker]
	for len(list) > 0 && now.Sub(list[0]) >= l.longest {
		list = list[1:]
	}
	if len(list) > 0 {
		l.takes[worker] = list
	}
	return list
}

// Forget drops what is known of takes that no window holds any more.
func (l *Ledger) Forget(now time.Time) {
	for worker, list := range l.takes {
		if now.Sub(list[len(list)-1]) > l.longest {
			delete(l.takes, worker)
		}
	}
}

// Len returns how many workers there are takes of.
func (l *Ledger) Len() int { return len(l.takes) }
