package table

import "fmt"

// ConflictError says that a transaction's checks failed; nothing was written.
type ConflictError struct {
	rows []Row
}

// NewConflictError returns a conflict over the rows as they stand.
func NewConflictError(rows []Row) *ConflictError { return &ConflictError{rows: rows} }

// Error names the rows that had changed.
func (e *ConflictError) Error() string {
	keys := make([]string, 0, len(e.rows))
	for _, row := range e.rows {
		keys = append(keys, row.key)
	}
	return fmt.Sprintf("platform: rows changed by another writer: %v", keys)
}

// Rows returns the rows as they stand now.
func (e *ConflictError) Rows() []Row { return e.rows }

// UnavailableError says that the platform gave no usable answer.
type UnavailableError struct {
	op         string
	err        error
	mayHaveRun bool
}

// NewUnavailableError returns the error of an operation without an answer.
func NewUnavailableError(op string, err error, mayHaveRun bool) *UnavailableError {
	return &UnavailableError{op: op, err: err, mayHaveRun: mayHaveRun}
}

// Error names the operation.
func (e *UnavailableError) Error() string {
	return fmt.Sprintf("platform: %s: no answer: %v", e.op, e.err)
}

// Unwrap returns the cause.
func (e *UnavailableError) Unwrap() error { return e.err }

// MayHaveRun tells whether a write may have taken effect all the same.
func (e *UnavailableError) MayHaveRun() bool { return e.mayHaveRun }

// RequestError says that a request could not be put together or a value read.
type RequestError struct {
	op  string
	err error
}

// Error names the operation.
func (e *RequestError) Error() string { return fmt.Sprintf("platform: %s: %v", e.op, e.err) }

// Unwrap returns the cause.
func (e *RequestError) Unwrap() error { return e.err }
