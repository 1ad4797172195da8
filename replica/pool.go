package replica

import (
	"cmp"
	"slices"

	"github.com/pointpass/pointpass/catalog"
	"github.com/pointpass/pointpass/workers"
)

// pool is the workers of a service in one region for which groups are formed.
type pool struct {
	// free are the workers that may join a group, by domain.
	free map[string][]workers.Worker
	// counts are the numbers of workers in whole groups and in those being formed, by model.
	counts map[string]int
	total  int
	// forming is how many groups are being formed.
	forming int
	// shares are the parts of the workers that the models should have by the short-term demand,
	// and longTermShares those by the long-term demand.
	shares, longTermShares map[string]float64
	// groupsInDomain and groupsInHall are how many groups of a model each domain and hall has.
	groupsInDomain, groupsInHall map[modelAt]int
	// whole are the groups that serve or could serve, by domain.
	whole map[string][]*workers.Group
	// leaving are the workers that were ordered to leave a group and will soon be free, by
	// domain.
	leaving map[string][]workers.Worker
}

// reserve moves free workers into a group that is being formed.
func (p *pool) reserve(model catalog.Model, members []workers.Worker) {
	p.counts[model.Name] += model.Size
	p.countGroup(model.Name, members[0])
	p.forming++
	domain := members[0].Domain
	p.free[domain] = slices.DeleteFunc(p.free[domain], func(w workers.Worker) bool {
		return slices.ContainsFunc(members, func(m workers.Worker) bool { return m.ID == w.ID })
	})
}

// supplyRatio returns how well a model is supplied with `more` further workers: its workers
// divided by its share.
func (p *pool) supplyRatio(m catalog.Model, more int) float64 {
	return p.supplyRatioOf(p.shares, m, more)
}

// supplyRatioOf is supplyRatio for other shares.
func (p *pool) supplyRatioOf(shares map[string]float64, m catalog.Model, more int) float64 {
	return float64(p.counts[m.Name]+more) / max(shares[m.Name], minShare)
}

// aboveShare reports whether a model would exceed its share of the workers by too much with
// another group.
func (p *pool) aboveShare(m catalog.Model) bool {
	wouldHave := float64(p.counts[m.Name] + m.Size)
	return wouldHave > maxAboveShare*p.shares[m.Name]*float64(p.total)
}

// bySupply returns the models sorted by how well they are supplied, the worst first.
func (p *pool) bySupply(models []catalog.Model) []catalog.Model {
	sorted := slices.Clone(models)
	slices.SortStableFunc(sorted, func(a, b catalog.Model) int { return cmp.Compare(p.supplyRatio(a, 0), p.supplyRatio(b, 0)) })
	return sorted
}

// newPool returns the pool of a part of the workers.
func (r *round) newPool(in workerFilter) *pool {
	p := &pool{free: r.freeByDomain(in), counts: map[string]int{}, whole: map[string][]*workers.Group{}, leaving: r.leavingByDomain(in)}
	p.groupsInDomain = map[modelAt]int{}
	p.groupsInHall = map[modelAt]int{}
	r.countGroups(p)
	for _, list := range p.free {
		p.total += len(list)
	}
	for _, f := range r.forming {
		if f.service == r.service.Name && f.region == r.region && r.formationIn(in, f) {
			p.counts[f.model.Name] += f.model.Size
			p.total += f.model.Size
			p.forming++
		}
	}
	for _, g := range r.view.Groups() {
		_, forming := r.forming[g.ID]
		if g.Service != r.service.Name || forming || !g.Whole || !in(g.Members[0]) {
			continue
		}
		p.total += g.Size()
		if r.isRetiring(g.ID) {
			continue
		}
		p.counts[g.ID.Model()] += g.Size()
		p.whole[g.Members[0].Domain] = append(p.whole[g.Members[0].Domain], g)
	}
	return p
}

// freeByDomain returns the workers that may join a group, by domain.
func (r *round) freeByDomain(in workerFilter) map[string][]workers.Worker {
	taken := map[string]bool{}
	for _, f := range r.forming {
		for _, id := range f.members {
			taken[id] = true
		}
	}
	free := map[string][]workers.Worker{}
	for _, w := range r.view.ByService(r.service.Name) {
		if in(w) && !taken[w.ID] && r.free(w) {
			free[w.Domain] = append(free[w.Domain], w)
		}
	}
	return free
}

// leavingByDomain returns the workers that were recently ordered to leave a group that is being
// dissolved, by domain.
func (r *round) leavingByDomain(in workerFilter) map[string][]workers.Worker {
	leaving := map[string][]workers.Worker{}
	for _, w := range r.view.ByService(r.service.Name) {
		rec := r.record(w.ID)
		toldToLeave := rec.last.Op == Leave && rec.last.Group == w.Membership.Group && w.Membership.Group.Name != ""
		if toldToLeave && in(w) && !w.Draining && !r.unreachable(w.ID) && r.now.Sub(rec.leaveStarted) < leaveTimeout {
			leaving[w.Domain] = append(leaving[w.Domain], w)
		}
	}
	return leaving
}

// awaitsWorkers reports whether a domain will soon have the workers for a group of an
// undersupplied model. A group formed there now would take these workers.
func (p *pool) awaitsWorkers(domain string, undersupplied []catalog.Model) bool {
	if len(p.leaving[domain]) == 0 {
		return false
	}
	for _, m := range undersupplied {
		preparedNow := len(withoutLoad(p.free[domain], m.Name))
		if preparedNow < m.Size && preparedNow+len(withoutLoad(p.leaving[domain], m.Name)) >= m.Size {
			return true
		}
	}
	return false
}

// free reports whether a worker may join a group: its entry names none, and no earlier join order may
// still take effect unseen. The answer to an order to leave isn't enough: an earlier order to join may
// be carried out after it.
func (r *round) free(w workers.Worker) bool {
	rec := r.record(w.ID)
	if w.Draining || rec.inFlight || r.unreachable(w.ID) || r.now.Before(rec.blockedUntil) {
		return false
	}
	if w.Membership.Group.Name != "" || r.mayRejoin(rec) && r.headRemains(rec.left) {
		return false
	}
	joinInFlight := rec.last.Op == Join && !rec.lastAt.IsZero() && rec.left != rec.last.Group && r.now.Sub(rec.lastAt) < rowLag
	return !joinInFlight
}
