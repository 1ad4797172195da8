package standin

import (
	"net/http"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// manyDaemons is enough in one zone for two of them to relay.
const manyDaemons = 8

// relaying starts many daemons and waits until all but one have stopped asking the
// store. It returns that one and the others.
func relaying(t *testing.T, s *stage) (relay *Daemon, others []*Daemon) {
	for i := range manyDaemons {
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
		return len(others) == manyDaemons-1
	})
	return relay, others
}

func (s *stage) status(d *Daemon, path string) int {
	return d.Send(s.t.Context(), s.ask(http.MethodPost, path)).Status
}

// TestRelay_ConfigurationsArriveThroughOthers changes the configuration, kills the
// daemon that relays, and changes it again.
func TestRelay_ConfigurationsArriveThroughOthers(t *testing.T) {
	s := newStage(t, 0)
	relay, others := relaying(t, s)
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

func (s *stage) addRoute(prefix string) {
	s.config.Version++
	s.config.Routes = append(s.config.Routes, Route{Name: prefix, Host: host, Prefix: prefix, Type: "idempotent", TimeoutMs: 2000, Service: "app", Attempts: 1})
	s.store.Apply(s.config)
}

// TestRelay_KeysExpireBehindAFrozenRelay withdraws a key while the daemon that
// relays stands still and the store is silent: no daemon may take what it last
// heard for news.
func TestRelay_KeysExpireBehindAFrozenRelay(t *testing.T) {
	s := newStage(t, 0)
	relay, others := relaying(t, s)
	relay.Signal(syscall.SIGSTOP)
	s.store.SetTrouble(Silent)
	withdrawn := time.Now()
	for _, d := range others {
		eventually(t, "credentials can't be checked any more", func() bool { return s.status(d, "/post/x") == http.StatusServiceUnavailable })
	}
	must.Less(t, 5*time.Second, time.Since(withdrawn))
	s.config.Version++
	s.config.Tenants[0].Keys = []string{"key-2"}
	s.store.Apply(s.config)
	s.store.SetTrouble(Sound)
	for _, d := range others {
		eventually(t, "the key is refused", func() bool { return s.status(d, "/post/x") == http.StatusUnauthorized })
	}
}

// TestRelay_FailingGroupsAreReported has a member die whose group only a daemon sees
// that doesn't hold the lease.
func TestRelay_FailingGroupsAreReported(t *testing.T) {
	s := newStage(t, 2)
	holder := s.start(true)
	s.awaitGroups(1)
	second := s.start(false)
	eventually(t, "the second knows the group", func() bool {
		r := second.Send(t.Context(), s.stream())
		return r.Status == http.StatusOK
	})
	s.setFaults(Stalls, "m0", "m1")
	second.Send(t.Context(), s.stream())
	eventually(t, "the holder hears of it", func() bool { return strings.Contains(holder.Log(), `"event":"group_suspected"`) })
}
