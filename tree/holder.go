package tree

import (
	"encoding/json"
	"maps"
	"strings"
	"sync"
	"sync/atomic"

	"github.com/pointpass/pointpass/table"
)

// Keys of the rows that store the tree. A node's key is nodePrefix and its path.
const (
	Prefix     = "tree/"
	headKey    = Prefix + "head"
	nodePrefix = Prefix + "node"
	editPrefix = "tree-edit/"
)

type headRow struct {
	Revision uint64 `json:"revision"`
}

// Holder holds the newest tree that this daemon has seen. Its revision never
// decreases, even if it receives older rows or trees.
type Holder struct {
	mu       sync.Mutex
	current  atomic.Pointer[Tree]
	onChange func(*Tree)
}

// NewHolder returns a holder without a tree. It calls onChange with each new tree.
func NewHolder(onChange func(*Tree)) *Holder {
	return &Holder{onChange: onChange}
}

// Current returns the newest tree, or nil before the first one is received.
func (h *Holder) Current() *Tree { return h.current.Load() }

// Revision returns the newest tree's revision, or 0 before the first one is
// received.
func (h *Holder) Revision() uint64 {
	if t := h.Current(); t != nil {
		return t.revision
	}
	return 0
}

// ApplyRows merges rows of the platform's table. All rows must come from one
// consistent read.
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

// Replace adopts a peer's tree if it is newer.
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
	h.onChange(next)
}

// mergeRows returns the tree with the rows applied, or nil if they contain no newer
// revision. Rows that are older than the tree's nodes are ignored.
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

// ExportedNode is a node in the form in which peers exchange it.
type ExportedNode struct {
	path   Path
	fields []byte
}

// Path returns the node's path.
func (n ExportedNode) Path() Path { return n.path }

// Fields returns the node's entries, with their revisions, as JSON.
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

// Import returns the tree that a peer exported at a revision. The map holds each
// node's entries as JSON, by path.
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
