package standin

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/pointpass/pointpass/common/conns/connstest"
)

// oddStatuses are no statuses of final answers.
var oddStatuses = []string{"000", "001", "099", "101", "-20", "+20", "200OK"}

// forEachFaultyAnswer lets workers answer with each faulty head and each odd status.
func forEachFaultyAnswer(list []*Worker, check func(what string)) {
	answer := func(text func(fields, body string) string, pieces bool) {
		for _, w := range list {
			w.SetRawAnswer(text, pieces)
		}
	}
	for form, c := range connstest.FaultyHeads("", "") {
		answer(func(fields, body string) string { return connstest.FaultyHeads(fields, body)[form].Text }, form%2 == 0)
		check(c.Name)
	}
	for i, status := range oddStatuses {
		for _, reason := range []string{"", " Odd"} {
			answer(func(fields, body string) string {
				return fmt.Sprintf("HTTP/1.1 %s%s\r\n%sContent-Length: %d\r\n\r\n%s", status, reason, fields, len(body), body)
			}, i%2 == 0)
			check("status " + status + reason)
		}
	}
	for _, w := range list {
		w.SetSpoil(NotSpoiled)
	}
}

// TestAnswers_FaultyHeads guards against an answer whose head isn't HTTP, or whose status is that of no final answer,
// and that reaches the caller, without the faulty line or with a wrong body: of requests that may be repeated, that run
// at most once, and of streams, also ones that are resumed or moved.
func TestAnswers_FaultyHeads(t *testing.T) {
	t.Parallel()
	s, d := newRetryingCluster(t)
	heads := s.openGroupHeads()
	served, repeatable := 0, 0
	ask := func(what string) {
		more, of := s.askEach(d, what, 2)
		served, repeatable = served+more, repeatable+of
	}
	forEachFaultyAnswer([]*Worker{s.workers["a0"], heads[0]}, ask)
	t.Log(served, " of ", repeatable, " answered")
	must.GreaterEq(t, repeatable*9/10, served, must.Sprint("other workers answer"))
	for _, fault := range []Fault{CutsStream, StopsMidStream} {
		heads[1].SetFault(fault) // what it has begun is resumed at the one with faulty heads, or moved there
		forEachFaultyAnswer([]*Worker{heads[0]}, func(what string) {
			a := s.newStreamRequest()
			a.Timeout = 2500 * time.Millisecond
			s.checkWhole(what, a, d.Send(t.Context(), a))
		})
	}
}

// TestAnswers_FaultyHeadsForwarded is the same at the daemon that runs a request for another one.
func TestAnswers_FaultyHeadsForwarded(t *testing.T) {
	t.Parallel()
	s := newTestCluster(t, 4)
	s.store.Checker().SetRetryExtra(budgetExtra)
	s.startForwarding()
	served, repeatable := 0, 0
	forEachFaultyAnswer([]*Worker{s.workers["a0"], s.openGroupHeads()[0]}, func(what string) {
		more, of := s.askEach(s.daemons[0], what, 1)
		served, repeatable = served+more, repeatable+of
	})
	t.Log(served, " of ", repeatable, " answered")
	must.Positive(t, served)
}
