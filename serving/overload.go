package serving

import (
	"fmt"
	"hash/fnv"
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/pointpass/pointpass/admission"
	"github.com/pointpass/pointpass/catalog"
	"github.com/pointpass/pointpass/load"
)

// An overload refusal names a retry delay between these fractions of the window's slack, the
// time that first events have left until their goal. Another daemon may have capacity at once,
// and a caller that finds some within that time still gets its first event in time.
const (
	minRetryFraction = 0.2
	maxRetryFraction = 0.6
)

// maxWindows bounds the number of windows. Beyond it, requests with further sets of regions
// share one window per model.
const maxWindows = 64

// window returns the admission window of a model's requests that may run in the same regions.
// They are separate since some regions may be overloaded while others have capacity.
func (s *Server) window(key load.Model) *admission.Window {
	s.mu.Lock()
	defer s.mu.Unlock()
	w, ok := s.windows[key]
	if !ok && len(s.windows) >= maxWindows {
		s.dropWindows()
	}
	if !ok && len(s.windows) >= maxWindows {
		key.Regions = catalog.RegionSet{}
		w, ok = s.windows[key]
	}
	if !ok {
		w = admission.NewWindow(s.opts.Balancer)
		s.windows[key] = w
		s.opts.Counters.registerWindowGauges(key, w)
	}
	return w
}

// dropWindows drops the windows of models that the configuration in force lacks. The caller holds
// the lock.
func (s *Server) dropWindows() {
	c := s.opts.Catalogs.Current().Catalog
	if c == nil {
		return
	}
	for key := range s.windows {
		service, known := c.Service(key.Service)
		if known && service.Runtime != nil {
			_, known = service.Runtime.Model(key.Name)
		}
		if !known {
			delete(s.windows, key)
			s.opts.Counters.dropWindowGauges(key)
		}
	}
}

// enterWindow enters a request into its model's window, or refuses it if the model's groups
// have as much work as they can do in time. Services without groups have no window, since
// their queues are short. Requests that may run in no region at all aren't counted as demand,
// since no group could be formed for them.
func (e *exchange) enterWindow() *fault {
	if e.service.Runtime == nil {
		return nil
	}
	model, known := e.service.Runtime.Model(e.req.Model)
	if !known {
		return nil
	}
	request := e.placementRequest()
	regions, found := catalog.Intersect(request.Route, request.Customer)
	if !found {
		return nil
	}
	key := load.Model{Service: e.service.Name, Name: model.Name, Regions: regions}
	// Callers name the number of tokens; at its deadline a request is given up.
	work := min(e.service.Runtime.Work(model, e.req.PromptTokens, e.req.MaxAnswerTokens), e.deadline.Sub(e.arrived))
	e.server.opts.RecordDemand(key, work)
	entry := e.entry(key, work)
	w := e.server.window(key)
	e.place = w.Enter(entry)
	if e.place != nil {
		return nil
	}
	e.overload = &overloadDecision{entry: entry, state: w.State()}
	e.server.opts.Counters.overload.Inc()
	fraction := minRetryFraction + (maxRetryFraction-minRetryFraction)*rand.Float64()
	wait := time.Duration(fraction * float64(w.Slack(e.route.LatencyGoal)))
	return &fault{status: http.StatusServiceUnavailable, reason: "the model's groups are fully used", retryAfter: wait}
}

// entry returns the request's entry for its model's window.
func (e *exchange) entry(key load.Model, work time.Duration) admission.Request {
	rate, demand := e.supply(key)
	return admission.Request{
		At: e.arrived, Goal: e.route.LatencyGoal, Work: work, Rate: rate, Load: demand,
		Random: rand.Float64(), Rank: e.rank(),
	}
}

// supply returns the group-seconds per second that this daemon's callers of a model may use:
// its share of the healthy groups where the request may run. It also returns the demand of all
// callers on these groups as a fraction of their capacity.
func (e *exchange) supply(key load.Model) (rate, demand float64) {
	share, work, known := e.server.opts.DemandShare(key)
	if !known {
		return admission.Unknown, admission.Unknown
	}
	targets, _ := e.allowedTargets()
	groups := e.server.opts.Balancer.CountHealthy(targets, e.arrived)
	if groups == 0 { // trying a failed group is better than refusing all requests
		return admission.Unknown, admission.Unknown
	}
	return share * float64(groups), work / float64(groups)
}

// rankPeriod is how long a request keeps its rank. It is much longer than a caller takes to
// retry, and short enough that a caller that repeats the same request isn't refused forever.
const rankPeriod = 10 * time.Second

// rank returns a number in [0, 1) that is the same at all daemons when the caller retries the
// request, and pseudorandom otherwise.
func (e *exchange) rank() float64 {
	h := fnv.New64a()
	period := e.arrived.Unix() / int64(rankPeriod/time.Second)
	fmt.Fprint(h, period, e.req.Target, e.req.Credential, e.req.PromptParts, e.req.PromptTokens, e.req.MaxAnswerTokens, e.req.Body.Len())
	return float64(h.Sum64()>>11) / (1 << 53)
}

// overloadDecision is the input of an overload refusal, for the log.
type overloadDecision struct {
	entry admission.Request
	state admission.State
}

// leaveWindow releases the place that enterWindow took.
func (e *exchange) leaveWindow() {
	if e.place != nil {
		e.place.Leave(e.server.opts.Now())
	}
}

// recordSent reports an attempt at a target to the window.
func (e *exchange) recordSent(now time.Time, target Target) {
	if e.place != nil {
		e.place.Sent(now, target.Key)
	}
}

// recordFirstEvent reports an attempt's first event to the window.
func (e *exchange) recordFirstEvent(now time.Time) {
	if e.place != nil {
		e.place.FirstEvent(now)
	}
}
