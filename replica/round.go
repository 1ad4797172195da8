package replica

import (
	"time"

	"github.com/pointpass/pointpass/catalog"
	"github.com/pointpass/pointpass/workers"
)

// round is the state of one call of Plan.
type round struct {
	*Planner
	now     time.Time
	view    *workers.View
	service *catalog.Service
	// region is the region that is planned for, and supply the number of the service's usable
	// workers in each region.
	region   string
	supply   map[string]int
	regionOf func(hall string) string
	idle     bool
	failing  func(group string) bool
	orders   []Order

	storeBack time.Time
	// coldLeft returns how much longer a worker has reduced capacity.
	coldLeft func(worker string) time.Duration
	// taken are the members of groups that are being formed, and members how many workers of a
	// domain are in groups of a model. Both are set while loads are assigned.
	taken   map[string]bool
	members map[modelAt]int
	// usable reports whether a worker's data hall is open to requests.
	usable workerFilter
}

// newRound returns the state of a plan for a situation.
func (p *Planner) newRound(s Situation) *round {
	r := &round{Planner: p, now: s.Now, view: s.View, idle: s.Idle, failing: s.Failing, storeBack: s.StoreBack, usable: s.inOpenHall, regionOf: s.Region, coldLeft: s.ColdLeft}
	if r.regionOf == nil {
		r.regionOf = func(string) string { return "" }
	}
	return r
}

// addOrder adds an order unless another one to the same worker is in flight.
func (r *round) addOrder(o Order) {
	rec := r.record(o.Worker.ID)
	if rec.inFlight {
		return
	}
	rec.born = o.Worker.StartMs
	rec.inFlight = true
	if o.Op == Leave && (rec.last.Op != Leave || rec.last.Group != o.Group) {
		rec.leaveStarted = r.now
	}
	if o.Op != Stage {
		rec.last = o
		rec.lastAt = r.now
	}
	r.orders = append(r.orders, o)
}

// orderedRecently reports whether the worker was given the same order within d. Unanswered
// orders are repeated sooner: an order that the worker already applied has no effect.
func (r *round) orderedRecently(id string, op Op, group workers.GroupID, d time.Duration) bool {
	rec := r.record(id)
	if !rec.inFlight && rec.outcome == Unanswered && !r.unreachable(id) {
		d = min(d, unansweredRetryInterval)
	}
	return rec.last.Op == op && rec.last.Group == group && !rec.lastAt.IsZero() && r.now.Sub(rec.lastAt) < d
}

// membership returns the group that a worker is in, the zero value if none.
func (r *round) membership(w workers.Worker) workers.Membership {
	rec := r.record(w.ID)
	if w.Membership.Group == rec.left {
		return workers.Membership{}
	}
	return w.Membership
}
