package replica

import (
	"cmp"
	"encoding/json"
	"maps"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/pointpass/pointpass/store"
)

// TableSnapshot holds the contents of LeaseTable at one time. It is immutable.
type TableSnapshot struct {
	Control
	// NodeVersions are the versions of the rows by which nodes announced themselves, by name.
	NodeVersions map[string]uint64
	// OtherRows are the rows that belong neither to a node nor to the lease.
	OtherRows []store.Row
	// At is the position of the store's history at that time, and Clock a lower bound of what
	// its clock shows now.
	At    store.Position
	Clock time.Duration
	// Evidence is when the store was queried.
	Evidence time.Time

	lease        leaseRow
	leaseVersion uint64
}

// leasePosition returns the position of the last change of the lease's row; its version is 0 if
// there is no row.
func (k TableSnapshot) leasePosition() store.Position { return store.At(k.At.Era(), k.leaseVersion) }

// Directory follows LeaseTable row by row. The lease's row changes every 1.5 s and is one of a
// thousand where there are as many nodes: reading all of them takes 2.4 ms and produces 0.5 MB
// of garbage, applying a renewal takes 1.3 us (BenchmarkDirectory, 984 nodes). Each node checks
// the lease twice a second, and receives changes more often than once a second. It is safe for
// concurrent use.
type Directory struct {
	now func() time.Time

	mu      sync.Mutex
	current TableSnapshot
	// clockReadAt is the local time at which Clock was read.
	clockReadAt time.Time
	nodes       map[string]Node
	others      map[string]store.Row
}

// NewDirectory returns an empty directory.
func NewDirectory(now func() time.Time) *Directory {
	return &Directory{now: now, nodes: map[string]Node{}, others: map[string]store.Row{}, current: TableSnapshot{NodeVersions: map[string]uint64{}}}
}

// Apply applies an update from the store, and reports whether the nodes have changed.
func (d *Directory) Apply(u store.Update) (nodesChanged bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if u.Full {
		clear(d.nodes)
		clear(d.others)
		d.current.lease = leaseRow{}
		d.current.leaseVersion = 0
		d.current.NodeVersions = map[string]uint64{}
	}
	nodesChanged = u.Full
	othersChanged := u.Full
	for _, r := range u.Rows {
		name, isNode := strings.CutPrefix(r.Key, nodePrefix)
		switch {
		case isNode:
			d.applyNode(name, r, nodesChanged)
			nodesChanged = true
		case r.Key == leaseKey:
			d.applyLease(r)
		default:
			d.applyOther(r)
			othersChanged = true
		}
	}
	if nodesChanged {
		d.current.Nodes = slices.SortedFunc(maps.Values(d.nodes), func(a, b Node) int { return cmp.Compare(a.Name, b.Name) })
	}
	if othersChanged {
		d.current.OtherRows = slices.SortedFunc(maps.Values(d.others), func(a, b store.Row) int { return cmp.Compare(a.Key, b.Key) })
	}
	d.current.Holder = d.current.lease.Holder
	d.current.Term = d.current.lease.Term
	d.applyPosition(u)
	return nodesChanged
}

// applyNode applies the row of a node. Owned is set if no snapshot shares the map of versions
// yet, so that it may be changed in place.
func (d *Directory) applyNode(name string, r store.Row, owned bool) {
	if !owned {
		d.current.NodeVersions = maps.Clone(d.current.NodeVersions)
	}
	if r.Deleted {
		delete(d.nodes, name)
		delete(d.current.NodeVersions, name)
		return
	}
	n := Node{}
	json.Unmarshal(r.Value, &n) // an unreadable row still counts as a node
	n.Name = name
	d.nodes[name] = n
	d.current.NodeVersions[name] = r.At.Version()
}

func (d *Directory) applyLease(r store.Row) {
	d.current.lease = leaseRow{}
	d.current.leaseVersion = 0
	if r.Deleted {
		return
	}
	json.Unmarshal(r.Value, &d.current.lease) // an unreadable row counts as a lease that ended
	d.current.leaseVersion = r.At.Version()
}

func (d *Directory) applyOther(r store.Row) {
	if r.Deleted {
		delete(d.others, r.Key)
		return
	}
	d.others[r.Key] = r
}

// applyPosition applies the position, clock and evidence of an update. The caller holds the
// lock.
func (d *Directory) applyPosition(u store.Update) {
	if d.current.At.Era() < u.At.Era() {
		d.current.Clock = 0
	}
	d.current.At = store.Later(d.current.At, u.At)
	if u.Clock > d.current.Clock {
		d.current.Clock = u.Clock
		d.clockReadAt = d.now()
	}
	if u.Evidence.After(d.current.Evidence) {
		d.current.Evidence = u.Evidence
	}
}

// Snapshot returns the current contents, and false before the first update.
func (d *Directory) Snapshot() (TableSnapshot, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	k := d.current
	if !k.At.IsSet() {
		return k, false
	}
	k.Clock += d.now().Sub(d.clockReadAt)
	return k, true
}
