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

// The shortest and the longest time after which a refused caller is asked to
// come back.
const (
	soonest = time.Second
	latest  = 2 * time.Minute
)

// Appointments spreads refused callers over the time that the queue will need:
// each gets the next place behind those that wait and those that were refused
// before, so that they neither return together nor into the same crowd.
type Appointments struct {
	next time.Time
}

// Book returns after how long a refused caller should come back. Backlog is how
// long those that wait will take, each how long one request takes the whole
// daemon's share. Random, in [0, 1), keeps daemons from booking in step.
func (a *Appointments) Book(now time.Time, backlog, each time.Duration, random float64) time.Duration {
	earliest := now.Add(max(backlog, soonest))
	if a.next.Before(earliest) {
		a.next = earliest
	}
	wait := a.next.Sub(now) + time.Duration(random*float64(soonest))
	if wait > latest {
		return latest - time.Duration(random*float64(latest/2))
	}
	a.next = a.next.Add(each)
	return wait
}
