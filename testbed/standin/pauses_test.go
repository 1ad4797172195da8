package standin

import (
	"encoding/json"
	"net/http"
	"strconv"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/pointpass/pointpass/deps"
)

// askedPause is what workers ask for, and pausesSeen how many pauses a test watches.
const (
	askedPause = 3 * time.Second
	pausesSeen = 2
)

// TestPause_IsKept tells an incident.
//
// Seen: heads of groups that turned requests away and asked for a pause of 3 s got three to
// twelve requests from one daemon in that time. All heads that did so got up to five times as
// many requests as before, while half of the others' room went unused and one request of five
// was refused.
// How it came about: a refusal is over after a millisecond and leaves nothing under way, so that
// the worker looked the least busy of all to the next request, and to the second attempt of the
// same one: two refusals in a row, and the caller was refused.
// Cause: no daemon read the pause that a refusal asks for, and a refusal left no mark on who
// gave it.
// Proof: arrivals at the five heads rose fivefold while they refused, and fell back as they
// took requests again; here nothing else is wrong, and the worker gets thousands of requests in
// each pause without the repair.
func TestPause_IsKept(t *testing.T) {
	forAsking(t, 1, func(t *testing.T, a *asking) {
		pauses := func() int { return a.s.store.Judge().Pauses(a.worker.ID()) }
		a.worker.SetPause(askedPause)
		begun := time.Now()
		eventually(t, "it has asked for several pauses", func() bool {
			return pauses() > pausesSeen && time.Since(begun) > pausesSeen*askedPause
		})
		a.worker.SetPause(0)
		before := len(a.worker.Runs())
		eventually(t, "it is used once the pause is over", func() bool { return len(a.worker.Runs()) > before+pausesSeen })
	})
}

// TestPause_OfAllIsTold: where all workers ask for a pause, callers are refused at once and
// told when it is over, and those who come then are served.
func TestPause_OfAllIsTold(t *testing.T) {
	t.Parallel()
	s := newStage(t, 0)
	d := s.start(true)
	for _, w := range s.workers {
		w.SetPause(askedPause)
	}
	eventually(t, "both have asked for a pause", func() bool {
		d.Send(t.Context(), s.ask(http.MethodPost, "/get/x"))
		return s.store.Judge().Pauses("a0") > 0 && s.store.Judge().Pauses("a1") > 0
	})
	var status deps.EdgeStatus
	must.NoError(t, json.Unmarshal([]byte(d.Status()), &status))
	must.Len(t, 2, status.ThrottledWorkers, must.Sprint("operators are told"))
	must.Positive(t, status.ThrottledWorkers[0].PausedMs)
	for _, w := range s.workers {
		w.SetPause(0)
	}
	r := d.Send(t.Context(), s.ask(http.MethodPost, "/get/x"))
	must.EqOp(t, http.StatusServiceUnavailable, r.Status)
	must.Less(t, time.Second, r.Took)
	wait, err := strconv.ParseFloat(r.Header.Get("Retry-After"), 64)
	must.NoError(t, err)
	must.Between(t, 1, wait, askedPause.Seconds())
	time.Sleep(time.Duration(wait * float64(time.Second)))
	must.EqOp(t, http.StatusOK, d.Send(t.Context(), s.ask(http.MethodPost, "/get/x")).Status)
}

// TestLeaving_WhoTellsThatItLeavesGetsNothingNew: a worker says so in its answers before its
// entry does, as the head of a group or alone.
//
// Seen: found beside the pauses that weren't kept, as another thing that answers say.
// Cause: that a worker leaves was read from its entry alone, which comes later or, where the
// store is away, not at all.
// Proof: this test, in which the entry never says so.
func TestLeaving_WhoTellsThatItLeavesGetsNothingNew(t *testing.T) {
	forAsking(t, 1, func(t *testing.T, a *asking) {
		a.worker.SetLeaving()
		eventually(t, "it has told long ago that it leaves", func() bool {
			return a.s.store.Judge().Leaving(a.worker.ID()) > 2*leavingKnownWithin
		})
	})
}
