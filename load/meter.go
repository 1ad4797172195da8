// Package load tells how much work callers ask of each model: what one daemon sees, and
// the sum over all of them. One daemon of a hundred gets four requests a second for a
// model, which tells little; all together they know within a second or two.
package load

import (
	"math"
	"sync"
	"time"
)

// Model names a model of a service.
type Model struct{ Service, Name string }

// Offered is the work that callers ask for in a second, by model, in seconds of one
// group: 2.5 keeps two and a half groups busy. Refused requests count too.
type Offered map[Model]float64

// add adds others to o.
func (o Offered) add(others Offered) {
	for m, work := range others {
		o[m] += work
	}
}

// memory is the time constant of a meter. Work that was asked for that long ago counts
// 0.37 of what is asked for now. It is as long as the pause between reports; what needs
// longer averages makes them from these.
const memory = ReportPause

// mostModels bounds how many models a meter knows.
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
	r, known := m.rates[model]
	if !known {
		if len(m.rates) >= mostModels {
			return
		}
		r = &rate{at: now}
		m.rates[model] = r
	}
	r.decay(now)
	r.work += work.Seconds() / memory.Seconds()
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
