package serving

import (
	"context"
	"errors"
	"net/http"
	"sync"
	"time"

	"github.com/pointpass/pointpass/admission"
	"github.com/pointpass/pointpass/catalog"
	"github.com/pointpass/pointpass/common/tcp"
	"github.com/pointpass/pointpass/placement"
	"github.com/pointpass/pointpass/quarantine"
	"github.com/pointpass/pointpass/retry"
	"github.com/pointpass/pointpass/throttle"
)

// exchange is the processing of one request.
type exchange struct {
	server   *Server
	w        http.ResponseWriter
	req      *Request
	arrived  time.Time
	deadline time.Time
	inForce  catalog.InForce
	route    *catalog.Route
	customer *catalog.Customer
	service  *catalog.Service
	// place is the request's place in its model's admission window, nil if no window applies.
	place *admission.Permit

	// print is the request's fingerprint, valid if hasFingerprint is set.
	print          quarantine.Fingerprint
	hasFingerprint bool
	// partPrints are the fingerprints of the shared parts of the prompt, nil if not computed.
	partPrints []quarantine.Fingerprint
	// awaitsVerdict is set if the last attempt may have crashed its worker by a suspected part.
	awaitsVerdict bool
	// hold is the hold that the request is under, nil if there is none.
	hold *quarantine.Hold
	// stage is how far the worker got in the current attempt, producingAt when it sent the first event.
	stage       quarantine.Stage
	producingAt time.Time
	// sent counts the workers that got the request; tried lists the targets of all attempts.
	sent  int
	tried []string
	// midAnswerRejections counts the workers that rejected the request, without running it,
	// after its answer had started. They aren't included in sent.
	midAnswerRejections int
	// lostOnKept is set if a kept connection ended under the last attempt, as others may.
	lostOnKept bool
	// mayHaveRun is set once a worker may have run the request or may still run it.
	mayHaveRun bool
	// overload is the decision by which the request was refused for lack of capacity, nil if
	// it wasn't.
	overload *overloadDecision
	// barred is why the request may not run at a target that exists; its zero value means that
	// it may.
	barred placement.Verdict
	// barredRegions are the allowed regions at the time the request was barred.
	barredRegions placement.Request
	// overBudget is the state of the retry budget if the request wasn't retried because it was
	// used up, otherwise nil.
	overBudget *retry.Usage
	// answerStarted is set once the head of an answer was written to the caller.
	answerStarted bool
	status        int
	// forwardedTo is the peer that the request was forwarded to, and forwardedBy the one that
	// forwarded it here, "" if none did.
	forwardedTo, forwardedBy string
	// attempts limits the workers that a forwarded request may be sent to, 0 if it isn't one.
	attempts int
	// ctx ends with the request. reserved is what the next attempt uses, nil if it has to take that itself;
	// next is the attempt by which a started answer goes on, nil if there is none yet.
	ctx      context.Context
	reserved *reservation
	next     *move
	// sendings are those of the request to workers and peers, and the retries counted for them; see trail.
	sendings   *retry.Trail
	trailOnce  sync.Once
	firstEvent time.Time
	lastEvent  string
	resumed    int
	// failure is a worker's error answer, kept for the case that no other worker can be tried.
	failure *bufferedAnswer
}

// maxMidAnswerRejections bounds how many workers may reject a request after its answer has
// started.
const maxMidAnswerRejections = 2

// deadlineMargin is how long before its deadline a request is given up, so that the response
// arrives in time. minAttemptTime is the least remaining time that justifies an attempt.
const (
	deadlineMargin = 20 * time.Millisecond
	minAttemptTime = 30 * time.Millisecond
)

// errStalled is the cancellation cause of an attempt whose target sends nothing.
var errStalled = errors.New("target sent nothing within the timeout")

// errStopping is the cancellation cause of a request that is given up since this process stops.
var errStopping = errors.New("the daemon is stopping")

// serve runs an admitted request within its model's window.
func (e *exchange) serve(ctx context.Context) *fault {
	if f := e.checkHold(); f != nil {
		return f
	}
	if f := e.enterWindow(); f != nil {
		return f
	}
	defer e.leaveWindow()
	f := e.run(ctx)
	if f == nil {
		e.recordFinished()
	}
	return f
}

// run makes attempts until the request has an answer or may not be sent again.
func (e *exchange) run(ctx context.Context) *fault {
	ctx, cancel := context.WithDeadlineCause(ctx, e.deadline.Add(-deadlineMargin), context.DeadlineExceeded)
	defer cancel()
	e.ctx = ctx
	defer e.trail().End()
	defer e.dropReserved()
	for {
		if e.server.opts.Reach.Silenced(e.service.Name) {
			if done, f := e.forwardSilenced(ctx); done {
				return f
			}
		}
		target, f := e.nextTarget(ctx)
		if f != nil {
			if done, forwarded := e.forwardRefused(ctx); done {
				return forwarded
			}
			return e.giveUp(f)
		}
		retryable, f := e.attempt(ctx, target)
		for retryable && e.next != nil {
			retryable, f = e.continueAt(e.next)
		}
		if !retryable {
			return f
		}
		if ctx.Err() != nil {
			return e.expired(ctx)
		}
		if e.sent >= e.maxAttempts() {
			return e.giveUp(f)
		}
		if !e.awaitVerdict(ctx) {
			return e.expired(ctx)
		}
		if e.reserved == nil && e.trail().NeedsRetry() && !e.spendRetry() {
			return e.giveUp(f)
		}
	}
}

// context returns the context that ends with the request.
func (e *exchange) context() context.Context {
	if e.ctx == nil {
		return context.Background()
	}
	return e.ctx
}

// nextTarget returns the target that is reserved, or else chooses one.
func (e *exchange) nextTarget(ctx context.Context) (Target, *fault) {
	r := e.reserved
	if r == nil {
		return e.choose(ctx)
	}
	if f := e.checkHold(); f != nil {
		return Target{}, f
	}
	e.reserved = nil
	return r.target, nil
}

// dropReserved gives back what was reserved and not used.
func (e *exchange) dropReserved() {
	if e.reserved != nil {
		e.server.opts.Balancer.Done(e.reserved.target.Key)
		e.reserved = nil
	}
}

// maxAttempts returns how many workers the request may be sent to.
func (e *exchange) maxAttempts() int {
	if e.attempts > 0 {
		return min(e.attempts, e.route.Attempts)
	}
	return e.route.Attempts
}

// spendRetry counts a retry against the budget of the service, and reports whether the budget had
// room for it.
func (e *exchange) spendRetry() bool {
	now := e.server.opts.Now()
	if e.spendRetryAt(now) {
		return true
	}
	e.recordOverBudget(now)
	return false
}

// recordOverBudget records that the request isn't retried since the budget has no room.
func (e *exchange) recordOverBudget(now time.Time) {
	s := e.server
	usage := s.budget(e.service.Name).Usage(now, s.opts.Allowance())
	e.overBudget = &usage
	s.opts.Counters.overBudget.Inc()
}

// spendRetryAt is spendRetry for an attempt that the request doesn't depend on.
func (e *exchange) spendRetryAt(now time.Time) bool {
	r, spent := e.server.spendRetry(e.service.Name, now)
	if spent {
		e.trail().Add(r)
		e.server.opts.Counters.retried(e.service.Name)
	}
	return spent
}

// giveUp returns the final response to a request, or nil if it wrote a worker's error answer.
// It reports the request as refused only if it certainly never ran.
func (e *exchange) giveUp(f *fault) *fault {
	if !e.answerStarted && e.writeFailure() {
		return nil
	}
	if e.answerStarted {
		return &fault{status: http.StatusBadGateway, reason: f.reason, aborted: true}
	}
	if e.mayHaveRun && !e.route.IsRepeatable() {
		return &fault{status: http.StatusBadGateway, reason: f.reason}
	}
	return f
}

// expired returns the response to a request whose deadline has passed, whose caller has gone, or that is given up at a stop.
func (e *exchange) expired(ctx context.Context) *fault {
	reason := "the caller has gone"
	switch cause := context.Cause(ctx); {
	case errors.Is(cause, errStopping) && !e.mayHaveRun && !e.answerStarted:
		return stoppingFault()
	case errors.Is(cause, errStopping):
		reason = errStopping.Error()
	case errors.Is(cause, context.DeadlineExceeded):
		reason = "the deadline has passed"
	}
	return &fault{status: http.StatusGatewayTimeout, reason: reason, aborted: e.answerStarted}
}

// attempt sends the request to one target and relays the answer. retryable reports whether
// another target may be tried, and the fault is the response if none is.
func (e *exchange) attempt(ctx context.Context, target Target) (retryable bool, f *fault) {
	s := e.server
	defer s.opts.Balancer.Done(target.Key)
	e.tried = append(e.tried, target.Key)
	left := e.deadline.Sub(s.opts.Now())
	if left < minAttemptTime {
		return false, e.expired(ctx)
	}
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	e.recordSent(s.opts.Now(), target)
	e.stage = e.initialStage()
	e.fingerprint()
	e.partFingerprints()
	watch := e.watch(target.Key, cancel)
	defer watch.stop()
	retryable, f = e.send(ctx, cancel, target, left, watch)
	e.next = watch.takeMove(retryable)
	e.absorb(watch)
	return retryable, f
}

// send implements attempt.
func (e *exchange) send(ctx context.Context, cancel context.CancelCauseFunc, target Target, left time.Duration, watch *watch) (retryable bool, f *fault) {
	s := e.server
	sent := s.opts.Now()
	sending := e.newSending(target)
	a := e.newAttempt(target, left, e.lastEvent, e.lostOnKept)
	a.Started = sending.started
	reply, err := s.answers.send(a, cancel, func(a Attempt) (*Reply, error) { return s.opts.Upstream.Send(ctx, a) })
	sending.finished(err)
	e.lostOnKept = false
	if errors.Is(err, errRetryOverdue) {
		e.recordOverBudget(s.opts.Now())
		return false, e.giveUp(&fault{status: http.StatusBadGateway, reason: "the answer of the worker is lost", aborted: e.answerStarted})
	}
	if err != nil {
		e.countSending(err)
		var lost *LostError
		e.lostOnKept = errors.As(err, &lost) && lost.Kept && ctx.Err() == nil
		return e.handleSendError(ctx, target, err)
	}
	defer reply.Body.Close()
	s.opts.Reach.Answered(target.Worker)
	if !reply.WrongWorker {
		s.opts.AnswerObserver.Observe(throttle.Answer{Worker: target.Worker, Backpressure: reply.Backpressure, Sent: sent, At: s.opts.Now()})
	}
	if reply.NotRun && e.answerStarted && e.midAnswerRejections < maxMidAnswerRejections {
		e.midAnswerRejections++ // counting it as an attempt could end the answer early, though this worker ran nothing
		return e.handleRejection(target, reply)
	}
	e.sent++
	if reply.NotRun {
		return e.handleRejection(target, reply)
	}
	e.mayHaveRun = true
	s.opts.Balancer.RecordAcceptance(target.Key)
	e.stage = quarantine.Begun
	if e.route.Kind == catalog.Stream && reply.Status == http.StatusOK {
		return e.relayStream(ctx, target, reply, watch)
	}
	return e.relayBuffered(ctx, cancel, target, reply)
}

// newAttempt returns an attempt that goes on after an event, on a new connection if fresh is set.
func (e *exchange) newAttempt(target Target, left time.Duration, lastEvent string, fresh bool) Attempt {
	a := Attempt{
		Request:   e.req,
		Worker:    target.Worker,
		Priority:  e.route.Priority,
		Timeout:   left,
		LastEvent: lastEvent,
		Once:      !e.route.IsRepeatable(),
		Fresh:     fresh,
	}
	if e.customer != nil {
		a.Customer = e.customer.Name
		if e.customer.Priority != catalog.NoPriority {
			a.Priority = e.customer.Priority
		}
	}
	return a
}

// countSending counts an attempt without an answer, unless nothing was sent.
func (e *exchange) countSending(err error) {
	var notSent *NotSentError
	if !errors.As(err, &notSent) {
		e.sent++
		e.mayHaveRun = true
	}
}

// startAnswer sets the header of a worker's answer on the response.
func (e *exchange) startAnswer(reply *Reply) {
	header := e.w.Header()
	for name, values := range reply.Header {
		header[name] = values
	}
	e.answerStarted = true
	e.status = reply.Status
}

// finish logs the request and writes the fault, if any.
func (e *exchange) finish(r *http.Request, f *fault) {
	e.record(r.Context(), f)
	if f == nil {
		return
	}
	if f.aborted || r.Context().Err() != nil {
		e.abort(r)
	}
	writeFault(e.w, f)
}

// abort breaks off the answer and doesn't return. An answer to HTTP/1.0 has no chunks, so that only
// a reset tells its caller that it isn't complete.
func (e *exchange) abort(r *http.Request) {
	if r.ProtoAtLeast(1, 1) {
		panic(http.ErrAbortHandler)
	}
	conn, _, err := http.NewResponseController(e.w).Hijack()
	if err != nil {
		e.server.opts.Log.Warn().Str("event", "answer_not_reset").Str("id", logged(e.req.ID)).Err(loggedError(err)).Msg("")
		panic(http.ErrAbortHandler)
	}
	if !tcp.Reset(conn) {
		e.server.opts.Log.Warn().Str("event", "answer_not_reset").Str("id", e.req.ID).Msg("")
	}
	panic(http.ErrAbortHandler)
}
