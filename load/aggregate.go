package load

import (
	"maps"
	"sync"
	"time"
)

// maxReportAge is how long the report of a daemon counts, three intervals. A daemon that
// stopped no longer counts then; its clients use other daemons by that time.
const maxReportAge = 3 * ReportInterval

// maxReportsPerDaemon bounds how many reports are kept, for each daemon: one that restarts under
// another name counts twice for a while.
const maxReportsPerDaemon = 2

// ReportInterval is the interval at which daemons report the load offered to them. The sum
// over all daemons is at most two reports old.
const ReportInterval = time.Second

// Sum is the load offered to several daemons.
type Sum struct {
	Offered Offered
	// Daemons is the number of daemons it includes.
	Daemons int
	// At is when the sum was computed, by the local clock.
	At time.Time
	// Hall is the part offered in the data hall of the daemon that receives the sum, nil if
	// it isn't known.
	Hall Offered
}

// Fresh reports whether a sum is recent enough to decide on.
func (s Sum) Fresh(now time.Time) bool { return s.Daemons > 0 && now.Sub(s.At) <= maxReportAge }

// minCoverage is the fraction of all daemons that a sum must include. A new lease holder
// has no reports, and in its first second only a few.
const minCoverage = 0.6

// Covers reports whether a sum includes enough of all daemons.
func (s Sum) Covers(daemons int) bool { return float64(s.Daemons) >= minCoverage*float64(daemons) }

// Aggregator adds up the reports of daemons. Its state is bounded by the number of daemons.
// It is safe for concurrent use.
type Aggregator struct {
	mu      sync.Mutex
	reports map[string]Sum
}

// NewAggregator returns an aggregator without reports.
func NewAggregator() *Aggregator { return &Aggregator{reports: map[string]Sum{}} }

// Take records the report of a daemon for itself, or for the daemons that report to it.
// daemons is the number of all daemons. A sum over more is ignored: two daemons that
// briefly report to each other count each other again and again.
func (g *Aggregator) Take(reporter string, s Sum, daemons int) {
	if s.Daemons > daemons {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	if _, found := g.reports[reporter]; !found && len(g.reports) >= maxReportsPerDaemon*daemons {
		maps.DeleteFunc(g.reports, func(_ string, r Sum) bool { return s.At.Sub(r.At) > maxReportAge })
		if len(g.reports) >= maxReportsPerDaemon*daemons {
			return
		}
	}
	g.reports[reporter] = s
}

// Subtotal returns the sum of the local load and of the reports that include selects.
func (g *Aggregator) Subtotal(now time.Time, local Offered, include func(reporter string) bool) Offered {
	g.mu.Lock()
	defer g.mu.Unlock()
	sum := Offered{}
	sum.add(local)
	for reporter, s := range g.reports {
		if now.Sub(s.At) <= maxReportAge && include(reporter) {
			sum.add(s.Offered)
		}
	}
	return sum
}

// Total returns the sum of the local load and of all reports that still count.
func (g *Aggregator) Total(now time.Time, local Offered) Sum {
	g.mu.Lock()
	defer g.mu.Unlock()
	total := Sum{Offered: Offered{}, Daemons: 1, At: now}
	total.Offered.add(local)
	for reporter, s := range g.reports {
		if now.Sub(s.At) > maxReportAge {
			delete(g.reports, reporter)
			continue
		}
		total.Offered.add(s.Offered)
		total.Daemons += s.Daemons
	}
	return total
}
