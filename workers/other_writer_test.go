package workers

import (
	"testing"

	"github.com/shoenig/test/must"
)

// Guards against an entry of another writer, which lacks the worker's start, that takes a worker out of
// its group and offers it as free.
func TestRegistry_EntryWithoutItsStartNamesNoWorker(t *testing.T) {
	r := newTestRegistry()
	group := Membership{Group: NewGroupID("m", 5), State: Open}
	head, member := bornAt(Worker{ID: "head", Membership: group}, 9, 1), bornAt(Worker{ID: "member", Membership: group}, 9, 2)
	member.Membership.Rank = 1
	r.Apply([]Worker{head, member}, nil, true)

	for at := uint64(3); at < 5; at++ {
		forged := bornAt(Worker{ID: "head"}, 0, at)
		must.True(t, r.Foreign(forged))
		r.Apply(nil, []string{forged.ID}, false)
		_, listed := r.View().Worker("head")
		must.False(t, listed)
		must.Len(t, 1, r.View().Groups())
		must.Len(t, 1, r.View().Groups()[0].Lost)
	}
	must.False(t, r.Foreign(bornAt(head, 9, 5)))
	must.False(t, r.Foreign(bornAt(head, 10, 5)))
	must.False(t, r.Foreign(bornAt(Worker{ID: "new"}, 0, 6)), must.Sprint("no start of it is known"))
	r.Apply([]Worker{bornAt(head, 9, 5)}, nil, false)
	w, listed := r.View().Worker("head")
	must.True(t, listed)
	must.Eq(t, group, w.Membership)
	must.Len(t, 0, r.View().Groups()[0].Lost)
}
