package workers

import (
	"fmt"
	"testing"

	"github.com/shoenig/test/must"
)

func isDraining(t *testing.T, r *Registry, id string) bool {
	t.Helper()
	w, listed := r.View().Worker(id)
	must.True(t, listed, must.Sprint(id))
	return w.Draining
}

// Guards against sending requests to workers that an older copy of the store lists as ready
// although they have left or have announced that they leave.
func TestRestore_DepartedWorkersStayDraining(t *testing.T) {
	r := newTestRegistry()
	leaves, left, started := bornAt(Worker{ID: "leaves"}, 1, 9), bornAt(Worker{ID: "left"}, 1, 9), bornAt(Worker{ID: "started"}, 1, 9)
	leaves.Draining, left.Draining, started.Draining = true, true, true
	r.Apply([]Worker{leaves, left, started, {ID: "stays"}, {ID: "went"}, {ID: "unlisted"}}, nil, true)
	r.Apply(nil, []string{"left", "went"}, false)
	r.Apply([]Worker{leaves, started, {ID: "stays"}}, nil, true)

	_, trustFirst := r.Restore(nil)
	withheld, trust := r.Restore([]Worker{
		bornAt(Worker{ID: "leaves"}, 1, 4), bornAt(Worker{ID: "left"}, 1, 4), bornAt(Worker{ID: "started"}, 2, 4),
		bornAt(Worker{ID: "stays"}, 0, 4), bornAt(Worker{ID: "went"}, 0, 4), bornAt(Worker{ID: "unlisted"}, 0, 4),
	})
	must.EqOp(t, 2, withheld)
	for id, draining := range map[string]bool{"leaves": true, "left": true, "started": false, "stays": false, "went": true, "unlisted": true} {
		must.EqOp(t, draining, isDraining(t, r, id), must.Sprint(id))
	}

	r.Apply([]Worker{bornAt(Worker{ID: "went"}, 0, 5)}, nil, false)
	must.False(t, isDraining(t, r, "went"), must.Sprint("it has written its entry since"))
	trustFirst()
	must.True(t, isDraining(t, r, "unlisted"), must.Sprint("the store was restored once more"))
	trust()
	must.False(t, isDraining(t, r, "unlisted"), must.Sprint("its entry would have expired"))
	must.True(t, isDraining(t, r, "leaves"), must.Sprint("it had announced that it leaves"))
	must.True(t, isDraining(t, r, "left"))
}

// Guards against memory growth with each worker that leaves.
func TestDepartures_AreBounded(t *testing.T) {
	r := newTestRegistry()
	for i := range maxDepartures + 10 {
		id := fmt.Sprint("w", i)
		r.Apply([]Worker{{ID: id}}, nil, false)
		r.Apply(nil, []string{id}, false)
	}
	must.MapLen(t, maxDepartures, r.departures.starts)
	must.Len(t, maxDepartures, r.departures.order)
}
