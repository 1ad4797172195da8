package tree

import (
	"encoding/json"
	"maps"
	"slices"
	"strings"
)

// compile validates the nodes against each other and precomputes the effective
// settings of every path, so that requests only look them up.
func compile(revision uint64, nodes map[Path]node) (*Tree, error) {
	t := &Tree{
		revision:  revision,
		nodes:     nodes,
		customers: map[string]string{},
		effective: map[Path]*Effective{},
		pools:     map[string]Pool{},
	}
	paths := slices.Sorted(maps.Keys(nodes))
	slices.SortStableFunc(paths, func(a, b Path) int { return int(a.Level()) - int(b.Level()) })
	for name, e := range nodes[Root] {
		key, found := strings.CutPrefix(name, "pools.")
		if !found || !e.set() {
			continue
		}
		var pool Pool
		if err := json.Unmarshal(e.Value, &pool); err != nil {
			return nil, &FieldError{path: string(Root), field: name, text: err.Error()}
		}
		t.pools[key] = pool
	}
	for _, path := range paths {
		if err := t.compileNode(path); err != nil {
			return nil, err
		}
	}
	return t, nil
}

func (t *Tree) compileNode(path Path) error {
	e := &Effective{
		path:         path,
		values:       map[string]json.RawMessage{},
		share:        defaultShare,
		queue:        defaultQueue,
		retryPercent: defaultRetryPercent,
		kinds:        map[string]Kind{},
	}
	for _, ancestor := range lineage(path) {
		for name, entry := range t.nodes[ancestor] {
			if entry.set() {
				e.values[name] = entry.Value
			}
		}
	}
	for name, value := range e.values {
		if err := t.compileValue(e, name, value); err != nil {
			return &FieldError{path: string(path), field: name, text: err.Error()}
		}
	}
	if e.pool != "" {
		if _, ok := t.pools[e.pool]; !ok {
			return &FieldError{path: string(path), field: "pool", text: "no pool named " + e.pool + " at /"}
		}
	}
	t.effective[path] = e
	return nil
}

func (t *Tree) compileValue(e *Effective, name string, value json.RawMessage) error {
	if kindName, found := strings.CutPrefix(name, "kinds."); found {
		var kind Kind
		err := json.Unmarshal(value, &kind)
		e.kinds[kindName] = kind
		return err
	}
	switch name {
	case "pool":
		return json.Unmarshal(value, &e.pool)
	case "share":
		return json.Unmarshal(value, &e.share)
	case "queue":
		return json.Unmarshal(value, &e.queue)
	case "retry_percent":
		return json.Unmarshal(value, &e.retryPercent)
	case "api_keys":
		return t.compileAPIKeys(e.path, value)
	}
	return nil
}

func (t *Tree) compileAPIKeys(path Path, value json.RawMessage) error {
	var hashes []string
	if err := json.Unmarshal(value, &hashes); err != nil {
		return err
	}
	customer := path.Customer()
	for _, hash := range hashes {
		if other, taken := t.customers[hash]; taken && other != customer {
			return &FieldError{path: string(path), field: "api_keys", text: "a key belongs to " + other + " already"}
		}
		t.customers[hash] = customer
	}
	return nil
}

// lineage returns the ancestors of a path, starting at the root, and then the path
// itself.
func lineage(path Path) []Path {
	if path == Root {
		return []Path{Root}
	}
	return append(lineage(path.Parent()), path)
}
