package deps

import (
	"context"
	"errors"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/pointpass/pointpass/common/clock"
	"github.com/pointpass/pointpass/placement"
	"github.com/pointpass/pointpass/platform"
	"github.com/pointpass/pointpass/replica"
	"github.com/pointpass/pointpass/serving"
)

const (
	// maxForwardPeers limits how many peers are tried for a request. Most of them may be cut off
	// too, and each answers at once if it is.
	maxForwardPeers = 6
	// avoidPeerTime is how long a peer isn't tried that can't be reached or can't reach the
	// workers of a service.
	avoidPeerTime = time.Second
	// avoidLogInterval is the minimum time between two log lines about the same peer and service.
	avoidLogInterval = 30 * time.Second
	// peerEvidenceTTL is how long an answer shows that peers reach the workers of a service.
	peerEvidenceTTL = 3 * time.Second
	// maxAvoided bounds how many peers are remembered.
	maxAvoided = 4096
)

// forwarder sends requests to other daemons while this one is cut off from the workers. It
// implements serving.Forwarder.
type forwarder struct {
	edge   *Edge
	client *platform.ForwardClient

	mu sync.Mutex
	// answered holds when a peer last answered a request for a service with success, avoided the
	// peers that aren't tried.
	answered map[string]time.Time
	avoided  map[avoidedPeer]avoidance
}

// avoidedPeer is a peer and the service whose workers it can't reach.
type avoidedPeer struct{ peer, service string }

// avoidance is until when a peer isn't tried, and when that was last logged.
type avoidance struct{ until, logged time.Time }

func newForwarder(e *Edge, client *platform.ForwardClient) *forwarder {
	return &forwarder{edge: e, client: client, answered: map[string]time.Time{}, avoided: map[avoidedPeer]avoidance{}}
}

// Peers returns daemons in random order, which spreads the requests, those of this region first. The
// body of a request goes only to regions that both its route and its customer allow.
func (f *forwarder) Peers(service string, r placement.Request) (list []serving.Peer, exhausted bool) {
	halls := f.edge.settings.Current().HallRegions()
	allowed := func(hall string) bool {
		region, known := halls[hall]
		return len(r.Route) == 0 && len(r.Customer) == 0 || known && r.Route.Allow(region) && r.Customer.Allow(region)
	}
	return f.choose(service, f.edge.followers.control.Load().Nodes, allowed)
}

// choose returns the daemons to try among those in allowed halls.
func (f *forwarder) choose(service string, nodes []replica.Node, allowed func(hall string) bool) (list []serving.Peer, exhausted bool) {
	self := f.edge.settings.Current().Name()
	now := clock.Now()
	var near, far []serving.Peer
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, n := range nodes {
		switch {
		case n.Name == self || n.Addr == "" || !allowed(n.Hall):
		case now.Before(f.avoided[avoidedPeer{n.Name, service}].until):
			exhausted = true
		case f.edge.sameRegion(n.Hall):
			near = append(near, serving.Peer{Name: n.Name, Addr: n.Addr})
		default:
			far = append(far, serving.Peer{Name: n.Name, Addr: n.Addr})
		}
	}
	for _, peers := range [][]serving.Peer{near, far} {
		rand.Shuffle(len(peers), func(i, j int) { peers[i], peers[j] = peers[j], peers[i] })
	}
	list = slices.Concat(near, far)
	return list[:min(maxForwardPeers, len(list))], exhausted && len(list) == 0
}

// Forward sends a request to a peer.
func (f *forwarder) Forward(ctx context.Context, p serving.Peer, service string, r serving.Forward) (*serving.Reply, error) {
	r.From = f.edge.settings.Current().Name()
	reply, err := f.client.Forward(ctx, p.Addr, r)
	var notSent *serving.NotSentError
	if errors.As(err, &notSent) && ctx.Err() == nil || err == nil && reply.Unreachable {
		f.avoid(avoidedPeer{p.Name, service}, err)
	}
	if err == nil && reply.Status == http.StatusOK {
		f.mu.Lock()
		f.answered[service] = clock.Now()
		f.mu.Unlock()
	}
	return reply, err
}

// peersReach reports whether a peer has reached the workers of a service lately.
func (f *forwarder) peersReach(service string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return clock.Since(f.answered[service]) < peerEvidenceTTL
}

// avoid makes a peer not be tried for a while.
func (f *forwarder) avoid(p avoidedPeer, err error) {
	if f.markAvoided(p, clock.Now()) {
		f.edge.Log.Info().Str("event", "peer_avoided").Str("peer", p.peer).Str("service", p.service).Err(err).Msg("it can't be reached or can't reach the workers")
	}
}

// markAvoided records that a peer is avoided, and reports whether to log it.
func (f *forwarder) markAvoided(p avoidedPeer, now time.Time) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if len(f.avoided) >= maxAvoided {
		clear(f.avoided)
	}
	a := f.avoided[p]
	a.until = now.Add(avoidPeerTime)
	due := now.Sub(a.logged) >= avoidLogInterval
	if due {
		a.logged = now
	}
	f.avoided[p] = a
	return due
}
