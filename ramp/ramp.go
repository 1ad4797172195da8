// Package ramp bounds what workers get that have just started. A cold worker bears so
// many requests within any second from all daemons together. Book knows who is cold, and
// until when; Ramp gives each cold worker to a few daemons, by quota.
package ramp

import (
	"sync"
	"time"

	"github.com/pointpass/pointpass/catalog"
	"github.com/pointpass/pointpass/quota"
	"github.com/pointpass/pointpass/workers"
)

const (
	// countedWithin is the time within which requests to a cold worker are counted.
	countedWithin = time.Second
	// RosterMargin is the margin of the roster that a ramp needs: above countedWithin and
	// quota.MostSendDelay.
	RosterMargin = 2 * time.Second
	// caution is the part of the bound that daemons use: a request may be sent to a
	// worker by a daemon that hasn't heard yet that it is cold.
	caution = 0.95
	// takesEach is quota.Bound.Each. With one there is more waiting for its turn, with more a
	// cold worker hears of fewer of the callers.
	takesEach = 2
)

// Limits bound what all daemons together send a cold worker within a second, as a
// multiple of what it bears and a number beyond that.
type Limits struct{ Overrun, Slack float64 }

// Options wires a ramp.
type Options struct {
	Roster *quota.Roster
	Book   *Book
	// Usage returns how a service's workers are to be used when they have just started.
	Usage  func(service string) catalog.Cold
	Limits func() Limits
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
func New(opts Options) *Ramp { return &Ramp{opts: opts, ledger: quota.NewLedger(longestWindow)} }

// Room tells whether a worker is cold and, if it is, whether it may get a request from
// this process now. It takes nothing.
func (r *Ramp) Room(w workers.Worker, now time.Time) (cold, room bool) {
	c, cold := r.cold(w, now)
	if !cold {
		return false, true
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	return true, r.room(c, now)
}

// Take counts a request that is about to be sent to a worker. It returns false if the
// worker is cold and there is no room for it.
func (r *Ramp) Take(w workers.Worker, now time.Time) bool {
	c, cold := r.cold(w, now)
	if !cold {
		return true
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.room(c, now) {
		r.refused++
		return false
	}
	r.taken++
	r.ledger.Take(w.ID, now)
	return true
}

// Weight returns what a request under way at a worker counts against one at a warm
// worker. A daemon that sends to a cold worker does so for all that may not.
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

// Counts returns how many requests to cold workers were let through and how many had no
// room.
func (r *Ramp) Counts() (taken, refused uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.taken, r.refused
}

// Forget drops what is known of takes that no window holds any more.
func (r *Ramp) Forget(now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.ledger.Forget(now)
}

// cold returns that a worker is cold and that its service asks for care.
func (r *Ramp) cold(w workers.Worker, now time.Time) (Cold, bool) {
	c, cold := r.opts.Book.At(w.ID, now)
	return c, cold && r.opts.Usage(w.Service).PerSecond > 0
}

// room tells whether a cold worker may get one more. The caller holds the lock.
func (r *Ramp) room(c Cold, now time.Time) bool {
	if now.Before(c.HeldUntil) {
		return false
	}
	p, active := r.part(c, now)
	return active && r.ledger.Room(c.Worker, p, now)
}

// longestWindow bounds how long takes are remembered.
const longestWindow = 10 * time.Second

// part returns this daemon's part at a cold worker, false if it has none.
func (r *Ramp) part(c Cold, now time.Time) (quota.Part, bool) {
	rank, count, active := r.opts.Roster.Place(c.Worker, now)
	if !active {
		return quota.Part{}, false
	}
	return r.bound(c).Part(rank, count)
}

// bound returns what all daemons together may send a cold worker.
func (r *Ramp) bound(c Cold) quota.Bound {
	bears := r.opts.Usage(c.Service).PerSecond
	limits := r.opts.Limits()
	return quota.Bound{
		Most:    int(caution * (bears*limits.Overrun + limits.Slack)),
		Within:  countedWithin + quota.MostSendDelay,
		Rate:    bears,
		Each:    takesEach,
		Longest: longestWindow,
	}
}
