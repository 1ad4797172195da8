package replica

import (
	"slices"
	"time"

	"github.com/pointpass/pointpass/workers"
)

// maintainGroups maintains all listed groups that aren't being formed.
func (r *round) maintainGroups() {
	for _, g := range r.view.Groups() {
		if g.Service != r.service.Name {
			continue
		}
		if _, forming := r.forming[g.ID]; !forming {
			r.maintain(g)
		}
	}
}

// maintain opens, closes or dissolves a group, as its state requires.
func (r *round) maintain(g *workers.Group) {
	model, found := r.service.Runtime.Model(g.ID.Model())
	complete := r.isComplete(g)
	switch {
	case complete && r.hasUnreachable(g) && r.failing(g.ID.Name):
		r.dissolve(g, memberDead)
	case found && len(g.Lost) > 0:
		r.maintainIncomplete(g, model.Size)
	case complete && r.hasDraining(g), complete && g.Whole && r.isRetiring(g.ID):
		r.closeThenDissolve(g)
	case complete && g.Whole:
		delete(r.seen, g.ID)
		delete(r.closing, g.ID)
		if head, _ := g.Head(); head.Membership.State == workers.Ready {
			r.open(head, g.ID)
		}
	case complete && !hasBroken(g) && !r.unfinishedFor(g.ID, 2*model.Load+formSlack):
		// still joining by order of an earlier holder of the lease
	case hasBroken(g):
		r.dissolve(g, headBroken)
	default:
		r.dissolve(g, unfinished)
	}
}

// maintainIncomplete keeps a group with a missing entry for a while, unless something shows
// that the member is dead.
func (r *round) maintainIncomplete(g *workers.Group, size int) {
	timeout := lostMemberTimeout
	head, found := g.Head()
	if !found {
		timeout = lostHeadTimeout
	}
	serves := g.Whole && g.Size() == size && !r.isRetiring(g.ID) && (!found || head.Membership.State == workers.Open)
	expired := r.unfinishedFor(g.ID, timeout)
	switch {
	case !serves:
		r.dissolve(g, unfinished)
	case expired && found:
		r.dissolve(g, entryGone)
	case expired:
		r.dissolve(g, headGone)
	case r.missingAfterOutage(g.ID):
		r.dissolve(g, entryNotRestored)
	case r.hasUnreachable(g):
		r.dissolve(g, memberDead)
	case r.failsWithoutProbeAnswer(g):
		r.dissolve(g, failsRequests)
	}
}

// failsWithoutProbeAnswer reports whether a group fails requests and a member whose entry is
// gone did not answer a probe. A failed request alone doesn't show that such a member is dead:
// while workers are cut off from the store, all groups may lack entries, and each of them loses
// an answer now and then.
func (r *round) failsWithoutProbeAnswer(g *workers.Group) bool {
	if !r.failing(g.ID.Name) {
		delete(r.failingSince, g.ID)
		return false
	}
	since, tracked := r.failingSince[g.ID]
	if !tracked {
		since = r.now
		r.failingSince[g.ID] = since
	}
	if !slices.ContainsFunc(g.Lost, func(w workers.Worker) bool { return !r.answeredProbe(w.ID) }) {
		return false
	}
	return r.now.Sub(since) > probeDeadline
}

// answeredProbe reports whether a worker recently answered a probe.
func (r *round) answeredProbe(id string) bool {
	at := r.record(id).answeredAt
	return !at.IsZero() && r.now.Sub(at) < probeInterval+probeDeadline
}

// missingAfterOutage reports whether entries of a group disappeared during an outage of the
// store, or about then, and did not reappear in time.
func (r *round) missingAfterOutage(id workers.GroupID) bool {
	if r.storeBack.IsZero() {
		return false
	}
	deadline := r.storeBack.Add(entryRestoreTimeout)
	return r.now.After(deadline) && r.seen[id].Before(deadline)
}

// isRetiring reports whether a group gives its workers to another model.
func (r *round) isRetiring(id workers.GroupID) bool {
	_, retired := r.retiring[id]
	return retired
}

// unfinishedFor reports whether a group has been unfinished for longer than d.
func (r *round) unfinishedFor(id workers.GroupID, d time.Duration) bool {
	since, ok := r.seen[id]
	if !ok {
		r.seen[id] = r.now
		return false
	}
	return r.now.Sub(since) > d
}

// isComplete reports whether all members of a group are listed and have not left it.
func (r *round) isComplete(g *workers.Group) bool {
	model, found := r.service.Runtime.Model(g.ID.Model())
	if !found || len(g.Members) != model.Size {
		return false
	}
	for rank, w := range g.Members {
		if w.Membership.Rank != rank || r.membership(w).Group != g.ID {
			return false
		}
	}
	return true
}

// hasUnreachable reports whether a member of a group recently failed to answer a probe.
func (r *round) hasUnreachable(g *workers.Group) bool {
	silent := func(w workers.Worker) bool { return r.unreachable(w.ID) }
	return slices.ContainsFunc(g.Members, silent) || slices.ContainsFunc(g.Lost, silent)
}

func (r *round) unreachable(id string) bool {
	return r.now.Before(r.record(id).unreachableUntil)
}

func (r *round) hasDraining(g *workers.Group) bool {
	return slices.ContainsFunc(g.Members, func(w workers.Worker) bool { return w.Draining })
}

func hasBroken(g *workers.Group) bool {
	return slices.ContainsFunc(g.Members, func(w workers.Worker) bool { return w.Membership.State == workers.Broken })
}

// closeThenDissolve lets a group finish its requests before it is dissolved.
func (r *round) closeThenDissolve(g *workers.Group) {
	head, _ := g.Head()
	serving := head.Membership.State == workers.Open || head.Membership.State == workers.Closing
	since, started := r.closing[g.ID]
	if !started {
		since = r.now
		r.closing[g.ID] = since
	}
	if !serving || r.now.Sub(since) > drainTimeout {
		r.dissolve(g, drained)
		return
	}
	if head.Membership.State == workers.Open && !r.orderedRecently(head.ID, Close, g.ID, openRetryInterval) {
		r.addOrder(Order{Worker: head, Op: Close, Group: g.ID})
	}
}

// dissolve orders all members to leave. A member is free once its own leave is confirmed.
func (r *round) dissolve(g *workers.Group, reason Reason) {
	if _, recorded := r.dissolving[g.ID]; !recorded {
		r.dissolving[g.ID] = r.now
		head, _ := g.Head()
		r.endings = append(r.endings, Ending{Group: g.ID, Reason: reason, Members: len(g.Members), Lost: len(g.Lost), Serving: head.Membership.State == workers.Open})
	}
	for _, w := range g.Members {
		if r.membership(w).Group == g.ID && !r.orderedRecently(w.ID, Leave, g.ID, rowLag) {
			r.addOrder(Order{Worker: w, Op: Leave, Group: g.ID})
		}
	}
}
