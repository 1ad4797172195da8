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

// stage has hosts load a model that their worker could not run soon. While nobody
// is served all hosts load what their worker doesn't run. Later, when a load
// takes long and few fit beside each other, only the model that lacks most is
// staged, first where fewest loads make a further group possible.
func (r *round) stage() {
	left := min(r.loadsLeft(), r.stagesLeft())
	if left <= 0 {
		return
	}
	p := r.newPool()
	models := slices.Clone(r.service.Runtime.Models)
	slices.SortStableFunc(models, func(a, b catalog.Model) int { return cmp.Compare(p.fill(a, 0), p.fill(b, 0)) })
	if !r.idle {
		models = models[:min(1, len(models))]
	}
	for _, m := range models {
		for _, w := range r.stageOrder(m) {
			if left <= 0 {
				return
			}
			if r.stageAt(w, m) {
				left--
			}
		}
	}
}

// stageAt has a worker's host load a model, if it has none that would be lost by
// it.
func (r *round) stageAt(w workers.Worker, m catalog.Model) bool {
	rec := r.record(w.ID)
	if w.Draining || rec.inFlight || w.Membership.State == workers.Joining || r.taken(w) {
		return false
	}
	if r.idle && w.Membership.Group.Name == "" {
		return false // about to join a group
	}
	keeps := slices.ContainsFunc(w.Staged, func(name string) bool { return name != w.Last })
	asked := rec.staged != "" && r.now.Sub(rec.stagedAt) < 2*m.Load+stageAgain
	if keeps || asked || preparationOf(w, m.Name) != fromStore {
		return false
	}
	rec.staged = m.Name
	rec.stagedAt = r.now
	r.loads = append(r.loads, load{worker: w.ID, model: m.Name, begun: r.now, length: m.Load})
	r.give(Order{Worker: w, Op: Stage, Model: m.Name})
	return true
}

// taken tells whether a worker is a member of a group that is being formed.
func (r *round) taken(w workers.Worker) bool {
	for _, f := range r.forming {
		if slices.Contains(f.members, w.ID) {
			return true
		}
	}
	return false
}

// stageOrder returns the workers that don't run a model, those of the domain first
// that lacks the fewest for another group, and workers in no group before others.
func (r *round) stageOrder(m catalog.Model) []workers.Worker {
	var list []workers.Worker
	spare := map[string]int{}
	for _, w := range r.view.Of(r.service.Name) {
		if r.membership(w).Group.Model() == m.Name {
			continue
		}
		list = append(list, w)
		if preparationOf(w, m.Name) != fromStore {
			spare[w.Domain]++
		}
	}
	rank := func(w workers.Worker) int {
		if r.membership(w).Group.Name == "" {
			return 0
		}
		return 1
	}
	slices.SortStableFunc(list, func(a, b workers.Worker) int {
		return cmp.Or(
			cmp.Compare(m.Size-spare[a.Domain]%m.Size, m.Size-spare[b.Domain]%m.Size),
			cmp.Compare(a.Domain, b.Domain),
			cmp.Compare(rank(a), rank(b)),
		)
	})
	return list
}

// stagesLeft returns how many loads fit beside those under way without slowing
// them.
func (r *round) stagesLeft() int {
	if r.idle {
		return len(r.view.Of(r.service.Name))
	}
	underWay := 0
	for _, l := range r.loads {
		if w, listed := r.view.Worker(l.worker); listed && !staged(w, l.model) && r.now.Sub(l.begun) < 2*l.length {
			underWay++
		}
	}
	return r.service.Runtime.LoadsAtOnce - underWay
}
