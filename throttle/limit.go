package throttle

import (
	"time"

	"github.com/pointpass/pointpass/common/units"
	"github.com/pointpass/pointpass/quota"
	"github.com/pointpass/pointpass/workers"
)

// The platform allows a worker with a limit to get, within any limitWindow, limitOverrun
// times the requests that its limit allows in that time, plus limitSlack.
const (
	limitWindow  = 4 * time.Second
	limitOverrun = 1.5
	limitSlack   = 5
)

const (
	// limitUtilization is the fraction of that bound which daemons use. On average they
	// keep to the limit itself; the rest of the bound is for daemons that send at the same
	// time.
	limitUtilization = 0.95
	// maxWindowRequests bounds the requests in a window if the limit is too high to matter.
	maxWindowRequests = 1e6
	// maxInterval bounds the interval between two requests of a daemon to a worker with a
	// very low limit: only a response shows that the limit has ended.
	maxInterval = time.Minute
	// rosterMargin exceeds limitWindow plus quota.MaxSendDelay.
	rosterMargin = limitWindow + time.Second
)

// boundOf returns what all daemons together may send to a worker that takes rate requests
// a second. If there are more daemons than needed, each gets one request of a window: so
// each of up to ten daemons has a part of a limit of one request a second.
func boundOf(rate float64) quota.Bound {
	maxRequests := limitUtilization * (limitOverrun*rate*limitWindow.Seconds() + limitSlack)
	return quota.Bound{
		MaxRequests: units.Count(min(maxRequests, maxWindowRequests)),
		Within:      limitWindow + quota.MaxSendDelay,
		Rate:        rate,
		Each:        1,
		MaxWindow:   maxInterval,
		Paced:       true,
	}
}

// checkLimit returns whether this daemon may send one more request to a worker with a
// limit. The caller holds the lock.
func (t *Throttle) checkLimit(w workers.Worker, rate float64, now time.Time) Verdict {
	rank, count, active := t.roster.Place(w.ID, now)
	if !active {
		return Verdict{Reason: Limited, Weight: 1}
	}
	part, ok := boundOf(rate).Part(rank, count)
	if !ok {
		return Verdict{Reason: Limited, Weight: 1}
	}
	next := t.ledger.Next(w.ID, part, now)
	if next.After(now) {
		return Verdict{Reason: Limited, Until: next, Weight: part.Weight}
	}
	return Verdict{Weight: part.Weight}
}
