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
	// TooLate means that the response would come after the deadline.
	TooLate Reason = "the answer would come after the deadline"
	// NothingServes means that no group or VM serves the pool at present.
	NothingServes Reason = "nothing serves this at present"
	// Stopping means that the daemon is shutting down.
	Stopping Reason = "this daemon is shutting down"
)

// Refusal is the error returned for a request that wasn't admitted. It says when to retry.
type Refusal struct {
	reason     Reason
	retryAfter time.Duration
}

// NewRefusal returns a refusal.
func NewRefusal(reason Reason, retryAfter time.Duration) *Refusal {
	return &Refusal{reason: reason, retryAfter: retryAfter}
}

// Error returns the reason as an error message.
func (r *Refusal) Error() string { return fmt.Sprintf("refused: %s", r.reason) }

// Reason returns why the request was refused.
func (r *Refusal) Reason() Reason { return r.reason }

// RetryAfter returns how long the client should wait before it retries.
func (r *Refusal) RetryAfter() time.Duration { return r.retryAfter }

// Bounds of RetryAfter, the time that a refused client should wait before it retries.
const (
	minRetryAfter = time.Second
	maxRetryAfter = 2 * time.Minute
)

// RetrySchedule distributes the retries of refused clients over the time that the queue
// will need. Each client gets the next slot behind the waiting requests and the clients
// refused earlier, so that they neither return together nor into the same overload.
type RetrySchedule struct {
	next time.Time
}

// Reserve returns after how long a refused client should retry. backlog is the time that
// the waiting requests will take, interval the time that one request takes of the
// daemon's whole share. random, in [0, 1), keeps daemons out of step with each other.
func (a *RetrySchedule) Reserve(now time.Time, backlog, interval time.Duration, random float64) time.Duration {
	earliest := now.Add(max(backlog, minRetryAfter))
	if a.next.Before(earliest) {
		a.next = earliest
	}
	wait := a.next.Sub(now) + time.Duration(random*float64(minRetryAfter))
	if wait > maxRetryAfter {
		return maxRetryAfter - time.Duration(random*float64(maxRetryAfter/2))
	}
	a.next = a.next.Add(interval)
	return wait
}
