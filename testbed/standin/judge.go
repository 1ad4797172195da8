package standin

import (
	"fmt"
	"slices"
	"sync"
	"time"
)

// Judge watches what workers see, and keeps the rules about groups that they broke.
type Judge struct {
	mu    sync.Mutex
	sizes map[string]int
	// open are the groups whose head is open, by name and epoch.
	open map[string]bool
	// ready are the members that were ready in a group, by member, group and list.
	ready map[string]bool
	loads []time.Time
	// closed are the halls that are closed, with the time since when.
	closed map[string]time.Time
	broken []string
	// coldBounds are how many requests a cold worker of a service may get within a second,
	// arrivals when each cold worker got some.
	coldBounds map[string]int
	arrivals   map[string][]time.Time
	// limits are what workers take in a second from all daemons together.
	limits map[string]*limit
	// pauses are those that workers asked for, and leaving since when workers have told that
	// they leave.
	pauses  map[string][]*pause
	leaving map[string]time.Time
}

func newJudge() *Judge {
	return &Judge{
		sizes:      map[string]int{},
		open:       map[string]bool{},
		ready:      map[string]bool{},
		closed:     map[string]time.Time{},
		coldBounds: map[string]int{},
		arrivals:   map[string][]time.Time{},
		limits:     map[string]*limit{},
		pauses:     map[string][]*pause{},
		leaving:    map[string]time.Time{},
	}
}

// Broken returns the rules broken so far.
func (j *Judge) Broken() []string {
	j.mu.Lock()
	defer j.mu.Unlock()
	return slices.Clone(j.broken)
}

// MostLoads returns the most loads that began within any span of a length.
func (j *Judge) MostLoads(span time.Duration) int {
	j.mu.Lock()
	defer j.mu.Unlock()
	most := 0
	for i, from := range j.loads {
		n := 0
		for _, at := range j.loads[i:] {
			if at.Sub(from) <= span {
				n++
			}
		}
		most = max(most, n)
	}
	return most
}

// Loads returns how many loads have begun.
func (j *Judge) Loads() int {
	j.mu.Lock()
	defer j.mu.Unlock()
	return len(j.loads)
}

func (j *Judge) setSizes(models []Model) {
	j.mu.Lock()
	defer j.mu.Unlock()
	for _, m := range models {
		j.sizes[m.Name] = m.Size
	}
}

func (j *Judge) load() {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.loads = append(j.loads, time.Now())
}

func groupKey(g *groupState) string { return fmt.Sprintf("%s/%d", g.Name, g.Epoch) }

func (j *Judge) setOpen(g *groupState, open bool) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.open[groupKey(g)] = open
}

func (j *Judge) isOpen(g *groupState) bool {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.open[groupKey(g)]
}

func memberKey(id string, g *groupState, members []string) string {
	return fmt.Sprint(id, " ", groupKey(g), members)
}

func (j *Judge) becameReady(id string, g *groupState, members []string) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.ready[memberKey(id, g, members)] = true
}

// joins judges a worker that accepts a join while it is in another group: TWO.
func (j *Judge) joins(id string, own *groupState, group string) {
	j.mu.Lock()
	defer j.mu.Unlock()
	if own != nil && j.open[groupKey(own)] {
		j.broken = append(j.broken, fmt.Sprintf("TWO: %s joins %s while %s is open", id, group, groupKey(own)))
	}
}

// What a cold worker may get beyond what it bears.
const (
	coldOverrun = 1.5
	coldSlack   = 5
)

func (j *Judge) setColdBound(service string, bears float64) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.coldBounds[service] = int(bears*coldOverrun + coldSlack)
}

// arrivesCold judges a request that reaches a cold worker: FAILBACK.
func (j *Judge) arrivesCold(id, service string) {
	j.mu.Lock()
	defer j.mu.Unlock()
	now := time.Now()
	j.arrivals[id] = append(j.arrivals[id], now)
	n := 0
	for _, at := range j.arrivals[id] {
		if now.Sub(at) <= time.Second {
			n++
		}
	}
	if most := j.coldBounds[service]; n > most {
		j.broken = append(j.broken, fmt.Sprintf("FAILBACK: %s got %d requests within a second, allowed %d", id, n, most))
	}
}

// Arrivals returns how many requests a worker got while it was cold.
func (j *Judge) Arrivals(id string) int {
	j.mu.Lock()
	defer j.mu.Unlock()
	return len(j.arrivals[id])
}

// runs judges a request that a head begins to run: PARTIAL.
func (j *Judge) runs(g *groupState, model string, members []string) {
	j.mu.Lock()
	defer j.mu.Unlock()
	if want := j.sizes[model]; want != 0 && len(members) != want {
		j.broken = append(j.broken, fmt.Sprintf("PARTIAL: %s has %d members of %d", groupKey(g), len(members), want))
	}
	for _, id := range members {
		if !j.ready[memberKey(id, g, members)] {
			j.broken = append(j.broken, fmt.Sprintf("PARTIAL: %s was never ready in %s", id, groupKey(g)))
		}
	}
}

// hallBound is how long after a hall was closed requests may still reach its workers.
const hallBound = 5 * time.Second

// setClosed notes that a hall is closed or open from now on.
func (j *Judge) setClosed(hall string, closed bool) {
	j.mu.Lock()
	defer j.mu.Unlock()
	delete(j.closed, hall)
	if closed {
		j.closed[hall] = time.Now()
	}
}

// Overdue tells whether a hall has been closed for so long that no request may reach it.
func (j *Judge) Overdue(hall string) bool {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.overdue(hall)
}

func (j *Judge) overdue(hall string) bool {
	since, closed := j.closed[hall]
	return closed && time.Since(since) > hallBound
}

// arrives judges a request that reaches a worker: EVAC.
func (j *Judge) arrives(id, hall string) {
	j.mu.Lock()
	defer j.mu.Unlock()
	if j.overdue(hall) {
		j.broken = append(j.broken, fmt.Sprintf("EVAC: a request reaches %s, whose hall %s was closed %v ago", id, hall, time.Since(j.closed[hall])))
	}
}
