// Package store defines the interface to the external store of all data that must outlive a
// process: versioned rows, with transactions and a feed of changes. The adapter of a real
// store implements Reader and Writer.
package store

import (
	"context"
	"fmt"
	"time"
)

// Row is one row of a table at one version.
type Row struct {
	Key   string
	Value []byte
	// At is the position of the row's last change.
	At Position
	// Deleted reports that the row was deleted. It is only set in changes.
	Deleted bool
}

// Snapshot is the result of a read or a commit.
type Snapshot struct {
	Rows []Row
	// At is the store's position when it answered.
	At Position
	// Clock is the reading of the store's monotonic clock when it answered.
	Clock time.Duration
	// Evidence is when another daemon queried the store; the zero time if the reader
	// queried it itself.
	Evidence time.Time
	// Gap reports that rows may have been added and deleted since the requested position
	// without being included: a relay on the path has read all rows again.
	Gap bool
}

// Condition requires that a row has a version of the store's current era; 0 requires that
// it doesn't exist.
type Condition struct {
	Table, Key string
	Version    uint64
}

// Write sets a row.
type Write struct {
	Table, Key string
	Value      []byte
}

// Txn is a transaction, applied atomically.
type Txn struct {
	Conditions []Condition
	Writes     []Write
	Deletes    []Write
}

// Reader reads rows.
type Reader interface {
	// Rows returns all rows of a table.
	Rows(ctx context.Context, table string) (Snapshot, error)
	// Changes returns the changes since a position as soon as there are any, or none after
	// wait. It returns *HistoryLostError if the store's history doesn't reach back that
	// far, or if the store is in another era.
	Changes(ctx context.Context, table string, since Position, wait time.Duration) (Snapshot, error)
}

// Writer commits transactions.
type Writer interface {
	// Commit returns the version and clock of the transaction, *ConflictError if a
	// condition failed, or *CallError.
	Commit(ctx context.Context, txn Txn) (Snapshot, error)
}

// HistoryLostError reports that the changes since a position are no longer available.
type HistoryLostError struct {
	Table string
	// Era is the store's era when it answered.
	Era uint64
}

// Error implements error.
func (e *HistoryLostError) Error() string {
	return fmt.Sprintf("the store has dropped the history of %s", e.Table)
}

// ConflictError reports that a transaction was rejected because a condition failed.
type ConflictError struct {
	// Era is the store's era when it answered.
	Era uint64
}

// Error implements error.
func (e *ConflictError) Error() string { return "a condition of the transaction does not hold" }

// CallError reports that a call failed.
type CallError struct {
	Op string
	// Status is the HTTP status, 0 without an answer.
	Status int
	Err    error
}

// Error implements error.
func (e *CallError) Error() string {
	if e.Err != nil {
		return fmt.Sprintf("store %s: %v", e.Op, e.Err)
	}
	return fmt.Sprintf("store %s: status %d", e.Op, e.Status)
}

// Unwrap returns the cause.
func (e *CallError) Unwrap() error { return e.Err }

// MayHaveTakenEffect reports whether the call may have taken effect, or may still do so.
func (e *CallError) MayHaveTakenEffect() bool { return e.Status == 0 }
