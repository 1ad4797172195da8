package replica

import (
	"cmp"
	"slices"
	"time"

	"github.com/pointpass/pointpass/catalog"
	"github.com/pointpass/pointpass/load"
	"github.com/pointpass/pointpass/workers"
)

// mostAboveShare is how far a model may be above its share of the workers if no
// other model can use the free ones. Workers beyond it are worth more to the other
// models once they are prepared: where a worker is lost every 3 s, 1.5 costs 0.003 to
// 0.009 of what all answers are worth, in paired days.
const mostAboveShare = 1.15

// form begins groups of a pool's free workers, those first whose model is furthest below
// its share.
func (r *round) form(pool *pool) {
	for r.formed < epochsPerTerm {
		model, members, ok := r.nextGroup(pool)
		if !ok {
			return
		}
		r.begin(model, members)
		pool.take(model, members)
	}
}

// begin starts forming a group. Members that are still in a retiring group join
// once they have left it.
func (r *round) begin(model catalog.Model, members []workers.Worker) {
	r.formed++
	id := workers.NewGroupID(model.Name, r.term*epochsPerTerm+r.formed)
	f := &formation{id: id, service: r.service.Name, region: r.region, model: model, begun: r.now, joins: map[string]int{}}
	members = r.warmHeadFirst(members)
	for _, w := range members {
		f.members = append(f.members, w.ID)
		if preparationOf(w, model.Name) == fromStore {
			r.loads = append(r.loads, weightLoad{worker: w.ID, model: model.Name, begun: r.now, length: model.Load})
		}
	}
	r.forming[id] = f
	for _, w := range members {
		r.join(f, w)
	}
}

// tellTime is how long a new holder of the lease may take to hear what callers ask for: two
// reports on the way, and demandKnown.
const tellTime = 2*load.ReportPause + demandKnown + time.Second

// mayRetire tells whether groups may be given up for others: the list of workers is
// complete, as far as one can see, and what callers ask for is known, or won't be told.
// Until then a new holder of the lease would go by the shares of the settings, and take
// apart what its predecessor formed for another demand.
func (r *round) mayRetire() bool {
	if r.idle {
		return true
	}
	told := r.demand.known() || r.now.Sub(r.begun) >= tellTime
	return told && r.now.Sub(r.moved) >= movePause
}

// nextGroup returns the model and members of the group to form next. Where none
// can be formed, groups of well supplied models may be retired for the one that
// lacks most.
func (r *round) nextGroup(p *pool) (catalog.Model, []workers.Worker, bool) {
	models := slices.Clone(r.service.Runtime.Models)
	slices.SortStableFunc(models, func(a, b catalog.Model) int {
		return cmp.Or(cmp.Compare(p.fill(a, 0), p.fill(b, 0)), cmp.Compare(p.shares[b.Name], p.shares[a.Name]))
	})
	for i, m := range models {
		if i > 0 && p.aboveShare(m) {
			continue
		}
		if members, ok := r.membersFor(m, p, models[:i]); ok {
			return m, members, true
		}
	}
	if len(models) > 0 && p.forming < mostForming && r.mayRetire() {
		return r.retireFor(models[0], models, p)
	}
	return catalog.Model{}, nil, false
}
