package table

import (
	"context"
	"slices"
	"strings"
	"sync"
)

// Memory is a table in memory. It behaves as the platform's and is used in
// tests and by the testbed's stand-in.
type Memory struct {
	mu      sync.Mutex
	version uint64
	rows    map[string]Row
}

// NewMemory returns an empty table.
func NewMemory() *Memory { return &Memory{rows: map[string]Row{}} }

// Commit applies all of a transaction, or returns a *ConflictError.
func (m *Memory) Commit(_ context.Context, txn Txn) (uint64, error) {
	if txn.err != nil {
		return 0, &RequestError{op: "commit", err: txn.err}
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	var conflicts []Row
	for _, c := range txn.checks {
		if found := m.present(c.Key); found.version != c.Version {
			conflicts = append(conflicts, found)
		}
	}
	if len(conflicts) > 0 {
		return 0, &ConflictError{rows: conflicts}
	}
	m.version++
	for _, p := range txn.puts {
		m.rows[p.Key] = Row{key: p.Key, version: m.version, value: p.Value}
	}
	for _, key := range txn.deletes {
		m.rows[key] = Row{key: key, version: m.version, deleted: true}
	}
	return m.version, nil
}

// present returns a row, with version 0 if there is none.
func (m *Memory) present(key string) Row {
	found, ok := m.rows[key]
	if !ok || found.deleted {
		return Row{key: key, deleted: true}
	}
	return found
}

// Scan returns the rows under the prefixes that changed after a version. A
// scan of all, after version 0, leaves out removed rows.
func (m *Memory) Scan(_ context.Context, after uint64, prefixes ...string) (Changes, error) {
	return m.find(func(r Row) bool {
		return r.version > after && (after > 0 || !r.deleted) && slices.ContainsFunc(prefixes, r.Under)
	}), nil
}

// Last returns up to limit of the last rows under a prefix, in order of keys.
func (m *Memory) Last(_ context.Context, prefix string, limit int) (Changes, error) {
	found := m.find(func(r Row) bool { return !r.deleted && r.Under(prefix) })
	found.rows = found.rows[max(0, len(found.rows)-limit):]
	return found, nil
}

func (m *Memory) find(match func(Row) bool) Changes {
	m.mu.Lock()
	defer m.mu.Unlock()
	found := Changes{version: m.version}
	for _, r := range m.rows {
		if match(r) {
			found.rows = append(found.rows, r)
		}
	}
	slices.SortFunc(found.rows, func(a, b Row) int { return strings.Compare(a.key, b.key) })
	return found
}
