package standin

import (
	"fmt"
	"time"
)

// Bounds of what a worker may get that names a limit.
const (
	// limitKnownWithin is how long after a worker first named its limit daemons keep to it.
	limitKnownWithin = 3 * time.Second
	// limitWindow is the span in which requests are counted, and limitOverrun and limitSlack
	// what may come in it: so many times what the limit allows, and so many more.
	limitWindow  = 4 * time.Second
	limitOverrun = 1.5
	limitSlack   = 5
)

// limit is what a worker takes in a second since it named that, and when it got requests.
type limit struct {
	rate     float64
	since    time.Time
	arrivals []time.Time
}

// setLimit notes that a worker names a limit from now on, or none if it is 0.
func (j *Judge) setLimit(id string, rate float64) {
	j.mu.Lock()
	defer j.mu.Unlock()
	delete(j.limits, id)
	if rate > 0 {
		j.limits[id] = &limit{rate: rate, since: time.Now()}
	}
}

// arrivesLimited judges a request that reaches a worker with a limit: LIMIT. All daemons
// count, so that callers have to ask each of them from the moment the limit is named.
func (j *Judge) arrivesLimited(id string) {
	j.mu.Lock()
	defer j.mu.Unlock()
	l, limited := j.limits[id]
	if !limited || time.Since(l.since) < limitKnownWithin {
		return
	}
	now := time.Now()
	l.arrivals = append(l.arrivals, now)
	n := 0
	for _, at := range l.arrivals {
		if now.Sub(at) <= limitWindow {
			n++
		}
	}
	if most := l.rate*limitWindow.Seconds()*limitOverrun + limitSlack; float64(n) > most {
		j.broken = append(j.broken, fmt.Sprintf("LIMIT: %s, which takes %v a second, got %d requests in %v, allowed %v", id, l.rate, n, limitWindow, most))
	}
}

// Limited returns for how long daemons have had to keep to a worker's limit, and how many
// requests it got since.
func (j *Judge) Limited(id string) (judged time.Duration, arrivals int) {
	j.mu.Lock()
	defer j.mu.Unlock()
	l, limited := j.limits[id]
	if !limited {
		return 0, 0
	}
	return time.Since(l.since) - limitKnownWithin, len(l.arrivals)
}
