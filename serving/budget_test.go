package serving

import (
	"bytes"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/pointpass/pointpass/catalog"
	"github.com/pointpass/pointpass/load"
	"github.com/pointpass/pointpass/retry"
)

// TestBudget_FollowsTheNumberOfDaemons guards against a retry budget that stays as large as it
// was when the daemon got its first request, before it counted the other daemons that share
// the retries.
func TestBudget_FollowsTheNumberOfDaemons(t *testing.T) {
	extra := 90.0
	s := NewServer(Options{Allowance: func() retry.Allowance {
		return retry.Allowance{Ratio: 0, Extra: extra, Window: 10 * time.Second}
	}})
	must.True(t, spendRetry(s, "llm", noon))
	extra = 10
	spent := 1
	for spendRetry(s, "llm", noon) {
		spent++
	}
	must.EqOp(t, 10, spent)
}

// TestServer_ForgetsWhatTheConfigurationLacks guards against windows, their gauges and retry budgets of models and
// services that add up as configurations change.
func TestServer_ForgetsWhatTheConfigurationLacks(t *testing.T) {
	f := newFleet(catalog.Stream, []string{"h1"}, finishStream)
	f.configure(nil, nil)
	kept := f.server.window(load.Model{Service: "s", Name: "m"})
	budget := f.server.budget("s")
	for i := range 10 * maxWindows {
		f.server.window(load.Model{Service: "s", Name: strconv.Itoa(i)})
		f.server.budget(strconv.Itoa(i))
	}
	must.LessEq(t, maxWindows+1, len(f.server.windows))
	must.LessEq(t, maxBudgets+1, len(f.server.budgets))
	must.True(t, kept == f.server.window(load.Model{Service: "s", Name: "m"}))
	must.True(t, budget == f.server.budget("s"))
	var text bytes.Buffer
	f.set.WritePrometheus(&text)
	must.LessEq(t, maxWindows+1, strings.Count(text.String(), "pointpass_window_limit"))
	must.LessEq(t, maxWindows+1, strings.Count(text.String(), "pointpass_share_binds"))
}
