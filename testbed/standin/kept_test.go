package standin

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// askConcurrently sends GETs from several callers at once to the daemons in turn, and returns how many
// were answered with 200, and the ids of all.
func (s *testCluster) askConcurrently(callers, each int) (answered int, ids []string) {
	var ok atomic.Int64
	var running sync.WaitGroup
	var mu sync.Mutex
	for c := range callers {
		running.Go(func() {
			for i := range each {
				a := Request{ID: fmt.Sprintf("%08x%08x", c+1, i), Method: http.MethodGet, Host: host, Path: "/get/x", Key: key, Timeout: 5 * time.Second}
				mu.Lock()
				ids = append(ids, a.ID)
				mu.Unlock()
				if r := s.daemons[(c+i)%len(s.daemons)].Send(s.t.Context(), a); r.Status == http.StatusOK && r.Err == nil {
					ok.Add(1)
				}
			}
		})
	}
	running.Wait()
	return int(ok.Load()), ids
}

// mostArrivals returns how often the request with the most arrivals reached workers, and how many
// arrivals there were in all.
func (s *testCluster) mostArrivals() (most, all int) {
	arrivals := map[string]int{}
	for _, w := range s.workers {
		for _, r := range w.Runs() {
			arrivals[r.ID]++
			all++
			most = max(most, arrivals[r.ID])
		}
	}
	return most, all
}

// TestBudget_EndedKeptConnections guards against requests that an HTTP library sends again by itself
// when a kept connection ends without an answer: these repeats are in no budget and in no attempt.
func TestBudget_EndedKeptConnections(t *testing.T) {
	const callers, each, attempts = 24, 60, 2
	s := newTestCluster(t, 0)
	for i := range 2 {
		s.addWorker(fmt.Sprint("b", i), "app", "")
	}
	for range 2 {
		s.start(true)
	}
	s.awaitShares()
	for _, w := range s.workers {
		w.SetSpoil(EndsKept)
	}
	answered, ids := s.askConcurrently(callers, each)
	most, all := s.mostArrivals()
	t.Log(answered, " of ", len(ids), " answered; arrivals: ", all, ", of one request: ", most, ", repeats: ", s.store.Checker().Retries("app"), "; ", s.sendings())
	must.LessEq(t, attempts, most)
	must.GreaterEq(t, len(ids)*95/100, answered, must.Sprint("new connections lose nothing"))
}

// shareTimeout bounds the wait until daemons share the extra retries. They wait for 20 s at least, and begin
// again whenever they have stood still for some seconds.
const shareTimeout = 3 * time.Minute

// awaitShares waits until the daemons share the extra retries.
func (s *testCluster) awaitShares() {
	s.t.Helper()
	for _, d := range s.daemons {
		s.eventuallyWithin(shareTimeout, "a daemon counts the others", func() bool { return d.countsDaemons(len(s.daemons)) })
	}
}

// alone serializes the tests that wait beside each other until their daemons share the extra retries.
var alone sync.Mutex

// awaitSharesAlone is awaitShares for tests that run beside each other until then, and one by one from then
// on.
func (s *testCluster) awaitSharesAlone() {
	s.t.Helper()
	s.awaitShares()
	alone.Lock()
	s.t.Cleanup(alone.Unlock)
}

// sendings returns what the daemons count as sent to workers.
func (s *testCluster) sendings() []string {
	var lines []string
	for _, d := range s.daemons {
		for line := range strings.Lines(d.Metrics()) {
			if strings.HasPrefix(line, "pointpass_sendings_total") {
				lines = append(lines, strings.TrimSpace(line))
			}
		}
	}
	return lines
}

// TestBudget_AnswersThatBreakOff guards against an answer that breaks off in its body and counts as two
// sendings, so that no other worker gets the request.
func TestBudget_AnswersThatBreakOff(t *testing.T) {
	s := newTestCluster(t, 0)
	d := s.start(true)
	s.awaitShares()
	s.workers["a0"].SetSpoil(BreaksBody)
	for range 12 {
		a := s.newRequest(http.MethodGet, "/get/x")
		a.Body = ""
		r := d.Send(t.Context(), a)
		must.EqOp(t, http.StatusOK, r.Status)
		must.StrContains(t, r.Body, a.ID)
		must.Between(t, 1, len(s.runs(a.ID)), 2)
	}
	must.StrContains(t, d.Log(), "attempt_failed")
}
