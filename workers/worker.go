// Package workers tracks the machines that run requests and the groups that they form.
package workers

import (
	"strconv"
	"strings"
	"time"

	"github.com/pointpass/pointpass/store"
)

// GroupState is the state of a worker in its group.
type GroupState string

// The states of a worker in its group. Only the head becomes Open or Closing.
const (
	Joining GroupState = "joining"
	Ready   GroupState = "ready"
	Open    GroupState = "open"
	Closing GroupState = "closing"
	Broken  GroupState = "broken"
)

// GroupID identifies one epoch of a group.
type GroupID struct {
	Name  string
	Epoch uint64
}

// Membership is a worker's place in a group; the zero value means none.
type Membership struct {
	Group GroupID
	// Rank is the worker's index in the list of members; the head has 0.
	Rank  int
	State GroupState
}

// Worker is one start of a worker according to its entry in the store.
type Worker struct {
	ID string
	// StartMs distinguishes the starts of a worker under one id: milliseconds since 1970 by
	// the worker's own clock, which may step back. It is 0 if the entry doesn't contain it.
	StartMs int64
	// At is the position of the entry's last change.
	At       store.Position
	Service  string
	Address  string
	Hall     string
	Domain   string
	Slots    int
	Draining bool
	// ColdLeft is how much longer the worker was cold after its start when it wrote its
	// entry.
	ColdLeft time.Duration
	// Models are loaded; Staged are on the worker's host.
	Models, Staged []string
	Membership     Membership
	// LastModel is the model of the last group in which the worker was seen ready during
	// this start, "" if unknown.
	LastModel string
}

// Restarted reports whether two entries of one id belong to different starts of the worker.
// A start inherits no state from an earlier one. Entries without a start never count as
// different: there, each start has its own id.
func Restarted(before, after Worker) bool {
	return before.StartMs != 0 && after.StartMs != 0 && before.StartMs != after.StartMs
}

// modelSeparator separates a model's name from the epoch in the name of a group. Only its
// last occurrence counts, so that model names may contain it.
const modelSeparator = "."

// NewGroupID returns the id of a group that runs a model. The name contains the model, so
// that any process can tell a group's model from its id.
func NewGroupID(model string, epoch uint64) GroupID {
	return GroupID{Name: model + modelSeparator + strconv.FormatUint(epoch, 10), Epoch: epoch}
}

// Model returns the model that the group runs, "" if the name doesn't contain one.
func (id GroupID) Model() string {
	i := strings.LastIndex(id.Name, modelSeparator)
	if i < 0 {
		return ""
	}
	return id.Name[:i]
}
