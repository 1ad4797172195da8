package connlimit

import (
	"context"
	"errors"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pointpass/pointpass/common/memory"
)

// RefusedError means that a body was not read to its end, so that its request can't have run.
type RefusedError struct{ reason Reason }

// Error returns the reason.
func (e *RefusedError) Error() string { return "the body was refused: " + string(e.reason) }

// Reason returns why the body was refused.
func (e *RefusedError) Reason() Reason { return e.reason }

// Bodies reads the bodies of requests within a budget. It is safe for concurrent use.
type Bodies struct {
	budget  *memory.Budget
	refused func(Reason)

	mu sync.Mutex
	// arriving are the connections from which bodies are read, and stopped is set once none are read any more.
	arriving map[*http.ResponseController]struct{}
	stopped  bool
}

// NewBodies returns a reader of bodies. It calls refused for each body that it doesn't read to its end for a reason.
func NewBodies(budget *memory.Budget, refused func(Reason)) *Bodies {
	return &Bodies{budget: budget, refused: refused, arriving: map[*http.ResponseController]struct{}{}}
}

// Stop refuses the bodies that arrive, and those that are still to come.
func (b *Bodies) Stop() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.stopped = true
	for control := range b.arriving {
		control.SetReadDeadline(past)
	}
}

// begin sets the time until which a body is read.
func (b *Bodies) begin(control *http.ResponseController, deadline time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.stopped {
		deadline = past
	}
	control.SetReadDeadline(deadline)
	b.arriving[control] = struct{}{}
}

// end forgets a body. If it was read, it returns false if Stop came before, which may have ended the request's context.
func (b *Bodies) end(control *http.ResponseController, read bool) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	delete(b.arriving, control)
	if !read || b.stopped {
		return false
	}
	control.SetReadDeadline(time.Time{})
	return true
}

// Read reads the body of a request, of at most limit bytes, within a time. The returned function gives its memory back.
// The error is a *RefusedError if the client may be answered; its connection is then closed after the answer. Trailers are
// dropped: they count nowhere.
func (b *Bodies) Read(w http.ResponseWriter, r *http.Request, limit int64, timeout time.Duration) (*memory.Bytes, func(), error) {
	control := http.NewResponseController(w)
	c := connOf(r.Context())
	if err := c.countHead(r); err != nil {
		return nil, nil, b.refuse(w, control, NoMemory)
	}
	if r.ContentLength == 0 {
		return nil, func() {}, nil
	}
	r.Trailer = nil // an entry for each announced name
	deadline := time.Now().Add(timeout)
	b.begin(control, deadline)
	c.setLingers(true)
	c.setReceiving(true)
	defer c.setReceiving(false)
	var evicted atomic.Bool
	account := b.budget.Open(func() {
		evicted.Store(true)
		control.SetReadDeadline(past)
	})
	passBack := c.passHead(account)
	body, err := memory.ReadAll(r.Body, r.ContentLength, limit, account)
	r.Trailer = nil
	c.setReceiving(false)
	arrived := b.end(control, err == nil && !c.isExpired() && account.Pin())
	passBack()
	if arrived {
		c.setLingers(false)
		return body, account.Close, nil
	}
	account.Close()
	reason := b.reasonOf(err, evicted.Load() || c.isExpired(), deadline)
	if reason == "" {
		return nil, nil, err
	}
	return nil, nil, b.refuse(w, control, reason)
}

// Reserve reserves memory for what a body becomes once it is decoded, or for a reply. The returned function gives it back.
// The error is a *RefusedError.
func (b *Bodies) Reserve(n int64) (func(), error) {
	account := b.budget.Open(func() {})
	account.Pin()
	if err := account.Reserve(n); err != nil {
		account.Close()
		b.refused(NoMemory)
		return nil, &RefusedError{reason: NoMemory}
	}
	return account.Close, nil
}

// refuse makes the server close the connection after the answer.
func (b *Bodies) refuse(w http.ResponseWriter, control *http.ResponseController, reason Reason) error {
	b.refused(reason)
	w.Header().Set("Connection", "close")
	control.SetReadDeadline(past) // the server reads on otherwise, for as long as the client likes
	return &RefusedError{reason: reason}
}

// WithoutUnread returns a handler that passes requests to next. A server doesn't wait for bodies that next neither reads by
// Bodies nor gives a time: it closes their connections after the answer.
func WithoutUnread(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.ContentLength != 0 {
			connOf(r.Context()).setLingers(true)
			http.NewResponseController(w).SetReadDeadline(past)
		}
		next.ServeHTTP(w, r)
	})
}

// reasonOf returns why a body was not read to its end, "" if its client has gone.
func (b *Bodies) reasonOf(err error, evicted bool, deadline time.Time) Reason {
	switch {
	case errors.Is(err, memory.ErrTooLong):
		return BodyTooLong
	case evicted, errors.Is(err, memory.ErrFull), errors.Is(err, memory.ErrEvicted):
		return NoMemory
	case err != nil && !errors.Is(err, os.ErrDeadlineExceeded):
		return ""
	case b.isStopped():
		return Stopping
	case !time.Now().Before(deadline):
		return BodyLate
	}
	return ""
}

func (b *Bodies) isStopped() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.stopped
}

// connOf returns the connection of a request, nil if it isn't tracked.
func connOf(ctx context.Context) *conn {
	c, _ := ctx.Value(connKey{}).(*conn)
	return c
}

// isExpired reports whether the connection is to be closed. Nil isn't.
func (c *conn) isExpired() bool { return c != nil && c.life.Load() == expired }

// setReceiving records whether the body of a request arrives. Nil is allowed.
func (c *conn) setReceiving(receiving bool) {
	if c == nil {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.receiving = receiving
}
