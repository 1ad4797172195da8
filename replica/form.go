package replica

import (
	"cmp"
	"maps"
	"slices"

	"github.com/pointpass/pointpass/catalog"
	"github.com/pointpass/pointpass/workers"
)

// mostAboveShare is how far a model may be above its share of the workers if no
// other model can use the free ones.
const mostAboveShare = 1.5

// form begins groups of free workers, those first whose model is furthest below
// its share.
func (r *round) form() {
	pool := r.newPool()
	for r.formed < epochsPerTerm {
		model, members, ok := r.nextGroup(pool)
		if !ok {
			return
		}
		r.begin(model, members)
		pool.take(model, members)
	}
}

func (r *round) begin(model catalog.Model, members []workers.Worker) {
	r.formed++
	id := workers.NewGroupID(model.Name, r.term*epochsPerTerm+r.formed)
	f := &formation{id: id, service: r.service.Name, model: model, begun: r.now, joins: map[string]int{}}
	for _, w := range members {
		f.members = append(f.members, w.ID)
		if !staged(w, model.Name) {
			r.loads = append(r.loads, load{worker: w.ID, model: model.Name, begun: r.now, length: model.Load})
		}
	}
	r.forming[id] = f
	for _, w := range members {
		r.join(f, w)
	}
}

// pool is the workers of a service while groups are formed.
type pool struct {
	// free are the workers that may join a group, by domain.
	free map[string][]workers.Worker
	// counts are the workers in whole groups and in those being formed, by model.
	counts map[string]int
	total  int
	// whole are the groups that serve or could, by domain.
	whole map[string][]*workers.Group
}

func (p *pool) take(model catalog.Model, members []workers.Worker) {
	p.counts[model.Name] += model.Size
	domain := members[0].Domain
	p.free[domain] = slices.DeleteFunc(p.free[domain], func(w workers.Worker) bool {
		return slices.ContainsFunc(members, func(m workers.Worker) bool { return m.ID == w.ID })
	})
}

// fill tells how well a model is supplied: its workers for its share.
func (p *pool) fill(m catalog.Model, more int) float64 {
	return float64(p.counts[m.Name]+more) / max(m.Share, 0.001)
}

func (r *round) newPool() *pool {
	p := &pool{free: r.freeByDomain(), counts: map[string]int{}, whole: map[string][]*workers.Group{}}
	for _, list := range p.free {
		p.total += len(list)
	}
	for _, f := range r.forming {
		if f.service == r.service.Name {
			p.counts[f.model.Name] += f.model.Size
			p.total += f.model.Size
		}
	}
	for _, g := range r.view.Groups() {
		_, forming := r.forming[g.ID]
		if g.Service != r.service.Name || forming || !g.Whole {
			continue
		}
		p.total += len(g.Members)
		if r.retired(g.ID) {
			continue
		}
		p.counts[g.ID.Model()] += len(g.Members)
		p.whole[g.Members[0].Domain] = append(p.whole[g.Members[0].Domain], g)
	}
	return p
}

// freeByDomain returns the workers that may join a group.
func (r *round) freeByDomain() map[string][]workers.Worker {
	taken := map[string]bool{}
	for _, f := range r.forming {
		for _, id := range f.members {
			taken[id] = true
		}
	}
	free := map[string][]workers.Worker{}
	for _, w := range r.view.Of(r.service.Name) {
		if !taken[w.ID] && r.free(w) {
			free[w.Domain] = append(free[w.Domain], w)
		}
	}
	return free
}

// free tells whether a worker may join a group: it is in none, and no join that
// it was asked for may still take effect unseen.
func (r *round) free(w workers.Worker) bool {
	rec := r.record(w.ID)
	if w.Draining || rec.inFlight || r.now.Before(rec.blockedUntil) {
		return false
	}
	if r.membership(w).Group.Name != "" {
		return false
	}
	joinUnderWay := rec.last.Op == Join && !rec.lastAt.IsZero() && rec.left != rec.last.Group && r.now.Sub(rec.lastAt) < rowLag
	return !joinUnderWay
}

// nextGroup returns the model and members of the group to form next. Where the
// model that lacks most can't be formed, groups of others may be retired for it.
func (r *round) nextGroup(p *pool) (catalog.Model, []workers.Worker, bool) {
	models := slices.Clone(r.service.Runtime.Models)
	slices.SortStableFunc(models, func(a, b catalog.Model) int {
		return cmp.Or(cmp.Compare(p.fill(a, 0), p.fill(b, 0)), cmp.Compare(b.Share, a.Share))
	})
	for i, m := range models {
		wouldHave := float64(p.counts[m.Name] + m.Size)
		if i > 0 && wouldHave > mostAboveShare*m.Share*float64(p.total) {
			continue
		}
		if members, ok := r.membersFor(m, p.free); ok {
			return m, members, true
		}
		if i == 0 {
			r.retireFor(m, models, p)
		}
	}
	return catalog.Model{}, nil, false
}

// retireFor has groups of better supplied models in one domain give up their
// workers to a model, if afterwards the model that is worst off has more than
// now. Their workers and the domain's free ones are kept for it.
func (r *round) retireFor(m catalog.Model, models []catalog.Model, p *pool) {
	for _, domain := range slices.Sorted(maps.Keys(p.free)) {
		free := len(p.free[domain])
		if free == 0 || free >= m.Size {
			continue
		}
		groups := r.retirable(m, models, p, domain, m.Size-free)
		if groups == nil {
			continue
		}
		for _, g := range groups {
			r.retiring[g.ID] = r.now
		}
		delete(p.free, domain)
		return
	}
}

// retirable returns groups of a domain whose workers make up for missing ones,
// nil if no such choice is better than things are.
func (r *round) retirable(m catalog.Model, models []catalog.Model, p *pool, domain string, missing int) []*workers.Group {
	after := map[string]int{m.Name: m.Size}
	var chosen []*workers.Group
	for _, g := range p.whole[domain] {
		if missing <= 0 || g.ID.Model() == m.Name {
			continue
		}
		chosen = append(chosen, g)
		after[g.ID.Model()] -= len(g.Members)
		missing -= len(g.Members)
	}
	if missing > 0 {
		return nil
	}
	before := p.fill(m, 0)
	for _, other := range models {
		if p.fill(other, after[other.Name]) <= before {
			return nil
		}
	}
	return chosen
}

// choice is one way to form a group.
type choice struct {
	members []workers.Worker
	loads   int
	near    int // groups of the model in the same zone
	domain  string
}

// membersFor returns the free workers of one domain that a group of the model
// costs the fewest loads with, as far as the ceiling on loads allows.
func (r *round) membersFor(m catalog.Model, free map[string][]workers.Worker) ([]workers.Worker, bool) {
	var best *choice
	allowed := r.loadsLeft()
	for domain, list := range free {
		if len(list) < m.Size {
			continue
		}
		c := r.choiceIn(domain, list, m)
		if c.loads > allowed {
			continue
		}
		if best == nil || less(c, best) {
			best = c
		}
	}
	if best == nil {
		return nil, false
	}
	return best.members, true
}

func less(a, b *choice) bool {
	return cmp.Or(cmp.Compare(a.loads, b.loads), cmp.Compare(a.near, b.near), cmp.Compare(a.domain, b.domain)) < 0
}

func (r *round) choiceIn(domain string, list []workers.Worker, m catalog.Model) *choice {
	sorted := slices.Clone(list)
	slices.SortStableFunc(sorted, func(a, b workers.Worker) int {
		return cmp.Or(cmp.Compare(cost(a, m.Name), cost(b, m.Name)), cmp.Compare(a.ID, b.ID))
	})
	c := &choice{members: sorted[:m.Size], domain: domain}
	for _, w := range c.members {
		if !staged(w, m.Name) {
			c.loads++
		}
	}
	zone := c.members[0].Zone
	for _, f := range r.forming {
		if head, ok := r.view.Worker(f.members[0]); ok && f.model.Name == m.Name && head.Zone == zone {
			c.near++
		}
	}
	for _, g := range r.view.Groups() {
		_, forming := r.forming[g.ID]
		if head, ok := g.Head(); ok && !forming && g.ID.Model() == m.Name && head.Zone == zone {
			c.near++
		}
	}
	return c
}

// cost ranks how long a worker takes to be ready for a model.
func cost(w workers.Worker, model string) int {
	switch {
	case slices.Contains(w.Models, model):
		return 0
	case staged(w, model):
		return 1
	case len(w.Staged) == 0:
		return 2
	}
	return 3 // its host would drop another model for this one
}

func staged(w workers.Worker, model string) bool {
	return slices.Contains(w.Staged, model) || slices.Contains(w.Models, model)
}

// loadsLeft returns how many loads may begin now.
func (r *round) loadsLeft() int {
	rate := r.service.Runtime.LoadsPerSecond
	if r.idle || rate <= 0 {
		return len(r.view.Of(r.service.Name))
	}
	r.loads = slices.DeleteFunc(r.loads, func(l load) bool {
		return r.now.Sub(l.begun) > max(r.ceiling.Window, 2*l.length)
	})
	begun := 0
	for _, l := range r.loads {
		if r.now.Sub(l.begun) <= r.ceiling.Window {
			begun++
		}
	}
	return int(rate*r.ceiling.Window.Seconds()*r.ceiling.Overrun) + r.ceiling.Extra - begun
}
