package throttle

import (
	"cmp"
	"slices"
	"time"

	"github.com/pointpass/pointpass/workers"
)

const (
	// limitReportPeriod is how long other daemons are notified after a response showed a
	// limit or its end. It is well above the time that a report takes through a relay
	// and the lease holder.
	limitReportPeriod = 20 * time.Second
	// maxLimits bounds how many limits are reported at once, the newest first.
	maxLimits = 256
)

// Limit is a notification between daemons about a worker's limit. Daemons that have no
// part of the limit send the worker nothing, and can't see from its responses that the
// limit has ended.
type Limit struct {
	Worker string
	// StartMs identifies the start of the worker.
	StartMs int64
	Rate    float64
	// Ended reports that the worker no longer sets a limit.
	Ended bool
	// At is when a response showed that.
	At time.Time
}

// Limits returns the limits to report to other daemons, and those that ended recently.
func (tr *Tracker) Limits(now time.Time) []Limit {
	tr.mu.RLock()
	defer tr.mu.RUnlock()
	var list []Limit
	for id, s := range tr.states {
		if !s.limitUpdated.IsZero() && now.Sub(s.limitUpdated) <= limitReportPeriod {
			list = append(list, Limit{Worker: id, StartMs: s.worker.StartMs, Rate: s.rate, Ended: !s.limited, At: s.limitUpdated})
		}
	}
	slices.SortFunc(list, func(a, b Limit) int {
		return cmp.Or(b.At.Compare(a.At), cmp.Compare(a.Worker, b.Worker))
	})
	return list[:min(len(list), maxLimits)]
}

// MergeLimits applies the limits that another daemon reports. Reports older than the
// tracked state are ignored.
func (tr *Tracker) MergeLimits(limits []Limit) {
	tr.mu.Lock()
	defer tr.mu.Unlock()
	for _, l := range limits {
		tr.mergeLimit(l)
	}
}

func (tr *Tracker) mergeLimit(l Limit) {
	w := workers.Worker{ID: l.Worker, StartMs: l.StartMs}
	tracked := tr.states[l.Worker]
	if tracked != nil && !l.At.After(tracked.lastResponse) && workers.Restarted(tracked.worker, w) {
		return // another start of the worker has responded since
	}
	s := tr.stateOf(w)
	if s == nil || !l.At.After(s.limitUpdated) {
		return
	}
	s.limitUpdated = l.At
	if s.lastResponse.Before(l.At) {
		s.lastResponse = l.At
	}
	if l.Ended {
		tr.endLimit(s, l.At, "told")
		return
	}
	tr.setLimit(s, l.Rate, l.At, "told")
}
