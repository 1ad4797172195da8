package ramp

import (
	"slices"
	"sync"
	"time"

	"github.com/pointpass/pointpass/catalog"
	"github.com/pointpass/pointpass/workers"
)

// Evidence is how a worker was found to be cold.
type Evidence string

// The kinds of evidence.
const (
	// ByEntry means that the worker's entry reports it.
	ByEntry Evidence = "entry"
	// ByTransition means that the worker's entry reports it, and an earlier one reported it
	// warm.
	ByTransition Evidence = "turned"
	// ByHallOpening means that the worker's data hall was opened again.
	ByHallOpening Evidence = "hall_opened"
)

// blockAfterTransition is how long a worker that turned cold while requests went to it gets no
// requests: other daemons may not have received the entry yet, and their requests count.
// Entries are at most 2.5 s old at a relaying daemon while the store responds, and requests
// leave within quota.MaxSendDelay.
const blockAfterTransition = 3 * time.Second

// ColdWorker describes a cold worker.
type ColdWorker struct {
	Worker, Service, Hall string
	By                    Evidence
	// Since is when this daemon learned that it is cold, Until when it becomes warm.
	Since, Until time.Time
	// BlockedUntil is the time until which the worker gets no requests at all.
	BlockedUntil time.Time
}

// ColdTracker tracks which workers are cold. It is safe for concurrent use.
type ColdTracker struct {
	// usage returns a service's settings for workers that have just started.
	usage func(service string) catalog.Cold

	mu   sync.RWMutex
	cold map[string]ColdWorker
	// listed are the workers that have an entry.
	listed map[string]workers.Worker
}

// NewColdTracker returns an empty tracker. Usage returns a service's settings for workers that
// have just started.
func NewColdTracker(usage func(service string) catalog.Cold) *ColdTracker {
	return &ColdTracker{usage: usage, cold: map[string]ColdWorker{}, listed: map[string]workers.Worker{}}
}

// ApplyEntries applies changed entries and removes those with the IDs in gone; if full, changed
// is the complete list. Open reports whether a data hall is open to requests. It returns the
// workers that became cold.
func (b *ColdTracker) ApplyEntries(changed []workers.Worker, gone []string, full bool, open func(hall string) bool, now time.Time) []ColdWorker {
	b.mu.Lock()
	defer b.mu.Unlock()
	var becameCold []ColdWorker
	for _, w := range changed {
		if c, isCold := b.applyEntry(w, open, now); isCold {
			becameCold = append(becameCold, c)
		}
	}
	if full {
		clear(b.listed)
	}
	for _, w := range changed {
		b.listed[w.ID] = w
	}
	for _, id := range gone {
		delete(b.listed, id)
	}
	return becameCold
}

// applyEntry applies an entry and reports whether its worker became cold by it. A warm entry
// ends a cold period that an earlier entry reported, but not one caused by the opening of a
// hall, since the entry may have been written before the opening.
func (b *ColdTracker) applyEntry(w workers.Worker, open func(string) bool, now time.Time) (ColdWorker, bool) {
	current, wasCold := b.lookup(w.ID, now)
	if w.ColdLeft <= 0 {
		if wasCold && current.By != ByHallOpening {
			delete(b.cold, w.ID)
		}
		return ColdWorker{}, false
	}
	if wasCold {
		current.Until = now.Add(w.ColdLeft)
		b.cold[w.ID] = current
		return ColdWorker{}, false
	}
	c := ColdWorker{Worker: w.ID, Service: w.Service, Hall: w.Hall, By: ByEntry, Since: now, Until: now.Add(w.ColdLeft)}
	before, listed := b.listed[w.ID]
	if listed && before.ColdLeft <= 0 && open(w.Hall) {
		c.By = ByTransition
		c.BlockedUntil = now.Add(blockAfterTransition)
	}
	b.cold[w.ID] = c
	return c, true
}

// ApplyHallOpening handles the reopening of a data hall. Its workers that aren't already cold
// are treated as cold for the duration of a start. Seen reports whether this daemon saw that
// the hall was closed, and so sent nothing there. It returns the workers that became cold.
func (b *ColdTracker) ApplyHallOpening(hall string, seen bool, now time.Time) []ColdWorker {
	b.mu.Lock()
	defer b.mu.Unlock()
	var becameCold []ColdWorker
	for _, w := range b.listed {
		usage := b.usage(w.Service)
		if _, wasCold := b.lookup(w.ID, now); wasCold || w.Hall != hall || usage.RequestsPerSecond <= 0 {
			continue
		}
		c := ColdWorker{Worker: w.ID, Service: w.Service, Hall: hall, By: ByHallOpening, Since: now, Until: now.Add(usage.Duration)}
		if !seen {
			c.BlockedUntil = now.Add(blockAfterTransition)
		}
		b.cold[w.ID] = c
		becameCold = append(becameCold, c)
	}
	return becameCold
}

// RemoveExpired removes the workers that have become warm and returns them.
func (b *ColdTracker) RemoveExpired(now time.Time) []ColdWorker {
	b.mu.Lock()
	defer b.mu.Unlock()
	var ended []ColdWorker
	for id, c := range b.cold {
		if !now.Before(c.Until) {
			ended = append(ended, c)
			delete(b.cold, id)
		}
	}
	return ended
}

// At returns a cold worker, false if the worker isn't cold.
func (b *ColdTracker) At(worker string, now time.Time) (ColdWorker, bool) {
	b.mu.RLock()
	defer b.mu.RUnlock()
	return b.lookup(worker, now)
}

func (b *ColdTracker) lookup(worker string, now time.Time) (ColdWorker, bool) {
	c, found := b.cold[worker]
	return c, found && now.Before(c.Until)
}

// All returns all cold workers, sorted by ID.
func (b *ColdTracker) All(now time.Time) []ColdWorker {
	b.mu.RLock()
	defer b.mu.RUnlock()
	var all []ColdWorker
	for id := range b.cold {
		if c, isCold := b.lookup(id, now); isCold {
			all = append(all, c)
		}
	}
	slices.SortFunc(all, func(x, y ColdWorker) int {
		if x.Worker < y.Worker {
			return -1
		}
		return 1
	})
	return all
}
