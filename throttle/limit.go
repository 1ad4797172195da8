package throttle

import (
	"time"

	"github.com/pointpass/pointpass/quota"
	"github.com/pointpass/pointpass/workers"
)

// What the platform lets a worker get that names a limit: within any limitWindow so many
// times what the limit allows, and so many requests more.
const (
	limitWindow  = 4 * time.Second
	limitOverrun = 1.5
	limitSlack   = 5
)

const (
	// limitCaution is the part of that bound which daemons use. The limit itself is kept on
	// average; the rest of the bound is for daemons that send at the same time.
	limitCaution = 0.95
	// mostLimited bounds what is sent in a window where a limit is too high to bind.
	mostLimited = 1e6
	// longestPeriod bounds how long a daemon waits between two requests to a worker with a
	// very low limit: an answer is what shows that the limit has ended.
	longestPeriod = time.Minute
	// rosterMargin is above limitWindow and quota.MostSendDelay.
	rosterMargin = limitWindow + time.Second
)

// boundOf returns what all daemons together may send a worker that takes rate requests a
// second. Each daemon gets one request of a window where there are more of them than needed:
// so all of up to ten daemons have a part of one request a second.
func boundOf(rate float64) quota.Bound {
	most := limitCaution * (limitOverrun*rate*limitWindow.Seconds() + limitSlack)
	return quota.Bound{
		Most:    int(min(most, mostLimited)),
		Within:  limitWindow + quota.MostSendDelay,
		Rate:    rate,
		Each:    1,
		Longest: longestPeriod,
		Paced:   true,
	}
}

// judgeLimit says whether this daemon has room for one more request to a worker with a
// limit. The caller holds the lock.
func (t *Throttle) judgeLimit(w workers.Worker, rate float64, now time.Time) Verdict {
	rank, count, active := t.roster.Place(w.ID, now)
	if !active {
		return Verdict{Reason: Limited, Weight: 1}
	}
	part, has := boundOf(rate).Part(rank, count)
	if !has {
		return Verdict{Reason: Limited, Weight: 1}
	}
	next := t.ledger.Next(w.ID, part, now)
	if next.After(now) {
		return Verdict{Reason: Limited, Until: next, Weight: part.Weight}
	}
	return Verdict{Weight: part.Weight}
}
