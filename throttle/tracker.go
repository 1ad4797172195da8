package throttle

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/phuslu/log"

	"github.com/pointpass/pointpass/common/clock"
	"github.com/pointpass/pointpass/workers"
)

const (
	// maxWorkers bounds how many workers are tracked.
	maxWorkers = 16384
	// goneRetention is how long a worker without an entry is tracked: entries also vanish
	// while the store is down.
	goneRetention = 10 * time.Minute
)

// Answer is a response of a worker to a request of this daemon.
type Answer struct {
	Worker       workers.Worker
	Backpressure Backpressure
	// Sent is when the request was sent, At when the head of the response arrived.
	Sent, At time.Time
}

// constraints are the constraints of a worker that are in force.
type constraints struct {
	// limited reports whether there is a limit, of rate requests a second.
	limited bool
	rate    float64
	// pausedUntil is when the worker takes requests again.
	pausedUntil time.Time
	// leavingSince is when the worker first said that it is leaving, or zero.
	leavingSince time.Time
}

// state is the state of one start of a worker.
type state struct {
	constraints
	worker workers.Worker
	// limitedSince is when the limit in force was first seen, and limitSeen when it was
	// last. limitUpdated is when a response last showed whether there is a limit, here or at
	// another daemon.
	limitedSince, limitSeen, limitUpdated time.Time
	// unreadable is the unreadable header that was last logged.
	unreadable string
	// lastResponse is when the worker last responded.
	lastResponse time.Time
}

// Tracker tracks the constraints of workers. It is safe for concurrent use.
type Tracker struct {
	log                                *log.Logger
	limits, pauses, leaves, unreadable *metrics.Counter

	mu     sync.RWMutex
	states map[string]*state
}

// NewTracker returns an empty tracker.
func NewTracker(set *metrics.Set, logger *log.Logger) *Tracker {
	tr := &Tracker{
		log:        logger,
		limits:     set.NewCounter(`pointpass_worker_asks_total{what="limit"}`),
		pauses:     set.NewCounter(`pointpass_worker_asks_total{what="pause"}`),
		leaves:     set.NewCounter(`pointpass_worker_asks_total{what="leaving"}`),
		unreadable: set.NewCounter(`pointpass_worker_asks_total{what="unreadable"}`),
		states:     map[string]*state{},
	}
	set.NewGauge("pointpass_workers_limited", func() float64 { return float64(tr.Limited()) })
	set.NewGauge("pointpass_workers_paused", func() float64 { return float64(tr.paused(clock.Now())) })
	return tr
}

// Observe applies what a response asks for, and reports whether it is the first to set a
// limit.
func (tr *Tracker) Observe(a Answer) (limitStarted bool) {
	if !a.Backpressure.isSet() && !tr.tracks(a.Worker.ID) {
		return false // nearly all responses
	}
	tr.mu.Lock()
	defer tr.mu.Unlock()
	s := tr.stateOf(a.Worker)
	if s == nil {
		return false
	}
	s.lastResponse = a.At
	wasLimited := s.limited
	tr.applyLimit(s, a)
	tr.applyPause(s, a)
	tr.applyLeaving(s, a)
	tr.reportUnreadable(s, a)
	return s.limited && !wasLimited
}

// constraintsOf returns the constraints of a worker, or the zero value if it has none.
func (tr *Tracker) constraintsOf(w workers.Worker) constraints {
	tr.mu.RLock()
	defer tr.mu.RUnlock()
	s, found := tr.states[w.ID]
	if !found || workers.Restarted(s.worker, w) {
		return constraints{}
	}
	return s.constraints
}

// verdict returns whether a worker may get a request of this daemon, regardless of its
// limit. A worker that rejects requests has few in flight: without these constraints it
// would look the least busy of all, and get more requests the faster it rejects them.
func (c constraints) verdict(now time.Time) Verdict {
	if !c.leavingSince.IsZero() {
		return Verdict{Reason: Leaving, Weight: 1}
	}
	if now.Before(c.pausedUntil) {
		return Verdict{Reason: Paused, Until: c.pausedUntil, Weight: 1}
	}
	return Verdict{Weight: 1}
}

func (tr *Tracker) tracks(id string) bool {
	tr.mu.RLock()
	defer tr.mu.RUnlock()
	return tr.states[id] != nil
}

// stateOf returns the state of a worker, nil if there is no room for it. A worker that has
// restarted under its id starts without constraints.
func (tr *Tracker) stateOf(w workers.Worker) *state {
	s, found := tr.states[w.ID]
	if found && !workers.Restarted(s.worker, w) {
		return s
	}
	if !found && len(tr.states) >= maxWorkers {
		return nil
	}
	s = &state{worker: w}
	tr.states[w.ID] = s
	return s
}

// applyLimit sets or ends the limit of a worker. A response without a limit ends it only if
// it is a success to a request sent after the limit was seen: other requests may have been
// in flight before, or served by a part of the worker that never sets a limit.
func (tr *Tracker) applyLimit(s *state, a Answer) {
	switch {
	case a.Backpressure.Limited:
		tr.limits.Inc()
		s.limitUpdated = a.At
		tr.setLimit(s, a.Backpressure.Rate, a.At, "answer")
	case s.limited && !a.Backpressure.Failed && a.Backpressure.Unreadable == "" && a.Sent.After(s.limitSeen):
		s.limitUpdated = a.At
		tr.endLimit(s, a.At, "answer")
	}
}

// setLimit puts a limit in force that was seen at the given time.
func (tr *Tracker) setLimit(s *state, rate float64, at time.Time, by string) {
	if !s.limited {
		s.limitedSince = at
	}
	if !s.limited || s.rate != rate {
		tr.logEvent(s, "worker_limited").Float64("rate", rate).Bool("first", !s.limited).Str("by", by).Msg("")
	}
	s.limited = true
	s.rate = rate
	s.limitSeen = at
}

// endLimit ends the limit, if there is one.
func (tr *Tracker) endLimit(s *state, at time.Time, by string) {
	if !s.limited {
		return
	}
	tr.logEvent(s, "worker_unlimited").Float64("rate", s.rate).Dur("after", at.Sub(s.limitedSince)).Str("by", by).Msg("")
	s.limited = false
}

func (tr *Tracker) applyPause(s *state, a Answer) {
	if a.Backpressure.Pause <= 0 {
		return
	}
	tr.pauses.Inc()
	if !a.At.Before(s.pausedUntil) {
		tr.logEvent(s, "worker_paused").Dur("pause", a.Backpressure.Pause).Msg("")
	}
	if until := a.At.Add(a.Backpressure.Pause); until.After(s.pausedUntil) {
		s.pausedUntil = until
	}
}

func (tr *Tracker) applyLeaving(s *state, a Answer) {
	if !a.Backpressure.Leaving {
		return
	}
	tr.leaves.Inc()
	if s.leavingSince.IsZero() {
		s.leavingSince = a.At
		tr.logEvent(s, "worker_leaving").Bool("entry_draining", s.worker.Draining).Msg("")
	}
}

func (tr *Tracker) reportUnreadable(s *state, a Answer) {
	if a.Backpressure.Unreadable == "" {
		return
	}
	tr.unreadable.Inc()
	if s.unreadable != a.Backpressure.Unreadable {
		s.unreadable = a.Backpressure.Unreadable
		tr.logEvent(s, "worker_ask_unreadable").Str("header", a.Backpressure.Unreadable).Msg("it is left out")
	}
}

func (tr *Tracker) logEvent(s *state, event string) *log.Entry {
	return tr.log.Info().Str("event", event).Str("worker", s.worker.ID).Str("service", s.worker.Service).Str("hall", s.worker.Hall)
}

// Limited returns how many workers have a limit in force.
func (tr *Tracker) Limited() int {
	tr.mu.RLock()
	defer tr.mu.RUnlock()
	n := 0
	for _, s := range tr.states {
		if s.limited {
			n++
		}
	}
	return n
}

// paused returns how many workers have a pause in force.
func (tr *Tracker) paused(now time.Time) int {
	tr.mu.RLock()
	defer tr.mu.RUnlock()
	n := 0
	for _, s := range tr.states {
		if now.Before(s.pausedUntil) {
			n++
		}
	}
	return n
}

// Prune drops the workers that listed doesn't include and that haven't responded for
// goneRetention.
func (tr *Tracker) Prune(listed func(id string) bool, now time.Time) {
	tr.mu.Lock()
	defer tr.mu.Unlock()
	for id, s := range tr.states {
		if !listed(id) && now.Sub(s.lastResponse) > goneRetention {
			delete(tr.states, id)
		}
	}
}

// WorkerConstraints describes the constraints of a worker that are in force.
type WorkerConstraints struct {
	Worker, Service, Hall string
	// Rate is the limit in requests a second, in force since LimitedSince, which is zero if
	// there is no limit.
	Rate         float64
	LimitedSince time.Time
	// PausedUntil is when a pause ends, and LeavingSince when the worker said that it is
	// leaving; each is zero if that doesn't apply.
	PausedUntil, LeavingSince time.Time
}

// Constrained returns the workers that have constraints, in order of their ids.
func (tr *Tracker) Constrained(now time.Time) []WorkerConstraints {
	tr.mu.RLock()
	defer tr.mu.RUnlock()
	var list []WorkerConstraints
	for id, s := range tr.states {
		a := WorkerConstraints{Worker: id, Service: s.worker.Service, Hall: s.worker.Hall, LeavingSince: s.leavingSince}
		if s.limited {
			a.Rate = s.rate
			a.LimitedSince = s.limitedSince
		}
		if now.Before(s.pausedUntil) {
			a.PausedUntil = s.pausedUntil
		}
		if s.limited || !a.PausedUntil.IsZero() || !a.LeavingSince.IsZero() {
			list = append(list, a)
		}
	}
	slices.SortFunc(list, func(a, b WorkerConstraints) int { return cmp.Compare(a.Worker, b.Worker) })
	return list
}
