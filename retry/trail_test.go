package retry

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// oneRetry allows one retry in a window.
var oneRetry = Allowance{Extra: 1, Window: 10 * time.Second}

// maxAge is how old the retry of a sending may be in tests.
const maxAge = 100 * time.Millisecond

// begin begins a sending with a new retry, if it needs one.
func begin(t *testing.T, w *Window, trail *Trail, now time.Time) *Sending {
	t.Helper()
	if trail.NeedsRetry() {
		r, ok := w.Spend(now, oneRetry)
		must.True(t, ok)
		trail.Add(r)
	}
	s, ok := trail.Begin(now, maxAge)
	must.True(t, ok)
	return s
}

// TestTrail_RetryCountsFromItsArrival guards against a retry that leaves the window while its worker stands still, or
// before the window has passed since the worker read it.
func TestTrail_RetryCountsFromItsArrival(t *testing.T) {
	w, trail := NewWindow(oneRetry.Window), &Trail{}
	begin(t, w, trail, noon).Read(noon.Add(time.Second))
	s := begin(t, w, trail, noon.Add(time.Second))
	trail.End()
	must.False(t, w.Room(noon.Add(20*time.Second), oneRetry))
	s.Read(noon.Add(20 * time.Second))
	must.False(t, w.Room(noon.Add(30*time.Second), oneRetry))
	must.True(t, w.Room(noon.Add(30*time.Second+SendDelay), oneRetry))
}

// TestTrail_FirstSendingMayBeTheLateOne guards against a retry that counts as arrived once its own worker has answered,
// while the first worker stands still and is yet to read the request: that arrival is the second one then.
func TestTrail_FirstSendingMayBeTheLateOne(t *testing.T) {
	w, trail := NewWindow(oneRetry.Window), &Trail{}
	first := begin(t, w, trail, noon)
	begin(t, w, trail, noon.Add(time.Second)).Read(noon.Add(2 * time.Second))
	trail.End()
	must.False(t, w.Room(noon.Add(15*time.Second), oneRetry))
	first.Read(noon.Add(15 * time.Second))
	first.Read(noon.Add(16 * time.Second)) // counts once
	must.False(t, w.Room(noon.Add(25*time.Second), oneRetry))
	must.True(t, w.Room(noon.Add(25*time.Second+SendDelay), oneRetry))
}

// TestTrail_NothingIsReadForever guards against a budget that is used up for good by workers that never come back.
func TestTrail_NothingIsReadForever(t *testing.T) {
	w, trail := NewWindow(oneRetry.Window), &Trail{}
	begin(t, w, trail, noon)
	begin(t, w, trail, noon)
	trail.End()
	must.False(t, w.Room(noon.Add(MaxUnread+oneRetry.Window), oneRetry))
	must.True(t, w.Room(noon.Add(MaxUnread+oneRetry.Window+SendDelay), oneRetry))
}

// TestTrail_UnusedRetriesAreGivenBack guards against retries that count though nothing was sent for them.
func TestTrail_UnusedRetriesAreGivenBack(t *testing.T) {
	w, trail := NewWindow(oneRetry.Window), &Trail{}
	begin(t, w, trail, noon)
	begin(t, w, trail, noon).Withdraw()
	must.False(t, trail.NeedsRetry(), must.Sprint("the retry of a sending that was withdrawn may be used"))
	must.True(t, trail.HasUnused())
	trail.End()
	must.True(t, w.Room(noon, oneRetry))
}

// TestTrail_OldRetryIsNotUsed guards against a request that is written long after its retry was counted.
func TestTrail_OldRetryIsNotUsed(t *testing.T) {
	w, trail := NewWindow(oneRetry.Window), &Trail{}
	begin(t, w, trail, noon)
	r, _ := w.Spend(noon, oneRetry)
	trail.Add(r)
	_, ok := trail.Begin(noon.Add(maxAge+time.Millisecond), maxAge)
	must.False(t, ok)
	must.True(t, trail.NeedsRetry())
}

// TestUnread_WorkerThatAnswersHasRead guards against retries that count for MaxUnread though their worker runs again, and
// against ones that count as read by an answer that the worker may have given before it stood still.
func TestUnread_WorkerThatAnswersHasRead(t *testing.T) {
	w, trail, unread := NewWindow(oneRetry.Window), &Trail{}, NewUnread()
	ended := noon.Add(2 * time.Second)
	begin(t, w, trail, noon).Read(noon)
	unread.Add("a", begin(t, w, trail, noon), ended)
	trail.End()
	answered := ended.Add(3 * time.Second)
	unread.Answered("b", ended.Add(time.Second), answered)
	unread.Answered("a", ended, answered)
	must.False(t, w.Room(answered.Add(oneRetry.Window+2*SendDelay), oneRetry))
	unread.Answered("a", ended.Add(time.Second), answered)
	must.False(t, w.Room(answered.Add(oneRetry.Window), oneRetry))
	must.True(t, w.Room(answered.Add(oneRetry.Window+2*SendDelay), oneRetry))
}

// TestUnread_IsBounded guards against sendings that are kept for ever since their workers never answer.
func TestUnread_IsBounded(t *testing.T) {
	unread := NewUnread()
	for i := range 100 {
		unread.Add("a", &Sending{trail: &Trail{}}, noon.Add(time.Duration(i)*time.Second))
	}
	must.LessEq(t, 2*int(MaxUnread.Seconds()), len(unread.byWorker["a"]))
}
