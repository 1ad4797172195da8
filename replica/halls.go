package replica

import (
	"github.com/pointpass/pointpass/workers"
)

// Halls tells which data halls the operator closed to requests. It must not change while
// a plan is made.
type Halls interface {
	// Open tells whether a hall is open.
	Open(hall string) bool
}

// part tells which workers a pool is of.
type part func(w workers.Worker) bool

// usable tells whether a worker's data hall is open to requests.
func (s Situation) usable(w workers.Worker) bool { return s.Halls == nil || s.Halls.Open(w.Hall) }

// holds tells whether a formation's members are of a part of the workers. They are all in
// one domain, and a domain lies in one hall.
func (r *round) holds(in part, f *formation) bool {
	w, listed := r.view.Worker(f.members[0])
	return listed && in(w)
}

// openPool returns the region's workers in open halls. Only these are supply: the models' shares
// are parts of them.
func (r *round) openPool() *pool {
	p := r.newPool(func(w workers.Worker) bool { return r.here(w) && r.usable(w) })
	have := supply{region: r.region, workers: p.total, regions: r.supply}
	p.shares = r.demand.shares(r.service, have)
	p.lasting = r.lasting.shares(r.service, have)
	return p
}

// closedPool returns the region's workers in closed halls. None of their groups may be retired:
// a whole group counts at once when its hall is opened, another after seconds.
func (r *round) closedPool() *pool {
	p := r.newPool(func(w workers.Worker) bool { return r.here(w) && !r.usable(w) })
	p.shares = r.demand.inForce[sharesKey{service: r.service.Name, region: r.region}]
	p.whole = nil
	return p
}

// formGroups begins groups. In closed halls none is formed while somebody is served, not
// even of workers that need no load: on a day with a hall closed for 14 s, while three
// workers died each 3 s, that was worth 0.004 to 0.044 more of what all answers are worth,
// in one play of each of three paired days. They form in a second or two once the hall is
// open.
func (r *round) formGroups() {
	if !r.settled() {
		return
	}
	r.form(r.openPool())
	if r.idle {
		r.form(r.closedPool())
	}
}
