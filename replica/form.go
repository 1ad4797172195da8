package replica

import (
	"cmp"
	"slices"
	"strconv"
	"time"

	"github.com/pointpass/pointpass/catalog"
	"github.com/pointpass/pointpass/workers"
)

// mostAboveShare is how far a model may be above its share of the workers if no
// other model can use the free ones.
const mostAboveShare = 1.5

// form begins groups of free workers, those first whose model is furthest below
// its share.
func (r *round) form() {
	free := r.freeByDomain()
	counts := r.workersByModel()
	for r.formed < epochsPerTerm {
		model, members, ok := r.nextGroup(free, counts)
		if !ok {
			return
		}
		r.begin(model, members)
		counts[model.Name] += model.Size
		domain := members[0].Domain
		free[domain] = slices.DeleteFunc(free[domain], func(w workers.Worker) bool {
			return slices.ContainsFunc(members, func(m workers.Worker) bool { return m.ID == w.ID })
		})
	}
}

func (r *round) begin(model catalog.Model, members []workers.Worker) {
	r.formed++
	id := workers.NewGroupID(model.Name, r.term*epochsPerTerm+r.formed)
	f := &formation{id: id, service: r.service.Name, model: model, begun: r.now, joins: map[string]int{}}
	for _, w := range members {
		f.members = append(f.members, w.ID)
		if !staged(w, model.Name) {
			r.loads = append(r.loads, r.now)
		}
	}
	r.forming[id] = f
	for _, w := range members {
		r.join(f, w)
	}
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

// workersByModel counts the workers in whole groups and in those being formed.
func (r *round) workersByModel() map[string]int {
	counts := map[string]int{}
	for _, f := range r.forming {
		if f.service == r.service.Name {
			counts[f.model.Name] += f.model.Size
		}
	}
	for _, g := range r.view.Groups() {
		_, forming := r.forming[g.ID]
		if g.Service == r.service.Name && !forming && g.Whole {
			counts[g.ID.Model()] += len(g.Members)
		}
	}
	return counts
}

// nextGroup returns the model and members of the group to form next.
func (r *round) nextGroup(free map[string][]workers.Worker, counts map[string]int) (catalog.Model, []workers.Worker, bool) {
	models := slices.Clone(r.service.Runtime.Models)
	total := 0
	for _, n := range counts {
		total += n
	}
	for _, list := range free {
		total += len(list)
	}
	fill := func(m catalog.Model) float64 { return float64(counts[m.Name]) / max(m.Share, 0.001) }
	slices.SortStableFunc(models, func(a, b catalog.Model) int {
		return cmp.Or(cmp.Compare(fill(a), fill(b)), cmp.Compare(b.Share, a.Share))
	})
	for i, m := range models {
		wouldHave := float64(counts[m.Name] + m.Size)
		if i > 0 && wouldHave > mostAboveShare*m.Share*float64(total) {
			continue
		}
		if members, ok := r.membersFor(m, free); ok {
			return m, members, true
		}
	}
	return catalog.Model{}, nil, false
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
	window := r.ceiling.Window
	r.loads = slices.DeleteFunc(r.loads, func(t time.Time) bool { return r.now.Sub(t) > window })
	rate := r.service.Runtime.LoadsPerSecond
	if rate <= 0 {
		return len(r.view.Of(r.service.Name))
	}
	most := int(rate*window.Seconds()*r.ceiling.Overrun) + r.ceiling.Extra
	return most - len(r.loads)
}

// Describe returns the group's members and epoch for the log.
func (o Order) Describe() string {
	return o.Op.String() + " " + o.Group.Name + "/" + strconv.FormatUint(o.Group.Epoch, 10)
}
