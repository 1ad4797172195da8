package placement

import (
	"context"
	"sync"
	"time"
)

const (
	// standstillLimit is how long this process must have done nothing to count as having
	// stood still. It is far above what a busy machine delays it by, and far below the
	// 5 s after which a closed hall gets no requests.
	standstillLimit = 2 * time.Second
	// StandstillTick is how often Tick has to be called while nothing else happens.
	StandstillTick = 500 * time.Millisecond
	// settleTime bounds how long a request waits for the store's answer. A question that
	// the store leaves unanswered fails after 1.2 s, and then what is known has to do.
	settleTime = 1500 * time.Millisecond
)

// Standstill notices that this process stood still, as a VM that was paused does: what it
// knows is then as old as the standstill was long, though nothing failed. Until the store
// was asked anew requests wait, for some milliseconds as a rule. It is safe for use by
// many goroutines.
type Standstill struct {
	now  func() time.Time
	told func(length time.Duration)

	mu   sync.Mutex
	last time.Time
	// woke is when the last standstill was noticed, and asked closed once the store
	// was asked after it; nil if there is none to get over.
	woke  time.Time
	asked chan struct{}
}

// NewStandstill returns a detector. Told is told how long each standstill was; it must not
// block.
func NewStandstill(now func() time.Time, told func(length time.Duration)) *Standstill {
	return &Standstill{now: now, told: told, last: now()}
}

// Tick notes that this process runs.
func (s *Standstill) Tick() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.tick()
}

// tick notes that this process runs, and returns the time. The lock is held.
func (s *Standstill) tick() time.Time {
	now := s.now()
	if length := now.Sub(s.last); length > standstillLimit {
		s.told(length)
		s.woke = now
		if s.asked == nil {
			s.asked = make(chan struct{})
		}
	}
	s.last = now
	return now
}

// Asking notes that the store is about to be asked. The function returned has to be
// called when the question has ended, well or not.
func (s *Standstill) Asking() (ended func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	begun := s.tick()
	return func() { s.end(begun) }
}

// end takes in that a question ended. One that was asked before a standstill tells
// nothing of what happened meanwhile, also if it failed.
func (s *Standstill) end(begun time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.tick()
	if s.asked != nil && !begun.Before(s.woke) {
		close(s.asked)
		s.asked = nil
	}
}

// Settled tells whether the store was asked since this process last stood still.
func (s *Standstill) Settled() bool { return s.pending() == nil }

// Settle waits until the store was asked since this process last stood still.
func (s *Standstill) Settle(ctx context.Context) {
	asked := s.pending()
	if asked == nil {
		return
	}
	timer := time.NewTimer(settleTime)
	defer timer.Stop()
	select {
	case <-asked:
	case <-timer.C:
	case <-ctx.Done():
	}
}

// pending returns what to wait for, nil if there is nothing.
func (s *Standstill) pending() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.tick()
	return s.asked
}
