package presence

import (
	"fmt"
	"slices"
	"time"
)

// logTargets logs when a pool loses its last target or has one again, and why none of its groups
// is a target.
func (t *Tracker) logTargets(pool string, n int) {
	t.mu.Lock()
	changed := t.noTargets[pool] != (n == 0)
	t.noTargets[pool] = n == 0
	t.mu.Unlock()
	switch {
	case !changed:
	case n > 0:
		t.opts.Log.Info().Str("pool", pool).Int("targets", n).Msg("pool has targets")
	default:
		t.opts.Log.Warn().Str("pool", pool).Strs("groups", t.absences(pool)).Msg("pool has no targets")
	}
}

// absences describes why each group of a pool is no target.
func (t *Tracker) absences(pool string) []string {
	t.mu.RLock()
	defer t.mu.RUnlock()
	now := t.opts.Now()
	var list []string
	for _, g := range t.opts.Groups.All() {
		if g.Pool() != pool {
			continue
		}
		r, reported := t.reports[g.Domain()]
		_, stopped := t.stopped[g.ID()]
		list = append(list, fmt.Sprintf("%s: %s, reported=%t by %q, evidence %v old, listed=%t, stopped=%t", g.ID(), g.State(), reported, t.sources[g.Domain()],
			now.Sub(r.Presence().Evidence).Round(time.Millisecond), slices.Contains(r.Presence().Epochs, g.Epoch()), stopped))
	}
	return list
}
