package workers

import (
	"cmp"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
)

// Group is a group as its members' entries tell it.
type Group struct {
	ID      GroupID
	Service string
	// Members are in order of rank; a rank that nobody tells is missing.
	Members []Worker
	// Lost are members whose entry is gone though they had not said that they
	// leave. They may have died, or only be cut off from the store.
	Lost []Worker
	// Whole tells that all ranks below the highest are there, lost ones too,
	// without drainers, and every member was seen ready in this epoch.
	Whole bool
}

// Size returns how many members the group has, lost ones too.
func (g *Group) Size() int { return len(g.Members) + len(g.Lost) }

// Head returns the member of rank 0.
func (g *Group) Head() (Worker, bool) {
	if len(g.Members) == 0 || g.Members[0].Membership.Rank != 0 {
		return Worker{}, false
	}
	return g.Members[0], true
}

// View is all that is known of workers at one moment. It never changes.
type View struct {
	byID     map[string]Worker
	services map[string][]Worker
	groups   []*Group
}

// Worker returns a worker by its id.
func (v *View) Worker(id string) (Worker, bool) {
	w, ok := v.byID[id]
	return w, ok
}

// Of returns a service's workers in order of their ids.
func (v *View) Of(service string) []Worker { return v.services[service] }

// Groups returns all groups in order of epoch.
func (v *View) Groups() []*Group { return v.groups }

// Len returns how many workers are known.
func (v *View) Len() int { return len(v.byID) }

// mostLost bounds how many workers whose entry is gone are remembered.
const mostLost = 4096

// Registry holds the newest view.
type Registry struct {
	mu      sync.Mutex
	workers map[string]Worker
	// last keeps the last model of workers whose entry is gone: an entry also goes
	// while the store is down or the worker is cut off from it, and comes back.
	last map[string]lastModel
	// lost are members of groups whose entry is gone unannounced.
	lost    map[string]Worker
	view    atomic.Pointer[View]
	changed func(*View)
}

// NewRegistry returns an empty registry that tells each new view to changed.
func NewRegistry(changed func(*View)) *Registry {
	r := &Registry{workers: map[string]Worker{}, last: map[string]lastModel{}, lost: map[string]Worker{}, changed: changed}
	r.view.Store(newView(r.workers, r.lost))
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
	if full {
		for id := range r.workers {
			r.remove(id)
		}
	}
	for _, w := range changed {
		r.put(w)
	}
	for _, id := range gone {
		r.remove(id)
	}
	view := newView(r.workers, r.lost)
	r.view.Store(view)
	r.changed(view)
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
	for id, w := range r.workers {
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
		w, listed := r.workers[id]
		switch {
		case listed && w.Last == "" && told.of(w):
			w.Last = model
			r.workers[id] = w
		case !listed && r.last[id].model == "" && len(r.last) < mostLost:
			r.last[id] = told
		}
	}
	view := newView(r.workers, r.lost)
	r.view.Store(view)
	r.changed(view)
}

// put takes in an entry. One that is older than what is known of the worker tells nothing:
// it came by a longer way.
func (r *Registry) put(w Worker) {
	known, listed := r.workers[w.ID]
	if listed && w.Version < known.Version {
		return
	}
	w.Last = ""
	if l := r.last[w.ID]; l.of(w) {
		w.Last = l.model
	}
	if listed && !Restarted(known, w) {
		w.Last = known.Last
	}
	if w.Membership.Group.Name != "" && w.Membership.State != Joining {
		w.Last = w.Membership.Group.Model()
	}
	delete(r.last, w.ID)
	delete(r.lost, w.ID)
	r.workers[w.ID] = w
}

func (r *Registry) remove(id string) {
	w, listed := r.workers[id]
	if listed && w.Last != "" && len(r.last) < mostLost {
		r.last[id] = lastModel{model: w.Last, born: w.Born}
	}
	if listed && !w.Draining && w.Membership.Group.Name != "" && len(r.lost) < mostLost {
		r.lost[id] = w
	}
	delete(r.workers, id)
}

// newView returns a view of workers and lost members. Members of groups that
// nobody else is in any more are dropped from lost.
func newView(all, lost map[string]Worker) *View {
	v := &View{byID: make(map[string]Worker, len(all)), services: map[string][]Worker{}}
	groups := map[GroupID]*Group{}
	for id, w := range all {
		v.byID[id] = w
		v.services[w.Service] = append(v.services[w.Service], w)
		id := w.Membership.Group
		if id.Name == "" {
			continue
		}
		if groups[id] == nil {
			groups[id] = &Group{ID: id, Service: w.Service}
		}
		groups[id].Members = append(groups[id].Members, w)
	}
	for id, w := range lost {
		g, found := groups[w.Membership.Group]
		if !found {
			delete(lost, id)
			continue
		}
		g.Lost = append(g.Lost, w)
	}
	for _, list := range v.services {
		slices.SortFunc(list, func(a, b Worker) int { return cmp.Compare(a.ID, b.ID) })
	}
	for _, g := range groups {
		slices.SortFunc(g.Members, byRank)
		g.Whole = whole(slices.SortedFunc(slices.Values(append(slices.Clone(g.Lost), g.Members...)), byRank))
		v.groups = append(v.groups, g)
	}
	slices.SortFunc(v.groups, func(a, b *Group) int {
		return cmp.Or(cmp.Compare(a.ID.Epoch, b.ID.Epoch), cmp.Compare(a.ID.Name, b.ID.Name))
	})
	return v
}

func byRank(a, b Worker) int { return cmp.Compare(a.Membership.Rank, b.Membership.Rank) }

func whole(members []Worker) bool {
	for rank, w := range members {
		if w.Membership.Rank != rank || w.Draining {
			return false
		}
		if w.Membership.State == Joining || w.Membership.State == Broken {
			return false
		}
	}
	return true
}
