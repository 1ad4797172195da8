package standin

import (
	"net/http"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// relayDaemons is enough in one hall for two of them to relay.
const relayDaemons = 8

// startRelaying starts many daemons and waits until all but one read through a relay instead of
// the store. It returns that one and the others.
func startRelaying(t *testing.T, s *testCluster) (relay *Daemon, others []*Daemon) {
	for i := range relayDaemons {
		s.start(i == 0)
	}
	eventually(t, "one daemon relays", func() bool {
		relay, others = nil, nil
		for _, d := range s.daemons {
			if strings.Contains(d.Metrics(), "pointpass_store_direct 0") {
				others = append(others, d)
			} else {
				relay = d
			}
		}
		return len(others) == relayDaemons-1
	})
	return relay, others
}

// status sends a request to a path and returns the status of the response.
func (s *testCluster) status(d *Daemon, path string) int {
	return d.Send(s.t.Context(), s.newRequest(http.MethodPost, path)).Status
}

// TestRelay_ConfigurationsArriveThroughOthers checks that configurations reach all daemons
// through a relay, and after the relay was killed.
func TestRelay_ConfigurationsArriveThroughOthers(t *testing.T) {
	s := newTestCluster(t, 0)
	relay, others := startRelaying(t, s)
	s.addRoute("/first/")
	for _, d := range s.daemons {
		eventually(t, "the first route is served", func() bool { return s.status(d, "/first/x") == http.StatusOK })
	}
	relay.Kill()
	s.addRoute("/second/")
	for _, d := range others {
		eventually(t, "the second route is served", func() bool { return s.status(d, "/second/x") == http.StatusOK })
	}
}

// addRoute adds a route to the configuration and writes it to the store.
func (s *testCluster) addRoute(prefix string) {
	s.config.Version++
	s.config.Routes = append(s.config.Routes, Route{Name: prefix, Host: host, Prefix: prefix, Type: "idempotent", TimeoutMs: 2000, Service: "app", Attempts: 1})
	s.store.Apply(s.config)
}

// TestRelay_KeysExpireBehindAFrozenRelay guards against daemons that treat data from a stalled
// relay as current: a key is withdrawn while the relay is stopped and the store unresponsive,
// and must be rejected within the bound.
func TestRelay_KeysExpireBehindAFrozenRelay(t *testing.T) {
	s := newTestCluster(t, 0)
	relay, others := startRelaying(t, s)
	relay.Signal(syscall.SIGSTOP)
	s.store.SetFault(Silent)
	withdrawn := time.Now()
	for _, d := range others {
		eventually(t, "requests with a key are rejected", func() bool { return s.status(d, "/post/x") == http.StatusServiceUnavailable })
	}
	must.Less(t, 5*time.Second, time.Since(withdrawn))
	s.config.Version++
	s.config.Tenants[0].Keys = []string{"key-2"}
	s.store.Apply(s.config)
	s.store.SetFault(NoFault)
	for _, d := range others {
		eventually(t, "the withdrawn key is rejected", func() bool { return s.status(d, "/post/x") == http.StatusUnauthorized })
	}
}

// TestRelay_FailingGroupsAreReported checks that a group failure reaches the lease holder if
// only another daemon observes it.
func TestRelay_FailingGroupsAreReported(t *testing.T) {
	s := newTestCluster(t, 2)
	holder := s.start(true)
	s.awaitGroups(1)
	second := s.start(false)
	eventually(t, "the second daemon serves streams", func() bool {
		r := second.Send(t.Context(), s.newStreamRequest())
		return r.Status == http.StatusOK
	})
	s.setFaults(Stalls, "m0", "m1")
	second.Send(t.Context(), s.newStreamRequest())
	eventually(t, "the lease holder suspects the group", func() bool { return strings.Contains(holder.Log(), `"event":"group_suspected"`) })
}
