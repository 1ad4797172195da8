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
	begun   time.Time
	joins   map[string]int
}

// advanceFormations takes the groups being formed a step further.
func (r *round) advanceFormations() {
	for _, f := range r.sortedFormations() {
		if f.service == r.service.Name && !r.advance(f) {
			r.abandon(f.id)
		}
	}
}

func (r *round) sortedFormations() []*formation {
	var list []*formation
	for _, f := range r.forming {
		list = append(list, f)
	}
	slices.SortFunc(list, func(a, b *formation) int { return int(int64(a.id.Epoch) - int64(b.id.Epoch)) })
	return list
}

// advance returns false if the formation has failed.
func (r *round) advance(f *formation) bool {
	limit := 2*f.model.Load + formSlack
	if r.now.Sub(f.begun) > limit {
		return false
	}
	ready := 0
	for _, id := range f.members {
		w, listed := r.view.Worker(id)
		if !listed || w.Draining || r.unreachable(id) || w.Membership.State == workers.Broken && w.Membership.Group == f.id {
			return false
		}
		if w.Membership.Group != f.id {
			if !r.join(f, w) {
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

// join has a member asked to join, again if nothing came of it. It returns false
// if the member was asked often enough.
func (r *round) join(f *formation, w workers.Worker) bool {
	if r.record(w.ID).inFlight || r.gaveLately(w.ID, Join, f.id, rowLag) {
		return true
	}
	if r.membership(w).Group.Name != "" {
		return true // it has to leave its group first
	}
	if f.joins[w.ID] >= mostJoins {
		return false
	}
	f.joins[w.ID]++
	r.give(Order{Worker: w, Op: Join, Group: f.id, Model: f.model.Name, Members: f.members})
	return true
}

func (r *round) open(head workers.Worker, id workers.GroupID) {
	if !r.gaveLately(head.ID, Open, id, openAgain) {
		r.give(Order{Worker: head, Op: Open, Group: id})
	}
}
