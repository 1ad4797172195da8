package standin

import (
	"strings"
	"testing"
)

const (
	// workerLimit is a worker's limit, in requests per second. minLimitedArrivals is how many
	// requests the worker then receives at least, so that the limit is used.
	workerLimit        = 1
	minLimitedArrivals = 8
)

// TestLimit_AllDaemonsTogetherKeepIt guards against daemons that together exceed the limit that
// a worker sets in its responses.
//
// Workers with limits of 1 and 1.4 requests per second received 12 and 18 requests in 4 s,
// where 11 and 13 are allowed, since daemons did not read the limit and chose workers by their
// own requests in flight. Each daemon has to keep to a share of the limit, so that the shares
// add up to it whatever the daemons know of each other (package quota).
func TestLimit_AllDaemonsTogetherKeepIt(t *testing.T) {
	forEachWorkerKind(t, 3, func(t *testing.T, a *workerCase) {
		a.worker.SetLimit(workerLimit)
		a.s.awaitLimitUsed(a.worker)
	})
}

// awaitLimitUsed waits until a worker's limit has been checked for several windows and the
// worker has received some requests in that time.
func (s *testCluster) awaitLimitUsed(w *Worker) {
	s.t.Helper()
	s.eventuallyWithin(2*waitTimeout, "the worker receives requests within its limit", func() bool {
		checked, arrivals := s.store.Checker().LimitChecked(w.ID())
		return checked >= 3*limitWindow && arrivals >= minLimitedArrivals
	})
}

// TestLimit_RemovedLimitEnds checks that a worker that removes its limit receives as many
// requests as without one.
func TestLimit_RemovedLimitEnds(t *testing.T) {
	t.Parallel()
	s := newTestCluster(t, 0)
	for i := range 3 {
		s.start(i == 0)
	}
	stop := s.startCallers("/get/x", callersPerDaemon)
	defer stop()
	w := s.workers["a0"]
	w.SetLimit(workerLimit)
	s.awaitLimitUsed(w)
	w.SetLimit(0)
	before := len(w.Runs())
	s.eventuallyWithin(2*waitTimeout, "the worker receives requests as without a limit", func() bool { return len(w.Runs()) > before+20*minLimitedArrivals })
}

// TestLimit_EndReachesAllDaemons guards against daemons that keep a limit after its end. Where a
// low limit is shared by many daemons, some of them have no share and send the worker nothing,
// so they cannot see the end of the limit in its responses and need it from others. Here two of
// eight daemons have no share of 0.3 requests per second.
func TestLimit_EndReachesAllDaemons(t *testing.T) {
	t.Parallel()
	const (
		daemons  = 8
		lowLimit = 0.3
	)
	s := newTestCluster(t, 0)
	for i := range daemons {
		s.start(i == 0)
	}
	stop := s.startCallers("/get/x", callersPerDaemon)
	defer stop()
	s.workers["a0"].SetLimit(lowLimit)
	s.eventuallyWithin(2*waitTimeout, "all daemons track the limit", func() bool { return s.daemonsTrackingLimit() == daemons })
	s.workers["a0"].SetLimit(0)
	s.eventuallyWithin(2*waitTimeout, "all daemons have dropped the limit", func() bool { return s.daemonsTrackingLimit() == 0 })
}

// daemonsTrackingLimit returns the number of daemons that track a worker's limit.
func (s *testCluster) daemonsTrackingLimit() int {
	n := 0
	for _, d := range s.daemons {
		if strings.Contains(d.Metrics(), "pointpass_workers_limited 1") {
			n++
		}
	}
	return n
}
