package load

import "sync"

// shareWeight is the weight of the newest report in a daemon's share, which is thus an
// average over about twenty seconds: the clients of a daemon change slowly, and how many
// of their requests come in one second is random.
const shareWeight = 0.05

// priorReports is the weight, in reports, of the initial estimate that all daemons are
// offered the same load. One report alone is off by a third to a half, as a daemon gets
// some five requests a second.
const priorReports = 5

// ShareEstimator estimates one daemon's share of the offered load of each model. It is
// safe for concurrent use.
type ShareEstimator struct {
	mu      sync.Mutex
	reports int
	// own and total are the averages of the load of the daemon and of all daemons.
	own, total Offered
}

// NewShareEstimator returns an estimator without estimates.
func NewShareEstimator() *ShareEstimator { return &ShareEstimator{own: Offered{}, total: Offered{}} }

// Observe updates the averages with the load of the daemon and of all daemons at about the
// same time, and the number of daemons.
func (p *ShareEstimator) Observe(own, total Offered, daemons int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if daemons < 1 {
		return
	}
	p.reports++
	weight := max(1/float64(p.reports+priorReports), shareWeight)
	p.initNew(total, daemons)
	p.own.smooth(own, weight)
	p.total.smooth(total, weight)
}

// initNew starts the averages of new models with an equal share for each daemon.
func (p *ShareEstimator) initNew(total Offered, daemons int) {
	for m, work := range total {
		if p.total[m] == 0 {
			p.total[m] = work
			p.own[m] = work / float64(daemons)
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
// if it has no estimate.
func (p *ShareEstimator) Share(m Model) (share float64, ok bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.total[m] <= 0 {
		return 0, false
	}
	return min(p.own[m]/p.total[m], 1), true
}
