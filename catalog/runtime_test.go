package catalog

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// TestWork_MatchesManualCalculation checks Work against a calculation by hand for a request
// of 674 tokens and an answer of 150, at a group that runs 48 requests at once with a time
// factor of 0.6, which is 1.67 times as fast as a factor of 1.
func TestWork_MatchesManualCalculation(t *testing.T) {
	r := Runtime{
		Slots: 48, Step: 6450 * time.Microsecond, PerRequest: 96700, PerThousand: 2930,
		PerToken: 17825, PerMillionPairs: 309 * time.Microsecond,
	}
	m := Model{Name: "m", TimeFactor: 0.6}
	// 12.0 ms to read, 150 times 0.1344 + 0.0967 + 0.0022 ms to write, 0.1 ms of pairs
	must.Between(t, 28*time.Millisecond, r.Work(m, 674, 150), 29*time.Millisecond)
	r.MeanAnswerTokens = 150
	must.EqOp(t, r.Work(m, 674, 150), r.Work(m, 674, 370)) // clients request long answers as a maximum
	must.Less(t, r.Work(m, 674, 150), r.Work(m, 674, 20))
	must.EqOp(t, 0, (&Runtime{}).Work(m, 674, 150))
}
