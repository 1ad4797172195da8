package workers

import (
	"testing"

	"github.com/shoenig/test/must"

	"github.com/pointpass/pointpass/store"
)

func member(id string, group GroupID, rank int, state GroupState) Worker {
	return Worker{ID: id, Service: "llm", Membership: Membership{Group: group, Rank: rank, State: state}}
}

func newTestRegistry() *Registry { return NewRegistry(func(*View) {}) }

func TestGroupID_ContainsModel(t *testing.T) {
	for _, model := range []string{"m", "m.large", "a.b.c"} {
		must.EqOp(t, model, NewGroupID(model, 17).Model())
	}
	must.EqOp(t, "", GroupID{Name: "unnamed"}.Model())
}

func TestGroup_IsWholeOnlyWithAllRanksReady(t *testing.T) {
	id := NewGroupID("m", 1)
	cases := []struct {
		name  string
		state GroupState
		rank  int
		drain bool
		whole bool
	}{
		{"ready", Ready, 1, false, true},
		{"joining", Joining, 1, false, false},
		{"broken", Broken, 1, false, false},
		{"rank missing", Ready, 2, false, false},
		{"draining", Ready, 1, true, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			r := newTestRegistry()
			second := member("b", id, c.rank, c.state)
			second.Draining = c.drain
			r.Apply([]Worker{member("a", id, 0, Open), second}, nil, true)
			must.EqOp(t, c.whole, r.View().Groups()[0].Whole)
		})
	}
}

func TestGroup_EpochsAreSeparateGroups(t *testing.T) {
	r := newTestRegistry()
	r.Apply([]Worker{member("a", NewGroupID("m", 1), 0, Open), member("b", NewGroupID("m", 2), 1, Ready)}, nil, true)
	must.Len(t, 2, r.View().Groups())
	_, found := r.View().Groups()[1].Head()
	must.False(t, found)
}

func TestLastModelOutlivesAGroupAndAnEntry(t *testing.T) {
	r := newTestRegistry()
	r.Apply([]Worker{member("a", NewGroupID("m", 1), 0, Joining)}, nil, true)
	w, _ := r.View().Worker("a")
	must.EqOp(t, "", w.LastModel, must.Sprint("it hasn't been ready yet"))
	r.Apply([]Worker{member("a", NewGroupID("m", 1), 0, Ready)}, nil, false)
	r.Apply([]Worker{{ID: "a", Service: "llm"}}, nil, false)
	w, _ = r.View().Worker("a")
	must.EqOp(t, "m", w.LastModel)
	r.Apply(nil, []string{"a"}, false)
	_, listed := r.View().Worker("a")
	must.False(t, listed)
	r.Apply([]Worker{{ID: "a", Service: "llm"}}, nil, true)
	w, _ = r.View().Worker("a")
	must.EqOp(t, "m", w.LastModel, must.Sprint("the entry was missing for a while, the worker was not"))
}

func TestRegistry_FullApplyDropsUnlistedWorkers(t *testing.T) {
	r := newTestRegistry()
	r.Apply([]Worker{{ID: "a", Service: "x"}, {ID: "b", Service: "x"}}, nil, true)
	r.Apply([]Worker{{ID: "b", Service: "x"}}, nil, true)
	must.EqOp(t, 1, r.View().Len())
	must.Len(t, 1, r.View().ByService("x"))
}

func TestRegistry_RememberedModelsFillGaps(t *testing.T) {
	before := newTestRegistry()
	before.Apply([]Worker{member("a", NewGroupID("m", 1), 0, Ready), member("b", NewGroupID("m", 1), 1, Ready)}, nil, true)
	before.Apply([]Worker{{ID: "a", Service: "llm"}}, nil, false)
	must.Eq(t, map[string]string{"a": "m"}, before.LastModels(10))
	must.MapEmpty(t, before.LastModels(0))

	after := newTestRegistry()
	after.Apply([]Worker{{ID: "a", Service: "llm"}}, nil, true)
	after.SeedLastModels(map[string]string{"a": "m", "late": "n"})
	w, _ := after.View().Worker("a")
	must.EqOp(t, "m", w.LastModel)
	after.Apply([]Worker{{ID: "late", Service: "llm"}}, nil, false)
	w, _ = after.View().Worker("late")
	must.EqOp(t, "n", w.LastModel)
	after.Apply([]Worker{member("a", NewGroupID("n", 2), 0, Ready)}, nil, false)
	after.SeedLastModels(map[string]string{"a": "m"})
	w, _ = after.View().Worker("a")
	must.EqOp(t, "n", w.LastModel, must.Sprint("observations take precedence"))
}

func TestLostMembersCountUntilTheirGroupIsGone(t *testing.T) {
	r := newTestRegistry()
	id := NewGroupID("m", 1)
	r.Apply([]Worker{member("a", id, 0, Open), member("b", id, 1, Ready), member("c", id, 2, Ready)}, nil, true)
	r.Apply(nil, []string{"b"}, false)
	g := r.View().Groups()[0]
	must.True(t, g.Whole, must.Sprint("its death isn't detected yet"))
	must.EqOp(t, 3, g.Size())
	must.Len(t, 1, g.Lost)
	r.Apply([]Worker{member("b", id, 1, Broken)}, nil, false)
	must.False(t, r.View().Groups()[0].Whole)
	leaving := member("c", id, 2, Ready)
	leaving.Draining = true
	r.Apply([]Worker{member("b", id, 1, Ready), leaving}, []string{"c"}, false)
	must.Len(t, 0, r.View().Groups()[0].Lost, must.Sprint("it had announced that it leaves"))
	r.Apply(nil, []string{"a"}, false)
	r.Apply([]Worker{{ID: "b", Service: "llm"}}, nil, false)
	must.Len(t, 0, r.View().Groups())
	r.Apply([]Worker{member("b", id, 1, Ready)}, nil, false)
	must.Len(t, 0, r.View().Groups()[0].Lost, must.Sprint("it was dropped with the group"))
}

func bornAt(w Worker, born int64, version uint64) Worker {
	w.StartMs = born
	w.At = store.At(0, version)
	return w
}

// Guards against a new start under a used id inheriting the group or the last model, also
// if its clock has stepped back and if the earlier entry was deleted first.
func TestRegistry_NewStartInheritsNothing(t *testing.T) {
	for _, deletedFirst := range []bool{false, true} {
		for _, born := range []int64{5000, 900} {
			r := newTestRegistry()
			id := NewGroupID("m", 1)
			r.Apply([]Worker{bornAt(member("a", id, 0, Open), 1000, 1), bornAt(member("b", id, 1, Ready), 1000, 2)}, nil, true)
			if deletedFirst {
				r.Apply(nil, []string{"b"}, false)
				must.SliceLen(t, 1, r.View().Groups()[0].Lost)
			}
			r.Apply([]Worker{bornAt(Worker{ID: "b", Service: "llm"}, born, 3)}, nil, false)
			w, _ := r.View().Worker("b")
			must.EqOp(t, "", w.LastModel)
			g := r.View().Groups()[0]
			must.SliceEmpty(t, g.Lost, must.Sprint("the earlier start has ended"))
			must.EqOp(t, 1, g.Size())
		}
	}
}

func TestRegistry_SameStartKeepsLastModel(t *testing.T) {
	for _, born := range []int64{0, 1000} {
		r := newTestRegistry()
		r.Apply([]Worker{bornAt(member("a", NewGroupID("m", 1), 0, Ready), 1000, 1)}, nil, true)
		r.Apply(nil, []string{"a"}, false)
		r.Apply([]Worker{bornAt(Worker{ID: "a", Service: "llm"}, born, 2)}, nil, false)
		w, _ := r.View().Worker("a")
		must.EqOp(t, "m", w.LastModel)
	}
}

// Guards against an older entry, delayed by a lagging relay, replacing a newer one.
func TestRegistry_IgnoresOlderEntry(t *testing.T) {
	r := newTestRegistry()
	r.Apply([]Worker{bornAt(Worker{ID: "a", Service: "llm"}, 5000, 7)}, nil, true)
	r.Apply([]Worker{bornAt(member("a", NewGroupID("m", 1), 0, Open), 1000, 6)}, nil, false)
	w, _ := r.View().Worker("a")
	must.EqOp(t, 5000, w.StartMs)
	must.SliceEmpty(t, r.View().Groups())
}

// Guards against passing the last model of an earlier start to the next lease holder as
// that of the current start.
func TestRegistry_LastModelsPassToNextHolderByStart(t *testing.T) {
	r := newTestRegistry()
	r.Apply([]Worker{
		bornAt(member("a", NewGroupID("m", 1), 0, Ready), 1000, 1),
		bornAt(member("b", NewGroupID("m", 2), 0, Ready), 1000, 1),
		member("c@x", NewGroupID("m", 3), 0, Ready),
	}, nil, true)
	r.Apply([]Worker{bornAt(Worker{ID: "a"}, 1000, 2), bornAt(Worker{ID: "b"}, 1000, 2), {ID: "c@x", At: store.At(0, 2)}}, nil, false)
	lastModels := r.LastModels(10)
	must.Eq(t, map[string]string{"a@1000": "m", "b@1000": "m", "c@x": "m"}, lastModels)

	next := newTestRegistry()
	next.Apply([]Worker{bornAt(Worker{ID: "a"}, 1000, 2), bornAt(Worker{ID: "b"}, 2000, 3), {ID: "c@x", At: store.At(0, 2)}}, nil, true)
	next.SeedLastModels(lastModels)
	for id, want := range map[string]string{"a": "m", "b": "", "c@x": "m"} {
		w, _ := next.View().Worker(id)
		must.EqOp(t, want, w.LastModel, must.Sprint(id))
	}
}
