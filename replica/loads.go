package replica

import (
	"slices"
	"time"

	"github.com/pointpass/pointpass/common/units"
)

// LoadCeiling limits how many loads from the weight store may start within a window.
type LoadCeiling struct {
	Window  time.Duration
	Overrun float64
	Extra   int
}

// weightLoad is a load of weights that this planner ordered.
type weightLoad struct {
	order    Order
	ordered  time.Time
	duration time.Duration
	// startedBy is when the outcome of the order was known: the load had started by then. It is
	// zero before, while the order may still wait to be sent.
	startedBy time.Time
	// done reports that the worker's host was seen with the model. The host may lose the model
	// again before the load is forgotten.
	done bool
}

// startedWithin reports whether the load may have started within a window before now.
func (l *weightLoad) startedWithin(window time.Duration, now time.Time) bool {
	return l.startedBy.IsZero() || now.Sub(l.startedBy) <= window
}

// addLoad records the load that an order starts.
func (r *round) addLoad(o Order, duration time.Duration) {
	r.loads = append(r.loads, weightLoad{order: o, ordered: r.now, duration: duration})
}

// repeatLoad notes that an order is given again. Its load, if it has one, may start only now.
func (r *round) repeatLoad(o Order) {
	if i := r.loadOf(o); i >= 0 {
		r.loads[i].startedBy = time.Time{}
	}
}

// loadOf returns the index of the latest load of an order to the same start of a worker, -1 if
// there is none.
func (p *Planner) loadOf(o Order) int {
	for i := len(p.loads) - 1; i >= 0; i-- {
		of := p.loads[i].order
		sameWorker := of.Worker.ID == o.Worker.ID && of.Worker.StartMs == o.Worker.StartMs
		if sameWorker && of.Op == o.Op && of.Group == o.Group && of.Model == o.Model {
			return i
		}
	}
	return -1
}

// settleLoad applies the outcome of an order to its load. An unanswered order may have started it
// as late as now. An order that never reached the worker started none.
func (p *Planner) settleLoad(now time.Time, o Order, outcome Outcome) {
	i := p.loadOf(o)
	switch {
	case i < 0 || !p.loads[i].startedBy.IsZero():
	case outcome == Expired || outcome == NotDelivered:
		p.loads = slices.Delete(p.loads, i, i+1)
	default:
		p.loads[i].startedBy = now
	}
}

// markLoadsDone marks the loads of a worker's host as done, since they ended with the worker.
func (p *Planner) markLoadsDone(worker string) {
	for i := range p.loads {
		if p.loads[i].order.Worker.ID == worker {
			p.loads[i].done = true
		}
	}
}

// markFinishedLoads marks the loads that have finished.
func (r *round) markFinishedLoads() {
	for i := range r.loads {
		l := &r.loads[i]
		if w, listed := r.view.Worker(l.order.Worker.ID); listed && staged(w, l.order.Model) {
			l.done = true
		}
	}
}

// stagesLeft returns how many more loads can run concurrently without slowing those in flight.
func (r *round) stagesLeft() int {
	if r.idle {
		return len(r.view.ByService(r.service.Name))
	}
	inFlight := 0
	for _, l := range r.loads {
		if _, listed := r.view.Worker(l.order.Worker.ID); listed && !l.done && r.now.Sub(l.ordered) < 2*l.duration {
			inFlight++
		}
	}
	return r.service.Runtime.LoadsAtOnce - inFlight
}

// loadsLeft returns how many loads may start now. A load counts from the outcome of its order:
// orders that waited to be sent or for the processor would otherwise reach their workers within
// a window of the next ones.
func (r *round) loadsLeft() int {
	rate := r.service.Runtime.LoadsPerSecond
	if r.idle || rate <= 0 {
		return len(r.view.ByService(r.service.Name))
	}
	window := r.ceiling.Window
	r.loads = slices.DeleteFunc(r.loads, func(l weightLoad) bool {
		return !l.startedWithin(window, r.now) && r.now.Sub(l.ordered) > 2*l.duration
	})
	started := 0
	for _, l := range r.loads {
		if l.startedWithin(window, r.now) {
			started++
		}
	}
	return units.Count(rate*window.Seconds()*r.ceiling.Overrun) + r.ceiling.Extra - started
}
