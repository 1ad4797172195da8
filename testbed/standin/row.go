package standin

import (
	"slices"
	"time"
)

// entry is a worker's row in the store.
type entry struct {
	Service string      `json:"backend"`
	Address string      `json:"address"`
	Zone    string      `json:"zone"`
	Domain  string      `json:"domain"`
	Version string      `json:"version"`
	Slots   int         `json:"slots"`
	State   string      `json:"state"`
	ColdMs  float64     `json:"coldLeftMs"`
	Seqno   int         `json:"seqno"`
	Staged  []string    `json:"staged,omitempty"`
	Group   *groupState `json:"group,omitempty"`
}

// Drain announces in the worker's entry that it leaves.
func (w *Worker) Drain() {
	w.mu.Lock()
	w.draining = true
	w.mu.Unlock()
	w.publish()
}

// SetCold makes the worker cold for a duration, as if it had just started.
func (w *Worker) SetCold(d time.Duration) {
	w.mu.Lock()
	w.coldUntil = time.Now().Add(d)
	w.mu.Unlock()
	w.publish()
}

// publish writes the worker's entry to the store. A crashed worker writes none.
func (w *Worker) publish() {
	w.mu.Lock()
	if w.crashed {
		w.mu.Unlock()
		return
	}
	e := entry{
		Service: w.service,
		Address: w.server.Listener.Addr().String(),
		Zone:    w.hall,
		Domain:  w.domain,
		Version: "v1",
		Slots:   4,
		State:   "ready",
		ColdMs:  max(0, float64(time.Until(w.coldUntil).Milliseconds())),
		Staged:  slices.Clone(w.staged),
	}
	if w.draining {
		e.State = "draining"
	}
	if w.group != nil {
		group := *w.group
		e.Group = &group
	}
	w.mu.Unlock()
	w.store.Put("servers", w.id, e)
}
