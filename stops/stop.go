// Package stops stores the planned stops that operators announce. A VM with an
// announced stop gets no new work; its group finishes the requests in flight and
// is then dissolved.
package stops

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/pointpass/pointpass/audit"
	"github.com/pointpass/pointpass/table"
)

// Prefix is the key prefix of the rows that store announced stops.
const Prefix = "control/stop/"

// Stop is an announced stop of a VM or of a group.
type Stop struct {
	id    string
	who   string
	why   string
	vm    string
	group string
	time  time.Time
}

// NewStop returns a stop of either a VM or a group; the other id is empty.
func NewStop(id, who, why, vm, group string, now time.Time) Stop {
	return Stop{id: id, who: who, why: why, vm: vm, group: group, time: now}
}

// ID returns the stop's id.
func (s Stop) ID() string { return s.id }

// Who returns the name of the operator who announced the stop.
func (s Stop) Who() string { return s.who }

// Why returns the reason that the operator gave.
func (s Stop) Why() string { return s.why }

// VM returns the VM that stops, or "".
func (s Stop) VM() string { return s.vm }

// Group returns the group that stops, or "".
func (s Stop) Group() string { return s.group }

// Time returns when the stop was announced.
func (s Stop) Time() time.Time { return s.time }

type stopRow struct {
	Who    string `json:"who"`
	Why    string `json:"why"`
	VM     string `json:"vm,omitempty"`
	Group  string `json:"group,omitempty"`
	TimeMS int64  `json:"time_ms"`
}

// Registry holds the announced stops that this daemon has read.
type Registry struct {
	mu    sync.RWMutex
	stops map[string]Stop
}

// NewRegistry returns an empty registry.
func NewRegistry() *Registry { return &Registry{stops: map[string]Stop{}} }

// ApplyRows updates the stops from changed rows of the platform's table. An
// unreadable row removes its stop.
func (b *Registry) ApplyRows(rows []table.Row, _ time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	table.Apply(b.stops, Prefix, rows, func(id string, r stopRow, _ table.Row) Stop {
		return NewStop(id, r.Who, r.Why, r.VM, r.Group, time.UnixMilli(r.TimeMS))
	})
}

// List returns the stops, sorted by id.
func (b *Registry) List() []Stop {
	b.mu.RLock()
	defer b.mu.RUnlock()
	var list []Stop
	for _, id := range slices.Sorted(maps.Keys(b.stops)) {
		list = append(list, b.stops[id])
	}
	return list
}

// StopsVM reports whether a stop is announced for the VM itself.
func (b *Registry) StopsVM(vm string) bool {
	return b.any(func(s Stop) bool { return s.vm == vm })
}

// StopsGroup reports whether a stop is announced for the group itself.
func (b *Registry) StopsGroup(group string) bool {
	return b.any(func(s Stop) bool { return s.group == group })
}

func (b *Registry) any(match func(Stop) bool) bool {
	b.mu.RLock()
	defer b.mu.RUnlock()
	for _, s := range b.stops {
		if match(s) {
			return true
		}
	}
	return false
}

// Store is the part of the platform's table that an Announcer uses.
type Store interface {
	Commit(ctx context.Context, txn table.Txn) (uint64, error)
	Scan(ctx context.Context, after uint64, prefixes ...string) (table.Changes, error)
}

// Announcer writes and removes stops in the platform's table.
type Announcer struct {
	store Store
	now   func() time.Time
}

// NewAnnouncer returns an announcer that writes to a store.
func NewAnnouncer(store Store, now func() time.Time) *Announcer {
	return &Announcer{store: store, now: now}
}

// Announce writes a stop. Announcing the same id again changes nothing, so the call
// is safe to retry after a lost response.
func (a *Announcer) Announce(ctx context.Context, s Stop) error {
	row := stopRow{Who: s.who, Why: s.why, VM: s.vm, Group: s.group, TimeMS: s.time.UnixMilli()}
	txn := (&table.Txn{}).Check(Prefix+s.id, 0).Put(Prefix+s.id, row)
	audit.Append(txn, audit.NewEntry(a.now(), s.who, "stop.announce", s.vm+s.group, s.why).WithChange("", s.id))
	_, err := a.store.Commit(ctx, *txn)
	var conflict *table.ConflictError
	if errors.As(err, &conflict) {
		return nil
	}
	if err != nil {
		return &WriteError{id: s.id, err: err}
	}
	return nil
}

// Cancel removes a stop. It fails with a NotFoundError if there is none.
func (a *Announcer) Cancel(ctx context.Context, id, who string) error {
	changes, err := a.store.Scan(ctx, 0, Prefix+id)
	if err != nil {
		return &WriteError{id: id, err: err}
	}
	for _, row := range changes.Rows() {
		if row.Key() != Prefix+id || row.Deleted() {
			continue
		}
		txn := (&table.Txn{}).Check(row.Key(), row.Version()).Delete(row.Key())
		audit.Append(txn, audit.NewEntry(a.now(), who, "stop.cancel", id, ""))
		if _, err := a.store.Commit(ctx, *txn); err != nil {
			return &WriteError{id: id, err: err}
		}
		return nil
	}
	return &NotFoundError{id: id}
}

// WriteError reports that a stop could not be written or removed.
type WriteError struct {
	id  string
	err error
}

// Error returns the message with the stop's id.
func (e *WriteError) Error() string { return fmt.Sprintf("stop %s: %v", e.id, e.err) }

// Unwrap returns the cause.
func (e *WriteError) Unwrap() error { return e.err }

// NotFoundError reports that there is no such stop.
type NotFoundError struct {
	id string
}

// Error returns the message with the stop's id.
func (e *NotFoundError) Error() string { return fmt.Sprintf("no stop named %q is announced", e.id) }
