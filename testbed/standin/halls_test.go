package standin

import (
	"context"
	"fmt"
	"net/http"
	"regexp"
	"strings"
	"sync"
	"syscall"
	"testing"

	"github.com/shoenig/test/must"
)

const secondHall = "z2"

// newTwoHalls starts a cluster with plain workers and one group in each of two halls. Tests
// that use it run in parallel.
func newTwoHalls(t *testing.T) *testCluster {
	t.Parallel()
	s := newTestCluster(t, 2)
	for i := range 2 {
		s.addWorkerIn(fmt.Sprint("b", i), "app", "", secondHall)
		s.addWorkerIn(fmt.Sprint("n", i), "llm", "e0", secondHall)
	}
	return s
}

func (s *testCluster) addWorkerIn(id, service, domain, hall string) {
	w, kill := NewWorkerIn(s.store, id, service, domain, hall)
	s.t.Cleanup(kill)
	s.workers[id] = w
}

// arrivals returns the number of requests that reached workers of a hall.
func (s *testCluster) arrivals(hall string) int {
	n := 0
	for _, w := range s.workers {
		if w.hall == hall {
			n += len(w.Runs())
		}
	}
	return n
}

// hallsClosed returns a condition that holds once a daemon applies the closing of n halls.
func hallsClosed(d *Daemon, n int) func() bool {
	return func() bool { return strings.Contains(d.Metrics(), fmt.Sprintf("pointpass_halls_closed %d\n", n)) }
}

// sendAll sends requests of each kind to a daemon. All of them must be served once the daemon
// has seen that the groups are open.
func (s *testCluster) sendAll(d *Daemon) {
	s.t.Helper()
	s.awaitStreams(d)
	for range 10 {
		must.EqOp(s.t, http.StatusOK, s.status(d, "/get/x"))
		must.EqOp(s.t, http.StatusOK, s.status(d, "/post/x"))
		a := s.newStreamRequest()
		must.True(s.t, completeStream(a.ID, d.Send(s.t.Context(), a)))
	}
}

func (s *testCluster) awaitStreams(d *Daemon) {
	s.t.Helper()
	eventually(s.t, "streams are served", func() bool {
		a := s.newStreamRequest()
		return completeStream(a.ID, d.Send(s.t.Context(), a))
	})
}

// checkServedInFirst checks that requests go to the first hall, which is the daemon's own. Sent
// one at a time, they go to another hall only while it is closed.
func (s *testCluster) checkServedInFirst(d *Daemon) {
	s.t.Helper()
	before := s.arrivals(firstHall)
	s.sendAll(d)
	must.Greater(s.t, before, s.arrivals(firstHall))
}

// checkServedElsewhere checks that no request goes to the first hall.
func (s *testCluster) checkServedElsewhere(d *Daemon) {
	s.t.Helper()
	before := s.arrivals(firstHall)
	s.sendAll(d)
	must.EqOp(s.t, before, s.arrivals(firstHall))
}

// TestHalls_AClosedHallGetsNothingUntilItIsOpen checks that a closed hall's plain workers and
// groups receive no requests. The group stays formed and serves again at once when the hall
// opens.
func TestHalls_AClosedHallGetsNothingUntilItIsOpen(t *testing.T) {
	s := newTwoHalls(t)
	d := s.start(true)
	s.awaitGroups(2)
	for range 2 {
		s.checkServedInFirst(d)
		s.store.CloseHall(firstHall)
		eventually(t, "the daemon applies the change", hallsClosed(d, 1))
		s.checkServedElsewhere(d)
		must.Len(t, 2, s.openGroupHeads())
		s.store.OpenHall(firstHall)
		eventually(t, "the daemon applies the change", hallsClosed(d, 0))
	}
	s.checkServedInFirst(d)
	must.StrContains(t, d.Log(), `"event":"hall_closed"`)
	must.StrContains(t, d.Log(), `"event":"hall_opened"`)
}

// TestHalls_AllClosedIsRefusedAtOnce checks that requests are rejected with Retry-After if all
// halls are closed, and neither queued nor run.
func TestHalls_AllClosedIsRefusedAtOnce(t *testing.T) {
	s := newTwoHalls(t)
	d := s.start(true)
	s.awaitGroups(2)
	s.awaitStreams(d)
	s.store.CloseHall(firstHall)
	s.store.CloseHall(secondHall)
	eventually(t, "the daemon applies the change", hallsClosed(d, 2))
	for _, a := range []Request{s.newRequest(http.MethodPost, "/post/x"), s.newRequest(http.MethodGet, "/get/x"), s.newStreamRequest()} {
		r := d.Send(t.Context(), a)
		must.EqOp(t, http.StatusServiceUnavailable, r.Status)
		must.NotEq(t, "", r.Header.Get("Retry-After"))
		must.SliceEmpty(t, s.runs(a.ID))
	}
	eventually(t, "no request is in flight", func() bool { return strings.Contains(d.Metrics(), "pointpass_requests_under_way 0\n") })
	must.StrContains(t, d.Metrics(), `pointpass_refused_placement_total{reason="hall_closed"} 3`)
	s.store.OpenHall(secondHall)
	eventually(t, "the daemon applies the change", hallsClosed(d, 1))
	s.sendAll(d)
}

// TestHalls_StoreUnresponsiveForOneDaemon covers a store that is unresponsive for one of two
// daemons, one of which reads through the other, while a hall is closed and then opened. The
// served daemon applies each change, the other one as soon as the store answers it.
func TestHalls_StoreUnresponsiveForOneDaemon(t *testing.T) {
	s := newTwoHalls(t)
	frontends := []*Frontend{s.store.NewFrontend(), s.store.NewFrontend()}
	for i, frontend := range frontends {
		s.startAs(Setup{FirstStart: i == 0, Frontend: frontend})
	}
	s.awaitGroups(2)
	for i, frontend := range frontends {
		served := s.daemons[1-i]
		frontend.SetFault(Silent)
		s.store.CloseHall(firstHall)
		eventually(t, "the daemon that the store serves applies the change", hallsClosed(served, 1))
		s.checkServedElsewhere(served)
		frontend.SetFault(NoFault)
		eventually(t, "the other daemon applies the change", hallsClosed(s.daemons[i], 1))
		frontend.SetFault(Silent)
		s.store.OpenHall(firstHall)
		eventually(t, "the daemon that the store serves applies the change", hallsClosed(served, 0))
		frontend.SetFault(NoFault)
		eventually(t, "the other daemon applies the change", hallsClosed(s.daemons[i], 0))
	}
}

// TestHalls_HistoryDroppedBetweenChanges guards against a hall whose state stays
// outdated because it was closed or opened while the daemon had lost the store and the history
// of changes was dropped. The daemon has to read the whole table.
func TestHalls_HistoryDroppedBetweenChanges(t *testing.T) {
	s := newTwoHalls(t)
	d := s.startAs(Setup{FirstStart: true, LooseRevoke: true})
	s.awaitGroups(2)
	duringOutage := func(change func()) {
		s.store.SetFault(Reset)
		change()
		s.store.ForgetHistory()
		s.store.SetFault(NoFault)
	}
	duringOutage(func() { s.store.CloseHall(firstHall) })
	eventually(t, "the daemon applies the closing", hallsClosed(d, 1))
	duringOutage(func() { s.store.OpenHall(firstHall) })
	eventually(t, "the daemon applies the opening", hallsClosed(d, 0))
	s.checkServedInFirst(d)
	duringOutage(func() {
		s.store.CloseHall(firstHall)
		s.store.OpenHall(firstHall)
		s.store.CloseHall(firstHall)
	})
	eventually(t, "the daemon applies the last closing", hallsClosed(d, 1))
	s.checkServedElsewhere(d)
}

// TestHalls_NewDaemonKnowsClosedHallsWhenReady checks that a daemon is ready only
// once it knows the closed halls, both as the only daemon and as the second one.
func TestHalls_NewDaemonKnowsClosedHallsWhenReady(t *testing.T) {
	s := newTwoHalls(t)
	s.store.CloseHall(firstHall)
	for i := range 2 {
		d := s.start(i == 0)
		must.True(t, hallsClosed(d, 1)(), must.Sprint("the daemon is ready before it knows the closed hall"))
		eventually(t, "the daemon serves", func() bool { return s.status(d, "/get/x") == http.StatusOK })
	}
	must.EqOp(t, 0, s.arrivals(firstHall))
}

// TestHalls_ResumedDaemonQueriesStoreBeforeSending guards against requests to a closed hall
// from a stalled daemon. The daemon is stopped while its own hall is closed, for longer than
// the bound, and has requests waiting that need no credential when it resumes. It must query
// the store before it sends them.
func TestHalls_ResumedDaemonQueriesStoreBeforeSending(t *testing.T) {
	s := newTwoHalls(t)
	d := s.start(true)
	s.awaitGroups(2)
	d.Signal(syscall.SIGSTOP)
	s.store.CloseHall(firstHall)
	before := s.arrivals(firstHall)
	var callers sync.WaitGroup
	replies := make([]Reply, 20)
	for i := range replies {
		a := s.newRequest(http.MethodGet, "/open/x")
		a.Key = ""
		a.Timeout = waitTimeout
		callers.Go(func() { replies[i] = d.Send(context.Background(), a) })
	}
	eventually(t, "the bound has passed", func() bool { return s.store.Checker().Overdue(firstHall) })
	d.Signal(syscall.SIGCONT)
	callers.Wait()
	must.EqOp(t, before, s.arrivals(firstHall))
	must.Positive(t, s.arrivals(secondHall), must.Sprint(replies))
	must.StrContains(t, d.Log(), `"event":"stood_still"`)
}

// TestHalls_UnreadableRowClosesOnlyItsHall checks that an unreadable row closes the hall in its
// key, that a row without a hall is logged, and that later configurations apply.
func TestHalls_UnreadableRowClosesOnlyItsHall(t *testing.T) {
	s := newTwoHalls(t)
	d := s.start(true)
	s.awaitGroups(2)
	for i, unreadableKey := range []string{hallKey(""), hallKey(firstHall)} {
		s.store.Put("op", unreadableKey, []int{1, 2})
		eventually(t, "the unreadable row is logged", func() bool { return strings.Count(d.Log(), `"event":"hall_unreadable"`) == i+1 })
	}
	eventually(t, "the daemon applies the change", hallsClosed(d, 1))
	s.addRoute("/new/")
	eventually(t, "the route is served", func() bool { return s.status(d, "/new/x") == http.StatusOK })
	s.checkServedElsewhere(d)
	s.store.OpenHall(firstHall)
	eventually(t, "the daemon applies the change", hallsClosed(d, 0))
	s.checkServedInFirst(d)
}

// TestHalls_LeaseHolderDiesAfterClosing checks that the next lease holder sends no
// orders to the closed hall, and that the hall's group serves when the hall opens again.
func TestHalls_LeaseHolderDiesAfterClosing(t *testing.T) {
	s := newTwoHalls(t)
	holder := s.start(true)
	s.awaitGroups(2)
	next := s.start(false)
	orders := len(s.workers["n0"].Orders()) + len(s.workers["n1"].Orders())
	s.store.CloseHall(secondHall)
	eventually(t, "the lease holder applies the closing", hallsClosed(holder, 1))
	holder.Kill()
	eventually(t, "the other daemon holds the lease", func() bool { return strings.Contains(next.Metrics(), "pointpass_lease_held 1") })
	eventually(t, "the new lease holder applies the change", hallsClosed(next, 1))
	s.workers["m0"].Kill()
	s.store.Put("servers", "m0", nil)
	delete(s.workers, "m0")
	s.addWorker("m9", "llm", "d0")
	s.awaitGroups(2)
	must.EqOp(t, orders, len(s.workers["n0"].Orders())+len(s.workers["n1"].Orders()))
	s.store.OpenHall(secondHall)
	eventually(t, "the new lease holder applies the change", hallsClosed(next, 0))
	s.store.CloseHall(firstHall)
	eventually(t, "the new lease holder applies the change", hallsClosed(next, 1))
	s.checkServedElsewhere(next)
	must.EqOp(t, orders, len(s.workers["n0"].Orders())+len(s.workers["n1"].Orders()))
}

// TestHalls_RemainingRequestsAreReported checks that a request that runs in a hall while it is
// closed continues, and that the status, the gauge and the log show it until it ends.
func TestHalls_RemainingRequestsAreReported(t *testing.T) {
	s := newTwoHalls(t)
	d := s.start(true)
	s.awaitGroups(2)
	s.setFaults(Stalls, "a0", "a1")
	ctx, cancel := context.WithCancel(t.Context())
	a := s.newRequest(http.MethodPost, "/post/x")
	var callers sync.WaitGroup
	callers.Go(func() { d.Send(ctx, a) })
	eventually(t, "the request runs", func() bool { return len(s.runs(a.ID)) == 1 })
	s.store.CloseHall(firstHall)
	eventually(t, "the daemon applies the change", hallsClosed(d, 1))
	must.RegexMatch(t, regexp.MustCompile(`"closed_halls":\[{"hall":"z1","store_version":\d+,"known":"[^"]+","known_ms":\d+,"under_way":1,"targets":\[{"target":"(a\d)","worker":"(a\d)","under_way":1}\]}\]`), d.Status())
	must.StrContains(t, d.Metrics(), `pointpass_closed_hall_requests_under_way{hall="z1"} 1`)
	must.RegexMatch(t, regexp.MustCompile(`"event":"hall_closed","hall":"z1","store_version":\d+,"evidence_age":[0-9.]+,"under_way":1`), d.Log())
	cancel()
	callers.Wait()
	eventually(t, "no request runs in the hall", func() bool { return strings.Contains(d.Status(), `"under_way":0,"targets":[]`) })
	s.store.OpenHall(firstHall)
	eventually(t, "no hall is closed", func() bool { return strings.Contains(d.Status(), `"closed_halls":[]`) })
	must.StrNotContains(t, d.Metrics(), "pointpass_closed_hall_requests_under_way")
}
