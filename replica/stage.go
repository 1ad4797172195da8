package replica

import (
	"cmp"
	"slices"
	"time"

	"github.com/pointpass/pointpass/catalog"
	"github.com/pointpass/pointpass/workers"
)

// stagedRowLag is how long a worker's row may take to show that a model is staged, beyond the
// time of the load.
const stagedRowLag = 10 * time.Second

// stage makes hosts load models that their workers could not run soon otherwise. While no
// requests are served, all hosts load what their worker doesn't run. Later, when a load takes
// long and few may run concurrently, only ungrouped workers are prepared, first where the
// fewest loads make another group possible. Loads for workers of groups that run another model
// gain nothing then (docs/MEASURES.md).
func (r *round) stage() {
	left := min(r.loadsLeft(), r.stagesLeft())
	if left <= 0 || !r.settled() {
		return
	}
	r.countMembers()
	open := r.openPool()
	left = r.stagePool(open, left)
	if r.idle { // loads disturb no requests, and closed halls are prepared for their opening
		left = r.stagePool(r.closedPool(), left)
		r.stageMembers(open.bySupply(r.service.Runtime.Models), left)
	}
}

// stagePool makes hosts of a pool's workers load models, and returns how many loads are left.
func (r *round) stagePool(p *pool, left int) int {
	if !r.idle {
		left = r.stageUngrouped(p, p.bySupply(r.service.Runtime.Models), left)
	}
	return r.stageSpares(p, left)
}

// stageMembers makes the hosts of workers that run a model load another in addition.
func (r *round) stageMembers(models []catalog.Model, left int) {
	for _, m := range models {
		for _, w := range r.stageOrder(m) {
			if left <= 0 {
				return
			}
			if !r.depletesLargest(w, m) && r.stageAt(w, m) {
				left--
			}
		}
	}
}

// depletesLargest reports whether a domain would no longer have a group of the largest model
// staged if a worker's host loaded another model instead. When a whole domain loses power and
// returns, its hosts have only what is staged.
func (r *round) depletesLargest(w workers.Worker, m catalog.Model) bool {
	largest := slices.MaxFunc(r.service.Runtime.Models, func(a, b catalog.Model) int { return cmp.Compare(a.Size, b.Size) })
	if m.Name == largest.Name || !r.stagedOrOrdered(w, largest.Name) {
		return false
	}
	kept := 0
	for _, other := range r.view.ByService(r.service.Name) {
		if other.Domain == w.Domain && r.stagedOrOrdered(other, largest.Name) {
			kept++
		}
	}
	return kept <= largest.Size
}

// stagedOrOrdered reports whether a worker's host has a model staged, or was ordered to load
// it.
func (r *round) stagedOrOrdered(w workers.Worker, model string) bool {
	if ordered := r.record(w.ID).staged; ordered != "" {
		return ordered == model
	}
	return slices.Contains(w.Staged, model)
}

// stageCandidate is a domain whose ungrouped workers could form a group after some loads.
type stageCandidate struct {
	domain string
	model  catalog.Model
	loads  int
}

// stageUngrouped prepares ungrouped workers for further groups, and returns how many loads are
// left.
func (r *round) stageUngrouped(p *pool, models []catalog.Model, left int) int {
	var candidates []stageCandidate
	for domain, free := range p.free {
		for i, m := range models {
			if i > 0 && p.aboveShare(m) {
				continue
			}
			loads := m.Size - len(withoutLoad(free, m.Name))
			if loads > 0 && len(free) >= m.Size {
				candidates = append(candidates, stageCandidate{domain: domain, model: m, loads: loads})
			}
		}
	}
	slices.SortStableFunc(candidates, func(a, b stageCandidate) int {
		return cmp.Or(
			cmp.Compare(a.loads, b.loads),
			cmp.Compare(p.supplyRatio(a.model, 0), p.supplyRatio(b.model, 0)),
			cmp.Compare(a.domain, b.domain),
		)
	})
	for _, c := range candidates {
		for _, w := range p.free[c.domain] {
			if left <= 0 {
				return 0
			}
			if r.staging(w, c.model) {
				c.loads--
				continue
			}
			if c.loads > 0 && r.stageAt(w, c.model) {
				c.loads--
				left--
			}
		}
	}
	return left
}

// stageAt makes a worker's host load a model, unless that would evict a staged one.
func (r *round) stageAt(w workers.Worker, m catalog.Model) bool {
	rec := r.record(w.ID)
	if w.Draining || rec.inFlight || w.Membership.State == workers.Joining || r.taken[w.ID] {
		return false
	}
	evicts := slices.ContainsFunc(w.Staged, func(name string) bool { return name != w.LastModel })
	if evicts && !rec.restarted || r.staging(w, catalog.Model{Name: rec.staged, Load: m.Load}) || preparationOf(w, m.Name) != fromStore {
		return false
	}
	rec.restarted = false
	rec.staged = m.Name
	rec.stagedAt = r.now
	o := Order{Worker: w, Op: Stage, Model: m.Name}
	r.addLoad(o, m.Load)
	r.addOrder(o)
	return true
}

// staging reports whether a worker's host was recently ordered to load a model and isn't known
// to have it yet.
func (r *round) staging(w workers.Worker, m catalog.Model) bool {
	rec := r.record(w.ID)
	if slices.Contains(w.Staged, m.Name) {
		return false
	}
	return rec.staged != "" && rec.staged == m.Name && r.now.Sub(rec.stagedAt) < 2*m.Load+stagedRowLag
}

// countMembers records the members of groups in formation, and how many workers of each domain
// are or will be in groups of each model. No group is started while loads are assigned.
// Counting them for each worker makes a plan for 12,000 empty workers take 1.0 s instead of
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

// stageOrder returns the workers that run another model, starting with the domain that lacks
// the fewest workers for another group.
func (r *round) stageOrder(m catalog.Model) []workers.Worker {
	var list []workers.Worker
	runnable := map[string]int{}
	for _, w := range r.view.ByService(r.service.Name) {
		group := r.membership(w).Group
		if group.Model() == m.Name || !r.inRegion(w) {
			continue
		}
		if preparationOf(w, m.Name) != fromStore {
			runnable[w.Domain]++
		}
		if group.Name != "" {
			list = append(list, w)
		}
	}
	slices.SortStableFunc(list, func(a, b workers.Worker) int {
		return cmp.Or(
			cmp.Compare(m.Size-runnable[a.Domain]%m.Size, m.Size-runnable[b.Domain]%m.Size),
			cmp.Compare(a.Domain, b.Domain),
		)
	})
	return list
}
