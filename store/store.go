// Package store describes the external store that keeps what must outlive a
// process: rows under versions, with transactions and a feed of changes. The
// adapter that speaks to a real store implements Reader and Writer.
package store

import (
	"context"
	"fmt"
	"time"
)

// Row is one row of a table as of one version.
type Row struct {
	Key   string
	Value []byte
	// At is when the row last changed.
	At Position
	// Deleted tells that the row is gone; only changes carry it.
	Deleted bool
}

// Snapshot is an answer about rows.
type Snapshot struct {
	Rows []Row
	// At is where the store's history stood when it answered.
	At Position
	// Clock is the store's own steady clock when it answered.
	Clock time.Duration
	// Evidence is when the store was asked, if another daemon asked it; the zero
	// time if the reader did.
	Evidence time.Time
	// Gap tells that rows may have come and gone since the version that changes were asked
	// for, and aren't among them: somebody on the way has read all rows anew.
	Gap bool
}

// Condition demands that a row has a version of the store's present era; 0 demands that there
// is none.
type Condition struct {
	Table, Key string
	Version    uint64
}

// Write sets a row.
type Write struct {
	Table, Key string
	Value      []byte
}

// Txn is applied as a whole or not at all.
type Txn struct {
	Conditions []Condition
	Writes     []Write
	Deletes    []Write
}

// Reader reads rows.
type Reader interface {
	// Rows returns all rows of a table.
	Rows(ctx context.Context, table string) (Snapshot, error)
	// Changes returns what has changed since a position, as soon as there is
	// something, or nothing after wait. It returns *HistoryLostError if the
	// store no longer knows that far back, or is in another era.
	Changes(ctx context.Context, table string, since Position, wait time.Duration) (Snapshot, error)
}

// Writer commits transactions.
type Writer interface {
	// Commit returns the version and clock of the transaction, *ConflictError if
	// a condition didn't hold, or *CallError.
	Commit(ctx context.Context, txn Txn) (Snapshot, error)
}

// HistoryLostError tells that changes since a position can't be told any more.
type HistoryLostError struct {
	Table string
	// Era is the store's when it answered.
	Era uint64
}

// Error describes the error.
func (e *HistoryLostError) Error() string {
	return fmt.Sprintf("the store has dropped the history of %s", e.Table)
}

// ConflictError tells that nothing was committed because a condition failed.
type ConflictError struct {
	// Era is the store's when it answered.
	Era uint64
}

// Error describes the error.
func (e *ConflictError) Error() string { return "a condition of the transaction does not hold" }

// CallError tells that a call failed.
type CallError struct {
	Op string
	// Status is the HTTP status, 0 if there was no answer.
	Status int
	Err    error
}

// Error describes the error.
func (e *CallError) Error() string {
	if e.Err != nil {
		return fmt.Sprintf("store %s: %v", e.Op, e.Err)
	}
	return fmt.Sprintf("store %s: status %d", e.Op, e.Status)
}

// Unwrap returns the cause.
func (e *CallError) Unwrap() error { return e.Err }

// MayHaveRun tells whether the call may have taken effect, now or later.
func (e *CallError) MayHaveRun() bool { return e.Status == 0 }
