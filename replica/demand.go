package replica

import (
	"math"
	"slices"
	"time"

	"github.com/pointpass/pointpass/catalog"
	"github.com/pointpass/pointpass/load"
)

// How the shares of models follow what callers ask for.
const (
	// demandMemory is the time constant of the average. A group takes 12 to 16 s to
	// load and 1 to 2 s to take from a host: a surge of 3 s moves the average by less
	// than half, and is over before a group that it asks for serves.
	demandMemory = 5 * time.Second
	// lastingMemory is the time constant of the longer average that has to agree before a
	// group that serves is given up: twice as long as a load. Work that moves for
	// seconds and comes back would otherwise find its groups gone: on a day on which it
	// does so for 13 s, 0.742 of what all answers are worth for 0.680, and 0.889 for 0.901
	// where it moves for good (means of three paired plays).
	lastingMemory = 60 * time.Second
	// demandKnown is for how long callers must have been seen before they count.
	demandKnown = 2 * time.Second
	// leastGroups is how many groups a model keeps however little it is asked for, as
	// far as its share of the settings allows: the last one may die.
	leastGroups = 2
	// shareStep is by how much a model's share must be off what its work asks for, as a
	// part of it, before the shares follow. A group that gives up its workers is gone
	// for two to three seconds; shares that followed each swing left 16 to 27 in 100
	// more VM-seconds that served nobody, in one play each of two days with a crash every
	// 3 s. The step itself was not weighed against others.
	shareStep = 0.25
	// leastShare keeps shares above 0.
	leastShare = 0.001
	// leastWork is the work, in seconds of one group a second, below which an average is
	// forgotten that nothing is added to: sets of regions come and go with configurations.
	leastWork = 1e-9
)

// demand is what callers ask of the models, averaged. Until that is known the shares of
// the settings count.
type demand struct {
	// memory is the time constant of the average.
	memory  time.Duration
	average map[load.Model]float64
	// since is when the first sum came, and last when the newest did.
	since, last time.Time
	// inForce are the shares that were followed last.
	inForce map[sharesKey]map[string]float64
	// changes are those that are still to be logged.
	changes []ShareChange
}

// sharesKey names the workers that shares are parts of: those of a service in a region.
type sharesKey struct{ service, region string }

// ShareChange tells that the models of a service are to have other parts of its workers
// in a region.
type ShareChange struct {
	Service, Region string
	// Shares are the new parts, and Asked the work that callers ask for, in seconds of one
	// group a second, by model.
	Shares, Asked map[string]float64
	// Memory is the time constant of the average that they follow.
	Memory time.Duration
	// Measured tells that the shares follow the work; the settings tell them otherwise.
	Measured bool
}

// ShareChanges returns the changes since the last call.
func (p *Planner) ShareChanges() []ShareChange {
	list := slices.Concat(p.demand.changes, p.lasting.changes)
	p.demand.changes = nil
	p.lasting.changes = nil
	return list
}

func newDemand(memory time.Duration) *demand {
	return &demand{memory: memory, average: map[load.Model]float64{}, inForce: map[sharesKey]map[string]float64{}}
}

// note takes in a sum. One that is too old says nothing: the average stays.
func (d *demand) note(now time.Time, s load.Sum) {
	if !s.Fresh(now) || len(s.Offered) == 0 {
		return
	}
	if d.since.IsZero() {
		d.since = now
	}
	weight := 1.0
	if !d.last.IsZero() {
		weight = 1 - math.Exp(-now.Sub(d.last).Seconds()/d.memory.Seconds())
	}
	for m := range d.average {
		if _, asked := s.Offered[m]; !asked {
			d.average[m] -= weight * d.average[m]
			if d.average[m] < leastWork {
				delete(d.average, m)
			}
		}
	}
	for m, work := range s.Offered {
		d.average[m] += weight * (work - d.average[m])
	}
	d.last = now
}

// known tells whether callers were seen for long enough.
func (d *demand) known() bool { return d.last.Sub(d.since) >= demandKnown }

// shares returns the part of a service's workers in a region that each model should have.
// They stay until the work asks for others that differ much.
func (d *demand) shares(service *catalog.Service, have supply) map[string]float64 {
	key := sharesKey{service: service.Name, region: have.region}
	current := d.inForce[key]
	wanted := d.wanted(service, have)
	for name, share := range wanted {
		if off := math.Abs(share - current[name]); off > shareStep*min(share, current[name]) {
			d.inForce[key] = wanted
			d.changes = append(d.changes, ShareChange{Service: service.Name, Region: have.region, Shares: wanted, Asked: d.asked(service, have), Memory: d.memory, Measured: d.known()})
			return wanted
		}
	}
	return current
}

// asked returns the work that callers ask for and that a region is to do, by model.
func (d *demand) asked(service *catalog.Service, have supply) map[string]float64 {
	work := map[string]float64{}
	parts := d.partsIn(service, have)
	for _, m := range service.Runtime.Models {
		work[m.Name] = 0
		for _, p := range parts {
			work[m.Name] += p.part * d.average[load.Model{Service: service.Name, Name: m.Name, Regions: p.set}]
		}
	}
	return work
}

// wanted returns the shares that the work asks for. Each model gets the groups that its
// work keeps busy, and of what is left a part that grows with the square root of that:
// so many more make waiting equally rare (square-root staffing, Halfin and Whitt, 1981).
// Where the work is more than all can do, each gets its part of it.
func (d *demand) wanted(service *catalog.Service, have supply) map[string]float64 {
	models := service.Runtime.Models
	asked := d.asked(service, have)
	needs := map[string]float64{}
	busy, spread := 0.0, 0.0
	for _, m := range models {
		groups := asked[m.Name]
		busy += groups * float64(m.Size)
		spread += math.Sqrt(groups) * float64(m.Size)
	}
	if !d.known() || busy <= 0 {
		for _, m := range models {
			needs[m.Name] = m.Share
		}
		return normalized(needs)
	}
	slack := max((float64(have.workers)-busy)/spread, 0)
	for _, m := range models {
		groups := asked[m.Name]
		needs[m.Name] = (groups + slack*math.Sqrt(groups)) * float64(m.Size)
	}
	return withFloors(models, normalized(needs), have.workers)
}

// withFloors raises shares below what leastGroups take, at the cost of the others.
func withFloors(models []catalog.Model, shares map[string]float64, workers int) map[string]float64 {
	floors, others := 0.0, 0.0
	raised := map[string]float64{}
	for _, m := range models {
		floor := min(leastGroups*float64(m.Size)/float64(workers), m.Share)
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

// normalized returns parts that add up to one.
func normalized(needs map[string]float64) map[string]float64 {
	sum := 0.0
	for _, need := range needs {
		sum += need
	}
	shares := map[string]float64{}
	for name, need := range needs {
		shares[name] = need / max(sum, leastShare)
	}
	return shares
}
