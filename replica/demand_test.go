package replica

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/pointpass/pointpass/catalog"
	"github.com/pointpass/pointpass/load"
)

// twoModels returns a service with groups of 12 and 6 VMs and configured shares of one half
// each.
func twoModels() *catalog.Service {
	return &catalog.Service{Name: "llm", Runtime: &catalog.Runtime{Models: []catalog.Model{
		{Name: "large", Size: 12, Share: 0.5},
		{Name: "small", Size: 6, Share: 0.5},
	}}}
}

// sumAt returns the sum of several daemons' reports at a time.
func sumAt(at time.Time, large, small float64) load.Sum {
	return load.Sum{Daemons: 3, At: at, Offered: load.Offered{
		{Service: "llm", Name: "large"}: large,
		{Service: "llm", Name: "small"}: small,
	}}
}

// shareAfter returns the small model's share after the given work was offered for a time.
func shareAfter(d *demand, start time.Time, length time.Duration, large, small float64) float64 {
	for at := start; at.Before(start.Add(length)); at = at.Add(250 * time.Millisecond) {
		d.observe(at, sumAt(at, large, small))
	}
	return d.shares(twoModels(), supply{workers: 162})["small"]
}

// TestShares_FollowOfferedWork checks that the shares don't stay at the configured halves while
// five of six requests go to the model of 6 VMs: its work keeps 8.8 groups of 6 busy, and that
// of the other model 2.9 groups of 12.
func TestShares_FollowOfferedWork(t *testing.T) {
	now := time.Unix(1000, 0)
	must.EqOp(t, 0.5, newDemand(demandTimeConstant).shares(twoModels(), supply{workers: 162})["small"])
	must.EqOp(t, 0.5, shareAfter(newDemand(demandTimeConstant), now, time.Second, 2.9, 8.8)) // observed for too short a time
	d := newDemand(demandTimeConstant)
	share := shareAfter(d, now, 20*time.Second, 2.9, 8.8)
	must.Between(t, 0.53, share, 0.55)
	// With fewer workers, the shares come closer to what the work needs at the minimum.
	must.Greater(t, share, d.targetShares(twoModels(), supply{workers: 100})["small"])
	must.Between(t, 0.59, d.targetShares(twoModels(), supply{workers: 60})["small"], 0.61)
}

// TestShares_DampShortSurges checks that a surge of the small model's work to 2.5 times for 3 s
// moves few workers: a group that loads for 12 s would serve too late.
func TestShares_DampShortSurges(t *testing.T) {
	now := time.Unix(1000, 0)
	d := newDemand(demandTimeConstant)
	before := shareAfter(d, now, 20*time.Second, 2.9, 8.8)
	during := shareAfter(d, now.Add(20*time.Second), 3*time.Second, 2.9, 22)
	must.Between(t, before, during, before+0.14) // 2.5 times the work needs a share of 0.72
	must.Between(t, before-0.01, shareAfter(d, now.Add(23*time.Second), 15*time.Second, 2.9, 8.8), before+0.01)
}

// TestShares_FollowLastingShift checks that the shares follow callers that switch from one model
// to the other for good.
func TestShares_FollowLastingShift(t *testing.T) {
	now := time.Unix(1000, 0)
	d := newDemand(demandTimeConstant)
	shareAfter(d, now, 20*time.Second, 2.9, 8.8)
	must.Between(t, 0.22, shareAfter(d, now.Add(20*time.Second), 15*time.Second, 7.5, 4), 0.28)
}

// TestShares_KeepTwoGroupsPerModel checks that a model with little work keeps a second group,
// since one may fail, unless its configured share is too small for two.
func TestShares_KeepTwoGroupsPerModel(t *testing.T) {
	now := time.Unix(1000, 0)
	d := newDemand(demandTimeConstant)
	shareAfter(d, now, 20*time.Second, 0.01, 8.8)
	must.Between(t, 24.0/162, d.shares(twoModels(), supply{workers: 162})["large"], 0.15)
	must.Between(t, 0.3, d.shares(twoModels(), supply{workers: 24})["large"], 0.5)
}

// TestShares_IgnoreOldSums checks that a sum that is too old leaves the average unchanged.
func TestShares_IgnoreOldSums(t *testing.T) {
	now := time.Unix(1000, 0)
	d := newDemand(demandTimeConstant)
	share := shareAfter(d, now, 20*time.Second, 2.9, 8.8)
	d.observe(now.Add(40*time.Second), sumAt(now.Add(30*time.Second), 9, 1))
	must.EqOp(t, share, d.shares(twoModels(), supply{workers: 162})["small"])
}
