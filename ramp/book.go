package ramp

import (
	"slices"
	"sync"
	"time"

	"github.com/pointpass/pointpass/catalog"
	"github.com/pointpass/pointpass/workers"
)

// Evidence is what shows that a worker is cold.
type Evidence string

// The kinds of evidence.
const (
	// ByEntry is the worker's own entry.
	ByEntry Evidence = "entry"
	// ByTurn is the entry of a worker that was warm before.
	ByTurn Evidence = "turned"
	// ByOpening is that its data hall was opened again.
	ByOpening Evidence = "hall_opened"
)

// heldAfterTurn is how long a worker gets nothing that turned cold while requests went to
// it: others may not know yet, and what they send counts. Entries are at most 2.5 s old at
// a daemon that relays while the store answers, and requests leave within quota.MostSendDelay.
const heldAfterTurn = 3 * time.Second

// Cold is that a worker is cold.
type Cold struct {
	Worker, Service, Hall string
	By                    Evidence
	// Since is when this daemon learned of it, Until how long it lasts.
	Since, Until time.Time
	// HeldUntil is until when the worker gets nothing at all.
	HeldUntil time.Time
}

// Book knows which workers are cold. It is safe for use by many goroutines.
type Book struct {
	// usage returns how a service's workers are to be used when they have just started.
	usage func(service string) catalog.Cold

	mu   sync.RWMutex
	cold map[string]Cold
	// listed are the workers that have an entry.
	listed map[string]workers.Worker
}

// NewBook returns an empty book. Usage returns how a service's workers are to be used when
// they have just started.
func NewBook(usage func(service string) catalog.Cold) *Book {
	return &Book{usage: usage, cold: map[string]Cold{}, listed: map[string]workers.Worker{}}
}

// Entries takes in entries that changed and the ids of those that are gone; if full,
// changed are all there are. Open tells whether a data hall is open to requests. It
// returns who became cold.
func (b *Book) Entries(changed []workers.Worker, gone []string, full bool, open func(hall string) bool, now time.Time) []Cold {
	b.mu.Lock()
	defer b.mu.Unlock()
	var began []Cold
	for _, w := range changed {
		if c, is := b.entry(w, open, now); is {
			began = append(began, c)
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
	return began
}

// entry takes in an entry, and tells whether its worker became cold by it. The entry of a
// worker that was told to be warm ends what an earlier entry told, not what an opened
// hall did: it may have been written before.
func (b *Book) entry(w workers.Worker, open func(string) bool, now time.Time) (Cold, bool) {
	known, was := b.at(w.ID, now)
	if w.ColdLeft <= 0 {
		if was && known.By != ByOpening {
			delete(b.cold, w.ID)
		}
		return Cold{}, false
	}
	if was {
		known.Until = now.Add(w.ColdLeft)
		b.cold[w.ID] = known
		return Cold{}, false
	}
	c := Cold{Worker: w.ID, Service: w.Service, Hall: w.Hall, By: ByEntry, Since: now, Until: now.Add(w.ColdLeft)}
	before, listed := b.listed[w.ID]
	if listed && before.ColdLeft <= 0 && open(w.Hall) {
		c.By = ByTurn
		c.HeldUntil = now.Add(heldAfterTurn)
	}
	b.cold[w.ID] = c
	return c, true
}

// Opened takes in that a data hall was opened again. Its workers that aren't known to be
// cold are held so for the time of a start. Seen tells that this daemon knew that the
// hall was closed, and so sent nothing there. It returns who became cold.
func (b *Book) Opened(hall string, seen bool, now time.Time) []Cold {
	b.mu.Lock()
	defer b.mu.Unlock()
	var began []Cold
	for _, w := range b.listed {
		usage := b.usage(w.Service)
		if _, was := b.at(w.ID, now); was || w.Hall != hall || usage.PerSecond <= 0 {
			continue
		}
		c := Cold{Worker: w.ID, Service: w.Service, Hall: hall, By: ByOpening, Since: now, Until: now.Add(usage.For)}
		if !seen {
			c.HeldUntil = now.Add(heldAfterTurn)
		}
		b.cold[w.ID] = c
		began = append(began, c)
	}
	return began
}

// Ended forgets those that are cold no longer and returns them.
func (b *Book) Ended(now time.Time) []Cold {
	b.mu.Lock()
	defer b.mu.Unlock()
	var ended []Cold
	for id, c := range b.cold {
		if !now.Before(c.Until) {
			ended = append(ended, c)
			delete(b.cold, id)
		}
	}
	return ended
}

// At returns that a worker is cold, false if it isn't.
func (b *Book) At(worker string, now time.Time) (Cold, bool) {
	b.mu.RLock()
	defer b.mu.RUnlock()
	return b.at(worker, now)
}

func (b *Book) at(worker string, now time.Time) (Cold, bool) {
	c, known := b.cold[worker]
	return c, known && now.Before(c.Until)
}

// All returns all who are cold, in order of their ids.
func (b *Book) All(now time.Time) []Cold {
	b.mu.RLock()
	defer b.mu.RUnlock()
	var all []Cold
	for id := range b.cold {
		if c, is := b.at(id, now); is {
			all = append(all, c)
		}
	}
	slices.SortFunc(all, func(x, y Cold) int {
		if x.Worker < y.Worker {
			return -1
		}
		return 1
	})
	return all
}
