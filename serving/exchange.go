package serving

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/pointpass/pointpass/admission"
	"github.com/pointpass/pointpass/catalog"
	"github.com/pointpass/pointpass/placement"
	"github.com/pointpass/pointpass/quarantine"
	"github.com/pointpass/pointpass/throttle"
)

// exchange is one request on its way.
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
	// place is the request's in its model's window, nil where nothing bounds it.
	place *admission.Place

	// print is the request's fingerprint, once it is printed.
	print   quarantine.Fingerprint
	printed bool
	// hold is how the request is held back, nil if it isn't.
	hold *quarantine.Hold
	// stage is how far the worker is with the attempt under way.
	stage quarantine.Stage
	// sent is how many workers got the request, tried the targets it was sent to.
	sent  int
	tried []string
	// turnedAway is how many workers that ran nothing turned the request away after its answer
	// had begun. They don't count in sent.
	turnedAway int
	// mayHaveRun tells that a worker may have run the request, now or later.
	mayHaveRun bool
	// noRoom is why the request was refused for want of room, nil if it wasn't.
	noRoom *noRoom
	// barred is why the request may not run where it could, the zero value if it may.
	barred placement.Verdict
	// barredRegions are the regions that bound the request when it was barred.
	barredRegions placement.Request
	// overBudget tells that the request was not sent again for want of budget.
	overBudget bool
	// begun tells that the head of an answer went out.
	begun      bool
	status     int
	firstEvent time.Time
	lastEvent  string
	resumed    int
	// failure is the whole answer of a worker that failed, kept in case that no
	// other worker can be tried.
	failure *wholeAnswer
}

// wholeAnswer is an answer that was read to its end.
type wholeAnswer struct {
	reply *Reply
	body  []byte
}

// mostTurnedAway bounds how many workers may turn a request away in the middle of its answer.
const mostTurnedAway = 2

// maxAnswer bounds an answer that isn't a stream, in bytes.
const maxAnswer = 16 << 20

// deadlineSlack is how long before the deadline a request is given up, so that
// its answer is out in time, and leastLeft how much time is worth sending with.
const (
	deadlineSlack = 20 * time.Millisecond
	leastLeft     = 30 * time.Millisecond
)

// errStalled is why an attempt at a target that sends nothing ends.
var errStalled = errors.New("the target has sent nothing for too long")

// serve runs an admitted request, as one of those under way for its model.
func (e *exchange) serve(ctx context.Context) *fault {
	if f := e.heldBack(); f != nil {
		return f
	}
	if f := e.enter(); f != nil {
		return f
	}
	defer e.leave()
	f := e.run(ctx)
	if f == nil {
		e.noteFinished()
	}
	return f
}

// run sends the request until it has an answer or may not be sent again.
func (e *exchange) run(ctx context.Context) *fault {
	ctx, cancel := context.WithDeadlineCause(ctx, e.deadline.Add(-deadlineSlack), context.DeadlineExceeded)
	defer cancel()
	for {
		target, f := e.choose(ctx)
		if f != nil {
			return e.giveUp(f)
		}
		again, f := e.attempt(ctx, target)
		if !again {
			return f
		}
		if ctx.Err() != nil {
			return e.expired(ctx)
		}
		if e.sent >= e.route.Attempts {
			return e.giveUp(f)
		}
		if e.sent > 0 && !e.server.spend(e.service.Name, e.server.opts.Now()) {
			e.server.opts.Counters.overBudget.Inc()
			e.overBudget = true
			return e.giveUp(f)
		}
	}
}

// giveUp returns the last answer to a request, nil if it passed on that of a
// worker that failed. It is a refusal only where it is sure that the request
// never ran.
func (e *exchange) giveUp(f *fault) *fault {
	if e.failure != nil && !e.begun {
		e.writeWhole(e.failure)
		return nil
	}
	if e.begun {
		return &fault{status: http.StatusBadGateway, reason: f.reason, aborted: true}
	}
	if e.mayHaveRun && !e.route.Repeats() {
		return &fault{status: http.StatusBadGateway, reason: f.reason}
	}
	return f
}

// expired returns the answer to a request whose time is over or whose caller
// has gone.
func (e *exchange) expired(ctx context.Context) *fault {
	reason := "the caller has gone"
	if errors.Is(context.Cause(ctx), context.DeadlineExceeded) {
		reason = "the deadline has passed"
	}
	return &fault{status: http.StatusGatewayTimeout, reason: reason, aborted: e.begun}
}

// attempt sends the request to one target and relays the answer. Again tells
// that another target may be tried; the fault is what to answer if none is.
func (e *exchange) attempt(ctx context.Context, target Target) (again bool, f *fault) {
	s := e.server
	defer s.opts.Balancer.Done(target.Key)
	e.tried = append(e.tried, target.Key)
	left := e.deadline.Sub(s.opts.Now())
	if left < leastLeft {
		return false, e.expired(ctx)
	}
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	sent := s.opts.Now()
	e.noteSent(sent, target)
	e.stage = e.firstStage()
	watch := e.watch(target.Key, cancel)
	defer watch.stop()
	reply, err := s.opts.Upstream.Send(ctx, e.newAttempt(target, left))
	if err != nil {
		return e.sendFailed(ctx, target, err)
	}
	defer reply.Body.Close()
	if !reply.Mistaken {
		s.opts.Asks.Heard(throttle.Answer{Worker: target.Worker, Ask: reply.Ask, Sent: sent, At: s.opts.Now()})
	}
	if reply.NotRun && e.begun && e.turnedAway < mostTurnedAway {
		e.turnedAway++ // its answer would be cut, while nobody has run more of it than allowed
		return e.rejected(target, reply)
	}
	e.sent++
	if reply.NotRun {
		return e.rejected(target, reply)
	}
	e.mayHaveRun = true
	s.opts.Balancer.Accepted(target.Key)
	e.stage = quarantine.Begun
	if e.route.Kind == catalog.Stream && reply.Status == http.StatusOK {
		return e.relayStream(ctx, target, reply, watch)
	}
	return e.relayWhole(ctx, target, reply)
}

func (e *exchange) newAttempt(target Target, left time.Duration) Attempt {
	a := Attempt{
		Request:       e.req,
		Worker:        target.Worker,
		Priority:      e.route.Priority,
		Left:          left,
		LastEvent:     e.lastEvent,
		NewConnection: !e.route.Repeats(),
	}
	if e.customer != nil {
		a.Customer = e.customer.Name
		if e.customer.Priority != catalog.NoPriority {
			a.Priority = e.customer.Priority
		}
	}
	return a
}

// sendFailed sorts out an attempt without an answer.
func (e *exchange) sendFailed(ctx context.Context, target Target, err error) (again bool, f *fault) {
	stalled := errors.Is(context.Cause(ctx), errStalled)
	var notSent *NotSentError
	if !errors.As(err, &notSent) {
		e.sent++
		e.mayHaveRun = true
	}
	if ctx.Err() != nil && !stalled {
		return false, e.expired(ctx)
	}
	if warned := errors.Is(context.Cause(ctx), errWarned); !warned { // others have told
		failure := AnswerLost
		if notSent != nil || errors.Is(context.Cause(ctx), errSilent) {
			failure = FellSilent
		}
		e.failed(target, failure)
	}
	e.logAttempt(target, err)
	if notSent == nil {
		e.noteLost(ctx, target)
	}
	if notSent != nil {
		return true, &fault{status: http.StatusServiceUnavailable, reason: "the worker can't be reached", retryAfter: absentRetry}
	}
	return e.route.Repeats(), &fault{status: http.StatusBadGateway, reason: "the answer of the worker is lost", aborted: e.begun}
}

// Failure is how a target failed a request.
type Failure int

const (
	// AnswerLost is a single answer that was lost.
	AnswerLost Failure = iota
	// FellSilent is a stream without further events, or a target that can't be reached.
	FellSilent
)

// failed notes that a target failed at what a sound one does.
func (e *exchange) failed(target Target, failure Failure) {
	e.server.opts.Balancer.Fail(target.Key, e.server.opts.Now())
	if e.service.Runtime != nil {
		e.server.opts.Suspect(target.Key, failure)
	}
}

// rejected handles a worker that did not run the request.
func (e *exchange) rejected(target Target, reply *Reply) (again bool, f *fault) {
	e.server.opts.Counters.rejected.Inc()
	e.server.opts.Balancer.Refused(target.Key, e.server.opts.Now())
	e.logAttempt(target, &rejectedError{status: reply.Status})
	if reply.Mistaken {
		e.failed(target, AnswerLost)
	}
	return true, &fault{status: http.StatusServiceUnavailable, reason: "the worker has no room", retryAfter: fullRetry}
}

type rejectedError struct{ status int }

func (r *rejectedError) Error() string { return "rejected with status " + strconv.Itoa(r.status) }

// relayWhole passes on an answer that isn't streamed, once all of it is here.
func (e *exchange) relayWhole(ctx context.Context, target Target, reply *Reply) (again bool, f *fault) {
	body, err := io.ReadAll(io.LimitReader(reply.Body, maxAnswer+1))
	if err == nil && len(body) > maxAnswer {
		err = io.ErrShortBuffer
	}
	if err != nil {
		return e.sendFailed(ctx, target, &LostError{Err: err})
	}
	answer := &wholeAnswer{reply: reply, body: body}
	failed := reply.Status >= http.StatusInternalServerError
	e.noteAnswer(target, failed)
	if failed && e.route.Repeats() && e.sent < e.route.Attempts {
		e.logAttempt(target, &failedError{status: reply.Status})
		if passable(reply.Status) {
			e.failure = answer
		}
		return true, &fault{status: http.StatusBadGateway, reason: "the worker failed", aborted: e.begun}
	}
	if e.begun { // a stream can't go on with a failure
		return true, &fault{status: http.StatusBadGateway, reason: "the stream can't be resumed", aborted: true}
	}
	if !passable(reply.Status) {
		return false, &fault{status: http.StatusBadGateway, reason: "the worker failed with status " + strconv.Itoa(reply.Status)}
	}
	e.writeWhole(answer)
	return false, nil
}

// How many failures in a row make a target suspect. Groups don't fail by
// themselves; plain services have errors of their own.
const (
	groupErrors = 1
	plainErrors = 3
)

// noteAnswer notes whether a target answered a request with a failure.
func (e *exchange) noteAnswer(target Target, failed bool) {
	switch {
	case !failed:
		e.server.opts.Balancer.Answered(target.Key)
	case e.service.Runtime != nil:
		e.server.opts.Balancer.Error(target.Key, groupErrors, e.server.opts.Now())
	default:
		e.server.opts.Balancer.Error(target.Key, plainErrors, e.server.opts.Now())
	}
}

// writeWhole passes on an answer that was read to its end.
func (e *exchange) writeWhole(a *wholeAnswer) {
	e.begin(a.reply)
	e.w.Header().Set("Content-Length", strconv.Itoa(len(a.body)))
	e.w.WriteHeader(a.reply.Status)
	e.w.Write(a.body)
}

// passable tells whether a worker's status can go to the caller as it is. Those
// that promise that the request didn't run can't, since the worker did not say
// so.
func passable(status int) bool {
	switch status {
	case http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		return false
	}
	return true
}

type failedError struct{ status int }

func (r *failedError) Error() string { return "failed with status " + strconv.Itoa(r.status) }

// begin hands the head of a worker's answer to the caller.
func (e *exchange) begin(reply *Reply) {
	header := e.w.Header()
	for name, values := range reply.Header {
		header[name] = values
	}
	e.begun = true
	e.status = reply.Status
}

// finish writes the fault, if any, and the request's line in the log.
func (e *exchange) finish(ctx context.Context, f *fault) {
	e.record(ctx, f)
	if f == nil {
		return
	}
	if f.aborted || ctx.Err() != nil {
		panic(http.ErrAbortHandler)
	}
	writeFault(e.w, f)
}
