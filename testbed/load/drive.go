package load

import (
	"context"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/pointpass/pointpass/testbed/ask"
	"github.com/pointpass/pointpass/testbed/world"
)

// returns is how often a refused caller comes back.
const returns = 2

// ended is what became of one request.
type ended struct {
	planned  planned
	result   ask.Result
	refused  int           // how often it was refused on the way
	took     time.Duration // from the first time it was asked
	tries    int
	inTime   bool
	firstLag time.Duration // from the first time it was asked to the first token
}

// Run drives a surge at a rate and returns its measures. Halfway calls disturb,
// if given.
func Run(w *world.World, s Scenario, rate float64, seed uint64, disturb func()) Measures {
	random := rand.New(rand.NewPCG(seed, 0))
	requests := s.plan(rate, len(w.Daemons), random)
	client := ask.NewClient()
	defer client.CloseIdleConnections()
	results := make([]ended, len(requests))
	begun := time.Now()
	var wg sync.WaitGroup
	if disturb != nil {
		timer := time.AfterFunc(s.Surge/2, disturb)
		defer timer.Stop()
	}
	for i, p := range requests {
		wg.Go(func() {
			time.Sleep(time.Until(begun.Add(p.at)))
			results[i] = drive(w, client, p)
		})
	}
	wg.Wait()
	return measure(w, s, results)
}

// drive sends one request and comes back when told to. A caller that got
// "unknown" for a request with a key asks again with the same key.
func drive(w *world.World, client *http.Client, p planned) ended {
	begun := time.Now()
	if p.kind.Once {
		p.request.ID = newKey()
	}
	e := ended{planned: p}
	req := p.request
	for try := range 1 + returns {
		req.Addr = w.Daemons[(p.daemon+try)%len(w.Daemons)].Callers
		asked := time.Now()
		ctx, cancel := context.WithTimeout(context.Background(), p.kind.Deadline+2*time.Second)
		e.result = ask.Do(ctx, client, req)
		cancel()
		e.tries++
		if e.result.Whole || e.result.RetryAfter == 0 {
			e.firstLag = asked.Sub(begun) + e.result.First
			break
		}
		e.refused++
		time.Sleep(e.result.RetryAfter)
	}
	e.took = time.Since(begun)
	e.inTime = e.result.Whole && e.took <= p.kind.Deadline
	return e
}
