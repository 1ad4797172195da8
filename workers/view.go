package workers

import (
	"cmp"
	"hash/fnv"
	"iter"
	"maps"
	"slices"
	"sync"
)

// Group is a group according to its members' entries.
type Group struct {
	ID      GroupID
	Service string
	// Members are in order of rank; ranks without an entry are missing.
	Members []Worker
	// Lost are members whose entry disappeared without an announcement that they leave.
	// They may have died, or have no connection to the store.
	Lost []Worker
	// Whole reports that all ranks below the highest are present, lost members included,
	// that none is draining, and that every member was seen ready in this epoch.
	Whole bool
}

// Size returns the number of members, lost ones included.
func (g *Group) Size() int { return len(g.Members) + len(g.Lost) }

// Head returns the member of rank 0.
func (g *Group) Head() (Worker, bool) {
	if len(g.Members) == 0 || g.Members[0].Membership.Rank != 0 {
		return Worker{}, false
	}
	return g.Members[0], true
}

// shards is the number of parts of a view's workers. A view shares all unchanged shards
// with the previous one.
const shards = 64

// View is an immutable snapshot of all workers.
type View struct {
	workers [shards]map[string]*Worker
	count   int
	groups  []*Group

	// mu guards lists, which caches the sorted workers of each service. It is filled on
	// demand, since daemons that only send to groups never need it.
	mu    sync.Mutex
	lists map[string][]Worker
}

func shardIndex(id string) int {
	h := fnv.New32a()
	h.Write([]byte(id))
	return int(h.Sum32() % shards)
}

// Worker returns a worker by its id.
func (v *View) Worker(id string) (Worker, bool) {
	w, ok := v.workers[shardIndex(id)][id]
	if !ok {
		return Worker{}, false
	}
	return *w, true
}

// ByService returns a service's workers in order of their ids.
func (v *View) ByService(service string) []Worker {
	v.mu.Lock()
	defer v.mu.Unlock()
	list, cached := v.lists[service]
	if cached {
		return list
	}
	for _, shard := range v.workers {
		for _, w := range shard {
			if w.Service == service {
				list = append(list, *w)
			}
		}
	}
	slices.SortFunc(list, func(a, b Worker) int { return cmp.Compare(a.ID, b.ID) })
	v.lists[service] = list
	return list
}

// Groups returns all groups in order of epoch.
func (v *View) Groups() []*Group { return v.groups }

// Len returns the number of workers.
func (v *View) Len() int { return v.count }

// builder builds each view from the previous one and the changes since, as a handful of
// thousands of workers change at a time. After a change of ten among 2,793 workers, a full
// rebuild takes 10 ms and 6.9 MB, an incremental one 0.06 ms and 0.04 MB
// (BenchmarkRegistry). Each daemon of a fleet builds several views a second while groups
// form.
type builder struct {
	workers [shards]map[string]*Worker
	count   int
	// changed marks the shards that changed since the last view.
	changed [shards]bool
	// members are the workers in a group, and lost those whose entry disappeared without an
	// announcement.
	members, lost map[GroupID]map[string]*Worker
	groups        map[GroupID]*Group
	// dirty are the groups that changed since the last view.
	dirty map[GroupID]bool
	last  *View
}

func newBuilder() *builder {
	return &builder{
		members: map[GroupID]map[string]*Worker{}, lost: map[GroupID]map[string]*Worker{},
		groups: map[GroupID]*Group{}, dirty: map[GroupID]bool{}, last: &View{},
	}
}

func (b *builder) worker(id string) (*Worker, bool) {
	w, ok := b.workers[shardIndex(id)][id]
	return w, ok
}

// all returns all workers by their ids. Workers may be removed during the iteration.
func (b *builder) all() iter.Seq2[string, *Worker] {
	return func(yield func(string, *Worker) bool) {
		for _, shard := range b.workers {
			for id, w := range shard {
				if !yield(id, w) {
					return
				}
			}
		}
	}
}

// put adds a worker, or replaces the one with the same id.
func (b *builder) put(w *Worker) {
	b.remove(w.ID)
	i := shardIndex(w.ID)
	if b.workers[i] == nil {
		b.workers[i] = map[string]*Worker{}
	}
	b.workers[i][w.ID] = w
	b.changed[i] = true
	b.count++
	b.addToGroup(b.members, w)
}

// remove removes a worker, if present.
func (b *builder) remove(id string) {
	i := shardIndex(id)
	w, ok := b.workers[i][id]
	if !ok {
		return
	}
	delete(b.workers[i], id)
	b.changed[i] = true
	b.count--
	b.removeFromGroup(b.members, w)
}

// addLost adds a worker to the lost ones, and removeLost removes it.
func (b *builder) addLost(w *Worker) { b.addToGroup(b.lost, w) }

func (b *builder) removeLost(w *Worker) { b.removeFromGroup(b.lost, w) }

func (b *builder) addToGroup(to map[GroupID]map[string]*Worker, w *Worker) {
	id := w.Membership.Group
	if id.Name == "" {
		return
	}
	if to[id] == nil {
		to[id] = map[string]*Worker{}
	}
	to[id][w.ID] = w
	b.dirty[id] = true
}

func (b *builder) removeFromGroup(from map[GroupID]map[string]*Worker, w *Worker) {
	id := w.Membership.Group
	if id.Name == "" {
		return
	}
	delete(from[id], w.ID)
	if len(from[id]) == 0 {
		delete(from, id)
	}
	b.dirty[id] = true
}

// view returns a view of the current workers, and the ids of lost members that are dropped
// because their group has no other members.
func (b *builder) view() (v *View, dropped []string) {
	v = &View{count: b.count, workers: b.last.workers, lists: map[string][]Worker{}}
	for i, changed := range b.changed {
		if changed {
			v.workers[i] = maps.Clone(b.workers[i])
		}
	}
	b.changed = [shards]bool{}
	for id := range b.dirty {
		if len(b.members[id]) > 0 {
			b.groups[id] = b.group(id)
			continue
		}
		delete(b.groups, id)
		dropped = slices.AppendSeq(dropped, maps.Keys(b.lost[id]))
		delete(b.lost, id)
	}
	clear(b.dirty)
	v.groups = slices.SortedFunc(maps.Values(b.groups), func(a, b *Group) int {
		return cmp.Or(cmp.Compare(a.ID.Epoch, b.ID.Epoch), cmp.Compare(a.ID.Name, b.ID.Name))
	})
	b.last = v
	return v, dropped
}

// group builds a group from its members.
func (b *builder) group(id GroupID) *Group {
	g := &Group{ID: id, Members: sortedByRank(b.members[id]), Lost: sortedByRank(b.lost[id])}
	g.Service = g.Members[0].Service
	g.Whole = isWhole(slices.SortedFunc(slices.Values(append(slices.Clone(g.Lost), g.Members...)), byRank))
	return g
}

// sortedByRank returns members of a group in order of rank.
func sortedByRank(members map[string]*Worker) []Worker {
	list := make([]Worker, 0, len(members))
	for _, w := range members {
		list = append(list, *w)
	}
	slices.SortFunc(list, func(a, b Worker) int { return cmp.Or(byRank(a, b), cmp.Compare(a.ID, b.ID)) })
	return list
}

func byRank(a, b Worker) int { return cmp.Compare(a.Membership.Rank, b.Membership.Rank) }

func isWhole(members []Worker) bool {
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
