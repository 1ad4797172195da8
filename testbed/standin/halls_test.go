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

// newHalls starts a stage with plain workers and one group in each of two halls. Tests that
// use it run side by side.
func newHalls(t *testing.T) *stage {
	t.Parallel()
	s := newStage(t, 2)
	for i := range 2 {
		s.addWorkerIn(fmt.Sprint("b", i), "app", "", secondHall)
		s.addWorkerIn(fmt.Sprint("n", i), "llm", "e0", secondHall)
	}
	return s
}

func (s *stage) addWorkerIn(id, service, domain, hall string) {
	w, kill := NewWorkerIn(s.store, id, service, domain, hall)
	s.t.Cleanup(kill)
	s.workers[id] = w
}

// arrived returns how many requests have reached workers of a hall.
func (s *stage) arrived(hall string) int {
	n := 0
	for _, w := range s.workers {
		if w.hall == hall {
			n += len(w.Runs())
		}
	}
	return n
}

// closes tells how many halls a daemon knows to be closed.
func closes(d *Daemon, n int) func() bool {
	return func() bool { return strings.Contains(d.Metrics(), fmt.Sprintf("pointpass_halls_closed %d\n", n)) }
}

// askAll sends requests of each kind to a daemon, all of which have to be served once it
// knows that the groups are open.
func (s *stage) askAll(d *Daemon) {
	s.t.Helper()
	s.awaitStreams(d)
	for range 10 {
		must.EqOp(s.t, http.StatusOK, s.status(d, "/get/x"))
		must.EqOp(s.t, http.StatusOK, s.status(d, "/post/x"))
		a := s.stream()
		must.True(s.t, wholeStream(a.ID, d.Send(s.t.Context(), a)))
	}
}

func (s *stage) awaitStreams(d *Daemon) {
	s.t.Helper()
	eventually(s.t, "streams are served", func() bool {
		a := s.stream()
		return wholeStream(a.ID, d.Send(s.t.Context(), a))
	})
}

// servedInFirst checks that requests go to the first hall, which is the daemon's own: one at
// a time they go elsewhere only while it is closed.
func (s *stage) servedInFirst(d *Daemon) {
	s.t.Helper()
	before := s.arrived(firstHall)
	s.askAll(d)
	must.Greater(s.t, before, s.arrived(firstHall))
}

// servedElsewhere checks that no request goes to the first hall.
func (s *stage) servedElsewhere(d *Daemon) {
	s.t.Helper()
	before := s.arrived(firstHall)
	s.askAll(d)
	must.EqOp(s.t, before, s.arrived(firstHall))
}

// TestHalls_AClosedHallGetsNothingUntilItIsOpen: plain workers and groups alike. The group
// there stays, and serves at once when the hall is open.
func TestHalls_AClosedHallGetsNothingUntilItIsOpen(t *testing.T) {
	s := newHalls(t)
	d := s.start(true)
	s.awaitGroups(2)
	for range 2 {
		s.servedInFirst(d)
		s.store.CloseHall(firstHall)
		eventually(t, "the daemon knows", closes(d, 1))
		s.servedElsewhere(d)
		must.Len(t, 2, s.open())
		s.store.OpenHall(firstHall)
		eventually(t, "the daemon knows", closes(d, 0))
	}
	s.servedInFirst(d)
	must.StrContains(t, d.Log(), `"event":"hall_closed"`)
	must.StrContains(t, d.Log(), `"event":"hall_opened"`)
}

// TestHalls_AllClosedIsRefusedAtOnce: callers are told when to come back, and nothing of
// theirs is held or run.
func TestHalls_AllClosedIsRefusedAtOnce(t *testing.T) {
	s := newHalls(t)
	d := s.start(true)
	s.awaitGroups(2)
	s.awaitStreams(d)
	s.store.CloseHall(firstHall)
	s.store.CloseHall(secondHall)
	eventually(t, "the daemon knows", closes(d, 2))
	for _, a := range []Ask{s.ask(http.MethodPost, "/post/x"), s.ask(http.MethodGet, "/get/x"), s.stream()} {
		r := d.Send(t.Context(), a)
		must.EqOp(t, http.StatusServiceUnavailable, r.Status)
		must.NotEq(t, "", r.Header.Get("Retry-After"))
		must.SliceEmpty(t, s.runs(a.ID))
	}
	eventually(t, "nothing is held", func() bool { return strings.Contains(d.Metrics(), "pointpass_requests_under_way 0\n") })
	must.StrContains(t, d.Metrics(), `pointpass_refused_placement_total{reason="hall_closed"} 3`)
	s.store.OpenHall(secondHall)
	eventually(t, "the daemon knows", closes(d, 1))
	s.askAll(d)
}

// TestHalls_TheStoreTurnsHalfAway: one daemon follows the other; the store is silent for
// either of them while a hall is closed, and then opened. The daemon that hears of it
// sends nothing there, and the other as soon as the store answers it.
func TestHalls_TheStoreTurnsHalfAway(t *testing.T) {
	s := newHalls(t)
	doors := []*Door{s.store.NewDoor(), s.store.NewDoor()}
	for i, door := range doors {
		s.startAs(Setup{FirstStart: i == 0, Door: door})
	}
	s.awaitGroups(2)
	for i, door := range doors {
		served := s.daemons[1-i]
		door.SetTrouble(Silent)
		s.store.CloseHall(firstHall)
		eventually(t, "the daemon that the store serves knows", closes(served, 1))
		s.servedElsewhere(served)
		door.SetTrouble(Sound)
		eventually(t, "the other knows", closes(s.daemons[i], 1))
		door.SetTrouble(Silent)
		s.store.OpenHall(firstHall)
		eventually(t, "the daemon that the store serves knows", closes(served, 0))
		door.SetTrouble(Sound)
		eventually(t, "the other knows", closes(s.daemons[i], 0))
	}
}

// TestHalls_HistoryDroppedWhileTheRowComesAndGoes: a daemon hears nothing while a hall is
// closed, opened and perhaps closed again, and has to read the whole table anew.
func TestHalls_HistoryDroppedWhileTheRowComesAndGoes(t *testing.T) {
	s := newHalls(t)
	d := s.startAs(Setup{FirstStart: true, LooseRevoke: true})
	s.awaitGroups(2)
	away := func(change func()) {
		s.store.SetTrouble(Reset)
		change()
		s.store.ForgetHistory()
		s.store.SetTrouble(Sound)
	}
	away(func() { s.store.CloseHall(firstHall) })
	eventually(t, "the daemon knows of the closing", closes(d, 1))
	away(func() { s.store.OpenHall(firstHall) })
	eventually(t, "the daemon knows of the opening", closes(d, 0))
	s.servedInFirst(d)
	away(func() {
		s.store.CloseHall(firstHall)
		s.store.OpenHall(firstHall)
		s.store.CloseHall(firstHall)
	})
	eventually(t, "the daemon knows of the last closing", closes(d, 1))
	s.servedElsewhere(d)
}

// TestHalls_ADaemonThatStartsMeanwhileKnowsWhenItIsReady: alone, and behind another.
func TestHalls_ADaemonThatStartsMeanwhileKnowsWhenItIsReady(t *testing.T) {
	s := newHalls(t)
	s.store.CloseHall(firstHall)
	for i := range 2 {
		d := s.start(i == 0)
		must.True(t, closes(d, 1)(), must.Sprint("it is ready"))
		eventually(t, "it serves", func() bool { return s.status(d, "/get/x") == http.StatusOK })
	}
	must.EqOp(t, 0, s.arrived(firstHall))
}

// TestHalls_AFrozenDaemonAsksBeforeItSends: it stands still while its own hall is closed, for
// longer than the bound, with requests waiting that need no credential. It wakes with them
// in hand and sends none there.
func TestHalls_AFrozenDaemonAsksBeforeItSends(t *testing.T) {
	s := newHalls(t)
	d := s.start(true)
	s.awaitGroups(2)
	d.Signal(syscall.SIGSTOP)
	s.store.CloseHall(firstHall)
	before := s.arrived(firstHall)
	var asking sync.WaitGroup
	replies := make([]Reply, 20)
	for i := range replies {
		a := s.ask(http.MethodGet, "/open/x")
		a.Key = ""
		a.Wait = patience
		asking.Go(func() { replies[i] = d.Send(context.Background(), a) })
	}
	eventually(t, "the bound has passed", func() bool { return s.store.Judge().Overdue(firstHall) })
	d.Signal(syscall.SIGCONT)
	asking.Wait()
	must.EqOp(t, before, s.arrived(firstHall))
	must.Positive(t, s.arrived(secondHall), must.Sprint(replies))
	must.StrContains(t, d.Log(), `"event":"stood_still"`)
}

// TestHalls_GarbageStopsNothing: a row that can't be read closes its hall all the same, one
// that names none is logged, and the configuration goes on.
func TestHalls_GarbageStopsNothing(t *testing.T) {
	s := newHalls(t)
	d := s.start(true)
	s.awaitGroups(2)
	for i, garbled := range []string{hallKey(""), hallKey(firstHall)} {
		s.store.Put("op", garbled, []int{1, 2})
		eventually(t, "it is logged", func() bool { return strings.Count(d.Log(), `"event":"hall_unreadable"`) == i+1 })
	}
	eventually(t, "the daemon knows", closes(d, 1))
	s.addRoute("/new/")
	eventually(t, "the route is served", func() bool { return s.status(d, "/new/x") == http.StatusOK })
	s.servedElsewhere(d)
	s.store.OpenHall(firstHall)
	eventually(t, "the daemon knows", closes(d, 0))
	s.servedInFirst(d)
}

// TestHalls_TheHolderDiesAfterItReadOfAClosing: whoever takes the lease next orders nothing
// in the closed hall, and its group serves when the hall is open again.
func TestHalls_TheHolderDiesAfterItReadOfAClosing(t *testing.T) {
	s := newHalls(t)
	holder := s.start(true)
	s.awaitGroups(2)
	next := s.start(false)
	orders := len(s.workers["n0"].Orders()) + len(s.workers["n1"].Orders())
	s.store.CloseHall(secondHall)
	eventually(t, "the holder knows", closes(holder, 1))
	holder.Kill()
	eventually(t, "another holds the lease", func() bool { return strings.Contains(next.Metrics(), "pointpass_lease_held 1") })
	eventually(t, "it knows", closes(next, 1))
	s.workers["m0"].Kill()
	s.store.Put("servers", "m0", nil)
	delete(s.workers, "m0")
	s.addWorker("m9", "llm", "d0")
	s.awaitGroups(2)
	must.EqOp(t, orders, len(s.workers["n0"].Orders())+len(s.workers["n1"].Orders()))
	s.store.OpenHall(secondHall)
	eventually(t, "it knows", closes(next, 0))
	s.store.CloseHall(firstHall)
	eventually(t, "it knows", closes(next, 1))
	s.servedElsewhere(next)
	must.EqOp(t, orders, len(s.workers["n0"].Orders())+len(s.workers["n1"].Orders()))
}

// TestHalls_OperatorsSeeWhoStillRunsThere: a request runs at a worker whose hall is closed.
// It goes on, and the status, the gauge and the log tell of it until it has ended.
func TestHalls_OperatorsSeeWhoStillRunsThere(t *testing.T) {
	s := newHalls(t)
	d := s.start(true)
	s.awaitGroups(2)
	s.setFaults(Stalls, "a0", "a1")
	ctx, leave := context.WithCancel(t.Context())
	a := s.ask(http.MethodPost, "/post/x")
	var asking sync.WaitGroup
	asking.Go(func() { d.Send(ctx, a) })
	eventually(t, "it runs", func() bool { return len(s.runs(a.ID)) == 1 })
	s.store.CloseHall(firstHall)
	eventually(t, "the daemon knows", closes(d, 1))
	must.RegexMatch(t, regexp.MustCompile(`"closed_halls":\[{"hall":"z1","store_version":\d+,"known":"[^"]+","known_ms":\d+,"under_way":1,"targets":\[{"target":"(a\d)","worker":"(a\d)","under_way":1}\]}\]`), d.Status())
	must.StrContains(t, d.Metrics(), `pointpass_closed_hall_requests_under_way{hall="z1"} 1`)
	must.RegexMatch(t, regexp.MustCompile(`"event":"hall_closed","hall":"z1","store_version":\d+,"evidence_age":[0-9.]+,"under_way":1`), d.Log())
	leave()
	asking.Wait()
	eventually(t, "the hall is empty", func() bool { return strings.Contains(d.Status(), `"under_way":0,"targets":[]`) })
	s.store.OpenHall(firstHall)
	eventually(t, "nothing is closed", func() bool { return strings.Contains(d.Status(), `"closed_halls":[]`) })
	must.StrNotContains(t, d.Metrics(), "pointpass_closed_hall_requests_under_way")
}
