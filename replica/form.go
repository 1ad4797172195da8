package replica

import (
	"cmp"
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
	if !r.settled() {
		return
	}
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

// begin starts forming a group. Members that are still in a retiring group join
// once they have left it.
func (r *round) begin(model catalog.Model, members []workers.Worker) {
	r.formed++
	id := workers.NewGroupID(model.Name, r.term*epochsPerTerm+r.formed)
	f := &formation{id: id, service: r.service.Name, model: model, begun: r.now, joins: map[string]int{}}
	for _, w := range members {
		f.members = append(f.members, w.ID)
		if preparationOf(w, model.Name) == fromStore {
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
	// leaving are the workers that were told to leave a group and will soon be free,
	// by domain.
	leaving map[string][]workers.Worker
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
	p := &pool{free: r.freeByDomain(), counts: map[string]int{}, whole: map[string][]*workers.Group{}, leaving: r.leavingByDomain()}
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

// leavingByDomain returns the workers that were told lately to leave a group that is
// no more.
func (r *round) leavingByDomain() map[string][]workers.Worker {
	leaving := map[string][]workers.Worker{}
	for _, w := range r.view.Of(r.service.Name) {
		rec := r.record(w.ID)
		told := rec.last.Op == Leave && rec.last.Group == w.Membership.Group && w.Membership.Group.Name != ""
		if told && rec.left != rec.last.Group && !w.Draining && !r.unreachable(w.ID) && r.now.Sub(rec.leaveBegun) < leavePatience {
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

// nextGroup returns the model and members of the group to form next. Where none
// can be formed, groups of well supplied models may be retired for the one that
// lacks most.
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
		if members, ok := r.membersFor(m, p, models[:i]); ok {
			return m, members, true
		}
	}
	if len(models) > 0 && len(r.forming) < mostForming {
		return r.retireFor(models[0], models, p)
	}
	return catalog.Model{}, nil, false
}

// mostForming bounds how many groups may be in formation while more are retired,
// and retireGain is what the worst supplied model must gain by it.
const (
	mostForming = 3
	retireGain  = 1.05
)

// retireFor has groups of better supplied models in one domain give up workers to
// a model, if afterwards the worst supplied model is better off than now. Only
// workers that need no load count.
func (r *round) retireFor(m catalog.Model, models []catalog.Model, p *pool) (catalog.Model, []workers.Worker, bool) {
	var members []workers.Worker
	var retired []*workers.Group
	for domain, groups := range p.whole {
		candidates, chosen := retirable(m, p.free[domain], groups)
		if len(candidates) < m.Size || !gains(m, models, p, chosen) {
			continue
		}
		better := members == nil || len(chosen) < len(retired) || len(chosen) == len(retired) && domain < members[0].Domain
		if better {
			members = candidates[:m.Size]
			retired = chosen
		}
	}
	for _, g := range retired {
		r.retiring[g.ID] = r.now
		p.counts[g.ID.Model()] -= len(g.Members)
		p.drop(g)
	}
	return m, members, members != nil
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
// supplied model better off.
func gains(m catalog.Model, models []catalog.Model, p *pool, retired []*workers.Group) bool {
	after := map[string]int{m.Name: m.Size}
	for _, g := range retired {
		after[g.ID.Model()] -= len(g.Members)
	}
	before := retireGain * p.fill(m, 0)
	for _, other := range models {
		if p.fill(other, after[other.Name]) <= before {
			return false
		}
	}
	return true
}

// choice is one way to form a group.
type choice struct {
	members []workers.Worker
	loads   int
	// spoiled are the groups of the largest model that no longer fit the domain.
	spoiled int
	// alike and near are the groups of the model in the same domain and hall.
	alike, near int
	domain      string
}

// membersFor returns the free workers of one domain that a group of the model is
// best formed of. Those that would have to load weights from the store count
// only while nobody is served: later they are staged first, so that workers that
// need no load don't wait for them. Domains that await workers for a model that
// lacks more are left alone.
func (r *round) membersFor(m catalog.Model, p *pool, lacking []catalog.Model) ([]workers.Worker, bool) {
	var best *choice
	for domain, list := range p.free {
		if p.awaited(domain, lacking) {
			continue
		}
		if !r.idle {
			list = prepared(list, m.Name)
		}
		if len(list) < m.Size {
			continue
		}
		c := r.choiceIn(domain, list, m)
		c.spoiled = r.spoiled(m, len(p.free[domain]))
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
	return cmp.Or(
		cmp.Compare(a.loads, b.loads),
		cmp.Compare(a.spoiled, b.spoiled),
		cmp.Compare(a.alike, b.alike),
		cmp.Compare(a.near, b.near),
		cmp.Compare(a.domain, b.domain),
	) < 0
}

// spoiled returns how many groups of the largest model fit a domain's free workers
// less once a group of a smaller model has taken its own.
func (r *round) spoiled(m catalog.Model, free int) int {
	largest := m.Size
	for _, other := range r.service.Runtime.Models {
		largest = max(largest, other.Size)
	}
	if m.Size == largest {
		return 0
	}
	return free/largest - (free-m.Size)/largest
}

func (r *round) choiceIn(domain string, list []workers.Worker, m catalog.Model) *choice {
	sorted := slices.Clone(list)
	slices.SortStableFunc(sorted, func(a, b workers.Worker) int {
		return cmp.Or(
			cmp.Compare(preparationOf(a, m.Name), preparationOf(b, m.Name)),
			cmp.Compare(versatility(a), versatility(b)),
			cmp.Compare(a.ID, b.ID),
		)
	})
	c := &choice{members: sorted[:m.Size], domain: domain}
	for _, w := range c.members {
		if preparationOf(w, m.Name) == fromStore {
			c.loads++
		}
	}
	for _, f := range r.forming {
		if head, ok := r.view.Worker(f.members[0]); ok && f.model.Name == m.Name {
			c.count(head)
		}
	}
	for _, g := range r.view.Groups() {
		_, forming := r.forming[g.ID]
		if head, ok := g.Head(); ok && !forming && g.ID.Model() == m.Name {
			c.count(head)
		}
	}
	return c
}

// versatility returns how many models a worker can run without a load. Those that
// can run few are used first.
func versatility(w workers.Worker) int {
	n := len(w.Staged)
	if w.Last != "" && !slices.Contains(w.Staged, w.Last) {
		n++
	}
	return n
}

// count notes a group of the same model, by its head.
func (c *choice) count(head workers.Worker) {
	if head.Domain == c.domain {
		c.alike++
	}
	if head.Hall == c.members[0].Hall {
		c.near++
	}
}

// preparation is how far a worker is from running a model.
type preparation int

const (
	// again is the model of the worker's last group.
	again preparation = iota
	// fromHost has to take the model from the worker's host.
	fromHost
	// fromStore has to load the model.
	fromStore
)

func preparationOf(w workers.Worker, model string) preparation {
	switch {
	case w.Last == model:
		return again
	case staged(w, model):
		return fromHost
	}
	return fromStore
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
