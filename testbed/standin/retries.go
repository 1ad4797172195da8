package standin

import (
	"fmt"
	"time"
)

// Bounds of the retries that the workers of a service may receive from all daemons within
// retryWindow: retryRatio times the requests, plus retryExtra.
const (
	retryWindow = 10 * time.Second
	retryRatio  = 0.2
	retryExtra  = 30
)

// retryArrivals holds when a service received requests for the first time and when it received
// them again.
type retryArrivals struct {
	seen           map[string]bool
	first, retries []time.Time
}

// checkRetry checks rule BUDGET for a request that reaches a worker. Requests that never arrive
// aren't counted, so that the check is stricter than the rule.
func (c *Checker) checkRetry(service, id string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	a := c.retries[service]
	if a == nil {
		a = &retryArrivals{seen: map[string]bool{}}
		c.retries[service] = a
	}
	now := time.Now()
	if !a.seen[id] {
		a.seen[id] = true
		a.first = append(a.first, now)
		return
	}
	a.retries = append(a.retries, now)
	requests := 0
	for _, earlier := range []time.Duration{0, retryWindow / 2, retryWindow} {
		requests = max(requests, countWithin(a.first, now.Add(-earlier)))
	}
	allowed := retryRatio*float64(requests) + retryExtra
	if n := countWithin(a.retries, now); float64(n) > allowed {
		c.violations = append(c.violations, fmt.Sprintf("BUDGET: %s got %d retries in %v for %d requests, allowed %v", service, n, retryWindow, requests, allowed))
	}
}

// countWithin counts the times in the retryWindow that ends at until.
func countWithin(times []time.Time, until time.Time) int {
	n := 0
	for i := len(times) - 1; i >= 0 && until.Sub(times[i]) < retryWindow; i-- {
		if !times[i].After(until) {
			n++
		}
	}
	return n
}

// Retries returns how many retries a service has received.
func (c *Checker) Retries(service string) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	if a := c.retries[service]; a != nil {
		return len(a.retries)
	}
	return 0
}
