package retry

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

func TestBackoff_DoublesAfterConsecutiveRefusals(t *testing.T) {
	const initial, maximum = 250 * time.Millisecond, 2 * time.Second
	now := time.Unix(1_000_000, 0)
	var b Backoff
	must.False(t, b.Active(now))
	for _, want := range []time.Duration{initial, 2 * initial, 4 * initial, maximum, maximum} {
		b.Refused(now, initial, maximum)
		b.Refused(now.Add(want/2), initial, maximum) // in flight at the same time as the first
		must.True(t, b.Active(now.Add(want-1)))
		must.False(t, b.Active(now.Add(want)))
		now = now.Add(want)
	}
	b.Accepted()
	b.Refused(now, initial, maximum)
	must.False(t, b.Active(now.Add(initial)))
}
