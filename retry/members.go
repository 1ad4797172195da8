package retry

import (
	"sync"
	"time"
)

// Members tracks how many daemons have shared an allowance lately. A daemon that stops counts for
// a while longer: its retries may still be within the window, so that the others may not take over
// its part yet. It is safe for concurrent use.
type Members struct {
	mu sync.Mutex
	// counts are the latest count and the earlier ones that were higher, which fall.
	counts []memberCount
}

// memberCount is a number of daemons, and until when it was the latest.
type memberCount struct {
	daemons int
	until   time.Time
}

// Observe records the number of daemons as of now.
func (m *Members) Observe(daemons int, now time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if n := len(m.counts); n > 0 {
		m.counts[n-1].until = now
	}
	for n := len(m.counts); n > 0 && m.counts[n-1].daemons <= daemons; n-- {
		m.counts = m.counts[:n-1]
	}
	m.counts = append(m.counts, memberCount{daemons: daemons})
}

// Count returns the highest number of daemons within the retention time before now, 0 if none was
// observed.
func (m *Members) Count(now time.Time, retention time.Duration) int {
	m.mu.Lock()
	defer m.mu.Unlock()
	for len(m.counts) > 1 && now.Sub(m.counts[0].until) > retention {
		m.counts = m.counts[1:]
	}
	if len(m.counts) == 0 {
		return 0
	}
	return m.counts[0].daemons
}
