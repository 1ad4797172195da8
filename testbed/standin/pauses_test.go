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

// requestedPause is the pause that workers request, minPauses how many pauses a test waits for.
const (
	requestedPause = 3 * time.Second
	minPauses      = 2
)

// TestPause_IsRespected guards against a daemon that keeps sending requests to a worker that
// rejects them and requests a pause.
//
// Heads of groups that requested a pause of 3 s received three to twelve requests from one
// daemon in that time. All such heads received up to five times as many requests as before,
// while half of the other groups' capacity was unused and one request in five was rejected. A
// rejection takes a millisecond and leaves nothing in flight, so the worker looked the least
// loaded to the next request, and also to the second attempt of the same one, whose caller was
// rejected after two rejections. A daemon must therefore read and respect the pause: without
// that the worker receives thousands of requests in each pause of this test.
func TestPause_IsRespected(t *testing.T) {
	forEachWorkerKind(t, 1, func(t *testing.T, a *workerCase) {
		pauses := func() int { return a.s.store.Checker().Pauses(a.worker.ID()) }
		a.worker.SetPause(requestedPause)
		started := time.Now()
		eventually(t, "the worker has requested several pauses", func() bool {
			return pauses() > minPauses && time.Since(started) > minPauses*requestedPause
		})
		a.worker.SetPause(0)
		before := len(a.worker.Runs())
		eventually(t, "the worker receives requests once the pause is over", func() bool { return len(a.worker.Runs()) > before+minPauses })
	})
}

// TestPause_OfAllWorkersIsReported checks that callers are rejected at once with Retry-After if
// all workers request a pause, and that callers who return after that time are served.
func TestPause_OfAllWorkersIsReported(t *testing.T) {
	t.Parallel()
	s := newTestCluster(t, 0)
	d := s.start(true)
	for _, w := range s.workers {
		w.SetPause(requestedPause)
	}
	eventually(t, "both workers have requested a pause", func() bool {
		d.Send(t.Context(), s.newRequest(http.MethodPost, "/get/x"))
		return s.store.Checker().Pauses("a0") > 0 && s.store.Checker().Pauses("a1") > 0
	})
	var status deps.EdgeStatus
	must.NoError(t, json.Unmarshal([]byte(d.Status()), &status))
	must.Len(t, 2, status.ThrottledWorkers, must.Sprint("the status lists both workers"))
	must.Positive(t, status.ThrottledWorkers[0].PausedMs)
	for _, w := range s.workers {
		w.SetPause(0)
	}
	r := d.Send(t.Context(), s.newRequest(http.MethodPost, "/get/x"))
	must.EqOp(t, http.StatusServiceUnavailable, r.Status)
	must.Less(t, time.Second, r.Elapsed)
	wait, err := strconv.ParseFloat(r.Header.Get("Retry-After"), 64)
	must.NoError(t, err)
	must.Between(t, 1, wait, requestedPause.Seconds())
	time.Sleep(time.Duration(wait * float64(time.Second)))
	must.EqOp(t, http.StatusOK, d.Send(t.Context(), s.newRequest(http.MethodPost, "/get/x")).Status)
}

// TestLeaving_AnnouncementInResponseStopsRequests guards against new requests to a worker that
// announces in its responses that it leaves, as the head of a group or as a plain worker. The
// worker's entry announces that later, or not at all if the store is unreachable; in this test
// it never does.
func TestLeaving_AnnouncementInResponseStopsRequests(t *testing.T) {
	forEachWorkerKind(t, 1, func(t *testing.T, a *workerCase) {
		a.worker.SetLeaving()
		eventually(t, "the worker announced well before now that it leaves", func() bool {
			return a.s.store.Checker().LeavingFor(a.worker.ID()) > 2*leavingGrace
		})
	})
}
