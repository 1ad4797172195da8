// Package gateway serves the requests of callers. It admits a request, sends it to
// a target, retries it where that is allowed, and returns a complete answer or an
// error that states whether the request may have run.
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
	"github.com/pointpass/pointpass/common/conns"
	"github.com/pointpass/pointpass/common/memory"
	"github.com/pointpass/pointpass/common/problem"
	"github.com/pointpass/pointpass/config"
	"github.com/pointpass/pointpass/dispatch"
	"github.com/pointpass/pointpass/engine"
	"github.com/pointpass/pointpass/presence"
	"github.com/pointpass/pointpass/retry"
	"github.com/pointpass/pointpass/tree"
)

// Claimer grants and settles the claims of requests that may run at most once.
type Claimer interface {
	Claim(ctx context.Context, req claims.Request) (claims.Result, error)
	Settle(ctx context.Context, req claims.Request, s claims.Settlement, answer *claims.Answer) error
}

// Dispatcher queues requests and assigns their targets.
type Dispatcher interface {
	Acquire(ctx context.Context, r dispatch.Request, avoid map[string]bool) (*dispatch.Permit, error)
}

// Sender sends attempts to endpoints, and resumes and cancels their streams.
type Sender interface {
	Send(ctx context.Context, call engine.Call) (*engine.Reply, error)
	Resume(ctx context.Context, addr, stream string, offset int) (*engine.Reply, error)
	Cancel(ctx context.Context, addr, stream string) error
}

// Presence finds the group at which a stream is resumed.
type Presence interface {
	GroupTarget(id string) (presence.Target, bool)
}

// Options holds the configuration and dependencies of a gateway.
type Options struct {
	Config     *config.Config
	Tree       func() *tree.Tree
	Claims     Claimer
	Dispatcher Dispatcher
	Sender     Sender
	Presence   Presence
	Budgets    *retry.Budgets
	Bodies     Bodies
	Metrics    *metrics.Set
	Now        func() time.Time
	Log        *log.Logger
}

// Gateway is the HTTP handler of callers' requests.
type Gateway struct {
	opts         Options
	parser       parser
	counters     counters
	requestSlots chan struct{}
	inFlight     *inFlight
	// ending ends with end, by GiveUp.
	ending context.Context
	end    context.CancelFunc
	// answers is the memory of answers that are read or passed on.
	answers *memory.Budget
}

// maxSettleDelay is how long an answer waits for its claim to be settled.
const maxSettleDelay = 500 * time.Millisecond

// settleTimeout bounds the settlement of a claim and the cancellation of a stream.
const settleTimeout = 5 * time.Second

// New returns a gateway.
func New(opts Options) *Gateway {
	limits := opts.Config.Limits()
	answers := memory.NewBudget(func() int64 { return limits.Memory() / answerMemoryShare }, time.Now)
	opts.Metrics.NewGauge("pointpass_answer_bytes", func() float64 { return float64(answers.Used()) })
	ending, end := context.WithCancel(context.Background())
	return &Gateway{
		ending: ending,
		end:    end,
		opts:   opts,
		parser: parser{
			tree:            opts.Tree,
			bodies:          opts.Bodies,
			maxBodyBytes:    limits.BodyBytes,
			bodyReadTimeout: opts.Config.Timing().BodyRead,
			now:             opts.Now,
			decoding:        newChatGate(),
		},
		counters:     newCounters(opts.Metrics),
		requestSlots: make(chan struct{}, limits.Requests),
		inFlight:     newInFlight(),
		answers:      answers,
	}
}

// Drain makes the gateway refuse new requests. It returns once all requests in
// flight have ended, or with the context's error.
func (g *Gateway) Drain(ctx context.Context) error { return g.inFlight.drain(ctx) }

// GiveUp ends the requests in flight. Those without an answer get one that says whether they may have run.
func (g *Gateway) GiveUp() { g.end() }

// errStopping is why the context of a request ends that is given up.
var errStopping = errors.New("the daemon is stopping")

// ServeHTTP answers one request.
func (g *Gateway) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	started := g.opts.Now()
	w.Header().Set(headerNode, g.opts.Config.Node())
	c, fault := g.parser.parse(w, r)
	defer c.release()
	w.Header().Set(headerRequest, c.id)
	if fault == nil {
		fault = g.admitAndServe(w, r, c)
	}
	g.record(c, fault, started)
	if fault == nil {
		return
	}
	if c.headerSent {
		panic(http.ErrAbortHandler) // the caller must not mistake a truncated answer for a complete one
	}
	fault.WithRequestID(c.id).Write(w)
}

// admitAndServe serves a validated request if the daemon isn't draining and has
// capacity for it.
func (g *Gateway) admitAndServe(w http.ResponseWriter, r *http.Request, c *call) *problem.Problem {
	c.mayHaveRun = c.atMostOnce() && c.key != ""
	if !g.inFlight.start() {
		return problem.New(http.StatusServiceUnavailable, c.refusalOutcome(), "%s", admission.Stopping).WithRetryAfter(time.Second)
	}
	defer g.inFlight.end()
	select {
	case g.requestSlots <- struct{}{}:
		defer func() { <-g.requestSlots }()
	default:
		return problem.New(http.StatusServiceUnavailable, c.refusalOutcome(), "this daemon has all the requests it can hold").WithRetryAfter(time.Second)
	}
	if c.resumeFrom != nil {
		return g.resume(w, r, c)
	}
	ctx, cancel := g.requestContext(r, c)
	defer cancel()
	return g.run(ctx, w, c)
}

// requestContext returns the context in which a request is served. A request that
// may run at most once continues after its caller has disconnected, so that the
// answer can be kept for a retry with the same key. The context ends with errStopping if the request is given up.
func (g *Gateway) requestContext(r *http.Request, c *call) (context.Context, context.CancelFunc) {
	ctx := r.Context()
	if c.atMostOnce() {
		ctx = context.WithoutCancel(ctx)
	}
	ctx, cancel := context.WithCancelCause(ctx)
	stop := context.AfterFunc(g.ending, func() { cancel(errStopping) })
	ctx, cancelDeadline := context.WithDeadline(ctx, c.deadline)
	return ctx, func() {
		cancelDeadline()
		stop()
		cancel(nil)
	}
}

// run takes a claim if the request needs one, then sends the request and relays
// the answer.
func (g *Gateway) run(ctx context.Context, w http.ResponseWriter, c *call) *problem.Problem {
	if !c.atMostOnce() || c.key == "" {
		return g.sendWithRetries(ctx, w, c, noSettlement)
	}
	req := claims.NewRequest(c.customer, c.key, c.fingerprint(), c.id, time.Until(c.deadline)+settleTimeout)
	result, err := g.opts.Claims.Claim(ctx, req)
	if err != nil {
		return g.claimErrorProblem(c, err)
	}
	if result.State() != claims.Granted {
		return g.answerUngranted(w, c, result)
	}
	c.mayHaveRun = false
	settle := func(s claims.Settlement, answer *claims.Answer) { g.settle(req, s, answer) }
	return g.sendWithRetries(ctx, w, c, settle)
}

// settle settles a claim at its owner. It is called before the last byte of an
// answer is sent, so that a caller that retries at once finds the claim settled.
// If the owner doesn't reply within maxSettleDelay, settling continues in the
// background.
func (g *Gateway) settle(req claims.Request, s claims.Settlement, answer *claims.Answer) {
	if answer != nil && len(answer.Body()) > g.opts.Config.Limits().KeptAnswerBytes {
		answer = nil
	}
	settled := make(chan struct{})
	g.inFlight.goTracked(func() {
		defer close(settled)
		ctx, cancel := context.WithTimeout(context.Background(), settleTimeout)
		defer cancel()
		if err := g.opts.Claims.Settle(ctx, req, s, answer); err != nil {
			g.counters.settlementsLost.Inc()
			g.opts.Log.Warn().Err(err).Msg("settlement lost")
		}
	})
	timer := time.NewTimer(maxSettleDelay)
	defer timer.Stop()
	select {
	case <-settled:
	case <-timer.C:
	}
}

// claimErrorProblem returns the answer for a failed claim call, after which it
// is unknown whether the key was used before. The outcome is "unknown"; a retry
// with the same key is safe.
func (g *Gateway) claimErrorProblem(c *call, err error) *problem.Problem {
	g.opts.Log.Warn().Err(err).Str("request", c.id).Str("customer", c.customer).Msg("claim failed")
	if errors.Is(err, claims.ErrTooMany) {
		return problem.New(http.StatusTooManyRequests, problem.Unknown,
			"too many keys without a time; use keys of UUID version 7").WithField(headerKey).WithRetryAfter(time.Second)
	}
	wait := g.opts.Config.Timing().Lease
	return problem.New(http.StatusServiceUnavailable, problem.Unknown,
		"whether an earlier request with this key ran can't be told at present; ask again with the same key").WithRetryAfter(wait)
}

// answerUngranted answers a request whose claim was not granted.
func (g *Gateway) answerUngranted(w http.ResponseWriter, c *call, result claims.Result) *problem.Problem {
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

// replay writes the stored answer of an earlier request with the same key.
func (g *Gateway) replay(w http.ResponseWriter, answer *claims.Answer) *problem.Problem {
	if answer == nil || !conns.IsFinal(answer.Status()) {
		return problem.New(http.StatusConflict, problem.Unknown, "an earlier request with this key ran; its answer was not kept")
	}
	g.counters.replayed.Inc()
	w.Header().Set("Content-Type", answer.ContentType())
	w.Header().Set("Pointpass-Replayed", "true")
	w.WriteHeader(answer.Status())
	w.Write(answer.Body())
	return nil
}

// refusalProblem returns the answer for a request that the dispatcher refused.
func refusalProblem(ctx context.Context, c *call, err error) *problem.Problem {
	var refusal *admission.Refusal
	if context.Cause(ctx) == errStopping {
		return problem.New(http.StatusServiceUnavailable, c.refusalOutcome(), "%s", errStopping).WithRetryAfter(time.Second)
	}
	if !errors.As(err, &refusal) {
		return problem.New(http.StatusGatewayTimeout, c.refusalOutcome(), "the caller left or the deadline passed before its turn").WithRetryAfter(time.Second)
	}
	status := http.StatusServiceUnavailable
	if refusal.Reason() == admission.QueueFull {
		status = http.StatusTooManyRequests
	}
	return problem.New(status, c.refusalOutcome(), "%s", refusal.Reason()).WithRetryAfter(refusal.RetryAfter())
}
