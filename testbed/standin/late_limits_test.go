package standin

import (
	"testing"
	"time"
)

const (
	// stillLimit is the limit of a worker that stands still, in requests per second.
	stillLimit = 20
	// stillRounds is how often a worker stands still, for stillTime at a time, and runs for stillPause.
	stillRounds = 6
	stillTime   = 3 * time.Second
	stillPause  = 1500 * time.Millisecond
)

// standStillAgain lets a worker stand still again and again.
func standStillAgain(w *Worker) {
	for range stillRounds {
		w.StandStill()
		time.Sleep(stillTime)
		w.Resume()
		time.Sleep(stillPause)
	}
}

// TestLimit_WorkerThatStandsStill guards against a worker that reads more than its limit allows, since it stands still
// and the requests that daemons sent it meanwhile count as sent long ago.
func TestLimit_WorkerThatStandsStill(t *testing.T) {
	t.Parallel()
	s := newTestCluster(t, 0)
	for i := range 3 {
		s.start(i == 0)
	}
	defer s.startCallers("/get/x", 4*coldCallers)()
	w := s.workers["a0"]
	w.SetLimit(stillLimit)
	s.awaitLimitUsed(w)
	standStillAgain(w)
}

// TestCold_WorkerThatStandsStill guards against a cold worker that reads more than its bound, since it stands still and
// the requests that daemons sent it meanwhile count as sent long ago.
func TestCold_WorkerThatStandsStill(t *testing.T) {
	t.Parallel()
	s, cold := newColdCluster(t)
	defer s.startCallers("/get/x", 4*coldCallers)()
	eventually(t, "the cold worker gets requests", func() bool { return s.store.Checker().ColdArrivals("cold") > minColdArrivals })
	standStillAgain(cold)
}
