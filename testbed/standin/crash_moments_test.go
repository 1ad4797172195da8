package standin

import (
	"context"
	"fmt"
	"maps"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// Requests that crash workers come from so many senders, each so long after its last answer.
const (
	deadlySenders = 4
	deadlyPause   = 150 * time.Millisecond
	// clustersAtATime is how many clusters run side by side.
	clustersAtATime = 3
)

// sendSteadily sends requests that crash workers to daemons in turn, at a steady pace until ctx ends.
func (c *crashingWorkers) sendSteadily(ctx context.Context, daemons []*Daemon) {
	var mu sync.Mutex
	var senders sync.WaitGroup
	for i := range deadlySenders {
		senders.Go(func() {
			for n := i; ctx.Err() == nil; n++ {
				mu.Lock()
				r := c.newDeadly()
				mu.Unlock()
				daemons[n%len(daemons)].Send(ctx, r)
				select {
				case <-time.After(deadlyPause):
				case <-ctx.Done():
				}
			}
		})
	}
	senders.Wait()
}

// checkHeldBack sends requests that crash workers, to daemons in turn, until they are to be held back, and longer. It checks
// that no more than allowed reach workers later, and that others are served at the first attempt at least
// half as often as before.
func (c *crashingWorkers) checkHeldBack(others *backgroundCallers, crashes int, daemons ...*Daemon) {
	t := c.s.t
	const span, least = 2 * time.Second, 20
	begunBefore, before := others.firstAttempts(span)
	ctx, cancel := context.WithCancel(t.Context())
	var sending sync.WaitGroup
	sending.Go(func() { c.sendSteadily(ctx, daemons) })
	defer sending.Wait()
	defer cancel()
	c.awaitCrashes(crashes)
	propagated := time.Now().Add(holdPropagation)
	time.Sleep(2 * holdPropagation)
	begun, first := others.firstAttempts(span)
	late := c.arrivalsSince(propagated)
	t.Logf("%d workers crashed, %d requests came late; others at the first attempt: %d of %d before, %d of %d while it is held", c.crashed(), late, before, begunBefore, first, begun)
	must.LessEq(t, maxHeldArrivals, late, must.Sprint("requests that crash workers went on to reach them"))
	must.GreaterEq(t, least, begunBefore)
	must.GreaterEq(t, least, begun)
	must.GreaterEq(t, float64(before)/float64(begunBefore)/2, float64(first)/float64(begun), must.Sprint("others weren't served"))
}

// awaitCrashes waits until n workers have crashed, or requests that crash workers are held back before: then no more
// will.
func (c *crashingWorkers) awaitCrashes(n int) {
	eventually(c.s.t, fmt.Sprint(n, " workers have crashed"), func() bool { return c.crashed() >= n || c.s.holds() > 0 })
}

// crashed returns the number of workers that have crashed.
func (c *crashingWorkers) crashed() int {
	n := 0
	for _, w := range c.all() {
		if w.Crashed() {
			n++
		}
	}
	return n
}

// crashKinds are the moments of a crash with a port that refuses connections at once, and the other ways
// in which a worker that crashes before its answer is no longer there.
var crashKinds = map[string]Crash{
	"waiting":           {Moment: CrashWaiting},
	"before_the_head":   {Moment: CrashBeforeHead},
	"after_the_head":    {Moment: CrashAfterHead},
	"in_the_first":      {Moment: CrashInFirstEvent},
	"after_the_first":   {Moment: CrashAfterFirstEvent},
	"after_many":        {Moment: CrashAfterManyEvents},
	"refuses_late":      {Moment: CrashAfterHead, End: EndRefusesLate},
	"resets":            {Moment: CrashAfterHead, End: EndResets},
	"silent":            {Moment: CrashAfterHead, End: EndSilent},
	"before_and_silent": {Moment: CrashBeforeHead, End: EndSilent},
}

// forEachCrash runs a test for some crashes, a few at a time.
func forEachCrash(t *testing.T, names []string, test func(t *testing.T, crash Crash)) {
	for chunk := range slices.Chunk(names, clustersAtATime) {
		t.Run("group", func(t *testing.T) {
			for _, name := range chunk {
				t.Run(name, func(t *testing.T) {
					t.Parallel()
					test(t, crashKinds[name])
				})
			}
		})
	}
}

// TestCrash_PartAtAnyMoment guards against a part of prompts that isn't held back since its workers crash
// at another moment of the answer, or don't refuse connections after it.
func TestCrash_PartAtAnyMoment(t *testing.T) {
	forEachCrash(t, slices.Sorted(maps.Keys(crashKinds)), func(t *testing.T, crash Crash) {
		s, c := newDeadlyPartClusterOf(t, crash)
		others := startPartCallers(s)
		s.awaitServed(s.daemons...)
		c.checkHeldBack(others, maxPartCrashes, s.daemons...)
	})
}

// TestCrash_RequestAtAnyMoment guards against the same for a single request.
func TestCrash_RequestAtAnyMoment(t *testing.T) {
	names := []string{"waiting", "before_the_head", "in_the_first", "after_the_first", "after_many", "refuses_late"}
	forEachCrash(t, names, func(t *testing.T, crash Crash) {
		s := newTestCluster(t, 0)
		c := newCrashingWorkers(s, "it crashes workers")
		c.crash = crash
		c.start()
		others := startCallersWith(s, 3, func(string, int) http.Header { return streamHeader() })
		s.awaitServed(s.daemons...)
		c.checkHeldBack(others, maxCrashes, s.daemons...)
	})
}

// TestCrash_PlainRequestAtAnyMoment guards against the same for a request to plain workers.
func TestCrash_PlainRequestAtAnyMoment(t *testing.T) {
	forEachCrash(t, []string{"waiting", "before_the_head", "after_the_head"}, checkPlainCrash)
}

// TestCrash_PlainRequestAtAnyEnd guards against the same for plain workers that don't refuse connections after their end:
// no health check shows that they have ended.
func TestCrash_PlainRequestAtAnyEnd(t *testing.T) {
	forEachCrash(t, []string{"refuses_late", "resets", "silent"}, checkPlainCrash)
}

// checkPlainCrash checks that a request that crashes plain workers is held back.
func checkPlainCrash(t *testing.T, crash Crash) {
	const body = "it crashes workers"
	s := newTestCluster(t, 8)
	c := &crashingWorkers{s: s, service: "app", crash: crash, deadly: func(r Run) bool { return r.Body == body }}
	c.newDeadly = func() Request {
		a := s.newRequest(http.MethodPost, "/post/x")
		a.Body = body
		return a
	}
	for _, id := range []string{"a0", "a1"} {
		c.adopt(s.workers[id])
	}
	c.startServed()
	others := startCallersOf(s, 3, "/get/x", func(string, int) http.Header { return nil })
	c.checkHeldBack(others, maxCrashes, s.daemons...)
}

// TestCrash_ForwardedPartAtAnyMoment guards against the same for prompts that share a part and come by way of a
// daemon that can't reach the workers, and forwards them.
func TestCrash_ForwardedPartAtAnyMoment(t *testing.T) {
	forEachCrash(t, []string{"before_the_head", "after_the_head", "after_the_first"}, func(t *testing.T, crash Crash) {
		s := newTestCluster(t, 0)
		c := newDeadlyPart(s, crash)
		links, closeLinks := NewLinks()
		t.Cleanup(closeLinks)
		// Alone in its data hall it learns of workers from its frontend, not from a daemon that has other links.
		cutOff := s.startAs(Setup{FirstStart: true, Hall: secondHall, Frontend: s.store.NewLinkedFrontend(links)})
		c.startServed()
		links.Cut()
		eventually(t, "requests are forwarded", func() bool { return s.servedFraction(cutOff) == 1 && strings.Contains(cutOff.Log(), "forwarded_to") })
		others := startPartCallers(s)
		c.checkHeldBack(others, maxPartCrashes, cutOff)
	})
}

// startServed starts ten more workers and three more daemons, and waits until all daemons serve requests of each
// kind.
func (c *crashingWorkers) startServed() {
	for range 10 {
		c.add()
	}
	for range 3 {
		c.s.start(len(c.s.daemons) == 0)
	}
	c.s.awaitServed(c.s.daemons...)
}
