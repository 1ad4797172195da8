package retry

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"
)

// TestMembers_CountsTheHighestWithinTheRetention compares the counts with those computed from all
// observations.
func TestMembers_CountsTheHighestWithinTheRetention(t *testing.T) {
	const retention = 10 * time.Second
	rapid.Check(t, func(t *rapid.T) {
		var m Members
		must.EqOp(t, 0, m.Count(noon, retention))
		now := noon
		var counts []memberCount
		for range rapid.IntRange(1, 50).Draw(t, "changes") {
			n := rapid.IntRange(0, 9).Draw(t, "daemons")
			if len(counts) > 0 {
				counts[len(counts)-1].until = now
			}
			counts = append(counts, memberCount{daemons: n})
			m.Observe(n, now)
			now = now.Add(time.Duration(rapid.IntRange(0, 4000).Draw(t, "ms")) * time.Millisecond)
			want := n
			for _, c := range counts[:len(counts)-1] {
				if now.Sub(c.until) <= retention {
					want = max(want, c.daemons)
				}
			}
			must.EqOp(t, want, m.Count(now, retention))
		}
	})
}
