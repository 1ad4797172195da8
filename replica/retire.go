package replica

import (
	"cmp"
	"slices"

	"github.com/pointpass/pointpass/catalog"
	"github.com/pointpass/pointpass/workers"
)

// mostForming bounds how many groups may be in formation while more are retired,
// and retireGain is what the worst supplied model must gain by it.
const (
	mostForming = 3
	retireGain  = 1.05
)

// retirement is one way to have groups of a domain give up workers to a model.
type retirement struct {
	members []workers.Worker
	retired []*workers.Group
	// near and alike are the groups of the model in the same hall and domain.
	near, alike int
	domain      string
}

// better tells whether a retirement is to be preferred: where the fewest groups are given
// up, then where the model has the fewest groups. Without the latter those of one hall were
// given up one after the other, until it had no group of a model left, or most of them:
// the loss of a hall then took half of a model's groups where a third could do.
func (a *retirement) better(b *retirement) bool {
	return b == nil || cmp.Or(
		cmp.Compare(len(a.retired), len(b.retired)),
		cmp.Compare(a.near, b.near),
		cmp.Compare(a.alike, b.alike),
		cmp.Compare(a.domain, b.domain),
	) < 0
}

// retireFor has groups of better supplied models in one domain give up workers to
// a model, if afterwards the worst supplied model is better off than now. Only
// workers that need no load count.
func (r *round) retireFor(m catalog.Model, models []catalog.Model, p *pool) (catalog.Model, []workers.Worker, bool) {
	var best *retirement
	for domain, groups := range p.whole {
		if p.awaited(domain, []catalog.Model{m}) {
			continue // it has lost a group of the model, and will soon form it again
		}
		candidates, chosen := retirable(m, p.free[domain], groups)
		if len(candidates) < m.Size || !gains(m, models, p, chosen) {
			continue
		}
		found := &retirement{
			members: candidates[:m.Size],
			retired: chosen,
			near:    p.near[modelAt{m.Name, candidates[0].Hall}],
			alike:   p.alike[modelAt{m.Name, domain}],
			domain:  domain,
		}
		if found.better(best) {
			best = found
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

// drop takes a group off the list of those that may be retired.
func (p *pool) drop(g *workers.Group) {
	domain := g.Members[0].Domain
	p.whole[domain] = slices.DeleteFunc(p.whole[domain], func(other *workers.Group) bool { return other == g })
}

// retirable returns workers for a group of a model, free ones first, and the
// groups that some of them have to leave.
func retirable(m catalog.Model, free []workers.Worker, groups []*workers.Group) (members []workers.Worker, retired []*workers.Group) {
	members = prepared(free, m.Name)
	for _, g := range groups {
		if len(members) >= m.Size {
			break
		}
		others := prepared(g.Members, m.Name)
		if g.ID.Model() == m.Name || len(others) == 0 {
			continue
		}
		members = append(members, others...)
		retired = append(retired, g)
	}
	return members, retired
}

// prepared returns the workers that need no load to run a model.
func prepared(list []workers.Worker, model string) []workers.Worker {
	var kept []workers.Worker
	for _, w := range list {
		if preparationOf(w, model) != fromStore {
			kept = append(kept, w)
		}
	}
	return kept
}

// gains tells whether a group of one model in place of others leaves the worst
// supplied model better off, by what callers ask for now and in the longer run as well.
// What they ask for now decides alone on workers that are free anyway.
func gains(m catalog.Model, models []catalog.Model, p *pool, retired []*workers.Group) bool {
	after := map[string]int{m.Name: m.Size}
	for _, g := range retired {
		after[g.ID.Model()] -= g.Size()
	}
	for _, shares := range []map[string]float64{p.shares, p.lasting} {
		before := retireGain * p.fillOf(shares, m, 0)
		for _, other := range models {
			if p.fillOf(shares, other, after[other.Name]) <= before {
				return false
			}
		}
	}
	return true
}
