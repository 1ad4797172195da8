package serving

import (
	"context"
	"math/rand/v2"
	"net/http"
	"slices"
	"time"

	"github.com/pointpass/pointpass/placement"
)

// placementRequest returns the request's placement constraints by the current configuration. A
// region that its route or customer has lost is barred from the next attempt on, also for a
// request that was admitted earlier. If the current configuration lacks the route or the
// credential, the constraints at admission stay in force.
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

// allowedTargets returns the targets where the request may run now, and why it may not run at
// another one.
func (e *exchange) allowedTargets() (targets []Target, barred placement.Verdict) {
	s := e.server
	request := e.placementRequest()
	var until time.Time // when the first of the barred targets takes requests again
	for _, t := range Targets(s.opts.Workers(), e.service, e.req.Model) {
		v := s.opts.Placement.Check(request, t.Worker)
		switch {
		case v.Allowed():
			t.Weight = v.Weight
			targets = append(targets, t)
		case v.MoreSpecificThan(barred):
			barred = v
		}
		if !v.Until.IsZero() && (until.IsZero() || v.Until.Before(until)) {
			until = v.Until
		}
		if v.UnknownRegion() {
			s.reportUnknownRegion(v.Hall)
		}
	}
	barred.Until = until
	return targets, barred
}

// maxUnknownHalls bounds how many halls without a region are logged.
const maxUnknownHalls = 64

// reportUnknownRegion counts a target that was left out because the region of its hall is
// unknown, and logs each hall once. Either the settings lack the hall, or an entry is wrong.
func (s *Server) reportUnknownRegion(hall string) {
	s.opts.Counters.unknownRegion.Inc()
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.unknownHalls[hall] || len(s.unknownHalls) >= maxUnknownHalls {
		return
	}
	s.unknownHalls[hall] = true
	s.opts.Log.Error().Str("event", "hall_region_unknown").Str("hall", hall).
		Msg("its workers get no requests with region constraints: hall_regions in the settings lacks the hall")
}

// choose returns the next target, with a request counted there, or the refusal if there is
// none. Placement is checked again right before sending: a cold worker has capacity for only
// one of two requests that chose it at the same time. After a stall this process may have
// missed changes, so it first waits for fresh data.
func (e *exchange) choose(ctx context.Context) (Target, *fault) {
	s := e.server
	s.opts.WaitFresh(ctx)
	if f := e.checkHold(); f != nil {
		return Target{}, f
	}
	targets, barred := e.allowedTargets()
	excluded := slices.Clone(e.tried)
	ignoreHall := rand.Float64() < s.spillChance(e.service.Name, e.req.Model, targets)
	for {
		target, ok := s.opts.Balancer.Choose(targets, excluded, ignoreHall, s.opts.Now())
		if !ok {
			return Target{}, e.noTargetFault(barred)
		}
		v := s.opts.Placement.Admit(e.placementRequest(), target.Worker)
		if v.Allowed() {
			return target, nil
		}
		s.opts.Balancer.Done(target.Key)
		excluded = append(excluded, target.Key)
		barred = v
	}
}

// noTargetFault returns the refusal of a request that has no target left.
func (e *exchange) noTargetFault(barred placement.Verdict) *fault {
	f := &fault{status: http.StatusServiceUnavailable, reason: "nothing serves this at present", retryAfter: unavailableRetryDelay}
	if !barred.Allowed() {
		e.barred = barred
		e.barredRegions = e.placementRequest()
		f.reason = barredReasons[barred.Reason]
		e.server.opts.Counters.barred(barred.Reason)
	}
	now := e.server.opts.Now()
	switch {
	case barred.Reason == placement.HallClosed && len(e.tried) == 0:
		f.retryAfter = closedHallRetryDelay(now.Sub(barred.ObservedAt))
	case barred.Until.After(now):
		f.retryAfter = min(max(barred.Until.Sub(now), unavailableRetryDelay), maxUnavailableRetryDelay)
	}
	return f
}

// maxUnavailableRetryDelay bounds the retry delay while halls are closed or workers take no
// requests. Callers at the known sites give up after 6 s.
const maxUnavailableRetryDelay = 4 * time.Second

// closedHallRetryDelay returns the retry delay for halls that have been closed for a time: the
// same time again, within bounds, as it isn't known when they will open. Of callers that arrive
// evenly over the closure, half find the halls open at their first retry. One that retries all
// the time waits at most twice as long as needed, with few refusals.
func closedHallRetryDelay(closed time.Duration) time.Duration {
	return min(max(closed, unavailableRetryDelay), maxUnavailableRetryDelay)
}

// barredReasons are the texts that tell callers why no worker may run their request.
var barredReasons = map[placement.Reason]string{
	placement.HallClosed:   "the data halls that serve this are closed",
	placement.RegionBarred: "nothing serves this in the regions where it may run",
	placement.Cold:         "the workers that serve this have just started",

	placement.WorkerLimited: "the workers that serve this take fewer requests at present",
	placement.WorkerLeaving: "the workers that serve this are leaving",
	placement.WorkerPaused:  "the workers that serve this take no requests at present",
}
