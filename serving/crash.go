package serving

import (
	"context"
	"net/http"
	"time"

	"github.com/pointpass/pointpass/catalog"
	"github.com/pointpass/pointpass/quarantine"
	"github.com/pointpass/pointpass/workers"
)

// CrashReporter receives the answers that broke off, to identify requests that crash workers.
type CrashReporter interface {
	// Lost records that a worker's answer to a request broke off.
	Lost(w workers.Worker, r quarantine.LostRequest)
	// Canceled records that a request was canceled at a worker since it is held back.
	Canceled(w workers.Worker, r quarantine.LostRequest)
	// Produced records output on parts of prompts that are held back.
	Produced(outputs []quarantine.Output)
}

// fingerprint returns the request's fingerprint, which is the same at every daemon and time.
// It returns false while the fingerprint key isn't available. It is computed at most once.
func (e *exchange) fingerprint() (quarantine.Fingerprint, bool) {
	if e.hasFingerprint {
		return e.print, true
	}
	c := quarantine.Content{Host: e.req.Host, Target: e.req.Target, Body: e.req.Body}
	if e.customer != nil {
		c.Customer = e.customer.Name
	}
	e.print, e.hasFingerprint = e.server.opts.Guard.Fingerprint(c)
	return e.print, e.hasFingerprint
}

// partFingerprints returns the fingerprints of the parts of the prompt that the request shares
// with others, none while the fingerprint key isn't available. They are computed at most once.
func (e *exchange) partFingerprints() []quarantine.Fingerprint {
	if e.partPrints == nil && len(e.req.SharedParts) > 0 {
		e.partPrints = e.server.opts.Guard.FingerprintParts(e.service.Name, e.req.Model, e.req.SharedParts)
	}
	return e.partPrints
}

// initialStage returns the stage of a request that was just sent. Workers of plain services have no
// queue that shows, so theirs count as started at once.
func (e *exchange) initialStage() quarantine.Stage {
	if e.service.Runtime == nil {
		return quarantine.Begun
	}
	return quarantine.Queued
}

// checkHold returns the refusal of a request that is held because it crashes workers, or nil
// if it may be sent. It is called before the request takes capacity from others, and before
// each attempt.
func (e *exchange) checkHold() *fault {
	guard := e.server.opts.Guard
	if !guard.Active() {
		return nil
	}
	f, known := e.fingerprint()
	if !known {
		return nil
	}
	reason := heldReason
	h, held := guard.Held(f)
	if !held {
		reason = heldPartReason
		h, held = guard.HeldParts(e.partFingerprints())
	}
	if !held {
		return nil
	}
	e.hold = &h
	e.server.opts.Counters.held.Inc()
	if e.mayHaveRun {
		return &fault{status: http.StatusBadGateway, reason: reason, aborted: e.answerStarted}
	}
	return &fault{status: http.StatusServiceUnavailable, reason: reason, retryAfter: e.holdRemaining(h)}
}

const (
	heldReason     = "the request has crashed workers and is held back"
	heldPartReason = "a part of the prompt has crashed workers and is held back"
)

// holdRemaining returns how much longer the request is held. It counts from when this daemon
// received the hold, not by the store's clock. The hold is older than that, so the retry delay
// is never too short.
func (e *exchange) holdRemaining(h quarantine.Hold) time.Duration {
	return max(quarantine.HoldDuration-e.server.opts.Now().Sub(h.ReceivedAt), time.Second)
}

// reportLost reports that a target's answer broke off. It reports nothing if the attempt was
// canceled, since a target that sends no events may still be alive.
func (e *exchange) reportLost(ctx context.Context, target Target) {
	if ctx.Err() != nil {
		return
	}
	lost, known := e.lostRequest()
	if !known {
		return
	}
	e.server.opts.Crashes.Lost(target.Worker, lost)
	e.awaitsVerdict = e.server.opts.Guard.Suspected(lost.Parts)
}

// reportCanceled reports that the attempt at a target was canceled since the request is held back. The worker may
// have begun it, and crash all the same.
func (e *exchange) reportCanceled(target Target) {
	if lost, known := e.lostRequest(); known {
		e.server.opts.Crashes.Canceled(target.Worker, lost)
	}
}

// lostRequest returns the request as it was when its attempt ended early, false while the fingerprint key isn't
// available.
func (e *exchange) lostRequest() (quarantine.LostRequest, bool) {
	f, known := e.fingerprint()
	return quarantine.LostRequest{Fingerprint: f, Stage: e.stage, Resent: len(e.tried) > 1, Parts: e.partFingerprints()}, known
}

// verdictDelay is how long the deciders take to judge a crash: its reports, the check whether the
// worker has ended, and the hold.
const verdictDelay = 400 * time.Millisecond

// awaitVerdict delays the retry of a request whose worker may have crashed under a suspected part,
// so that the next worker doesn't crash before the part is held back. It reports false if ctx ends.
func (e *exchange) awaitVerdict(ctx context.Context) bool {
	if !e.awaitsVerdict {
		return true
	}
	e.awaitsVerdict = false
	timer := time.NewTimer(verdictDelay)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// recordProgress records that the worker has sent an event. Output counts for the parts of the prompt only
// once the worker has lived on for some time: its first event may be the last thing before a crash.
func (e *exchange) recordProgress() {
	switch now := e.server.opts.Now(); {
	case e.stage < quarantine.Producing:
		e.stage = quarantine.Producing
		e.producingAt = now
	case e.stage == quarantine.Producing && now.Sub(e.producingAt) >= quarantine.SettleTime:
		e.stage = quarantine.Settled
		e.reportOutput(e.server.opts.Guard.MarkOutput(e.partFingerprints()))
	}
}

// reportOutput reports output on parts that are suspected or held back.
func (e *exchange) reportOutput(outputs []quarantine.Output) {
	if len(outputs) > 0 {
		e.server.opts.Crashes.Produced(outputs)
	}
}

// recordFinished records that a worker finished the request and is alive, so that neither the
// request nor the parts of its prompt are suspected of crashing workers. A stream without an event doesn't show that: if
// a stream ends with its connection, a crash of the worker looks the same.
func (e *exchange) recordFinished() {
	if e.route.Kind == catalog.Stream && e.failure == nil && e.firstEvent.IsZero() {
		return
	}
	if f, known := e.fingerprint(); known {
		e.server.opts.Guard.MarkFinished(f)
	}
	if e.status == http.StatusOK && e.forwardedTo == "" {
		e.reportOutput(e.server.opts.Guard.MarkPartsCompleted(e.partFingerprints()))
	}
}
