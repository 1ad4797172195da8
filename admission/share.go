package admission

import "time"

// Constants of a daemon's share of the capacity of a model's groups, see
// docs/design/overload.md.
const (
	// bucketSize is how many average requests a share saves up. It admits random bursts;
	// a surge brings no more than that before the share is enforced.
	bucketSize = 6.0
	// initialTokens is how many average requests a share admits when its enforcement
	// starts.
	initialTokens = 2.0
	// workWeight is the weight of the newest request in the average work.
	workWeight = 0.05
	// targetDelay is the time for which requests should wait for a first event, as a
	// fraction of their goal. It is about the delay without queues.
	targetDelay = 0.5
	// drainSeconds is the time in which the part of a queue beyond the target should drain.
	drainSeconds = 0.2
	// minRefill and maxRefill bound the fraction of the share that is admitted to reach
	// the target. With almost no requests waiting it exceeds 1, since the times of the
	// runtime are averages.
	minRefill = 0.1
	maxRefill = 1.6
	// minWaiting and minQueueDelay bound the waiting for first events without enforcement,
	// whatever the first events show. The share is enforced if one daemon's waiting
	// requests have the work of more than minWaiting average ones, and the delay of the
	// groups' queues exceeds minQueueDelay goals. The first events of a daemon that gets
	// one request a second for a model show a queue of two seconds too late.
	minWaiting    = 4.5
	minQueueDelay = 2.0
	// maxOverdue is how many requests may be overdue before these two bounds apply:
	// the requests of a burst wait too, and one overdue request may be at a dead group.
	maxOverdue = 1
	// releaseLoad is the offered load of all clients, as a fraction of what the groups can
	// do by the times of the runtime, below which the share is no longer enforced once
	// nothing was late for releaseDelay. Groups do about a seventh more work than these
	// times predict.
	releaseLoad  = 1.05
	releaseDelay = 1500 * time.Millisecond
	// minRate keeps rates above 0, in seconds of one group a second.
	minRate = 0.001
)

// Unknown stands for an unknown rate or load, which limits nothing.
const Unknown = -1

// share is one daemon's share of the capacity of a model's groups: a token bucket
// (Turner, 1986) whose unit is a second of one group. It isn't enforced while first
// events are in time. Once they are late, requests beyond the share are refused at once,
// until the load fits again. Unlike a limit on the requests in flight it is correct at
// once, during a surge and after it, however few requests a daemon gets.
//
// All daemons choose the requests to refuse alike: the fewer tokens are left, the lower a
// request's rank must be. A client that retries at another daemon would be late by then,
// and doesn't take the place of one that can still be in time.
type share struct {
	enforced bool
	// lastLate is when first events were last found late.
	lastLate   time.Time
	tokens     float64
	refilledAt time.Time
	// avgWork is the average work of a request, in seconds of one group.
	avgWork float64
	// waitingWork is the work of the daemon's requests without a first event. Divided by
	// the daemon's rate it is the present delay of the groups' queues (Little, 1961); a
	// first event shows their delay when its request was sent.
	waitingWork time.Duration
	// overdue is how many requests have waited for a first event for longer than their
	// goal.
	overdue int
	// refill is the fraction of the share that was admitted last, and queueDelay the last
	// delay of the groups' queues in seconds.
	refill, queueDelay float64
}

// recordLate records that first events are late: from now on the share is enforced.
func (s *share) recordLate(now time.Time) {
	s.lastLate = now
	if s.enforced {
		return
	}
	s.enforced = true
	s.refilledAt = now
	s.tokens = initialTokens * s.avgWork
}

// take takes a request's work from the share, and reports whether enough was left.
func (s *share) take(e Request) bool {
	work := e.Work.Seconds()
	s.observe(e, work)
	if !s.enforced {
		return true
	}
	s.addTokens(e)
	if s.loadFits(e) {
		s.enforced = false
		return true
	}
	// A large request needs no more tokens than an average one; otherwise only small ones
	// would find enough.
	required := e.Rank*(bucketSize-1)*s.avgWork + min(work, s.avgWork)
	if s.tokens < required {
		return false
	}
	s.tokens -= work
	return true
}

// observe updates the averages with a new request.
func (s *share) observe(e Request, work float64) {
	if s.avgWork == 0 {
		s.avgWork = work
	}
	s.avgWork += workWeight * (work - s.avgWork)
	s.queueDelay = s.waitingWork.Seconds() / max(e.Rate, minRate)
	manyWaiting := s.overdue > maxOverdue && s.waitingWork.Seconds() > minWaiting*s.avgWork
	if manyWaiting && s.queueDelay > minQueueDelay*e.Goal.Seconds() {
		s.recordLate(e.At)
	}
}

// loadFits reports whether the load fits into the share again: the bucket is full, or the
// load of all clients is within the capacity of the groups and nothing is late.
func (s *share) loadFits(e Request) bool {
	if s.tokens >= bucketSize*s.avgWork {
		return true
	}
	return e.Load != Unknown && e.Load < releaseLoad && e.At.Sub(s.lastLate) > releaseDelay
}

// addTokens refills the bucket for the time since the last request. It adds less than the
// share while queues are long, so that they drain.
func (s *share) addTokens(e Request) {
	elapsed := max(e.At.Sub(s.refilledAt), 0).Seconds()
	s.refilledAt = e.At
	excess := s.queueDelay - targetDelay*e.Goal.Seconds()
	s.refill = min(max(1-excess/drainSeconds, minRefill), maxRefill)
	s.tokens = min(s.tokens+elapsed*e.Rate*s.refill, bucketSize*s.avgWork)
}
