package replica

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/pointpass/pointpass/workers"
)

// closedHalls are the halls that the operator closed.
type closedHalls map[string]bool

func (c closedHalls) Open(hall string) bool { return !c[hall] }

// orderRecorder is a holder whose orders are recorded by the hall of their worker.
type orderRecorder struct {
	*holder
	orders map[string][]Order
}

// newOrderRecorder returns a holder of a term that sees some halls as closed.
func newOrderRecorder(term uint64, halls closedHalls) *orderRecorder {
	h := &orderRecorder{holder: &holder{planner: NewPlanner(term, testCeiling), halls: halls}}
	h.fate = func(o Order) fate {
		h.orders[o.Worker.Hall] = append(h.orders[o.Worker.Hall], o)
		return fateTaken
	}
	h.reset()
	return h
}

func (h *orderRecorder) reset() { h.orders = map[string][]Order{} }

// settledWorld returns a world in which all groups are formed and all hosts are prepared, with
// one hall per domain, and its holder.
func settledWorld(domains int) (*world, *orderRecorder) {
	w := newUnevenWorld(domains)
	h := newOrderRecorder(1, closedHalls{})
	runFor(w, h.holder, 40*time.Second, true)
	h.reset()
	return w, h
}

// openGroupsIn returns the names of the whole, open groups in a hall.
func openGroupsIn(w *world, hall string) map[string]bool {
	names := map[string]bool{}
	for _, g := range w.view.Groups() {
		if head, ok := g.Head(); ok && g.Whole && len(g.Lost) == 0 && head.Hall == hall && head.Membership.State == workers.Open {
			names[g.ID.Name] = true
		}
	}
	return names
}

// groupMembers returns the members of the first whole group of a model in a hall.
func groupMembers(w *world, hall, model string) []workers.Worker {
	for _, g := range w.view.Groups() {
		if g.Whole && g.ID.Model() == model && g.Members[0].Hall == hall {
			return g.Members
		}
	}
	return nil
}

// TestPlanner_LeavesClosedHallsUnchanged closes one hall, two, or all. The groups there must
// stay whole and open, and get no orders, neither while the halls are closed nor once they are
// open again.
func TestPlanner_LeavesClosedHallsUnchanged(t *testing.T) {
	for _, closed := range [][]string{{"d0"}, {"d0", "d2"}, {"d0", "d1", "d2", "d3"}} {
		t.Run(fmt.Sprint(closed), func(t *testing.T) {
			w, h := settledWorld(4)
			before := openGroupsIn(w, "d0")
			for _, hall := range closed {
				h.halls[hall] = true
			}
			runFor(w, h.holder, 20*time.Second, false)
			must.Eq(t, before, openGroupsIn(w, "d0"))
			for _, hall := range closed {
				must.SliceEmpty(t, h.orders[hall])
			}
			clear(h.halls)
			runFor(w, h.holder, time.Second, false)
			must.Eq(t, before, openGroupsIn(w, "d0"))
			must.SliceEmpty(t, h.orders["d0"])
		})
	}
}

// TestPlanner_ClosedHallsAreNotSupply checks which workers the shares of the models are
// fractions of.
func TestPlanner_ClosedHallsAreNotSupply(t *testing.T) {
	w, h := settledWorld(3)
	h.halls["d1"] = true
	r := h.planner.newRound(Situation{Now: w.now, View: w.view, Halls: h.halls})
	r.service = w.service
	supply, rest := r.openPool(), r.closedPool()
	must.EqOp(t, 2*19, supply.total)
	must.EqOp(t, 19, rest.total)
	must.EqOp(t, 2*16, supply.counts["m.large"]+supply.counts["small"])
	must.MapNotContainsKey(t, supply.free, "d1")
	must.MapNotContainsKey(t, supply.whole, "d1")
	must.MapContainsKey(t, rest.free, "d1")
	must.MapEmpty(t, rest.whole, must.Sprint("no group there may be retired"))
	r.startForming(w.service.Runtime.Models[1], rest.free["d1"])
	must.EqOp(t, 2*19, r.openPool().total)
	must.EqOp(t, 0, r.openPool().forming)
	must.EqOp(t, 1, r.closedPool().forming)
}

// TestRound_DistributesWorkOverOpenHalls checks that a region whose halls are closed has no
// workers to do work, but is planned.
func TestRound_DistributesWorkOverOpenHalls(t *testing.T) {
	w, h := settledWorld(3)
	h.halls["d1"] = true
	h.halls["d2"] = true
	regions := map[string]string{"d0": "north", "d1": "north", "d2": "south"}
	r := h.planner.newRound(Situation{Now: w.now, View: w.view, Halls: h.halls, Region: func(hall string) string { return regions[hall] }})
	must.SliceContainsAll(t, []string{"north", "south"}, r.regionsOf("llm"))
	must.Eq(t, map[string]int{"north": 19, "south": 0}, r.supply)
}

// TestPlanner_RetiresNothingInClosedHall changes the shares while all hosts are prepared for
// both models. Open halls retire groups of the large model for the small one; the closed hall
// must not.
func TestPlanner_RetiresNothingInClosedHall(t *testing.T) {
	w, h := settledWorld(4)
	for _, id := range w.ids() {
		w.engines[id].worker.Staged = []string{"m.large", "small"}
		w.writeRow(w.engines[id], 0)
	}
	before := openGroupsIn(w, "d0")
	h.halls["d0"] = true
	w.service.Runtime.Models[0].Share = 0.2
	w.service.Runtime.Models[1].Share = 0.8
	runFor(w, h.holder, 10*time.Second, false)
	must.Less(t, 4, countOpen(w, "m.large"))
	must.Eq(t, before, openGroupsIn(w, "d0"))
	must.SliceEmpty(t, h.orders["d0"])
}

// TestPlanner_NewHolderLeavesClosedHallUnchanged has the holder of the lease die after it read
// that a hall is closed and before it planned with that.
func TestPlanner_NewHolderLeavesClosedHallUnchanged(t *testing.T) {
	w, h := settledWorld(3)
	before := openGroupsIn(w, "d1")
	next := newOrderRecorder(2, closedHalls{"d1": true})
	runFor(w, next.holder, 10*time.Second, false)
	must.Eq(t, before, openGroupsIn(w, "d1"))
	must.SliceEmpty(t, next.orders["d1"])
	must.SliceEmpty(t, h.orders["d1"])
}

// TestPlanner_HallClosedWhileAnotherIsLost has one hall lose all its workers while another is
// closed. Workers that return must form their groups again, and the closed hall must stay
// unchanged.
func TestPlanner_HallClosedWhileAnotherIsLost(t *testing.T) {
	w, h := settledWorld(3)
	before := openGroupsIn(w, "d0")
	h.halls["d0"] = true
	for _, id := range w.ids() {
		if e := w.engines[id]; e.worker.Hall == "d1" {
			e.dead = w.now
		}
	}
	runFor(w, h.holder, 10*time.Second, false)
	must.MapEmpty(t, openGroupsIn(w, "d1"))
	for range 19 {
		w.add("d1", 0)
	}
	runFor(w, h.holder, 60*time.Second, false)
	must.MapNotEmpty(t, openGroupsIn(w, "d1"))
	must.Eq(t, before, openGroupsIn(w, "d0"))
	must.SliceEmpty(t, h.orders["d0"])
}

// TestPlanner_HallClosedAndOpenedRepeatedly writes or deletes the row that closes a hall every
// 300 ms. The groups there must stay unchanged.
func TestPlanner_HallClosedAndOpenedRepeatedly(t *testing.T) {
	w, h := settledWorld(3)
	before := openGroupsIn(w, "d0")
	for i := range 20 {
		h.halls["d0"] = i%2 == 0
		runFor(w, h.holder, 300*time.Millisecond, false)
	}
	must.Eq(t, before, openGroupsIn(w, "d0"))
	must.SliceEmpty(t, h.orders["d0"])
}

// TestPlanner_FormsNothingInClosedHall has a group in a closed hall lose a member, and an empty
// worker appear there. Only once the hall is open may prepared spares replace the member, and
// the new worker be prepared.
func TestPlanner_FormsNothingInClosedHall(t *testing.T) {
	w, h := settledWorld(3)
	h.halls["d0"] = true
	before := len(openGroupsIn(w, "d0"))
	w.engines[groupMembers(w, "d0", "small")[1].ID].dead = w.now
	w.add("d0", 0)
	loads := len(w.loads)
	runFor(w, h.holder, 25*time.Second, false)
	must.EqOp(t, before-1, len(openGroupsIn(w, "d0")))
	must.EqOp(t, loads, len(w.loads))
	for _, o := range h.orders["d0"] {
		must.EqOp(t, Leave, o.Op)
	}
	clear(h.halls)
	runFor(w, h.holder, 3*time.Second, false)
	must.EqOp(t, before, len(openGroupsIn(w, "d0")))
	must.EqOp(t, loads+1, len(w.loads))
}

// TestPlanner_PreparesHallClosedAtFirstStart checks that a closed hall is prepared while no
// requests are served, when loads disturb none, so that it is available as soon as it is
// opened.
func TestPlanner_PreparesHallClosedAtFirstStart(t *testing.T) {
	w := newUnevenWorld(3)
	h := newOrderRecorder(1, closedHalls{"d0": true})
	runFor(w, h.holder, 40*time.Second, true)
	must.MapNotEmpty(t, openGroupsIn(w, "d0"))
}

// TestSituation_NeedsProbeInClosedHall checks that members whose entries are gone are probed in
// a closed hall, which gets no requests that could fail.
func TestSituation_NeedsProbeInClosedHall(t *testing.T) {
	lost := &workers.Group{ID: workers.GroupID{Name: "m.1"}, Members: []workers.Worker{{ID: "a", Hall: "h"}}, Lost: []workers.Worker{{ID: "b", Hall: "h"}}}
	whole := &workers.Group{ID: workers.GroupID{Name: "m.2"}, Members: []workers.Worker{{ID: "c", Hall: "h"}}}
	s := Situation{Failing: func(group string) bool { return group == "m.3" }}
	must.False(t, s.needsProbe(lost))
	s.Halls = closedHalls{"h": true}
	must.True(t, s.needsProbe(lost))
	must.False(t, s.needsProbe(whole))
	must.True(t, s.needsProbe(&workers.Group{ID: workers.GroupID{Name: "m.3"}, Members: whole.Members}))
}

// TestPlanner_DissolvesGroupInClosedHallAfterFailedProbe checks that a group in a closed hall
// is kept only as long as its missing member may be just cut off from the store.
func TestPlanner_DissolvesGroupInClosedHallAfterFailedProbe(t *testing.T) {
	w, h := settledWorld(3)
	h.halls["d0"] = true
	lost := groupMembers(w, "d0", "small")
	w.engines[lost[1].ID].dead = w.now
	runFor(w, h.holder, worldSilence+time.Second, false)
	must.SliceEmpty(t, h.orders["d0"])
	h.planner.MarkUnreachable(w.now, lost[1].ID)
	runFor(w, h.holder, time.Second, false)
	must.Len(t, len(lost)-1, h.orders["d0"], must.Sprint("the other members leave"))
}
