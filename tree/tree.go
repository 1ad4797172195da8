package tree

import (
	"bytes"
	"encoding/json"
	"maps"
	"slices"
)

// entry is one field of a node with the revision that set or removed it. A removed
// field keeps its entry as a tombstone, so that stale data can't restore it.
type entry struct {
	Value    json.RawMessage `json:"value"`
	Revision uint64          `json:"revision"`
}

func (e entry) set() bool { return len(e.Value) > 0 && !bytes.Equal(e.Value, []byte("null")) }

// node holds the overrides of one path, by field.
type node map[string]entry

func (n node) revision() uint64 {
	newest := uint64(0)
	for _, e := range n {
		newest = max(newest, e.Revision)
	}
	return newest
}

// Tree is an immutable snapshot of the settings at one revision.
type Tree struct {
	revision  uint64
	nodes     map[Path]node
	customers map[string]string // hash of an API key to the customer's name
	effective map[Path]*Effective
	pools     map[string]Pool
}

// Empty returns the tree before the first edit, at revision 0.
func Empty() *Tree {
	t, _ := compile(0, map[Path]node{})
	return t
}

// Revision returns the number of the last edit in the tree.
func (t *Tree) Revision() uint64 { return t.revision }

// Pools returns the names of all pools, sorted.
func (t *Tree) Pools() []string { return slices.Sorted(maps.Keys(t.pools)) }

// Pool returns a pool's settings.
func (t *Tree) Pool(name string) (Pool, bool) {
	pool, ok := t.pools[name]
	return pool, ok
}

// CustomerOf returns the customer whose API key has the given SHA-256 hash, in
// hexadecimal.
func (t *Tree) CustomerOf(keyHash string) (string, bool) {
	customer, ok := t.customers[keyHash]
	return customer, ok
}

// Effective returns the settings in force at a path, after inheritance. It returns
// false for a path that was never edited.
func (t *Tree) Effective(path Path) (*Effective, bool) {
	e, ok := t.effective[path]
	return e, ok
}

// Paths returns the paths at and below another, sorted.
func (t *Tree) Paths(below Path) []Path {
	var paths []Path
	for path := range t.nodes {
		if path.Within(below) {
			paths = append(paths, path)
		}
	}
	slices.Sort(paths)
	return paths
}

// Overrides returns the values that are set at the path itself, by field.
func (t *Tree) Overrides(path Path) map[string]json.RawMessage {
	overrides := map[string]json.RawMessage{}
	for name, e := range t.nodes[path] {
		if e.set() {
			overrides[name] = e.Value
		}
	}
	return overrides
}

// Effective holds the settings in force at one path, after inheritance.
type Effective struct {
	path         Path
	values       map[string]json.RawMessage
	pool         string
	share        float64
	queue        int
	retryPercent int
	kinds        map[string]Kind
}

// Defaults of fields that no node sets.
const (
	defaultShare        = 1.0
	defaultQueue        = 256
	defaultRetryPercent = 10
)

// Path returns the path that the settings apply to.
func (e *Effective) Path() Path { return e.path }

// Pool returns the name of the pool that serves requests.
func (e *Effective) Pool() string { return e.pool }

// Share returns the customer's weight among the customers with waiting requests.
func (e *Effective) Share() float64 { return e.share }

// Queue returns the maximum number of a customer's requests that wait at one
// daemon.
func (e *Effective) Queue() int { return e.queue }

// RetryPercent returns the maximum number of retries per 100 requests.
func (e *Effective) RetryPercent() int { return e.retryPercent }

// Kind returns the settings for one kind of request.
func (e *Effective) Kind(name string) (Kind, bool) {
	kind, ok := e.kinds[name]
	return kind, ok
}

// Kinds returns the names of the kinds, sorted.
func (e *Effective) Kinds() []string { return slices.Sorted(maps.Keys(e.kinds)) }

// MarshalJSON encodes all values in force.
func (e *Effective) MarshalJSON() ([]byte, error) { return json.Marshal(e.values) }
