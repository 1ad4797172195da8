package admission

import "time"

// How a daemon holds to its share of what the groups of a model can do. The figures are
// from simulated groups (surge_test.go) and paired plays of surges and of other days, see
// docs/design/overload.md.
const (
	// shareDepth is how many usual requests a share saves up. Those that come together by
	// chance go in; a surge before the share binds brings no more than that.
	shareDepth = 6.0
	// startDepth is how many usual requests a share lets in as it begins to bind.
	startDepth = 2.0
	// usualWeight is how much the newest request counts in the usual work.
	usualWeight = 0.05
	// aimedDelay is the part of its goal for which requests should wait for a first event,
	// about what they do where nobody queues.
	aimedDelay = 0.5
	// drainTime is the time in which a queue that is longer is to run empty, in seconds.
	drainTime = 0.2
	// leastPart and mostPart bound how much of the share is let in for that. More than all
	// of it is let in where next to nobody waits: the runtime tells usual times.
	leastPart = 0.1
	mostPart  = 1.6
	// manyWaiting is how many usual requests of one daemon must wait for a first event for
	// longWait goals for the share to bind whatever first events tell. A daemon that gets
	// one request a second for a model hears of a queue of two seconds too late.
	manyWaiting = 4.5
	longWait    = 2.0
	// fewOverdue is how many of these may be overdue: requests that came together just now
	// wait too, and one overdue request may be at a dead group.
	fewOverdue = 1
	// fittingLoad is what all callers may ask of the groups, as a part of what they can do
	// by the runtime's times, for a share to bind no longer once nothing was late for
	// looseAfter. Groups do about a seventh more than these tell.
	fittingLoad = 1.05
	looseAfter  = 1500 * time.Millisecond
	// leastRate keeps rates above 0, in seconds of one group a second.
	leastRate = 0.001
)

// Unknown stands for a figure that isn't known, which bounds nothing.
const Unknown = -1

// share is one daemon's part of what the groups of a model can do, as a token bucket
// (Turner, 1986) whose unit is a second of one group. It binds nobody while first events
// are in time. Once they are late, requests beyond it are refused at once, until what comes
// fits into it again. Unlike a bound on the requests under way it is right from its first
// moment, in a surge and after it, however few requests a daemon sees.
//
// Which requests are refused is decided alike by all daemons: the less of the share is
// saved up, the lower a request's rank must be. A caller who comes back to another daemon
// would be late by then, and doesn't take the place of one who can still be in time.
//
// Shares raised the part of all worth that is earned on a day with a surge of 2.5 times the
// traffic for 8 of 34 s by 0.12 and 0.15 at 90 daemons and by 0.05 at 32, and on one with a
// third of the groups closed for 10 s by 0.01 and 0.04: paired plays with and without, two
// seeds each.
type share struct {
	binds bool
	// late is when something last told that first events are late.
	late   time.Time
	tokens float64
	filled time.Time
	// usual is the average work of a request, in seconds of one group.
	usual float64
	// waiting is the work of the daemon's requests without a first event. Divided by the
	// daemon's rate it is how long the groups' queues are now (Little, 1961); a first event
	// tells how long they were when its request was sent.
	waiting time.Duration
	// overdue is how many of these have waited for longer than their goal.
	overdue int
	// part is which part of the share was let in last, and queue how long the queues were.
	part, queue float64
}

// noteLate notes that first events are late: from now on the share binds.
func (s *share) noteLate(now time.Time) {
	s.late = now
	if s.binds {
		return
	}
	s.binds = true
	s.filled = now
	s.tokens = startDepth * s.usual
}

// take takes a request's work out of the share, and tells whether there was enough left.
func (s *share) take(e Entry) bool {
	work := e.Work.Seconds()
	s.note(e, work)
	if !s.binds {
		return true
	}
	s.refill(e)
	if s.fits(e) {
		s.binds = false
		return true
	}
	// A large request needs no more saved up than a usual one, or only small ones would
	// find enough.
	needed := e.Rank*(shareDepth-1)*s.usual + min(work, s.usual)
	if s.tokens < needed {
		return false
	}
	s.tokens -= work
	return true
}

// note takes in that a request of some work has come.
func (s *share) note(e Entry, work float64) {
	if s.usual == 0 {
		s.usual = work
	}
	s.usual += usualWeight * (work - s.usual)
	s.queue = s.waiting.Seconds() / max(e.Rate, leastRate)
	many := s.overdue > fewOverdue && s.waiting.Seconds() > manyWaiting*s.usual
	if many && s.queue > longWait*e.Goal.Seconds() {
		s.noteLate(e.At)
	}
}

// fits tells whether what comes fits into the share again: it is saved up, or all callers
// together ask for no more than the groups can do and nothing is late.
func (s *share) fits(e Entry) bool {
	if s.tokens >= shareDepth*s.usual {
		return true
	}
	return e.Load != Unknown && e.Load < fittingLoad && e.At.Sub(s.late) > looseAfter
}

// refill adds what has been saved up since the last request: less than the share while
// queues are long, so that they run empty.
func (s *share) refill(e Entry) {
	passed := max(e.At.Sub(s.filled), 0).Seconds()
	s.filled = e.At
	excess := s.queue - aimedDelay*e.Goal.Seconds()
	s.part = min(max(1-excess/drainTime, leastPart), mostPart)
	s.tokens = min(s.tokens+passed*e.Rate*s.part, shareDepth*s.usual)
}
