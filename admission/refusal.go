package admission

import (
	"fmt"
	"time"
)

// Reason is why a request was refused.
type Reason string

const (
	// QueueFull means that the customer has too many requests waiting.
	QueueFull Reason = "too many requests of this customer are waiting"
	// TooLate means that the answer would come after the deadline.
	TooLate Reason = "the answer would come after the deadline"
	// NothingServes means that no group or VM serves the pool at present.
	NothingServes Reason = "nothing serves this at present"
	// Stopping means that the daemon is on its way out.
	Stopping Reason = "this daemon is shutting down"
)

// Refusal says that a request was not let in, and when to come back.
type Refusal struct {
	reason     Reason
	retryAfter time.Duration
}

// NewRefusal returns a refusal.
func NewRefusal(reason Reason, retryAfter time.Duration) *Refusal {
	return &Refusal{reason: reason, retryAfter: retryAfter}
}

// Error gives the reason.
func (r *Refusal) Error() string { return fmt.Sprintf("refused: %s", r.reason) }

// Reason returns why.
func (r *Refusal) Reason() Reason { return r.reason }

// RetryAfter returns how long the caller should wait.
func (r *Refusal) RetryAfter() time.Duration { return r.retryAfter }

// Spread returns when a refused caller should come back: after the backlog is
// worked off, and spread over as long again, so that the refused don't return
// together. Random is in [0, 1).
func Spread(backlog time.Duration, random float64) time.Duration {
	base := max(backlog, time.Second)
	return base + time.Duration(random*float64(base))
}
