package replica

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"github.com/pointpass/pointpass/catalog"
	"github.com/pointpass/pointpass/workers"
)

// TestPlanner_HistoriesOfRestarts runs random histories in which workers restart under their
// ids: between an entry and the order that it led to, twice in a row, as heads and as members,
// while orders are lost, late or duplicated and the lease moves.
func TestPlanner_HistoriesOfRestarts(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p := &play{t: t, w: newWorld(rapid.IntRange(1, 2).Draw(t, "domains"), 8), idle: true, halls: closedHalls{}}
		p.newHolder()
		steps := rapid.IntRange(50, 300).Draw(t, "steps")
		trouble := rapid.IntRange(0, 15).Draw(t, "trouble")
		restarts := rapid.IntRange(1, 20).Draw(t, "restarts")
		for range steps {
			p.w.step()
			p.injectFault(trouble)
			p.injectRestart(restarts)
			for _, h := range p.holders {
				p.runHolder(h)
			}
			p.checkRequests()
			must.SliceEmpty(t, p.w.violations, must.Sprint(p.w.violations))
		}
	})
}

// TestPlanner_ReformsGroupsOfRestartedWorker checks that a group is dissolved as soon as the
// entry of its head or another member shows a restart. As many groups have to be back once the
// worker's host, which keeps the other model, has loaded the group's model.
func TestPlanner_ReformsGroupsOfRestartedWorker(t *testing.T) {
	const oneLoad = 20 * time.Second
	for rank := range 2 {
		w := newWorld(3, 8)
		h := &holder{planner: NewPlanner(1, testCeiling)}
		runFor(w, h, 30*time.Second, true)
		before := len(w.view.Groups())
		group := w.view.Groups()[0]
		e := w.engines[group.Members[rank].ID]
		w.restart(e, true, 0)
		runFor(w, h, 2*time.Second, false)
		for _, g := range w.view.Groups() {
			must.NotEq(t, group.ID, g.ID)
		}
		runFor(w, h, oneLoad, false)
		must.EqOp(t, before, len(w.view.Groups()))
		must.SliceEmpty(t, w.violations)
	}
}

// TestPlanner_IgnoresOutcomesForEarlierStart checks that the outcome of an order to an earlier
// start of a worker isn't applied to the current one. The worker restarts while the order is in
// flight, and gets other orders.
func TestPlanner_IgnoresOutcomesForEarlierStart(t *testing.T) {
	w := newWorld(1, 8)
	p := NewPlanner(1, testCeiling)
	s := Situation{Services: []*catalog.Service{w.service}, Failing: func(string) bool { return false }, Idle: true}
	var orders []Order
	for len(orders) == 0 {
		w.step()
		s.Now, s.View = w.now, w.view
		orders = p.Plan(s)
	}
	given := orders[0]
	w.restart(w.engines[given.Worker.ID], false, 0)
	w.step()
	s.Now, s.View = w.now, w.view
	p.Plan(s)
	rec := p.record(given.Worker.ID)
	must.NotEq(t, given.Worker.StartMs, rec.born)
	before := *rec
	p.Result(w.now, given, Outdated)
	must.Eq(t, before.blockedUntil, rec.blockedUntil)
	must.EqOp(t, before.inFlight, rec.inFlight)
	p.Result(w.now, Order{Worker: workers.Worker{ID: given.Worker.ID, StartMs: rec.born}, Op: Join, Group: given.Group}, Outdated)
	must.True(t, rec.blockedUntil.After(w.now), must.Sprint("an outcome for the current start is applied"))
}
