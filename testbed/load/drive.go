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

// maxRetries is how often a client repeats a request that was rejected with
// Retry-After.
const maxRetries = 2

// outcome is the result of one request including its retries.
type outcome struct {
	request           plannedRequest
	result            ask.Result
	rejections        int           // responses with Retry-After
	latency           time.Duration // from the first attempt to the end of the last
	attempts          int
	inTime            bool
	firstTokenLatency time.Duration // from the first attempt to the first token
}

// Run sends the surge's requests at the mean rate, in requests per second, and returns
// a summary. It calls disturb, unless nil, after half of the surge.
func Run(w *world.World, s Scenario, rate float64, seed uint64, disturb func()) Summary {
	rng := rand.New(rand.NewPCG(seed, 0))
	requests := s.plan(rate, len(w.Daemons), rng)
	client := ask.NewClient()
	defer client.CloseIdleConnections()
	results := make([]outcome, len(requests))
	start := time.Now()
	var wg sync.WaitGroup
	if disturb != nil {
		timer := time.AfterFunc(s.Duration/2, disturb)
		defer timer.Stop()
	}
	for i, p := range requests {
		wg.Go(func() {
			time.Sleep(time.Until(start.Add(p.arrival)))
			results[i] = sendWithRetries(w, client, p)
		})
	}
	wg.Wait()
	return summarize(w, s, results)
}

// sendWithRetries sends one request and repeats it at the next daemon after the delay of
// each Retry-After. A request with an idempotency key is repeated with the same key, also
// after the outcome "unknown".
func sendWithRetries(w *world.World, client *http.Client, p plannedRequest) outcome {
	start := time.Now()
	if p.kind.ExactlyOnce {
		p.request.IdempotencyKey = newKey()
	}
	o := outcome{request: p}
	req := p.request
	for try := range 1 + maxRetries {
		req.Addr = w.Daemons[(p.daemon+try)%len(w.Daemons)].CallersAddr
		attemptStart := time.Now()
		ctx, cancel := context.WithTimeout(context.Background(), p.kind.Deadline+2*time.Second)
		o.result = ask.Do(ctx, client, req)
		cancel()
		o.attempts++
		if o.result.Complete || o.result.RetryAfter == 0 {
			o.firstTokenLatency = attemptStart.Sub(start) + o.result.FirstTokenLatency
			break
		}
		o.rejections++
		time.Sleep(o.result.RetryAfter)
	}
	o.latency = time.Since(start)
	o.inTime = o.result.Complete && o.latency <= p.kind.Deadline
	return o
}
