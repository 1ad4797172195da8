package replica

import (
	"cmp"
	"slices"
	"time"

	"github.com/pointpass/pointpass/catalog"
	"github.com/pointpass/pointpass/load"
	"github.com/pointpass/pointpass/workers"
)

// maxAboveShare is how far a model may exceed its share of the workers where no other model can
// use the free ones. Further workers are worth more to the other models once they are prepared.
const maxAboveShare = 1.15

// form starts groups of a pool's free workers, first of the model that is furthest below its
// share.
func (r *round) form(pool *pool) {
	for r.formed < epochsPerTerm {
		model, members, ok := r.nextGroup(pool)
		if !ok {
			return
		}
		r.startForming(model, members)
		pool.reserve(model, members)
	}
}

// startForming starts to form a group. Members that are still in a retiring group join once they
// have left it.
func (r *round) startForming(model catalog.Model, members []workers.Worker) {
	r.formed++
	id := workers.NewGroupID(model.Name, r.term*epochsPerTerm+r.formed)
	f := &formation{id: id, service: r.service.Name, region: r.region, model: model, started: r.now, joinAttempts: map[string]int{}}
	members = r.warmHeadFirst(members)
	for _, w := range members {
		f.members = append(f.members, w.ID)
	}
	r.forming[id] = f
	for _, w := range members {
		r.join(f, w)
	}
}

// demandReportTimeout is how long a new lease holder may take to learn the demand: two report
// intervals and minObservationTime.
const demandReportTimeout = 2*load.ReportInterval + minObservationTime + time.Second

// mayRetire reports whether groups may be retired for others: the list of workers has been
// stable, and the demand is known or its reports are overdue. Otherwise a new lease holder would
// follow the configured shares and break up the groups that its predecessor formed for another
// demand.
func (r *round) mayRetire() bool {
	if r.idle {
		return true
	}
	demandSettled := r.demand.warmedUp() || r.now.Sub(r.startedAt) >= demandReportTimeout
	return demandSettled && r.now.Sub(r.movedAt) >= moveDebounce
}

// nextGroup returns the model and members of the group to form next. Where none can be formed,
// groups of well supplied models may be retired for the worst supplied model.
func (r *round) nextGroup(p *pool) (catalog.Model, []workers.Worker, bool) {
	models := slices.Clone(r.service.Runtime.Models)
	slices.SortStableFunc(models, func(a, b catalog.Model) int {
		return cmp.Or(cmp.Compare(p.supplyRatio(a, 0), p.supplyRatio(b, 0)), cmp.Compare(p.shares[b.Name], p.shares[a.Name]))
	})
	for i, m := range models {
		if i > 0 && p.aboveShare(m) {
			continue
		}
		if members, ok := r.selectMembers(m, p, models[:i]); ok {
			return m, members, true
		}
	}
	if len(models) > 0 && p.forming < maxForming && r.mayRetire() {
		return r.retireFor(models[0], models, p)
	}
	return catalog.Model{}, nil, false
}
