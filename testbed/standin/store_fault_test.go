package standin

import (
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// outageFaults are the faults in which the store answers no call successfully.
var outageFaults = []StoreFault{Silent, Busy, Throttled, Reset, Lossy, Late}

// TestAway_KnownKeysAreServedOnOldEvidence checks that without strict revocation cached keys
// are served during each kind of store outage, and unknown keys and routes get 503 rather than
// a final rejection. After the outage, the changes made meanwhile apply: a withdrawn key, a new
// key and new routes.
func TestAway_KnownKeysAreServedOnOldEvidence(t *testing.T) {
	for _, fault := range outageFaults {
		t.Run(fault.String(), func(t *testing.T) {
			t.Parallel()
			s := newTestCluster(t, 0)
			d := s.startAs(Setup{FirstStart: true, LooseRevoke: true})
			for range 2 { // a second outage follows the first
				s.config.Tenants[0].Keys = []string{key}
				s.config.Version++
				s.store.Apply(s.config)
				eventually(t, "the key is accepted", func() bool { return s.status(d, "/post/x") == http.StatusOK })
				s.store.SetFault(fault)
				s.checkServedDuringOutage(d)
				s.checkChangesAfterOutage(d)
			}
			must.StrContains(t, d.Metrics(), `pointpass_old_evidence_verdicts_total{verdict="admit"}`)
		})
	}
}

// strictRevocationBound is the age of the last store data at which strict revocation rejects
// all keys.
const strictRevocationBound = 5 * time.Second

// checkServedDuringOutage checks a daemon's responses during an outage, for longer than strict
// revocation would allow.
func (s *testCluster) checkServedDuringOutage(d *Daemon) {
	unknownKey := s.newRequest(http.MethodPost, "/post/x")
	unknownKey.Key = "key-3"
	var r Reply
	eventually(s.t, "unknown keys get 503", func() bool {
		r = d.Send(s.t.Context(), unknownKey)
		return r.Status == http.StatusServiceUnavailable
	})
	must.NotEq(s.t, "", r.Header.Get("Retry-After"))
	must.EqOp(s.t, http.StatusServiceUnavailable, s.status(d, "/new/x"))
	for until := time.Now().Add(strictRevocationBound); time.Now().Before(until); {
		must.EqOp(s.t, http.StatusOK, s.status(d, "/post/x"))
	}
}

// checkChangesAfterOutage changes the configuration during an outage, ends the outage and
// checks that the changes apply.
func (s *testCluster) checkChangesAfterOutage(d *Daemon) {
	s.config.Version++
	s.config.Tenants[0].Keys = []string{"key-2", "key-3"}
	s.config.Routes = append([]Route{}, s.config.Routes...)
	for _, prefix := range []string{"/new/", "/newer/", "/newest/"} {
		s.config.Routes = append(s.config.Routes, Route{Name: prefix, Host: host, Prefix: prefix, Type: "idempotent", TimeoutMs: 2000, Service: "app", Attempts: 1})
	}
	s.store.Apply(s.config)
	s.store.SetFault(NoFault)
	eventually(s.t, "the withdrawn key is rejected", func() bool { return s.status(d, "/post/x") == http.StatusUnauthorized })
	for _, path := range []string{"/post/x", "/new/x", "/newest/x"} {
		a := s.newRequest(http.MethodPost, path)
		a.Key = "key-3"
		must.EqOp(s.t, http.StatusOK, d.Send(s.t.Context(), a).Status, must.Sprint(path))
	}
	s.config.Routes = s.config.Routes[:len(s.config.Routes)-3]
}

// TestSlow_ServiceGoesOn checks that a daemon still admits known keys and denies unknown ones
// when store responses take fifty times as long. The margin is checked by
// TestConfigWait_KeepsEvidenceFresh, which does not depend on the machine's load.
func TestSlow_ServiceGoesOn(t *testing.T) {
	s := newTestCluster(t, 0)
	d := s.start(true)
	s.store.SetFault(Slow)
	unknownKey := s.newRequest(http.MethodPost, "/post/x")
	unknownKey.Key = "key-3"
	for range 5 {
		s.addRoute("/slow/" + strconv.Itoa(s.ids) + "/")
		path := s.config.Routes[len(s.config.Routes)-1].Prefix
		eventually(t, "the route is served", func() bool { return s.status(d, path) == http.StatusOK })
		eventually(t, "unknown keys are denied", func() bool { return d.Send(t.Context(), unknownKey).Status == http.StatusUnauthorized })
	}
}

// TestSome_ADaemonThatTheStoreServesIsNotBehind guards against a daemon that relies on outdated
// data of its relay while the store answers the daemon itself and fails for the relay. The
// delay is checked by TestPollTiming_RelayedEvidenceIsFresh and by the tests of relay.Reader,
// which do not depend on the machine's load.
func TestSome_ADaemonThatTheStoreServesIsNotBehind(t *testing.T) {
	for _, fault := range outageFaults {
		t.Run(fault.String(), func(t *testing.T) {
			t.Parallel()
			s := newTestCluster(t, 0)
			frontends := map[*Daemon]*Frontend{}
			for i := range 2 {
				frontend := s.store.NewFrontend()
				d := s.startAs(Setup{FirstStart: i == 0, Frontend: frontend})
				frontends[d] = frontend
			}
			var follower, relay *Daemon
			eventually(t, "one daemon reads through the other", func() bool {
				for i, d := range s.daemons {
					if strings.Contains(d.Metrics(), "pointpass_store_direct 0") {
						follower, relay = d, s.daemons[1-i]
						return true
					}
				}
				return false
			})
			for i := range 4 {
				prefix := "/route-" + strconv.Itoa(i) + "/"
				frontends[relay].SetFault(fault)
				s.addRoute(prefix)
				eventually(t, "the route is served", func() bool { return s.status(follower, prefix+"x") == http.StatusOK })
				frontends[relay].SetFault(NoFault)
				eventually(t, "the relay serves the route too", func() bool { return s.status(relay, prefix+"x") == http.StatusOK })
			}
		})
	}
}

// TestDrain_HoldsWhileTheStoreIsAway checks that a daemon keeps a worker's drain in effect
// during a store outage.
func TestDrain_HoldsWhileTheStoreIsAway(t *testing.T) {
	for _, fault := range []StoreFault{Silent, Reset, Lossy} {
		t.Run(fault.String(), func(t *testing.T) {
			t.Parallel()
			s := newTestCluster(t, 0)
			d := s.startAs(Setup{FirstStart: true, LooseRevoke: true})
			s.workers["a0"].Drain()
			eventually(t, "the daemon logs the drain", func() bool { return strings.Contains(d.Log(), `"worker":"a0","service":"app","draining":true`) })
			s.store.SetFault(fault)
			before := len(s.workers["a0"].Runs())
			for until := time.Now().Add(strictRevocationBound); time.Now().Before(until); {
				must.EqOp(t, http.StatusOK, s.status(d, "/get/x"))
			}
			must.EqOp(t, before, len(s.workers["a0"].Runs()))
		})
	}
}

// TestLost_StoreOutageLosesNoRequest checks that requests without a key, idempotent or not, are
// answered before, during and after a store outage and run exactly once.
func TestLost_StoreOutageLosesNoRequest(t *testing.T) {
	for _, fault := range outageFaults {
		t.Run(fault.String(), func(t *testing.T) {
			t.Parallel()
			s := newTestCluster(t, 0)
			s.config.Routes = append(s.config.Routes, Route{Name: "drop", Host: host, Prefix: "/drop/", Type: "non_idempotent", TimeoutMs: 2000, GoalMs: 300, Service: "app", Attempts: 2, Public: true})
			s.store.Apply(s.config)
			d := s.start(true)
			for _, phase := range []StoreFault{NoFault, fault, NoFault} {
				s.store.SetFault(phase)
				for until := time.Now().Add(time.Second); time.Now().Before(until); {
					for method, path := range map[string]string{http.MethodGet: "/open/x", http.MethodPost: "/drop/x"} {
						a := s.newRequest(method, path)
						a.Key = ""
						must.EqOp(t, http.StatusOK, d.Send(t.Context(), a).Status)
						must.Len(t, 1, s.runs(a.ID))
					}
				}
			}
		})
	}
}

// TestBack_ChangesDuringOutageApply checks that a daemon applies all changes of
// configuration and workers made during a store outage after which the store has no history of
// them.
func TestBack_ChangesDuringOutageApply(t *testing.T) {
	for _, fault := range outageFaults {
		t.Run(fault.String(), func(t *testing.T) {
			t.Parallel()
			s := newTestCluster(t, 0)
			d := s.startAs(Setup{FirstStart: true, LooseRevoke: true})
			s.store.SetFault(fault)
			eventually(t, "the daemon loses the store", func() bool { return strings.Contains(d.Log(), `"event":"store_lost"`) })
			s.addRoute("/late/")
			s.addWorker("a2", "app", "")
			s.store.ForgetHistory()
			s.store.SetFault(NoFault)
			eventually(t, "the route is served", func() bool { return s.status(d, "/late/x") == http.StatusOK })
			eventually(t, "the daemon logs the new worker", func() bool { return strings.Contains(d.Log(), `"worker":"a2"`) })
		})
	}
}
