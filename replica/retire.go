package replica

import (
	"cmp"
	"slices"

	"github.com/pointpass/pointpass/catalog"
	"github.com/pointpass/pointpass/workers"
)

// maxForming limits how many groups may be in formation while others are retired, and
// minRetireGain is the factor by which the supply of the worst supplied model must improve.
const (
	maxForming    = 3
	minRetireGain = 1.05
)

// retirement is one way to free workers for a model by retiring groups of a domain.
type retirement struct {
	members []workers.Worker
	retired []*workers.Group
	// hallGroups and domainGroups count the groups of the model in the same hall and domain.
	hallGroups, domainGroups int
	domain                   string
}

// better reports whether a is preferred to b: it retires fewer groups or, among equals, is
// where the model has fewer groups. Without the latter, the groups of one hall are retired one
// after the other, until the hall has none of a model's groups, or most of them: the loss of a
// hall then takes half of a model's groups where a third would do.
func (a *retirement) better(b *retirement) bool {
	return b == nil || cmp.Or(
		cmp.Compare(len(a.retired), len(b.retired)),
		cmp.Compare(a.hallGroups, b.hallGroups),
		cmp.Compare(a.domainGroups, b.domainGroups),
		cmp.Compare(a.domain, b.domain),
	) < 0
}

// retireFor retires groups of better supplied models in one domain to free workers for a model,
// if the worst supplied model is better off afterwards. Only workers that need no load count.
func (r *round) retireFor(m catalog.Model, models []catalog.Model, p *pool) (catalog.Model, []workers.Worker, bool) {
	var best *retirement
	for domain, groups := range p.whole {
		if p.awaitsWorkers(domain, []catalog.Model{m}) {
			continue // the domain lost a group of the model and will soon form it again
		}
		candidates, toRetire := retirable(m, p.free[domain], groups)
		if len(candidates) < m.Size || !improvesSupply(m, models, p, toRetire) {
			continue
		}
		option := &retirement{
			members:      candidates[:m.Size],
			retired:      toRetire,
			hallGroups:   p.groupsInHall[modelAt{m.Name, candidates[0].Hall}],
			domainGroups: p.groupsInDomain[modelAt{m.Name, domain}],
			domain:       domain,
		}
		if option.better(best) {
			best = option
		}
	}
	if best == nil {
		return m, nil, false
	}
	for _, g := range best.retired {
		r.retiring[g.ID] = r.now
		p.counts[g.ID.Model()] -= g.Size()
		p.drop(g)
	}
	return m, best.members, true
}

// drop removes a group from those that may be retired.
func (p *pool) drop(g *workers.Group) {
	domain := g.Members[0].Domain
	p.whole[domain] = slices.DeleteFunc(p.whole[domain], func(other *workers.Group) bool { return other == g })
}

// retirable returns workers for a group of a model, ungrouped ones first, and the groups that
// some of them have to leave.
func retirable(m catalog.Model, free []workers.Worker, groups []*workers.Group) (members []workers.Worker, retired []*workers.Group) {
	members = withoutLoad(free, m.Name)
	for _, g := range groups {
		if len(members) >= m.Size {
			break
		}
		others := withoutLoad(g.Members, m.Name)
		if g.ID.Model() == m.Name || len(others) == 0 {
			continue
		}
		members = append(members, others...)
		retired = append(retired, g)
	}
	return members, retired
}

// withoutLoad returns the workers that can run a model without a load.
func withoutLoad(list []workers.Worker, model string) []workers.Worker {
	var kept []workers.Worker
	for _, w := range list {
		if preparationOf(w, model) != fromStore {
			kept = append(kept, w)
		}
	}
	return kept
}

// improvesSupply reports whether a group of one model in place of others leaves the worst
// supplied model better off, by both the short-term and the long-term demand. Workers that are
// free anyway are assigned by the short-term demand alone.
func improvesSupply(m catalog.Model, models []catalog.Model, p *pool, retired []*workers.Group) bool {
	after := map[string]int{m.Name: m.Size}
	for _, g := range retired {
		after[g.ID.Model()] -= g.Size()
	}
	for _, shares := range []map[string]float64{p.shares, p.longTermShares} {
		before := minRetireGain * p.supplyRatioOf(shares, m, 0)
		for _, other := range models {
			if p.supplyRatioOf(shares, other, after[other.Name]) <= before {
				return false
			}
		}
	}
	return true
}
