// Package reach detects that a daemon can open no connections to workers, though the workers may be
// well and other daemons may reach them.
package reach

import (
	"sync"
	"time"
)

const (
	// minWorkers is how many workers must have failed. A few may be dead at the same time.
	minWorkers = 3
	// minHalls is in how many data halls these must be, as a whole hall may be lost.
	minHalls = 2
	// failureTTL is how long a failure counts as long as others don't follow.
	failureTTL = 2 * time.Second
	// silenceThreshold is how long no worker may have sent anything for a daemon to count as
	// silenced. Connections that were opened before may go on working.
	silenceThreshold = 300 * time.Millisecond
	// maxFailed bounds how many failed workers are remembered.
	maxFailed = 16384
)

// Worker is a worker to which a connection failed.
type Worker struct{ ID, Hall string }

// Inventory returns how many workers are known, and in how many data halls.
type Inventory func() (workers, halls int)

// Detector tracks connections to workers. It is safe for concurrent use.
type Detector struct {
	inventory Inventory
	now       func() time.Time
	onChange  func(Change)

	mu sync.Mutex
	// failed maps the workers to which a connection failed since the last one was opened to when
	// that was. It is kept while the daemon is cut off.
	failed map[Worker]time.Time
	// cutSince is since when the daemon has been cut off, zero if it isn't.
	cutSince time.Time
	// answered is when a worker last sent anything.
	answered time.Time
}

// Change is a change of the state of a detector.
type Change struct {
	Cut bool
	// Workers and Halls are how many failed, Answered how long ago a worker last sent anything,
	// and Lasted how long the daemon was cut off, 0 if it is now.
	Workers, Halls   int
	Answered, Lasted time.Duration
}

// NewDetector returns a detector that knows of no failures. onChange is called, without locks held,
// when the daemon is cut off or no longer is.
func NewDetector(inventory Inventory, now func() time.Time, onChange func(Change)) *Detector {
	return &Detector{inventory: inventory, now: now, onChange: onChange, failed: map[Worker]time.Time{}, answered: now()}
}

// Connected records that a connection to a worker was opened.
func (d *Detector) Connected() {
	d.mu.Lock()
	since := d.cutSince
	c := d.change()
	d.cutSince = time.Time{}
	clear(d.failed)
	d.mu.Unlock()
	if !since.IsZero() {
		c.Cut, c.Lasted = false, d.now().Sub(since)
		d.onChange(c)
	}
}

// Answered records that a worker sent something.
func (d *Detector) Answered() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.answered = d.now()
}

// Failed records that a connection to a worker couldn't be opened, or that it was lost without a
// sign of life.
func (d *Detector) Failed(w Worker) {
	d.mu.Lock()
	now := d.now()
	if _, found := d.failed[w]; found || len(d.failed) < maxFailed {
		d.failed[w] = now
	}
	if !d.cutSince.IsZero() || !d.enough(now) {
		d.mu.Unlock()
		return
	}
	d.cutSince = now
	c := d.change()
	d.mu.Unlock()
	d.onChange(c)
}

// enough reports whether so many workers have failed that the daemon counts as cut off. The caller
// holds the lock.
func (d *Detector) enough(now time.Time) bool {
	halls := map[string]bool{}
	for w, at := range d.failed {
		if now.Sub(at) > failureTTL {
			delete(d.failed, w)
			continue
		}
		halls[w.Hall] = true
	}
	workers, inHalls := d.inventory()
	return len(d.failed) >= min(minWorkers, max(workers, 1)) && len(halls) >= min(minHalls, max(inHalls, 1))
}

// change describes the current state. The caller holds the lock.
func (d *Detector) change() Change {
	halls := map[string]bool{}
	for w := range d.failed {
		halls[w.Hall] = true
	}
	return Change{Cut: true, Workers: len(d.failed), Halls: len(halls), Answered: d.now().Sub(d.answered)}
}

// Cut reports whether the daemon is cut off: it can open no connection to any worker.
func (d *Detector) Cut() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return !d.cutSince.IsZero()
}

// Silenced reports whether the daemon is cut off and also hears nothing on older connections.
func (d *Detector) Silenced() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return !d.cutSince.IsZero() && d.now().Sub(d.answered) >= silenceThreshold
}
