package replica

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/pointpass/pointpass/catalog"
	"github.com/pointpass/pointpass/load"
)

// twoModels has groups of 12 and 6 VMs, which the settings give half of the work each.
func twoModels() *catalog.Service {
	return &catalog.Service{Name: "llm", Runtime: &catalog.Runtime{Models: []catalog.Model{
		{Name: "large", Size: 12, Share: 0.5},
		{Name: "small", Size: 6, Share: 0.5},
	}}}
}

// asked returns a sum over some daemons as it was known at a moment.
func asked(at time.Time, large, small float64) load.Sum {
	return load.Sum{Daemons: 3, At: at, Offered: load.Offered{
		{Service: "llm", Name: "large"}: large,
		{Service: "llm", Name: "small"}: small,
	}}
}

// after returns the small model's share once callers asked for some work for a while.
func after(d *demand, begun time.Time, length time.Duration, large, small float64) float64 {
	for at := begun; at.Before(begun.Add(length)); at = at.Add(250 * time.Millisecond) {
		d.note(at, asked(at, large, small))
	}
	return d.shares(twoModels(), supply{workers: 162})["small"]
}

// TestShares_FollowTheWork has five of six requests go to the model of 6, so that its
// work keeps 8.8 groups of 6 busy and that of the other 2.9 groups of 12. The settings
// say half and half.
func TestShares_FollowTheWork(t *testing.T) {
	now := time.Unix(1000, 0)
	must.EqOp(t, 0.5, newDemand(demandMemory).shares(twoModels(), supply{workers: 162})["small"])
	must.EqOp(t, 0.5, after(newDemand(demandMemory), now, time.Second, 2.9, 8.8)) // too short to tell
	d := newDemand(demandMemory)
	share := after(d, now, 20*time.Second, 2.9, 8.8)
	must.Between(t, 0.53, share, 0.55)
	// With fewer workers left each keeps nearer to what its work needs at the least.
	must.Greater(t, share, d.wanted(twoModels(), supply{workers: 100})["small"])
	must.Between(t, 0.59, d.wanted(twoModels(), supply{workers: 60})["small"], 0.61)
}

// TestShares_ASwingOfThreeSecondsMovesLittle has the small model's callers come 2.5 times
// as often for 3 s: no group that loads for 12 s would serve them.
func TestShares_ASwingOfThreeSecondsMovesLittle(t *testing.T) {
	now := time.Unix(1000, 0)
	d := newDemand(demandMemory)
	before := after(d, now, 20*time.Second, 2.9, 8.8)
	swung := after(d, now.Add(20*time.Second), 3*time.Second, 2.9, 22)
	must.Between(t, before, swung, before+0.14) // 2.5 times the work would be 0.72
	must.Between(t, before-0.01, after(d, now.Add(23*time.Second), 15*time.Second, 2.9, 8.8), before+0.01)
}

// TestShares_FollowCallersThatMove has callers move from one model to the other and stay.
func TestShares_FollowCallersThatMove(t *testing.T) {
	now := time.Unix(1000, 0)
	d := newDemand(demandMemory)
	after(d, now, 20*time.Second, 2.9, 8.8)
	must.Between(t, 0.22, after(d, now.Add(20*time.Second), 15*time.Second, 7.5, 4), 0.28)
}

// TestShares_LeaveEachModelTwoGroups: a model that hardly anybody asks for keeps a second
// group, unless the settings leave it none.
func TestShares_LeaveEachModelTwoGroups(t *testing.T) {
	now := time.Unix(1000, 0)
	d := newDemand(demandMemory)
	after(d, now, 20*time.Second, 0.01, 8.8)
	must.Between(t, 24.0/162, d.shares(twoModels(), supply{workers: 162})["large"], 0.15)
	must.Between(t, 0.3, d.shares(twoModels(), supply{workers: 24})["large"], 0.5)
}

// TestShares_OldSumsTellNothing: the average stays where no newer sum comes.
func TestShares_OldSumsTellNothing(t *testing.T) {
	now := time.Unix(1000, 0)
	d := newDemand(demandMemory)
	share := after(d, now, 20*time.Second, 2.9, 8.8)
	d.note(now.Add(40*time.Second), asked(now.Add(30*time.Second), 9, 1))
	must.EqOp(t, share, d.shares(twoModels(), supply{workers: 162})["small"])
}
