package serving

import (
	"context"
	"errors"
	"net/http"
	"slices"

	"github.com/pointpass/pointpass/quarantine"
)

// relayStream relays the events of one worker. If the stream breaks, it reports whether
// another target may resume it.
func (e *exchange) relayStream(ctx context.Context, target Target, reply *Reply, watch *watch) (retryable bool, f *fault) {
	return e.relayEvents(ctx, target, reply, reply.events(e.lastEvent), watch)
}

func (e *exchange) relayEvents(ctx context.Context, target Target, reply *Reply, events *eventReader, watch *watch) (retryable bool, f *fault) {
	relay := e.newRelay(reply)
	for events.next() {
		e.server.opts.Reach.Answered(target.Worker)
		e.server.opts.Placement.Read(target.Worker)
		if !e.isNext(events) {
			return e.handleStreamError(ctx, target, errEventGap)
		}
		if !watch.relays(events) {
			return e.handleStreamError(ctx, target, context.Cause(ctx))
		}
		if events.isEvent() {
			e.recordProgress()
		}
		if err := relay.write(events); err != nil {
			return e.handleStreamError(ctx, target, err)
		}
	}
	if events.err != nil {
		return e.handleStreamError(ctx, target, events.err)
	}
	if reply.EndsWithConnection && e.stage < quarantine.Producing {
		return e.handleStreamError(ctx, target, errNoEvents)
	}
	relay.end()
	return false, nil
}

// isNext reports whether the current block may be relayed: an event must be the next of the answer.
func (e *exchange) isNext(events *eventReader) bool {
	return events.id() == "" || isNextEvent(e.lastEvent, events.id())
}

// relay passes the blocks of one stream on to the caller.
type relay struct {
	exchange *exchange
	reply    *Reply
	control  *http.ResponseController
	// held is the padding before the first event of an answer. The answer starts with that event, since
	// until then it may come from another worker.
	held []byte
}

func (e *exchange) newRelay(reply *Reply) *relay {
	return &relay{exchange: e, reply: reply, control: http.NewResponseController(e.w)}
}

// write relays the current block. An event must be the next of the answer.
func (r *relay) write(events *eventReader) error {
	e := r.exchange
	if !events.isEvent() && !e.answerStarted {
		r.held = append(r.held, events.block()...)
		return nil
	}
	if id := events.id(); id != "" {
		e.lastEvent = id
	}
	text := events.block()
	if !e.answerStarted {
		r.start()
		e.firstEvent = e.server.opts.Now()
		text = slices.Concat(r.held, text)
	}
	if _, err := e.w.Write(text); err != nil {
		return &callerError{err: err}
	}
	if err := r.control.Flush(); err != nil {
		return &callerError{err: err}
	}
	return nil
}

// end ends a stream that is complete. One without events starts here.
func (r *relay) end() {
	if !r.exchange.answerStarted {
		r.start()
		r.exchange.w.Write(r.held)
	}
}

func (r *relay) start() {
	r.exchange.startAnswer(r.reply)
	r.exchange.w.WriteHeader(r.reply.Status)
}

// callerError means that writing to the caller failed.
type callerError struct{ err error }

func (c *callerError) Error() string { return "the caller has gone: " + c.err.Error() }

// handleStreamError handles a stream that broke at a target.
func (e *exchange) handleStreamError(ctx context.Context, target Target, err error) (retryable bool, f *fault) {
	var gone *callerError
	if errors.As(err, &gone) {
		return false, &fault{status: http.StatusBadGateway, reason: gone.Error(), aborted: true}
	}
	retryable, f = e.handleSendError(ctx, target, &LostError{Err: err})
	if retryable {
		e.resumed++
		e.server.opts.Counters.resumed.Inc()
	}
	return retryable, f
}
