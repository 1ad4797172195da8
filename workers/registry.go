package workers

import (
	"maps"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
)

// mostLost bounds how many workers whose entry is gone are remembered.
const mostLost = 4096

// Registry holds the newest view.
type Registry struct {
	mu      sync.Mutex
	builder *builder
	// last keeps the last model of workers whose entry is gone: an entry also goes
	// while the store is down or the worker is cut off from it, and comes back.
	last map[string]lastModel
	// lost are members of groups whose entry is gone unannounced.
	lost    map[string]*Worker
	leavers *leavers
	view    atomic.Pointer[View]
	changed func(*View)
}

// NewRegistry returns an empty registry that tells each new view to changed.
func NewRegistry(changed func(*View)) *Registry {
	r := &Registry{builder: newBuilder(), last: map[string]lastModel{}, lost: map[string]*Worker{}, leavers: newLeavers(), changed: changed}
	r.makeView()
	return r
}

// View returns the newest view.
func (r *Registry) View() *View { return r.view.Load() }

// Apply takes in workers that changed and the ids of those that are gone. Where
// full is set, changed holds all there are.
func (r *Registry) Apply(changed []Worker, gone []string, full bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !full && len(changed) == 0 && len(gone) == 0 {
		return
	}
	before := map[string]*Worker{}
	if full {
		before = r.removeAll()
	}
	for _, w := range changed {
		delete(before, w.ID)
		r.noteReady(w)
		r.put(w)
	}
	for _, id := range gone {
		r.remove(id)
	}
	for _, w := range before {
		r.leavers.note(*w)
	}
	r.changed(r.makeView())
}

// Restore takes in all workers as a store tells them that came back from an older copy. Those
// that were about to leave, or had left, get nothing new; it returns how many whose entry
// only went are among them, and trust, which ends that for these unless the store was
// restored once more.
func (r *Registry) Restore(all []Worker) (withheld int, trust func()) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.leavers.restores++
	restore := r.leavers.restores
	r.removeAll()
	for _, w := range all {
		r.put(r.leavers.restored(w))
	}
	r.changed(r.makeView())
	return len(r.leavers.withheld), func() { r.trustRestored(restore) }
}

// trustRestored has the entries count that were withheld and that are still as they were.
func (r *Registry) trustRestored(restore int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if restore != r.leavers.restores {
		return
	}
	for id, w := range r.leavers.takeWithheld() {
		if known, listed := r.builder.worker(id); listed && known.At == w.At {
			r.noteReady(w)
			r.put(w)
		}
	}
	r.changed(r.makeView())
}

// noteReady remembers whether a worker leaves.
func (r *Registry) noteReady(w Worker) {
	if w.Draining {
		r.leavers.note(w)
		return
	}
	r.leavers.forget(w.ID)
}

// lastModel is the model of the last group of a worker in one of its starts.
type lastModel struct {
	model string
	born  int64
}

// of tells whether that is of the start that an entry tells of.
func (l lastModel) of(w Worker) bool { return !Restarted(Worker{Born: l.born}, w) }

// Idle returns the last models of workers that are in no group, whose entries
// therefore don't tell them, at most limit of them, by id and start.
func (r *Registry) Idle(limit int) map[string]string {
	r.mu.Lock()
	defer r.mu.Unlock()
	idle := map[string]string{}
	for id, w := range r.builder.all() {
		if w.Membership.Group.Name == "" && w.Last != "" && len(idle) < limit {
			idle[startName(id, w.Born)] = w.Last
		}
	}
	return idle
}

// bornSeparator parts an id from the start that a name tells.
const bornSeparator = "@"

// startName names one start of a worker: its id, if that is all that is known.
func startName(id string, born int64) string {
	if born == 0 {
		return id
	}
	return id + bornSeparator + strconv.FormatInt(born, 10)
}

// parseStart returns the id and start that a name tells.
func parseStart(name string) (id string, born int64) {
	i := strings.LastIndex(name, bornSeparator)
	if i < 0 {
		return name, 0
	}
	born, err := strconv.ParseInt(name[i+1:], 10, 64)
	if err != nil {
		return name, 0 // an id with the separator in it
	}
	return name[:i], born
}

// Remember takes in last models that another process knew. What this process has
// seen itself counts more.
func (r *Registry) Remember(last map[string]string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for name, model := range last {
		id, born := parseStart(name)
		told := lastModel{model: model, born: born}
		w, listed := r.builder.worker(id)
		switch {
		case listed && w.Last == "" && told.of(*w):
			known := *w
			known.Last = model
			r.builder.put(&known)
		case !listed && r.last[id].model == "" && len(r.last) < mostLost:
			r.last[id] = told
		}
	}
	r.changed(r.makeView())
}

// put takes in an entry. One that is older than what is known of the worker tells nothing:
// it came by a longer way.
func (r *Registry) put(w Worker) {
	known, listed := r.builder.worker(w.ID)
	if listed && w.At.Before(known.At) {
		return
	}
	w.Last = ""
	if l := r.last[w.ID]; l.of(w) {
		w.Last = l.model
	}
	if listed && !Restarted(*known, w) {
		w.Last = known.Last
	}
	if w.Membership.Group.Name != "" && w.Membership.State != Joining {
		w.Last = w.Membership.Group.Model()
	}
	delete(r.last, w.ID)
	if lost, was := r.lost[w.ID]; was {
		r.builder.find(lost)
		delete(r.lost, w.ID)
	}
	r.builder.put(&w)
}

// remove takes in that a worker's entry is gone.
func (r *Registry) remove(id string) {
	if w, listed := r.builder.worker(id); listed {
		r.leavers.note(*w)
	}
	r.drop(id)
}

// drop takes a worker out, and keeps what its next entry needs.
func (r *Registry) drop(id string) {
	w, listed := r.builder.worker(id)
	if listed && w.Last != "" && len(r.last) < mostLost {
		r.last[id] = lastModel{model: w.Last, born: w.Born}
	}
	if listed && !w.Draining && w.Membership.Group.Name != "" && len(r.lost) < mostLost {
		r.lost[id] = w
		r.builder.lose(w)
	}
	r.builder.remove(id)
}

// removeAll takes all workers out, and returns them.
func (r *Registry) removeAll() map[string]*Worker {
	all := maps.Collect(r.builder.all())
	for id := range all {
		r.drop(id)
	}
	return all
}

// makeView makes the newest view. Members of groups that nobody else is in any more are
// dropped from lost.
func (r *Registry) makeView() *View {
	view, forgotten := r.builder.view()
	for _, id := range forgotten {
		delete(r.lost, id)
	}
	r.view.Store(view)
	return view
}
