package serving

import (
	"context"
	"errors"
	"net/http"
	"strconv"
	"syscall"
)

// handleSendError handles an attempt that got no answer, or lost it midway. If anything was sent, it is
// counted already.
func (e *exchange) handleSendError(ctx context.Context, target Target, err error) (retryable bool, f *fault) {
	cancelled := errors.Is(context.Cause(ctx), errStalled) || errors.Is(context.Cause(ctx), errEvicted)
	var notSent *NotSentError
	errors.As(err, &notSent)
	if ctx.Err() != nil && !cancelled {
		return false, e.expired(ctx)
	}
	held := errors.Is(context.Cause(ctx), errHeld)
	if held {
		e.logFailedAttempt(target, errHeld)
		e.reportCanceled(target)
		if f := e.checkHold(); f != nil {
			return false, f
		}
	}
	silent, warned := errors.Is(context.Cause(ctx), errSilent), errors.Is(context.Cause(ctx), errWarned)
	if !silent && !warned && !held { // already reported, here or by others
		failure := AnswerLost
		if notSent != nil {
			failure = Unresponsive
		}
		e.recordFailure(target, failure)
	}
	e.logFailedAttempt(target, err)
	if notSent != nil || timedOut(err) {
		e.server.opts.Reach.Failed(target.Worker)
	}
	if notSent == nil {
		e.reportLost(ctx, target)
	}
	if notSent != nil {
		return true, &fault{status: http.StatusServiceUnavailable, reason: "the worker can't be reached", retryAfter: unavailableRetryDelay}
	}
	return e.route.IsRepeatable(), &fault{status: http.StatusBadGateway, reason: "the answer of the worker is lost", aborted: e.answerStarted}
}

// timedOut reports whether a connection failed since sent data remained unacknowledged.
func timedOut(err error) bool { return errors.Is(err, syscall.ETIMEDOUT) }

// Failure is the way in which a target failed a request.
type Failure int

const (
	// AnswerLost means that a single answer was lost.
	AnswerLost Failure = iota
	// Unresponsive means that a stream got no further events, or that the target can't be
	// reached.
	Unresponsive
)

// recordFailure records that a target failed in a way that a healthy one doesn't.
func (e *exchange) recordFailure(target Target, failure Failure) {
	e.server.opts.Balancer.RecordFailure(target.Key, e.server.opts.Now())
	if e.service.Runtime != nil {
		e.server.opts.Suspect(target.Key, failure)
	}
}

// handleRejection handles an attempt that the worker rejected without running the request.
func (e *exchange) handleRejection(target Target, reply *Reply) (retryable bool, f *fault) {
	e.server.opts.Counters.rejected.Inc()
	e.server.opts.Balancer.RecordRefusal(target.Key, e.server.opts.Now())
	e.logFailedAttempt(target, &rejectedError{status: reply.Status})
	if reply.WrongWorker {
		e.recordFailure(target, AnswerLost)
	}
	return true, &fault{status: http.StatusServiceUnavailable, reason: "the worker has no room", retryAfter: busyRetryDelay}
}

type rejectedError struct{ status int }

func (r *rejectedError) Error() string { return "rejected with status " + strconv.Itoa(r.status) }
