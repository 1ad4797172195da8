package load

import (
	"testing"

	"github.com/shoenig/test/must"
)

var testModel = Model{Service: "llm", Name: "m"}

func TestShareEstimator_HasNoEstimateBeforeTheFirstSum(t *testing.T) {
	p := NewShareEstimator()
	p.Observe(Offered{testModel: 1}, Offered{}, 0)
	_, ok := p.Share(testModel)
	must.False(t, ok)
}

func TestShareEstimator_StartsEvenAndFollowsTheLoad(t *testing.T) {
	p := NewShareEstimator()
	p.Observe(Offered{testModel: 3}, Offered{testModel: 10}, 10)
	share, ok := p.Share(testModel)
	must.True(t, ok)
	must.Between(t, 0.1, share, 0.14, must.Sprint("one report has little weight"))
	for range 200 {
		p.Observe(Offered{testModel: 3}, Offered{testModel: 10}, 10)
	}
	share, _ = p.Share(testModel)
	must.Between(t, 0.29, share, 0.31)
}

// TestShareEstimator_IsStableInASurge guards against shares that jump when the load of all
// daemons grows alike. The daemon's own report shows the growth first.
func TestShareEstimator_IsStableInASurge(t *testing.T) {
	p := NewShareEstimator()
	for range 100 {
		p.Observe(Offered{testModel: 1}, Offered{testModel: 10}, 10)
	}
	p.Observe(Offered{testModel: 2.5}, Offered{testModel: 10}, 10)
	for range 8 {
		p.Observe(Offered{testModel: 2.5}, Offered{testModel: 25}, 10)
	}
	share, _ := p.Share(testModel)
	must.Between(t, 0.09, share, 0.11)
}
