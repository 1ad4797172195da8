package replica

import (
	"cmp"
	"maps"
	"math"
	"slices"

	"github.com/pointpass/pointpass/catalog"
	"github.com/pointpass/pointpass/workers"
)

// Each region is planned like a separate fleet for its part of the work: all requests that
// may run nowhere else, and a fraction of the others.

// supply holds the workers of which the shares of the models are fractions.
type supply struct {
	region  string
	workers int
	// regions are the workers of each region, over which work is distributed that may run in
	// several. Nil stands for one region.
	regions map[string]int
}

// regionsOf returns the regions in which a service has workers, starting with a different one
// in each plan: the orders that a plan may still give go to the first ones.
func (r *round) regionsOf(service string) []string {
	r.supply = map[string]int{}
	for _, w := range r.view.ByService(service) {
		region := r.regionOf(w.Hall)
		r.supply[region] += 0 // includes regions with closed halls only
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

// inRegion reports whether a worker is in the region that is being planned.
func (r *round) inRegion(w workers.Worker) bool { return r.regionOf(w.Hall) == r.region }

// setPart is the fraction of the work bound to a set of regions that one region is to do.
type setPart struct {
	set  catalog.RegionSet
	part float64
}

// workParts returns the fractions of a service's work that a region is to do.
func (d *demand) workParts(service *catalog.Service, have supply) []setPart {
	sets := d.workBySet(service)
	if len(have.regions) <= 1 {
		var parts []setPart
		for _, s := range sets {
			if s.set.Allow(have.region) {
				parts = append(parts, setPart{set: s.set, part: 1})
			}
		}
		return parts
	}
	return distribute(sets, have.regions)[have.region]
}

// setWork is the work bound to a set of regions, in workers that it keeps busy.
type setWork struct {
	set  catalog.RegionSet
	work float64
}

// workBySet returns the work of a service for each set of regions that requests are bound to.
func (d *demand) workBySet(service *catalog.Service) []setWork {
	work := map[catalog.RegionSet]float64{}
	for key, groups := range d.average {
		if key.Service != service.Name {
			continue
		}
		if m, found := service.Runtime.Model(key.Name); found {
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

// Work is moved between regions at most maxDistributeRounds times for each set, or until no
// more than distributeTolerance of any region's workers change their work. Fifteen sets of four
// regions take three or four rounds.
const (
	maxDistributeRounds = 20
	distributeTolerance = 0.001
)

// distribute returns the fractions of each set's work that the regions are to do, so that all
// regions are equally busy as far as the sets allow. Each set in turn fills the least busy of
// its regions, given the work that the others placed there. This is coordinate descent on the
// sum of load squared over workers, which is convex, and the sets don't constrain each other.
func distribute(sets []setWork, regions map[string]int) map[string][]setPart {
	load := map[string]float64{}
	placed := make([]map[string]float64, len(sets))
	for range maxDistributeRounds {
		moved := 0.0
		for i, s := range sets {
			for region, work := range placed[i] {
				load[region] -= work
			}
			next := waterFill(s, regions, load)
			for region, work := range next {
				load[region] += work
				moved = max(moved, math.Abs(work-placed[i][region])/float64(regions[region]))
			}
			placed[i] = next
		}
		if moved < distributeTolerance {
			break
		}
	}
	parts := map[string][]setPart{}
	for i, s := range sets {
		for region, work := range placed[i] {
			parts[region] = append(parts[region], setPart{set: s.set, part: work / max(s.work, minWork)})
		}
	}
	return parts
}

// waterFill distributes the work of a set over its regions by water-filling: the least busy
// regions are filled up to a common level.
func waterFill(s setWork, regions map[string]int, load map[string]float64) map[string]float64 {
	var allowed []string
	for region, n := range regions {
		if n > 0 && s.set.Allow(region) {
			allowed = append(allowed, region)
		}
	}
	busy := func(region string) float64 { return load[region] / float64(regions[region]) }
	slices.SortFunc(allowed, func(a, b string) int { return cmp.Or(cmp.Compare(busy(a), busy(b)), cmp.Compare(a, b)) })
	work, supply := s.work, 0.0
	level := 0.0
	filled := 0
	for i, region := range allowed {
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
	for _, region := range allowed[:filled] {
		placed[region] = max(level*float64(regions[region])-load[region], 0)
	}
	return placed
}
