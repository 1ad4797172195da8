package serving

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/pointpass/pointpass/retry"
)

// TestBudget_FollowsTheNumberOfDaemons gives a daemon its first request before it
// knows how many others share the retries.
func TestBudget_FollowsTheNumberOfDaemons(t *testing.T) {
	extra := 90.0
	s := NewServer(Options{Allowance: func() retry.Allowance {
		return retry.Allowance{Ratio: 0, Extra: extra, Window: 10 * time.Second}
	}})
	must.True(t, s.spend("llm", noon))
	extra = 10
	spent := 1
	for s.spend("llm", noon) {
		spent++
	}
	must.EqOp(t, 10, spent)
}
