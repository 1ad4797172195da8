package standin

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// TestGroups_FormAgainAfterALoss: TWO and PARTIAL are checked on histories; here
// a new group forms, with real orders, from what is left.
func TestGroups_FormAgainAfterALoss(t *testing.T) {
	s := newStage(t, 4)
	d := s.start(true)
	s.awaitGroups(2)
	s.workers["m0"].Kill()
	s.store.Put("servers", "m0", nil)
	delete(s.workers, "m0")
	s.addWorker("m9", "llm", "d0")
	s.awaitGroups(2)
	epochs := map[string]bool{}
	for _, w := range s.workers {
		for _, o := range w.Orders() {
			if strings.HasPrefix(o, "open ") {
				must.False(t, epochs[o], must.Sprint(o, " was given twice"))
				epochs[o] = true
			}
		}
	}
	eventually(t, "streams are served", func() bool { a := s.stream(); return wholeStream(a.ID, d.Send(t.Context(), a)) })
}

// TestTwo_MembersLeaveBeforeTheyJoin: TWO and PARTIAL. Members die one after the
// other while streams are asked for; the judge of the stand-in watches each join and
// each run. In the end what is left serves.
func TestTwo_MembersLeaveBeforeTheyJoin(t *testing.T) {
	s := newStage(t, 8)
	d := s.start(true)
	s.awaitGroups(4)
	eventually(t, "a stream is served", func() bool { return d.Send(t.Context(), s.stream()).Status == http.StatusOK })
	for _, id := range []string{"m0", "m5"} {
		s.workers[id].Kill()
		delete(s.workers, id)
		s.store.Put("servers", id, nil)
		s.addWorker(id+"-next", "llm", map[string]string{"m0": "d0", "m5": "d1"}[id])
		eventually(t, "all groups are open again", func() bool {
			d.Send(t.Context(), s.stream())
			return len(s.open()) == 4
		})
	}
	must.SliceEmpty(t, s.store.Judge().Broken())
}

// TestCeiling_LoadsAreSpread: CEILING. Many empty workers need loads while others
// may be served.
func TestCeiling_LoadsAreSpread(t *testing.T) {
	s := newStage(t, 0)
	s.config.Services[1].Runtime.LoadsPerS = 2
	s.config.Version++
	s.store.Apply(s.config)
	for i := range 24 {
		s.addWorker(fmt.Sprint("m", i), "llm", fmt.Sprint("d", i/8))
	}
	s.start(false)
	eventually(t, "loads of two windows have begun", func() bool { return s.store.Judge().Loads() > 12 })
	must.LessEq(t, 13, s.store.Judge().MostLoads(5*time.Second))
}

// TestCeiling_HoldsOnceAnyDaemonServes: CEILING. The daemon that gives orders has
// served nobody yet, but another one has.
func TestCeiling_HoldsOnceAnyDaemonServes(t *testing.T) {
	s := newStage(t, 0)
	s.config.Services[1].Runtime.LoadsPerS = 2
	s.config.Version++
	s.store.Apply(s.config)
	holder := s.start(true)
	eventually(t, "the first holds the lease", func() bool { return strings.Contains(holder.Metrics(), "pointpass_lease_held 1") })
	other := s.start(true)
	must.EqOp(t, http.StatusOK, other.Send(t.Context(), s.ask(http.MethodPost, "/post/x")).Status)
	for i := range 24 {
		s.addWorker(fmt.Sprint("m", i), "llm", fmt.Sprint("d", i/8))
	}
	eventually(t, "loads of two windows have begun", func() bool { return s.store.Judge().Loads() > 12 })
	must.LessEq(t, 13, s.store.Judge().MostLoads(5*time.Second))
}

// TestLease_PassesOnWhenItsHolderDies has one of two daemons killed that gives
// the orders, while the store loses answers.
func TestLease_PassesOnWhenItsHolderDies(t *testing.T) {
	s := newStage(t, 2)
	first := s.start(true)
	s.awaitGroups(1)
	second := s.start(false)
	s.store.SetTrouble(Lossy)
	eventually(t, "calls are lost", func() bool { return strings.Contains(second.Log(), "store_lost") })
	first.Kill()
	s.store.SetTrouble(Sound)
	s.workers["m0"].Kill()
	s.store.Put("servers", "m0", nil)
	delete(s.workers, "m0")
	s.addWorker("m7", "llm", "d0")
	s.awaitGroups(1)
	must.StrContains(t, second.Log(), `"event":"lease_taken"`)
}

// TestFence_AnOutrankedHolderGivesUpItsTerm has a worker that has seen a later fencing
// token refuse an order. The holder has to give up its term at once, order nothing more
// with its token there, and may only come back with a later one.
func TestFence_AnOutrankedHolderGivesUpItsTerm(t *testing.T) {
	s := newStage(t, 4)
	d := s.startAs(Setup{FirstStart: true, Fenced: true})
	s.awaitGroups(2)
	token := s.workers["m0"].Fence()
	must.Positive(t, token)
	for _, w := range s.workers {
		w.SetFence(token + 100)
	}
	refused := func() int {
		n := 0
		for _, w := range s.workers {
			for _, o := range w.Orders() {
				if strings.HasSuffix(o, " 412") {
					n++
				}
			}
		}
		return n
	}
	s.workers["m0"].Kill()
	s.store.Put("servers", "m0", nil)
	delete(s.workers, "m0")
	s.addWorker("m9", "llm", "d0")
	eventually(t, "the term is given up", func() bool { return strings.Contains(d.Log(), "lease_outranked") })
	for range 200 {
		s.store.Put("other", "row", "value") // the store's version passes the token
	}
	eventually(t, "it comes back with a later term", func() bool { return s.workers["m9"].Fence() > token+100 })
	s.awaitGroups(2)
	must.LessEq(t, 12, refused(), must.Sprint("it went on with a token that was refused"))
}

// TestFence_NoTokenWhereNobodyLooks: where workers don't look at tokens none is sent.
func TestFence_NoTokenWhereNobodyLooks(t *testing.T) {
	s := newStage(t, 4)
	s.start(true)
	s.awaitGroups(2)
	for _, w := range s.workers {
		must.EqOp(t, 0, w.Fence())
	}
}
