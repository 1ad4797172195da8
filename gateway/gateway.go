// Package gateway serves callers: it takes their requests, lets each run where
// and as often as it may, and brings back whole answers or the truth about
// their lack.
package gateway

import (
	"context"
	"errors"
	"net/http"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/phuslu/log"

	"github.com/pointpass/pointpass/admission"
	"github.com/pointpass/pointpass/claims"
	"github.com/pointpass/pointpass/common/problem"
	"github.com/pointpass/pointpass/config"
	"github.com/pointpass/pointpass/dispatch"
	"github.com/pointpass/pointpass/engine"
	"github.com/pointpass/pointpass/presence"
	"github.com/pointpass/pointpass/retry"
	"github.com/pointpass/pointpass/tree"
)

// Claimer grants and settles the claims of requests that may not be repeated.
type Claimer interface {
	Claim(ctx context.Context, req claims.Request) (claims.Result, error)
	Settle(ctx context.Context, req claims.Request, s claims.Settlement, answer *claims.Answer) error
}

// Dispatcher gives requests their turn and their target.
type Dispatcher interface {
	Acquire(ctx context.Context, r dispatch.Request, avoid map[string]bool) (*dispatch.Permit, error)
}

// Sender sends one attempt to an endpoint.
type Sender interface {
	Send(ctx context.Context, call engine.Call) (*engine.Reply, error)
	Resume(ctx context.Context, addr, stream string, from int) (*engine.Reply, error)
	Cancel(ctx context.Context, addr, stream string) error
}

// Presence finds the group that a stream is resumed at.
type Presence interface {
	GroupTarget(id string) (presence.Target, bool)
}

// Options wires a gateway.
type Options struct {
	Config     *config.Config
	Tree       func() *tree.Tree
	Claims     Claimer
	Dispatcher Dispatcher
	Sender     Sender
	Presence   Presence
	Budgets    *retry.Budgets
	Metrics    *metrics.Set
	Now        func() time.Time
	Log        *log.Logger
}

// Gateway is the handler of all that callers ask.
type Gateway struct {
	opts     Options
	parser   parser
	counters counters
	places   chan struct{}
	work     *work
}

// settleWait is how long an answer waits for its claim to be settled.
const settleWait = 500 * time.Millisecond

// settleTimeout bounds telling an owner how an attempt ended.
const settleTimeout = 5 * time.Second

// New returns a gateway.
func New(opts Options) *Gateway {
	limits := opts.Config.Limits()
	return &Gateway{
		opts:     opts,
		parser:   parser{tree: opts.Tree, bodyBytes: limits.BodyBytes, bodyRead: opts.Config.Timing().BodyRead, now: opts.Now},
		counters: newCounters(opts.Metrics),
		places:   make(chan struct{}, limits.Requests),
		work:     newWork(),
	}
}

// Drain makes the gateway refuse new requests. It returns once those under way
// have ended, or with the context's error.
func (g *Gateway) Drain(ctx context.Context) error { return g.work.drain(ctx) }

// ServeHTTP answers one request.
func (g *Gateway) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	begun := g.opts.Now()
	w.Header().Set(headerNode, g.opts.Config.Node())
	c, fault := g.parser.parse(w, r)
	w.Header().Set(headerRequest, c.id)
	if fault == nil {
		fault = g.admitted(w, r, c)
	}
	g.record(c, fault, begun)
	if fault == nil {
		return
	}
	if c.streaming {
		panic(http.ErrAbortHandler) // the caller must not take what it has for the whole
	}
	fault.WithRequestID(c.id).Write(w)
}

// admitted serves a checked request if the daemon has room for it.
func (g *Gateway) admitted(w http.ResponseWriter, r *http.Request, c *call) *problem.Problem {
	c.mayHaveRun = c.once() && c.key != ""
	if !g.work.begin() {
		return problem.New(http.StatusServiceUnavailable, c.refusalOutcome(), "%s", admission.Stopping).WithRetryAfter(time.Second)
	}
	defer g.work.end()
	select {
	case g.places <- struct{}{}:
		defer func() { <-g.places }()
	default:
		return problem.New(http.StatusServiceUnavailable, c.refusalOutcome(), "this daemon has all the requests it can hold").WithRetryAfter(time.Second)
	}
	if c.resume != nil {
		return g.resume(w, r, c)
	}
	ctx, cancel := g.contextOf(r, c)
	defer cancel()
	return g.run(ctx, w, c)
}

// contextOf returns the context of a request's work. The work on a request
// that may not be repeated goes on when its caller has gone, so that the
// answer can be kept for the caller's return.
func (g *Gateway) contextOf(r *http.Request, c *call) (context.Context, context.CancelFunc) {
	ctx := r.Context()
	if c.once() {
		ctx = context.WithoutCancel(ctx)
	}
	return context.WithDeadline(ctx, c.deadline)
}

// run claims, if need be, sends and relays.
func (g *Gateway) run(ctx context.Context, w http.ResponseWriter, c *call) *problem.Problem {
	if !c.once() || c.key == "" {
		return g.attempt(ctx, w, c, noSettlement)
	}
	req := claims.NewRequest(c.customer, c.key, c.fingerprint(), c.id, time.Until(c.deadline)+settleTimeout)
	result, err := g.opts.Claims.Claim(ctx, req)
	if err != nil {
		return g.claimFailed(c, err)
	}
	if result.State() != claims.Granted {
		return g.claimRefused(w, c, result)
	}
	c.mayHaveRun = false
	settle := func(s claims.Settlement, answer *claims.Answer) { g.settle(req, s, answer) }
	return g.attempt(ctx, w, c, settle)
}

// settle tells the owner how the attempt ended. It is called before the last byte
// of an answer goes out, so that a caller that asks again at once finds the claim
// settled. An owner that can't be reached soon is told in the background.
func (g *Gateway) settle(req claims.Request, s claims.Settlement, answer *claims.Answer) {
	if answer != nil && len(answer.Body()) > g.opts.Config.Limits().KeptAnswerBytes {
		answer = nil
	}
	told := make(chan struct{})
	g.work.follow(func() {
		defer close(told)
		ctx, cancel := context.WithTimeout(context.Background(), settleTimeout)
		defer cancel()
		if err := g.opts.Claims.Settle(ctx, req, s, answer); err != nil {
			g.counters.settleLost.Inc()
			g.opts.Log.Warn().Err(err).Msg("settlement lost")
		}
	})
	timer := time.NewTimer(settleWait)
	defer timer.Stop()
	select {
	case <-told:
	case <-timer.C:
	}
}

// claimFailed answers when nobody can say whether the key was used before.
// That is "unknown", and asking again with the same key is safe.
func (g *Gateway) claimFailed(c *call, err error) *problem.Problem {
	g.opts.Log.Warn().Err(err).Str("request", c.id).Str("customer", c.customer).Msg("claim failed")
	if errors.Is(err, claims.ErrTooMany) {
		return problem.New(http.StatusTooManyRequests, problem.Unknown,
			"too many keys without a time; use keys of UUID version 7").WithField(headerKey).WithRetryAfter(time.Second)
	}
	wait := g.opts.Config.Timing().Lease
	return problem.New(http.StatusServiceUnavailable, problem.Unknown,
		"whether an earlier request with this key ran can't be told at present; ask again with the same key").WithRetryAfter(wait)
}

// claimRefused answers for a key that this attempt may not run.
func (g *Gateway) claimRefused(w http.ResponseWriter, c *call, result claims.Result) *problem.Problem {
	switch result.State() {
	case claims.Done:
		return g.replay(w, result.Answer())
	case claims.Running:
		return problem.New(http.StatusConflict, problem.Unknown, "an earlier request with this key is running").WithRetryAfter(time.Second)
	case claims.Mismatch:
		return problem.New(http.StatusUnprocessableEntity, problem.NotRun, "the key was used for another request").WithField(headerKey)
	case claims.Ahead:
		return problem.New(http.StatusUnprocessableEntity, problem.NotRun, "the key is dated in the future").WithField(headerKey)
	case claims.Full:
		return problem.New(http.StatusServiceUnavailable, problem.NotRun, "no more keys can be remembered at present").WithRetryAfter(time.Second)
	}
	return problem.New(http.StatusConflict, problem.Unknown, "an earlier request with this key may have run; its end is not known")
}

// replay writes the kept answer of an earlier request with the same key.
func (g *Gateway) replay(w http.ResponseWriter, answer *claims.Answer) *problem.Problem {
	if answer == nil {
		return problem.New(http.StatusConflict, problem.Unknown, "an earlier request with this key ran; its answer was not kept")
	}
	g.counters.replayed.Inc()
	w.Header().Set("Content-Type", answer.ContentType())
	w.Header().Set("Pointpass-Replayed", "true")
	w.WriteHeader(answer.Status())
	w.Write(answer.Body())
	return nil
}

// refused turns a dispatcher's refusal into an answer.
func refused(c *call, err error) *problem.Problem {
	var refusal *admission.Refusal
	if !errors.As(err, &refusal) {
		return problem.New(http.StatusGatewayTimeout, c.refusalOutcome(), "the caller left or the deadline passed before its turn").WithRetryAfter(time.Second)
	}
	status := http.StatusServiceUnavailable
	if refusal.Reason() == admission.QueueFull {
		status = http.StatusTooManyRequests
	}
	return problem.New(status, c.refusalOutcome(), "%s", refusal.Reason()).WithRetryAfter(refusal.RetryAfter())
}
