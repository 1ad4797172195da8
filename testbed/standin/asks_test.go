package standin

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

var (
	asksSeed  = flag.Uint64("asks.seed", 1, "the first seed of TestAsks_Series")
	asksSeeds = flag.Uint64("asks.seeds", 2, "how many seeds TestAsks_Series runs")
)

// workerCase is a cluster with constant load and the worker under test in it.
type workerCase struct {
	s      *testCluster
	worker *Worker
}

// forEachWorkerKind runs a test with a number of daemons for the head of a group and for a
// plain worker. The other workers are healthy or fail, so that requests are retried or streams
// move.
func forEachWorkerKind(t *testing.T, daemons int, run func(t *testing.T, a *workerCase)) {
	for _, c := range []struct {
		name    string
		grouped bool
		others  Fault
	}{
		{"a group", true, Healthy},
		{"a group, streams move there", true, CutsStream},
		{"a plain worker", false, Healthy},
		{"a plain worker, others fail", false, Fails},
		{"a plain worker, others reject requests", false, Full},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			s := newTestCluster(t, 4)
			for i := range daemons {
				s.start(i == 0)
			}
			s.awaitGroups(2)
			path, worker, other := "/get/x", s.workers["a0"], s.workers["a1"]
			if c.grouped {
				path, worker, other = "/ask/q", s.openGroupHeads()[0], s.openGroupHeads()[1]
			}
			other.SetFault(c.others)
			defer s.startCallers(path, callersPerDaemon)()
			run(t, &workerCase{s: s, worker: worker})
		})
	}
}

// callersPerDaemon callers send requests to each daemon, far more than a throttled worker
// accepts.
const callersPerDaemon = 2

// startCallers has a number of callers send requests to each daemon until stop is called.
func (s *testCluster) startCallers(path string, callers int) (stop func()) {
	done := make(chan struct{})
	var running sync.WaitGroup
	for _, d := range s.daemons {
		for range callers {
			running.Go(func() {
				for {
					select {
					case <-done:
						return
					case <-time.After(10 * time.Millisecond):
					}
					a := Request{ID: fmt.Sprintf("c%015x", s.callerIDs.Add(1)), Method: http.MethodPost, Host: host, Path: path, Key: key, Body: "question", Timeout: 5 * time.Second, Header: streamHeader()}
					d.Send(s.t.Context(), a)
				}
			})
		}
	}
	return func() {
		close(done)
		running.Wait()
	}
}

const (
	// throttleSeriesDuration is how long the workers are throttled at random in one series.
	// maxThrottleInterval bounds the time from one change to the next.
	throttleSeriesDuration = 20 * time.Second
	maxThrottleInterval    = 1500 * time.Millisecond
)

// TestAsks_Series lets workers set and remove limits, request pauses, fail and break streams in
// random series that overlap, under constant load. One worker of each kind is never throttled,
// so that callers are always served. The checker verifies the bounds.
func TestAsks_Series(t *testing.T) {
	for seed := *asksSeed; seed < *asksSeed+*asksSeeds; seed++ {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			t.Parallel()
			runThrottleSeries(t, rand.New(rand.NewPCG(seed, seed)))
		})
	}
}

func runThrottleSeries(t *testing.T, random *rand.Rand) {
	s := newTestCluster(t, 6)
	s.addWorker("a2", "app", "")
	daemons := 1 + 2*random.IntN(2) // 1 or 3; pauses are checked for one daemon only
	for i := range daemons {
		s.start(i == 0)
	}
	s.awaitGroups(3)
	heads := s.openGroupHeads()
	throttled := append(slices.Clone(heads[1:]), s.workers["a1"], s.workers["a2"])
	stopStreams, stopPlain := s.startCallers("/ask/q", callersPerDaemon), s.startCallers("/get/x", callersPerDaemon)
	var series sync.WaitGroup
	until := time.Now().Add(throttleSeriesDuration)
	for _, w := range throttled {
		workerRandom := rand.New(rand.NewPCG(random.Uint64(), 0))
		series.Go(func() { throttleRandomly(w, workerRandom, daemons == 1, until) })
	}
	series.Wait()
	for _, w := range throttled {
		w.SetLimit(0)
		w.SetPause(0)
		w.SetFault(Healthy)
	}
	for _, w := range throttled {
		before := len(w.Runs())
		s.eventuallyWithin(2*waitTimeout, "all workers receive requests again after throttling ended", func() bool { return len(w.Runs()) > before+10 })
	}
	stopStreams()
	stopPlain()
	must.Positive(t, len(heads[0].Runs()))
}

// throttleRandomly changes a worker's limit, pause or fault at random until a time.
func throttleRandomly(w *Worker, random *rand.Rand, pauses bool, until time.Time) {
	for time.Now().Before(until) {
		switch random.IntN(5) {
		case 0, 1:
			w.SetFault(Healthy) // a limit is announced in responses, which a faulty worker may drop
			w.SetLimit(0.5 + 4*random.Float64())
		case 2:
			w.SetLimit(0)
		case 3:
			if pauses {
				w.SetPause(time.Duration(500+random.IntN(2500)) * time.Millisecond)
			}
		case 4:
			w.SetPause(0)
			w.SetLimit(0)
			w.SetFault([]Fault{Full, CutsStream, DropsResponses, Healthy}[random.IntN(4)])
		}
		time.Sleep(time.Duration(random.Int64N(int64(maxThrottleInterval))))
	}
}
