package standin

import (
	"context"
	"flag"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

var (
	lateSeed     = flag.Uint64("late.seed", 1, "the first seed of TestBudget_WorkersThatStandStill")
	lateSeeds    = flag.Uint64("late.seeds", 1, "how many seeds TestBudget_WorkersThatStandStill runs")
	lateLarge    = flag.Bool("late.large", false, "whether TestBudget_WorkersThatStandStill runs its large cases")
	lateDuration = flag.Duration("late.duration", 60*time.Second, "how long each case of TestBudget_WorkersThatStandStill lasts")
)

// startOpenLoop sends requests at random times to daemons at random, at a mean rate for all of them together, until
// stop is called.
func (s *testCluster) startOpenLoop(random *rand.Rand, service, path string, perSecond float64) (stop func()) {
	ctx, cancel := context.WithCancel(s.t.Context())
	var running sync.WaitGroup
	running.Go(func() {
		next := time.Now()
		for ctx.Err() == nil {
			next = next.Add(time.Duration(random.ExpFloat64() / perSecond * float64(time.Second)))
			select {
			case <-ctx.Done():
				return
			case <-time.After(time.Until(next)):
			}
			d := s.daemons[random.IntN(len(s.daemons))]
			r := Request{ID: fmt.Sprintf("d%015x", s.callerIDs.Add(1)), Method: http.MethodGet, Host: host, Path: path, Key: key, Timeout: 4 * time.Second, Header: streamHeader()}
			s.store.Checker().recordSent(service)
			running.Go(func() { d.Send(ctx, r) })
		}
	})
	return func() {
		cancel()
		running.Wait()
	}
}

// standStillTogether lets half of a list of workers at a time stand still together, with pauses, until a moment.
func standStillTogether(random *rand.Rand, list []*Worker, length time.Duration, until time.Time) {
	for time.Now().Before(until) {
		random.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
		chosen := list[:len(list)/2]
		if length == 0 {
			chosen = nil
		}
		for _, w := range chosen {
			w.StandStill()
		}
		time.Sleep(length)
		for _, w := range chosen {
			w.Resume()
		}
		time.Sleep(time.Duration(750+random.IntN(1500)) * time.Millisecond)
	}
}

// lateCase is a case of TestBudget_WorkersThatStandStill.
type lateCase struct {
	name string
	// service gets requests at perSecond while half of its workers stand still together for length.
	service   string
	perSecond float64
	length    time.Duration
	// daemons is the number of daemons, and workers that of the service's.
	daemons, workers int
}

var lateCases = []lateCase{
	{"plain, 3 s", "app", 20, 3 * time.Second, 3, 4},
	{"plain, 6 s", "app", 20, 6 * time.Second, 3, 4},
	{"plain, twice the load, 6 s", "app", 40, 6 * time.Second, 3, 4},
	{"streams, 3 s", "llm", 20, 3 * time.Second, 3, 8},
}

// largeLateCases take half of a machine and are run by hand, one at a time.
var largeLateCases = []lateCase{
	{"large, streams, 3 s", "llm", 135, 3 * time.Second, 8, 48},
	{"large, streams, 6 s", "llm", 135, 6 * time.Second, 8, 48},
	{"large, streams, 9 s", "llm", 135, 9 * time.Second, 8, 48},
	{"large, plain, 6 s", "app", 135, 6 * time.Second, 8, 16},
	{"none", "app", 20, 0, 3, 4},
}

// TestBudget_WorkersThatStandStill guards against retries that count in the window in which they were sent, and reach
// their workers in a later one: workers stand still, and then read what has reached their machines. Every answer is
// lost, so that daemons retry as often as they may.
func TestBudget_WorkersThatStandStill(t *testing.T) {
	cases := lateCases
	if *lateLarge {
		cases = largeLateCases
	}
	for seed := *lateSeed; seed < *lateSeed+*lateSeeds; seed++ {
		for _, c := range cases {
			t.Run(fmt.Sprintf("%s, seed %d", c.name, seed), func(t *testing.T) {
				t.Parallel()
				runLateCase(t, c, rand.New(rand.NewPCG(seed, 0)))
			})
		}
	}
}

func runLateCase(t *testing.T, c lateCase, random *rand.Rand) {
	models := 0
	if c.service == "llm" {
		models = c.workers
	}
	s := newTestCluster(t, models)
	for i := range s.config.Routes {
		s.config.Routes[i].Attempts = 3
	}
	s.store.Apply(s.config)
	s.store.Checker().SetRetryExtra(budgetExtra)
	list := []*Worker{s.workers["a0"], s.workers["a1"]}
	for c.service == "app" && len(list) < c.workers {
		list = append(list, s.addWorker(fmt.Sprint("a", len(list)), "app", ""))
	}
	for i := range c.daemons {
		s.startAs(Setup{FirstStart: i == 0, RetryExtra: budgetExtra})
	}
	s.awaitGroups(models / 2)
	s.awaitShares()
	path, fault := "/get/x", DropsResponses
	if c.service == "llm" {
		path, fault, list = "/ask/q", CutsStream, s.openGroupHeads()
	}
	for _, w := range s.workers {
		w.SetFault(fault)
	}
	stop := s.startOpenLoop(rand.New(rand.NewPCG(random.Uint64(), 0)), c.service, path, c.perSecond)
	standStillTogether(random, list, c.length, time.Now().Add(*lateDuration))
	stop()
	checker := s.store.Checker()
	t.Logf("%s: %d retries, worst window: %+v", c.name, checker.Retries(c.service), checker.WorstRetries(c.service))
	must.Positive(t, checker.Retries(c.service))
}
