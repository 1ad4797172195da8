package replica

import (
	"cmp"
	"slices"
	"time"

	"github.com/pointpass/pointpass/catalog"
	"github.com/pointpass/pointpass/workers"
)

// stageAgain is how long a worker's row may take to tell that a model is staged,
// beyond the time of the load.
const stageAgain = 10 * time.Second

// stage has hosts load models that their workers could not run soon. While nobody
// is served all hosts load what their worker doesn't run. Later, when a load
// takes long and few fit beside each other, only workers in no group are prepared,
// first where the fewest loads make a further group possible. Loads for workers of
// groups that run another model were worth nothing then (docs/MEASURES.md).
func (r *round) stage() {
	left := min(r.loadsLeft(), r.stagesLeft())
	if left <= 0 || !r.settled() {
		return
	}
	r.countMembers()
	open := r.openPool()
	left = r.stagePool(open, left)
	if r.idle { // loads disturb nobody, and closed halls are to count once they are open
		left = r.stagePool(r.closedPool(), left)
		r.stageMembers(open.bySupply(r.service.Runtime.Models), left)
	}
}

// stagePool has hosts of a pool's workers load models, and returns how many loads are left.
func (r *round) stagePool(p *pool, left int) int {
	if !r.idle {
		left = r.stageIdle(p, p.bySupply(r.service.Runtime.Models), left)
	}
	return r.stageSpares(p, left)
}

// stageMembers has the hosts of workers that run a model load another beside it.
func (r *round) stageMembers(models []catalog.Model, left int) {
	for _, m := range models {
		for _, w := range r.stageOrder(m) {
			if left <= 0 {
				return
			}
			if !r.robsDomain(w, m) && r.stageAt(w, m) {
				left--
			}
		}
	}
}

// robsDomain tells whether a domain would no longer have a group of the largest
// model staged if a worker's host loaded another in its place. Hosts keep what is
// staged when a whole domain goes dark and comes back, and only that.
func (r *round) robsDomain(w workers.Worker, m catalog.Model) bool {
	largest := slices.MaxFunc(r.service.Runtime.Models, func(a, b catalog.Model) int { return cmp.Compare(a.Size, b.Size) })
	if m.Name == largest.Name || !r.keeps(w, largest.Name) {
		return false
	}
	kept := 0
	for _, other := range r.view.Of(r.service.Name) {
		if other.Domain == w.Domain && r.keeps(other, largest.Name) {
			kept++
		}
	}
	return kept <= largest.Size
}

// keeps tells whether a worker's host has a model staged, or was asked to.
func (r *round) keeps(w workers.Worker, model string) bool {
	if asked := r.record(w.ID).staged; asked != "" {
		return asked == model
	}
	return slices.Contains(w.Staged, model)
}

// lacking is a domain whose workers in no group could form a group after some
// loads.
type lacking struct {
	domain string
	model  catalog.Model
	loads  int
}

// stageIdle prepares workers in no group for further groups, and returns how many
// loads are left.
func (r *round) stageIdle(p *pool, models []catalog.Model, left int) int {
	var all []lacking
	for domain, free := range p.free {
		for i, m := range models {
			if i > 0 && p.aboveShare(m) {
				continue
			}
			loads := m.Size - len(prepared(free, m.Name))
			if loads > 0 && len(free) >= m.Size {
				all = append(all, lacking{domain: domain, model: m, loads: loads})
			}
		}
	}
	slices.SortStableFunc(all, func(a, b lacking) int {
		return cmp.Or(
			cmp.Compare(a.loads, b.loads),
			cmp.Compare(p.fill(a.model, 0), p.fill(b.model, 0)),
			cmp.Compare(a.domain, b.domain),
		)
	})
	for _, l := range all {
		for _, w := range p.free[l.domain] {
			if left <= 0 {
				return 0
			}
			if r.staging(w, l.model) {
				l.loads--
				continue
			}
			if l.loads > 0 && r.stageAt(w, l.model) {
				l.loads--
				left--
			}
		}
	}
	return left
}

// stageAt has a worker's host load a model, if it has none that would be lost by
// it.
func (r *round) stageAt(w workers.Worker, m catalog.Model) bool {
	rec := r.record(w.ID)
	if w.Draining || rec.inFlight || w.Membership.State == workers.Joining || r.taken[w.ID] {
		return false
	}
	keeps := slices.ContainsFunc(w.Staged, func(name string) bool { return name != w.Last })
	if keeps && !rec.restarted || r.staging(w, catalog.Model{Name: rec.staged, Load: m.Load}) || preparationOf(w, m.Name) != fromStore {
		return false
	}
	rec.restarted = false
	rec.staged = m.Name
	rec.stagedAt = r.now
	r.loads = append(r.loads, weightLoad{worker: w.ID, model: m.Name, begun: r.now, length: m.Load})
	r.give(Order{Worker: w, Op: Stage, Model: m.Name})
	return true
}

// staging tells whether a worker's host was asked to load a model lately and isn't known
// to have it yet.
func (r *round) staging(w workers.Worker, m catalog.Model) bool {
	rec := r.record(w.ID)
	if slices.Contains(w.Staged, m.Name) {
		return false
	}
	return rec.staged != "" && rec.staged == m.Name && r.now.Sub(rec.stagedAt) < 2*m.Load+stageAgain
}

// countMembers notes the members of groups that are being formed, and how many workers of
// each domain are in groups of each model, or will be. No group is begun while loads are
// given out. Counted anew for each worker, a plan for 12,000 empty ones took 1.0 s in place of
// 0.36 s (BenchmarkPlan_TwoYears, start).
func (r *round) countMembers() {
	r.taken = map[string]bool{}
	r.members = map[modelAt]int{}
	for _, f := range r.forming {
		for _, id := range f.members {
			r.taken[id] = true
		}
		if head, listed := r.view.Worker(f.members[0]); listed && f.service == r.service.Name {
			r.members[modelAt{f.model.Name, head.Domain}] += len(f.members)
		}
	}
	for _, g := range r.view.Groups() {
		_, forming := r.forming[g.ID]
		if !forming && g.Service == r.service.Name && len(g.Members) > 0 {
			r.members[modelAt{g.ID.Model(), g.Members[0].Domain}] += len(g.Members)
		}
	}
}

// stageOrder returns the workers that run another model, those of the domain first
// that lacks the fewest for another group.
func (r *round) stageOrder(m catalog.Model) []workers.Worker {
	var list []workers.Worker
	spare := map[string]int{}
	for _, w := range r.view.Of(r.service.Name) {
		group := r.membership(w).Group
		if group.Model() == m.Name || !r.here(w) {
			continue
		}
		if preparationOf(w, m.Name) != fromStore {
			spare[w.Domain]++
		}
		if group.Name != "" {
			list = append(list, w)
		}
	}
	slices.SortStableFunc(list, func(a, b workers.Worker) int {
		return cmp.Or(
			cmp.Compare(m.Size-spare[a.Domain]%m.Size, m.Size-spare[b.Domain]%m.Size),
			cmp.Compare(a.Domain, b.Domain),
		)
	})
	return list
}

// noteLoads notes which loads are over.
func (r *round) noteLoads() {
	for i := range r.loads {
		l := &r.loads[i]
		if w, listed := r.view.Worker(l.worker); listed && staged(w, l.model) {
			l.done = true
		}
	}
}

// stagesLeft returns how many loads fit beside those under way without slowing
// them.
func (r *round) stagesLeft() int {
	if r.idle {
		return len(r.view.Of(r.service.Name))
	}
	underWay := 0
	for _, l := range r.loads {
		if _, listed := r.view.Worker(l.worker); listed && !l.done && r.now.Sub(l.begun) < 2*l.length {
			underWay++
		}
	}
	return r.service.Runtime.LoadsAtOnce - underWay
}

// loadsLeft returns how many loads may begin now.
func (r *round) loadsLeft() int {
	rate := r.service.Runtime.LoadsPerSecond
	if r.idle || rate <= 0 {
		return len(r.view.Of(r.service.Name))
	}
	r.loads = slices.DeleteFunc(r.loads, func(l weightLoad) bool {
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
