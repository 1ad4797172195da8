package standin

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// Parts of prompts. All requests share the first part and have one of the middle ones; the
// deadly part is a further middle one.
const (
	firstPart   = "f1"
	deadlyPart  = "dead"
	middleParts = 4
	// maxPartCrashes is how many workers may crash under a part before all daemons must hold
	// back the requests with it, within holdPropagation.
	maxPartCrashes = 5
)

// promptHeader returns the header of a request whose prompt has the given shared parts.
func promptHeader(own string, shared ...string) http.Header {
	h := streamHeader()
	h.Set(headerParts, strings.Join(append(shared, own), ":20,")+":20")
	return h
}

// hasDeadlyPart reports whether a run's prompt shares the deadly part.
func hasDeadlyPart(r Run) bool {
	parts := strings.Split(r.Header.Get(headerParts), ",")
	for _, p := range parts[:len(parts)-1] {
		if id, _, _ := strings.Cut(p, ":"); id == deadlyPart {
			return true
		}
	}
	return false
}

func middlePart(n int) string { return fmt.Sprint("b", n%middleParts) }

// newDeadlyPartCluster is newCrashCluster for requests of which no two are alike and that share
// the deadly part.
func newDeadlyPartCluster(t *testing.T) (*testCluster, *crashingWorkers) {
	return newDeadlyPartClusterOf(t, Crash{})
}

// newDeadlyPartClusterOf is newDeadlyPartCluster for workers that crash in a given way.
func newDeadlyPartClusterOf(t *testing.T, crash Crash) (*testCluster, *crashingWorkers) {
	s := newTestCluster(t, 0)
	c := newDeadlyPart(s, crash)
	c.start()
	return s, c
}

// newDeadlyPart returns workers that crash in a given way at requests that share the deadly part.
func newDeadlyPart(s *testCluster, crash Crash) *crashingWorkers {
	c := &crashingWorkers{s: s, service: "llm", deadly: hasDeadlyPart, crash: crash}
	sent := 0
	c.newDeadly = func() Request {
		sent++
		a := s.newStreamRequest()
		a.Body = fmt.Sprint("question ", sent)
		a.Header = promptHeader(fmt.Sprintf("%x", 0xc0000+sent), firstPart, middlePart(sent), deadlyPart)
		return a
	}
	return c
}

// startPartCallers starts callers whose prompts share all parts but the deadly one.
func startPartCallers(s *testCluster) *backgroundCallers {
	const callers = 3
	return startCallersWith(s, callers, func(caller string, n int) http.Header {
		return promptHeader(fmt.Sprintf("%s%x", caller, n), firstPart, middlePart(n))
	})
}

// TestCrash_OnePartOfManyPromptsCrashesWorkers guards against requests of which no two are alike,
// but that share a part of their prompts which crashes each worker that begins an answer on it.
func TestCrash_OnePartOfManyPromptsCrashesWorkers(t *testing.T) {
	s, c := newDeadlyPartCluster(t)
	others := startPartCallers(s)
	c.crashUntil(maxPartCrashes)
	propagated := time.Now().Add(holdPropagation)
	time.Sleep(time.Until(propagated))
	c.sendRepeatedly()
	others.stop()
	must.LessEq(t, maxHeldArrivals, c.arrivalsSince(propagated), must.Sprint("the part reached more workers after it had crashed five"))
	must.Positive(t, others.complete.Load())
	must.EqOp(t, 0, others.failed.Load(), must.Sprint("requests without the part failed"))
}

// firstAttempts returns how many requests were begun and complete at the first attempt in a time.
func (b *backgroundCallers) firstAttempts(d time.Duration) (begun, complete int64) {
	begun, complete = b.begun.Load(), b.first.Load()
	time.Sleep(d)
	return b.begun.Load() - begun, b.first.Load() - complete
}

// TestCrash_OthersAreServedWhileAPartIsHeld guards against holding back sound requests along with
// those that crash workers: they share their key, their first part and the other middle parts. From
// twice the contact time after the fifth crash they are served at the first attempt at least half as
// often as before, while requests with the deadly part go on.
func TestCrash_OthersAreServedWhileAPartIsHeld(t *testing.T) {
	const span, least = 3 * time.Second, 20
	s, c := newDeadlyPartCluster(t)
	others := startPartCallers(s)
	s.awaitServed(s.daemons...)
	begunBefore, before := others.firstAttempts(span)
	ctx, cancel := context.WithCancel(t.Context())
	var sending sync.WaitGroup
	sending.Go(func() {
		for n := 0; ctx.Err() == nil; n++ {
			c.send(n)
			time.Sleep(100 * time.Millisecond)
		}
	})
	c.awaitCrashes(maxPartCrashes)
	time.Sleep(2 * holdPropagation)
	begun, first := others.firstAttempts(span)
	cancel()
	sending.Wait()
	must.GreaterEq(t, least, begunBefore)
	must.GreaterEq(t, least, begun)
	t.Logf("at the first attempt: %d of %d before, %d of %d while the part is held", before, begunBefore, first, begun)
	must.GreaterEq(t, float64(before)/float64(begunBefore)/2, float64(first)/float64(begun))
}

// TestCrash_LeaseHolderDiesWhileAPartCrashesWorkers guards against losing the record of crashes and
// of output with the lease holder.
func TestCrash_LeaseHolderDiesWhileAPartCrashesWorkers(t *testing.T) {
	s, c := newDeadlyPartCluster(t)
	c.crashUntil(maxPartCrashes)
	propagated := time.Now().Add(holdPropagation)
	s.killHolder()
	time.Sleep(time.Until(propagated))
	c.sendRepeatedly()
	must.LessEq(t, maxHeldArrivals, c.arrivalsSince(propagated))
}
