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
	asksSeeds = flag.Uint64("asks.seeds", 2, "how many seeds TestAsks_Series plays")
)

// asking is a stage whose callers ask all the while, and a worker that may ask for less.
type asking struct {
	s      *stage
	worker *Worker
}

// forAsking plays a test with so many daemons for the head of a group and for a plain worker,
// each beside sound workers and beside such as fail, so that requests are sent again or
// streams move.
func forAsking(t *testing.T, daemons int, play func(t *testing.T, a *asking)) {
	for _, c := range []struct {
		name    string
		grouped bool
		others  Fault
	}{
		{"a group", true, Healthy},
		{"a group, streams move there", true, CutsEvents},
		{"a plain worker", false, Healthy},
		{"a plain worker, others fail", false, Fails},
		{"a plain worker, others turn requests away", false, Full},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			s := newStage(t, 4)
			for i := range daemons {
				s.start(i == 0)
			}
			s.awaitGroups(2)
			path, worker, other := "/get/x", s.workers["a0"], s.workers["a1"]
			if c.grouped {
				path, worker, other = "/ask/q", s.open()[0], s.open()[1]
			}
			other.SetFault(c.others)
			defer s.press(path, pressing)()
			play(t, &asking{s: s, worker: worker})
		})
	}
}

// pressing callers ask each daemon at a time, far more than a worker that asks for less takes.
const pressing = 2

// press has so many callers ask each daemon until stop is called.
func (s *stage) press(path string, callers int) (stop func()) {
	done := make(chan struct{})
	var running sync.WaitGroup
	for i, d := range s.daemons {
		for j := range callers {
			running.Go(func() {
				for n := 0; ; n++ {
					select {
					case <-done:
						return
					case <-time.After(10 * time.Millisecond):
					}
					a := Ask{ID: fmt.Sprintf("%02x%02x%012x", i, j, n), Method: http.MethodPost, Host: host, Path: path, Key: key, Body: "question", Wait: 5 * time.Second, Header: streamHeader()}
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

// asksFor is how long workers ask for this and that in one series, and asksPause bounds the
// time from one change to the next.
const (
	asksFor   = 20 * time.Second
	asksPause = 1500 * time.Millisecond
)

// TestAsks_Series: workers name limits, take them back, ask for pauses, fail and break off
// streams in random series that overlap, while callers ask all daemons. One worker of each
// kind asks for nothing, so that callers are served all the while. The judge watches.
func TestAsks_Series(t *testing.T) {
	for seed := *asksSeed; seed < *asksSeed+*asksSeeds; seed++ {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			t.Parallel()
			playAsks(t, rand.New(rand.NewPCG(seed, seed)))
		})
	}
}

func playAsks(t *testing.T, random *rand.Rand) {
	s := newStage(t, 6)
	s.addWorker("a2", "app", "")
	daemons := 1 + 2*random.IntN(2) // the judge of pauses knows one daemon only
	for i := range daemons {
		s.start(i == 0)
	}
	s.awaitGroups(3)
	heads := s.open()
	askers := append(slices.Clone(heads[1:]), s.workers["a1"], s.workers["a2"])
	stopStreams, stopPlain := s.press("/ask/q", pressing), s.press("/get/x", pressing)
	var series sync.WaitGroup
	until := time.Now().Add(asksFor)
	for _, w := range askers {
		own := rand.New(rand.NewPCG(random.Uint64(), 0))
		series.Go(func() { askInSeries(w, own, daemons == 1, until) })
	}
	series.Wait()
	for _, w := range askers {
		w.SetLimit(0)
		w.SetPause(0)
		w.SetFault(Healthy)
	}
	for _, w := range askers {
		before := len(w.Runs())
		s.eventuallyWithin(2*patience, "all are used again once they ask for nothing", func() bool { return len(w.Runs()) > before+10 })
	}
	stopStreams()
	stopPlain()
	must.Positive(t, len(heads[0].Runs()))
}

// askInSeries has a worker ask for one thing after the other until a time.
func askInSeries(w *Worker, random *rand.Rand, pauses bool, until time.Time) {
	for time.Now().Before(until) {
		switch random.IntN(5) {
		case 0, 1:
			w.SetFault(Healthy) // who loses answers tells nobody of its limit
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
			w.SetFault([]Fault{Full, CutsEvents, LosesAnswers, Healthy}[random.IntN(4)])
		}
		time.Sleep(time.Duration(random.Int64N(int64(asksPause))))
	}
}
