package serving

import (
	"errors"
	"sync"
	"syscall"
	"time"

	"github.com/pointpass/pointpass/retry"
)

// errRetryOverdue means that a request wasn't written since its retry was counted too long before, and the budget has
// no room for another one.
var errRetryOverdue = errors.New("the retry was counted too long ago")

// maxSpendAge is how long before it is written a retry may have been counted. It belongs to the requests and daemons of
// that time.
const maxSpendAge = 100 * time.Millisecond

// sending is one sending of a request to a target, until the target shows that it has read it.
type sending struct {
	exchange *exchange
	target   Target

	mu sync.Mutex
	// tracked is set once the request begins to be written.
	tracked *retry.Sending
}

func (e *exchange) newSending(target Target) *sending {
	return &sending{exchange: e, target: target}
}

// trail returns the sendings of the request. They outlive it.
func (e *exchange) trail() *retry.Trail {
	e.trailOnce.Do(func() { e.sendings = &retry.Trail{} })
	return e.sendings
}

// started is called right before the request is written to a connection, and returns the time that is left for it.
// After an error it isn't written.
func (s *sending) started() (left time.Duration, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	e := s.exchange
	now := e.server.opts.Now()
	left = e.deadline.Sub(now)
	if s.tracked != nil { // nothing was written to the connection before
		return left, nil
	}
	tracked, covered := e.trail().Begin(now, maxSpendAge)
	if !covered && e.spendRetryAt(now) {
		tracked, covered = e.trail().Begin(now, maxSpendAge)
	}
	if !covered {
		return left, errRetryOverdue
	}
	s.tracked = tracked
	return left, nil
}

// begun returns the tracked sending, nil if nothing was written.
func (s *sending) begun() *retry.Sending {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.tracked
}

// finished records the outcome of a sending to a worker: the head of an answer, or the error without one.
func (s *sending) finished(err error) {
	if showsRead(err) {
		s.exchange.server.opts.Placement.Read(s.target.Worker)
	}
	tracked := s.begun()
	if tracked == nil {
		return
	}
	server, worker, now := s.exchange.server, s.target.Worker.ID, s.exchange.server.opts.Now()
	var notSent *NotSentError
	var lost *LostError
	switch {
	case err == nil:
		server.unread.Answered(worker, tracked.Begun(), now)
		tracked.Read(now)
	case errors.As(err, &notSent):
		tracked.Withdraw()
	case errors.As(err, &lost) && lost.Ended:
		tracked.Read(now)
	default:
		server.unread.Add(worker, tracked, now)
	}
	s.log(now, err)
}

// showsRead reports whether the outcome of a sending shows that its worker's process runs or has ended.
func showsRead(err error) bool {
	var lost *LostError
	return err == nil || (errors.As(err, &lost) && lost.Ended) || errors.Is(err, syscall.ECONNREFUSED)
}

// forwarded records the outcome of a sending to a peer. Only a success shows that a worker has read the request.
func (s *sending) forwarded(reply *Reply, err error) {
	tracked := s.begun()
	if tracked == nil {
		return
	}
	now := s.exchange.server.opts.Now()
	var notSent *NotSentError
	switch {
	case errors.As(err, &notSent) || (err == nil && reply.Unreachable):
		tracked.Withdraw()
	case err == nil && reply.Status/100 == 2:
		tracked.Read(now)
	}
	s.log(now, err)
}

// log logs a sending that was a retry.
func (s *sending) log(now time.Time, err error) {
	e, tracked := s.exchange, s.begun()
	if tracked.Counted().IsZero() {
		return
	}
	waited, unanswered := tracked.Begun().Sub(tracked.Counted()), now.Sub(tracked.Begun())
	e.server.opts.Counters.retryWait.Update(waited.Seconds())
	e.server.opts.Counters.retryUnanswered.Update(unanswered.Seconds())
	e.server.opts.Log.Info().Str("event", "retry_sent").Str("id", logged(e.req.ID)).Str("service", e.service.Name).
		Str("target", s.target.Key).Str("worker", s.target.Worker.ID).Dur("waited", waited).Dur("unanswered", unanswered).
		Str("outcome", outcomeOf(err)).Err(loggedError(err)).Msg("")
}

// outcomeOf names the outcome of a sending.
func outcomeOf(err error) string {
	var notSent *NotSentError
	var lost *LostError
	switch {
	case err == nil:
		return "answered"
	case errors.As(err, &notSent):
		return "not_sent"
	case errors.As(err, &lost) && lost.Ended:
		return "ended"
	}
	return "unread"
}
