package standin

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/pointpass/pointpass/common/conns/connstest"
)

// ownFields stands for the fields that every answer of a worker has.
const ownFields = "X-Own: x\r\n"

// checkWhole checks that a caller got a whole answer of a worker or none: a success, and a failure that has a worker's
// signature, have the worker's body and nothing else.
func (s *testCluster) checkWhole(what string, a Request, r Reply) {
	s.t.Helper()
	if r.Err != nil || r.Status/100 != 2 && r.Header.Get(headerSignature) == "" {
		return
	}
	if strings.HasPrefix(a.Path, "/ask/") {
		must.True(s.t, completeStream(a.ID, r), must.Sprint(what, ": ", r.Body))
		return
	}
	worker, found := strings.CutPrefix(r.Body, "answer to "+a.ID+" of ")
	must.True(s.t, found, must.Sprint(what, ": ", r.Body))
	must.MapContainsKey(s.t, s.workers, worker, must.Sprint(what, ": ", r.Body))
}

// askEach sends requests of each kind, and returns how many of those that may be repeated got a whole answer.
func (s *testCluster) askEach(d *Daemon, what string, n int) (served, repeatable int) {
	for range n {
		for _, path := range []string{"/get/x", "/post/x", "/ask/q"} {
			a := s.newRequest(http.MethodPost, path)
			a.Header = streamHeader()
			r := d.Send(s.t.Context(), a)
			s.checkWhole(what, a, r)
			if path == "/post/x" {
				must.LessEq(s.t, 1, len(s.runs(a.ID)), must.Sprint(what))
				continue
			}
			repeatable++
			if r.Err == nil && r.Status == http.StatusOK {
				served++
			}
		}
	}
	return served, repeatable
}

// newRetryingCluster starts a cluster of three groups whose requests may be sent to three workers, and a daemon.
func newRetryingCluster(t *testing.T) (*testCluster, *Daemon) {
	s := newTestCluster(t, 6)
	for i := range s.config.Routes {
		s.config.Routes[i].Attempts = 3
	}
	s.store.Apply(s.config)
	s.store.Checker().SetRetryExtra(budgetExtra)
	d := s.startAs(Setup{FirstStart: true, RetryExtra: budgetExtra})
	s.awaitGroups(3)
	s.awaitShares()
	return s, d
}

// startForwarding starts three daemons, the first of which reaches no worker, so that another one runs its requests.
func (s *testCluster) startForwarding() {
	links := s.cutDaemons(1)
	s.awaitGroups(2)
	s.awaitServed(s.daemons...)
	links.Cut()
	s.awaitServed(s.daemons[0])
}

// forEachCutHead lets workers break off the heads of their answers in each form.
func forEachCutHead(list []*Worker, check func(what string)) {
	for form, c := range connstest.CutHeads(ownFields) {
		pieces, resets := form%2 == 0, form%3 == 0
		for _, w := range list {
			w.SetCutHead(form, pieces, resets)
		}
		check(fmt.Sprintf("%s, in pieces %v, reset %v", c.Name, pieces, resets))
	}
	for _, w := range list {
		w.SetSpoil(NotSpoiled)
	}
}

// TestAnswers_HeadsThatBreakOff guards against an answer that ends within its head, or right after it, and reaches the
// caller as a whole one with an empty or short body: of requests that may be repeated, that run at most once, and of
// streams, also ones that are resumed.
func TestAnswers_HeadsThatBreakOff(t *testing.T) {
	t.Parallel()
	s, d := newRetryingCluster(t)
	heads := s.openGroupHeads()
	served, repeatable := 0, 0
	ask := func(what string) {
		more, of := s.askEach(d, what, 3)
		served, repeatable = served+more, repeatable+of
	}
	forEachCutHead([]*Worker{s.workers["a0"], heads[0]}, ask)
	heads[1].SetFault(CutsStream) // what it has begun is resumed at the one that breaks off
	forEachCutHead([]*Worker{heads[0]}, ask)
	t.Log(served, " of ", repeatable, " answered")
	must.GreaterEq(t, repeatable*9/10, served, must.Sprint("other workers answer"))
}

// TestAnswers_HeadsOfMovesThatBreakOff guards against a stream that is moved from a silent worker to one whose answer
// ends within its head, and then lacks events or looks complete.
func TestAnswers_HeadsOfMovesThatBreakOff(t *testing.T) {
	t.Parallel()
	s := newTestCluster(t, 4)
	s.store.Checker().SetRetryExtra(budgetExtra)
	d := s.startAs(Setup{FirstStart: true, RetryExtra: budgetExtra})
	s.awaitGroups(2)
	s.awaitShares()
	heads := s.openGroupHeads()
	heads[0].SetFault(StopsMidStream)
	forEachCutHead([]*Worker{heads[1]}, func(what string) {
		a := s.newStreamRequest()
		a.Timeout = 2500 * time.Millisecond
		s.checkWhole(what, a, d.Send(t.Context(), a))
	})
}

// TestAnswers_HeadsForwardedThatBreakOff guards against an answer that ends within its head at the daemon that runs a
// request for another one.
func TestAnswers_HeadsForwardedThatBreakOff(t *testing.T) {
	t.Parallel()
	s := newTestCluster(t, 4)
	s.store.Checker().SetRetryExtra(budgetExtra)
	s.startForwarding()
	served, repeatable := 0, 0
	forEachCutHead([]*Worker{s.workers["a0"], s.openGroupHeads()[0]}, func(what string) {
		more, of := s.askEach(s.daemons[0], what, 2)
		served, repeatable = served+more, repeatable+of
	})
	t.Log(served, " of ", repeatable, " answered")
	must.Positive(t, served)
}
