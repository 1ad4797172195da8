package gateway

import (
	"context"
	"sync"
)

// inFlight counts the requests in flight, so that a daemon can wait for their end.
// A sync.WaitGroup doesn't fit, since requests may start during the wait.
type inFlight struct {
	mu       sync.Mutex
	count    int
	draining bool
	idle     chan struct{} // closed once draining and the count is 0
}

func newInFlight() *inFlight { return &inFlight{idle: make(chan struct{})} }

// start counts a request, or returns false while draining.
func (w *inFlight) start() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.draining {
		return false
	}
	w.count++
	return true
}

// goTracked runs f in a goroutine that counts as in flight. Unlike start it also
// works while draining, since f belongs to a request in flight.
func (w *inFlight) goTracked(f func()) {
	w.mu.Lock()
	w.count++
	w.mu.Unlock()
	go func() {
		defer w.end()
		f()
	}()
}

func (w *inFlight) end() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.count--
	w.closeIfIdle()
}

func (w *inFlight) closeIfIdle() {
	if w.draining && w.count == 0 {
		close(w.idle)
	}
}

// drain makes start return false and waits until the count is 0. It must be called
// at most once.
func (w *inFlight) drain(ctx context.Context) error {
	w.mu.Lock()
	w.draining = true
	w.closeIfIdle()
	w.mu.Unlock()
	select {
	case <-w.idle:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
