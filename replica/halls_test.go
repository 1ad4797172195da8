package replica

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/pointpass/pointpass/workers"
)

// closedHalls are halls that the operator closed.
type closedHalls map[string]bool

func (c closedHalls) Open(hall string) bool { return !c[hall] }

// watched is a holder whose orders are kept by the hall of their worker.
type watched struct {
	*holder
	orders map[string][]Order
}

// newWatched returns a holder of a term that knows of closed halls.
func newWatched(term uint64, halls closedHalls) *watched {
	h := &watched{holder: &holder{planner: NewPlanner(term, testCeiling), halls: halls}}
	h.fate = func(o Order) fate {
		h.orders[o.Worker.Hall] = append(h.orders[o.Worker.Hall], o)
		return fateTaken
	}
	h.forget()
	return h
}

func (h *watched) forget() { h.orders = map[string][]Order{} }

// settledWorld has all groups formed and all hosts prepared, one hall a domain.
func settledWorld(domains int) (*world, *watched) {
	w := newUnevenWorld(domains)
	h := newWatched(1, closedHalls{})
	calm(w, h.holder, 40*time.Second, true)
	h.forget()
	return w, h
}

// groupsIn returns the whole, open groups of a hall.
func groupsIn(w *world, hall string) map[string]bool {
	names := map[string]bool{}
	for _, g := range w.view.Groups() {
		if head, ok := g.Head(); ok && g.Whole && len(g.Lost) == 0 && head.Hall == hall && head.Membership.State == workers.Open {
			names[g.ID.Name] = true
		}
	}
	return names
}

// members returns the members of a hall's first whole group of a model.
func members(w *world, hall, model string) []workers.Worker {
	for _, g := range w.view.Groups() {
		if g.Whole && g.ID.Model() == model && g.Members[0].Hall == hall {
			return g.Members
		}
	}
	return nil
}

// TestPlanner_AClosedHallStaysAsItIs closes one hall, two, or all. The groups there stay
// whole and open, nothing is ordered there, and nothing once they are open again.
func TestPlanner_AClosedHallStaysAsItIs(t *testing.T) {
	for _, closed := range [][]string{{"d0"}, {"d0", "d2"}, {"d0", "d1", "d2", "d3"}} {
		t.Run(fmt.Sprint(closed), func(t *testing.T) {
			w, h := settledWorld(4)
			before := groupsIn(w, "d0")
			for _, hall := range closed {
				h.halls[hall] = true
			}
			calm(w, h.holder, 20*time.Second, false)
			must.Eq(t, before, groupsIn(w, "d0"))
			for _, hall := range closed {
				must.SliceEmpty(t, h.orders[hall])
			}
			clear(h.halls)
			calm(w, h.holder, time.Second, false)
			must.Eq(t, before, groupsIn(w, "d0"))
			must.SliceEmpty(t, h.orders["d0"])
		})
	}
}

// TestPlanner_ClosedHallsAreNoSupply counts what the shares are parts of.
func TestPlanner_ClosedHallsAreNoSupply(t *testing.T) {
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
	must.MapEmpty(t, rest.whole, must.Sprint("none may be retired"))
	r.begin(w.service.Runtime.Models[1], rest.free["d1"])
	must.EqOp(t, 2*19, r.openPool().total)
	must.EqOp(t, 0, r.openPool().forming)
	must.EqOp(t, 1, r.closedPool().forming)
}

// TestRound_SpreadsWorkOverOpenHalls: a region whose halls are closed has no workers to do
// work, but is planned for.
func TestRound_SpreadsWorkOverOpenHalls(t *testing.T) {
	w, h := settledWorld(3)
	h.halls["d1"] = true
	h.halls["d2"] = true
	regions := map[string]string{"d0": "north", "d1": "north", "d2": "south"}
	r := h.planner.newRound(Situation{Now: w.now, View: w.view, Halls: h.halls, Region: func(hall string) string { return regions[hall] }})
	must.SliceContainsAll(t, []string{"north", "south"}, r.regionsOf("llm"))
	must.Eq(t, map[string]int{"north": 19, "south": 0}, r.supply)
}

// TestPlanner_NothingIsRetiredInAClosedHall changes the shares, with all hosts prepared for
// both models. Open halls give groups of the large one up for the small one.
func TestPlanner_NothingIsRetiredInAClosedHall(t *testing.T) {
	w, h := settledWorld(4)
	for _, id := range w.ids() {
		w.engines[id].worker.Staged = []string{"m.large", "small"}
		w.tell(w.engines[id], 0)
	}
	before := groupsIn(w, "d0")
	h.halls["d0"] = true
	w.service.Runtime.Models[0].Share = 0.2
	w.service.Runtime.Models[1].Share = 0.8
	calm(w, h.holder, 10*time.Second, false)
	must.Less(t, 4, whole(w, "m.large"))
	must.Eq(t, before, groupsIn(w, "d0"))
	must.SliceEmpty(t, h.orders["d0"])
}

// TestPlanner_ANewHolderLeavesAClosedHallAlone: the holder of the lease dies after it
// read that a hall is closed and before it planned with it.
func TestPlanner_ANewHolderLeavesAClosedHallAlone(t *testing.T) {
	w, h := settledWorld(3)
	before := groupsIn(w, "d1")
	next := newWatched(2, closedHalls{"d1": true})
	calm(w, next.holder, 10*time.Second, false)
	must.Eq(t, before, groupsIn(w, "d1"))
	must.SliceEmpty(t, next.orders["d1"])
	must.SliceEmpty(t, h.orders["d1"])
}

// TestPlanner_AHallClosedWhileAnotherIsDark has one hall lose all its workers while
// another is closed. Those that come back form their groups again; the closed hall stays
// as it is.
func TestPlanner_AHallClosedWhileAnotherIsDark(t *testing.T) {
	w, h := settledWorld(3)
	before := groupsIn(w, "d0")
	h.halls["d0"] = true
	for _, id := range w.ids() {
		if e := w.engines[id]; e.worker.Hall == "d1" {
			e.dead = w.now
		}
	}
	calm(w, h.holder, 10*time.Second, false)
	must.MapEmpty(t, groupsIn(w, "d1"))
	for range 19 {
		w.add("d1", 0)
	}
	calm(w, h.holder, 60*time.Second, false)
	must.MapNotEmpty(t, groupsIn(w, "d1"))
	must.Eq(t, before, groupsIn(w, "d0"))
	must.SliceEmpty(t, h.orders["d0"])
}

// TestPlanner_ARowThatComesAndGoes puts, drops and puts the row again within a second.
func TestPlanner_ARowThatComesAndGoes(t *testing.T) {
	w, h := settledWorld(3)
	before := groupsIn(w, "d0")
	for i := range 20 {
		h.halls["d0"] = i%2 == 0
		calm(w, h.holder, 300*time.Millisecond, false)
	}
	must.Eq(t, before, groupsIn(w, "d0"))
	must.SliceEmpty(t, h.orders["d0"])
}

// TestPlanner_FormsNothingInAClosedHall loses a member of a group in a closed hall, and has
// an empty worker come. Once the hall is open, prepared spares replace the member, and the
// worker is prepared.
func TestPlanner_FormsNothingInAClosedHall(t *testing.T) {
	w, h := settledWorld(3)
	h.halls["d0"] = true
	before := len(groupsIn(w, "d0"))
	w.engines[members(w, "d0", "small")[1].ID].dead = w.now
	w.add("d0", 0)
	loads := len(w.loads)
	calm(w, h.holder, 25*time.Second, false)
	must.EqOp(t, before-1, len(groupsIn(w, "d0")))
	must.EqOp(t, loads, len(w.loads))
	for _, o := range h.orders["d0"] {
		must.EqOp(t, Leave, o.Op)
	}
	clear(h.halls)
	calm(w, h.holder, 3*time.Second, false)
	must.EqOp(t, before, len(groupsIn(w, "d0")))
	must.EqOp(t, loads+1, len(w.loads))
}

// TestPlanner_AHallClosedAtTheFirstStartIsPrepared: while nobody is served loads disturb
// nobody, so that the hall counts as soon as it is opened.
func TestPlanner_AHallClosedAtTheFirstStartIsPrepared(t *testing.T) {
	w := newUnevenWorld(3)
	h := newWatched(1, closedHalls{"d0": true})
	calm(w, h.holder, 40*time.Second, true)
	must.MapNotEmpty(t, groupsIn(w, "d0"))
}

// TestSituation_DoubtsGroupsThatNoRequestShowsToFail: nobody sends requests to a closed
// hall, so that a member whose entry went is asked without.
func TestSituation_DoubtsGroupsThatNoRequestShowsToFail(t *testing.T) {
	lost := &workers.Group{ID: workers.GroupID{Name: "m.1"}, Members: []workers.Worker{{ID: "a", Hall: "h"}}, Lost: []workers.Worker{{ID: "b", Hall: "h"}}}
	whole := &workers.Group{ID: workers.GroupID{Name: "m.2"}, Members: []workers.Worker{{ID: "c", Hall: "h"}}}
	s := Situation{Failing: func(group string) bool { return group == "m.3" }}
	must.False(t, s.doubtful(lost))
	s.Halls = closedHalls{"h": true}
	must.True(t, s.doubtful(lost))
	must.False(t, s.doubtful(whole))
	must.True(t, s.doubtful(&workers.Group{ID: workers.GroupID{Name: "m.3"}, Members: whole.Members}))
}

// TestPlanner_AMemberLostInAClosedHallIsGivenUpOnceItDoesNotAnswer keeps its group only as
// long as the member may be cut off from the store.
func TestPlanner_AMemberLostInAClosedHallIsGivenUpOnceItDoesNotAnswer(t *testing.T) {
	w, h := settledWorld(3)
	h.halls["d0"] = true
	lost := members(w, "d0", "small")
	w.engines[lost[1].ID].dead = w.now
	calm(w, h.holder, worldSilence+time.Second, false)
	must.SliceEmpty(t, h.orders["d0"])
	h.planner.Unreachable(w.now, lost[1].ID)
	calm(w, h.holder, time.Second, false)
	must.Len(t, len(lost)-1, h.orders["d0"], must.Sprint("the others leave"))
}
