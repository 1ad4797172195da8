// Package workers keeps what is known of the machines that run requests and of
// the groups that they form.
package workers

import (
	"strconv"
	"strings"
	"time"

	"github.com/pointpass/pointpass/store"
)

// GroupState is how far a worker is in its group.
type GroupState string

// The states of a worker in its group. Only the head becomes Open or Closing.
const (
	Joining GroupState = "joining"
	Ready   GroupState = "ready"
	Open    GroupState = "open"
	Closing GroupState = "closing"
	Broken  GroupState = "broken"
)

// GroupID names one life of a group.
type GroupID struct {
	Name  string
	Epoch uint64
}

// Membership is a worker's place in a group; the zero value means none.
type Membership struct {
	Group GroupID
	// Rank is the worker's place in the list of members; the head has 0.
	Rank  int
	State GroupState
}

// Worker is one start of a worker as its entry in the store tells it.
type Worker struct {
	ID string
	// Born tells one start of a worker from the next under the same id: milliseconds since
	// 1970 by the worker's own clock, which may step back. 0 if the entry doesn't tell.
	Born int64
	// At is when the entry last changed.
	At       store.Position
	Service  string
	Address  string
	Hall     string
	Domain   string
	Slots    int
	Draining bool
	// ColdLeft is how much longer the worker was to be used with care, since it has just
	// started, when it wrote its entry.
	ColdLeft time.Duration
	// Models are loaded; Staged are on the worker's host.
	Models, Staged []string
	Membership     Membership
	// Last is the model of the last group that the worker was seen ready in during
	// this start, "" if none is known.
	Last string
}

// Restarted tells whether two entries of one id are of two starts of the worker. The later
// one knows nothing of what the earlier one did. Entries that don't tell aren't known to
// be: there each start has an id of its own.
func Restarted(before, after Worker) bool {
	return before.Born != 0 && after.Born != 0 && before.Born != after.Born
}

// modelSeparator parts a model's name from the epoch in the name of a group. The
// last one counts, so that models may have it in their names.
const modelSeparator = "."

// NewGroupID returns the id of a group that runs a model. The name tells the
// model, so that whoever finds the group knows what it runs.
func NewGroupID(model string, epoch uint64) GroupID {
	return GroupID{Name: model + modelSeparator + strconv.FormatUint(epoch, 10), Epoch: epoch}
}

// Model returns the model that the group runs, "" if the name doesn't tell.
func (id GroupID) Model() string {
	i := strings.LastIndex(id.Name, modelSeparator)
	if i < 0 {
		return ""
	}
	return id.Name[:i]
}
