package serving

import (
	"context"
	"errors"
	"net/http"
	"time"

	"github.com/pointpass/pointpass/quarantine"
	"github.com/pointpass/pointpass/throttle"
)

// move is an attempt to go on with a started answer at another target while the current target is
// silent. The current attempt is canceled only once the other target has sent the next event: a silent
// worker may be sound, and the other one may reject the request or fail too.
type move struct {
	ctx    context.Context
	cancel context.CancelCauseFunc
	// cause is why the current attempt is canceled if the move succeeds. after is the last event that
	// the caller has got.
	cause error
	after string

	target Target
	reply  *Reply
	// events holds the next event. It is set once the move has succeeded, before done is closed.
	events *eventReader
	done   chan struct{}
}

// Errors by which a move fails.
var (
	errNoRoom     = errors.New("no attempt, retry or target is left")
	errNotNeeded  = errors.New("the stream has gone on")
	errNoNewEvent = errors.New("the next event did not come")
)

// drop ends a move whose stream isn't used.
func (m *move) drop() {
	m.cancel(nil)
	if m.reply != nil {
		m.reply.Body.Close()
	}
}

// reservation is a target with a request counted there. The request has a retry for it.
type reservation struct{ target Target }

// reserve takes all that another attempt needs: an attempt of the request, a retry of the service, and a place
// at a target. The caller holds the lock.
func (w *watch) reserve(now time.Time) (*reservation, bool) {
	e := w.exchange
	s := e.server
	if !w.canMove(now) {
		return nil, false
	}
	targets, _ := e.allowedTargets()
	excluded := append([]string(nil), w.tried...)
	spent := e.trail().HasUnused()
	for {
		target, found := s.opts.Balancer.Choose(targets, excluded, false, now)
		if !found {
			return nil, false
		}
		if !spent && !e.spendRetryAt(now) {
			s.opts.Balancer.Done(target.Key)
			return nil, false
		}
		spent = true
		if s.opts.Placement.Admit(e.placementRequest(), target.Worker).Allowed() {
			return &reservation{target: target}, true
		}
		s.opts.Balancer.Done(target.Key)
		excluded = append(excluded, target.Key)
	}
}

// startMove starts to move the answer. The caller holds the lock.
func (w *watch) startMove(cause error) {
	m := &move{cause: cause, after: w.relayed, done: make(chan struct{})}
	m.ctx, m.cancel = context.WithCancelCause(w.exchange.context())
	w.move = m
	if errors.Is(cause, errSilent) {
		w.reportSilence(Unresponsive)
	}
	go w.runMove(m)
}

// runMove makes a move, and cancels the current attempt if it has succeeded.
func (w *watch) runMove(m *move) {
	defer close(m.done)
	events, err := w.tryMove(m)
	w.mu.Lock()
	defer w.mu.Unlock()
	now := w.exchange.server.opts.Now()
	if w.ended || w.relayed != m.after || errors.Is(context.Cause(m.ctx), errNotNeeded) {
		err = errNotNeeded
	}
	w.logMove(m, now, err)
	if err != nil {
		m.drop()
		if m.target.Key != "" {
			w.exchange.server.opts.Balancer.Done(m.target.Key)
		}
		w.move = nil
		if !w.ended {
			_, nextEventTimeout := w.exchange.server.timeouts(w.key)
			w.arm(now, nextEventTimeout)
		}
		return
	}
	m.events = events
	if !w.awaited {
		w.end(m.cause, now)
	}
}

// tryMove sends the request to another target and waits for the next event.
func (w *watch) tryMove(m *move) (*eventReader, error) {
	e := w.exchange
	s := e.server
	s.opts.WaitFresh(m.ctx)
	w.mu.Lock()
	r, ok := w.reserve(s.opts.Now())
	if ok {
		m.target = r.target
		w.tried = append(w.tried, r.target.Key)
	}
	w.mu.Unlock()
	if !ok {
		return nil, errNoRoom
	}
	now := s.opts.Now()
	left := e.deadline.Sub(now)
	if left < minAttemptTime {
		return nil, context.DeadlineExceeded
	}
	sending := e.newSending(m.target)
	a := e.newAttempt(m.target, left, m.after, false)
	a.Started = sending.started
	reply, err := s.answers.send(a, m.cancel, func(a Attempt) (*Reply, error) { return s.opts.Upstream.Send(m.ctx, a) })
	sending.finished(err)
	if errors.Is(err, errRetryOverdue) {
		return nil, errNoRoom
	}
	if err != nil {
		w.recordMoveError(m, err)
		return nil, err
	}
	m.reply = reply
	s.opts.Reach.Answered(m.target.Worker)
	if !reply.WrongWorker {
		s.opts.AnswerObserver.Observe(throttle.Answer{Worker: m.target.Worker, Backpressure: reply.Backpressure, Sent: now, At: s.opts.Now()})
	}
	if err := w.checkMoved(m); err != nil {
		return nil, err
	}
	events := reply.events(m.after)
	for events.next() {
		switch {
		case !events.isEvent():
		case events.id() != "" && !isNextEvent(m.after, events.id()):
			return nil, errEventGap
		default:
			events.hold()
			return events, nil
		}
	}
	if events.err != nil {
		w.reportMoveLost(m, quarantine.Begun)
		return nil, &LostError{Err: events.err}
	}
	return nil, errNoNewEvent
}

// checkMoved counts the attempt of a move, and returns an error if the reply isn't a stream.
func (w *watch) checkMoved(m *move) error {
	e := w.exchange
	s := e.server
	w.mu.Lock()
	defer w.mu.Unlock()
	if m.reply.NotRun {
		s.opts.Counters.rejected.Inc()
		s.opts.Balancer.RecordRefusal(m.target.Key, s.opts.Now())
		if m.reply.WrongWorker {
			e.recordFailure(m.target, AnswerLost)
		}
		if w.rejections < w.maxRejections {
			w.rejections++
		} else {
			w.sent++
		}
		return &rejectedError{status: m.reply.Status}
	}
	w.sent++
	s.opts.Balancer.RecordAcceptance(m.target.Key)
	if m.reply.Status != http.StatusOK {
		e.recordAnswer(m.target, m.reply.Status >= http.StatusInternalServerError)
		return &failedError{status: m.reply.Status}
	}
	return nil
}

// recordMoveError records that a move got no reply.
func (w *watch) recordMoveError(m *move, err error) {
	if m.ctx.Err() != nil {
		w.countMove()
		return
	}
	e := w.exchange
	var notSent *NotSentError
	if errors.As(err, &notSent) {
		e.recordFailure(m.target, Unresponsive)
		e.server.opts.Reach.Failed(m.target.Worker)
		return
	}
	w.countMove()
	e.recordFailure(m.target, AnswerLost)
	if timedOut(err) {
		e.server.opts.Reach.Failed(m.target.Worker)
	}
	w.reportMoveLost(m, e.initialStage())
}

// countMove counts a move that may have reached a worker.
func (w *watch) countMove() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.sent++
}

// reportMoveLost reports that the answer of a move broke off.
func (w *watch) reportMoveLost(m *move, stage quarantine.Stage) {
	if m.ctx.Err() != nil || !w.hasPrint {
		return
	}
	lost := quarantine.LostRequest{Fingerprint: w.print, Stage: stage, Resent: true, Parts: w.parts}
	w.exchange.server.opts.Crashes.Lost(m.target.Worker, lost)
}

// takeMove ends the watch, and returns the move by which the answer goes on, nil if there is none. One that is
// under way is awaited if the answer needs it, else canceled.
func (w *watch) takeMove(needed bool) *move {
	w.mu.Lock()
	m := w.move
	w.ended = !needed || m == nil
	w.awaited = true
	w.mu.Unlock()
	if m == nil {
		return nil
	}
	if !needed {
		m.cancel(nil)
	}
	<-m.done
	w.mu.Lock()
	defer w.mu.Unlock()
	w.ended = true
	if m.events == nil {
		return nil
	}
	if !needed {
		m.drop()
		w.exchange.server.opts.Balancer.Done(m.target.Key)
		return nil
	}
	return m
}

// absorb adds what the moves of a watch have used to what the request has used.
func (e *exchange) absorb(w *watch) {
	w.mu.Lock()
	defer w.mu.Unlock()
	e.sent += w.sent
	e.midAnswerRejections += w.rejections
	e.tried = w.tried
	e.reserved = w.reserved
}

// continueAt goes on with the answer at the target that it has moved to.
func (e *exchange) continueAt(m *move) (retryable bool, f *fault) {
	defer e.server.opts.Balancer.Done(m.target.Key)
	defer m.drop()
	e.lostOnKept = false
	e.stage = quarantine.Begun
	e.recordSent(e.server.opts.Now(), m.target)
	w := e.watchMoved(m)
	defer w.stop()
	retryable, f = e.relayEvents(m.ctx, m.target, m.reply, m.events, w)
	e.next = w.takeMove(retryable)
	e.absorb(w)
	return retryable, f
}

// logMove logs the outcome of a move. The caller holds the lock.
func (w *watch) logMove(m *move, now time.Time, err error) {
	e := w.exchange
	outcome := "moved"
	switch {
	case errors.Is(err, errNoRoom):
		outcome = "no_room"
	case errors.Is(err, errNotNeeded):
		outcome = "not_needed"
	case err != nil:
		outcome = "failed"
	}
	e.server.opts.Counters.moved(outcome)
	e.server.opts.Log.Info().Str("event", "stream_move").Str("id", logged(e.req.ID)).Str("from", w.key).Str("to", m.target.Key).Str("after_event", m.after).
		Dur("silent", now.Sub(w.last)).Str("outcome", outcome).Err(loggedError(err)).Msg("")
}
