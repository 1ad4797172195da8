package replica

import "github.com/pointpass/pointpass/workers"

// Rejoin is a worker that confirmed to have left a group and whose entry names the group again: an
// order to join that got no answer was carried out late, or the entry was written before the worker
// left.
type Rejoin struct {
	Worker workers.Worker
	Group  workers.GroupID
}

// Rejoins returns the workers that rejoined groups since the last call.
func (p *Planner) Rejoins() []Rejoin {
	list := p.rejoins
	p.rejoins = nil
	return list
}

// trackRejoins ends the effect of confirmed leaves of workers whose newer entries name the group that
// they left. These are members again, and have to be ordered to leave again before they may join others.
func (p *Planner) trackRejoins(view *workers.View) {
	for id, rec := range p.records {
		w, listed := view.Worker(id)
		if !listed || rec.left.Name == "" || w.Membership.Group != rec.left || !rec.leftEntry.Before(w.At) {
			continue
		}
		p.rejoins = append(p.rejoins, Rejoin{Worker: w, Group: rec.left})
		rec.left = workers.GroupID{}
	}
}

// mayRejoin reports whether an order may still bring a worker back into the group that it left: one
// that got no answer here, or an order of an earlier holder of the lease.
func (r *round) mayRejoin(rec *record) bool {
	return rec.left == rec.unansweredJoin || rec.left.Epoch/epochsPerTerm != r.term
}

// headRemains reports whether the head of a group that a worker left is still in it and may serve.
func (r *round) headRemains(id workers.GroupID) bool {
	if id.Name == "" {
		return false
	}
	for _, g := range r.view.Groups() {
		if g.ID != id {
			continue
		}
		head, found := g.Head()
		return found && r.membership(head).Group == id && !r.unreachable(head.ID)
	}
	return false
}

// mayJoinUnseen reports whether an earlier order to join may still be carried out without being known: one
// that got no answer, or one of an earlier holder of the lease, until an order of this one was accepted.
func (r *round) mayJoinUnseen(rec *record) bool {
	if rec.unansweredJoin.Name != "" {
		return true
	}
	return r.term > 1 && rec.joined.Epoch/epochsPerTerm != r.term
}
