package replica

import (
	"slices"
	"time"

	"github.com/pointpass/pointpass/catalog"
	"github.com/pointpass/pointpass/workers"
)

// stageAgain is how long a worker's row may take to tell that a model is staged,
// beyond the time of the load.
const stageAgain = 10 * time.Second

// stage has hosts load the model that their worker doesn't run, so that each
// worker can be in a group of any model soon: it rejoins the last one at once,
// and takes the staged one from its host.
func (r *round) stage() {
	if len(r.forming) > 0 && !r.idle {
		return // groups that are being formed need the weight store more
	}
	left := min(r.loadsLeft(), r.stagesLeft())
	for _, w := range r.view.Of(r.service.Name) {
		if left <= 0 {
			return
		}
		model, wanted := r.stageWanted(w)
		if !wanted {
			continue
		}
		r.loads = append(r.loads, load{worker: w.ID, model: model.Name, begun: r.now, length: model.Load})
		r.give(Order{Worker: w, Op: Stage, Model: model.Name})
		left--
	}
}

// stagesLeft returns how many loads fit beside those under way without slowing
// them; half of that is left for groups.
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
	return r.service.Runtime.LoadsAtOnce/2 - underWay
}

// stageWanted returns the model to load to a worker's host.
func (r *round) stageWanted(w workers.Worker) (catalog.Model, bool) {
	rec := r.record(w.ID)
	if w.Draining || rec.inFlight || w.Membership.State == workers.Joining {
		return catalog.Model{}, false
	}
	running := w.Membership.Group.Model()
	other := func(name string) bool { return name != running }
	if running == "" || slices.ContainsFunc(w.Staged, other) {
		return catalog.Model{}, false
	}
	for _, m := range r.service.Runtime.Models {
		if m.Name == running {
			continue
		}
		asked := rec.staged == m.Name && r.now.Sub(rec.stagedAt) < 2*m.Load+stageAgain
		if asked {
			return catalog.Model{}, false
		}
		rec.staged = m.Name
		rec.stagedAt = r.now
		return m, true
	}
	return catalog.Model{}, false
}
