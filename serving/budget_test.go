package serving

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

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
	must.True(t, s.spendRetry("llm", noon))
	extra = 10
	spent := 1
	for s.spendRetry("llm", noon) {
		spent++
	}
	must.EqOp(t, 10, spent)
}
