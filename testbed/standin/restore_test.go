package standin

import (
	"fmt"
	"net/http"
	"testing"
	"time"
)

const (
	// lostVersions is how many versions a copy lacks: more than are written in a test after
	// the store is back.
	lostVersions = 2000
	// absence is for how long the store is away before it comes back.
	absence = 300 * time.Millisecond
)

// loseWrites has the store come back from a copy that lacks what was written since a
// version, and many writes more. It returns once all daemons know what was written again.
func (s *stage) loseWrites(version uint64) {
	for i := range lostVersions {
		s.store.Put("status", "lost", i)
	}
	lost := s.addWorker("lost", "app", "")
	s.addRoute("/lost/")
	s.awaitWrites("lost")
	s.store.SetTrouble(Reset)
	time.Sleep(absence)
	s.store.Restore(version)
	s.store.SetTrouble(Sound)
	lost.publish()
	s.addWorker("again", "app", "")
	s.addRoute("/again/")
	s.awaitWrites("again")
}

// awaitWrites waits until all daemons use a worker and a route of a name.
func (s *stage) awaitWrites(name string) {
	for i, d := range s.daemons {
		eventually(s.t, fmt.Sprint("daemon ", i, " has the route and the worker ", name), func() bool {
			return s.status(d, "/"+name+"/x") == http.StatusOK && s.serves(d, name)
		})
	}
}

// serves tells whether a worker runs requests that are sent to a daemon.
func (s *stage) serves(d *Daemon, worker string) bool {
	const enough = 40 // one of four workers is missed by chance once in 100,000 times
	for range enough {
		a := s.ask(http.MethodGet, "/get/x")
		d.Send(s.t.Context(), a)
		for _, r := range s.workers[worker].Runs() {
			if r.ID == a.ID {
				return true
			}
		}
	}
	return false
}

// A worker that says that it leaves, once the store came back from an older copy, gets more
// requests from daemons that went by versions of before.
func TestRestore_AWorkerThatLeavesAfterItGetsNothingNew(t *testing.T) {
	s := newStage(t, 0)
	relaying(t, s)
	s.loseWrites(s.store.Version())
	s.workers["a0"].Drain()
	for i, d := range s.daemons {
		eventually(t, fmt.Sprint("daemon ", i, " knows that the worker leaves"), func() bool { return !s.serves(d, "a0") })
	}
}

// A configuration that is written once the store came back from an older copy is not in force
// at daemons that went by versions of before.
func TestRestore_AConfigurationWrittenAfterItIsInForce(t *testing.T) {
	s := newStage(t, 0)
	relaying(t, s)
	s.loseWrites(s.store.Version())
	s.addRoute("/after/")
	s.config.Tenants[0].Keys = []string{"key-2"}
	s.config.Version++
	s.store.Apply(s.config)
	for i, d := range s.daemons {
		eventually(t, fmt.Sprint("daemon ", i, " has the new version"), func() bool { return s.status(d, "/after/x") == http.StatusUnauthorized })
	}
}
