package workers

import (
	"maps"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
)

// maxLost bounds the number of tracked workers whose entry has disappeared.
const maxLost = 4096

// Registry builds views from the entries of workers, and holds the newest one.
type Registry struct {
	mu      sync.Mutex
	builder *builder
	// lastModels holds the last model of workers whose entry has disappeared. An entry also
	// disappears while the store is down or the worker has no connection to it, and then
	// comes back.
	lastModels map[string]lastModel
	// lost are group members whose entry disappeared without an announcement.
	lost       map[string]*Worker
	departures *departures
	// outdated are the entries of a restored copy in place of which later ones of before count.
	outdated map[string]Worker
	view     atomic.Pointer[View]
	changed  func(*View)
}

// NewRegistry returns an empty registry that passes each new view to changed.
func NewRegistry(changed func(*View)) *Registry {
	r := &Registry{builder: newBuilder(), lastModels: map[string]lastModel{}, lost: map[string]*Worker{}, departures: newDepartures(), changed: changed}
	r.publishView()
	return r
}

// View returns the newest view.
func (r *Registry) View() *View { return r.view.Load() }

// Apply applies changed entries and the ids of deleted ones. If full is set, changed holds
// all entries.
func (r *Registry) Apply(changed []Worker, gone []string, full bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !full && len(changed) == 0 && len(gone) == 0 {
		return
	}
	previous := map[string]*Worker{}
	if full {
		previous = r.removeAll()
	}
	for _, w := range changed {
		delete(previous, w.ID)
		r.recordReady(w)
		r.put(w)
	}
	for _, id := range gone {
		r.remove(id)
	}
	for _, w := range previous {
		r.departures.record(*w)
	}
	r.changed(r.publishView())
}

// Foreign reports whether an entry lacks its worker's start although an earlier entry of the worker
// had one. A worker always writes its start, so another writer wrote the entry.
func (r *Registry) Foreign(w Worker) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if w.StartMs != 0 {
		return false
	}
	if current, listed := r.builder.worker(w.ID); listed {
		return current.StartMs != 0
	}
	return r.departures.starts[w.ID].born != 0
}

// Restore applies all entries of a store that was restored from an older copy. Workers that
// had left or were about to leave get no new requests, and what a worker wrote of itself in the
// lost seconds counts. Restore returns the number of withheld workers, those whose entry had only
// disappeared, and a function that lets the copy's entries count that haven't changed by then,
// unless the store has been restored again.
func (r *Registry) Restore(all []Worker) (withheld int, trust func()) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.departures.restores++
	restore := r.departures.restores
	previous := r.removeAll()
	r.outdated = map[string]Worker{}
	for _, w := range all {
		r.put(r.latest(previous[w.ID], r.departures.restored(w)))
	}
	r.changed(r.publishView())
	return len(r.departures.withheld), func() { r.trustRestored(restore) }
}

// latest returns the entry of a restored copy with what the same start of the worker wrote of its
// models and its group before the restore, since the copy is older. The worker writes its entry again
// if that differs from the copy's.
func (r *Registry) latest(known *Worker, w Worker) Worker {
	if known == nil || w.Draining || Restarted(*known, w) {
		return w
	}
	r.outdated[w.ID] = w
	w.Membership, w.Models, w.Staged = known.Membership, known.Models, known.Staged
	return w
}

// trustRestored lets the entries of the copy count that haven't changed.
func (r *Registry) trustRestored(restore int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if restore != r.departures.restores {
		return
	}
	for id, w := range r.outdated {
		if current, listed := r.builder.worker(id); listed && current.At == w.At {
			r.put(w)
		}
	}
	r.outdated = nil
	for id, w := range r.departures.takeWithheld() {
		if current, listed := r.builder.worker(id); listed && current.At == w.At {
			r.recordReady(w)
			r.put(w)
		}
	}
	r.changed(r.publishView())
}

// recordReady records whether a worker's entry shows that it is leaving or ready.
func (r *Registry) recordReady(w Worker) {
	if w.Draining {
		r.departures.record(w)
		return
	}
	r.departures.forget(w.ID)
}

// lastModel is the model of the last group of a worker in one of its starts.
type lastModel struct {
	model string
	born  int64
}

// sameStart reports whether the model belongs to the start of an entry.
func (l lastModel) sameStart(w Worker) bool { return !Restarted(Worker{StartMs: l.born}, w) }

// LastModels returns the last models of up to limit workers that are in no group, whose
// entries don't contain them, by id and start.
func (r *Registry) LastModels(limit int) map[string]string {
	r.mu.Lock()
	defer r.mu.Unlock()
	idle := map[string]string{}
	for id, w := range r.builder.all() {
		if w.Membership.Group.Name == "" && w.LastModel != "" && len(idle) < limit {
			idle[startName(id, w.StartMs)] = w.LastModel
		}
	}
	return idle
}

// startSeparator separates a worker's id from its start.
const startSeparator = "@"

// startName returns the name of one start of a worker: its id alone if the start is
// unknown.
func startName(id string, born int64) string {
	if born == 0 {
		return id
	}
	return id + startSeparator + strconv.FormatInt(born, 10)
}

// parseStart returns the id and the start of a name.
func parseStart(name string) (id string, born int64) {
	i := strings.LastIndex(name, startSeparator)
	if i < 0 {
		return name, 0
	}
	born, err := strconv.ParseInt(name[i+1:], 10, 64)
	if err != nil {
		return name, 0 // an id that contains the separator
	}
	return name[:i], born
}

// SeedLastModels adds the last models from another process. The observations of this
// process take precedence.
func (r *Registry) SeedLastModels(last map[string]string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for name, model := range last {
		id, born := parseStart(name)
		remembered := lastModel{model: model, born: born}
		w, listed := r.builder.worker(id)
		switch {
		case listed && w.LastModel == "" && remembered.sameStart(*w):
			current := *w
			current.LastModel = model
			r.builder.put(&current)
		case !listed && r.lastModels[id].model == "" && len(r.lastModels) < maxLost:
			r.lastModels[id] = remembered
		}
	}
	r.changed(r.publishView())
}

// put applies an entry. An entry older than the current one is ignored: it was delayed by a
// relay.
func (r *Registry) put(w Worker) {
	current, listed := r.builder.worker(w.ID)
	if listed && w.At.Before(current.At) {
		return
	}
	w.LastModel = ""
	if l := r.lastModels[w.ID]; l.sameStart(w) {
		w.LastModel = l.model
	}
	if listed && !Restarted(*current, w) {
		w.LastModel = current.LastModel
	}
	if w.Membership.Group.Name != "" && w.Membership.State != Joining {
		w.LastModel = w.Membership.Group.Model()
	}
	delete(r.lastModels, w.ID)
	if lost, wasLost := r.lost[w.ID]; wasLost {
		r.builder.removeLost(lost)
		delete(r.lost, w.ID)
	}
	r.builder.put(&w)
}

// remove applies the deletion of a worker's entry.
func (r *Registry) remove(id string) {
	if w, listed := r.builder.worker(id); listed {
		r.departures.record(*w)
	}
	r.drop(id)
}

// drop removes a worker, and keeps what its next entry needs.
func (r *Registry) drop(id string) {
	w, listed := r.builder.worker(id)
	if listed && w.LastModel != "" && len(r.lastModels) < maxLost {
		r.lastModels[id] = lastModel{model: w.LastModel, born: w.StartMs}
	}
	if listed && !w.Draining && w.Membership.Group.Name != "" && len(r.lost) < maxLost {
		r.lost[id] = w
		r.builder.addLost(w)
	}
	r.builder.remove(id)
}

// removeAll removes and returns all workers.
func (r *Registry) removeAll() map[string]*Worker {
	all := maps.Collect(r.builder.all())
	for id := range all {
		r.drop(id)
	}
	return all
}

// publishView publishes a new view. Lost members whose group has no other members are
// dropped.
func (r *Registry) publishView() *View {
	view, dropped := r.builder.view()
	for _, id := range dropped {
		delete(r.lost, id)
	}
	r.view.Store(view)
	return view
}
