package replica

import (
	"cmp"
	"maps"
	"math"
	"slices"

	"github.com/pointpass/pointpass/catalog"
	"github.com/pointpass/pointpass/workers"
)

// Each region is planned like a fleet of its own, for the work that it is to do: that of
// requests that may run nowhere else, and its part of the others.

// supply is the workers that the shares of models are parts of.
type supply struct {
	region  string
	workers int
	// regions are the workers of each region, by which work is spread that may be done in
	// several. Nil is one region.
	regions map[string]int
}

// regionsOf returns the regions where a service has workers, in order from one that
// differs from plan to plan: what orders are left in a plan goes to the first ones.
func (r *round) regionsOf(service string) []string {
	r.supply = map[string]int{}
	for _, w := range r.view.Of(service) {
		region := r.regionOf(w.Hall)
		r.supply[region] += 0 // it may have closed halls alone
		if r.usable(w) {
			r.supply[region]++
		}
	}
	if len(r.supply) == 0 {
		return []string{""}
	}
	names := slices.Sorted(maps.Keys(r.supply))
	first := r.plans % len(names)
	return slices.Concat(names[first:], names[:first])
}

// here tells whether a worker is in the region that is planned for.
func (r *round) here(w workers.Worker) bool { return r.regionOf(w.Hall) == r.region }

// setPart is the part of the work bound to a set of regions that one of them is to do.
type setPart struct {
	set  catalog.RegionSet
	part float64
}

// partsIn returns which parts of the work of a service a region is to do.
func (d *demand) partsIn(service *catalog.Service, have supply) []setPart {
	sets := d.sets(service)
	if len(have.regions) <= 1 {
		var parts []setPart
		for _, s := range sets {
			if s.set.Allow(have.region) {
				parts = append(parts, setPart{set: s.set, part: 1})
			}
		}
		return parts
	}
	return spread(sets, have.regions)[have.region]
}

// setWork is the work bound to a set of regions, in workers that it keeps busy.
type setWork struct {
	set  catalog.RegionSet
	work float64
}

// sets returns the work of a service by the sets of regions that it is bound to.
func (d *demand) sets(service *catalog.Service) []setWork {
	work := map[catalog.RegionSet]float64{}
	for key, groups := range d.average {
		if key.Service != service.Name {
			continue
		}
		if m, known := service.Runtime.Model(key.Name); known {
			work[key.Regions] += groups * float64(m.Size)
		}
	}
	var sets []setWork
	for set, busy := range work {
		sets = append(sets, setWork{set: set, work: busy})
	}
	slices.SortFunc(sets, func(a, b setWork) int { return slices.Compare(a.set.Names(), b.set.Names()) })
	return sets
}

// How long work is moved between regions: at most spreadRounds times for each set, until
// no more than spreadSlack of a region's workers change theirs. Three or four rounds do
// for fifteen sets of four regions.
const (
	spreadRounds = 20
	spreadSlack  = 0.001
)

// spread returns the parts of each set's work that regions are to do, so that all are
// equally busy as far as the sets allow: each set in turn fills the least busy of its
// regions, given what the others put there. That is coordinate descent on the sum of
// load squared over workers, which is convex, and the sets don't bound each other.
func spread(sets []setWork, regions map[string]int) map[string][]setPart {
	load := map[string]float64{}
	placed := make([]map[string]float64, len(sets))
	for range spreadRounds {
		moved := 0.0
		for i, s := range sets {
			for region, work := range placed[i] {
				load[region] -= work
			}
			next := fill(s, regions, load)
			for region, work := range next {
				load[region] += work
				moved = max(moved, math.Abs(work-placed[i][region])/float64(regions[region]))
			}
			placed[i] = next
		}
		if moved < spreadSlack {
			break
		}
	}
	parts := map[string][]setPart{}
	for i, s := range sets {
		for region, work := range placed[i] {
			parts[region] = append(parts[region], setPart{set: s.set, part: work / max(s.work, leastWork)})
		}
	}
	return parts
}

// fill spreads a set's work over its regions like water over a floor: the least busy
// ones get it up to a level that all who got some share.
func fill(s setWork, regions map[string]int, load map[string]float64) map[string]float64 {
	var open []string
	for region, n := range regions {
		if n > 0 && s.set.Allow(region) {
			open = append(open, region)
		}
	}
	busy := func(region string) float64 { return load[region] / float64(regions[region]) }
	slices.SortFunc(open, func(a, b string) int { return cmp.Or(cmp.Compare(busy(a), busy(b)), cmp.Compare(a, b)) })
	work, supply := s.work, 0.0
	level := 0.0
	filled := 0
	for i, region := range open {
		if i > 0 && (work/supply) <= busy(region) {
			break
		}
		work += load[region]
		supply += float64(regions[region])
		filled = i + 1
	}
	if supply > 0 {
		level = work / supply
	}
	placed := map[string]float64{}
	for _, region := range open[:filled] {
		placed[region] = max(level*float64(regions[region])-load[region], 0)
	}
	return placed
}
