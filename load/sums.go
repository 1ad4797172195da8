package load

import (
	"sync"
	"time"
)

// reportLife is how long what a daemon reported counts: three reports. A daemon that
// stopped no longer counts then; its callers are at others meanwhile.
const reportLife = 3 * ReportPause

// ReportPause is how often daemons report what they are asked for. The sum of all is
// two reports old at the most, half of what a meter remembers.
const ReportPause = time.Second

// Sum is the work that many daemons are asked for.
type Sum struct {
	Offered Offered
	// Daemons is how many of them told.
	Daemons int
	// At is when the sum was made, by the clock here.
	At time.Time
	// Hall is the part of it asked for in the data hall of the daemon that is told, nil if
	// that isn't known.
	Hall Offered
}

// Fresh tells whether a sum is young enough to decide on.
func (s Sum) Fresh(now time.Time) bool { return s.Daemons > 0 && now.Sub(s.At) <= reportLife }

// leastTold is the part of all daemons that must have told what callers ask of them for
// a sum to count. A new holder of the lease has heard of none, and in the first second of
// a few.
const leastTold = 0.6

// Covers tells whether a sum tells of enough of that many daemons.
func (s Sum) Covers(daemons int) bool { return float64(s.Daemons) >= leastTold*float64(daemons) }

// Gatherer adds up what daemons report. Its state is bounded by the daemons there are.
// It is safe for use by many goroutines.
type Gatherer struct {
	mu      sync.Mutex
	reports map[string]Sum
}

// NewGatherer returns a gatherer without reports.
func NewGatherer() *Gatherer { return &Gatherer{reports: map[string]Sum{}} }

// Take takes in what a daemon reports, for itself or for those that report to it, where
// there are that many daemons in all. A sum over more is left out: two daemons that each
// take the other for the one to tell, which lasts a moment, count each other again and
// again.
func (g *Gatherer) Take(reporter string, s Sum, daemons int) {
	if s.Daemons > daemons {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.reports[reporter] = s
}

// Among returns what is asked for here and at some of the daemons that reported.
func (g *Gatherer) Among(now time.Time, here Offered, counts func(reporter string) bool) Offered {
	g.mu.Lock()
	defer g.mu.Unlock()
	sum := Offered{}
	sum.add(here)
	for reporter, s := range g.reports {
		if now.Sub(s.At) <= reportLife && counts(reporter) {
			sum.add(s.Offered)
		}
	}
	return sum
}

// Total returns the sum of the reports that still count and of what is asked for here.
func (g *Gatherer) Total(now time.Time, here Offered) Sum {
	g.mu.Lock()
	defer g.mu.Unlock()
	total := Sum{Offered: Offered{}, Daemons: 1, At: now}
	total.Offered.add(here)
	for reporter, s := range g.reports {
		if now.Sub(s.At) > reportLife {
			delete(g.reports, reporter)
			continue
		}
		total.Offered.add(s.Offered)
		total.Daemons += s.Daemons
	}
	return total
}
