package standin

import (
	"encoding/json"
	"net/http"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/pointpass/pointpass/deps"
)

// Bounds of requests that crash workers, as the platform sets them.
const (
	// maxCrashes is how many workers a request may crash before the daemons hold it back.
	// holdPropagation is how soon all daemons must do so, and maxHeldArrivals how many times
	// the request may still reach a worker from then on.
	maxCrashes      = 3
	holdPropagation = 3 * time.Second
	maxHeldArrivals = 3
)

// TestCrash_OneRequestCrashesWorkerAfterWorker guards against a request that crashes one worker
// after another.
//
// A customer sent the same request again and again, to all daemons in turn and each time with
// another ID. Each worker that started it crashed: up to ten heads of groups in two seconds and
// about thirty in half a minute. A tenth to all of a model's requests failed meanwhile, since
// each attempt reached two workers and their other requests were lost too. In the logs, requests
// of this customer and of one length were at 17 workers that ended within ten seconds, and
// requests of any other length at fewer than half as many. The bound on workers and the retry
// budget hold for one request ID only, so daemons must track a request's crashes across IDs.
func TestCrash_OneRequestCrashesWorkerAfterWorker(t *testing.T) {
	const callers = 3
	s, c := newCrashCluster(t)
	others := startBackgroundCallers(s, callers)
	c.crashUntilLimit()
	propagated := time.Now().Add(holdPropagation)
	time.Sleep(time.Until(propagated))
	c.sendRepeatedly()
	others.stop()
	must.LessEq(t, maxHeldArrivals, c.arrivalsSince(propagated), must.Sprint("the request reached more workers after it had crashed three"))
	must.Positive(t, others.complete.Load())
	must.EqOp(t, 0, others.failed.Load(), must.Sprint("requests that crash no worker failed"))
}

// TestCrash_LeaseHolderDiesMeanwhile guards against losing the record of crashes with the
// lease holder, which may be the only daemon that has received all reports.
func TestCrash_LeaseHolderDiesMeanwhile(t *testing.T) {
	s, c := newCrashCluster(t)
	c.crashUntilLimit()
	propagated := time.Now().Add(holdPropagation)
	s.killHolder()
	time.Sleep(time.Until(propagated))
	c.sendRepeatedly()
	must.LessEq(t, maxHeldArrivals, c.arrivalsSince(propagated))
}

// TestCrash_HoldSurvivesRestartOfAllDaemons checks that a hold survives a restart of all
// daemons. Its callers get a refusal which says that the request has not run and when to retry.
func TestCrash_HoldSurvivesRestartOfAllDaemons(t *testing.T) {
	s, c := newCrashCluster(t)
	c.crashUntilLimit()
	eventually(t, "the hold is stored", func() bool {
		c.send(0)
		return s.holds() == 1
	})
	for _, d := range s.daemons {
		d.Kill()
	}
	s.daemons = nil
	started := time.Now()
	for range 3 {
		s.start(false)
	}
	eventually(t, "a group is open", func() bool { return c.openGroups() > 0 })
	for i := range 6 {
		r := c.send(i)
		must.EqOp(t, http.StatusServiceUnavailable, r.Status)
		must.StrContains(t, r.Body, "held back")
		must.StrNotEqFold(t, "", r.Header.Get("Retry-After"))
	}
	must.EqOp(t, 0, c.arrivalsSince(started))
	s.release(c)
}

// release removes the hold as an operator does, and checks that the request reaches workers
// again.
func (s *testCluster) release(c *crashingWorkers) {
	var status deps.EdgeStatus
	must.NoError(s.t, json.Unmarshal([]byte(s.daemons[0].Status()), &status))
	must.SliceLen(s.t, 1, status.HeldRequests)
	held := status.HeldRequests[0]
	must.GreaterEq(s.t, maxCrashes, held.Charge)
	must.Positive(s.t, held.StoreVersion)
	must.EqOp(s.t, http.StatusBadRequest, s.daemons[0].Release("xyz"))
	must.EqOp(s.t, http.StatusNotFound, s.daemons[0].Release(strings.Repeat("0", len(held.Fingerprint))))
	must.EqOp(s.t, http.StatusNoContent, s.daemons[0].Release(held.Fingerprint))
	started := time.Now()
	eventually(s.t, "the released request reaches a worker", func() bool {
		c.send(1)
		return c.arrivalsSince(started) > 0
	})
}

// TestCrash_SuccessAtAnotherDaemonReleases checks that a hold ends for a request that succeeded
// at one daemon before it crashed workers of the others: the daemon with the success reports
// it.
func TestCrash_SuccessAtAnotherDaemonReleases(t *testing.T) {
	s, c := newCrashCluster(t)
	eventually(t, "the first daemon recognizes requests that it has served", func() bool {
		return strings.Contains(s.daemons[0].Metrics(), "pointpass_fingerprint_key_known 1\n")
	})
	c.arm(false)
	eventually(t, "the first daemon has read of the groups and serves the request", func() bool { return c.send(0).Status == http.StatusOK })
	c.arm(true)
	eventually(t, "three workers have crashed", func() bool {
		c.send(1)
		c.send(2)
		return len(c.arrivals()) > maxCrashes
	})
	eventually(t, "the request is held back and cleared", func() bool {
		for _, d := range s.daemons {
			if strings.Contains(d.Log(), `"event":"request_cleared"`) && strings.Contains(d.Log(), `"event":"request_held"`) {
				return s.holds() == 0
			}
		}
		return false
	})
}

// newCrashCluster starts three daemons and workers that crash at one request.
func newCrashCluster(t *testing.T) (*testCluster, *crashingWorkers) {
	s := newTestCluster(t, 0)
	c := newCrashingWorkers(s, "it crashes workers")
	c.start()
	return s, c
}

// start starts twelve workers and three daemons, and waits until groups are open.
func (c *crashingWorkers) start() {
	const workers = 12
	for range workers {
		c.add()
	}
	for i := range 3 {
		c.s.start(i == 0)
	}
	eventually(c.s.t, "groups open", func() bool { return c.openGroups() >= workers/2-1 })
}

// killHolder kills the first daemon that has logged that it took the lease.
func (s *testCluster) killHolder() {
	for i, d := range s.daemons {
		if strings.Contains(d.Log(), `"event":"lease_taken"`) {
			d.Kill()
			s.daemons = slices.Delete(s.daemons, i, i+1)
			return
		}
	}
	s.t.Fatal("no daemon holds the lease")
}

// holds returns the number of holds in the store.
func (s *testCluster) holds() int {
	n := 0
	for _, r := range s.store.Rows("control") {
		if strings.HasPrefix(r.Key, "quarantine/held/") {
			n++
		}
	}
	return n
}
