package replica

import (
	"fmt"
	"math"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"github.com/pointpass/pointpass/catalog"
	"github.com/pointpass/pointpass/load"
	"github.com/pointpass/pointpass/workers"
)

// regionSet returns a regionSet of regions that are named by one letter each.
func regionSet(names string) catalog.RegionSet {
	if names == "" {
		return catalog.RegionSet{}
	}
	return catalog.NewRegionSet(strings.Split(names, ""))
}

// partOf returns the fraction of a set's work that a region is to do.
func partOf(parts map[string][]setPart, region string, s catalog.RegionSet) float64 {
	for _, p := range parts[region] {
		if p.set == s {
			return p.part
		}
	}
	return 0
}

// TestDistribute_BalancesRegions checks that work that may run anywhere goes where bound work
// leaves room.
func TestDistribute_BalancesRegions(t *testing.T) {
	regions := map[string]int{"a": 100, "b": 100, "c": 200}
	parts := distribute([]setWork{{regionSet(""), 100}, {regionSet("a"), 40}, {regionSet("ab"), 20}}, regions)
	// 160 of 400 is 0.4: region a is that busy with its own work alone.
	must.EqOp(t, 1, partOf(parts, "a", regionSet("a")))
	must.Between(t, 0.19, partOf(parts, "b", regionSet("")), 0.21)
	must.Between(t, 0.79, partOf(parts, "c", regionSet("")), 0.81)
	must.Between(t, 0.99, partOf(parts, "b", regionSet("ab")), 1.01)

	parts = distribute([]setWork{{regionSet(""), 30}, {regionSet("a"), 90}}, regions)
	must.EqOp(t, 0, partOf(parts, "a", regionSet("")), must.Sprint("region a has too much work of its own"))
	must.Between(t, 0.32, partOf(parts, "b", regionSet("")), 0.34)
}

// TestSpread_Histories checks that all work is placed where it may run, and that no region
// could move work to a less busy one.
func TestSpread_Histories(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		regions := map[string]int{}
		for _, name := range []string{"a", "b", "c", "d"} {
			regions[name] = rapid.IntRange(0, 3000).Draw(t, name)
		}
		var sets []setWork
		for _, names := range []string{"", "a", "ab", "abc", "abd", "ac", "acd", "ad", "b", "bc", "bcd", "bd", "c", "cd", "d"} {
			if rapid.Bool().Draw(t, "has "+names) {
				sets = append(sets, setWork{regionSet(names), rapid.Float64Range(0.1, 1000).Draw(t, names)})
			}
		}
		parts := distribute(sets, regions)
		busy := map[string]float64{}
		for _, s := range sets {
			placed, anywhere := 0.0, false
			for region, n := range regions {
				part := partOf(parts, region, s.set)
				must.True(t, part == 0 || n > 0 && s.set.Allow(region))
				anywhere = anywhere || n > 0 && s.set.Allow(region)
				placed += part
				if n > 0 {
					busy[region] += part * s.work / float64(n)
				}
			}
			must.EqOp(t, anywhere, math.Abs(placed-1) < 1e-6, must.Sprint(placed))
		}
		for _, s := range sets {
			for from, n := range regions {
				for to, m := range regions {
					movable := partOf(parts, from, s.set)*s.work > 0.02*float64(n) && m > 0 && s.set.Allow(to)
					must.True(t, !movable || busy[from] < busy[to]+0.02*(1+busy[to]), must.Sprint(from, busy[from], to, busy[to]))
				}
			}
		}
	})
}

// newRegions returns a world with 19 workers per domain, and its holder. The halls of the first
// domains lie in region a, those of the next in b, and so on.
func newRegions(domains ...int) (*world, *holder) {
	total := 0
	regions := map[string]string{}
	for i, n := range domains {
		for range n {
			regions[fmt.Sprint("d", total)] = string(rune('a' + i))
			total++
		}
	}
	w := newUnevenWorld(total)
	h := &holder{planner: NewPlanner(1, testCeiling), region: func(hall string) string { return regions[hall] }}
	return w, h
}

// offered returns the load on the models by requests bound to a set of regions, in groups that
// it keeps busy.
func offered(large, small float64, s catalog.RegionSet) load.Offered {
	return load.Offered{
		{Service: "llm", Name: "m.large", Regions: s}: large,
		{Service: "llm", Name: "small", Regions: s}:   small,
	}
}

func merge(all ...load.Offered) load.Offered {
	sum := load.Offered{}
	for _, o := range all {
		for m, work := range o {
			sum[m] += work
		}
	}
	return sum
}

// countOpenGroups returns how many open groups a model has in a region.
func countOpenGroups(w *world, h *holder, model, region string) int {
	n := 0
	for _, g := range w.view.Groups() {
		head, ok := g.Head()
		if ok && g.Whole && head.Membership.State == workers.Open && g.ID.Model() == model && h.region(head.Hall) == region {
			n++
		}
	}
	return n
}

// TestPlanner_PlansEachRegionForItsRequests binds the callers of the large model to region a
// and those of the small one to b. In total both offer as much load; a plan for all workers
// together would place half of each model's groups where its callers can't use them.
func TestPlanner_PlansEachRegionForItsRequests(t *testing.T) {
	w, h := newRegions(3, 3)
	runFor(w, h, 30*time.Second, true)
	h.offered = merge(offered(5, 0, regionSet("a")), offered(0, 8, regionSet("b")))
	runFor(w, h, 2*time.Minute, false)
	must.GreaterEq(t, 5, countOpenGroups(w, h, "m.large", "a"))
	must.GreaterEq(t, 8, countOpenGroups(w, h, "small", "b"))
	// Each model keeps a second group elsewhere, since callers may become bound to that region.
	must.GreaterEq(t, 1, countOpenGroups(w, h, "m.large", "b"))
	must.GreaterEq(t, 1, countOpenGroups(w, h, "small", "a"))
	must.SliceEmpty(t, w.violations)
}

// TestPlanner_OneRegionEqualsNone checks that the orders are byte for byte the same with one
// region and with none.
func TestPlanner_OneRegionEqualsNone(t *testing.T) {
	play := func(region func(string) string) string {
		w := newUnevenWorld(5)
		h := &holder{planner: NewPlanner(1, testCeiling), region: region}
		var orders strings.Builder
		h.fate = func(o Order) fate {
			fmt.Fprintln(&orders, w.now.Unix(), o.Op, o.Worker.ID, o.Group.Name, o.Model, o.Members)
			return fateTaken
		}
		runFor(w, h, 30*time.Second, true)
		h.offered = offered(2, 12, catalog.RegionSet{})
		runFor(w, h, 30*time.Second, false)
		h.offered = offered(7, 3, catalog.RegionSet{})
		for _, id := range w.ids()[:8] {
			w.engines[id].dead = w.now
		}
		runFor(w, h, 30*time.Second, false)
		return orders.String()
	}
	none := play(nil)
	must.Greater(t, 10000, len(none))
	must.EqOp(t, none, play(func(string) string { return "a" }))
}

// killDomains kills all workers of some domains.
func killDomains(w *world, domains ...int) {
	for _, id := range w.ids() {
		for _, d := range domains {
			if w.engines[id].worker.Domain == "d"+strconv.Itoa(d) {
				w.engines[id].dead = w.now
			}
		}
	}
}

// TestPlanner_MovesWorkOfLostRegion checks that requests that may run in a or b get more groups
// in b once a is lost; those bound to a alone need none elsewhere.
func TestPlanner_MovesWorkOfLostRegion(t *testing.T) {
	w, h := newRegions(3, 6)
	runFor(w, h, 30*time.Second, true)
	h.offered = merge(offered(8, 0, regionSet("ab")), offered(0, 2, regionSet("a")), offered(0, 14, regionSet("b")))
	runFor(w, h, 2*time.Minute, false)
	before := countOpenGroups(w, h, "m.large", "b")
	killDomains(w, 0, 1, 2)
	runFor(w, h, 2*time.Minute, false)
	must.EqOp(t, 0, countOpenGroups(w, h, "m.large", "a"))
	must.Greater(t, before, countOpenGroups(w, h, "m.large", "b"))
	must.SliceEmpty(t, w.violations)
}

// TestPlanner_ReplacesLastGroupInItsRegion has the only groups of the small model in region a
// lose a member each. Region b has plenty, but those don't help callers that are bound to a.
func TestPlanner_ReplacesLastGroupInItsRegion(t *testing.T) {
	w, h := newRegions(1, 4)
	runFor(w, h, 30*time.Second, true)
	h.offered = merge(offered(0.5, 1, regionSet("a")), offered(2, 8, regionSet("b")))
	runFor(w, h, time.Minute, false)
	for _, g := range w.view.Groups() {
		if g.ID.Model() == "small" && h.region(g.Members[0].Hall) == "a" {
			w.engines[g.Members[1].ID].dead = w.now
		}
	}
	runFor(w, h, 10*time.Second, false)
	must.GreaterEq(t, 1, countOpenGroups(w, h, "small", "a"))
	must.GreaterEq(t, 1, countOpenGroups(w, h, "m.large", "a"))
}

// TestPlanner_NewHolderKeepsGroupsOfRegions loses the holder of the lease with its region. The
// next one doesn't know the callers' load at first, and must not give up groups because of
// that.
func TestPlanner_NewHolderKeepsGroupsOfRegions(t *testing.T) {
	w, h := newRegions(2, 3)
	runFor(w, h, 30*time.Second, true)
	h.offered = merge(offered(3, 1, regionSet("a")), offered(0, 8, regionSet("b")))
	runFor(w, h, 2*time.Minute, false)
	small := countOpenGroups(w, h, "small", "b")
	must.GreaterEq(t, 8, small)
	killDomains(w, 0, 1)
	lastOffered := h.offered
	h = &holder{planner: NewPlanner(2, testCeiling), region: h.region}
	runFor(w, h, 2*time.Second, false)
	must.GreaterEq(t, small, countOpenGroups(w, h, "small", "b"))
	h.offered = lastOffered
	runFor(w, h, time.Minute, false)
	must.GreaterEq(t, 8, countOpenGroups(w, h, "small", "b"))
	must.SliceEmpty(t, w.violations)
}

// TestPool_CountsOnlyItsRegion checks that groups in formation in another region are not supply
// here.
func TestPool_CountsOnlyItsRegion(t *testing.T) {
	w, h := newRegions(1, 2)
	runFor(w, h, 6*time.Second, true)
	must.MapNotEmpty(t, h.planner.forming)
	r := h.planner.newRound(Situation{Now: w.now, View: w.view, Region: h.region})
	r.service = w.service
	r.regionsOf("llm")
	for region, domains := range map[string]int{"a": 1, "b": 2} {
		r.region = region
		p := r.openPool()
		must.EqOp(t, 19*domains, p.total)
		must.LessEq(t, p.total, p.counts["m.large"]+p.counts["small"])
	}
}
