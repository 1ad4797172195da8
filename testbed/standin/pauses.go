package standin

import (
	"fmt"
	"time"
)

// Bounds of the requests that a worker may receive from one daemon while it accepts none.
const (
	// pauseGrace is the time after a worker requests a pause until which the daemon need not
	// respect it. pauseSlack is how many requests may arrive in the rest of the pause.
	pauseGrace = 500 * time.Millisecond
	pauseSlack = 2
	// leavingGrace is how long a worker may receive requests after it announced in a response
	// that it leaves.
	leavingGrace = 2 * time.Second
)

// pause holds when a pause that a worker requested must be respected, and how many requests
// arrived in it.
type pause struct {
	from, until time.Time
	arrivals    int
}

// recordPause records that a worker rejected a request and requested a pause.
func (c *Checker) recordPause(id string, d time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	c.pauses[id] = append(c.pauses[id], &pause{from: now.Add(pauseGrace), until: now.Add(d)})
}

// checkPausedArrival checks rule BUDGET for a request that reaches a worker that requested a
// pause. The bound holds for one daemon, so the test must run only one.
func (c *Checker) checkPausedArrival(id string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	for _, p := range c.pauses[id] {
		if now.Before(p.from) || !now.Before(p.until) {
			continue
		}
		p.arrivals++
		if p.arrivals > pauseSlack {
			c.violations = append(c.violations, fmt.Sprintf("BUDGET: %s, which requested a pause, got %d requests in it", id, p.arrivals))
		}
	}
}

// Pauses returns how many times a worker requested a pause.
func (c *Checker) Pauses(id string) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.pauses[id])
}

// recordLeaving records that a worker has announced in a response that it leaves.
func (c *Checker) recordLeaving(id string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.leaving[id].IsZero() {
		c.leaving[id] = time.Now()
	}
}

// checkLeavingArrival checks rule DRAIN for a request that reaches a worker that announced in a
// response that it leaves. The bound holds for one daemon, so the test must run only one.
func (c *Checker) checkLeavingArrival(id string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if since := c.leaving[id]; !since.IsZero() && time.Since(since) > leavingGrace {
		c.violations = append(c.violations, fmt.Sprintf("DRAIN: a request reaches %s, which announced %v ago that it leaves", id, time.Since(since)))
	}
}

// LeavingFor returns how long ago a worker announced in a response that it leaves, 0 if it
// hasn't.
func (c *Checker) LeavingFor(id string) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	if since := c.leaving[id]; !since.IsZero() {
		return time.Since(since)
	}
	return 0
}
