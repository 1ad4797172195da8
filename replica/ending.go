package replica

import (
	"time"

	"github.com/pointpass/pointpass/workers"
)

// Reason is why a group is dissolved.
type Reason string

// Reasons to dissolve a group.
const (
	// memberDead: a member did not answer a probe.
	memberDead Reason = "a member doesn't answer"
	// failsRequests: the group fails requests, and a member whose entry is gone did not answer
	// probes.
	failsRequests Reason = "it fails requests and lost a member's entry"
	// entryGone: a member's entry has been gone for longer than lostMemberTimeout.
	entryGone Reason = "a member's entry has been gone for long"
	// headGone: the head's entry is gone, so that the group can get no requests.
	headGone Reason = "the head's entry is gone"
	// entryNotRestored: a member's entry went while the store was unreachable, and did not come
	// back with the store.
	entryNotRestored Reason = "a member's entry did not come back with the store"
	// headBroken: the head reports that it no longer serves.
	headBroken Reason = "its head is broken"
	// unfinished: the group was not formed in time, or permanently lacks a member.
	unfinished Reason = "it is not whole"
	// drained: a member leaves, or the group is retired for another model, and its requests have
	// ended.
	drained Reason = "it was closed"
)

// Ending describes a group that is being dissolved.
type Ending struct {
	Group  workers.GroupID
	Reason Reason
	// Members is the number of listed members, Lost that of members whose entries are gone.
	Members, Lost int
	// Serving reports whether the group could still get requests.
	Serving bool
}

// endingRetention is how long a dissolved group is remembered, so that it is reported once:
// longer than a worker's row takes to show that the worker left.
const endingRetention = time.Minute

// Endings returns the groups whose dissolution started since the last call.
func (p *Planner) Endings() []Ending {
	list := p.endings
	p.endings = nil
	return list
}

// pruneEndings removes groups that were dissolved, or failed requests, long ago.
func (p *Planner) pruneEndings(now time.Time) {
	for _, times := range []map[workers.GroupID]time.Time{p.dissolving, p.failingSince} {
		for id, at := range times {
			if now.Sub(at) > endingRetention {
				delete(times, id)
			}
		}
	}
}
