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

// stormCallers is how many callers ask at once.
const stormCallers = 20

// stormPause is the longest time between two requests of a caller, in
// milliseconds.
const stormPause = 700

// storm N SEED sends N rulings, each under a key of its own and each asked for
// again, at another daemon, until it is answered or its end is unknown, while
// daemons are killed, frozen and started again at random. It prints how the
// requests ended.
func cmdStorm(ts *testscript.TestScript, _ bool, args []string) {
	s := of(ts)
	n := number(ts, args[0], 0)
	seed := uint64(number(ts, args[1], 0))
	ctx, cancel := context.WithCancel(context.Background())
	var troubles sync.WaitGroup
	troubles.Go(func() { s.trouble(ctx, rand.New(rand.NewPCG(seed, 1))) })
	ends := s.stormAsk(n, seed)
	cancel()
	troubles.Wait()
	wrong, doubled, unknownRan, lied := 0, 0, 0, 0
	answered, unknown, notRun := 0, 0, 0
	for _, end := range ends {
		runs := s.world.Record.Runs(end.id)
		switch {
		case runs > 1:
			doubled++
		case end.result.Whole:
			answered++
			if runs != 1 {
				wrong++
			}
		case end.result.Outcome == "not-run":
			notRun++
			lied += runs
		default:
			unknown++
			unknownRan += runs
		}
	}
	fmt.Fprintf(ts.Stdout(), "requests=%d answered=%d unknown=%d (ran %d) not-run=%d doubled=%d wrong=%d lied=%d\n",
		n, answered, unknown, unknownRan, notRun, doubled, wrong, lied)
	ts.Logf("requests=%d answered=%d unknown=%d (ran %d) not-run=%d doubled=%d wrong=%d lied=%d",
		n, answered, unknown, unknownRan, notRun, doubled, wrong, lied)
}

type stormEnd struct {
	id     string
	result ask.Result
}

func (s *session) stormAsk(n int, seed uint64) []stormEnd {
	ends := make([]stormEnd, n)
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
				ends[i] = s.stormOne(i, random)
				time.Sleep(time.Duration(random.IntN(stormPause)) * time.Millisecond)
			}
		})
	}
	wg.Wait()
	return ends
}

// stormOne asks until the request has an answer, or three times in a row the
// answer is that its end is unknown.
func (s *session) stormOne(i int, random *rand.Rand) stormEnd {
	id := s.key(fmt.Sprintf("storm-%d", i))
	req := ask.Request{
		Key:      world.Key("nile-1"),
		Service:  "arbiter-lm",
		Kind:     "ruling",
		ID:       id,
		Question: "ruling " + id,
		Context:  "rules of tawla",
		Tokens:   8,
	}
	var result ask.Result
	for range retryLimit {
		req.Addr = s.world.Daemons[random.IntN(len(s.world.Daemons))].Callers
		ctx, cancel := context.WithTimeout(context.Background(), 6*time.Second)
		result = ask.Do(ctx, s.client, req)
		cancel()
		final := result.Status != 0 && result.RetryAfter == 0
		if result.Whole || final {
			break
		}
		time.Sleep(200 * time.Millisecond)
	}
	return stormEnd{id: id, result: result}
}

// trouble kills, freezes and starts daemons again, one at a time, never the
// last one that works.
func (s *session) trouble(ctx context.Context, random *rand.Rand) {
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

// flood N OPTIONS... sends N requests like ask, all at once and in the
// background; "drain" waits for all of them.
func cmdFlood(ts *testscript.TestScript, _ bool, args []string) {
	s := of(ts)
	req, _ := s.request(ts, args[1:])
	for range number(ts, args[0], 0) {
		s.flooding.Go(func() {
			if result := ask.Do(context.Background(), s.client, req); result.RetryAfter > 0 {
				s.floodRefused.Store(true)
			}
		})
	}
}

func cmdDrain(ts *testscript.TestScript, _ bool, _ []string) {
	of(ts).flooding.Wait()
}

// trickle N INTERVAL [SERVICE] sends N questions or calls at even intervals, to
// all daemons in turn.
func cmdTrickle(ts *testscript.TestScript, _ bool, args []string) {
	s := of(ts)
	interval := duration(ts, args[1])
	var wg sync.WaitGroup
	for i := range number(ts, args[0], 0) {
		req := ask.Request{
			Addr:     s.world.Daemons[i%len(s.world.Daemons)].Callers,
			Key:      world.Key("nile-1"),
			Service:  "arbiter-lm",
			Kind:     "question",
			Question: fmt.Sprint("trickle ", i),
			Context:  fmt.Sprint("rules ", i%7),
			Tokens:   4,
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
