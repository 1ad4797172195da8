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
	work := e.service.Runtime.Work(model, e.req.Prompt, e.req.Answer)
	e.server.opts.Asked(key, work)
	entry := e.entry(key, work)
	w := e.server.window(key)
	e.place = w.Enter(entry)
	if e.place != nil {
		return nil
	}
	e.noRoom = &noRoom{entry: entry, state: w.State()}
	e.server.opts.Counters.overload.Inc()
	part := leastReturn + (mostReturn-leastReturn)*rand.Float64()
	wait := time.Duration(part * float64(w.Slack(e.route.Goal)))
	return &fault{status: http.StatusServiceUnavailable, reason: "the model's groups are fully used", retryAfter: wait}
}

// entry is what the request asks of its model's window.
func (e *exchange) entry(key load.Model, work time.Duration) admission.Entry {
	rate, asked := e.supply(key)
	return admission.Entry{
		At: e.arrived, Goal: e.route.Goal, Work: work, Rate: rate, Load: asked,
		Random: rand.Float64(), Rank: e.rank(),
	}
}

// supply returns how many seconds of one group there are for this daemon's callers of a
// model in a second, its part of the groups where the request may run now, and what all
// callers ask of these as a part of what they can do.
func (e *exchange) supply(key load.Model) (rate, asked float64) {
	part, work, known := e.server.opts.Part(key)
	if !known {
		return admission.Unknown, admission.Unknown
	}
	targets, _ := e.permitted()
	groups := e.server.opts.Balancer.Sound(targets, e.arrived)
	if groups == 0 { // trying one of those that failed is better than refusing all
		return admission.Unknown, admission.Unknown
	}
	return part * float64(groups), work / float64(groups)
}

// rankTime is for how long a request keeps its rank: much longer than a caller takes to
// come back, and short enough that nobody who asks for the same again and again is always
// refused.
const rankTime = 10 * time.Second

// rank returns a number in [0, 1) that is the same at all daemons when the caller comes
// back with the request, and otherwise as good as chance.
func (e *exchange) rank() float64 {
	h := fnv.New64a()
	period := e.arrived.Unix() / int64(rankTime/time.Second)
	fmt.Fprint(h, period, e.req.Target, e.req.Credential, e.req.Parts, e.req.Prompt, e.req.Answer, len(e.req.Body))
	return float64(h.Sum64()>>11) / (1 << 53)
}

// noRoom is what a refusal for want of room was decided by.
type noRoom struct {
	entry admission.Entry
	state admission.State
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
