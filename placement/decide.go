package placement

import (
	"maps"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pointpass/pointpass/catalog"
	"github.com/pointpass/pointpass/throttle"
	"github.com/pointpass/pointpass/workers"
)

// Request is a request's constraints on where it may run.
type Request struct {
	// Route and Customer are the regions that the request's route and its customer allow. Both
	// apply.
	Route, Customer catalog.Regions
}

// Reason is the reason why a request may not go to a worker.
type Reason string

// The reasons. The zero value means that the request is allowed.
const (
	Allowed Reason = ""
	// HallClosed means that the operator closed the worker's data hall.
	HallClosed Reason = "hall_closed"
	// RegionBarred means that the request may not run in the worker's region.
	RegionBarred Reason = "region_barred"
	// Cold means that the worker has just started and its ramp has no capacity left.
	Cold Reason = "cold"
	// WorkerLimited means that this process has used up its share of the worker's limit.
	WorkerLimited = Reason(throttle.Limited)
	// WorkerPaused means that the worker requested a pause from this process.
	WorkerPaused = Reason(throttle.Paused)
	// WorkerLeaving means that the worker is about to shut down.
	WorkerLeaving = Reason(throttle.Leaving)
)

// Verdict reports whether a request may go to a worker, and the fact that decided.
type Verdict struct {
	Reason Reason
	// Weight is the load that a request in flight adds to the worker when load is balanced: 1,
	// and less for a cold worker.
	Weight float64
	// Hall is the worker's data hall, and Region that hall's region.
	Hall, Region string
	// Version is the store's version of the deciding fact, 0 if it comes from the settings.
	// ObservedAt is when this process learned of the fact.
	Version    uint64
	ObservedAt time.Time
	// Until is when the worker takes requests again, the zero time if unknown.
	Until time.Time
}

// Allowed reports whether the request may go to the worker.
func (v Verdict) Allowed() bool { return v.Reason == Allowed }

// UnknownRegion reports whether the request is barred only because the region of the worker's
// data hall is unknown.
func (v Verdict) UnknownRegion() bool { return v.Reason == RegionBarred && v.Region == "" }

// MoreSpecificThan reports whether v explains better than other why a request runs nowhere. A
// worker that is excluded by a closed hall or a cold start explains more than one outside the
// allowed regions.
func (v Verdict) MoreSpecificThan(other Verdict) bool {
	return other.Allowed() || other.Reason == RegionBarred
}

// Ramp limits the requests to workers that have just started. Implementations are safe for
// concurrent use.
type Ramp interface {
	// Room reports whether a worker is cold, and whether it may get a request from this
	// process now. It reserves nothing.
	Room(w workers.Worker, now time.Time) (cold, room bool)
	// Take counts a request that is about to be sent to a worker. It returns false if the
	// worker is cold and its ramp has no capacity left.
	Take(w workers.Worker, now time.Time) bool
	// Read records that a worker's process runs, or has ended: what was sent to it before is read by now, or never.
	Read(w workers.Worker, now time.Time)
	// Weight returns the load that a request of this process adds to a worker: 1, and less for
	// a cold one, since a few processes send to it on behalf of all.
	Weight(w workers.Worker, now time.Time) float64
}

// Throttle limits the requests to workers by the backpressure in their responses.
// Implementations are safe for concurrent use.
type Throttle interface {
	// Check reports whether a worker may get a request from this process now. It counts
	// nothing.
	Check(w workers.Worker, now time.Time) throttle.Verdict
	// Take reports whether a worker may get a request that is about to be sent, and counts it.
	Take(w workers.Worker, now time.Time) throttle.Verdict
	// Read records that a worker's process runs, or has ended, as for Ramp.
	Read(w workers.Worker, now time.Time)
}

// Decider decides where requests may run. It is safe for concurrent use.
type Decider struct {
	mu       sync.Mutex // serializes changes of facts
	facts    atomic.Pointer[Facts]
	ramp     Ramp
	throttle Throttle
	now      func() time.Time
}

// NewDecider returns a decider with the region of each data hall. The ramp limits the requests
// to cold workers, the throttle those to workers that signal backpressure.
func NewDecider(regions map[string]string, ramp Ramp, throttle Throttle, now func() time.Time) *Decider {
	d := &Decider{ramp: ramp, throttle: throttle, now: now}
	d.facts.Store(NewFacts(regions))
	return d
}

// Facts returns the current facts.
func (d *Decider) Facts() *Facts { return d.facts.Load() }

// Apply applies an update from the store, and returns the halls that it closed and reopened.
func (d *Decider) Apply(u Update) (closed []Closing, opened []Reopening) {
	d.mu.Lock()
	defer d.mu.Unlock()
	next, closed, opened := d.Facts().Apply(u, d.now())
	d.facts.Store(next)
	return closed, opened
}

// SetRegions sets the region of each hall for all later decisions.
func (d *Decider) SetRegions(regions map[string]string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	next := *d.Facts()
	next.regions = maps.Clone(regions)
	d.facts.Store(&next)
}

// Open reports whether a hall is open to requests.
func (d *Decider) Open(hall string) bool { return d.Facts().Open(hall) }

// Read records that a worker's process runs, or has ended: what was sent to it before is read by now, or never.
func (d *Decider) Read(w workers.Worker) {
	now := d.now()
	d.ramp.Read(w, now)
	d.throttle.Read(w, now)
}

// Check reports whether a request may be planned for a worker. It counts nothing.
func (d *Decider) Check(r Request, w workers.Worker) Verdict {
	v := d.checkHall(r, w)
	if !v.Allowed() {
		return v
	}
	now := d.now()
	v.applyThrottle(d.throttle.Check(w, now))
	if !v.Allowed() {
		return v
	}
	cold, room := d.ramp.Room(w, now)
	if !room {
		v.Reason = Cold
	} else if cold {
		v.Weight = min(v.Weight, d.ramp.Weight(w, now))
	}
	return v
}

// Admit reports whether a request may be sent to a worker now, and counts it against the
// worker's ramp and throttle.
func (d *Decider) Admit(r Request, w workers.Worker) Verdict {
	v := d.checkHall(r, w)
	if !v.Allowed() {
		return v
	}
	now := d.now()
	if v.applyThrottle(d.throttle.Check(w, now)); !v.Allowed() {
		return v // don't count it against the ramp
	}
	if !d.ramp.Take(w, now) {
		v.Reason = Cold
		return v
	}
	v.applyThrottle(d.throttle.Take(w, now))
	return v
}

// applyThrottle applies the throttle's verdict to v.
func (v *Verdict) applyThrottle(t throttle.Verdict) {
	v.Reason = Reason(t.Reason)
	v.Until = t.Until
	v.Weight = min(v.Weight, t.Weight)
}

// checkHall decides by the worker's data hall alone. Regions are checked first, so that a
// request refused for a closed hall may run there once it is open.
func (d *Decider) checkHall(r Request, w workers.Worker) Verdict {
	facts := d.Facts()
	v := Verdict{Weight: 1, Hall: w.Hall, Region: facts.Region(w.Hall)}
	if !r.Route.Allow(v.Region) || !r.Customer.Allow(v.Region) {
		v.Reason = RegionBarred
		return v
	}
	if c, closed := facts.Closed(w.Hall); closed {
		v.Reason = HallClosed
		v.Version = c.Version
		v.ObservedAt = c.ObservedAt
	}
	return v
}

// NoRamp is a ramp that never treats a worker as cold.
type NoRamp struct{}

// Room always has capacity.
func (NoRamp) Room(workers.Worker, time.Time) (cold, room bool) { return false, true }

// Take always has capacity.
func (NoRamp) Take(workers.Worker, time.Time) bool { return true }

// Read records nothing.
func (NoRamp) Read(workers.Worker, time.Time) {}

// Weight is 1 for all workers.
func (NoRamp) Weight(workers.Worker, time.Time) float64 { return 1 }

// NoThrottle is a throttle that never limits a worker.
type NoThrottle struct{}

// Check always allows the request.
func (NoThrottle) Check(workers.Worker, time.Time) throttle.Verdict {
	return throttle.Verdict{Weight: 1}
}

// Take always allows the request.
func (NoThrottle) Take(workers.Worker, time.Time) throttle.Verdict {
	return throttle.Verdict{Weight: 1}
}

// Read records nothing.
func (NoThrottle) Read(workers.Worker, time.Time) {}
