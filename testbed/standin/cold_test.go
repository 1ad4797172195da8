package standin

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

const (
	// coldDaemons is small enough that each daemon may send to each cold worker.
	coldDaemons = 4
	// coldCallers send requests to each daemon, far more than a cold worker has capacity for.
	coldCallers = 8
	// minColdArrivals is what a cold worker receives in a little more than two seconds.
	minColdArrivals = 40
)

// TestCold_AllDaemonsKeepTheBound guards against a cold worker that receives more than its
// bound, also after all daemons have restarted at once. The checker counts the requests.
func TestCold_AllDaemonsKeepTheBound(t *testing.T) {
	s, _ := newColdCluster(t)
	stop := s.startCallers("/get/x", coldCallers)
	eventually(t, "the cold worker gets requests", func() bool { return s.store.Checker().ColdArrivals("cold") > minColdArrivals })
	stop()
	before := s.store.Checker().ColdArrivals("cold")
	s.restartAll()
	stop = s.startCallers("/get/x", coldCallers)
	defer stop()
	eventually(t, "the cold worker gets requests after the restart", func() bool { return s.store.Checker().ColdArrivals("cold") > before+minColdArrivals })
}

// newColdCluster starts daemons and a cold worker, "cold".
func newColdCluster(t *testing.T) (*testCluster, *Worker) {
	s := newTestCluster(t, 0)
	s.config.Version++
	s.config.Services[0].ColdS = 60
	s.config.Services[0].ColdPerS = 18
	s.store.Apply(s.config)
	for i := range coldDaemons {
		s.start(i == 0)
	}
	cold := s.addWorker("cold", "app", "")
	cold.SetCold(time.Minute)
	return s, cold
}

// restartAll kills all daemons and starts them again under their names.
func (s *testCluster) restartAll() {
	for _, d := range s.daemons {
		d.Kill()
	}
	for i := range s.daemons {
		d, kill, err := Start(program, s.t.TempDir(), fmt.Sprint("edge-", i), s.store, Setup{})
		must.NoError(s.t, err)
		s.t.Cleanup(kill)
		s.daemons[i] = d
	}
	for _, d := range s.daemons {
		eventually(s.t, "a daemon becomes ready", d.Ready)
	}
}
