package standin

import (
	"fmt"
	"net/http"
	"testing"
	"time"
)

const (
	// lostVersions is how many versions the copy lacks, more than a test writes after the
	// restore.
	lostVersions = 2000
	// outageDuration is how long the store is unavailable before the restore.
	outageDuration = 300 * time.Millisecond
)

// loseWrites restores the store from a copy at a version, after many later writes. It returns
// once all daemons apply writes made after the restore.
func (s *testCluster) loseWrites(version uint64) {
	for i := range lostVersions {
		s.store.Put("status", "lost", i)
	}
	lost := s.addWorker("lost", "app", "")
	s.addRoute("/lost/")
	s.awaitWrites("lost")
	s.store.SetFault(Reset)
	time.Sleep(outageDuration)
	s.store.Restore(version)
	s.store.SetFault(NoFault)
	lost.publish()
	s.addWorker("again", "app", "")
	s.addRoute("/again/")
	s.awaitWrites("again")
}

// awaitWrites waits until all daemons use the worker and the route with a name.
func (s *testCluster) awaitWrites(name string) {
	for i, d := range s.daemons {
		eventually(s.t, fmt.Sprint("daemon ", i, " has the route and the worker ", name), func() bool {
			return s.status(d, "/"+name+"/x") == http.StatusOK && s.serves(d, name)
		})
	}
}

// serves reports whether a worker runs requests that are sent to a daemon.
func (s *testCluster) serves(d *Daemon, worker string) bool {
	const attempts = 40 // misses one of four workers by chance once in 100,000 times
	for range attempts {
		a := s.newRequest(http.MethodGet, "/get/x")
		d.Send(s.t.Context(), a)
		for _, r := range s.workers[worker].Runs() {
			if r.ID == a.ID {
				return true
			}
		}
	}
	return false
}

// TestRestore_DrainAfterRestoreApplies guards against daemons that ignore a drain
// announced after a restore because they have applied higher versions from before it.
func TestRestore_DrainAfterRestoreApplies(t *testing.T) {
	s := newTestCluster(t, 0)
	startRelaying(t, s)
	s.loseWrites(s.store.Version())
	s.workers["a0"].Drain()
	for i, d := range s.daemons {
		eventually(t, fmt.Sprint("daemon ", i, " stops using the draining worker"), func() bool { return !s.serves(d, "a0") })
	}
}

// TestRestore_ConfigurationAfterRestoreApplies guards against daemons that ignore a
// configuration written after a restore because they have applied higher versions from before
// it.
func TestRestore_ConfigurationAfterRestoreApplies(t *testing.T) {
	s := newTestCluster(t, 0)
	startRelaying(t, s)
	s.loseWrites(s.store.Version())
	s.addRoute("/after/")
	s.config.Tenants[0].Keys = []string{"key-2"}
	s.config.Version++
	s.store.Apply(s.config)
	for i, d := range s.daemons {
		eventually(t, fmt.Sprint("daemon ", i, " applies the new configuration"), func() bool { return s.status(d, "/after/x") == http.StatusUnauthorized })
	}
}
