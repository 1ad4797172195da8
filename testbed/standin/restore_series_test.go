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
	restoreSeeds = flag.Uint64("restore.seeds", 2, "how many seeds TestRestore_Series plays")
)

const (
	// seriesFor is how long troubles follow each other in one series, and seriesPause bounds
	// the time from one to the next.
	seriesFor   = 15 * time.Second
	seriesPause = 900 * time.Millisecond
	// oldestCopy bounds the age of the copy that the store comes back from.
	oldestCopy = 10 * time.Second
)

// TestRestore_Series: the store comes back from copies of 0.5 to 10 s of age, with and without
// an absence, amid changes of the configuration, workers that leave and come, dropped
// histories and daemons that are killed and started. What a daemon has once heeded it never
// goes back on, and in the end all act on what the store holds.
func TestRestore_Series(t *testing.T) {
	for seed := *restoreSeed; seed < *restoreSeed+*restoreSeeds; seed++ {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			t.Parallel()
			p := &restorePlay{s: newStage(t, 4), random: rand.New(rand.NewPCG(seed, seed))}
			p.play()
		})
	}
}

// restorePlay is one series.
type restorePlay struct {
	s      *stage
	random *rand.Rand
	copies []copyOf
	// workers and started count the workers and daemons that came later.
	workers, started int
	leaving          []string

	mu     sync.Mutex // of what is watched
	routes int
}

// copyOf is what a copy of the store would hold.
type copyOf struct {
	at      time.Time
	version uint64
}

func (p *restorePlay) play() {
	s := p.s
	s.addWorker("a2", "app", "")
	for i := range 2 + 3*p.random.IntN(3) {
		s.startAs(Setup{FirstStart: i == 0, Fenced: true})
	}
	s.awaitGroups(2)
	stopStreams := s.press("/ask/q", 1)
	stopWatch := p.watch()
	for until := time.Now().Add(seriesFor); time.Now().Before(until); {
		p.trouble()
		time.Sleep(time.Duration(p.random.Int64N(int64(seriesPause))))
	}
	stopWatch()
	p.converges()
	stopStreams()
}

// trouble has one thing happen.
func (p *restorePlay) trouble() {
	p.copies = append(p.copies, copyOf{at: time.Now(), version: p.s.store.Version()})
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

// addRoute has the operator add a route.
func (p *restorePlay) addRoute() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.routes++
	p.s.addRoute(route(p.routes))
}

// watched returns the daemons and how many routes were added.
func (p *restorePlay) watched() ([]*Daemon, int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return slices.Clone(p.s.daemons), p.routes
}

func route(n int) string { return fmt.Sprint("/r", n, "/") }

// replaceWorker has a worker say that it leaves, and another one start.
func (p *restorePlay) replaceWorker() {
	p.workers++
	p.s.addWorker(fmt.Sprint("b", p.workers), "app", "")
	leaves := fmt.Sprint("b", p.workers-1)
	if p.workers == 1 {
		leaves = "a2"
	}
	p.s.workers[leaves].Drain()
	p.leaving = append(p.leaving, leaves)
}

// restart kills a daemon and starts another one.
func (p *restorePlay) restart() {
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

// restore has the store come back from a copy, after an absence or in the middle of its calls.
func (p *restorePlay) restore() {
	i := p.random.IntN(len(p.copies))
	for time.Since(p.copies[i].at) > oldestCopy {
		i++
	}
	trouble := []Trouble{Sound, Reset, Silent, Busy, Lossy}[p.random.IntN(5)]
	p.s.store.SetTrouble(trouble)
	if trouble != Sound {
		time.Sleep(time.Duration(p.random.Int64N(int64(2 * time.Second))))
	}
	p.s.store.Restore(p.copies[i].version)
	p.s.store.SetTrouble(Sound)
	p.copies = p.copies[:i+1]
	time.Sleep(time.Duration(p.random.Int64N(int64(500 * time.Millisecond))))
	p.rewrite()
}

// rewrite has the operator and the workers write again what they had written.
func (p *restorePlay) rewrite() {
	p.s.store.Apply(p.s.config)
	for _, w := range p.s.workers {
		w.publish()
	}
}

// watch has callers ask each daemon for the routes that were added, until the function that it
// returns is called. A daemon that has once served a route never says that there is none.
func (p *restorePlay) watch() (stop func()) {
	ctx, cancel := context.WithCancel(p.s.t.Context())
	var running sync.WaitGroup
	running.Go(func() {
		served := map[string]bool{}
		for ctx.Err() == nil {
			daemons, routes := p.watched()
			for _, d := range daemons {
				p.askRoutes(ctx, d, routes, served)
			}
			time.Sleep(20 * time.Millisecond)
		}
	})
	return func() {
		cancel()
		running.Wait()
	}
}

func (p *restorePlay) askRoutes(ctx context.Context, d *Daemon, routes int, served map[string]bool) {
	for n := 1; n <= routes; n++ {
		a := Ask{ID: fmt.Sprintf("%08x%08x", n, time.Now().UnixNano()&0xffffffff), Method: http.MethodGet, Host: host, Path: route(n) + "x", Key: key, Wait: time.Second}
		status := d.Send(ctx, a).Status
		name := d.addr + route(n)
		if served[name] && status == http.StatusNotFound {
			p.s.t.Errorf("%s was served by %s, and is unknown there now", route(n), d.addr)
		}
		served[name] = served[name] || status == http.StatusOK
	}
}

// converges checks that all daemons act on what the store holds.
func (p *restorePlay) converges() {
	s := p.s
	p.addRoute()
	p.replaceWorker()
	last := fmt.Sprint("b", p.workers)
	for _, d := range s.daemons {
		s.eventuallyWithin(2*patience, "a daemon has the last route, worker and leave", func() bool {
			return s.status(d, route(p.routes)+"x") == http.StatusOK && s.serves(d, last)
		})
		for _, id := range p.leaving {
			s.eventuallyWithin(2*patience, id+" had said that it leaves", func() bool { return !s.serves(d, id) })
		}
	}
	s.eventuallyWithin(2*patience, "one daemon holds the lease, and groups are open", func() bool {
		held := 0
		for _, d := range s.daemons {
			if strings.Contains(d.Metrics(), "pointpass_lease_held 1") {
				held++
			}
		}
		return held == 1 && len(s.open()) == 2
	})
	for _, d := range s.daemons {
		must.StrNotContains(s.t, d.Log(), "panic:")
	}
}
