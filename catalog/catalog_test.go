package catalog

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"
)

func newCatalog(n uint64) *Catalog { return New(n, Limits{}, nil, nil, nil) }

func TestHolder_VersionsAndEvidenceOnlyRise(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		h := &Holder{}
		must.Nil(t, h.Current().Catalog)
		start := time.Unix(1000, 0)
		var newest uint64
		var evidence time.Time
		for range rapid.IntRange(1, 50).Draw(t, "steps") {
			at := start.Add(time.Duration(rapid.IntRange(0, 100).Draw(t, "at")) * time.Second)
			n := rapid.Uint64Range(1, 20).Draw(t, "version")
			if rapid.Bool().Draw(t, "accept") {
				must.EqOp(t, n > newest, h.Accept(newCatalog(n), at))
				newest = max(newest, n)
			} else {
				h.Confirm(at)
			}
			if newest > 0 && at.After(evidence) {
				evidence = at
			}
			if newest == 0 {
				must.Nil(t, h.Current().Catalog)
				continue
			}
			must.EqOp(t, newest, h.Current().Catalog.Version())
			must.Eq(t, evidence, h.Current().Evidence)
		}
	})
}

func TestHolder_ConfirmNeedsACatalog(t *testing.T) {
	h := &Holder{}
	h.Confirm(time.Unix(1000, 0))
	must.True(t, h.Current().Evidence.IsZero())
}

func TestServiceFor_FollowsWeights(t *testing.T) {
	r := Route{Shares: []Share{{Service: "a", Weight: 3}, {Service: "b", Weight: 1}, {Service: "c", Weight: 0}}}
	counts := map[string]int{}
	for i := range 1000 {
		counts[r.ServiceFor(float64(i)/1000)]++
	}
	must.Eq(t, map[string]int{"a": 750, "b": 250}, counts)
	empty := Route{}
	must.EqOp(t, "", empty.ServiceFor(0))
}
