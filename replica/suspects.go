package replica

import (
	"sync"
	"time"
)

// suspicion is how long a group that another process reported counts as failing,
// and mostSuspects how many reports are kept.
const (
	suspicion    = 3 * time.Second
	mostSuspects = 1024
)

// suspects are the groups that other processes reported. It is safe for use by many
// goroutines.
type suspects struct {
	mu   sync.Mutex
	last map[string]time.Time
}

// add takes in a report, and tells whether the group was not suspected before.
func (s *suspects) add(group string, now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.last == nil || len(s.last) >= mostSuspects {
		s.last = map[string]time.Time{}
	}
	known := now.Sub(s.last[group]) < suspicion
	s.last[group] = now
	return !known
}

func (s *suspects) has(group string, now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	at, known := s.last[group]
	return known && now.Sub(at) < suspicion
}

// Suspect takes in that a group fails requests at some process.
func (c *Controller) Suspect(group, reporter string) {
	if c.suspects.add(group, c.opts.Now()) {
		c.opts.Log.Info().Str("event", "group_suspected").Str("group", group).Str("reporter", reporter).Msg("")
		c.Wake()
	}
}

// failing tells whether a group has failed requests lately, here or elsewhere.
func (c *Controller) failing(group string) bool {
	return c.opts.Failing(group) || c.suspects.has(group, c.opts.Now())
}
