package standin

import (
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"time"
)

// groupState is a worker's group membership as announced in its entry.
type groupState struct {
	Name  string `json:"name"`
	Epoch uint64 `json:"epoch"`
	Rank  int    `json:"rank"`
	State string `json:"state"`
}

// Timing of joins, which are much faster than real ones.
const (
	joinDelay = 30 * time.Millisecond
	// joinDelayPerRank is added per rank, so that the head is ready long before the other
	// members.
	joinDelayPerRank = 600 * time.Millisecond
)

// SetSparseReport makes the worker's report lack its group and the number of its orders.
func (w *Worker) SetSparseReport() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.sparseReport = true
}

// SetFence sets the highest fencing token seen, as if a later lease holder had sent an order.
func (w *Worker) SetFence(token uint64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.fence = token
}

// Fence returns the highest fencing token that the worker has seen, 0 if none.
func (w *Worker) Fence() uint64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.fence
}

// Orders returns the orders that the worker received, as "op group/epoch status".
func (w *Worker) Orders() []string {
	w.mu.Lock()
	defer w.mu.Unlock()
	return slices.Clone(w.orders)
}

// GroupState returns the worker's state in its group, "" if it is in none.
func (w *Worker) GroupState() string {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.group == nil {
		return ""
	}
	return w.group.State
}

// order is the body of an order to a worker.
type order struct {
	Op      string   `json:"op"`
	Group   string   `json:"group"`
	Epoch   uint64   `json:"epoch"`
	Model   string   `json:"modelId"`
	Members []string `json:"members"`
	Fence   uint64   `json:"fencingToken"`
	// Condition is how many orders the worker must have taken, nil for any number.
	Condition *int64 `json:"expectedRev"`
}

// report is a worker's own account of its state.
type report struct {
	Seqno *int64      `json:"seqno,omitempty"`
	Group *groupState `json:"group,omitempty"`
}

func (w *Worker) serveReport(rw http.ResponseWriter, _ *http.Request) {
	w.mu.Lock()
	var r report
	if !w.sparseReport {
		taken := w.taken
		r.Seqno = &taken
	}
	if w.group != nil && !w.sparseReport {
		group := *w.group
		r.Group = &group
	}
	w.mu.Unlock()
	rw.Header().Set("Content-Type", "application/json")
	json.NewEncoder(rw).Encode(r)
}

func (w *Worker) serveOrder(rw http.ResponseWriter, r *http.Request) {
	var o order
	if json.NewDecoder(r.Body).Decode(&o) != nil {
		rw.WriteHeader(http.StatusBadRequest)
		return
	}
	if r.Header.Get(headerExpectInstance) != w.id {
		rw.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	w.mu.Lock()
	status := http.StatusPreconditionFailed
	if o.Fence >= w.fence {
		w.fence = o.Fence
		status = w.applyOrderIf(o)
	}
	w.orders = append(w.orders, fmt.Sprintf("%s %s/%d %d", o.Op, o.Group, o.Epoch, status))
	w.mu.Unlock()
	w.publish()
	rw.WriteHeader(status)
}

// applyOrderIf carries out an order if its condition holds. The caller holds w.mu.
func (w *Worker) applyOrderIf(o order) int {
	if o.Condition != nil && *o.Condition != w.taken {
		return http.StatusConflict
	}
	status := w.applyOrder(o)
	if status == http.StatusAccepted || status == http.StatusOK && o.Op != "join" {
		w.taken++
	}
	return status
}

// applyOrder carries out an order and returns the response status. The caller holds w.mu.
func (w *Worker) applyOrder(o order) int {
	switch o.Op {
	case "phase":
		w.staged = []string{o.Model}
		w.store.checker.recordLoad()
		return http.StatusAccepted
	case "join":
		return w.join(o)
	}
	if w.group == nil || w.group.Name != o.Group || w.group.Epoch != o.Epoch {
		return http.StatusConflict
	}
	switch o.Op {
	case "leave":
		w.store.checker.setOpen(w.group, w.group.Rank != 0 && w.store.checker.isOpen(w.group))
		w.group = nil
	case "open":
		if w.group.State != "ready" {
			return http.StatusConflict
		}
		w.group.State = "open"
		w.store.checker.setOpen(w.group, true)
	case "close":
		w.group.State = "ready"
		w.store.checker.setOpen(w.group, false)
	default:
		return http.StatusBadRequest
	}
	return http.StatusOK
}

// join makes the worker join a group and returns the response status. The caller holds w.mu.
func (w *Worker) join(o order) int {
	if o.Epoch < w.epoch {
		return http.StatusPreconditionFailed
	}
	if w.group != nil && w.group.Name == o.Group && w.group.Epoch == o.Epoch {
		if slices.Equal(w.members, o.Members) {
			return http.StatusOK
		}
		return http.StatusPreconditionFailed
	}
	w.store.checker.checkJoin(w.id, w.group, o.Group)
	if w.model != o.Model && !slices.Contains(w.staged, o.Model) {
		w.store.checker.recordLoad()
	}
	w.epoch = o.Epoch
	w.model = o.Model
	w.members = o.Members
	group := &groupState{Name: o.Group, Epoch: o.Epoch, Rank: slices.Index(o.Members, w.id), State: "joining"}
	w.group = group
	w.staged = []string{o.Model}
	time.AfterFunc(joinDelay+time.Duration(group.Rank)*joinDelayPerRank, func() {
		w.mu.Lock()
		current := w.group == group && group.State == "joining"
		if current {
			group.State = "ready"
			w.store.checker.recordReady(w.id, group, o.Members)
		}
		w.mu.Unlock()
		if current {
			w.publish()
		}
	})
	return http.StatusAccepted
}
