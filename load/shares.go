package load

import (
	"maps"
	"math"
	"sync"
)

// shareWeight is the weight of the newest report in a daemon's share, which is thus an
// average over about twenty seconds: the clients of a daemon change slowly, and how many
// of their requests come in one second is random.
const shareWeight = 0.05

// priorReports is the weight, in reports, of the initial estimate that all daemons are
// offered the same load. One report alone is off by a third to a half, as a daemon gets
// some five requests a second.
const priorReports = 5

// Callers have moved to or from a daemon if its part of the load differs from the average by
// movedFactor and by movedDeviations mean deviations in movedReports reports in a row. One report
// shows a random peak, or the start of a surge that the total doesn't show yet.
const (
	movedFactor     = 1.5
	movedDeviations = 3.0
	movedReports    = 2
	// maxSurge is the factor by which the load of all daemons may grow before the total shows it.
	// A daemon whose load has grown by more has callers that others had.
	maxSurge = 6.0
)

// ShareEstimator estimates one daemon's share of the offered load of each model. It is
// safe for concurrent use.
type ShareEstimator struct {
	mu      sync.Mutex
	reports int
	// own and total are the averages of the load of the daemon and of all daemons.
	own, total Offered
	// deviation is the mean deviation of the daemon's part of the load from its average, and moved
	// the number of reports in a row that show that callers have moved.
	deviation Offered
	moved     map[Model]int
}

// NewShareEstimator returns an estimator without estimates.
func NewShareEstimator() *ShareEstimator {
	return &ShareEstimator{own: Offered{}, total: Offered{}, deviation: Offered{}, moved: map[Model]int{}}
}

// Observe updates the averages with the load of the daemon and of all daemons at about the
// same time, and the number of daemons.
func (p *ShareEstimator) Observe(own, total Offered, daemons int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if daemons < 1 {
		return
	}
	p.reports++
	p.forget(total)
	weight := max(1/float64(p.reports+priorReports), shareWeight)
	p.initNew(total, daemons)
	p.followMoves(own, total, weight)
	p.own.smooth(own, weight)
	p.total.smooth(total, weight)
}

// maxEstimates bounds for how many models estimates are kept.
const maxEstimates = 3 * maxModels

// forget drops the estimates of models that nobody requests now, if there are many.
func (p *ShareEstimator) forget(total Offered) {
	if len(p.total) <= maxEstimates {
		return
	}
	gone := func(m Model) bool { return total[m] == 0 }
	for _, averages := range []Offered{p.own, p.total, p.deviation} {
		maps.DeleteFunc(averages, func(m Model, _ float64) bool { return gone(m) })
	}
	maps.DeleteFunc(p.moved, func(m Model, _ int) bool { return gone(m) })
}

// followMoves sets the averages of the models whose callers have moved to the newest values. A load
// that grows at all daemons alike leaves the parts as they are.
func (p *ShareEstimator) followMoves(own, total Offered, weight float64) {
	for m, all := range total {
		if all <= 0 || p.total[m] <= 0 {
			continue
		}
		part, average := own[m]/all, p.own[m]/p.total[m]
		difference := math.Abs(part - average)
		if max(part, average) > movedFactor*min(part, average) && difference > movedDeviations*p.deviation[m] {
			p.moved[m]++
		} else {
			p.moved[m] = 0
			p.deviation[m] += weight * (difference - p.deviation[m])
		}
		if p.moved[m] >= movedReports {
			p.own[m], p.total[m] = own[m], all
		}
	}
}

// initNew starts the averages of new models with an equal share for each daemon.
func (p *ShareEstimator) initNew(total Offered, daemons int) {
	for m, work := range total {
		if p.total[m] == 0 {
			p.total[m] = work
			p.own[m] = work / float64(daemons)
			p.deviation[m] = 1 / float64(daemons)
		}
	}
}

// smooth moves the averages towards newer values.
func (o Offered) smooth(newer Offered, weight float64) {
	for m := range o {
		if _, found := newer[m]; !found {
			o[m] -= weight * o[m]
		}
	}
	for m, work := range newer {
		o[m] += weight * (work - o[m])
	}
}

// Share returns the daemon's share of the offered load of a model, from 0 to 1, and false
// if it has no estimate. Present is the daemon's load now, and total that of all daemons as last
// known, 0 if unknown.
func (p *ShareEstimator) Share(m Model, present, total float64) (share float64, ok bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.total[m] <= 0 {
		return 0, false
	}
	share = p.own[m] / p.total[m]
	if total > 0 && present/total > maxSurge*share {
		share = present / total
	}
	return min(share, 1), true
}
