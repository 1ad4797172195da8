package serving

import (
	"context"
	"math/rand/v2"
	"net/http"
	"slices"
	"time"

	"github.com/pointpass/pointpass/placement"
)

// placementRequest is what the request asks of the place where it runs, by the newest
// configuration: a region that its route or customer lost is barred from the next
// sending on, also to a request that was admitted before. Where the newest one doesn't
// know the route or the credential, what it was admitted by binds on.
func (e *exchange) placementRequest() placement.Request {
	route, customer := e.route, e.customer
	newest := e.server.opts.Catalogs.Current().Catalog
	if newest != nil && newest != e.inForce.Catalog {
		if r, known := newest.Route(e.req.Host, e.req.Path); known {
			route = r
		}
		if c, known := newest.Customer(e.req.Credential); known && customer != nil {
			customer = c
		}
	}
	r := placement.Request{Route: route.Regions}
	if customer != nil {
		r.Customer = customer.Regions
	}
	return r
}

// permitted returns the targets where the request may run now, and why it may not at one
// of the others.
func (e *exchange) permitted() (targets []Target, barred placement.Verdict) {
	s := e.server
	request := e.placementRequest()
	var until time.Time // the first of the barred ones takes a request
	for _, t := range Targets(s.opts.Workers(), e.service, e.req.Model) {
		v := s.opts.Placement.Judge(request, t.Worker)
		switch {
		case v.Allowed():
			t.Weight = v.Weight
			targets = append(targets, t)
		case v.Telling(barred):
			barred = v
		}
		if !v.Until.IsZero() && (until.IsZero() || v.Until.Before(until)) {
			until = v.Until
		}
		if v.UnknownRegion() {
			s.noteUnknownRegion(v.Hall)
		}
	}
	barred.Until = until
	return targets, barred
}

// mostUnknownHalls bounds how many halls without a region are named in the log.
const mostUnknownHalls = 64

// noteUnknownRegion counts that a target was left out since nothing says in which region
// its hall is, and logs each hall once: the settings lack it, or an entry is wrong.
func (s *Server) noteUnknownRegion(hall string) {
	s.opts.Counters.unknownRegion.Inc()
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.unknownHalls[hall] || len(s.unknownHalls) >= mostUnknownHalls {
		return
	}
	s.unknownHalls[hall] = true
	s.opts.Log.Error().Str("event", "hall_region_unknown").Str("hall", hall).
		Msg("its workers get no requests that are bound to regions; hall_regions in the settings lacks the hall")
}

// choose finds the next target and counts a request there, or returns the refusal of a
// request that there is none for. What is allowed is asked again at the moment of sending:
// a cold worker has room for one of two requests that chose it at the same time. A process
// that stood still may not know what changed meanwhile, and asks first.
func (e *exchange) choose(ctx context.Context) (Target, *fault) {
	s := e.server
	s.opts.Settle(ctx)
	if f := e.heldBack(); f != nil {
		return Target{}, f
	}
	targets, barred := e.permitted()
	excluded := slices.Clone(e.tried)
	anywhere := rand.Float64() < s.spillOf(e.service.Name, e.req.Model, targets)
	for {
		target, ok := s.opts.Balancer.Choose(targets, excluded, anywhere, s.opts.Now())
		if !ok {
			return Target{}, e.absent(barred)
		}
		v := s.opts.Placement.Send(e.placementRequest(), target.Worker)
		if v.Allowed() {
			return target, nil
		}
		s.opts.Balancer.Done(target.Key)
		excluded = append(excluded, target.Key)
		barred = v
	}
}

// absent is the refusal of a request that no target is left for.
func (e *exchange) absent(barred placement.Verdict) *fault {
	f := &fault{status: http.StatusServiceUnavailable, reason: "nothing serves this at present", retryAfter: absentRetry}
	if !barred.Allowed() {
		e.barred = barred
		e.barredRegions = e.placementRequest()
		f.reason = barredReasons[barred.Reason]
		e.server.opts.Counters.barred(barred.Reason)
	}
	now := e.server.opts.Now()
	switch {
	case barred.Reason == placement.HallClosed && len(e.tried) == 0:
		f.retryAfter = closedRetry(now.Sub(barred.Known))
	case barred.Until.After(now):
		f.retryAfter = min(max(barred.Until.Sub(now), absentRetry), mostClosedRetry)
	}
	return f
}

// mostClosedRetry bounds the wait named while halls are closed, or workers take nothing:
// callers at the sites known give up after 6 s.
const mostClosedRetry = 4 * time.Second

// closedRetry returns when to come back to halls that have been closed for a while: after as
// long again. Nobody knows when they will be open. Of callers who come all the while until
// then, half find them open at their first return, and one who comes back again and again
// waits at most twice as long as needed, with few refusals in between.
func closedRetry(closed time.Duration) time.Duration {
	return min(max(closed, absentRetry), mostClosedRetry)
}

// barredReasons tell callers why no worker may get their request.
var barredReasons = map[placement.Reason]string{
	placement.HallClosed:   "the data halls that serve this are closed",
	placement.RegionBarred: "nothing serves this in the regions where it may run",
	placement.Cold:         "the workers that serve this have just started",

	placement.WorkerLimited: "the workers that serve this take fewer requests at present",
	placement.WorkerLeaving: "the workers that serve this are leaving",
	placement.WorkerPaused:  "the workers that serve this take no requests at present",
}
