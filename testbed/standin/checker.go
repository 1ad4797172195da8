package standin

import (
	"fmt"
	"slices"
	"sync"
	"time"
)

// Checker observes the requests, orders and loads that workers receive, and records violations
// of the platform's rules. Each violation starts with the rule's name.
type Checker struct {
	mu         sync.Mutex
	groupSizes map[string]int
	// open holds whether the head of a group is open, by name and epoch.
	open map[string]bool
	// ready holds the members that became ready, by member, group and member list.
	ready     map[string]bool
	loadTimes []time.Time
	// closed holds the closed halls and when they were closed.
	closed     map[string]time.Time
	violations []string
	// coldBounds holds the number of requests that a cold worker of a service may receive
	// within a second. coldArrivals holds when each cold worker received requests.
	coldBounds   map[string]int
	coldArrivals map[string][]time.Time
	// limits holds the limits that workers set for the requests of all daemons together.
	limits map[string]*limit
	// pauses holds the pauses that workers requested, leaving when workers first announced in a
	// response that they leave.
	pauses  map[string][]*pause
	leaving map[string]time.Time
	// retries holds the arrivals of requests and retries by service.
	retries map[string]*retryArrivals
	// retryExtra is the number of retries that a service may receive beyond the ratio.
	retryExtra float64
}

func newChecker() *Checker {
	return &Checker{
		groupSizes:   map[string]int{},
		open:         map[string]bool{},
		ready:        map[string]bool{},
		closed:       map[string]time.Time{},
		coldBounds:   map[string]int{},
		coldArrivals: map[string][]time.Time{},
		limits:       map[string]*limit{},
		pauses:       map[string][]*pause{},
		leaving:      map[string]time.Time{},
		retries:      map[string]*retryArrivals{},
		retryExtra:   retryExtra,
	}
}

// Violations returns the violations found so far.
func (c *Checker) Violations() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return slices.Clone(c.violations)
}

// MaxLoads returns the largest number of loads started within any interval of length span.
func (c *Checker) MaxLoads(span time.Duration) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	peak := 0
	for i, from := range c.loadTimes {
		n := 0
		for _, at := range c.loadTimes[i:] {
			if at.Sub(from) <= span {
				n++
			}
		}
		peak = max(peak, n)
	}
	return peak
}

// Loads returns how many loads have started.
func (c *Checker) Loads() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.loadTimes)
}

func (c *Checker) setGroupSizes(models []Model) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, m := range models {
		c.groupSizes[m.Name] = m.Size
	}
}

func (c *Checker) recordLoad() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.loadTimes = append(c.loadTimes, time.Now())
}

func groupKey(g *groupState) string { return fmt.Sprintf("%s/%d", g.Name, g.Epoch) }

func (c *Checker) setOpen(g *groupState, open bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.open[groupKey(g)] = open
}

func (c *Checker) isOpen(g *groupState) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.open[groupKey(g)]
}

func memberKey(id string, g *groupState, members []string) string {
	return fmt.Sprint(id, " ", groupKey(g), members)
}

func (c *Checker) recordReady(id string, g *groupState, members []string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.ready[memberKey(id, g, members)] = true
}

// checkJoin checks rule TWO: a worker must not accept a join while its current group is open.
func (c *Checker) checkJoin(id string, current *groupState, group string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if current != nil && c.open[groupKey(current)] {
		c.violations = append(c.violations, fmt.Sprintf("TWO: %s joins %s while %s is open", id, group, groupKey(current)))
	}
}

// Bounds of the requests that a cold worker may receive: its capacity times coldOverrun, plus
// coldSlack.
const (
	coldOverrun = 1.5
	coldSlack   = 5
)

func (c *Checker) setColdBound(service string, capacity float64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.coldBounds[service] = int(capacity*coldOverrun + coldSlack)
}

// checkColdArrival checks rule FAILBACK for a request that reaches a cold worker.
func (c *Checker) checkColdArrival(id, service string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	c.coldArrivals[id] = append(c.coldArrivals[id], now)
	n := 0
	for _, at := range c.coldArrivals[id] {
		if now.Sub(at) <= time.Second {
			n++
		}
	}
	if allowed := c.coldBounds[service]; n > allowed {
		c.violations = append(c.violations, fmt.Sprintf("FAILBACK: %s got %d requests within a second, allowed %d", id, n, allowed))
	}
}

// ColdArrivals returns how many requests a worker received while it was cold.
func (c *Checker) ColdArrivals(id string) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.coldArrivals[id])
}

// checkRun checks rule PARTIAL for a request that a head starts to run: the group must have all
// its members, and each must have been ready in it.
func (c *Checker) checkRun(g *groupState, model string, members []string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if want := c.groupSizes[model]; want != 0 && len(members) != want {
		c.violations = append(c.violations, fmt.Sprintf("PARTIAL: %s has %d members of %d", groupKey(g), len(members), want))
	}
	for _, id := range members {
		if !c.ready[memberKey(id, g, members)] {
			c.violations = append(c.violations, fmt.Sprintf("PARTIAL: %s was never ready in %s", id, groupKey(g)))
		}
	}
}

// evacuationBound is how long after its closing a hall's workers may still receive requests.
const evacuationBound = 5 * time.Second

// setClosed records that a hall is closed or open from now on.
func (c *Checker) setClosed(hall string, closed bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.closed, hall)
	if closed {
		c.closed[hall] = time.Now()
	}
}

// Overdue reports whether a hall has been closed for longer than the bound, so that no request
// may reach it.
func (c *Checker) Overdue(hall string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.overdue(hall)
}

func (c *Checker) overdue(hall string) bool {
	since, closed := c.closed[hall]
	return closed && time.Since(since) > evacuationBound
}

// checkArrival checks rule EVAC for a request that reaches a worker.
func (c *Checker) checkArrival(id, hall string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.overdue(hall) {
		c.violations = append(c.violations, fmt.Sprintf("EVAC: a request reaches %s, whose hall %s was closed %v ago", id, hall, time.Since(c.closed[hall])))
	}
}
