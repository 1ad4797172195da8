package standin

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// TestRetries_RestartsKeepWithinTheAllowance guards against daemons that forget their earlier
// retries at a restart. All answers are lost while all daemons are killed again and again; the
// checker counts the retries.
func TestRetries_RestartsKeepWithinTheAllowance(t *testing.T) {
	const daemons, runs, requestsPerRun = 3, 5, 12
	s := newTestCluster(t, 0)
	for i := range daemons {
		s.start(i == 0)
	}
	s.awaitShares()
	s.setFaults(DropsResponses, "a0", "a1")
	started := time.Now()
	for run := range runs {
		if run > 0 {
			s.restartAll()
		}
		for _, d := range s.daemons {
			for range requestsPerRun {
				d.Send(t.Context(), s.newRequest(http.MethodGet, "/get/x"))
			}
		}
	}
	must.Positive(t, s.store.Checker().Retries("app"))
	must.Less(t, retryWindow, time.Since(started), must.Sprint("all runs are within one window"))
	t.Log("retries: ", s.store.Checker().Retries("app"), " in ", time.Since(started))
}

// countsDaemons reports whether the daemon shares the extra retries among a number of daemons.
func (d *Daemon) countsDaemons(n int) bool {
	return strings.Contains(d.Metrics(), fmt.Sprintf("pointpass_retry_daemons %d\n", n))
}
