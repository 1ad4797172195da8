package standin

import (
	"context"
	"flag"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

var (
	linksSeed  = flag.Uint64("links.seed", 1, "the first seed of TestLinks_Series")
	linksSeeds = flag.Uint64("links.seeds", 2, "how many seeds TestLinks_Series runs")
)

const (
	// linksSeriesDuration is how long faults are injected in one series, maxLinksInterval bounds
	// the time from one to the next.
	linksSeriesDuration = 15 * time.Second
	maxLinksInterval    = 1200 * time.Millisecond
)

// TestLinks_Series cuts daemons off from all workers and ends that at random, among restarts of
// daemons by signals, lost workers and lost answers, under load on connections that stay open. No
// request that may not be repeated runs twice, no stream has wrong events, the retries stay within
// the allowance, and in the end all requests are served.
func TestLinks_Series(t *testing.T) {
	for seed := *linksSeed; seed < *linksSeed+*linksSeeds; seed++ {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			t.Parallel()
			p := &linksSeries{s: newTestCluster(t, 8), random: rand.New(rand.NewPCG(seed, seed))}
			p.run()
		})
	}
}

// linksSeries is the state of one random series.
type linksSeries struct {
	s        *testCluster
	random   *rand.Rand
	links    []*Links
	replaced int

	mu      sync.Mutex // guards daemons
	daemons []*Daemon
}

func (p *linksSeries) run() {
	s := p.s
	s.addWorkerIn("a2", "app", "", secondHall)
	for i, hall := range []string{"z1", "z2", "z3", "z4"} {
		l, closeLinks := NewLinks()
		s.t.Cleanup(closeLinks)
		p.links = append(p.links, l)
		s.startAs(Setup{FirstStart: i == 0, Hall: hall, Frontend: s.store.NewLinkedFrontend(l)})
	}
	p.daemons = append(p.daemons, s.daemons...)
	s.awaitGroups(4)
	s.awaitServed(s.daemons...)
	stop := p.startCallers()
	for until := time.Now().Add(linksSeriesDuration); time.Now().Before(until); {
		p.injectFault()
		time.Sleep(time.Duration(p.random.Int64N(int64(maxLinksInterval))))
	}
	for _, l := range p.links {
		must.NoError(s.t, l.Restore())
	}
	s.setFaults(Healthy, "a0", "a1", "a2")
	stop()
	s.awaitServed(p.daemons...)
	for _, d := range p.daemons {
		must.StrNotContains(s.t, d.Log(), "panic:")
	}
}

// injectFault applies one random fault, or ends some.
func (p *linksSeries) injectFault() {
	i := p.random.IntN(len(p.links))
	switch p.random.IntN(8) {
	case 0, 1, 2:
		p.links[i].Cut()
	case 3, 4:
		must.NoError(p.s.t, p.links[i].Restore())
	case 5:
		p.restart(i, syscall.SIGKILL)
	case 6:
		p.restart(i, syscall.SIGTERM)
	case 7:
		p.s.setFaults([]Fault{Healthy, DropsResponses, Full}[p.random.IntN(3)], "a0")
		p.replaceWorker()
	}
}

// restart ends a daemon by a signal and starts it again under its name.
func (p *linksSeries) restart(i int, sig syscall.Signal) {
	s := p.s
	p.daemons[i].Signal(sig)
	<-p.daemons[i].Done()
	hall := fmt.Sprint("z", i+1)
	d, kill, err := Start(program, s.t.TempDir(), fmt.Sprint("edge-", i), s.store, Setup{Hall: hall, Frontend: s.store.NewLinkedFrontend(p.links[i])})
	must.NoError(s.t, err)
	s.t.Cleanup(kill)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.daemons[i] = d
}

// replaceWorker kills a worker of a group and adds another one.
func (p *linksSeries) replaceWorker() {
	id := fmt.Sprint("m", p.replaced)
	if p.replaced >= 8 {
		return
	}
	p.replaced++
	p.s.workers[id].Kill()
	p.s.store.Put("servers", id, nil)
	p.s.addWorker(id+"-next", "llm", p.s.workers[id].domain)
}

// startCallers sends requests of each kind to all daemons until stop is called, and checks the
// answers.
func (p *linksSeries) startCallers() (stop func()) {
	ctx, cancel := context.WithCancel(p.s.t.Context())
	var running sync.WaitGroup
	var once []string
	var mu sync.Mutex
	for i := range p.links {
		for _, path := range []string{"/get/x", "/post/x", "/ask/q"} {
			running.Go(func() {
				for ctx.Err() == nil {
					time.Sleep(20 * time.Millisecond)
					p.mu.Lock()
					d := p.daemons[i]
					p.mu.Unlock()
					a := Request{ID: fmt.Sprintf("c%015x", p.s.callerIDs.Add(1)), Method: http.MethodPost, Host: host, Path: path, Key: key, Body: "question", Timeout: 2 * time.Second, Header: streamHeader()}
					r := d.Send(p.s.t.Context(), a)
					if path == "/ask/q" && r.Err == nil && r.Status == http.StatusOK && !completeStream(a.ID, r) {
						p.s.t.Errorf("a stream looks whole and isn't: %q", r.Body)
					}
					if path == "/post/x" {
						mu.Lock()
						once = append(once, a.ID)
						mu.Unlock()
					}
				}
			})
		}
	}
	return func() {
		cancel()
		running.Wait()
		runs := map[string]int{}
		for _, w := range p.s.workers {
			for _, r := range w.Runs() {
				runs[r.ID]++
			}
		}
		for _, id := range once {
			must.LessEq(p.s.t, 1, runs[id], must.Sprint(id))
		}
	}
}
