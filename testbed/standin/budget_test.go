package standin

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// nodeRows is the start of the keys of the rows by which daemons announce themselves.
const nodeRows = "node/"

// budgetExtra is the number of retries beyond the ratio in the tests of the retry budget.
const budgetExtra = 136

// newBudgetCluster starts daemons whose plain workers lose every answer, so that each retry that a daemon
// allows itself reaches a worker.
func newBudgetCluster(t *testing.T, daemons int, firstStart func(i int) bool) *testCluster {
	s := newTestCluster(t, 0)
	for i := range s.config.Routes {
		s.config.Routes[i].Attempts = 3
	}
	s.store.Apply(s.config)
	s.store.Checker().SetRetryExtra(budgetExtra)
	s.addWorker("a2", "app", "")
	s.setFaults(DropsResponses, "a0", "a1", "a2")
	for i := range daemons {
		s.startAs(Setup{FirstStart: firstStart(i), RetryExtra: budgetExtra})
	}
	return s
}

// startSteadyCallers sends requests to each daemon at a constant rate, whatever becomes of them, until stop is
// called.
func (s *testCluster) startSteadyCallers(path string, interval time.Duration) (stop func()) {
	ctx, cancel := context.WithCancel(s.t.Context())
	var running sync.WaitGroup
	for _, d := range s.daemons {
		running.Go(func() {
			for ticker := time.NewTicker(interval); ctx.Err() == nil; <-ticker.C {
				running.Go(func() {
					d.Send(ctx, Request{ID: fmt.Sprintf("b%015x", s.callerIDs.Add(1)), Method: http.MethodGet, Host: host, Path: path, Key: key, Timeout: 2 * time.Second, Header: streamHeader()})
				})
			}
		})
	}
	return func() {
		cancel()
		running.Wait()
	}
}

// logWorst logs the window with the most retries.
func (s *testCluster) logWorst() {
	s.t.Log("retries in the worst window: ", fmt.Sprintf("%+v", s.store.Checker().WorstRetries("app")))
}

// stopAndStart stops daemons by a signal and starts them again once they have exited.
func (s *testCluster) stopAndStart(signal os.Signal, daemons ...*Daemon) {
	for _, d := range daemons {
		d.command.Process.Signal(signal)
	}
	for _, d := range daemons {
		<-d.Done()
		must.NoError(s.t, d.Restart(program))
	}
}

// TestBudget_DaemonsThatAreNotListed guards against daemons that use parts of the retries while the others
// don't count them: two of three are stopped and can't announce themselves when they start again.
func TestBudget_DaemonsThatAreNotListed(t *testing.T) {
	t.Parallel()
	const daemons = 3
	s := newBudgetCluster(t, daemons, func(i int) bool { return i == 0 })
	s.awaitShares()
	defer s.startSteadyCallers("/get/x", 50*time.Millisecond)()
	s.store.RefuseWrites(nodeRows)
	s.stopAndStart(syscall.SIGTERM, s.daemons[1:]...)
	time.Sleep(3 * retryWindow)
	s.logWorst()
}

// TestBudget_FirstStartThatRecurs guards against daemons that use a whole part of the retries at each start
// since their settings still say that the system starts for the first time.
func TestBudget_FirstStartThatRecurs(t *testing.T) {
	t.Parallel()
	s := newBudgetCluster(t, 3, func(int) bool { return true })
	s.awaitShares()
	defer s.startSteadyCallers("/get/x", 50*time.Millisecond)()
	for range 6 {
		time.Sleep(4 * time.Second)
		s.stopAndStart(os.Kill, s.daemons...)
	}
	s.logWorst()
}
