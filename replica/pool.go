package replica

import (
	"cmp"
	"slices"

	"github.com/pointpass/pointpass/catalog"
	"github.com/pointpass/pointpass/workers"
)

// pool is the workers of a service in one region while groups are formed.
type pool struct {
	// free are the workers that may join a group, by domain.
	free map[string][]workers.Worker
	// counts are the workers in whole groups and in those being formed, by model.
	counts map[string]int
	total  int
	// forming are how many groups are being formed.
	forming int
	// shares are the parts of the workers that the models should have by what callers
	// ask for, and lasting those by what they have asked for in the longer run.
	shares, lasting map[string]float64
	// alike and near are how many groups of a model each domain and hall has.
	alike, near map[modelAt]int
	// whole are the groups that serve or could, by domain.
	whole map[string][]*workers.Group
	// leaving are the workers that were told to leave a group and will soon be free,
	// by domain.
	leaving map[string][]workers.Worker
}

func (p *pool) take(model catalog.Model, members []workers.Worker) {
	p.counts[model.Name] += model.Size
	p.count(model.Name, members[0])
	p.forming++
	domain := members[0].Domain
	p.free[domain] = slices.DeleteFunc(p.free[domain], func(w workers.Worker) bool {
		return slices.ContainsFunc(members, func(m workers.Worker) bool { return m.ID == w.ID })
	})
}

// fill tells how well a model is supplied: its workers for its share.
func (p *pool) fill(m catalog.Model, more int) float64 { return p.fillOf(p.shares, m, more) }

// fillOf is fill by other shares.
func (p *pool) fillOf(shares map[string]float64, m catalog.Model, more int) float64 {
	return float64(p.counts[m.Name]+more) / max(shares[m.Name], leastShare)
}

// aboveShare tells whether a model would have too much of the workers with another
// group.
func (p *pool) aboveShare(m catalog.Model) bool {
	wouldHave := float64(p.counts[m.Name] + m.Size)
	return wouldHave > mostAboveShare*p.shares[m.Name]*float64(p.total)
}

// bySupply returns the models in order of how well they are supplied, the worst first.
func (p *pool) bySupply(models []catalog.Model) []catalog.Model {
	sorted := slices.Clone(models)
	slices.SortStableFunc(sorted, func(a, b catalog.Model) int { return cmp.Compare(p.fill(a, 0), p.fill(b, 0)) })
	return sorted
}

// newPool returns the pool of a part of the workers.
func (r *round) newPool(in part) *pool {
	p := &pool{free: r.freeByDomain(in), counts: map[string]int{}, whole: map[string][]*workers.Group{}, leaving: r.leavingByDomain(in)}
	p.alike = map[modelAt]int{}
	p.near = map[modelAt]int{}
	r.countGroups(p)
	for _, list := range p.free {
		p.total += len(list)
	}
	for _, f := range r.forming {
		if f.service == r.service.Name && f.region == r.region && r.holds(in, f) {
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
		if r.retired(g.ID) {
			continue
		}
		p.counts[g.ID.Model()] += g.Size()
		p.whole[g.Members[0].Domain] = append(p.whole[g.Members[0].Domain], g)
	}
	return p
}

// freeByDomain returns the workers that may join a group.
func (r *round) freeByDomain(in part) map[string][]workers.Worker {
	taken := map[string]bool{}
	for _, f := range r.forming {
		for _, id := range f.members {
			taken[id] = true
		}
	}
	free := map[string][]workers.Worker{}
	for _, w := range r.view.Of(r.service.Name) {
		if in(w) && !taken[w.ID] && r.free(w) {
			free[w.Domain] = append(free[w.Domain], w)
		}
	}
	return free
}

// leavingByDomain returns the workers that were told lately to leave a group that is
// no more.
func (r *round) leavingByDomain(in part) map[string][]workers.Worker {
	leaving := map[string][]workers.Worker{}
	for _, w := range r.view.Of(r.service.Name) {
		rec := r.record(w.ID)
		told := rec.last.Op == Leave && rec.last.Group == w.Membership.Group && w.Membership.Group.Name != ""
		if told && in(w) && rec.left != rec.last.Group && !w.Draining && !r.unreachable(w.ID) && r.now.Sub(rec.leaveBegun) < leavePatience {
			leaving[w.Domain] = append(leaving[w.Domain], w)
		}
	}
	return leaving
}

// awaited tells whether a domain will soon have the workers for a group of a model
// that lacks more, which a group formed there now would take.
func (p *pool) awaited(domain string, lacking []catalog.Model) bool {
	if len(p.leaving[domain]) == 0 {
		return false
	}
	for _, m := range lacking {
		now := len(prepared(p.free[domain], m.Name))
		if now < m.Size && now+len(prepared(p.leaving[domain], m.Name)) >= m.Size {
			return true
		}
	}
	return false
}

// free tells whether a worker may join a group: it is in none, and no join that
// it was asked for may still take effect unseen.
func (r *round) free(w workers.Worker) bool {
	rec := r.record(w.ID)
	if w.Draining || rec.inFlight || r.unreachable(w.ID) || r.now.Before(rec.blockedUntil) {
		return false
	}
	if r.membership(w).Group.Name != "" {
		return false
	}
	joinUnderWay := rec.last.Op == Join && !rec.lastAt.IsZero() && rec.left != rec.last.Group && r.now.Sub(rec.lastAt) < rowLag
	return !joinUnderWay
}
