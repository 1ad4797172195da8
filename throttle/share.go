package throttle

import (
	"cmp"
	"slices"
	"time"

	"github.com/pointpass/pointpass/workers"
)

const (
	// shareFor is how long after an answer showed a limit, or its end, other daemons are told:
	// well above the time that takes through a relay and the holder of the lease.
	shareFor = 20 * time.Second
	// mostShared bounds how many limits are told at once, the newest first.
	mostShared = 256
)

// Limit is what daemons tell each other of a worker's limit. Those that have no part of it
// send the worker nothing, and can't see by its answers that the limit has ended.
type Limit struct {
	Worker string
	// Born is the start of the worker.
	Born int64
	Rate float64
	// Ended tells that the worker names no limit any more.
	Ended bool
	// At is when an answer showed that.
	At time.Time
}

// Limits returns the limits that daemons are to be told of, and those that ended lately.
func (b *Book) Limits(now time.Time) []Limit {
	b.mu.RLock()
	defer b.mu.RUnlock()
	var list []Limit
	for id, s := range b.states {
		if !s.shown.IsZero() && now.Sub(s.shown) <= shareFor {
			list = append(list, Limit{Worker: id, Born: s.worker.Born, Rate: s.rate, Ended: !s.limited, At: s.shown})
		}
	}
	slices.SortFunc(list, func(a, b Limit) int {
		return cmp.Or(b.At.Compare(a.At), cmp.Compare(a.Worker, b.Worker))
	})
	return list[:min(len(list), mostShared)]
}

// Learn takes in what another daemon tells. What is older than what is known says nothing.
func (b *Book) Learn(limits []Limit) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, l := range limits {
		b.learn(l)
	}
}

func (b *Book) learn(l Limit) {
	w := workers.Worker{ID: l.Worker, Born: l.Born}
	known := b.states[l.Worker]
	if known != nil && !l.At.After(known.last) && workers.Restarted(known.worker, w) {
		return // another start has answered since
	}
	s := b.of(w)
	if s == nil || !l.At.After(s.shown) {
		return
	}
	s.shown = l.At
	if s.last.Before(l.At) {
		s.last = l.At
	}
	if l.Ended {
		b.endLimit(s, l.At, "told")
		return
	}
	b.setLimit(s, l.Rate, l.At, "told")
}
