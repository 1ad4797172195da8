package quota

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// TestLedger_UnreadRequestsCount guards against a worker that stands still, and then reads the requests of several
// windows in one.
func TestLedger_UnreadRequestsCount(t *testing.T) {
	p := Part{MaxRequests: 2, Window: time.Second}
	l := NewLedger(time.Minute)
	l.Take("w", noon)
	l.Take("w", noon)
	must.False(t, l.Room("w", p, noon.Add(5*time.Second)))
	l.Read("other", noon.Add(5*time.Second))
	must.False(t, l.Room("w", p, noon.Add(5*time.Second)))
	l.Read("w", noon.Add(5*time.Second))
	must.False(t, l.Room("w", p, noon.Add(6*time.Second-1)))
	must.True(t, l.Room("w", p, noon.Add(6*time.Second)))
}

// TestLedger_NothingIsReadForever guards against a worker that gets nothing any more since it never answered.
func TestLedger_NothingIsReadForever(t *testing.T) {
	p := Part{MaxRequests: 1, Window: time.Second}
	l := NewLedger(time.Second)
	l.Take("w", noon)
	must.False(t, l.Room("w", p, noon.Add(maxUnread-1)))
	must.True(t, l.Room("w", p, noon.Add(maxUnread)))
	l.Forget(noon.Add(maxUnread + time.Second))
	must.EqOp(t, 0, l.Len())
}
