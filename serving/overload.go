package serving

import (
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/pointpass/pointpass/admission"
	"github.com/pointpass/pointpass/catalog"
	"github.com/pointpass/pointpass/load"
)

// A refusal for want of room names a wait between these parts of the slack that
// first events leave: another daemon may have room at once, and whoever finds some
// then is still in time.
const (
	leastReturn = 0.2
	mostReturn  = 0.6
)

// mostWindows bounds how many windows are kept. Beyond it requests that are bound to
// further sets of regions share one.
const mostWindows = 64

// window returns the window of a model's requests that may run in the same regions: where
// some regions have too much to do, others may have room.
func (s *Server) window(key load.Model) *admission.Window {
	s.mu.Lock()
	defer s.mu.Unlock()
	w, ok := s.windows[key]
	if !ok && len(s.windows) >= mostWindows {
		key.Regions = catalog.RegionSet{}
		w, ok = s.windows[key]
	}
	if !ok {
		w = admission.NewWindow(s.opts.Balancer)
		s.windows[key] = w
		s.opts.Counters.gaugeWindow(key, w)
	}
	return w
}

// enter counts a request for a model as under way, or refuses it where the model's
// groups have as much to do as they can in time. Services whose workers each serve
// alone have no window: their queues are short. Requests that may run in no region at all
// aren't counted, since no group could be formed for them.
func (e *exchange) enter() *fault {
	if e.service.Runtime == nil {
		return nil
	}
	model, known := e.service.Runtime.Model(e.req.Model)
	if !known {
		return nil
	}
	place := e.placementRequest()
	regions, found := catalog.Shared(place.Route, place.Customer)
	if !found {
		return nil
	}
	key := load.Model{Service: e.service.Name, Name: model.Name, Regions: regions}
	e.server.opts.Asked(key, e.service.Runtime.Work(model, e.req.Prompt, e.req.Answer))
	w := e.server.window(key)
	e.place = w.Enter(e.arrived, e.route.Goal, rand.Float64())
	if e.place == nil {
		e.server.opts.Counters.overload.Inc()
		part := leastReturn + (mostReturn-leastReturn)*rand.Float64()
		wait := time.Duration(part * float64(w.Slack(e.route.Goal)))
		return &fault{status: http.StatusServiceUnavailable, reason: "the model's groups are fully used", retryAfter: wait}
	}
	return nil
}

// leave ends the count that enter began.
func (e *exchange) leave() {
	if e.place != nil {
		e.place.Leave(e.server.opts.Now())
	}
}

// noteSent tells the window that the request goes to a target.
func (e *exchange) noteSent(now time.Time, target Target) {
	if e.place != nil {
		e.place.Sent(now, target.Key)
	}
}

// noteFirstEvent tells the window of an attempt's first event.
func (e *exchange) noteFirstEvent(now time.Time) {
	if e.place != nil {
		e.place.FirstEvent(now)
	}
}
