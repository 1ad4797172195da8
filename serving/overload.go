package serving

import (
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/pointpass/pointpass/admission"
	"github.com/pointpass/pointpass/load"
)

// A refusal for want of room names a wait between these parts of the slack that
// first events leave: another daemon may have room at once, and whoever finds some
// then is still in time.
const (
	leastReturn = 0.2
	mostReturn  = 0.6
)

// window returns the window of a model's requests.
func (s *Server) window(key load.Model) *admission.Window {
	s.mu.Lock()
	defer s.mu.Unlock()
	w, ok := s.windows[key]
	if !ok {
		w = admission.NewWindow(s.opts.Balancer)
		s.windows[key] = w
		s.opts.Counters.gaugeWindow(key, w)
	}
	return w
}

// enter counts a request for a model as under way, or refuses it where the model's
// groups have as much to do as they can in time. Services whose workers each serve
// alone have no window: their queues are short.
func (e *exchange) enter() *fault {
	if e.service.Runtime == nil {
		return nil
	}
	model, known := e.service.Runtime.Model(e.req.Model)
	if !known {
		return nil
	}
	key := load.Model{Service: e.service.Name, Name: model.Name}
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
