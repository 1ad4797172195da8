package standin

import (
	"context"
	"net/http"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

func TestCalm_EveryKindIsServed(t *testing.T) {
	s := newStage(t, 4)
	d := s.start(true)
	s.awaitGroups(2)
	for range 20 {
		a := s.stream()
		eventually(t, "a stream is served", func() bool { return wholeStream(a.ID, d.Send(t.Context(), a)) })
		a = s.ask(http.MethodPost, "/post/x")
		r := d.Send(t.Context(), a)
		must.EqOp(t, http.StatusOK, r.Status)
		run := s.runs(a.ID)
		must.Len(t, 1, run)
		must.EqOp(t, "desk", run[0].Tenant)
		must.EqOp(t, "question", run[0].Body)
		must.EqOp(t, "", run[0].Header.Get("Authorization"))
		must.Between(t, 1500*time.Millisecond, run[0].Left, 2000*time.Millisecond)
		must.StrContains(t, r.Header.Get(headerSignature), a.ID)
	}
	must.StrContains(t, d.Metrics(), "pointpass_requests_total")
}

// TestTwice_LostAnswersAreNotSentAgain: TWICE and REFUSED.
func TestTwice_LostAnswersAreNotSentAgain(t *testing.T) {
	for _, fault := range []Fault{LosesAnswers, OtherID, LiesBusy} {
		s := newStage(t, 0)
		d := s.start(true)
		s.setFaults(fault, "a0", "a1")
		a := s.ask(http.MethodPost, "/post/x")
		r := d.Send(t.Context(), a)
		must.Len(t, 1, s.runs(a.ID), must.Sprint("fault ", fault))
		must.EqOp(t, http.StatusBadGateway, r.Status, must.Sprint("no promise that it did not run; fault ", fault))
	}
}

// TestRefused_FullWorkersAreTold: a refusal promises that nothing ran, and says
// when to come back.
func TestRefused_FullWorkersAreTold(t *testing.T) {
	s := newStage(t, 0)
	d := s.start(true)
	s.setFaults(Full, "a0", "a1")
	a := s.ask(http.MethodPost, "/post/x")
	r := d.Send(t.Context(), a)
	must.EqOp(t, http.StatusServiceUnavailable, r.Status)
	must.NotEq(t, "", r.Header.Get("Retry-After"))
	must.Less(t, time.Second, r.Took)
	must.Len(t, 0, s.runs(a.ID))
}

// TestBudget_AttemptsAndRetriesAreBounded: BUDGET.
func TestBudget_AttemptsAndRetriesAreBounded(t *testing.T) {
	s := newStage(t, 0)
	d := s.start(true)
	s.setFaults(Fails, "a0", "a1")
	arrivals := 0
	const asked = 200
	for range asked {
		a := s.ask(http.MethodGet, "/get/x")
		a.Body = ""
		r := d.Send(t.Context(), a)
		must.EqOp(t, http.StatusInternalServerError, r.Status)
		runs := len(s.runs(a.ID))
		must.Between(t, 1, runs, 2)
		arrivals += runs
	}
	must.LessEq(t, asked+asked/5+30, arrivals)
	must.Greater(t, asked, arrivals, must.Sprint("some were tried again"))
}

// TestMixed_AnswersAreWholeAndOwn: MIXED. What is not the answer to the request
// is not passed on, and a repeatable request is served elsewhere.
func TestMixed_AnswersAreWholeAndOwn(t *testing.T) {
	s := newStage(t, 0)
	d := s.start(true)
	s.setFaults(OtherID, "a0")
	for range 10 {
		a := s.ask(http.MethodGet, "/get/x")
		r := d.Send(t.Context(), a)
		if r.Status == http.StatusOK {
			must.StrContains(t, r.Body, a.ID)
			must.EqOp(t, a.ID, r.Header.Get(headerID))
			continue
		}
		must.EqOp(t, "", r.Header.Get(headerSignature))
	}
}

// TestOrder_StreamsMoveWhole: ORDER. A stream that breaks within an event is
// taken up at another group; the caller gets each event once.
func TestOrder_StreamsMoveWhole(t *testing.T) {
	s := newStage(t, 4)
	d := s.start(true)
	s.awaitGroups(2)
	eventually(t, "a stream is served", func() bool { return d.Send(t.Context(), s.stream()).Status == http.StatusOK })
	broken := s.open()[0]
	broken.SetFault(CutsEvents)
	moved := 0
	for range 8 {
		a := s.stream()
		r := d.Send(t.Context(), a)
		if r.Err != nil || r.Status != http.StatusOK {
			continue // both groups failed: visibly broken, never short
		}
		must.True(t, wholeStream(a.ID, r), must.Sprint(r.Body))
		if len(s.runs(a.ID)) == 2 {
			moved++
		}
	}
	must.Positive(t, moved)
}

// TestOrder_BrokenStreamsLookBroken: where no other group is left, the answer is
// not complete.
func TestOrder_BrokenStreamsLookBroken(t *testing.T) {
	s := newStage(t, 2)
	d := s.start(true)
	s.awaitGroups(1)
	eventually(t, "a stream is served", func() bool { return d.Send(t.Context(), s.stream()).Status == http.StatusOK })
	s.open()[0].SetFault(CutsEvents)
	r := d.Send(t.Context(), s.stream())
	must.Error(t, r.Err)
}

// TestStall_StreamsLeaveASilentGroup moves streams off a group that sends
// nothing, before the caller would give up.
func TestStall_StreamsLeaveASilentGroup(t *testing.T) {
	s := newStage(t, 4)
	d := s.start(true)
	s.awaitGroups(2)
	eventually(t, "a stream is served", func() bool { return d.Send(t.Context(), s.stream()).Status == http.StatusOK })
	s.open()[0].SetFault(Stalls)
	for range 6 {
		a := s.stream()
		r := d.Send(t.Context(), a)
		must.True(t, wholeStream(a.ID, r))
		must.Less(t, 2400*time.Millisecond, r.Took)
	}
}

// TestStall_GroupsThatFailEveryRequestGetFew has a head say that it is well and
// answer every request with a failure.
func TestStall_GroupsThatFailEveryRequestGetFew(t *testing.T) {
	s := newStage(t, 4)
	d := s.start(true)
	s.awaitGroups(2)
	eventually(t, "a stream is served", func() bool { return d.Send(t.Context(), s.stream()).Status == http.StatusOK })
	failing := s.open()[0]
	failing.SetFault(Fails)
	before := len(failing.Runs())
	for range 12 {
		a := s.stream()
		must.True(t, wholeStream(a.ID, d.Send(t.Context(), a)))
	}
	must.LessEq(t, before+2, len(failing.Runs()))
}

// TestGone_LeavingCallersStopTheWork: GONE.
func TestGone_LeavingCallersStopTheWork(t *testing.T) {
	s := newStage(t, 0)
	d := s.start(true)
	s.setFaults(Stalls, "a0", "a1")
	a := s.ask(http.MethodGet, "/get/x")
	ctx, cancel := context.WithCancel(t.Context())
	left := make(chan struct{})
	go func() {
		defer close(left)
		d.Send(ctx, a)
	}()
	eventually(t, "it runs", func() bool { return len(s.runs(a.ID)) == 1 })
	cancel()
	<-left
	eventually(t, "the worker hears of it", func() bool { return s.runs(a.ID)[0].Cancelled })
}

// TestGone_AtGroups: GONE, while a request waits for its first event, in the middle of
// its stream, and after it has moved to another group.
func TestGone_AtGroups(t *testing.T) {
	for _, c := range []struct {
		name  string
		fault Fault
		runs  int
	}{
		{"waits", Stalls, 1},
		{"in a stream", FallsSilent, 1},
		{"moved", Stalls, 2},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := newStage(t, 4)
			d := s.start(true)
			s.awaitGroups(2)
			eventually(t, "a stream is served", func() bool { return d.Send(t.Context(), s.stream()).Status == http.StatusOK })
			s.setFaults(c.fault, "m0", "m1", "m2", "m3")
			a := s.stream()
			ctx, cancel := context.WithCancel(t.Context())
			left := make(chan struct{})
			go func() {
				defer close(left)
				d.Send(ctx, a)
			}()
			eventually(t, "it runs", func() bool { return len(s.runs(a.ID)) == c.runs })
			cancel()
			<-left
			eventually(t, "all workers hear of it", func() bool {
				for _, r := range s.runs(a.ID) {
					if !r.Cancelled {
						return false
					}
				}
				return true
			})
			must.Len(t, c.runs, s.runs(a.ID), must.Sprint("nothing is sent after the caller has left"))
		})
	}
}

// TestConfig_TimeoutIsKept: CONFIG. A request is answered at its route's timeout.
func TestConfig_TimeoutIsKept(t *testing.T) {
	s := newStage(t, 0)
	d := s.start(true)
	s.setFaults(Stalls, "a0", "a1")
	r := d.Send(t.Context(), s.ask(http.MethodPost, "/post/x"))
	must.EqOp(t, http.StatusGatewayTimeout, r.Status)
	must.Between(t, 1800*time.Millisecond, r.Took, 2500*time.Millisecond)
}

// TestConfig_ChangesAreInForceAndStay: CONFIG and ROUTE, through a store that
// loses its history meanwhile.
func TestConfig_ChangesAreInForceAndStay(t *testing.T) {
	s := newStage(t, 0)
	d := s.start(true)
	must.EqOp(t, http.StatusNotFound, d.Send(t.Context(), s.ask(http.MethodPost, "/new/x")).Status)
	s.config.Version = 9
	s.config.Routes = append(s.config.Routes, Route{Name: "new", Host: host, Prefix: "/new/", Type: "idempotent", TimeoutMs: 2000, Service: "app", Attempts: 1})
	s.store.Apply(s.config)
	eventually(t, "the new route is served", func() bool { return d.Send(t.Context(), s.ask(http.MethodPost, "/new/x")).Status == http.StatusOK })
	older := s.config
	older.Version = 7
	older.Routes = older.Routes[:1]
	s.store.Apply(older)
	s.store.ForgetHistory()
	reads := s.store.Calls("rows-get")
	eventually(t, "the table is read anew", func() bool { return s.store.Calls("rows-get") > reads+1 })
	must.EqOp(t, http.StatusOK, d.Send(t.Context(), s.ask(http.MethodPost, "/new/x")).Status)
}

// TestKeys_AreCheckedAndExpireWithTheEvidence: UNASKED, ROUTE, DENIED and CONFIG
// of keys. A key that is withdrawn while the store can't be reached is refused
// before the bound, and the refusal promises that nothing ran.
func TestKeys_AreCheckedAndExpireWithTheEvidence(t *testing.T) {
	s := newStage(t, 0)
	d := s.start(true)
	a := s.ask(http.MethodPost, "/post/x")
	a.Key = "stolen"
	must.EqOp(t, http.StatusUnauthorized, d.Send(t.Context(), a).Status)
	a = s.ask(http.MethodGet, "/open/x")
	a.Key = ""
	must.EqOp(t, http.StatusOK, d.Send(t.Context(), a).Status)
	s.store.SetTrouble(Silent)
	withdrawn := time.Now()
	var r Reply
	eventually(t, "credentials can't be checked any more", func() bool {
		r = d.Send(t.Context(), s.ask(http.MethodPost, "/post/x"))
		return r.Status == http.StatusServiceUnavailable
	})
	must.Less(t, 5*time.Second, time.Since(withdrawn))
	must.NotEq(t, "", r.Header.Get("Retry-After"))
	a = s.ask(http.MethodGet, "/open/x")
	must.EqOp(t, http.StatusOK, d.Send(t.Context(), a).Status, must.Sprint("public routes go on"))
	s.config.Version = 6
	s.config.Tenants[0].Keys = []string{"key-2"}
	s.store.Apply(s.config)
	s.store.SetTrouble(Sound)
	eventually(t, "the key is refused", func() bool {
		return d.Send(t.Context(), s.ask(http.MethodPost, "/post/x")).Status == http.StatusUnauthorized
	})
}

// TestDenied_NothingIsDeniedBeforeAConfiguration: DENIED.
func TestDenied_NothingIsDeniedBeforeAConfiguration(t *testing.T) {
	s := newStage(t, 0)
	s.store.SetTrouble(Busy)
	d, kill, err := Start(program, t.TempDir(), "edge-0", s.store, Setup{FirstStart: true})
	must.NoError(t, err)
	t.Cleanup(kill)
	var r Reply
	eventually(t, "it answers", func() bool { r = d.Send(t.Context(), s.ask(http.MethodPost, "/post/x")); return r.Err == nil })
	must.EqOp(t, http.StatusServiceUnavailable, r.Status)
	must.False(t, d.Ready())
	s.store.SetTrouble(Sound)
	eventually(t, "it gets ready", d.Ready)
}

// TestDrain_LeavingWorkersGetNothingNew: DRAIN, for plain workers and members of
// groups.
func TestDrain_LeavingWorkersGetNothingNew(t *testing.T) {
	s := newStage(t, 4)
	d := s.start(true)
	s.awaitGroups(2)
	eventually(t, "a stream is served", func() bool { return d.Send(t.Context(), s.stream()).Status == http.StatusOK })
	s.workers["a0"].Drain()
	s.workers["m3"].Drain()
	drained := time.Now()
	const bound = 2 * time.Second
	for time.Since(drained) < bound+time.Second {
		d.Send(t.Context(), s.ask(http.MethodGet, "/get/x"))
		d.Send(t.Context(), s.stream())
	}
	for _, r := range s.workers["a0"].Runs() {
		must.True(t, r.At.Before(drained.Add(bound)))
	}
	eventually(t, "the other group goes on", func() bool { a := s.stream(); return wholeStream(a.ID, d.Send(t.Context(), a)) })
}

// TestRecover_AllDaemonsDie: RECOVER. What was formed is found again without a
// new order.
func TestRecover_AllDaemonsDie(t *testing.T) {
	s := newStage(t, 4)
	s.start(true).Kill()
	s.start(true)
	s.awaitGroups(2)
	orders := len(s.workers["m0"].Orders()) + len(s.workers["m1"].Orders())
	s.daemons[1].Kill()
	d := s.start(false)
	eventually(t, "streams are served", func() bool { a := s.stream(); return wholeStream(a.ID, d.Send(t.Context(), a)) })
	eventually(t, "it may give orders", func() bool { return strings.Contains(d.Log(), `"event":"lease_taken"`) })
	renewals := s.store.Calls("rows-tx")
	eventually(t, "it has looked around for a while", func() bool { return s.store.Calls("rows-tx") > renewals+1 })
	must.EqOp(t, orders, len(s.workers["m0"].Orders())+len(s.workers["m1"].Orders()))
}

// TestLost_SIGTERMEndsWhatIsUnderWay: LOST and DRAIN of our own machines.
func TestLost_SIGTERMEndsWhatIsUnderWay(t *testing.T) {
	s := newStage(t, 2)
	d := s.start(true)
	s.awaitGroups(1)
	eventually(t, "a stream is served", func() bool { return d.Send(t.Context(), s.stream()).Status == http.StatusOK })
	a := s.stream()
	got := make(chan Reply)
	go func() { got <- d.Send(t.Context(), a) }()
	eventually(t, "it runs", func() bool { return len(s.runs(a.ID)) == 1 })
	d.Signal(syscall.SIGTERM)
	must.True(t, wholeStream(a.ID, <-got))
	eventually(t, "the balancer is told", func() bool { return !d.Ready() })
	r := d.Send(t.Context(), s.ask(http.MethodPost, "/post/x"))
	must.EqOp(t, http.StatusOK, r.Status, must.Sprint("who comes all the same is served"))
	must.True(t, r.Closes)
	<-d.Done()
	must.StrContains(t, d.Log(), `"event":"stopped"`)
}
