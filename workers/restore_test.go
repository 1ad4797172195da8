package workers

import (
	"testing"

	"github.com/shoenig/test/must"

	"github.com/pointpass/pointpass/store"
)

// restoredAt returns the entry of a copy from which a store was restored in an era.
func restoredAt(w Worker, era, version uint64) Worker {
	w.At = store.At(era, version)
	return w
}

func membershipOf(t *testing.T, r *Registry, id string) Membership {
	t.Helper()
	w, listed := r.View().Worker(id)
	must.True(t, listed, must.Sprint(id))
	return w.Membership
}

// Guards against an older copy of the store that shows members of a group as free, or as members of a
// group that they have left.
func TestRestore_LaterMembershipsHold(t *testing.T) {
	r := newTestRegistry()
	older, newer := Membership{Group: NewGroupID("m", 4), State: Ready}, Membership{Group: NewGroupID("m", 5), State: Open}
	joined, moved, restarted := bornAt(Worker{ID: "joined"}, 1, 1), bornAt(Worker{ID: "moved", Membership: older}, 1, 2), bornAt(Worker{ID: "restarted"}, 1, 3)
	copied := []Worker{restoredAt(joined, 1, 1), restoredAt(moved, 1, 2), restoredAt(restarted, 1, 3), restoredAt(Worker{ID: "unknown", Membership: older}, 1, 4)}
	for _, w := range []*Worker{&joined, &moved, &restarted} {
		w.Membership = newer
		w.Staged = []string{"m"}
	}
	restarted.StartMs = 2
	r.Apply([]Worker{bornAt(joined, 1, 10), bornAt(moved, 1, 11), bornAt(restarted, 2, 12)}, nil, true)

	_, trust := r.Restore(copied)
	must.Eq(t, newer, membershipOf(t, r, "joined"))
	must.Eq(t, newer, membershipOf(t, r, "moved"))
	must.Eq(t, Membership{}, membershipOf(t, r, "restarted"), must.Sprint("of another start"))
	must.Eq(t, older, membershipOf(t, r, "unknown"))
	must.Len(t, 2, r.View().Groups())

	r.Apply([]Worker{restoredAt(bornAt(Worker{ID: "joined"}, 1, 0), 1, 5)}, nil, false)
	must.Eq(t, Membership{}, membershipOf(t, r, "joined"), must.Sprint("it has written its entry since"))

	_, trustSecond := r.Restore([]Worker{restoredAt(copied[0], 2, 1), restoredAt(copied[1], 2, 2)})
	trust()
	must.Eq(t, newer, membershipOf(t, r, "moved"), must.Sprint("the store was restored once more"))
	trustSecond()
	must.Eq(t, older, membershipOf(t, r, "moved"), must.Sprint("it would have written another entry"))
}
