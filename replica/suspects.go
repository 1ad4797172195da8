package replica

import (
	"sync"
	"time"
)

// suspectDuration is how long a group counts as failing after another process reported it, and
// maxSuspects limits how many reports are kept.
const (
	suspectDuration = 3 * time.Second
	maxSuspects     = 1024
)

// suspects holds the groups that other processes reported as failing. It is safe for concurrent
// use.
type suspects struct {
	mu         sync.Mutex
	reportedAt map[string]time.Time
}

// add records a report, and returns whether the group wasn't suspected before.
func (s *suspects) add(group string, now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.reportedAt == nil || len(s.reportedAt) >= maxSuspects {
		s.reportedAt = map[string]time.Time{}
	}
	suspected := now.Sub(s.reportedAt[group]) < suspectDuration
	s.reportedAt[group] = now
	return !suspected
}

// has reports whether a group is suspected.
func (s *suspects) has(group string, now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	at, found := s.reportedAt[group]
	return found && now.Sub(at) < suspectDuration
}

// Suspect records that a group fails requests at another process.
func (c *Controller) Suspect(group, reporter string) {
	if c.suspects.add(group, c.opts.Now()) {
		c.opts.Log.Info().Str("event", "group_suspected").Str("group", group).Str("reporter", reporter).Msg("")
		c.Wake()
	}
}

// failing reports whether a group has recently failed requests, here or at another process.
func (c *Controller) failing(group string) bool {
	return c.opts.Failing(group) || c.suspects.has(group, c.opts.Now())
}
