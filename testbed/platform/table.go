// Package platform is a stand-in for the platform that pointpass runs on: a
// transactional table, an object store and a VM list, with their limits and
// their failures.
package platform

import (
	"encoding/json"
	"maps"
	"slices"
	"strings"
	"sync"
)

// row is one row of the table; removed rows stay as marks of their removal.
type row struct {
	Key     string          `json:"key"`
	Version uint64          `json:"version"`
	Value   json.RawMessage `json:"value"`
	Deleted bool            `json:"deleted"`
}

type check struct {
	Key     string `json:"key"`
	Version uint64 `json:"version"`
}

type put struct {
	Key   string          `json:"key"`
	Value json.RawMessage `json:"value"`
}

type transaction struct {
	Checks  []check  `json:"checks"`
	Puts    []put    `json:"puts"`
	Deletes []string `json:"deletes"`
}

// table is the transactional table. Every commit gets the next version.
type table struct {
	mu      sync.Mutex
	version uint64
	rows    map[string]row
}

func newTable() *table { return &table{rows: map[string]row{}} }

// commit applies a transaction, or returns the rows that speak against it.
func (t *table) commit(txn transaction) (uint64, []row) {
	t.mu.Lock()
	defer t.mu.Unlock()
	var conflicts []row
	for _, c := range txn.Checks {
		found, ok := t.rows[c.Key]
		current := found.Version
		if !ok || found.Deleted {
			current = 0
		}
		if current != c.Version {
			found.Key = c.Key
			found.Deleted = current == 0
			conflicts = append(conflicts, found)
		}
	}
	if len(conflicts) > 0 {
		return 0, conflicts
	}
	t.version++
	for _, p := range txn.Puts {
		t.rows[p.Key] = row{Key: p.Key, Version: t.version, Value: p.Value}
	}
	for _, key := range txn.Deletes {
		t.rows[key] = row{Key: key, Version: t.version, Deleted: true}
	}
	return t.version, nil
}

// scan returns the rows under the prefixes that changed after a version.
// Removed rows are left out of a first scan, which asks for all after 0.
func (t *table) scan(after uint64, prefixes []string) (uint64, []row) {
	t.mu.Lock()
	defer t.mu.Unlock()
	found := []row{}
	for _, r := range t.rows {
		if r.Version <= after || (after == 0 && r.Deleted) || !underAny(r.Key, prefixes) {
			continue
		}
		found = append(found, r)
	}
	sortRows(found)
	return t.version, found
}

// last returns the last rows under a prefix, in order of keys.
func (t *table) last(prefix string, limit int) (uint64, []row) {
	t.mu.Lock()
	defer t.mu.Unlock()
	found := []row{}
	for r := range maps.Values(t.rows) {
		if !r.Deleted && strings.HasPrefix(r.Key, prefix) {
			found = append(found, r)
		}
	}
	sortRows(found)
	return t.version, found[max(0, len(found)-limit):]
}

func sortRows(rows []row) {
	slices.SortFunc(rows, func(a, b row) int { return strings.Compare(a.Key, b.Key) })
}

func underAny(key string, prefixes []string) bool {
	return slices.ContainsFunc(prefixes, func(prefix string) bool { return strings.HasPrefix(key, prefix) })
}
