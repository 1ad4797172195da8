package replica

import (
	"slices"
	"time"

	"github.com/pointpass/pointpass/workers"
)

// warmHeadFirst returns the members of a group with the least cold one moved to the front, and
// the others in their order. Only the head gets requests, so a group with a warm head isn't
// limited by its other members.
func (r *round) warmHeadFirst(members []workers.Worker) []workers.Worker {
	if r.coldLeft == nil {
		return members
	}
	best := 0
	var least time.Duration
	for i, w := range members {
		left := r.coldLeft(w.ID)
		if i == 0 || left < least {
			best = i
			least = left
		}
	}
	ordered := slices.Clone(members)
	head := ordered[best]
	return slices.Insert(slices.Delete(ordered, best, best+1), 0, head)
}
