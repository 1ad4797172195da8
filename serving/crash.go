package serving

import (
	"context"
	"net/http"
	"time"

	"github.com/pointpass/pointpass/catalog"
	"github.com/pointpass/pointpass/quarantine"
	"github.com/pointpass/pointpass/workers"
)

// Crashes is told of answers that broke off, so that requests are found that crash workers.
type Crashes interface {
	// Lost takes in that the answer of a worker to a request broke off.
	Lost(w workers.Worker, r quarantine.Run)
}

// fingerprint returns what names the request wherever and whenever it comes, false while
// the key of fingerprints isn't known. It is made at most once.
func (e *exchange) fingerprint() (quarantine.Fingerprint, bool) {
	if e.printed {
		return e.print, true
	}
	c := quarantine.Content{Host: e.req.Host, Target: e.req.Target, Body: e.req.Body}
	if e.customer != nil {
		c.Customer = e.customer.Name
	}
	e.print, e.printed = e.server.opts.Guard.Fingerprint(c)
	return e.print, e.printed
}

// firstStage is how far a worker is with a request that was just sent. Plain services
// don't tell when they begin: theirs count as begun at once.
func (e *exchange) firstStage() quarantine.Stage {
	if e.service.Runtime == nil || e.route.Kind != catalog.Stream {
		return quarantine.Begun
	}
	return quarantine.Queued
}

// heldBack returns the refusal of a request that crashes the workers which run it, nil if it
// may be sent. It is asked before the request takes room from others, and at each send.
func (e *exchange) heldBack() *fault {
	guard := e.server.opts.Guard
	if !guard.Active() {
		return nil
	}
	f, known := e.fingerprint()
	if !known {
		return nil
	}
	h, held := guard.Held(f)
	if !held {
		return nil
	}
	e.hold = &h
	e.server.opts.Counters.held.Inc()
	if e.mayHaveRun {
		return &fault{status: http.StatusBadGateway, reason: heldReason, aborted: e.begun}
	}
	return &fault{status: http.StatusServiceUnavailable, reason: heldReason, retryAfter: e.holdLeft(h)}
}

const heldReason = "the request has crashed workers and is held back"

// holdLeft returns how long the request is held back on. The store's clock isn't asked:
// this daemon knows of the hold for a shorter time than it lasts, so that nobody is told to
// come back too early.
func (e *exchange) holdLeft(h quarantine.Hold) time.Duration {
	return max(quarantine.Length-e.server.opts.Now().Sub(h.Known), time.Second)
}

// noteLost tells that the answer of a target broke off. A target that was given up since it
// was silent may live.
func (e *exchange) noteLost(ctx context.Context, target Target) {
	if ctx.Err() != nil {
		return
	}
	if f, known := e.fingerprint(); known {
		e.server.opts.Crashes.Lost(target.Worker, quarantine.Run{Fingerprint: f, Stage: e.stage, Again: len(e.tried) > 1})
	}
}

// noteFinished notes that a worker ended the request and lives, which clears the request
// of having crashed others. A stream without an event tells nothing: where its end is that
// of the connection, it looks the same if the worker crashed.
func (e *exchange) noteFinished() {
	if e.route.Kind == catalog.Stream && e.failure == nil && e.firstEvent.IsZero() {
		return
	}
	if f, known := e.fingerprint(); known {
		e.server.opts.Guard.Finish(f)
	}
}
