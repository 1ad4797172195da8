package gateway

import (
	"context"
	"sync"
)

// work counts what is under way, so that a daemon can wait for its end. A
// sync.WaitGroup won't do: requests may begin while somebody waits.
type work struct {
	mu       sync.Mutex
	underWay int
	draining bool
	idle     chan struct{} // closed once draining and nothing is under way
}

func newWork() *work { return &work{idle: make(chan struct{})} }

// begin counts a request, or returns false if no more are taken.
func (w *work) begin() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.draining {
		return false
	}
	w.underWay++
	return true
}

// follow counts work that belongs to a request under way.
func (w *work) follow(f func()) {
	w.mu.Lock()
	w.underWay++
	w.mu.Unlock()
	go func() {
		defer w.end()
		f()
	}()
}

func (w *work) end() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.underWay--
	w.closeIfIdle()
}

func (w *work) closeIfIdle() {
	if w.draining && w.underWay == 0 {
		close(w.idle)
	}
}

// drain takes no more requests and waits until all that are under way have
// ended. It is to be called once.
func (w *work) drain(ctx context.Context) error {
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
