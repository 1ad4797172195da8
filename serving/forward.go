package serving

import (
	"context"
	"errors"
	"net/http"

	"github.com/pointpass/pointpass/catalog"
	"github.com/pointpass/pointpass/placement"
)

// Peer is another daemon.
type Peer struct{ Name, Addr string }

// Forward is a request that a daemon asks a peer to run, since it can't reach the workers itself.
type Forward struct {
	Attempt
	// Attempts is how many workers the peer may send the request to.
	Attempts int
	// From is the name of the daemon that forwards the request.
	From string
	// ConfigVersion is the version of the configuration by which that daemon admitted it. A peer
	// with an older one must not run the request, as the daemon would then seem to go back.
	ConfigVersion uint64
}

// Forwarder sends requests to peers.
type Forwarder interface {
	// Peers returns the peers to try for a request for a service, best first: only those in regions
	// where it may run, since its body goes there. If there are none, exhausted reports whether
	// all of them were found not to reach the workers a short time ago.
	Peers(service string, r placement.Request) (list []Peer, exhausted bool)
	// Forward returns a peer's answer, or an error as of Upstream.Send. It remembers for a while
	// which peers can't be reached or can't reach the workers.
	Forward(ctx context.Context, p Peer, service string, f Forward) (*Reply, error)
}

// UnreachableHeader is set on the answer of a peer that didn't run a request and mustn't be asked
// again soon: it can't reach the workers either, is stopping, or has an older configuration.
const UnreachableHeader = "Pointpass-Unreachable"

// unreachableFault is the response to a request whose workers no daemon reaches.
func unreachableFault() *fault {
	return &fault{status: http.StatusServiceUnavailable, reason: "no worker can be reached", retryAfter: unavailableRetryDelay}
}

// mayForward reports whether the request may run at a peer: this daemon is cut off from the
// workers, and the request can't have run unless it may be repeated. A forwarded request isn't
// forwarded again.
func (e *exchange) mayForward() bool {
	if e.forwardedBy != "" || !e.server.opts.Reach.Cut(e.service.Name) {
		return false
	}
	if e.answerStarted && e.route.Kind != catalog.Stream {
		return false
	}
	return !e.mayHaveRun || e.route.IsRepeatable()
}

// forwardSilenced forwards a request whose workers send nothing, without trying them. A request that
// another daemon forwarded goes back at once, so that it can be forwarded elsewhere.
func (e *exchange) forwardSilenced(ctx context.Context) (done bool, f *fault) {
	if e.forwardedBy != "" && !e.mayHaveRun {
		return true, unreachableFault()
	}
	if !e.mayForward() {
		return false, nil
	}
	return e.forward(ctx)
}

// forwardRefused forwards a request for which this daemon has no target left.
func (e *exchange) forwardRefused(ctx context.Context) (done bool, f *fault) {
	if len(e.tried) == 0 || !e.mayForward() {
		return false, nil
	}
	return e.forward(ctx)
}

// forward has peers run the request. It returns false if none could, unless it is known that none
// can.
func (e *exchange) forward(ctx context.Context) (done bool, f *fault) {
	s := e.server
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	service := e.service.Name
	peers, unreachable := s.opts.Forwarder.Peers(service, e.placementRequest())
	for _, p := range peers {
		left := e.deadline.Sub(s.opts.Now())
		if left < minAttemptTime {
			return true, e.expired(ctx)
		}
		sending := e.newSending(Target{Key: "peer " + p.Name})
		a := e.newAttempt(Target{}, left, e.lastEvent, e.lostOnKept)
		a.Started = sending.started
		reply, err := s.answers.send(a, cancel, func(a Attempt) (*Reply, error) {
			return s.opts.Forwarder.Forward(ctx, p, service, Forward{Attempt: a, Attempts: e.maxAttempts() - e.sent, ConfigVersion: e.inForce.Catalog.Version()})
		})
		sending.forwarded(reply, err)
		var notSent *NotSentError
		switch {
		case errors.Is(err, errRetryOverdue):
			e.recordOverBudget(s.opts.Now())
			return true, e.giveUp(&fault{status: http.StatusBadGateway, reason: "the answer of the worker is lost", aborted: e.answerStarted})
		case errors.As(err, &notSent):
			if ctx.Err() != nil {
				return true, e.expired(ctx)
			}
		case err != nil:
			return true, e.forwardLost(ctx, p, err)
		case reply.Unreachable:
			reply.Body.Close()
			unreachable = true
		default:
			s.opts.Counters.forwarded.Inc()
			e.forwardedTo = p.Name
			return true, e.relayForwarded(ctx, cancel, p, reply)
		}
	}
	s.opts.Counters.notForwarded.Inc()
	if unreachable && s.opts.Reach.Silenced(service) {
		return true, e.giveUp(unreachableFault())
	}
	return false, nil
}

// forwardLost handles a request that was sent to a peer whose answer is lost. The peer may have used
// all attempts.
func (e *exchange) forwardLost(ctx context.Context, p Peer, err error) *fault {
	e.forwardedTo = p.Name
	e.mayHaveRun = true
	e.sent = e.maxAttempts()
	e.server.opts.Log.Warn().Str("event", "forward_failed").Str("id", logged(e.req.ID)).Str("to", p.Name).Err(loggedError(err)).Msg("")
	if ctx.Err() != nil && !errors.Is(context.Cause(ctx), errEvicted) {
		return e.expired(ctx)
	}
	return e.giveUp(&fault{status: http.StatusBadGateway, reason: "the answer of another daemon is lost", aborted: e.answerStarted})
}

// relayForwarded relays the answer of a peer, which is final.
func (e *exchange) relayForwarded(ctx context.Context, cancel context.CancelCauseFunc, p Peer, reply *Reply) *fault {
	defer reply.Body.Close()
	if e.route.Kind == catalog.Stream && reply.Status == http.StatusOK {
		return e.relayForwardedStream(ctx, p, reply)
	}
	answer, err := e.readAnswer(reply, cancel)
	if err != nil {
		return e.forwardLost(ctx, p, err)
	}
	defer answer.body.release()
	if e.answerStarted {
		return &fault{status: http.StatusBadGateway, reason: "the stream can't be resumed", aborted: true}
	}
	e.writeBuffered(answer)
	return nil
}

// relayForwardedStream relays the events of a stream from a peer.
func (e *exchange) relayForwardedStream(ctx context.Context, p Peer, reply *Reply) *fault {
	events := reply.events(e.lastEvent)
	relay := e.newRelay(reply)
	for events.next() {
		if !e.isNext(events) {
			return e.forwardLost(ctx, p, errEventGap)
		}
		if err := relay.write(events); err != nil {
			return &fault{status: http.StatusBadGateway, reason: err.Error(), aborted: true}
		}
	}
	if events.err != nil {
		return e.forwardLost(ctx, p, events.err)
	}
	relay.end()
	return nil
}

// ServeForwarded answers a request that a peer forwards. The peer has admitted it: it counts there
// as demand and as a request of the retry budget, and waits there for its place in the window.
func (s *Server) ServeForwarded(w http.ResponseWriter, r *http.Request, f Forward) {
	count := s.inFlight.Add(1)
	defer s.inFlight.Add(-1)
	e := &exchange{server: s, w: w, req: f.Request, arrived: s.opts.Now(), lastEvent: f.Request.LastEvent, forwardedBy: f.From, attempts: f.Attempts}
	defer e.dropFailure()
	ctx, cancel := s.untilGivenUp(r.Context())
	defer cancel()
	e.finish(r, e.serveForwarded(ctx, count, f.ConfigVersion))
}

func (e *exchange) serveForwarded(ctx context.Context, inFlight int64, minVersion uint64) *fault {
	s := e.server
	f := e.admit(inFlight)
	if c := e.inForce.Catalog; s.stopping.Load() || c == nil || c.Version() < minVersion {
		e.w.Header().Set(UnreachableHeader, "1")
		return unreachableFault()
	}
	if f != nil && f.status != http.StatusServiceUnavailable {
		// Its configuration may differ from that of the peer, whose decision counts.
		return &fault{status: http.StatusServiceUnavailable, reason: f.reason, retryAfter: configRetryDelay}
	}
	if f != nil {
		return f
	}
	if f := e.run(ctx); f != nil {
		if e.sent == 0 && s.opts.Reach.Cut(e.service.Name) { // the next peer sends it as one that no worker got
			e.w.Header().Set(UnreachableHeader, "1")
		}
		return f
	}
	e.recordFinished()
	return nil
}
