package workers

import (
	"fmt"
	"maps"
	"slices"
	"testing"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"github.com/pointpass/pointpass/store"
)

// referenceRegistry holds workers as a registry does, and scans all of them for each
// result. Left are workers that are leaving or gone, by whether they announced it, and
// withheld are entries of a restored copy of the store. Outdated are those whose later
// membership of before the restore counts.
type referenceRegistry struct {
	workers, lost, withheld, outdated map[string]Worker
	left                              map[string]bool
}

func newReferenceRegistry() *referenceRegistry {
	return &referenceRegistry{workers: map[string]Worker{}, lost: map[string]Worker{}, withheld: map[string]Worker{}, outdated: map[string]Worker{}, left: map[string]bool{}}
}

func (p *referenceRegistry) restore(all []Worker) {
	previous := maps.Clone(p.workers)
	clear(p.outdated)
	p.drop(slices.Collect(maps.Keys(p.workers)))
	for _, w := range all {
		announced, left := p.left[w.ID]
		if left && !announced && !w.Draining {
			p.withheld[w.ID] = w
		}
		w.Draining = w.Draining || left
		if known, listed := previous[w.ID]; listed && !w.Draining {
			p.outdated[w.ID] = w
			w.Membership = known.Membership
		}
		p.put(w)
	}
	p.forgetLost()
}

func (p *referenceRegistry) trust() {
	for id, w := range p.outdated {
		if current, listed := p.workers[id]; listed && current.At == w.At {
			p.put(w)
		}
	}
	clear(p.outdated)
	for id, w := range p.withheld {
		if current, listed := p.workers[id]; listed && current.At == w.At {
			delete(p.left, id)
			p.put(w)
		}
	}
	clear(p.withheld)
	p.forgetLost()
}

func (p *referenceRegistry) apply(changed []Worker, gone []string, full bool) {
	var previous []Worker
	if full {
		previous = slices.Collect(maps.Values(p.workers))
		p.drop(slices.Collect(maps.Keys(p.workers)))
	}
	for _, w := range changed {
		if w.Draining {
			p.left[w.ID] = true
		} else {
			delete(p.left, w.ID)
			delete(p.withheld, w.ID)
		}
		p.put(w)
	}
	for _, id := range gone {
		if w, listed := p.workers[id]; listed {
			p.left[id] = p.left[id] || w.Draining
		}
	}
	p.drop(gone)
	for _, w := range previous {
		if !slices.ContainsFunc(changed, func(c Worker) bool { return c.ID == w.ID }) {
			p.left[w.ID] = p.left[w.ID] || w.Draining
		}
	}
	p.forgetLost()
}

func (p *referenceRegistry) put(w Worker) {
	if current, listed := p.workers[w.ID]; listed && w.At.Before(current.At) {
		return
	}
	p.workers[w.ID] = w
	delete(p.lost, w.ID)
}

func (p *referenceRegistry) forgetLost() {
	for id, w := range p.lost {
		if len(p.membersOf(p.workers, w.Membership.Group)) == 0 {
			delete(p.lost, id)
		}
	}
}

func (p *referenceRegistry) drop(ids []string) {
	for _, id := range ids {
		if w, listed := p.workers[id]; listed && !w.Draining && w.Membership.Group.Name != "" {
			p.lost[id] = w
		}
		delete(p.workers, id)
	}
}

func (p *referenceRegistry) membersOf(all map[string]Worker, id GroupID) []string {
	var ids []string
	for _, w := range all {
		if w.Membership.Group == id && id.Name != "" {
			ids = append(ids, w.ID)
		}
	}
	return slices.Sorted(slices.Values(ids))
}

func idsOf(list []Worker) []string {
	var ids []string
	for _, w := range list {
		ids = append(ids, w.ID)
	}
	return slices.Sorted(slices.Values(ids))
}

// TestView_Histories checks that an incrementally built view equals a full scan of all
// workers, and that an earlier view doesn't change.
func TestView_Histories(t *testing.T) {
	groups := []GroupID{{}, NewGroupID("m", 1), NewGroupID("m", 2), NewGroupID("n", 3)}
	rapid.Check(t, func(t *rapid.T) {
		r := newTestRegistry()
		p := newReferenceRegistry()
		trust := func() {}
		for version := range rapid.IntRange(1, 60).Draw(t, "steps") {
			before := r.View()
			listed, groupCount := idsOf(before.ByService("llm")), len(before.Groups())
			var changed []Worker
			var gone []string
			for range rapid.IntRange(0, 4).Draw(t, "changes") {
				id := fmt.Sprint("w", rapid.IntRange(0, 7).Draw(t, "id"))
				if rapid.IntRange(0, 2).Draw(t, "gone") == 0 {
					gone = append(gone, id)
					continue
				}
				state := []GroupState{Joining, Ready, Open}[rapid.IntRange(0, 2).Draw(t, "state")]
				w := member(id, groups[rapid.IntRange(0, 3).Draw(t, "group")], rapid.IntRange(0, 3).Draw(t, "rank"), state)
				w.At = store.At(0, uint64(version+rapid.IntRange(0, 1).Draw(t, "late")))
				w.Draining = rapid.IntRange(0, 4).Draw(t, "draining") == 0
				changed = append(changed, w)
			}
			switch rapid.IntRange(0, 19).Draw(t, "full") {
			case 0, 1:
				r.Apply(changed, gone, true)
				p.apply(changed, gone, true)
			case 2:
				_, trust = r.Restore(changed)
				p.restore(changed)
			case 3:
				trust()
				p.trust()
			default:
				r.Apply(changed, gone, false)
				p.apply(changed, gone, false)
			}

			must.Eq(t, listed, idsOf(before.ByService("llm")))
			must.EqOp(t, groupCount, len(before.Groups()))
			now := r.View()
			must.Eq(t, slices.Sorted(maps.Keys(p.workers)), idsOf(now.ByService("llm")))
			must.EqOp(t, len(p.workers), now.Len())
			for id, w := range p.workers {
				got, found := now.Worker(id)
				must.True(t, found)
				must.EqOp(t, w.Membership, got.Membership)
				must.EqOp(t, w.Draining, got.Draining)
			}
			inGroups := 0
			for _, g := range now.Groups() {
				must.Eq(t, p.membersOf(p.workers, g.ID), idsOf(g.Members))
				must.Eq(t, p.membersOf(p.lost, g.ID), idsOf(g.Lost))
				must.True(t, slices.IsSortedFunc(g.Members, byRank))
				inGroups += len(g.Members)
			}
			for _, w := range p.workers {
				if w.Membership.Group.Name != "" {
					inGroups--
				}
			}
			must.EqOp(t, 0, inGroups)
			must.EqOp(t, len(p.lost), len(r.lost))
		}
	})
}

// testWorkers returns workers in groups of 16, one in twenty in none.
func testWorkers(n int) []Worker {
	var list []Worker
	for i := range n {
		w := member(fmt.Sprintf("i-%06d", i), NewGroupID("m", uint64(1000+i/16)), i%16, Ready)
		if i%20 == 0 {
			w.Membership = Membership{}
		}
		w.At = store.At(0, uint64(i+1))
		list = append(list, w)
	}
	return list
}

// Guards against an update that costs as much as a full view: at the size of the largest
// known fleet and at twice that size, a change of ten workers allocates less than a tenth
// of a view's memory.
func TestRegistry_UpdateCostsScaleWithChange(t *testing.T) {
	for _, n := range []int{2793, 5586} {
		r := newTestRegistry()
		all := testWorkers(n)
		r.Apply(all, nil, true)
		result := testing.Benchmark(func(b *testing.B) {
			for b.Loop() {
				r.Apply(all[:10], nil, false)
			}
		})
		const workerBytes = 300 // memory of an entry in a list
		must.Less(t, int64(n*workerBytes/10)+64<<10, result.AllocedBytesPerOp(), must.Sprint(n))
	}
}

// BenchmarkRegistry measures a change of ten of 2,793 and of 12,000 workers.
func BenchmarkRegistry(b *testing.B) {
	for _, n := range []int{2793, 12000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			r := newTestRegistry()
			all := testWorkers(n)
			r.Apply(all, nil, true)
			b.ReportAllocs()
			for b.Loop() {
				r.Apply(all[:10], nil, false)
			}
		})
	}
}
