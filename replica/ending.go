package replica

import (
	"time"

	"github.com/pointpass/pointpass/workers"
)

// Reason is why a group is dissolved.
type Reason string

// The reasons.
const (
	// memberDead: a member did not answer when it was asked.
	memberDead Reason = "a member doesn't answer"
	// failing: it fails requests, and members whose entry is gone were not heard.
	failing Reason = "it fails requests and lost a member's entry"
	// entryGone: the entry of a member has been gone for long.
	entryGone Reason = "a member's entry has been gone for long"
	// headGone: nothing may be sent there any more.
	headGone Reason = "the head's entry is gone"
	// missing: the entry went while the store was away, and did not come back.
	missing Reason = "a member's entry did not come back with the store"
	// headBroken: the head says that it no longer serves.
	headBroken Reason = "its head is broken"
	// unfinished: it was not formed in time, or lacks a member for good.
	unfinished Reason = "it is not whole"
	// closed: a member leaves, or the group gives its workers to another model, and its
	// requests have ended.
	closed Reason = "it was closed"
)

// Ending tells that a group is being dissolved.
type Ending struct {
	Group  workers.GroupID
	Reason Reason
	// Members are those that are listed, Lost those whose entries are gone.
	Members, Lost int
	// Serving tells that it could still be sent requests.
	Serving bool
}

// endingMemory is how long a group that was dissolved is remembered, so that it is told
// once: longer than a worker's row takes to tell of its leave.
const endingMemory = time.Minute

// Endings returns the groups that were begun to be dissolved since the last call.
func (p *Planner) Endings() []Ending {
	list := p.endings
	p.endings = nil
	return list
}

// forgetEndings forgets groups that were dissolved, or failed requests, long ago.
func (p *Planner) forgetEndings(now time.Time) {
	for _, since := range []map[workers.GroupID]time.Time{p.dissolving, p.failingFrom} {
		for id, at := range since {
			if now.Sub(at) > endingMemory {
				delete(since, id)
			}
		}
	}
}
