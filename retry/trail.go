package retry

import (
	"sync"
	"time"
)

// MaxUnread is for how long a request that was sent and of which its worker has shown nothing may still be read: the
// worker's machine takes it while the worker's process stands still.
const MaxUnread = 30 * time.Second

// Retry is a retry that a window counts.
type Retry struct {
	window *Window
	// spent is when it was counted, read by when its arrival is past, zero while it may still come. Both are
	// guarded by the lock of the window.
	spent, read time.Time
}

// maxDrift is the part of a window by which the clocks of two machines may differ after its length.
const maxDrift = 0.02

// counts reports whether the retry still counts in a window of the given length: for the length of the window from
// its arrival.
func (r *Retry) counts(now time.Time, length time.Duration) bool {
	length += time.Duration(maxDrift * float64(length))
	if r.read.IsZero() {
		return now.Sub(r.spent) < length+MaxUnread
	}
	return now.Sub(r.read) < length
}

// Read records by when the arrival that the retry stands for is past.
func (r *Retry) Read(at time.Time) {
	r.window.mu.Lock()
	defer r.window.mu.Unlock()
	r.read = at
}

// release makes the retry count no more, since nothing was sent for it.
func (r *Retry) release() { r.window.drop(r) }

// Trail follows the sendings of one request. Arrivals beyond the first are retries, whichever sending they come from:
// if a worker stands still and another gets the request meanwhile, it is the first sending that arrives late. So a
// retry counts as arrived once one more sending than there are such retries has been read. It is safe for concurrent
// use.
type Trail struct {
	mu sync.Mutex
	// retries are those counted for the request, in this order. The first begun-1 of them are used.
	retries     []*Retry
	begun, read int
}

// Add adds a retry that was counted for the request.
func (t *Trail) Add(r *Retry) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.retries = append(t.retries, r)
}

// NeedsRetry reports whether another sending of the request needs a retry that isn't counted yet.
func (t *Trail) NeedsRetry() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.needsRetry()
}

// needsRetry is NeedsRetry for a caller that holds the lock.
func (t *Trail) needsRetry() bool { return len(t.retries) < t.begun }

// HasUnused reports whether a retry was counted that no sending uses.
func (t *Trail) HasUnused() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.retries) > max(t.begun-1, 0)
}

// Begin begins a sending, right before it is written. It returns false if the sending needs a retry that was counted
// no more than maxAge ago. One that is older isn't used: requests and daemons of another time allowed it.
func (t *Trail) Begin(now time.Time, maxAge time.Duration) (*Sending, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.needsRetry() {
		return nil, false
	}
	s := &Sending{trail: t, begun: now}
	if t.begun > 0 {
		s.retry = t.retries[t.begun-1]
		if spent := s.retry.spent; now.Sub(spent) > maxAge {
			s.retry.Read(spent)
			t.retries = append(t.retries[:t.begun-1], t.retries[t.begun:]...)
			return nil, false
		}
	}
	t.begun++
	return s, true
}

// End ends a request. Retries that weren't used count no more.
func (t *Trail) End() {
	t.mu.Lock()
	defer t.mu.Unlock()
	used := max(t.begun-1, 0)
	if used >= len(t.retries) {
		return
	}
	for _, r := range t.retries[used:] {
		r.release()
	}
	t.retries = t.retries[:used]
}

// Sending is one sending of a request.
type Sending struct {
	trail *Trail
	begun time.Time
	retry *Retry
	// past is set once the sending was read or withdrawn.
	past bool
}

// Begun returns when the sending began.
func (s *Sending) Begun() time.Time { return s.begun }

// Counted returns when the retry of the sending was counted, zero for the first sending of a request.
func (s *Sending) Counted() time.Time {
	if s.retry == nil {
		return time.Time{}
	}
	return s.retry.spent
}

// Read records that the sending has been read, or never will be, by the given time.
func (s *Sending) Read(at time.Time) {
	t := s.trail
	t.mu.Lock()
	defer t.mu.Unlock()
	if !s.settle() {
		return
	}
	t.read++
	if arrived := t.read - 1; arrived > 0 {
		t.retries[arrived-1].Read(at)
	}
}

// Withdraw records that nothing of the sending was written. Its retry may be used by another sending.
func (s *Sending) Withdraw() {
	t := s.trail
	t.mu.Lock()
	defer t.mu.Unlock()
	if s.settle() {
		t.begun--
	}
}

// settle makes the sending one that is past, and reports whether it wasn't yet. The caller holds the lock of the trail.
func (s *Sending) settle() bool {
	first := !s.past
	s.past = true
	return first
}
