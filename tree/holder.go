package tree

import (
	"encoding/json"
	"maps"
	"strings"
	"sync"
	"sync/atomic"

	"github.com/pointpass/pointpass/table"
)

// The rows that hold the tree. A node's row is nodePrefix and its path.
const (
	Prefix     = "tree/"
	headKey    = Prefix + "head"
	nodePrefix = Prefix + "node"
	editPrefix = "tree-edit/"
)

type headRow struct {
	Revision uint64 `json:"revision"`
}

// Holder holds the newest tree that this daemon knows. It never goes back to
// an older revision, whatever it is given.
type Holder struct {
	mu      sync.Mutex
	current atomic.Pointer[Tree]
	changed func(*Tree)
}

// NewHolder returns a holder without a tree. The function is called after
// each change, with the new tree.
func NewHolder(changed func(*Tree)) *Holder {
	return &Holder{changed: changed}
}

// Current returns the newest tree, or nil before the first is known.
func (h *Holder) Current() *Tree { return h.current.Load() }

// Revision returns the newest tree's revision, 0 before the first is known.
func (h *Holder) Revision() uint64 {
	if t := h.Current(); t != nil {
		return t.revision
	}
	return 0
}

// ApplyRows takes in rows of the platform's table, all read at one moment.
func (h *Holder) ApplyRows(rows []table.Row) error {
	h.mu.Lock()
	defer h.mu.Unlock()
	next, err := mergeRows(h.current.Load(), rows)
	if err != nil {
		return err
	}
	h.advance(next)
	return nil
}

// Replace takes in a tree that a peer knows, if it is newer.
func (h *Holder) Replace(t *Tree) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.advance(t)
}

func (h *Holder) advance(next *Tree) {
	current := h.current.Load()
	if next == nil || (current != nil && next.revision <= current.revision) {
		return
	}
	h.current.Store(next)
	h.changed(next)
}

// mergeRows returns the tree that rows lead to, or nil if they hold none. A
// row that is older than what the tree holds changes nothing.
func mergeRows(t *Tree, rows []table.Row) (*Tree, error) {
	if t == nil {
		t = Empty()
	}
	nodes := maps.Clone(t.nodes)
	revision := t.revision
	for _, row := range rows {
		if row.Key() == headKey {
			var head headRow
			if err := row.Decode(&head); err != nil {
				return nil, &StoreError{err: err}
			}
			revision = max(revision, head.Revision)
			continue
		}
		path, found := strings.CutPrefix(row.Key(), nodePrefix)
		if !found || row.Deleted() {
			continue
		}
		var n node
		if err := row.Decode(&n); err != nil {
			return nil, &StoreError{err: err}
		}
		if n.revision() > nodes[Path(path)].revision() {
			nodes[Path(path)] = n
		}
	}
	if revision == t.revision {
		return nil, nil
	}
	return compile(revision, nodes)
}

// ExportedNode is one node on its way to a peer.
type ExportedNode struct {
	path   Path
	fields []byte
}

// Path returns the node's path.
func (n ExportedNode) Path() Path { return n.path }

// Fields returns the node's entries as JSON.
func (n ExportedNode) Fields() []byte { return n.fields }

// Export returns all nodes for a peer to import.
func (t *Tree) Export() []ExportedNode {
	exported := make([]ExportedNode, 0, len(t.nodes))
	for _, path := range t.Paths(Root) {
		data, _ := json.Marshal(t.nodes[path])
		exported = append(exported, ExportedNode{path: path, fields: data})
	}
	return exported
}

// Import returns the tree that a peer exported at a revision. Nodes are given
// as path and entries.
func Import(revision uint64, exported map[Path][]byte) (*Tree, error) {
	nodes := map[Path]node{}
	for path, data := range exported {
		var n node
		if err := json.Unmarshal(data, &n); err != nil {
			return nil, &FieldError{path: string(path), text: err.Error()}
		}
		nodes[path] = n
	}
	return compile(revision, nodes)
}
