package quota

import "time"

// maxUnread is for how long a request that was sent to a worker which has sent nothing since may still be read.
const maxUnread = 10 * time.Second

// Ledger records when workers that have a bound got the requests of this daemon: when they read them, which may be
// later than their machines took them. It isn't safe for concurrent use.
type Ledger struct {
	// maxWindow is the longest window, for which requests are kept.
	maxWindow time.Duration
	sent      map[string][]entry
}

// entry is a request that was sent to a worker.
type entry struct {
	sent time.Time
	// read is by when the worker has read it, zero if it may not have.
	read time.Time
}

// countsFrom returns the time from which the request counts for a window: now, as long as it may be read yet.
func (e entry) countsFrom(now time.Time) time.Time {
	switch {
	case !e.read.IsZero():
		return e.read
	case now.Sub(e.sent) < maxUnread:
		return now
	}
	return e.sent
}

// NewLedger returns an empty ledger that keeps requests for the longest window.
func NewLedger(maxWindow time.Duration) *Ledger {
	return &Ledger{maxWindow: maxWindow, sent: map[string][]entry{}}
}

// Next returns when a worker may get the next request under a part: at once if the result
// isn't after now.
func (l *Ledger) Next(worker string, p Part, now time.Time) time.Time {
	list := l.recent(worker, now)
	next := now
	if n := len(list); n >= p.MaxRequests {
		next = list[n-p.MaxRequests].countsFrom(now).Add(p.Window)
	}
	if n := len(list); n > 0 && list[n-1].sent.Add(p.Gap).After(next) {
		next = list[n-1].sent.Add(p.Gap)
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
	if n := len(list); n > 0 && list[n-1].sent.After(at) {
		at = list[n-1].sent
	}
	l.sent[worker] = append(list, entry{sent: at})
}

// TakeRead is Take for a request that the worker has answered already.
func (l *Ledger) TakeRead(worker string, at time.Time) {
	l.Take(worker, at)
	list := l.sent[worker]
	list[len(list)-1].read = list[len(list)-1].sent
}

// Read records that a worker's process runs, or has ended: what was sent to it before is read by now, or never.
func (l *Ledger) Read(worker string, now time.Time) {
	list := l.sent[worker]
	for i := range list {
		if list[i].read.IsZero() {
			list[i].read = now
		}
	}
}

// recent returns the requests to a worker that count within the longest window.
func (l *Ledger) recent(worker string, now time.Time) []entry {
	list := l.sent[worker]
	for len(list) > 0 && now.Sub(list[0].countsFrom(now)) >= l.maxWindow {
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
		if now.Sub(list[len(list)-1].countsFrom(now)) > l.maxWindow {
			delete(l.sent, worker)
		}
	}
}

// Len returns the number of workers with recorded requests.
func (l *Ledger) Len() int { return len(l.sent) }
