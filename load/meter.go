// Package load tells how much work callers ask of each model: what one daemon sees, and
// the sum over all of them. One daemon of a hundred gets four requests a second for a
// model, which tells little; all together they know within a second or two.
package load

import (
	"math"
	"sync"
	"time"

	"github.com/pointpass/pointpass/catalog"
)

// Model names a model of a service as some of its callers ask for it: those whose
// requests may run in the same regions.
type Model struct {
	Service, Name string
	Regions       catalog.RegionSet
}

// anywhere returns the model as callers ask for it whose requests may run in any region.
func (m Model) anywhere() Model { return Model{Service: m.Service, Name: m.Name} }

// Offered is the work that callers ask for in a second, by model, in seconds of one
// group: 2.5 keeps two and a half groups busy. Refused requests count too.
type Offered map[Model]float64

// add adds others to o. Beyond mostModels, work that is bound to regions counts as work
// that may run anywhere: the model's groups are then enough, if not where they should be.
func (o Offered) add(others Offered) {
	for m, work := range others {
		if _, known := o[m]; !known && len(o) >= mostModels {
			m = m.anywhere()
		}
		o[m] += work
	}
}

// Beside returns the work that callers ask of a model and that may run in one of the
// regions of m at least: what the groups there have to do beside each other.
func (o Offered) Beside(m Model) float64 {
	sum := 0.0
	for other, work := range o {
		if other.anywhere() == m.anywhere() && other.Regions.Overlaps(m.Regions) {
			sum += work
		}
	}
	return sum
}

// memory is the time constant of a meter. Work that was asked for that long ago counts
// 0.37 of what is asked for now. It is as long as the pause between reports; what needs
// longer averages makes them from these.
const memory = ReportPause

// mostModels bounds how many models a meter knows, each as often as there are sets of
// regions that requests for it are bound to: two models and all sets of four regions
// are 32.
const mostModels = 64

// Meter measures the work that one daemon is asked for. It is safe for use by many
// goroutines.
type Meter struct {
	mu    sync.Mutex
	rates map[Model]*rate
}

// rate is a decaying average.
type rate struct {
	work float64 // in a second, as of at
	at   time.Time
}

// NewMeter returns a meter that has seen nothing.
func NewMeter() *Meter { return &Meter{rates: map[Model]*rate{}} }

// Ask notes that a caller asks for work of a model.
func (m *Meter) Ask(now time.Time, model Model, work time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	r := m.of(model, now)
	if r == nil {
		return
	}
	r.decay(now)
	r.work += work.Seconds() / memory.Seconds()
}

// of returns the rate of a model. A full meter forgets what nobody asks for any more, and
// counts what is bound to further sets of regions as work that may run anywhere. It
// returns nil if there is no room for that either. The caller holds the lock.
func (m *Meter) of(model Model, now time.Time) *rate {
	if r, known := m.rates[model]; known {
		return r
	}
	if len(m.rates) >= mostModels {
		m.forgetIdle(now)
	}
	if len(m.rates) >= mostModels {
		return m.rates[model.anywhere()]
	}
	r := &rate{at: now}
	m.rates[model] = r
	return r
}

// idleWork is the work in a second below which a model counts as no longer asked for: a
// second of work leaves that little after 14 times the meter's memory.
const idleWork = 1e-6

// forgetIdle drops the rates of models that nobody asks for any more.
func (m *Meter) forgetIdle(now time.Time) {
	for model, r := range m.rates {
		if r.decay(now); r.work < idleWork {
			delete(m.rates, model)
		}
	}
}

// Offered returns what callers ask for at present.
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

func (r *rate) decay(now time.Time) {
	if passed := now.Sub(r.at); passed > 0 {
		r.work *= math.Exp(-passed.Seconds() / memory.Seconds())
		r.at = now
	}
}
