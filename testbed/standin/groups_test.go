package standin

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// TestGroups_FormAgainAfterALoss checks that a new group forms, with real orders, from the
// workers that are left after a loss. Rules TWO and PARTIAL are also checked by the tests named
// Histories.
func TestGroups_FormAgainAfterALoss(t *testing.T) {
	s := newTestCluster(t, 4)
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
	eventually(t, "streams are served", func() bool { a := s.newStreamRequest(); return completeStream(a.ID, d.Send(t.Context(), a)) })
}

// TestTwo_MembersLeaveBeforeTheyJoin checks rules TWO and PARTIAL while members die one after
// the other under streaming requests. The checker observes each join and each run. In the end
// the remaining workers serve.
func TestTwo_MembersLeaveBeforeTheyJoin(t *testing.T) {
	s := newTestCluster(t, 8)
	d := s.start(true)
	s.awaitGroups(4)
	eventually(t, "a stream is served", func() bool { return d.Send(t.Context(), s.newStreamRequest()).Status == http.StatusOK })
	for _, id := range []string{"m0", "m5"} {
		s.workers[id].Kill()
		delete(s.workers, id)
		s.store.Put("servers", id, nil)
		s.addWorker(id+"-next", "llm", map[string]string{"m0": "d0", "m5": "d1"}[id])
		eventually(t, "all groups are open again", func() bool {
			d.Send(t.Context(), s.newStreamRequest())
			return len(s.openGroupHeads()) == 4
		})
	}
	must.SliceEmpty(t, s.store.Checker().Violations())
}

// TestCeiling_LoadsAreSpread checks rule CEILING: the bound on loads holds when many empty
// workers need loads while requests may be served.
func TestCeiling_LoadsAreSpread(t *testing.T) {
	s := newTestCluster(t, 0)
	s.config.Services[1].Runtime.LoadsPerS = 2
	s.config.Version++
	s.store.Apply(s.config)
	for i := range 24 {
		s.addWorker(fmt.Sprint("m", i), "llm", fmt.Sprint("d", i/8))
	}
	s.start(false)
	eventually(t, "loads of two windows have started", func() bool { return s.store.Checker().Loads() > 12 })
	must.LessEq(t, 13, s.store.Checker().MaxLoads(5*time.Second))
}

// TestCeiling_HoldsOnceAnyDaemonServes checks rule CEILING where the lease holder has served no
// request but another daemon has.
func TestCeiling_HoldsOnceAnyDaemonServes(t *testing.T) {
	s := newTestCluster(t, 0)
	s.config.Services[1].Runtime.LoadsPerS = 2
	s.config.Version++
	s.store.Apply(s.config)
	holder := s.start(true)
	eventually(t, "the first daemon holds the lease", func() bool { return strings.Contains(holder.Metrics(), "pointpass_lease_held 1") })
	other := s.start(true)
	must.EqOp(t, http.StatusOK, other.Send(t.Context(), s.newRequest(http.MethodPost, "/post/x")).Status)
	for i := range 24 {
		s.addWorker(fmt.Sprint("m", i), "llm", fmt.Sprint("d", i/8))
	}
	eventually(t, "loads of two windows have started", func() bool { return s.store.Checker().Loads() > 12 })
	must.LessEq(t, 13, s.store.Checker().MaxLoads(5*time.Second))
}

// TestLease_PassesOnWhenItsHolderDies checks that another daemon takes the lease and forms
// groups after the lease holder was killed while the store dropped responses.
func TestLease_PassesOnWhenItsHolderDies(t *testing.T) {
	s := newTestCluster(t, 2)
	first := s.start(true)
	s.awaitGroups(1)
	second := s.start(false)
	s.store.SetFault(Lossy)
	eventually(t, "the second daemon loses the store", func() bool { return strings.Contains(second.Log(), "store_lost") })
	first.Kill()
	s.store.SetFault(NoFault)
	s.workers["m0"].Kill()
	s.store.Put("servers", "m0", nil)
	delete(s.workers, "m0")
	s.addWorker("m7", "llm", "d0")
	s.awaitGroups(1)
	must.StrContains(t, second.Log(), `"event":"lease_taken"`)
}

// TestFence_AnOutrankedHolderGivesUpItsTerm checks that a lease holder whose order a worker
// rejects, because it has seen a later fencing token, gives up its term at once, sends no more
// orders with its token and returns only with a later one.
func TestFence_AnOutrankedHolderGivesUpItsTerm(t *testing.T) {
	s := newTestCluster(t, 4)
	d := s.startAs(Setup{FirstStart: true, Fenced: true})
	s.awaitGroups(2)
	token := s.workers["m0"].Fence()
	must.Positive(t, token)
	for _, w := range s.workers {
		w.SetFence(token + 100)
	}
	rejectedOrders := func() int {
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
		s.store.Put("other", "row", "value") // the store's version exceeds the token
	}
	eventually(t, "the daemon returns with a later term", func() bool { return s.workers["m9"].Fence() > token+100 })
	s.awaitGroups(2)
	must.LessEq(t, 12, rejectedOrders(), must.Sprint("it kept sending orders with a rejected token"))
}

// TestFence_NoTokenWithoutFencing checks that orders carry no fencing token where workers do
// not check it.
func TestFence_NoTokenWithoutFencing(t *testing.T) {
	s := newTestCluster(t, 4)
	s.start(true)
	s.awaitGroups(2)
	for _, w := range s.workers {
		must.EqOp(t, 0, w.Fence())
	}
}

// TestGroups_FormWhereReportsLackTheirCount guards against a holder of the lease that forms no groups since the
// workers' reports don't say how many orders they have taken.
func TestGroups_FormWhereReportsLackTheirCount(t *testing.T) {
	t.Parallel()
	s := newTestCluster(t, 4)
	for _, w := range s.workers {
		w.SetSparseReport()
	}
	s.start(true)
	s.start(false)
	s.awaitGroups(2)
	s.killHolder()
	for _, head := range s.openGroupHeads() {
		head.Kill()
		s.store.Put("servers", head.ID(), nil)
		delete(s.workers, head.ID())
	}
	s.awaitGroups(1)
}
