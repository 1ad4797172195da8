package standin

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

const (
	// contactTime is the time after which callers of daemons that are cut off from all workers
	// have to be served as those of others.
	contactTime = 3 * time.Second
	// minServedFraction is the fraction of them that has to be served at the first attempt, if
	// the other daemons serve all.
	minServedFraction = 2.0 / 3
)

// cutDaemons starts three daemons, each in a data hall of its own, some of which have links.
func (s *testCluster) cutDaemons(cut int) *Links {
	links, closeLinks := NewLinks()
	s.t.Cleanup(closeLinks)
	for i, hall := range []string{"z1", "z2", "z3"} {
		setup := Setup{FirstStart: i == 0, Hall: hall}
		if i < cut {
			setup.Frontend = s.store.NewLinkedFrontend(links)
		}
		s.startAs(setup)
	}
	return links
}

// TestLinks_CutDaemonsServeTheirCallers guards against daemons that refuse their callers while
// they are cut off from all workers and other daemons aren't.
func TestLinks_CutDaemonsServeTheirCallers(t *testing.T) {
	for _, cut := range []int{1, 2} {
		t.Run(fmt.Sprint(cut, " of 3"), func(t *testing.T) {
			t.Parallel()
			s := newTestCluster(t, 4)
			s.addWorkerIn("a2", "app", "", secondHall)
			links := s.cutDaemons(cut)
			s.awaitGroups(2)
			s.awaitServed(s.daemons...)
			links.Cut()
			for began := time.Now(); time.Since(began) < contactTime; {
				s.servedFraction(s.daemons[0])
			}
			for _, d := range s.daemons {
				must.GreaterEq(t, minServedFraction, s.servedFraction(d))
			}
			must.NoError(t, links.Restore())
			s.awaitServed(s.daemons...)
		})
	}
}

// awaitServed waits until daemons have read of the groups and serve all requests.
func (s *testCluster) awaitServed(daemons ...*Daemon) {
	s.t.Helper()
	for _, d := range daemons {
		eventually(s.t, "all requests are served", func() bool { return s.servedFraction(d) == 1 })
	}
}

// servedFraction sends a daemon requests of each kind, and returns the fraction that got a whole
// answer. A request that may not be repeated must not run twice.
func (s *testCluster) servedFraction(d *Daemon) float64 {
	s.t.Helper()
	sent, served := 0, 0
	for range 5 {
		for _, path := range []string{"/get/x", "/post/x", "/ask/q"} {
			a := s.newRequest(http.MethodPost, path)
			a.Header = streamHeader()
			r := d.Send(s.t.Context(), a)
			sent++
			if r.Err == nil && r.Status == http.StatusOK && (path != "/ask/q" || completeStream(a.ID, r)) {
				served++
			}
			if path == "/post/x" {
				must.LessEq(s.t, 1, len(s.runs(a.ID)))
			}
		}
	}
	return float64(served) / float64(sent)
}

// TestLinks_CutHolderLetsOthersRepairGroups guards against groups that stay broken while the holder
// of the lease is cut off from all workers: its orders reach nobody, and other daemons give none.
func TestLinks_CutHolderLetsOthersRepairGroups(t *testing.T) {
	t.Parallel()
	s := newTestCluster(t, 4)
	links := map[*Daemon]*Links{}
	for i, hall := range []string{"z1", "z2", "z3"} {
		l, closeLinks := NewLinks()
		t.Cleanup(closeLinks)
		links[s.startAs(Setup{FirstStart: i == 0, Hall: hall, Frontend: s.store.NewLinkedFrontend(l)})] = l
	}
	s.awaitGroups(2)
	holder := s.holder()
	s.awaitServed(s.daemons...)
	links[holder].Cut()
	s.awaitServed(holder)
	s.workers["m0"].Kill()
	s.store.Put("servers", "m0", nil)
	delete(s.workers, "m0")
	s.addWorker("m9", "llm", "d0")
	eventually(t, "the group is formed again", func() bool {
		s.servedFraction(holder)
		return len(s.openGroupHeads()) == 2
	})
	must.NotEq(t, holder, s.holder())
}

// TestLinks_BodiesStayInRegions guards against requests whose bodies go to a daemon in a region where
// they may not run, since the daemon that got them is cut off.
func TestLinks_BodiesStayInRegions(t *testing.T) {
	t.Parallel()
	s := newTestCluster(t, 0)
	s.config.Version++
	s.config.Routes = append(s.config.Routes, Route{Name: "bound", Host: host, Prefix: "/bound/", Type: "idempotent", TimeoutMs: 2000, GoalMs: 300, Service: "app", Attempts: 2, Regions: []string{"r1"}})
	s.store.Apply(s.config)
	links, closeLinks := NewLinks()
	t.Cleanup(closeLinks)
	cut := s.startAs(Setup{FirstStart: true, Hall: "z1", Frontend: s.store.NewLinkedFrontend(links)})
	abroad := s.startAs(Setup{Hall: "z3"})
	eventually(t, "requests are served", func() bool { return s.status(cut, "/bound/x") == http.StatusOK })
	links.Cut()
	eventually(t, "a request that may run anywhere is forwarded", func() bool { return s.status(cut, "/get/x") == http.StatusOK })
	for range 20 {
		must.EqOp(t, http.StatusServiceUnavailable, s.status(cut, "/bound/x"))
	}
	must.StrNotContains(t, abroad.Log(), `"route":"bound"`)
}

// holder returns the daemon that holds the lease.
func (s *testCluster) holder() *Daemon {
	s.t.Helper()
	var holder *Daemon
	eventually(s.t, "a daemon holds the lease", func() bool {
		for _, d := range s.daemons {
			if strings.Contains(d.Metrics(), "pointpass_lease_held 1") {
				holder = d
			}
		}
		return holder != nil
	})
	return holder
}
