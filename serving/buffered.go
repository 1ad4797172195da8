package serving

import (
	"context"
	"errors"
	"net/http"
	"strconv"
)

// bufferedAnswer is an answer that was read to its end.
type bufferedAnswer struct {
	reply *Reply
	body  *answerBody
}

// relayBuffered relays an answer that isn't streamed, once it was read to its end.
func (e *exchange) relayBuffered(ctx context.Context, cancel context.CancelCauseFunc, target Target, reply *Reply) (retryable bool, f *fault) {
	answer, err := e.readAnswer(reply, cancel)
	if err != nil {
		return e.handleSendError(ctx, target, &LostError{Err: err})
	}
	kept := false
	defer func() {
		if !kept {
			answer.body.release()
		}
	}()
	failed := reply.Status >= http.StatusInternalServerError
	e.recordAnswer(target, failed)
	if failed && e.route.IsRepeatable() && e.sent < e.maxAttempts() {
		e.logFailedAttempt(target, &failedError{status: reply.Status})
		if relayableStatus(reply.Status) {
			e.dropFailure()
			e.failure, kept = answer, true
			answer.body.keep(func() { answer.reply = nil })
		}
		return true, &fault{status: http.StatusBadGateway, reason: "the worker failed", aborted: e.answerStarted}
	}
	if e.answerStarted { // a stream can't continue with an error answer
		return true, &fault{status: http.StatusBadGateway, reason: "the stream can't be resumed", aborted: true}
	}
	if !relayableStatus(reply.Status) {
		return false, &fault{status: http.StatusBadGateway, reason: "the worker failed with status " + strconv.Itoa(reply.Status)}
	}
	e.writeBuffered(answer)
	return false, nil
}

// readAnswer reads an answer to its end. The body must be released.
func (e *exchange) readAnswer(reply *Reply, cancel context.CancelCauseFunc) (*bufferedAnswer, error) {
	body, err := e.server.answers.read(reply, cancel)
	if errors.Is(err, errTooLong) || errors.Is(err, errEvicted) {
		e.server.opts.Counters.tooLong.Inc()
	}
	return &bufferedAnswer{reply: reply, body: body}, err
}

// dropFailure drops the error answer that was kept, if any.
func (e *exchange) dropFailure() {
	if e.failure != nil {
		e.failure.body.release()
		e.failure = nil
	}
}

// writeFailure writes the error answer that was kept. It returns false if there is none any more.
func (e *exchange) writeFailure() bool {
	if e.failure == nil {
		return false
	}
	if !e.failure.body.reclaim() {
		e.server.opts.Counters.tooLong.Inc()
		e.server.opts.Log.Warn().Str("event", "kept_answer_dropped").Str("id", logged(e.req.ID)).Int64("bytes", e.failure.body.size).Msg("its memory was needed")
		e.dropFailure()
		return false
	}
	e.writeBuffered(e.failure)
	return true
}

// Consecutive error answers that make a target suspect. Groups don't return errors in normal
// operation; plain services have errors of their own.
const (
	groupErrorThreshold = 1
	plainErrorThreshold = 3
)

// recordAnswer records whether a target's answer was an error.
func (e *exchange) recordAnswer(target Target, failed bool) {
	switch {
	case !failed:
		e.server.opts.Balancer.RecordSuccess(target.Key)
	case e.service.Runtime != nil:
		e.server.opts.Balancer.RecordErrorAnswer(target.Key, groupErrorThreshold, e.server.opts.Now())
	default:
		e.server.opts.Balancer.RecordErrorAnswer(target.Key, plainErrorThreshold, e.server.opts.Now())
	}
}

// writeBuffered writes a buffered answer to the caller.
func (e *exchange) writeBuffered(a *bufferedAnswer) {
	e.startAnswer(a.reply)
	e.w.Header().Set("Content-Length", strconv.FormatInt(a.body.size, 10))
	e.w.WriteHeader(a.reply.Status)
	if err := a.body.writeTo(e.w); err != nil {
		e.server.opts.Counters.slowReaders.Inc()
		e.server.opts.Log.Warn().Str("event", "answer_cut").Str("id", logged(e.req.ID)).Int64("bytes", a.body.size).Err(err).Msg("its caller reads too slowly")
	}
}

// relayableStatus reports whether a worker's status may be relayed unchanged. Statuses that
// imply that the request didn't run may not, since the worker didn't declare that.
func relayableStatus(status int) bool {
	switch status {
	case http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		return false
	}
	return true
}

type failedError struct{ status int }

func (r *failedError) Error() string { return "failed with status " + strconv.Itoa(r.status) }
