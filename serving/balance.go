package serving

import (
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/pointpass/pointpass/catalog"
	"github.com/pointpass/pointpass/retry"
	"github.com/pointpass/pointpass/workers"
)

// Target is a destination of requests: a single worker, or the head of a group.
type Target struct {
	// Key identifies the target in the balancer and in logs.
	Key    string
	Worker workers.Worker
	// Pace multiplies the time that work takes at the target.
	Pace float64
	// Weight is the load that one request in flight adds to the target: 1, and less for a cold
	// worker, where the few daemons that may send to it do so on behalf of all others.
	Weight float64
}

// Targets returns the targets that may serve a service's requests for a model now. A group
// counts only if all members were seen ready in this epoch and none is draining. The head must
// have an entry. A member without an entry may merely be cut off from the store; a group with
// a dead member is detected because it stops sending events.
func Targets(view *workers.View, service *catalog.Service, model string) []Target {
	if service.Runtime == nil {
		return plainTargets(view, service.Name)
	}
	wanted, ok := service.Runtime.Model(model)
	if !ok {
		return nil
	}
	var targets []Target
	for _, g := range view.Groups() {
		head, found := g.Head()
		if !found || !g.Whole || g.Service != service.Name || g.ID.Model() != model || g.Size() != wanted.Size {
			continue
		}
		if head.Membership.State == workers.Open {
			targets = append(targets, Target{Key: g.ID.Name, Worker: head, Pace: wanted.TimeFactor, Weight: 1})
		}
	}
	return targets
}

func plainTargets(view *workers.View, service string) []Target {
	var targets []Target
	for _, w := range view.ByService(service) {
		if !w.Draining {
			targets = append(targets, Target{Key: w.ID, Worker: w, Pace: 1, Weight: 1})
		}
	}
	return targets
}

// targetState is what this process has observed of a target through its own requests.
type targetState struct {
	inFlight int
	// worker is the worker that requests were last sent to.
	worker workers.Worker
	// lastActivity is when the target last sent anything for any request of this process.
	lastActivity time.Time
	// suspectUntil is when the target gets new requests again after failures.
	suspectUntil time.Time
	// warnedUntil is when it gets new requests again after warnings of other daemons.
	warnedUntil time.Time
	failures    int
	// refusals is the backoff after the target rejected requests.
	refusals retry.Backoff
	// errors counts consecutive error answers.
	errors int
	// eventInterval is the time between two events of a stream, firstEventDelay the time to a
	// stream's first event. Both are exponential moving averages.
	eventInterval, firstEventDelay time.Duration
}

// reset discards the failures of an earlier start of the worker. Requests in flight stay
// counted, since each of them still calls Done.
func (st *targetState) reset() {
	*st = targetState{inFlight: st.inFlight, eventInterval: initialEventInterval, firstEventDelay: initialFirstEventDelay}
}

// Initial averages, and the smoothing of new samples.
const (
	initialEventInterval   = 60 * time.Millisecond
	initialFirstEventDelay = 200 * time.Millisecond
	smoothingDivisor       = 8 // a new sample counts 1/8
)

// Bounds of the time that a failed target gets no new requests. It doubles with each
// consecutive failure.
const (
	initialSuspicion = time.Second
	maxSuspicion     = 4 * time.Second
	// maxErrorSuspicion is the maximum for targets that return error answers.
	maxErrorSuspicion = 8 * time.Second
)

// Balancer distributes requests over targets by the number that this process has in flight at
// each. It is safe for concurrent use.
type Balancer struct {
	mu     sync.Mutex
	hall   string
	states map[string]*targetState
}

// NewBalancer returns a balancer for a process in the given hall.
func NewBalancer(hall string) *Balancer {
	return &Balancer{hall: hall, states: map[string]*targetState{}}
}

// Choose returns the target with the least load among those that aren't excluded, and counts a
// request there. Targets that are suspect or have just rejected a request are chosen only if
// all are: trying one is better than refusing the request. On a tie it prefers the local hall,
// unless ignoreHall is set. It returns false if there is no target.
func (b *Balancer) Choose(targets []Target, excluded []string, ignoreHall bool, now time.Time) (Target, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	best := -1
	var bestScore float64
	for i, t := range targets {
		if contains(excluded, t.Key) {
			continue
		}
		score := b.score(t, ignoreHall, now)
		if best < 0 || score < bestScore {
			best = i
			bestScore = score
		}
	}
	if best < 0 {
		return Target{}, false
	}
	st := b.state(targets[best].Key)
	if workers.Restarted(st.worker, targets[best].Worker) {
		st.reset()
	}
	st.inFlight++
	st.worker = targets[best].Worker
	return targets[best], true
}

// remoteHallPenalty is the score of a target outside the local hall, in requests in flight.
// scoreJitter is the range of the random part of a score, which keeps processes with the same
// view from all choosing the same target.
const (
	remoteHallPenalty = 0.3
	scoreJitter       = 0.25
	// suspectPenalty exceeds any score that requests in flight can add up to.
	suspectPenalty = 1e6
)

func (b *Balancer) score(t Target, ignoreHall bool, now time.Time) float64 {
	score := scoreJitter * rand.Float64()
	if t.Worker.Hall != b.hall && !ignoreHall {
		score += remoteHallPenalty
	}
	st, known := b.states[t.Key]
	if !known {
		return t.Weight * score
	}
	score = t.Weight * (score + float64(st.inFlight))
	if workers.Restarted(st.worker, t.Worker) {
		return score // the failures are those of its earlier start
	}
	if now.Before(st.suspectUntil) || now.Before(st.warnedUntil) || st.refusals.Active(now) {
		score += suspectPenalty
	}
	return score
}

func (b *Balancer) state(key string) *targetState {
	st, ok := b.states[key]
	if !ok {
		st = &targetState{eventInterval: initialEventInterval, firstEventDelay: initialFirstEventDelay}
		b.states[key] = st
	}
	return st
}

// Done ends a request that Choose counted at a target.
func (b *Balancer) Done(key string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.state(key).inFlight--
}

// RecordActivity records that a target sent something to a request. elapsed is the time since
// the request's previous event, or since it was sent if this is the first.
func (b *Balancer) RecordActivity(key string, now time.Time, elapsed time.Duration, first bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	st := b.state(key)
	st.lastActivity = now
	st.failures = 0
	st.errors = 0
	if first {
		st.firstEventDelay += (elapsed - st.firstEventDelay) / smoothingDivisor
		return
	}
	st.eventInterval += (elapsed - st.eventInterval) / smoothingDivisor
}

// Bounds of the time without events after which a target counts as stalled. Between them the
// timeout is a multiple of the target's average, so that requests stay at a slow target
// that still makes progress. The maximums are wide because under overload of all groups lower
// ones move streams from one slow group to the next, and each move processes the prompt again.
const (
	minEventTimeout         = 300 * time.Millisecond
	maxEventTimeout         = 1200 * time.Millisecond
	eventTimeoutFactor      = 4
	minFirstEventTimeout    = 900 * time.Millisecond
	maxFirstEventTimeout    = 3000 * time.Millisecond
	firstEventTimeoutFactor = 5 // in halves: 2.5 times the average
)

// Timeouts returns how long a target may send nothing to any request: before a request's first
// event, and between its events.
func (b *Balancer) Timeouts(key string) (firstEventTimeout, nextEventTimeout time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	st := b.state(key)
	firstEventTimeout = min(max(firstEventTimeoutFactor*st.firstEventDelay/2, minFirstEventTimeout), maxFirstEventTimeout)
	nextEventTimeout = min(max(eventTimeoutFactor*st.eventInterval, minEventTimeout), maxEventTimeout)
	return firstEventTimeout, nextEventTimeout
}

// Silence returns how long a target has sent nothing, counted from since at the earliest.
func (b *Balancer) Silence(key string, since, now time.Time) time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	if st := b.state(key); st.lastActivity.After(since) {
		return now.Sub(st.lastActivity)
	}
	return now.Sub(since)
}

// RecordFailure records that a target failed in a way that a healthy one doesn't. It gets no
// new requests for a while.
func (b *Balancer) RecordFailure(key string, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	st := b.state(key)
	if now.Before(st.suspectUntil) {
		return // requests in flight at the same time fail together
	}
	st.suspectUntil = now.Add(min(initialSuspicion<<min(st.failures, 4), maxSuspicion))
	st.failures++
}

// Warn keeps new requests from a target for d, since other daemons found it failing.
func (b *Balancer) Warn(key string, now time.Time, d time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.state(key).warnedUntil = now.Add(d)
}

// RecentlyActive reports whether a target sent something within recentActivity.
func (b *Balancer) RecentlyActive(key string, now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return now.Sub(b.state(key).lastActivity) < recentActivity
}

// WithdrawWarning ends a warning about a target that has turned out to be alive.
func (b *Balancer) WithdrawWarning(key string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if st, ok := b.states[key]; ok {
		st.warnedUntil = time.Time{}
	}
}

// Warned reports whether a target gets no new requests because of warnings of other daemons.
func (b *Balancer) Warned(key string, now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	st, ok := b.states[key]
	return ok && now.Before(st.warnedUntil)
}

// RecordErrorAnswer records that a target answered a request with an error. It becomes suspect
// after threshold consecutive errors, more than the service's own errors are likely to make.
func (b *Balancer) RecordErrorAnswer(key string, threshold int, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	st := b.state(key)
	st.errors++
	if st.errors >= threshold && !now.Before(st.suspectUntil) {
		st.suspectUntil = now.Add(min(initialSuspicion<<min(st.errors-threshold+1, 4), maxErrorSuspicion))
	}
}

// RecordRefusal records that a target rejected a request. It gets no new requests for
// busyRetryDelay, the retry delay that callers get, and for longer with each consecutive
// rejection.
func (b *Balancer) RecordRefusal(key string, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.state(key).refusals.Refused(now, busyRetryDelay, maxSuspicion)
}

// RecordAcceptance records that a target started an answer to a request. Its next rejection
// counts as the first in a row.
func (b *Balancer) RecordAcceptance(key string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.state(key).refusals.Accepted()
}

// RecordSuccess records that a target answered a request without an error.
func (b *Balancer) RecordSuccess(key string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.state(key).errors = 0
}

// CountHealthy returns how many of the targets are neither suspect nor warned about.
func (b *Balancer) CountHealthy(targets []Target, now time.Time) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	n := 0
	for _, t := range targets {
		st, known := b.states[t.Key]
		if !known || !now.Before(st.suspectUntil) && !now.Before(st.warnedUntil) {
			n++
		}
	}
	return n
}

// Suspects returns the keys of the suspect targets.
func (b *Balancer) Suspects(now time.Time) []string {
	b.mu.Lock()
	defer b.mu.Unlock()
	var keys []string
	for key, st := range b.states {
		if now.Before(st.suspectUntil) {
			keys = append(keys, key)
		}
	}
	return keys
}

// Failing reports whether a target has failed since it last sent anything.
func (b *Balancer) Failing(key string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	st, ok := b.states[key]
	return ok && st.failures > 0
}

// TargetLoad is the number of requests that this process has in flight at a target.
type TargetLoad struct {
	Target   string
	Worker   workers.Worker
	Requests int
}

// InFlight returns the targets with requests in flight, sorted by key.
func (b *Balancer) InFlight() []TargetLoad {
	b.mu.Lock()
	defer b.mu.Unlock()
	var list []TargetLoad
	for key, st := range b.states {
		if st.inFlight > 0 {
			list = append(list, TargetLoad{Target: key, Worker: st.worker, Requests: st.inFlight})
		}
	}
	slices.SortFunc(list, func(a, b TargetLoad) int { return strings.Compare(a.Target, b.Target) })
	return list
}

// Keep drops all idle targets for which keep returns false.
func (b *Balancer) Keep(keep func(key string) bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for key, st := range b.states {
		if st.inFlight == 0 && !keep(key) {
			delete(b.states, key)
		}
	}
}

func contains(list []string, wanted string) bool {
	for _, s := range list {
		if s == wanted {
			return true
		}
	}
	return false
}
