package serving

import (
	"bytes"
	"context"
	"errors"
	"net/http"
	"strconv"

	"github.com/pointpass/pointpass/quarantine"
)

// maxEventBytes bounds the size of one event of a stream.
const maxEventBytes = 256 << 10

// initialBufferBytes is the initial size of the buffer for a stream's events.
const initialBufferBytes = 2 << 10

// errTruncated means that a stream ended within an event, errEventGap that the event ids are not
// consecutive, and errNoEvents that a connection which ends a stream ended before any event, as
// it does when a worker crashes.
var (
	errNoEvents  = errors.New("connection ended before the first event")
	errTruncated = errors.New("stream ended within an event")
	errEventGap  = errors.New("event ids are not consecutive")
)

// relayStream relays the events of one worker. If the stream breaks, it reports whether
// another target may resume it.
func (e *exchange) relayStream(ctx context.Context, target Target, reply *Reply, watch *watch) (retryable bool, f *fault) {
	control := http.NewResponseController(e.w)
	scanner := newEventScanner(reply.Body)
	for scanner.Scan() {
		e.server.opts.Reach.Answered(target.Worker)
		watch.recordEvent()
		if e.stage != quarantine.Producing {
			e.stage = quarantine.Producing
			e.recordOutput()
		}
		if err := e.relayEvent(scanner.Bytes(), reply, control); err != nil {
			return e.handleStreamError(ctx, target, err)
		}
	}
	if err := scanner.Err(); err != nil {
		return e.handleStreamError(ctx, target, err)
	}
	if reply.EndsWithConnection && e.stage != quarantine.Producing {
		return e.handleStreamError(ctx, target, errNoEvents)
	}
	if !e.answerStarted { // the answer has no events
		e.startAnswer(reply)
		e.w.WriteHeader(reply.Status)
	}
	return false, nil
}

// relayEvent relays one event if it is the next of the stream.
func (e *exchange) relayEvent(event []byte, reply *Reply, control *http.ResponseController) error {
	if id := eventID(event); id != "" {
		if !isNextEvent(e.lastEvent, id) {
			return errEventGap
		}
		e.lastEvent = id
	}
	if !e.answerStarted {
		e.startAnswer(reply)
		e.w.WriteHeader(reply.Status)
		e.firstEvent = e.server.opts.Now()
	}
	if _, err := e.w.Write(event); err != nil {
		return &callerError{err: err}
	}
	if err := control.Flush(); err != nil {
		return &callerError{err: err}
	}
	return nil
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

// splitEvent is a bufio.SplitFunc for events, each including the empty line that ends it.
// Input that ends within an event is an error.
func splitEvent(data []byte, atEOF bool) (advance int, token []byte, err error) {
	if end := eventEnd(data); end > 0 {
		return end, data[:end], nil
	}
	if atEOF && len(data) > 0 {
		return 0, nil, errTruncated
	}
	return 0, nil, nil
}

// eventEnd returns the length of the first complete event, 0 if there is none.
func eventEnd(data []byte) int {
	end := bytes.Index(data, []byte("\n\n"))
	if end >= 0 {
		end += 2
	}
	if other := bytes.Index(data, []byte("\r\n\r\n")); other >= 0 && (end < 0 || other+4 < end) {
		end = other + 4
	}
	return max(end, 0)
}

// eventID returns the id of an event, "" if it has none.
func eventID(event []byte) string {
	for line := range bytes.Lines(event) {
		if value, found := bytes.CutPrefix(line, []byte("id:")); found {
			return string(bytes.TrimSpace(value))
		}
	}
	return ""
}

// isNextEvent reports whether an event may follow the last one. Numeric ids increase by one;
// other ids only have to differ.
func isNextEvent(last, next string) bool {
	before, err := strconv.ParseInt(last, 10, 64)
	if err != nil {
		return last != next
	}
	after, err := strconv.ParseInt(next, 10, 64)
	return err == nil && after == before+1
}
