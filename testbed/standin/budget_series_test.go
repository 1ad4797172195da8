package standin

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"os"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

var (
	budgetSeed     = flag.Uint64("budget.seed", 1, "the first seed of TestBudget_Series")
	budgetSeeds    = flag.Uint64("budget.seeds", 2, "how many seeds TestBudget_Series runs")
	budgetDuration = flag.Duration("budget.duration", 45*time.Second, "how long a series of TestBudget_Series lasts")
)

// budgetSeries is the state of one random series.
type budgetSeries struct {
	s         *testCluster
	random    *rand.Rand
	frontends []*Frontend
	until     time.Time
	// late is set if workers stand still, too.
	late bool
}

// TestBudget_Series lets the workers lose every answer, plain and streamed, while daemons are killed, stopped,
// started, frozen, reloaded and added, their rows are refused or lost, and the store is away, comes back older
// or turns some of them away: series of these run beside each other. Settings of some daemons keep saying that
// the system starts for the first time. The checker verifies that the retries of all daemons stay within the
// bound.
func TestBudget_Series(t *testing.T) {
	for seed := *budgetSeed; seed < *budgetSeed+*budgetSeeds; seed++ {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			t.Parallel()
			runBudgetSeries(t, rand.New(rand.NewPCG(seed, seed)), false)
		})
	}
}

// TestBudget_LateSeries is TestBudget_Series with workers that stand still for seconds, some or all of them, and then read
// what has reached their machines.
func TestBudget_LateSeries(t *testing.T) {
	for seed := *budgetSeed; seed < *budgetSeed+*budgetSeeds; seed++ {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			t.Parallel()
			runBudgetSeries(t, rand.New(rand.NewPCG(seed, seed)), true)
		})
	}
}

func runBudgetSeries(t *testing.T, random *rand.Rand, late bool) {
	p := &budgetSeries{s: newTestCluster(t, 4), random: random, late: late}
	s := p.s
	for i := range s.config.Routes {
		s.config.Routes[i].Attempts = 3
	}
	s.store.Apply(s.config)
	s.store.Checker().SetRetryExtra(budgetExtra)
	s.addWorker("a2", "app", "")
	recurs := random.IntN(2) == 0
	for i := range 2 + random.IntN(3) {
		p.frontends = append(p.frontends, s.store.NewFrontend())
		s.startAs(Setup{FirstStart: i == 0 || recurs, RetryExtra: budgetExtra, Frontend: p.frontends[i]})
	}
	s.awaitGroups(2)
	if random.IntN(4) > 0 {
		s.awaitShares()
	}
	s.setFaults(DropsResponses, "a0", "a1", "a2")
	s.setFaults(CutsStream, "m0", "m1", "m2", "m3")
	interval := time.Duration(30+random.IntN(120)) * time.Millisecond
	stopPlain := p.startCallers("app", "/get/x", interval)
	stopStreams := p.startCallers("llm", "/ask/q", 2*interval)
	rest := time.Duration(1 + random.IntN(6))
	p.until = time.Now().Add(*budgetDuration)
	var running sync.WaitGroup
	all := []func(r *rand.Rand){p.changeDaemons, p.changeStore, p.changeRows}
	if late {
		all = append(all, p.changeWorkers)
	}
	for _, series := range all {
		r := rand.New(rand.NewPCG(random.Uint64(), 0))
		running.Go(func() {
			for time.Now().Before(p.until) {
				series(r)
				time.Sleep(rest * upTo4s(r))
			}
		})
	}
	running.Wait()
	s.store.SetFault(NoFault)
	stopPlain()
	stopStreams()
	t.Logf("daemons %d, interval %v, first start recurs %v, worst windows: plain %+v, streams %+v", len(s.daemons), interval, recurs,
		s.store.Checker().WorstRetries("app"), s.store.Checker().WorstRetries("llm"))
	must.Positive(t, s.store.Checker().Retries("app"))
}

// startCallers starts callers of a service at each daemon. Where workers stand still, requests count when they are sent,
// as many arrive late or never.
func (p *budgetSeries) startCallers(service, path string, interval time.Duration) (stop func()) {
	if !p.late {
		return p.s.startSteadyCallers(path, interval)
	}
	random := rand.New(rand.NewPCG(p.random.Uint64(), 0))
	return p.s.startOpenLoop(random, service, path, float64(len(p.s.daemons))/interval.Seconds())
}

// changeWorkers lets some workers, or all, stand still for a while.
func (p *budgetSeries) changeWorkers(r *rand.Rand) {
	var still []*Worker
	for _, w := range p.s.workers {
		if r.IntN(2) == 0 {
			still = append(still, w)
		}
	}
	for _, w := range still {
		w.StandStill()
	}
	time.Sleep(2 * upTo4s(r))
	for _, w := range still {
		w.Resume()
	}
}

// upTo4s returns a random time.
func upTo4s(r *rand.Rand) time.Duration { return time.Duration(r.Int64N(int64(4 * time.Second))) }

// changeDaemons kills, stops, freezes or reloads one daemon or several.
func (p *budgetSeries) changeDaemons(r *rand.Rand) {
	s := p.s
	chosen := s.daemons[r.IntN(len(s.daemons)):]
	switch r.IntN(6) {
	case 0:
		s.stopAndStart(os.Kill, chosen...)
	case 1:
		s.stopAndStart(os.Kill, s.daemons...)
	case 2:
		s.stopAndStart(syscall.SIGTERM, chosen...)
	case 3:
		for _, d := range chosen {
			d.Signal(syscall.SIGSTOP)
		}
		time.Sleep(upTo4s(r))
		for _, d := range chosen {
			d.Signal(syscall.SIGCONT)
		}
	case 4:
		for _, d := range s.daemons {
			d.Signal(syscall.SIGHUP)
		}
	case 5:
		s.config.Version++
		s.store.Apply(s.config)
	}
}

// changeStore lets the store fail for all daemons or for some, or come back as an older copy.
func (p *budgetSeries) changeStore(r *rand.Rand) {
	s := p.s
	fault := []StoreFault{Busy, Throttled, Silent, Reset, Lossy, Late, Slow}[r.IntN(7)]
	switch r.IntN(3) {
	case 0:
		s.store.SetFault(fault)
		time.Sleep(3 * upTo4s(r))
		s.store.SetFault(NoFault)
	case 1:
		cut := p.frontends[:1+r.IntN(len(p.frontends))]
		for _, f := range cut {
			f.SetFault(fault)
		}
		time.Sleep(3 * upTo4s(r))
		for _, f := range cut {
			f.SetFault(NoFault)
		}
	case 2:
		version := s.store.Version()
		time.Sleep(upTo4s(r))
		s.store.Restore(version)
		s.store.Apply(s.config)
		for _, w := range s.workers {
			w.publish()
		}
	}
}

// changeRows lets the store lose the rows of daemons, or refuse them.
func (p *budgetSeries) changeRows(r *rand.Rand) {
	s := p.s
	if r.IntN(2) == 0 {
		s.store.RefuseWrites(nodeRows)
		time.Sleep(3 * upTo4s(r))
		s.store.RefuseWrites("")
		return
	}
	for i := range s.daemons {
		if r.IntN(2) == 0 {
			s.store.Put("control", fmt.Sprint(nodeRows, "edge-", i), nil)
		}
	}
}
