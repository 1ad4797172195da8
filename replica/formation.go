package replica

import (
	"slices"
	"time"

	"github.com/pointpass/pointpass/catalog"
	"github.com/pointpass/pointpass/workers"
)

// formation is a group that the planner is forming.
type formation struct {
	id      workers.GroupID
	service string
	region  string
	model   catalog.Model
	members []string
	started time.Time
	// joinAttempts counts the join orders to each member.
	joinAttempts map[string]int
}

// advanceFormations gives the next orders for the groups being formed, and abandons those that
// failed.
func (r *round) advanceFormations() {
	for _, f := range r.sortedFormations() {
		if f.service == r.service.Name && !r.advance(f) {
			r.abandon(f.id)
		}
	}
}

// sortedFormations returns the groups being formed in order of their epochs.
func (r *round) sortedFormations() []*formation {
	var list []*formation
	for _, f := range r.forming {
		list = append(list, f)
	}
	slices.SortFunc(list, func(a, b *formation) int { return int(int64(a.id.Epoch) - int64(b.id.Epoch)) })
	return list
}

// advance gives the next orders for a formation. It returns false if the formation failed.
func (r *round) advance(f *formation) bool {
	limit := 2*f.model.Load + formSlack
	if r.now.Sub(f.started) > limit {
		return false
	}
	ready := 0
	for _, id := range f.members {
		w, listed := r.view.Worker(id)
		if !listed || w.Draining || r.unreachable(id) || w.Membership.State == workers.Broken && w.Membership.Group == f.id {
			return false
		}
		if w.Membership.Group != f.id {
			if r.servesElsewhere(w) || !r.join(f, w) {
				return false
			}
			continue
		}
		if w.Membership.State != workers.Joining {
			ready++
		}
	}
	if ready < len(f.members) {
		return true
	}
	head, _ := r.view.Worker(f.members[0])
	if head.Membership.State == workers.Open {
		delete(r.forming, f.id)
		return true
	}
	r.open(head, f.id)
	return true
}

// servesElsewhere reports whether a worker is in a whole group that isn't retiring, as after late
// orders brought the group back.
func (r *round) servesElsewhere(w workers.Worker) bool {
	id := w.Membership.Group
	if id.Name == "" || r.isRetiring(id) {
		return false
	}
	return slices.ContainsFunc(r.view.Groups(), func(g *workers.Group) bool { return g.ID == id && g.Whole && r.isComplete(g) })
}

// join orders a member to join, again if an earlier order had no effect. It returns false if the
// member was ordered to join maxJoins times.
func (r *round) join(f *formation, w workers.Worker) bool {
	if r.record(w.ID).inFlight || r.orderedRecently(w.ID, Join, f.id, rowLag) {
		return true
	}
	if w.Membership.Group.Name != "" {
		return true // it has to leave its group first
	}
	if f.joinAttempts[w.ID] >= maxJoins {
		return false
	}
	f.joinAttempts[w.ID]++
	rec := r.record(w.ID)
	o := Order{Worker: w, Op: Join, Group: f.id, Model: f.model.Name, Members: f.members, Guarded: r.mayJoinUnseen(rec), Earlier: rec.unansweredJoin}
	if f.joinAttempts[w.ID] > 1 {
		r.repeatLoad(o)
	} else if preparationOf(w, f.model.Name) == fromStore {
		r.addLoad(o, f.model.Load)
	}
	r.addOrder(o)
	return true
}

// open orders a head to serve.
func (r *round) open(head workers.Worker, id workers.GroupID) {
	if !r.orderedRecently(head.ID, Open, id, openRetryInterval) {
		r.addOrder(Order{Worker: head, Op: Open, Group: id})
	}
}
