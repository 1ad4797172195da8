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
	// sent is when callers sent requests, empty if only arrivals are known.
	sent []time.Time
	// worst is the window with the most retries beyond the allowed ones, or the fewest below.
	worst RetryWindow
}

// RetryWindow is a window of the retries that a service receives.
type RetryWindow struct {
	Retries int
	Allowed float64
}

func (w RetryWindow) excess() float64 { return float64(w.Retries) - w.Allowed }

// recordSent records that a caller sends a request for a service. The rule counts it from then on, also if it
// never arrives.
func (c *Checker) recordSent(service string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	a := c.arrivals(service)
	a.sent = append(a.sent, time.Now())
}

// checkRetry checks rule BUDGET for a request that reaches a worker. Unless recordSent was called, requests that
// never arrive aren't counted, so that the check is stricter than the rule.
func (c *Checker) checkRetry(service, id string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	a := c.arrivals(service)
	now := time.Now()
	if !a.seen[id] {
		a.seen[id] = true
		a.first = append(a.first, now)
		return
	}
	a.retries = append(a.retries, now)
	known := a.first
	if len(a.sent) > 0 {
		known = a.sent
	}
	requests := 0
	for _, earlier := range []time.Duration{0, retryWindow / 2, retryWindow} {
		requests = max(requests, countWithin(known, now.Add(-earlier)))
	}
	w := RetryWindow{Retries: countWithin(a.retries, now), Allowed: retryRatio*float64(requests) + c.retryExtra}
	if w.excess() > 0 {
		c.violations = append(c.violations, fmt.Sprintf("BUDGET: %s got %d retries in %v for %d requests, allowed %v", service, w.Retries, retryWindow, requests, w.Allowed))
	}
	if a.worst.Retries == 0 || w.excess() > a.worst.excess() {
		a.worst = w
	}
}

// arrivals returns the arrivals of a service. The caller holds c.mu.
func (c *Checker) arrivals(service string) *retryArrivals {
	a := c.retries[service]
	if a == nil {
		a = &retryArrivals{seen: map[string]bool{}}
		c.retries[service] = a
	}
	return a
}

// SetRetryExtra sets the retries that a service may receive in addition to the ratio.
func (c *Checker) SetRetryExtra(n float64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.retryExtra = n
}

// WorstRetries returns the window of a service with the most retries, relative to the allowed ones.
func (c *Checker) WorstRetries(service string) RetryWindow {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.arrivals(service).worst
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
