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

// Target is where a request can be sent: a worker alone, or the head of a group.
type Target struct {
	// Key names the target in the balancer and in logs.
	Key    string
	Worker workers.Worker
	// Pace multiplies the time that work takes there.
	Pace float64
	// Weight is what a request under way there counts, 1 but for a cold worker: those
	// few that may send there do so for all others.
	Weight float64
}

// Targets returns where a service's requests for a model may go now. Groups
// count only if all members were seen ready in this epoch and none is leaving.
// The head must be listed; a member whose entry is gone may only be cut off from
// the store, and a group that it died in is found by its silence.
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
			targets = append(targets, Target{Key: g.ID.Name, Worker: head, Pace: wanted.Pace, Weight: 1})
		}
	}
	return targets
}

func plainTargets(view *workers.View, service string) []Target {
	var targets []Target
	for _, w := range view.Of(service) {
		if !w.Draining {
			targets = append(targets, Target{Key: w.ID, Worker: w, Pace: 1, Weight: 1})
		}
	}
	return targets
}

// targetState is what this process knows of a target from its own requests.
type targetState struct {
	inFlight int
	// worker is the one that requests were last sent to.
	worker workers.Worker
	// lastSign is when the target last sent anything to any of our requests.
	lastSign time.Time
	// suspectUntil is until when the target gets no new requests.
	suspectUntil time.Time
	// warnedUntil is the same on the word of other processes.
	warnedUntil time.Time
	failures    int
	// refusals leave the target alone that turned a request away.
	refusals retry.Backoff
	// errors counts the answers in a row that told of a failure.
	errors int
	// gap is the usual time between events of one stream, first that to a first
	// event; both are moving averages.
	gap, first time.Duration
}

// renew forgets what an earlier start of the worker failed at. Its requests under way still
// end, each with a count.
func (l *targetState) renew() {
	*l = targetState{inFlight: l.inFlight, gap: usualGap, first: usualFirst}
}

// Averages before anything was measured, and how much one measure counts.
const (
	usualGap   = 60 * time.Millisecond
	usualFirst = 200 * time.Millisecond
	newWeight  = 8 // one eighth
)

// How long a target that failed gets no new requests: doubled with each failure
// in a row.
const (
	firstSuspicion = time.Second
	mostSuspicion  = 4 * time.Second
	// mostErrorSuspicion is the same for targets that answer with failures.
	mostErrorSuspicion = 8 * time.Second
)

// Balancer spreads requests over targets by what this process has under way at
// each. It is safe for use by many goroutines.
type Balancer struct {
	mu    sync.Mutex
	hall  string
	loads map[string]*targetState
}

// NewBalancer returns a balancer for a process in a hall.
func NewBalancer(hall string) *Balancer {
	return &Balancer{hall: hall, loads: map[string]*targetState{}}
}

// Choose returns the target with the least work among those that aren't excluded,
// and counts a request there. Suspect targets, and those that turned a request away just now,
// are chosen only where all are: trying one is better than refusing. Among equals it prefers the own
// hall, unless anywhere is set. It returns false if there is none.
func (b *Balancer) Choose(targets []Target, excluded []string, anywhere bool, now time.Time) (Target, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	best := -1
	var bestScore float64
	for i, t := range targets {
		if contains(excluded, t.Key) {
			continue
		}
		score := b.score(t, anywhere, now)
		if best < 0 || score < bestScore {
			best = i
			bestScore = score
		}
	}
	if best < 0 {
		return Target{}, false
	}
	l := b.of(targets[best].Key)
	if workers.Restarted(l.worker, targets[best].Worker) {
		l.renew()
	}
	l.inFlight++
	l.worker = targets[best].Worker
	return targets[best], true
}

// farPenalty is what a target outside the hall costs, in requests under way, and
// tieSpread how far chance may move a score, so that processes that know the
// same don't all choose the same.
const (
	farPenalty = 0.3
	tieSpread  = 0.25
	// suspectPenalty is above what any number of requests under way makes.
	suspectPenalty = 1e6
)

func (b *Balancer) score(t Target, anywhere bool, now time.Time) float64 {
	score := tieSpread * rand.Float64()
	if t.Worker.Hall != b.hall && !anywhere {
		score += farPenalty
	}
	l, known := b.loads[t.Key]
	if !known {
		return t.Weight * score
	}
	score = t.Weight * (score + float64(l.inFlight))
	if workers.Restarted(l.worker, t.Worker) {
		return score // what it failed at was its earlier start's
	}
	if now.Before(l.suspectUntil) || now.Before(l.warnedUntil) || l.refusals.Active(now) {
		score += suspectPenalty
	}
	return score
}

func (b *Balancer) of(key string) *targetState {
	l, ok := b.loads[key]
	if !ok {
		l = &targetState{gap: usualGap, first: usualFirst}
		b.loads[key] = l
	}
	return l
}

// Done ends the count of a request at a target.
func (b *Balancer) Done(key string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.of(key).inFlight--
}

// Sign notes that a target has sent something to a request, some time after the
// last sign, or after the request was sent if it is the first.
func (b *Balancer) Sign(key string, now time.Time, after time.Duration, first bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	l := b.of(key)
	l.lastSign = now
	l.failures = 0
	l.errors = 0
	if first {
		l.first += (after - l.first) / newWeight
		return
	}
	l.gap += (after - l.gap) / newWeight
}

// Bounds of how long a target may be silent before it counts as stalled. Within
// them that is a multiple of what is usual there, so that a slow target that
// works on isn't given up. The upper ones are wide: where all groups have too much to
// do, lower ones (450 ms and 1.2 s) moved streams from one slow group to the next,
// and each move has a prompt read again. The wider bounds are worth 0.011 of all
// answers on the busiest day known, when half of the groups queue, and 0.003 on others.
const (
	leastSilence = 300 * time.Millisecond
	mostSilence  = 1200 * time.Millisecond
	gapMultiple  = 4
	leastStart   = 900 * time.Millisecond
	mostStart    = 3000 * time.Millisecond
	startFactor  = 5 // halves: two and a half times
)

// Patience returns how long a target may send nothing to anybody: before a
// request's first event, and between its events.
func (b *Balancer) Patience(key string) (start, between time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	l := b.of(key)
	start = min(max(startFactor*l.first/2, leastStart), mostStart)
	between = min(max(gapMultiple*l.gap, leastSilence), mostSilence)
	return start, between
}

// Silence returns for how long a target has sent nothing since a moment.
func (b *Balancer) Silence(key string, since, now time.Time) time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	if l := b.of(key); l.lastSign.After(since) {
		return now.Sub(l.lastSign)
	}
	return now.Sub(since)
}

// Fail notes that a target failed at something that a sound one does. It gets no
// new requests for a while.
func (b *Balancer) Fail(key string, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	l := b.of(key)
	if now.Before(l.suspectUntil) {
		return // requests that were under way at the same time fail together
	}
	l.suspectUntil = now.Add(min(firstSuspicion<<min(l.failures, 4), mostSuspicion))
	l.failures++
}

// Warn has a target that other processes found failing get no new requests for d.
func (b *Balancer) Warn(key string, now time.Time, d time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.of(key).warnedUntil = now.Add(d)
}

// Alive tells whether a target has sent something just now.
func (b *Balancer) Alive(key string, now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return now.Sub(b.of(key).lastSign) < freshSign
}

// TakeBackWarning has a target chosen again that others heard from after all.
func (b *Balancer) TakeBackWarning(key string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if l, ok := b.loads[key]; ok {
		l.warnedUntil = time.Time{}
	}
}

// Warned tells whether a target is left alone on the word of others.
func (b *Balancer) Warned(key string, now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	l, ok := b.loads[key]
	return ok && now.Before(l.warnedUntil)
}

// Error notes that a target answered a request with a failure. A few in a row make
// it suspect, as many as the service's own errors hardly make.
func (b *Balancer) Error(key string, inARow int, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	l := b.of(key)
	l.errors++
	if l.errors >= inARow && !now.Before(l.suspectUntil) {
		l.suspectUntil = now.Add(min(firstSuspicion<<min(l.errors-inARow+1, 4), mostErrorSuspicion))
	}
}

// Refused notes that a target turned a request away. It gets no new requests for as long as
// callers are told to wait, and longer with each refusal in a row.
func (b *Balancer) Refused(key string, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.of(key).refusals.Refused(now, fullRetry, mostSuspicion)
}

// Accepted notes that a target began an answer to a request, and so takes some.
func (b *Balancer) Accepted(key string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.of(key).refusals.Accepted()
}

// Answered notes that a target answered a request well.
func (b *Balancer) Answered(key string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.of(key).errors = 0
}

// Sound returns how many of some targets get new requests now.
func (b *Balancer) Sound(targets []Target, now time.Time) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	n := 0
	for _, t := range targets {
		l, known := b.loads[t.Key]
		if !known || !now.Before(l.suspectUntil) && !now.Before(l.warnedUntil) {
			n++
		}
	}
	return n
}

// Suspects returns the targets that get no new requests now.
func (b *Balancer) Suspects(now time.Time) []string {
	b.mu.Lock()
	defer b.mu.Unlock()
	var keys []string
	for key, l := range b.loads {
		if now.Before(l.suspectUntil) {
			keys = append(keys, key)
		}
	}
	return keys
}

// Failing tells whether a target has failed since it last sent anything.
func (b *Balancer) Failing(key string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	l, ok := b.loads[key]
	return ok && l.failures > 0
}

// UnderWay is what this process has under way at a target.
type UnderWay struct {
	Target   string
	Worker   workers.Worker
	Requests int
}

// UnderWay returns the targets with requests under way, in order of their names.
func (b *Balancer) UnderWay() []UnderWay {
	b.mu.Lock()
	defer b.mu.Unlock()
	var list []UnderWay
	for key, l := range b.loads {
		if l.inFlight > 0 {
			list = append(list, UnderWay{Target: key, Worker: l.worker, Requests: l.inFlight})
		}
	}
	slices.SortFunc(list, func(a, b UnderWay) int { return strings.Compare(a.Target, b.Target) })
	return list
}

// Keep forgets all idle targets but those that keep names.
func (b *Balancer) Keep(keep func(key string) bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for key, l := range b.loads {
		if l.inFlight == 0 && !keep(key) {
			delete(b.loads, key)
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
