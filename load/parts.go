package load

import "sync"

// partWeight is how much the newest report counts in a daemon's part, which is then an
// average over about twenty seconds: which callers a daemon has changes slowly, and how
// many of them come in one second is chance.
const partWeight = 0.05

// evenNotes is how many reports the guess counts for that all daemons are asked for the
// same. One report alone is off by a third to a half, as a daemon gets some five requests
// a second.
const evenNotes = 5

// Parts tells which part of what callers ask of each model one daemon is asked for. It is
// safe for use by many goroutines.
type Parts struct {
	mu    sync.Mutex
	notes int
	// own and total are averages.
	own, total Offered
}

// NewParts returns parts that aren't known.
func NewParts() *Parts { return &Parts{own: Offered{}, total: Offered{}} }

// Note takes in what the daemon and all daemons were asked for at about the same moment,
// and how many daemons that are.
func (p *Parts) Note(own, total Offered, daemons int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if daemons < 1 {
		return
	}
	p.notes++
	weight := max(1/float64(p.notes+evenNotes), partWeight)
	p.begin(total, daemons)
	p.own.follow(own, weight)
	p.total.follow(total, weight)
}

// begin guesses the part of each model that was not asked for before.
func (p *Parts) begin(total Offered, daemons int) {
	for m, work := range total {
		if p.total[m] == 0 {
			p.total[m] = work
			p.own[m] = work / float64(daemons)
		}
	}
}

// follow moves averages towards a newer value.
func (o Offered) follow(newer Offered, weight float64) {
	for m := range o {
		if _, asked := newer[m]; !asked {
			o[m] -= weight * o[m]
		}
	}
	for m, work := range newer {
		o[m] += weight * (work - o[m])
	}
}

// Part returns the daemon's part of what callers ask of a model, from 0 to 1, and false if
// that isn't known.
func (p *Parts) Part(m Model) (part float64, known bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.total[m] <= 0 {
		return 0, false
	}
	return min(p.own[m]/p.total[m], 1), true
}
