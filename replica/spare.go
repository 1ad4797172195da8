package replica

import (
	"github.com/pointpass/pointpass/catalog"
	"github.com/pointpass/pointpass/workers"
)

// stageSpares stages models on the workers that no group has room for, so that they replace lost
// members without waiting for a load, and returns how many loads are left. It covers workers
// that start later, too.
func (r *round) stageSpares(p *pool, left int) int {
	models := r.service.Runtime.Models
	for _, w := range r.view.ByService(r.service.Name) {
		if left <= 0 {
			return left
		}
		free := p.free[w.Domain]
		if !containsWorker(free, w.ID) || len(free) >= minGroupSize(models) && r.idle {
			continue
		}
		if r.prepared(w) {
			continue
		}
		if r.stageAt(w, r.spareModel(w.Domain, free, models)) {
			left--
		}
	}
	return left
}

// prepared reports whether a worker can run some model without a load, now or soon.
func (r *round) prepared(w workers.Worker) bool {
	return w.LastModel != "" || len(w.Staged) > 0 || r.record(w.ID).staged != ""
}

// spareModel returns the model that a domain's spare workers cover worst: the one with the most
// members in the domain's groups for each spare that is prepared for it.
func (r *round) spareModel(domain string, free []workers.Worker, models []catalog.Model) catalog.Model {
	covered := map[string]int{}
	for _, w := range free {
		for _, m := range models {
			if r.stagedOrOrdered(w, m.Name) || w.LastModel == m.Name {
				covered[m.Name]++
			}
		}
	}
	worst := models[0]
	for _, m := range models[1:] {
		if r.membersPerSpare(m, domain, covered) > r.membersPerSpare(worst, domain, covered) {
			worst = m
		}
	}
	return worst
}

// membersPerSpare returns how many members a model may lose in a domain for each spare that is
// prepared for it, counting one spare more.
func (r *round) membersPerSpare(m catalog.Model, domain string, covered map[string]int) float64 {
	return float64(r.members[modelAt{m.Name, domain}]) / float64(covered[m.Name]+1)
}

// minGroupSize returns the group size of the smallest model.
func minGroupSize(models []catalog.Model) int {
	size := models[0].Size
	for _, m := range models[1:] {
		size = min(size, m.Size)
	}
	return size
}

// containsWorker reports whether a list contains the worker with an id.
func containsWorker(list []workers.Worker, id string) bool {
	for _, w := range list {
		if w.ID == id {
			return true
		}
	}
	return false
}
