package replica

import (
	"slices"
	"time"

	"github.com/pointpass/pointpass/workers"
)

// warmHeadFirst returns a group's members with that one first which is cold the least,
// and otherwise as they are. Only the head gets requests, so that a group with a warm
// head has no bound on them, whoever its other members are.
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
