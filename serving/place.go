package serving

import (
	"context"
	"net/http"
	"slices"

	"github.com/pointpass/pointpass/placement"
)

// placementRequest is what the request asks of the place where it runs.
func (e *exchange) placementRequest() placement.Request {
	r := placement.Request{Route: e.route.Regions}
	if e.customer != nil {
		r.Customer = e.customer.Regions
	}
	return r
}

// permitted returns the targets where the request may run now, and why it may not at one
// of the others.
func (e *exchange) permitted() (targets []Target, barred placement.Verdict) {
	s := e.server
	request := e.placementRequest()
	for _, t := range Targets(s.opts.Workers(), e.service, e.req.Model) {
		if v := s.opts.Placement.Judge(request, t.Worker); v.Allowed() {
			targets = append(targets, t)
		} else {
			barred = v
		}
	}
	return targets, barred
}

// choose finds the next target and counts a request there, or returns the refusal of a
// request that there is none for. What is allowed is asked again at the moment of sending:
// a cold worker has room for one of two requests that chose it at the same time. A process
// that stood still may not know what changed meanwhile, and asks first.
func (e *exchange) choose(ctx context.Context) (Target, *fault) {
	s := e.server
	s.opts.Settle(ctx)
	targets, barred := e.permitted()
	excluded := slices.Clone(e.tried)
	for {
		target, ok := s.opts.Balancer.Choose(targets, excluded, s.opts.Now())
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
		f.reason = barredReasons[barred.Reason]
		e.server.opts.Counters.barred(barred.Reason)
	}
	return f
}

// barredReasons tell callers why no worker may get their request.
var barredReasons = map[placement.Reason]string{
	placement.HallClosed:   "the data halls that serve this are closed",
	placement.RegionBarred: "nothing serves this in the regions where it may run",
	placement.Cold:         "the workers that serve this have just started",
}
