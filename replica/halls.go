package replica

import (
	"github.com/pointpass/pointpass/workers"
)

// Halls reports which data halls are open to requests; the operator may close some. It must not
// change while a plan is made.
type Halls interface {
	// Open reports whether a hall is open.
	Open(hall string) bool
}

// workerFilter reports whether a worker belongs to a pool.
type workerFilter func(w workers.Worker) bool

// inOpenHall reports whether a worker's data hall is open to requests.
func (s Situation) inOpenHall(w workers.Worker) bool { return s.Halls == nil || s.Halls.Open(w.Hall) }

// formationIn reports whether the members of a formation belong to a pool. They are all in one
// domain, and a domain lies in one hall.
func (r *round) formationIn(filter workerFilter, f *formation) bool {
	w, listed := r.view.Worker(f.members[0])
	return listed && filter(w)
}

// openPool returns the region's workers in open halls. Only these are supply: the shares of the
// models are fractions of them.
func (r *round) openPool() *pool {
	p := r.newPool(func(w workers.Worker) bool { return r.inRegion(w) && r.usable(w) })
	have := supply{region: r.region, workers: p.total, regions: r.supply}
	p.shares = r.demand.shares(r.service, have)
	p.longTermShares = r.longTerm.shares(r.service, have)
	return p
}

// closedPool returns the region's workers in closed halls. None of their groups may be retired:
// a whole group is available as soon as its hall is opened, a new one only seconds later.
func (r *round) closedPool() *pool {
	p := r.newPool(func(w workers.Worker) bool { return r.inRegion(w) && !r.usable(w) })
	p.shares = r.demand.inForce[sharesKey{service: r.service.Name, region: r.region}]
	p.whole = nil
	return p
}

// formGroups starts forming groups. In closed halls it forms groups only while no requests are
// served, even of workers that need no load. The groups form within a second or two of the
// hall's opening.
func (r *round) formGroups() {
	if !r.settled() {
		return
	}
	r.form(r.openPool())
	if r.idle {
		r.form(r.closedPool())
	}
}
