package routing

import (
	"fmt"
	"math/rand/v2"
	"os"
	"testing"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"github.com/pointpass/pointpass/common/histories"
)

func TestMain(m *testing.M) { os.Exit(histories.Run(m)) }

func candidates(loads ...float64) []Candidate {
	var list []Candidate
	for i, load := range loads {
		list = append(list, NewCandidate(fmt.Sprint("g", i), load, false))
	}
	return list
}

func TestChoose_KeepsAPrefixAtItsTargetsBelowAffinityLoad(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 1))
	chosen := map[int]bool{}
	for range 100 {
		chosen[Choose(candidates(0.1, 0.1, 0.1, 0.1, 0.1, 0.1), 42, random)] = true
	}
	must.True(t, len(chosen) <= pairSize)
	for preferred := range chosen {
		loads := []float64{0.1, 0.1, 0.1, 0.1, 0.1, 0.1}
		loads[preferred] = 2
		must.NotEq(t, preferred, Choose(candidates(loads...), 42, random))
	}
}

func TestChoose_TakesTheLessLoadedOfTwo(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 1))
	for range 100 {
		must.EqOp(t, 1, Choose(candidates(3, 1), 0, random))
	}
}

func TestChoose_PrefersTheSameHallAtEqualLoad(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 1))
	list := []Candidate{NewCandidate("far", 0.5, false), NewCandidate("near", 0.5, true)}
	for range 50 {
		must.EqOp(t, 1, Choose(list, 0, random))
	}
}

func TestChoose_AlwaysReturnsACandidate(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		loads := rapid.SliceOfN(rapid.Float64Range(0, 3), 0, 12).Draw(t, "loads")
		prefix := rapid.Uint64().Draw(t, "prefix")
		random := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 0))
		got := Choose(candidates(loads...), prefix, random)
		if len(loads) == 0 {
			must.EqOp(t, -1, got)
			return
		}
		must.True(t, got >= 0 && got < len(loads))
	})
}
