// Package ramp implements the slow start of workers: it limits how many requests a cold worker
// gets per second from all daemons together. ColdTracker tracks which workers are cold, and
// until when; Ramp assigns each cold worker to a few daemons, by quota.
package ramp

import (
	"sync"
	"time"

	"github.com/pointpass/pointpass/catalog"
	"github.com/pointpass/pointpass/common/units"
	"github.com/pointpass/pointpass/quota"
	"github.com/pointpass/pointpass/workers"
)

const (
	// countWindow is the length of the time window in which requests to a cold worker are
	// counted.
	countWindow = time.Second
	// RosterMargin is the margin of the roster that a ramp needs: more than countWindow plus
	// quota.MaxSendDelay.
	RosterMargin = 2 * time.Second
	// safetyFactor is the part of the limit that daemons use. The rest covers requests of
	// daemons that haven't received the worker's entry yet.
	safetyFactor = 0.95
	// takesPerDaemon is quota.Bound.Each. With 1, more requests wait for their turn; with more,
	// a cold worker gets requests of fewer callers.
	takesPerDaemon = 2
)

// Limits bound the requests of all daemons together to a cold worker within a second: Overrun
// times its capacity plus Slack.
type Limits struct{ Overrun, Slack float64 }

// Options configures a ramp.
type Options struct {
	Roster  *quota.Roster
	Tracker *ColdTracker
	// ColdSettings returns a service's settings for workers that have just started.
	ColdSettings func(service string) catalog.Cold
	Limits       func() Limits
}

// Ramp implements placement.Ramp.
type Ramp struct {
	opts Options

	mu     sync.Mutex
	ledger *quota.Ledger
	// taken and refused count requests to cold workers.
	taken, refused uint64
}

// New returns a ramp.
func New(opts Options) *Ramp { return &Ramp{opts: opts, ledger: quota.NewLedger(maxWindow)} }

// Room reports whether a worker is cold and, if so, whether this process may send it a request
// now. It takes no quota.
func (r *Ramp) Room(w workers.Worker, now time.Time) (cold, room bool) {
	c, cold := r.cold(w, now)
	if !cold {
		return false, true
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	return true, r.hasRoom(c, now)
}

// Take counts a request that is about to be sent to a worker. It returns false if the worker is
// cold and has no room for the request.
func (r *Ramp) Take(w workers.Worker, now time.Time) bool {
	c, cold := r.cold(w, now)
	if !cold {
		return true
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.hasRoom(c, now) {
		r.refused++
		return false
	}
	r.taken++
	r.ledger.Take(w.ID, now)
	return true
}

// Read records that a worker's process runs, or has ended: what was sent to it before is read by now, or never.
func (r *Ramp) Read(w workers.Worker, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.ledger.Read(w.ID, now)
}

// Weight returns the weight of a request in flight at a worker relative to one at a warm
// worker. A daemon that may send to a cold worker does so on behalf of all that may not.
func (r *Ramp) Weight(w workers.Worker, now time.Time) float64 {
	c, cold := r.cold(w, now)
	if !cold {
		return 1
	}
	p, active := r.part(c, now)
	if !active {
		return 1
	}
	return p.Weight
}

// Counts returns how many requests to cold workers were admitted and how many were rejected for
// lack of room.
func (r *Ramp) Counts() (taken, refused uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.taken, r.refused
}

// Forget drops the recorded requests that are outside of all windows.
func (r *Ramp) Forget(now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.ledger.Forget(now)
}

// cold returns the state of a cold worker, false if the worker is warm or its service has no
// slow start.
func (r *Ramp) cold(w workers.Worker, now time.Time) (ColdWorker, bool) {
	c, cold := r.opts.Tracker.At(w.ID, now)
	return c, cold && r.opts.ColdSettings(w.Service).RequestsPerSecond > 0
}

// hasRoom reports whether a cold worker may get one more request. The caller holds the lock.
func (r *Ramp) hasRoom(c ColdWorker, now time.Time) bool {
	if now.Before(c.BlockedUntil) {
		return false
	}
	p, active := r.part(c, now)
	return active && r.ledger.Room(c.Worker, p, now)
}

// maxWindow bounds how long the requests to cold workers are kept.
const maxWindow = 10 * time.Second

// part returns this daemon's part of the quota of a cold worker, false if it has none.
func (r *Ramp) part(c ColdWorker, now time.Time) (quota.Part, bool) {
	rank, count, active := r.opts.Roster.Place(c.Worker, now)
	if !active {
		return quota.Part{}, false
	}
	return r.bound(c).Part(rank, count)
}

// bound returns the limit for the requests of all daemons together to a cold worker.
func (r *Ramp) bound(c ColdWorker) quota.Bound {
	capacity := r.opts.ColdSettings(c.Service).RequestsPerSecond
	limits := r.opts.Limits()
	return quota.Bound{
		MaxRequests: units.Count(safetyFactor * (capacity*limits.Overrun + limits.Slack)),
		Within:      countWindow + quota.MaxSendDelay,
		Rate:        capacity,
		Each:        takesPerDaemon,
		MaxWindow:   maxWindow,
	}
}
