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
	// mostKept bounds how many workers are remembered.
	mostKept = 16384
	// keepGone is how long a worker is remembered that has no entry: entries also go while
	// the store is down.
	keepGone = 10 * time.Minute
)

// Answer is an answer of a worker to a request of this daemon.
type Answer struct {
	Worker workers.Worker
	Ask    Ask
	// Sent is when the request was sent, At when the head of the answer arrived.
	Sent, At time.Time
}

// constraints are what a worker asked for that is in force.
type constraints struct {
	// limited tells that there is a limit, of rate requests a second.
	limited bool
	rate    float64
	// pausedUntil is until when the worker wants nothing.
	pausedUntil time.Time
	// leavingSince is when the worker first said that it leaves, the zero time if it hasn't.
	leavingSince time.Time
}

// state is what one start of a worker has asked for.
type state struct {
	constraints
	worker workers.Worker
	// since is when the limit in force was first named, and heard when it was last. Shown is
	// when an answer last showed whether there is a limit, here or at another daemon.
	since, heard, shown time.Time
	// unreadable is the header last logged that couldn't be read.
	unreadable string
	// last is when the worker last answered.
	last time.Time
}

// Book knows what workers asked for. It is safe for use by many goroutines.
type Book struct {
	log                                *log.Logger
	limits, pauses, leaves, unreadable *metrics.Counter

	mu     sync.RWMutex
	states map[string]*state
}

// NewBook returns an empty book.
func NewBook(set *metrics.Set, logger *log.Logger) *Book {
	b := &Book{
		log:        logger,
		limits:     set.NewCounter(`pointpass_worker_asks_total{what="limit"}`),
		pauses:     set.NewCounter(`pointpass_worker_asks_total{what="pause"}`),
		leaves:     set.NewCounter(`pointpass_worker_asks_total{what="leaving"}`),
		unreadable: set.NewCounter(`pointpass_worker_asks_total{what="unreadable"}`),
		states:     map[string]*state{},
	}
	set.NewGauge("pointpass_workers_limited", func() float64 { return float64(b.Limited()) })
	set.NewGauge("pointpass_workers_paused", func() float64 { return float64(b.paused(clock.Now())) })
	return b
}

// Heard takes in what an answer asks for, and tells whether it is the first to name a limit.
func (b *Book) Heard(a Answer) (limitBegan bool) {
	if !a.Ask.asks() && !b.knows(a.Worker.ID) {
		return false // nearly all answers
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.of(a.Worker)
	if s == nil {
		return false
	}
	s.last = a.At
	was := s.limited
	b.hearLimit(s, a)
	b.hearPause(s, a)
	b.hearLeaving(s, a)
	b.hearUnreadable(s, a)
	return s.limited && !was
}

// asked returns what a worker has asked for, the zero value if nothing.
func (b *Book) asked(w workers.Worker) constraints {
	b.mu.RLock()
	defer b.mu.RUnlock()
	s, known := b.states[w.ID]
	if !known || workers.Restarted(s.worker, w) {
		return constraints{}
	}
	return s.constraints
}

// verdict says whether a worker takes a request of this daemon, but for its limit. A refusal
// leaves nothing under way: without a mark of its own the worker would look the least busy of
// all, and get more requests the faster it refuses.
func (c constraints) verdict(now time.Time) Verdict {
	if !c.leavingSince.IsZero() {
		return Verdict{Reason: Leaving, Weight: 1}
	}
	if now.Before(c.pausedUntil) {
		return Verdict{Reason: Paused, Until: c.pausedUntil, Weight: 1}
	}
	return Verdict{Weight: 1}
}

func (b *Book) knows(id string) bool {
	b.mu.RLock()
	defer b.mu.RUnlock()
	return b.states[id] != nil
}

// of returns the state of a worker, nil if there is no room for it. A worker that has started
// again under its id has asked for nothing yet.
func (b *Book) of(w workers.Worker) *state {
	s, known := b.states[w.ID]
	if known && !workers.Restarted(s.worker, w) {
		return s
	}
	if !known && len(b.states) >= mostKept {
		return nil
	}
	s = &state{worker: w}
	b.states[w.ID] = s
	return s
}

// hearLimit takes in whether a limit is named. An answer without one ends the limit only if
// it is a success to a request sent after the limit was heard: others may have been under
// way before, or come from a part of the worker that names nothing.
func (b *Book) hearLimit(s *state, a Answer) {
	switch {
	case a.Ask.Limited:
		b.limits.Inc()
		s.shown = a.At
		b.setLimit(s, a.Ask.Rate, a.At, "answer")
	case s.limited && !a.Ask.Failed && a.Ask.Unreadable == "" && a.Sent.After(s.heard):
		s.shown = a.At
		b.endLimit(s, a.At, "answer")
	}
}

// setLimit puts a limit in force that was named at a time.
func (b *Book) setLimit(s *state, rate float64, at time.Time, by string) {
	if !s.limited {
		s.since = at
	}
	if !s.limited || s.rate != rate {
		b.line(s, "worker_limited").Float64("rate", rate).Bool("first", !s.limited).Str("by", by).Msg("")
	}
	s.limited = true
	s.rate = rate
	s.heard = at
}

// endLimit ends a limit, if there is one.
func (b *Book) endLimit(s *state, at time.Time, by string) {
	if !s.limited {
		return
	}
	b.line(s, "worker_unlimited").Float64("rate", s.rate).Dur("after", at.Sub(s.since)).Str("by", by).Msg("")
	s.limited = false
}

func (b *Book) hearPause(s *state, a Answer) {
	if a.Ask.Pause <= 0 {
		return
	}
	b.pauses.Inc()
	if !a.At.Before(s.pausedUntil) {
		b.line(s, "worker_paused").Dur("pause", a.Ask.Pause).Msg("")
	}
	if until := a.At.Add(a.Ask.Pause); until.After(s.pausedUntil) {
		s.pausedUntil = until
	}
}

func (b *Book) hearLeaving(s *state, a Answer) {
	if !a.Ask.Leaving {
		return
	}
	b.leaves.Inc()
	if s.leavingSince.IsZero() {
		s.leavingSince = a.At
		b.line(s, "worker_leaving").Bool("entry_draining", s.worker.Draining).Msg("")
	}
}

func (b *Book) hearUnreadable(s *state, a Answer) {
	if a.Ask.Unreadable == "" {
		return
	}
	b.unreadable.Inc()
	if s.unreadable != a.Ask.Unreadable {
		s.unreadable = a.Ask.Unreadable
		b.line(s, "worker_ask_unreadable").Str("header", a.Ask.Unreadable).Msg("it is left out")
	}
}

func (b *Book) line(s *state, event string) *log.Entry {
	return b.log.Info().Str("event", event).Str("worker", s.worker.ID).Str("service", s.worker.Service).Str("hall", s.worker.Hall)
}

// Limited returns how many workers have a limit in force.
func (b *Book) Limited() int {
	b.mu.RLock()
	defer b.mu.RUnlock()
	n := 0
	for _, s := range b.states {
		if s.limited {
			n++
		}
	}
	return n
}

// paused returns how many workers want nothing of this daemon for a while.
func (b *Book) paused(now time.Time) int {
	b.mu.RLock()
	defer b.mu.RUnlock()
	n := 0
	for _, s := range b.states {
		if now.Before(s.pausedUntil) {
			n++
		}
	}
	return n
}

// Keep forgets the workers that haven't answered for long and that listed doesn't name.
func (b *Book) Keep(listed func(id string) bool, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for id, s := range b.states {
		if !listed(id) && now.Sub(s.last) > keepGone {
			delete(b.states, id)
		}
	}
}

// Asking is what a worker asks for at present.
type Asking struct {
	Worker, Service, Hall string
	// Rate is the limit in requests a second, in force since LimitedSince; the zero time
	// stands for none.
	Rate         float64
	LimitedSince time.Time
	// PausedUntil is until when the worker wants nothing, LeavingSince when it said that it
	// leaves; zero if it doesn't.
	PausedUntil, LeavingSince time.Time
}

// Asking returns the workers that ask for something, in order of their ids.
func (b *Book) Asking(now time.Time) []Asking {
	b.mu.RLock()
	defer b.mu.RUnlock()
	var list []Asking
	for id, s := range b.states {
		a := Asking{Worker: id, Service: s.worker.Service, Hall: s.worker.Hall, LeavingSince: s.leavingSince}
		if s.limited {
			a.Rate = s.rate
			a.LimitedSince = s.since
		}
		if now.Before(s.pausedUntil) {
			a.PausedUntil = s.pausedUntil
		}
		if s.limited || !a.PausedUntil.IsZero() || !a.LeavingSince.IsZero() {
			list = append(list, a)
		}
	}
	slices.SortFunc(list, func(a, b Asking) int { return cmp.Compare(a.Worker, b.Worker) })
	return list
}
