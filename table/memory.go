package table

import (
	"context"
	"slices"
	"strings"
	"sync"
)

// Memory is an in-memory table with the behavior of the platform's table, for tests and
// the testbed's fake platform.
type Memory struct {
	mu      sync.Mutex
	version uint64
	rows    map[string]Row
}

// NewMemory returns an empty table.
func NewMemory() *Memory { return &Memory{rows: map[string]Row{}} }

// Commit applies a transaction atomically, or returns a *ConflictError.
func (m *Memory) Commit(_ context.Context, txn Txn) (uint64, error) {
	if txn.err != nil {
		return 0, &RequestError{op: "commit", err: txn.err}
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	var conflicts []Row
	for _, c := range txn.checks {
		if found := m.current(c.Key); found.version != c.Version {
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

// current returns the row of a key, with version 0 if there is none. The caller holds
// the lock.
func (m *Memory) current(key string) Row {
	found, ok := m.rows[key]
	if !ok || found.deleted {
		return Row{key: key, deleted: true}
	}
	return found
}

// Scan returns the rows under the prefixes that changed after a version. A scan after
// version 0 leaves out removed rows.
func (m *Memory) Scan(_ context.Context, after uint64, prefixes ...string) (Changes, error) {
	return m.selectRows(func(r Row) bool {
		return r.version > after && (after > 0 || !r.deleted) && slices.ContainsFunc(prefixes, r.HasPrefix)
	}), nil
}

// Last returns the last rows under a prefix, at most limit of them, sorted by key.
func (m *Memory) Last(_ context.Context, prefix string, limit int) (Changes, error) {
	found := m.selectRows(func(r Row) bool { return !r.deleted && r.HasPrefix(prefix) })
	found.rows = found.rows[max(0, len(found.rows)-limit):]
	return found, nil
}

func (m *Memory) selectRows(match func(Row) bool) Changes {
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
