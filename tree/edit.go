package tree

import (
	"encoding/json"
	"maps"
)

// Change sets one field of one node, or removes its override if the value is
// empty.
type Change struct {
	path  Path
	field string
	value json.RawMessage
}

// NewChange returns a change after validating its path, field and value. Edit
// validates it against the rest of the tree.
func NewChange(path, field string, value json.RawMessage) (Change, error) {
	p, err := ParsePath(path)
	if err != nil {
		return Change{}, err
	}
	if len(value) == 0 {
		value = nil
	}
	if err := checkField(p, field, value); err != nil {
		return Change{}, err
	}
	return Change{path: p, field: field, value: value}, nil
}

// Path returns the node that is changed.
func (c Change) Path() Path { return c.path }

// Field returns the name of the field.
func (c Change) Field() string { return c.field }

// Value returns the new value; empty means that the override is removed.
func (c Change) Value() json.RawMessage { return c.value }

// Edit returns the tree with the changes applied. It fails with a ConflictError if
// a field was changed after revision base, on which the changes are based.
func (t *Tree) Edit(base uint64, changes []Change) (*Tree, error) {
	nodes := maps.Clone(t.nodes)
	revision := t.revision + 1
	for _, change := range changes {
		old := t.nodes[change.path][change.field]
		if old.Revision > base {
			return nil, &ConflictError{path: change.path, field: change.field, revision: old.Revision, value: string(old.Value)}
		}
	}
	for _, change := range changes {
		edited := maps.Clone(nodes[change.path])
		if edited == nil {
			edited = node{}
		}
		edited[change.field] = entry{Value: change.value, Revision: revision}
		nodes[change.path] = edited
	}
	return compile(revision, nodes)
}
