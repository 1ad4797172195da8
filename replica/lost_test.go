package replica

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/pointpass/pointpass/catalog"
	"github.com/pointpass/pointpass/workers"
)

// TestPlanner_KeepsGroupsWhoseMembersAnswer cuts a member of each group off from the store,
// though requests still reach it. Its entry goes, and each group loses a response now and then,
// as healthy groups do. With a quarter of all workers cut off, hardly a group of twelve keeps
// all entries: dissolving each one that failed a request left 8 of 18 groups open. Groups whose
// members answer probes have to stay, the others have to be dissolved.
func TestPlanner_KeepsGroupsWhoseMembersAnswer(t *testing.T) {
	for _, c := range []struct {
		name  string
		probe func(p *Planner, now time.Time, id string)
		kept  bool
	}{
		{"answers", (*Planner).MarkAnswered, true},
		{"isn't probed", func(*Planner, time.Time, string) {}, false},
		{"doesn't answer", (*Planner).MarkUnreachable, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			w := newWorld(3, 8)
			h := &holder{planner: NewPlanner(1, testCeiling)}
			runFor(w, h, 90*time.Second, true) // the records of the orders that formed the groups are pruned
			ids := map[workers.GroupID]bool{}
			var cut []string
			for _, g := range w.view.Groups() {
				ids[g.ID] = true
				cut = append(cut, g.Members[1].ID)
				w.engines[g.Members[1].ID].cut = w.now
			}
			runFor(w, h, worldSilence+time.Second, false)
			must.SliceNotEmpty(t, w.view.Groups()[0].Lost)
			for end := w.now.Add(5 * time.Second); w.now.Before(end); {
				w.step()
				h.takeResults(w.now)
				for _, id := range cut {
					c.probe(h.planner, w.now, id)
				}
				s := Situation{Now: w.now, View: w.view, Services: []*catalog.Service{w.service}, Failing: func(string) bool { return true }}
				for _, o := range h.planner.Plan(s) {
					h.pending = append(h.pending, h.sendOrder(w, o))
				}
			}
			kept := 0
			for _, g := range w.view.Groups() {
				if ids[g.ID] && g.Whole {
					kept++
				}
			}
			must.EqOp(t, c.kept, kept == len(ids), must.Sprint(kept, " of ", len(ids)))
			must.EqOp(t, !c.kept, kept == 0, must.Sprint(kept, " of ", len(ids)))
			must.SliceEmpty(t, w.violations)
			must.EqOp(t, c.kept, len(h.planner.Endings()) == 0)
		})
	}
}

// TestPlanner_LoadsAgainAfterFirstLoad checks that the load before traffic doesn't block the
// next one. Soon after it, a worker in no group, whose host has the model that it ran last, has
// to be prepared for the model that lacks a group.
func TestPlanner_LoadsAgainAfterFirstLoad(t *testing.T) {
	r := &round{Planner: NewPlanner(1, testCeiling), now: time.Unix(1000, 0)}
	small := catalog.Model{Name: "small", Size: 2, Load: 12 * time.Second}
	w := workers.Worker{ID: "i1", Staged: []string{"small"}, LastModel: "small"}
	rec := r.record(w.ID)
	rec.staged = "small"
	rec.stagedAt = r.now.Add(-13 * time.Second)
	must.False(t, r.staging(w, small), must.Sprint("the host has the model"))
	must.True(t, r.stageAt(w, catalog.Model{Name: "m.large", Size: 4, Load: 12 * time.Second}))
	w.Staged = nil
	rec.staged = "small"
	must.True(t, r.staging(w, small), must.Sprint("the worker's row may be late"))
}
