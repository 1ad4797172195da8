package standin

import (
	"fmt"
	"time"
)

// Bounds of what a worker may get of one daemon while it wants nothing.
const (
	// pauseKnownWithin is how long after a worker asked for a pause a daemon keeps it, and
	// pauseSlack how many requests may come in it all the same.
	pauseKnownWithin = 500 * time.Millisecond
	pauseSlack       = 2
	// leavingKnownWithin is how long after a worker told that it leaves it may get requests.
	leavingKnownWithin = 2 * time.Second
)

// pause is one that a worker asked for, and how many requests came in it.
type pause struct {
	from, until time.Time
	arrivals    int
}

// asksForPause notes that a worker turned a request away and asked for a pause.
func (j *Judge) asksForPause(id string, d time.Duration) {
	j.mu.Lock()
	defer j.mu.Unlock()
	now := time.Now()
	j.pauses[id] = append(j.pauses[id], &pause{from: now.Add(pauseKnownWithin), until: now.Add(d)})
}

// arrivesPaused judges a request that reaches a worker which asked for a pause: BUDGET. There
// has to be one daemon only.
func (j *Judge) arrivesPaused(id string) {
	j.mu.Lock()
	defer j.mu.Unlock()
	now := time.Now()
	for _, p := range j.pauses[id] {
		if now.Before(p.from) || !now.Before(p.until) {
			continue
		}
		p.arrivals++
		if p.arrivals > pauseSlack {
			j.broken = append(j.broken, fmt.Sprintf("BUDGET: %s, which asked for a pause, got %d requests in it", id, p.arrivals))
		}
	}
}

// Pauses returns how many times a worker asked for a pause.
func (j *Judge) Pauses(id string) int {
	j.mu.Lock()
	defer j.mu.Unlock()
	return len(j.pauses[id])
}

// toldLeaving notes that a worker has told that it leaves.
func (j *Judge) toldLeaving(id string) {
	j.mu.Lock()
	defer j.mu.Unlock()
	if j.leaving[id].IsZero() {
		j.leaving[id] = time.Now()
	}
}

// arrivesLeaving judges a request that reaches a worker which has told that it leaves: DRAIN.
// There has to be one daemon only.
func (j *Judge) arrivesLeaving(id string) {
	j.mu.Lock()
	defer j.mu.Unlock()
	if told := j.leaving[id]; !told.IsZero() && time.Since(told) > leavingKnownWithin {
		j.broken = append(j.broken, fmt.Sprintf("DRAIN: a request reaches %s, which told %v ago that it leaves", id, time.Since(told)))
	}
}

// Leaving returns for how long a worker has told that it leaves, 0 if it hasn't.
func (j *Judge) Leaving(id string) time.Duration {
	j.mu.Lock()
	defer j.mu.Unlock()
	if told := j.leaving[id]; !told.IsZero() {
		return time.Since(told)
	}
	return 0
}
