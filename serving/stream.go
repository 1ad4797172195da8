package serving

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"net/http"
	"strconv"

	"github.com/pointpass/pointpass/quarantine"
)

// maxEvent bounds one event of a stream, in bytes.
const maxEvent = 256 << 10

// firstBuffer is the buffer that a stream's events are first read into, in bytes.
const firstBuffer = 2 << 10

// errCut tells that a stream ended in the middle of an event, and errGap that
// its events don't follow each other.
var (
	errCut = errors.New("the stream ends within an event")
	errGap = errors.New("the ids of the events don't rise one by one")
)

// relayStream passes on the events of one worker. Where the stream breaks it
// tells whether it may be taken up elsewhere.
func (e *exchange) relayStream(ctx context.Context, target Target, reply *Reply, watch *watch) (again bool, f *fault) {
	control := http.NewResponseController(e.w)
	scanner := bufio.NewScanner(reply.Body)
	scanner.Buffer(make([]byte, 0, firstBuffer), maxEvent)
	scanner.Split(splitEvent)
	for scanner.Scan() {
		watch.sign()
		e.stage = quarantine.Producing
		if err := e.passEvent(scanner.Bytes(), reply, control); err != nil {
			return e.streamBroken(ctx, target, err)
		}
	}
	if err := scanner.Err(); err != nil {
		return e.streamBroken(ctx, target, err)
	}
	if !e.begun { // an answer without events
		e.begin(reply)
		e.w.WriteHeader(reply.Status)
	}
	return false, nil
}

// passEvent passes on one event, if it is the next.
func (e *exchange) passEvent(event []byte, reply *Reply, control *http.ResponseController) error {
	if id := eventID(event); id != "" {
		if !follows(e.lastEvent, id) {
			return errGap
		}
		e.lastEvent = id
	}
	if !e.begun {
		e.begin(reply)
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

// callerError tells that the caller no longer reads.
type callerError struct{ err error }

func (c *callerError) Error() string { return "the caller has gone: " + c.err.Error() }

// streamBroken decides what becomes of a stream that broke at a target.
func (e *exchange) streamBroken(ctx context.Context, target Target, err error) (again bool, f *fault) {
	var gone *callerError
	if errors.As(err, &gone) {
		return false, &fault{status: http.StatusBadGateway, reason: gone.Error(), aborted: true}
	}
	again, f = e.sendFailedOnce(ctx, target, err)
	if again {
		e.resumed++
		e.server.opts.Counters.resumed.Inc()
	}
	return again, f
}

// sendFailedOnce is sendFailed for an attempt that was counted already.
func (e *exchange) sendFailedOnce(ctx context.Context, target Target, err error) (again bool, f *fault) {
	e.sent--
	return e.sendFailed(ctx, target, &LostError{Err: err})
}

// splitEvent is a bufio.SplitFunc for events, each with the empty line that ends
// it. An end within an event is an error.
func splitEvent(data []byte, atEOF bool) (advance int, token []byte, err error) {
	if end := eventEnd(data); end > 0 {
		return end, data[:end], nil
	}
	if atEOF && len(data) > 0 {
		return 0, nil, errCut
	}
	return 0, nil, nil
}

// eventEnd returns the length of the first whole event, 0 if there is none.
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

// eventID returns the id that an event carries, "" if it has none.
func eventID(event []byte) string {
	for line := range bytes.Lines(event) {
		if value, found := bytes.CutPrefix(line, []byte("id:")); found {
			return string(bytes.TrimSpace(value))
		}
	}
	return ""
}

// follows tells whether an event may come after the last one. Ids that are
// numbers rise by one; of others nothing is known but that they change.
func follows(last, next string) bool {
	before, err := strconv.ParseInt(last, 10, 64)
	if err != nil {
		return last != next
	}
	after, err := strconv.ParseInt(next, 10, 64)
	return err == nil && after == before+1
}
