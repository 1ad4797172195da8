// Package load measures the load that clients offer for each model, in the work that they
// request: the load of one daemon, and the sum over all. One of a hundred daemons gets
// four requests a second for a model, too few for an estimate; the requests to all of them are
// enough for one within a second or two.
package load

import (
	"math"
	"sync"
	"time"

	"github.com/pointpass/pointpass/catalog"
)

// Model is a model of a service, as requested by clients whose requests may run in the
// same regions.
type Model struct {
	Service, Name string
	Regions       catalog.RegionSet
}

// anyRegion returns the model as requested by clients whose requests may run anywhere.
func (m Model) anyRegion() Model { return Model{Service: m.Service, Name: m.Name} }

// Offered is the offered load by model: the work that clients request in a second, in
// seconds of one group. 2.5 keeps two and a half groups busy. Refused requests count too.
type Offered map[Model]float64

// add adds others to o. Beyond maxModels, work bound to regions counts as work that may
// run anywhere: the model then gets enough groups, though maybe not in those regions.
// Beyond twice as many, work of further models isn't counted.
func (o Offered) add(others Offered) {
	for m, work := range others {
		if _, found := o[m]; !found && len(o) >= maxModels {
			m = m.anyRegion()
		}
		if _, found := o[m]; !found && len(o) >= 2*maxModels {
			continue
		}
		o[m] += work
	}
}

// Overlapping returns the offered load of m's model that may run in at least one of the
// regions of m: all the work that competes for the groups there.
func (o Offered) Overlapping(m Model) float64 {
	sum := 0.0
	for other, work := range o {
		if other.anyRegion() == m.anyRegion() && other.Regions.Overlaps(m.Regions) {
			sum += work
		}
	}
	return sum
}

// meterTimeConstant is the time constant of a meter: work requested that long ago counts
// 0.37 of work requested now. It equals the interval of reports; longer averages are made
// from these.
const meterTimeConstant = ReportInterval

// maxModels bounds how many models a meter tracks. A model counts once for each set of
// regions that requests for it are bound to: two models with all sets of four regions
// are 32.
const maxModels = 64

// Meter measures the load offered to one daemon. It is safe for concurrent use.
type Meter struct {
	mu    sync.Mutex
	rates map[Model]*rate
}

// rate is an exponentially decaying average.
type rate struct {
	work float64 // in a second, as of at
	at   time.Time
}

// NewMeter returns an empty meter.
func NewMeter() *Meter { return &Meter{rates: map[Model]*rate{}} }

// Record counts work that a client requests of a model.
func (m *Meter) Record(now time.Time, model Model, work time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	r := m.rateOf(model, now)
	if r == nil {
		return
	}
	r.decay(now)
	r.work += work.Seconds() / meterTimeConstant.Seconds()
}

// rateOf returns the rate of a model. A full meter evicts idle models; if it is still full,
// it counts work bound to further sets of regions as work that may run anywhere, and
// returns nil if it doesn't track that either. The caller holds the lock.
func (m *Meter) rateOf(model Model, now time.Time) *rate {
	if r, found := m.rates[model]; found {
		return r
	}
	if len(m.rates) >= maxModels {
		m.evictIdle(now)
	}
	if len(m.rates) >= maxModels {
		return m.rates[model.anyRegion()]
	}
	r := &rate{at: now}
	m.rates[model] = r
	return r
}

// idleWork is the work in a second below which a model counts as idle: a second of work
// decays to that after 14 time constants of the meter.
const idleWork = 1e-6

// evictIdle removes the rates of idle models.
func (m *Meter) evictIdle(now time.Time) {
	for model, r := range m.rates {
		if r.decay(now); r.work < idleWork {
			delete(m.rates, model)
		}
	}
}

// Offered returns the present offered load.
func (m *Meter) Offered(now time.Time) Offered {
	m.mu.Lock()
	defer m.mu.Unlock()
	o := Offered{}
	for model, r := range m.rates {
		r.decay(now)
		o[model] = r.work
	}
	return o
}

// OfferedTo returns the present offered load of one model.
func (m *Meter) OfferedTo(now time.Time, model Model) float64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	r, found := m.rates[model]
	if !found {
		return 0
	}
	r.decay(now)
	return r.work
}

func (r *rate) decay(now time.Time) {
	if elapsed := now.Sub(r.at); elapsed > 0 {
		r.work *= math.Exp(-elapsed.Seconds() / meterTimeConstant.Seconds())
		r.at = now
	}
}
