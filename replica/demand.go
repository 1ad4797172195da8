package replica

import (
	"math"
	"slices"
	"time"

	"github.com/pointpass/pointpass/catalog"
	"github.com/pointpass/pointpass/load"
)

// Constants of how the models' shares follow the demand.
const (
	// demandTimeConstant is the time constant of the short-term average. A group takes 12 to 16
	// s to load and 1 to 2 s to take from a host: a surge of 3 s moves the average by less than
	// half, and is over before a group formed for it serves.
	demandTimeConstant = 5 * time.Second
	// longTermTimeConstant is the time constant of the long-term average, which has to agree
	// before a serving group is retired: twice as long as a load. Otherwise, work that moves
	// away for seconds and returns would find its groups gone. Where the work moves for good,
	// the groups follow later.
	longTermTimeConstant = 60 * time.Second
	// minObservationTime is how long demand must have been observed before the shares follow it.
	minObservationTime = 2 * time.Second
	// minGroups is how many groups a model keeps however low its demand is, as far as its
	// configured share allows: a single group may fail.
	minGroups = 2
	// shareHysteresis is the relative difference between a model's share and the share that its
	// work needs above which the shares change. The workers of a retired group serve nothing for
	// two to three seconds, which shares that follow each fluctuation would waste.
	shareHysteresis = 0.25
	// minShare keeps shares above 0, since they are divisors.
	minShare = 0.001
	// minWork is the work, in seconds of one group a second, below which an average without new
	// work is removed: sets of regions come and go with configurations.
	minWork = 1e-9
)

// demand is the moving average of the work that callers offer to each model. Until it has warmed
// up, the configured shares apply.
type demand struct {
	// timeConstant is the time constant of the average.
	timeConstant time.Duration
	average      map[load.Model]float64
	// firstSum and lastSum are when the first and the newest sum were observed.
	firstSum, lastSum time.Time
	// inForce are the shares that currently apply.
	inForce map[sharesKey]map[string]float64
	// changes are the changes that are still to be logged.
	changes []ShareChange
}

// sharesKey identifies the workers that shares are parts of: those of a service in a region.
type sharesKey struct{ service, region string }

// ShareChange is a change of the parts of a service's workers in a region that its models should
// have.
type ShareChange struct {
	Service, Region string
	// Shares are the new parts by model. Offered is the work that callers offer by model, in
	// seconds of one group a second.
	Shares, Offered map[string]float64
	// TimeConstant is the time constant of the average that the shares follow.
	TimeConstant time.Duration
	// Measured reports whether the shares follow the observed work. Otherwise they are the
	// configured ones.
	Measured bool
}

// ShareChanges returns the changes since the last call.
func (p *Planner) ShareChanges() []ShareChange {
	list := slices.Concat(p.demand.changes, p.longTerm.changes)
	p.demand.changes = nil
	p.longTerm.changes = nil
	return list
}

// newDemand returns a demand with no observations.
func newDemand(timeConstant time.Duration) *demand {
	return &demand{timeConstant: timeConstant, average: map[load.Model]float64{}, inForce: map[sharesKey]map[string]float64{}}
}

// observe adds a sum to the average. A sum that is too old is ignored.
func (d *demand) observe(now time.Time, s load.Sum) {
	if !s.Fresh(now) || len(s.Offered) == 0 {
		return
	}
	if d.firstSum.IsZero() {
		d.firstSum = now
	}
	weight := 1.0
	if !d.lastSum.IsZero() {
		weight = 1 - math.Exp(-now.Sub(d.lastSum).Seconds()/d.timeConstant.Seconds())
	}
	for m := range d.average {
		if _, offered := s.Offered[m]; !offered {
			d.average[m] -= weight * d.average[m]
			if d.average[m] < minWork {
				delete(d.average, m)
			}
		}
	}
	for m, work := range s.Offered {
		d.average[m] += weight * (work - d.average[m])
	}
	d.lastSum = now
}

// warmedUp reports whether demand was observed for long enough.
func (d *demand) warmedUp() bool { return d.lastSum.Sub(d.firstSum) >= minObservationTime }

// shares returns the part of a service's workers in a region that each model should have. The
// shares stay until the work needs shares that differ by more than shareHysteresis.
func (d *demand) shares(service *catalog.Service, have supply) map[string]float64 {
	key := sharesKey{service: service.Name, region: have.region}
	current := d.inForce[key]
	target := d.targetShares(service, have)
	for name, share := range target {
		if diff := math.Abs(share - current[name]); diff > shareHysteresis*min(share, current[name]) {
			d.inForce[key] = target
			d.changes = append(d.changes, ShareChange{Service: service.Name, Region: have.region, Shares: target, Offered: d.offeredWork(service, have), TimeConstant: d.timeConstant, Measured: d.warmedUp()})
			return target
		}
	}
	return current
}

// offeredWork returns the work that a region is to do, by model.
func (d *demand) offeredWork(service *catalog.Service, have supply) map[string]float64 {
	work := map[string]float64{}
	parts := d.workParts(service, have)
	for _, m := range service.Runtime.Models {
		work[m.Name] = 0
		for _, p := range parts {
			work[m.Name] += p.part * d.average[load.Model{Service: service.Name, Name: m.Name, Regions: p.set}]
		}
	}
	return work
}

// targetShares returns the shares that the work needs. Each model gets the groups that its work
// keeps busy, and a part of the remaining workers that grows with the square root of that
// number: this makes waiting equally rare for all models (square-root staffing, Halfin and
// Whitt, 1981). Where the work exceeds the capacity, each model gets a share in proportion to
// its work.
func (d *demand) targetShares(service *catalog.Service, have supply) map[string]float64 {
	models := service.Runtime.Models
	offered := d.offeredWork(service, have)
	needs := map[string]float64{}
	busy, rootSum := 0.0, 0.0
	for _, m := range models {
		groups := offered[m.Name]
		busy += groups * float64(m.Size)
		rootSum += math.Sqrt(groups) * float64(m.Size)
	}
	if !d.warmedUp() || busy <= 0 {
		for _, m := range models {
			needs[m.Name] = m.Share
		}
		return normalized(needs)
	}
	slack := max((float64(have.workers)-busy)/rootSum, 0)
	for _, m := range models {
		groups := offered[m.Name]
		needs[m.Name] = (groups + slack*math.Sqrt(groups)) * float64(m.Size)
	}
	return withFloors(models, normalized(needs), have.workers)
}

// withFloors raises shares that are too small for minGroups groups, at the cost of the others.
func withFloors(models []catalog.Model, shares map[string]float64, workers int) map[string]float64 {
	floors, others := 0.0, 0.0
	raised := map[string]float64{}
	for _, m := range models {
		floor := min(minGroups*float64(m.Size)/float64(workers), m.Share)
		if shares[m.Name] < floor {
			raised[m.Name] = floor
			floors += floor
			continue
		}
		others += shares[m.Name]
	}
	for name, share := range shares {
		if floor, low := raised[name]; low {
			shares[name] = floor
		} else {
			shares[name] = share * (1 - floors) / others
		}
	}
	return shares
}

// normalized scales needs to shares that add up to 1.
func normalized(needs map[string]float64) map[string]float64 {
	sum := 0.0
	for _, need := range needs {
		sum += need
	}
	shares := map[string]float64{}
	for name, need := range needs {
		shares[name] = need / max(sum, minShare)
	}
	return shares
}
