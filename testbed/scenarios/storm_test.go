package scenarios

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/rogpeppe/go-internal/testscript"

	"github.com/pointpass/pointpass/testbed/ask"
	"github.com/pointpass/pointpass/testbed/world"
)

// stormCallers is the number of concurrent callers.
const stormCallers = 20

// maxStormDelayMs is the maximum delay between two requests of a caller, in
// milliseconds.
const maxStormDelayMs = 700

// cmdStorm sends N rulings with different keys while daemons are killed, frozen and
// restarted at random: storm N SEED. Each ruling is retried at random daemons until its
// result is final. The counts of results are printed: "wrong" are answered requests
// that didn't run exactly once, "lied" are requests reported as not run that did run.
func cmdStorm(ts *testscript.TestScript, _ bool, args []string) {
	s := sessionOf(ts)
	n := parseInt(ts, args[0], 0)
	seed := uint64(parseInt(ts, args[1], 0))
	ctx, cancel := context.WithCancel(context.Background())
	var faults sync.WaitGroup
	faults.Go(func() { s.injectFaults(ctx, rand.New(rand.NewPCG(seed, 1))) })
	results := s.sendStorm(n, seed)
	cancel()
	faults.Wait()
	wrong, doubled, unknownRan, falseNotRun := 0, 0, 0, 0
	answered, unknown, notRun := 0, 0, 0
	for _, r := range results {
		runs := s.world.Record.RunCount(r.id)
		switch {
		case runs > 1:
			doubled++
		case r.result.Complete:
			answered++
			if runs != 1 {
				wrong++
			}
		case r.result.Outcome == "not-run":
			notRun++
			falseNotRun += runs
		default:
			unknown++
			unknownRan += runs
		}
	}
	fmt.Fprintf(ts.Stdout(), "requests=%d answered=%d unknown=%d (ran %d) not-run=%d doubled=%d wrong=%d lied=%d\n",
		n, answered, unknown, unknownRan, notRun, doubled, wrong, falseNotRun)
	ts.Logf("requests=%d answered=%d unknown=%d (ran %d) not-run=%d doubled=%d wrong=%d lied=%d",
		n, answered, unknown, unknownRan, notRun, doubled, wrong, falseNotRun)
}

type stormResult struct {
	id     string
	result ask.Result
}

func (s *session) sendStorm(n int, seed uint64) []stormResult {
	results := make([]stormResult, n)
	next := make(chan int, n)
	for i := range n {
		next <- i
	}
	close(next)
	var wg sync.WaitGroup
	for caller := range stormCallers {
		random := rand.New(rand.NewPCG(seed, uint64(caller)+100))
		wg.Go(func() {
			for i := range next {
				results[i] = s.stormRequest(i, random)
				time.Sleep(time.Duration(random.IntN(maxStormDelayMs)) * time.Millisecond)
			}
		})
	}
	wg.Wait()
	return results
}

// stormRequest sends a request to random daemons until it is answered, is refused for
// good or its outcome is unknown, at most maxAttempts times.
func (s *session) stormRequest(i int, random *rand.Rand) stormResult {
	id := s.key(fmt.Sprintf("storm-%d", i))
	req := ask.Request{
		APIKey:         world.Key("nile-1"),
		Service:        "arbiter-lm",
		Kind:           "ruling",
		IdempotencyKey: id,
		Question:       "ruling " + id,
		SystemPrompt:   "rules of tawla",
		Tokens:         8,
	}
	var result ask.Result
	for range maxAttempts {
		req.Addr = s.world.Daemons[random.IntN(len(s.world.Daemons))].CallersAddr
		ctx, cancel := context.WithTimeout(context.Background(), 6*time.Second)
		result = ask.Do(ctx, s.client, req)
		cancel()
		final := result.Status != 0 && result.RetryAfter == 0
		if result.Complete || final {
			break
		}
		time.Sleep(200 * time.Millisecond)
	}
	return stormResult{id: id, result: result}
}

// injectFaults kills and restarts, or freezes and thaws, one random daemon at a time
// until ctx ends.
func (s *session) injectFaults(ctx context.Context, random *rand.Rand) {
	for ctx.Err() == nil {
		d := s.world.Daemons[random.IntN(len(s.world.Daemons))]
		if random.IntN(2) == 0 {
			d.Kill()
			sleep(ctx, time.Duration(random.IntN(3000))*time.Millisecond)
			d.Start()
		} else {
			d.Freeze()
			sleep(ctx, time.Duration(random.IntN(9000))*time.Millisecond)
			d.Thaw()
		}
		sleep(ctx, time.Duration(500+random.IntN(1500))*time.Millisecond)
	}
}

func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

// cmdFlood sends N requests concurrently in the background, with the options of "ask":
// flood N OPTIONS... The command "drain" waits for them.
func cmdFlood(ts *testscript.TestScript, _ bool, args []string) {
	s := sessionOf(ts)
	req, _ := s.request(ts, args[1:])
	for range parseInt(ts, args[0], 0) {
		s.floods.Go(func() {
			if result := ask.Do(context.Background(), s.client, req); result.RetryAfter > 0 {
				s.floodRejected.Store(true)
			}
		})
	}
}

// cmdDrain waits for all requests of floods: drain.
func cmdDrain(ts *testscript.TestScript, _ bool, _ []string) {
	sessionOf(ts).floods.Wait()
}

// cmdTrickle sends N questions, or calls to a plain service, at a fixed interval to all
// daemons in turn: trickle N INTERVAL [SERVICE].
func cmdTrickle(ts *testscript.TestScript, _ bool, args []string) {
	s := sessionOf(ts)
	interval := parseDuration(ts, args[1])
	var wg sync.WaitGroup
	for i := range parseInt(ts, args[0], 0) {
		req := ask.Request{
			Addr:         s.world.Daemons[i%len(s.world.Daemons)].CallersAddr,
			APIKey:       world.Key("nile-1"),
			Service:      "arbiter-lm",
			Kind:         "question",
			Question:     fmt.Sprint("trickle ", i),
			SystemPrompt: fmt.Sprint("rules ", i%7),
			Tokens:       4,
		}
		if len(args) > 2 {
			req.Service = args[2]
			req.Path = "/moves"
		}
		wg.Go(func() { ask.Do(context.Background(), s.client, req) })
		time.Sleep(interval)
	}
	wg.Wait()
}
