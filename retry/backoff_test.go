package retry

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

func TestBackoff_DoublesInARow(t *testing.T) {
	const first, most = 250 * time.Millisecond, 2 * time.Second
	now := time.Unix(1_000_000, 0)
	var b Backoff
	must.False(t, b.Active(now))
	for _, want := range []time.Duration{first, 2 * first, 4 * first, most, most} {
		b.Refused(now, first, most)
		b.Refused(now.Add(want/2), first, most) // it was under way with the first
		must.True(t, b.Active(now.Add(want-1)))
		must.False(t, b.Active(now.Add(want)))
		now = now.Add(want)
	}
	b.Accepted()
	b.Refused(now, first, most)
	must.False(t, b.Active(now.Add(first)))
}
