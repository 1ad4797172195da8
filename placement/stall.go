package placement

import (
	"context"
	"sync"
	"time"
)

const (
	// stallThreshold is how long this process must have done nothing to count as stalled. It
	// is far above the delays on a busy machine, and far below the 5 s after which a closed
	// hall gets no requests.
	stallThreshold = 2 * time.Second
	// StallTickInterval is how often Tick has to be called while nothing else happens.
	StallTickInterval = 500 * time.Millisecond
	// freshTimeout bounds how long a request waits for the store's answer. A query without an
	// answer fails after 1.2 s; the request then proceeds with the cached facts.
	freshTimeout = 1500 * time.Millisecond
)

// StallDetector detects that this process was stalled, as when its VM is paused. Its cached
// facts are then as old as the stall was long, though nothing has failed. Requests wait until
// the store was queried again, usually for some milliseconds. It is safe for concurrent use.
type StallDetector struct {
	now     func() time.Time
	onStall func(length time.Duration)

	mu       sync.Mutex
	lastTick time.Time
	// detectedAt is when the last stall was detected. queried is closed once the store was
	// queried after it, and nil if no stall is pending.
	detectedAt time.Time
	queried    chan struct{}
}

// NewStallDetector returns a detector. onStall is called with the length of each stall and
// must not block.
func NewStallDetector(now func() time.Time, onStall func(length time.Duration)) *StallDetector {
	return &StallDetector{now: now, onStall: onStall, lastTick: now()}
}

// Tick records that this process is running.
func (s *StallDetector) Tick() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.tick()
}

// tick records that this process is running, and returns the time. The caller holds the lock.
func (s *StallDetector) tick() time.Time {
	now := s.now()
	if length := now.Sub(s.lastTick); length > stallThreshold {
		s.onStall(length)
		s.detectedAt = now
		if s.queried == nil {
			s.queried = make(chan struct{})
		}
	}
	s.lastTick = now
	return now
}

// StartQuery records that a query of the store is about to start. The returned function must
// be called when it has ended, successfully or not.
func (s *StallDetector) StartQuery() (finish func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	started := s.tick()
	return func() { s.finishQuery(started) }
}

// finishQuery records the end of a query. A query that started before a stall doesn't count,
// whether it succeeded or failed, since it doesn't show what changed during the stall.
func (s *StallDetector) finishQuery(started time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.tick()
	if s.queried != nil && !started.Before(s.detectedAt) {
		close(s.queried)
		s.queried = nil
	}
}

// Fresh reports whether the store was queried since the last stall.
func (s *StallDetector) Fresh() bool { return s.pending() == nil }

// WaitFresh waits until the store was queried since the last stall.
func (s *StallDetector) WaitFresh(ctx context.Context) {
	queried := s.pending()
	if queried == nil {
		return
	}
	timer := time.NewTimer(freshTimeout)
	defer timer.Stop()
	select {
	case <-queried:
	case <-timer.C:
	case <-ctx.Done():
	}
}

// pending returns the channel to wait for, nil if no stall is pending.
func (s *StallDetector) pending() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.tick()
	return s.queried
}
