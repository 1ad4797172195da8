package replica

import (
	"cmp"
	"slices"

	"github.com/pointpass/pointpass/catalog"
	"github.com/pointpass/pointpass/workers"
)

// candidate is one way to form a group: of the free workers of one domain.
type candidate struct {
	// free are the workers to choose from.
	free []workers.Worker
	// loads is how many of the members would have to load the model from the store.
	loads int
	// largeLost is how many groups of the largest model no longer fit the domain afterwards.
	largeLost int
	// inDomain and inHall are how many groups of the model the same domain and hall have.
	inDomain, inHall int
	domain           string
}

// selectMembers returns the free workers of one domain that are the best members for a group of
// the model. Domains whose workers would have to load weights from the store count only before
// traffic: later their workers are staged first, so that workers that need no load don't wait
// for them. Domains that await workers for an undersupplied model are skipped.
func (r *round) selectMembers(m catalog.Model, p *pool, undersupplied []catalog.Model) ([]workers.Worker, bool) {
	var best *candidate
	for domain, list := range p.free {
		if len(list) < m.Size || p.awaitsWorkers(domain, undersupplied) {
			continue
		}
		c := p.candidateIn(domain, list, m)
		if c.loads > 0 && !r.idle {
			continue
		}
		c.largeLost = r.largeGroupsLost(m, len(p.free[domain]))
		if best == nil || betterCandidate(c, best) {
			best = c
		}
	}
	if best == nil {
		return nil, false
	}
	return best.members(m), true
}

// betterCandidate reports whether a is preferred to b.
func betterCandidate(a, b *candidate) bool {
	return cmp.Or(
		cmp.Compare(a.loads, b.loads),
		cmp.Compare(a.largeLost, b.largeLost),
		cmp.Compare(a.inDomain, b.inDomain),
		cmp.Compare(a.inHall, b.inHall),
		cmp.Compare(a.domain, b.domain),
	) < 0
}

// largeGroupsLost returns how many fewer groups of the largest model fit a domain's free workers
// once a group of a smaller model has taken its members.
func (r *round) largeGroupsLost(m catalog.Model, free int) int {
	largest := m.Size
	for _, other := range r.service.Runtime.Models {
		largest = max(largest, other.Size)
	}
	if m.Size == largest {
		return 0
	}
	return free/largest - (free-m.Size)/largest
}

// candidateIn returns the candidate of a domain with at least m.Size free workers.
func (p *pool) candidateIn(domain string, list []workers.Worker, m catalog.Model) *candidate {
	ready := 0
	for _, w := range list {
		if preparationOf(w, m.Name) != fromStore {
			ready++
		}
	}
	return &candidate{
		free:     list,
		loads:    max(m.Size-ready, 0),
		inDomain: p.groupsInDomain[modelAt{m.Name, domain}],
		inHall:   p.groupsInHall[modelAt{m.Name, list[0].Hall}],
		domain:   domain,
	}
}

// members returns the workers for a group: those that need the least preparation first, and
// among them those that can run the fewest models.
func (c *candidate) members(m catalog.Model) []workers.Worker {
	sorted := slices.Clone(c.free)
	slices.SortStableFunc(sorted, func(a, b workers.Worker) int {
		return cmp.Or(
			cmp.Compare(preparationOf(a, m.Name), preparationOf(b, m.Name)),
			cmp.Compare(runnableModels(a), runnableModels(b)),
			cmp.Compare(a.ID, b.ID),
		)
	})
	return sorted[:m.Size]
}

// runnableModels returns how many models a worker can run without a load. Workers that can run
// few models are used first.
func runnableModels(w workers.Worker) int {
	n := len(w.Staged)
	if w.LastModel != "" && !slices.Contains(w.Staged, w.LastModel) {
		n++
	}
	return n
}

// modelAt is a model in a domain or hall.
type modelAt struct{ model, place string }

// countGroup counts a group of a model in the domain and hall of its head.
func (p *pool) countGroup(model string, head workers.Worker) {
	p.groupsInDomain[modelAt{model, head.Domain}]++
	p.groupsInHall[modelAt{model, head.Hall}]++
}

// countGroups counts the groups of each domain and hall, including those being formed. It counts
// once for all domains, since a count for each domain and group takes most of the time of a plan
// in a large fleet (BenchmarkPlan_TwoYears).
func (r *round) countGroups(p *pool) {
	for _, f := range r.forming {
		if head, listed := r.view.Worker(f.members[0]); listed {
			p.countGroup(f.model.Name, head)
		}
	}
	for _, g := range r.view.Groups() {
		if head, found := g.Head(); found && r.forming[g.ID] == nil {
			p.countGroup(g.ID.Model(), head)
		}
	}
}

// preparation is what a worker needs before it can run a model. Lower values take less time.
type preparation int

const (
	// ranLast: the model is that of the worker's last group.
	ranLast preparation = iota
	// fromHost: the worker has to take the model from its host.
	fromHost
	// fromStore: the worker has to load the model from the weight store.
	fromStore
)

// preparationOf returns what a worker needs before it can run a model.
func preparationOf(w workers.Worker, model string) preparation {
	switch {
	case w.LastModel == model:
		return ranLast
	case staged(w, model):
		return fromHost
	}
	return fromStore
}

// staged reports whether a worker or its host has a model.
func staged(w workers.Worker, model string) bool {
	return slices.Contains(w.Staged, model) || slices.Contains(w.Models, model)
}
