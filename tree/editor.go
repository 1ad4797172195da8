package tree

import (
	"context"
	"errors"
	"time"

	"github.com/pointpass/pointpass/audit"
	"github.com/pointpass/pointpass/table"
)

// maxEditAttempts limits the attempts to commit an edit while other edits conflict
// or the platform doesn't respond.
const maxEditAttempts = 5

// Store is the part of the platform's table that an Editor uses.
type Store interface {
	Commit(ctx context.Context, txn table.Txn) (uint64, error)
	Scan(ctx context.Context, after uint64, prefixes ...string) (table.Changes, error)
}

// Editor writes accepted edits to the platform's table. Each is one transaction,
// which fails if another edit was committed in the meantime.
type Editor struct {
	store Store
	now   func() time.Time
}

// NewEditor returns an editor that writes to a store.
func NewEditor(store Store, now func() time.Time) *Editor {
	return &Editor{store: store, now: now}
}

// Request is an operator's edit.
type Request struct {
	id      string
	who     string
	why     string
	base    uint64
	changes []Change
}

// NewRequest returns an edit that is based on revision base. The id makes it safe
// to retry the edit after a lost response.
func NewRequest(id, who, why string, base uint64, changes []Change) Request {
	return Request{id: id, who: who, why: why, base: base, changes: changes}
}

type editRow struct {
	Revision uint64 `json:"revision"`
}

// Edit commits the edit and returns its revision and the resulting tree. An edit
// that was already accepted under the same id is not written again.
func (e *Editor) Edit(ctx context.Context, req Request) (uint64, *Tree, error) {
	var lastErr error
	unknown := false
	for range maxEditAttempts {
		revision, t, err := e.tryCommit(ctx, req)
		if err == nil {
			return revision, t, nil
		}
		lastErr = err
		var conflict *table.ConflictError
		var unavailable *table.UnavailableError
		switch {
		case errors.As(err, &conflict):
		case errors.As(err, &unavailable):
			unknown = unknown || unavailable.MayHaveRun()
		default:
			return 0, nil, err
		}
		if ctx.Err() != nil {
			break
		}
	}
	return 0, nil, &StoreError{err: lastErr, unknown: unknown}
}

func (e *Editor) tryCommit(ctx context.Context, req Request) (uint64, *Tree, error) {
	editKey := editPrefix + req.id
	changes, err := e.store.Scan(ctx, 0, Prefix, editKey)
	if err != nil {
		return 0, nil, err
	}
	current, headVersion, err := treeFromRows(changes)
	if err != nil {
		return 0, nil, err
	}
	if revision, done := acceptedRevision(changes, editKey); done {
		return revision, current, nil
	}
	next, err := current.Edit(req.base, req.changes)
	if err != nil {
		return 0, nil, err
	}
	txn := e.transaction(req, current, next, headVersion)
	if _, err := e.store.Commit(ctx, *txn); err != nil {
		return 0, nil, err
	}
	return next.revision, next, nil
}

func (e *Editor) transaction(req Request, current, next *Tree, headVersion uint64) *table.Txn {
	txn := &table.Txn{}
	txn.Check(headKey, headVersion)
	txn.Check(editPrefix+req.id, 0)
	txn.Put(headKey, headRow{Revision: next.revision})
	txn.Put(editPrefix+req.id, editRow{Revision: next.revision})
	for _, change := range req.changes {
		txn.Put(nodePrefix+string(change.path), next.nodes[change.path])
		before := current.nodes[change.path][change.field]
		subject := "tree" + string(change.path) + " " + change.field
		record := audit.NewEntry(e.now(), req.who, "settings.edit", subject, req.why).WithChange(string(before.Value), string(change.value))
		audit.Append(txn, record)
	}
	return txn
}

func treeFromRows(changes table.Changes) (*Tree, uint64, error) {
	headVersion := uint64(0)
	for _, row := range changes.Rows() {
		if row.Key() == headKey {
			headVersion = row.Version()
		}
	}
	t, err := mergeRows(nil, changes.Rows())
	if err != nil {
		return nil, 0, err
	}
	if t == nil {
		t = Empty()
	}
	return t, headVersion, nil
}

func acceptedRevision(changes table.Changes, editKey string) (uint64, bool) {
	for _, row := range changes.Rows() {
		var accepted editRow
		if row.Key() == editKey && row.Decode(&accepted) == nil {
			return accepted.Revision, true
		}
	}
	return 0, false
}
