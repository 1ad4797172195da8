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

// Request is what a request asks of the place where it runs.
type Request struct {
	// Route and Customer are the regions that the request's route and its customer
	// allow. Both bind.
	Route, Customer catalog.Regions
}

// Reason is why a request may not go to a worker.
type Reason string

// The reasons. The zero value means that it may.
const (
	Allowed Reason = ""
	// HallClosed tells that the operator closed the worker's data hall.
	HallClosed Reason = "hall_closed"
	// RegionBarred tells that the request may not run in the worker's region.
	RegionBarred Reason = "region_barred"
	// Cold tells that the worker has just started and that there is no room on its ramp.
	Cold Reason = "cold"
	// WorkerLimited tells that this process has sent its part of the worker's limit.
	WorkerLimited = Reason(throttle.Limited)
	// WorkerPaused tells that the worker asked this process for a pause.
	WorkerPaused = Reason(throttle.Paused)
	// WorkerLeaving tells that the worker is about to end.
	WorkerLeaving = Reason(throttle.Leaving)
)

// Verdict says whether a request may go to a worker, and the fact that decided.
type Verdict struct {
	Reason Reason
	// Weight is what a request under way at the worker counts where work is spread, 1 but
	// for a cold worker.
	Weight float64
	// Hall is the worker's data hall, and Region that hall's region.
	Hall, Region string
	// Version is the store's version of the fact, 0 where settings tell it, and Known
	// when this process learned of it.
	Version uint64
	Known   time.Time
	// Until is from when on the request may go there, the zero time if that isn't known.
	Until time.Time
}

// Allowed tells whether the request may go there.
func (v Verdict) Allowed() bool { return v.Reason == Allowed }

// UnknownRegion tells that the worker is out of bounds only since nothing says in which
// region its data hall is.
func (v Verdict) UnknownRegion() bool { return v.Reason == RegionBarred && v.Region == "" }

// Telling tells whether a verdict says more than another about why a request runs
// nowhere: a worker that it may run at but for a closed hall or a cold start says more
// than one out of its bounds.
func (v Verdict) Telling(than Verdict) bool {
	return than.Allowed() || than.Reason == RegionBarred
}

// Ramp bounds what workers get that have just started. Implementations are safe for use
// by many goroutines.
type Ramp interface {
	// Room tells whether a worker is cold and, if it is, whether it may get a request
	// from this process now. It takes nothing.
	Room(w workers.Worker, now time.Time) (cold, room bool)
	// Take counts a request that is about to be sent to a worker. It returns false if
	// the worker is cold and there is no room for it.
	Take(w workers.Worker, now time.Time) bool
	// Weight returns what a request of this process under way at a worker counts, 1 but
	// for a cold one: few processes send there for all.
	Weight(w workers.Worker, now time.Time) float64
}

// Throttle bounds what workers get by what they ask for in their answers. Implementations are
// safe for use by many goroutines.
type Throttle interface {
	// Judge says whether a worker may get a request from this process now. It counts nothing.
	Judge(w workers.Worker, now time.Time) throttle.Verdict
	// Take says whether a worker may get a request that is about to be sent, and counts it.
	Take(w workers.Worker, now time.Time) throttle.Verdict
}

// Decider decides where requests may run. It is safe for use by many goroutines.
type Decider struct {
	mu       sync.Mutex // of changes
	facts    atomic.Pointer[Facts]
	ramp     Ramp
	throttle Throttle
	now      func() time.Time
}

// NewDecider returns a decider that knows the regions of data halls, bounds what cold workers
// get by a ramp, and what workers get that ask for less by a throttle.
func NewDecider(regions map[string]string, ramp Ramp, throttle Throttle, now func() time.Time) *Decider {
	d := &Decider{ramp: ramp, throttle: throttle, now: now}
	d.facts.Store(NewFacts(regions))
	return d
}

// Facts returns what is known now.
func (d *Decider) Facts() *Facts { return d.facts.Load() }

// Apply takes in what the store tells of halls, and returns those that it closed and
// opened.
func (d *Decider) Apply(u Update) (closed []Closing, opened []Reopening) {
	d.mu.Lock()
	defer d.mu.Unlock()
	next, closed, opened := d.Facts().Apply(u, d.now())
	d.facts.Store(next)
	return closed, opened
}

// SetRegions takes in the region of each hall, for all that is decided from now on.
func (d *Decider) SetRegions(regions map[string]string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	next := *d.Facts()
	next.regions = maps.Clone(regions)
	d.facts.Store(&next)
}

// Open tells whether a hall is open to requests.
func (d *Decider) Open(hall string) bool { return d.Facts().Open(hall) }

// Judge says whether a request may be planned for a worker. Nothing is counted.
func (d *Decider) Judge(r Request, w workers.Worker) Verdict {
	v := d.judgeHall(r, w)
	if !v.Allowed() {
		return v
	}
	now := d.now()
	v.bind(d.throttle.Judge(w, now))
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

// Send says whether a request may be sent to a worker at this moment, and counts it
// where what the worker gets is bounded.
func (d *Decider) Send(r Request, w workers.Worker) Verdict {
	v := d.judgeHall(r, w)
	if !v.Allowed() {
		return v
	}
	now := d.now()
	if v.bind(d.throttle.Judge(w, now)); !v.Allowed() {
		return v // nothing is taken from the ramp for it
	}
	if !d.ramp.Take(w, now) {
		v.Reason = Cold
		return v
	}
	v.bind(d.throttle.Take(w, now))
	return v
}

// bind takes in what the worker asks for.
func (v *Verdict) bind(t throttle.Verdict) {
	v.Reason = Reason(t.Reason)
	v.Until = t.Until
	v.Weight = min(v.Weight, t.Weight)
}

// judgeHall decides by the worker's data hall alone. Regions are looked at first: who is
// told that a hall is closed may run there once it is open.
func (d *Decider) judgeHall(r Request, w workers.Worker) Verdict {
	facts := d.Facts()
	v := Verdict{Weight: 1, Hall: w.Hall, Region: facts.Region(w.Hall)}
	if !r.Route.Allow(v.Region) || !r.Customer.Allow(v.Region) {
		v.Reason = RegionBarred
		return v
	}
	if c, closed := facts.Closed(w.Hall); closed {
		v.Reason = HallClosed
		v.Version = c.Version
		v.Known = c.Known
	}
	return v
}

// NoRamp is the ramp where workers are never cold.
type NoRamp struct{}

// Room tells that there is room.
func (NoRamp) Room(workers.Worker, time.Time) (cold, room bool) { return false, true }

// Take tells that there is room.
func (NoRamp) Take(workers.Worker, time.Time) bool { return true }

// Weight tells that all work counts alike.
func (NoRamp) Weight(workers.Worker, time.Time) float64 { return 1 }

// NoThrottle is the throttle where workers never ask for anything.
type NoThrottle struct{}

// Judge tells that there is room.
func (NoThrottle) Judge(workers.Worker, time.Time) throttle.Verdict {
	return throttle.Verdict{Weight: 1}
}

// Take tells that there is room.
func (NoThrottle) Take(workers.Worker, time.Time) throttle.Verdict {
	return throttle.Verdict{Weight: 1}
}
