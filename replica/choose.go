package replica

import (
	"cmp"
	"slices"

	"github.com/pointpass/pointpass/catalog"
	"github.com/pointpass/pointpass/workers"
)

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
