package standin

import (
	"context"
	"flag"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

var (
	restoreSeed  = flag.Uint64("restore.seed", 1, "the first seed of TestRestore_Series")
	restoreSeeds = flag.Uint64("restore.seeds", 2, "how many seeds TestRestore_Series runs")
)

const (
	// restoreSeriesDuration is how long faults are injected in one series. maxFaultInterval
	// bounds the time from one to the next.
	restoreSeriesDuration = 15 * time.Second
	maxFaultInterval      = 900 * time.Millisecond
	// maxBackupAge bounds the age of the copy that the store is restored from.
	maxBackupAge = 10 * time.Second
)

// TestRestore_Series restores the store from copies that are 0.5 to 10 s old, with and without
// an outage, among configuration changes, worker replacements, dropped histories and daemon
// restarts. A daemon must never revert a change that it has applied, and in the end all daemons
// must act on the store's content.
func TestRestore_Series(t *testing.T) {
	for seed := *restoreSeed; seed < *restoreSeed+*restoreSeeds; seed++ {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			t.Parallel()
			p := &restoreSeries{s: newTestCluster(t, 4), random: rand.New(rand.NewPCG(seed, seed))}
			p.run()
		})
	}
}

// restoreSeries is the state of one random series.
type restoreSeries struct {
	s       *testCluster
	random  *rand.Rand
	backups []backup
	// workers and started count the workers and daemons started during the series.
	workers, started int
	leaving          []string

	mu     sync.Mutex // guards routes and changes of s.daemons
	routes int
}

// backup is a version of the store that can be restored.
type backup struct {
	at      time.Time
	version uint64
}

func (p *restoreSeries) run() {
	s := p.s
	s.addWorker("a2", "app", "")
	for i := range 2 + 3*p.random.IntN(3) {
		s.startAs(Setup{FirstStart: i == 0, Fenced: true})
	}
	s.awaitGroups(2)
	stopStreams := s.startCallers("/ask/q", 1)
	stopWatch := p.watchRoutes()
	for until := time.Now().Add(restoreSeriesDuration); time.Now().Before(until); {
		p.injectFault()
		time.Sleep(time.Duration(p.random.Int64N(int64(maxFaultInterval))))
	}
	stopWatch()
	p.checkConvergence()
	stopStreams()
}

// injectFault applies one random change or fault.
func (p *restoreSeries) injectFault() {
	p.backups = append(p.backups, backup{at: time.Now(), version: p.s.store.Version()})
	switch p.random.IntN(8) {
	case 0, 1:
		p.addRoute()
	case 2:
		p.replaceWorker()
	case 3:
		p.s.store.ForgetHistory()
	case 4:
		p.restart()
	default:
		p.restore()
	}
}

// addRoute adds a route as the operator does.
func (p *restoreSeries) addRoute() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.routes++
	p.s.addRoute(route(p.routes))
}

// daemonsAndRoutes returns the daemons and the number of routes added.
func (p *restoreSeries) daemonsAndRoutes() ([]*Daemon, int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return slices.Clone(p.s.daemons), p.routes
}

func route(n int) string { return fmt.Sprint("/r", n, "/") }

// replaceWorker starts a worker and drains the previous one.
func (p *restoreSeries) replaceWorker() {
	p.workers++
	p.s.addWorker(fmt.Sprint("b", p.workers), "app", "")
	leavingID := fmt.Sprint("b", p.workers-1)
	if p.workers == 1 {
		leavingID = "a2"
	}
	p.s.workers[leavingID].Drain()
	p.leaving = append(p.leaving, leavingID)
}

// restart kills a daemon and starts another one.
func (p *restoreSeries) restart() {
	s := p.s
	i := p.random.IntN(len(s.daemons))
	s.daemons[i].Kill()
	p.started++
	d, kill, err := Start(program, s.t.TempDir(), fmt.Sprint("late-", p.started), s.store, Setup{Fenced: true})
	must.NoError(s.t, err)
	s.t.Cleanup(kill)
	p.mu.Lock()
	defer p.mu.Unlock()
	s.daemons[i] = d
}

// restore restores the store from a copy, after an outage or during its calls.
func (p *restoreSeries) restore() {
	i := p.random.IntN(len(p.backups))
	for time.Since(p.backups[i].at) > maxBackupAge {
		i++
	}
	fault := []StoreFault{NoFault, Reset, Silent, Busy, Lossy}[p.random.IntN(5)]
	p.s.store.SetFault(fault)
	if fault != NoFault {
		time.Sleep(time.Duration(p.random.Int64N(int64(2 * time.Second))))
	}
	p.s.store.Restore(p.backups[i].version)
	p.s.store.SetFault(NoFault)
	p.backups = p.backups[:i+1]
	time.Sleep(time.Duration(p.random.Int64N(int64(500 * time.Millisecond))))
	p.rewrite()
}

// rewrite writes the configuration and the workers' entries again, as the operator and the
// workers do after a restore.
func (p *restoreSeries) rewrite() {
	p.s.store.Apply(p.s.config)
	for _, w := range p.s.workers {
		w.publish()
	}
}

// watchRoutes requests the added routes from each daemon until stop is called. A daemon that
// has served a route must not answer later that it does not exist.
func (p *restoreSeries) watchRoutes() (stop func()) {
	ctx, cancel := context.WithCancel(p.s.t.Context())
	var running sync.WaitGroup
	running.Go(func() {
		served := map[string]bool{}
		for ctx.Err() == nil {
			daemons, routes := p.daemonsAndRoutes()
			for _, d := range daemons {
				p.requestRoutes(ctx, d, routes, served)
			}
			time.Sleep(20 * time.Millisecond)
		}
	})
	return func() {
		cancel()
		running.Wait()
	}
}

func (p *restoreSeries) requestRoutes(ctx context.Context, d *Daemon, routes int, served map[string]bool) {
	for n := 1; n <= routes; n++ {
		a := Request{ID: fmt.Sprintf("%08x%08x", n, time.Now().UnixNano()&0xffffffff), Method: http.MethodGet, Host: host, Path: route(n) + "x", Key: key, Timeout: time.Second}
		status := d.Send(ctx, a).Status
		name := d.addr + route(n)
		if served[name] && status == http.StatusNotFound {
			p.s.t.Errorf("%s was served by %s and is now not found there", route(n), d.addr)
		}
		served[name] = served[name] || status == http.StatusOK
	}
}

// checkConvergence checks that all daemons act on the store's content.
func (p *restoreSeries) checkConvergence() {
	s := p.s
	p.addRoute()
	p.replaceWorker()
	last := fmt.Sprint("b", p.workers)
	for _, d := range s.daemons {
		s.eventuallyWithin(2*waitTimeout, "a daemon has the last route and worker", func() bool {
			return s.status(d, route(p.routes)+"x") == http.StatusOK && s.serves(d, last)
		})
		for _, id := range p.leaving {
			s.eventuallyWithin(2*waitTimeout, id+" receives no requests after it announced that it leaves", func() bool { return !s.serves(d, id) })
		}
	}
	s.eventuallyWithin(2*waitTimeout, "one daemon holds the lease, and groups are open", func() bool {
		held := 0
		for _, d := range s.daemons {
			if strings.Contains(d.Metrics(), "pointpass_lease_held 1") {
				held++
			}
		}
		return held == 1 && len(s.openGroupHeads()) == 2
	})
	for _, d := range s.daemons {
		must.StrNotContains(s.t, d.Log(), "panic:")
	}
}
