package serving

import (
	"errors"
	"sync"
	"time"
)

// sending is one sending of a request to a target. It follows how long after its retry was counted the request is
// written, and how long after that the target shows that it has read it.
type sending struct {
	exchange *exchange
	target   Target

	mu sync.Mutex
	// counted is when its retry was counted, zero for the first sending of a request.
	counted time.Time
	// written is when the request began to be written, zero until then.
	written time.Time
}

// newSending returns a sending whose retry was counted at a time, zero if it needs none.
func (e *exchange) newSending(target Target, counted time.Time) *sending {
	return &sending{exchange: e, target: target, counted: counted}
}

// started is called right before the request is written to a connection.
func (s *sending) started() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.written = s.exchange.server.opts.Now()
}

// finished records the outcome of the sending: the head of an answer, or the error without one.
func (s *sending) finished(err error) {
	s.mu.Lock()
	counted, written := s.counted, s.written
	s.mu.Unlock()
	if counted.IsZero() || written.IsZero() {
		return
	}
	e := s.exchange
	unanswered := e.server.opts.Now().Sub(written)
	e.server.opts.Counters.retryWait.Update(written.Sub(counted).Seconds())
	e.server.opts.Counters.retryUnanswered.Update(unanswered.Seconds())
	e.server.opts.Log.Info().Str("event", "retry_sent").Str("id", logged(e.req.ID)).Str("service", e.service.Name).
		Str("target", s.target.Key).Str("worker", s.target.Worker.ID).Dur("waited", written.Sub(counted)).
		Dur("unanswered", unanswered).Str("outcome", outcomeOf(err)).Err(loggedError(err)).Msg("")
}

// outcomeOf names the outcome of a sending.
func outcomeOf(err error) string {
	var notSent *NotSentError
	switch {
	case err == nil:
		return "answered"
	case errors.As(err, &notSent):
		return "not_sent"
	}
	return "lost"
}
