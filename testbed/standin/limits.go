package standin

import (
	"fmt"
	"time"
)

// Bounds of the requests that a worker with a limit may receive.
const (
	// limitGrace is the time after a worker sets a limit until which daemons need not respect
	// it.
	limitGrace = 3 * time.Second
	// limitWindow is the interval in which requests are counted. A worker may receive
	// limitOverrun times what its limit allows in it, plus limitSlack.
	limitWindow  = 4 * time.Second
	limitOverrun = 1.5
	limitSlack   = 5
)

// limit holds the requests per second that a worker accepts, when it set the limit, and when it
// received requests after the grace period.
type limit struct {
	rate     float64
	since    time.Time
	arrivals []time.Time
}

// setLimit records that a worker sets a limit from now on, or removes it if rate is 0.
func (c *Checker) setLimit(id string, rate float64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.limits, id)
	if rate > 0 {
		c.limits[id] = &limit{rate: rate, since: time.Now()}
	}
}

// checkLimitedArrival checks rule LIMIT for a request that reaches a worker with a limit. It
// counts the requests of all daemons. Every daemon has to receive requests from the time the
// limit is set, since daemons read it in responses.
func (c *Checker) checkLimitedArrival(id string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	l, limited := c.limits[id]
	if !limited || time.Since(l.since) < limitGrace {
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
	if allowed := l.rate*limitWindow.Seconds()*limitOverrun + limitSlack; float64(n) > allowed {
		c.violations = append(c.violations, fmt.Sprintf("LIMIT: %s, limited to %v requests a second, got %d requests in %v, allowed %v", id, l.rate, n, limitWindow, allowed))
	}
}

// LimitChecked returns how long a worker's limit has been checked, and how many requests the
// worker received in that time.
func (c *Checker) LimitChecked(id string) (checked time.Duration, arrivals int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	l, limited := c.limits[id]
	if !limited {
		return 0, 0
	}
	return time.Since(l.since) - limitGrace, len(l.arrivals)
}
