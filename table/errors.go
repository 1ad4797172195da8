package table

import "fmt"

// ConflictError means that a check of a transaction failed and nothing was written.
type ConflictError struct {
	rows []Row
}

// NewConflictError returns a conflict with the current rows.
func NewConflictError(rows []Row) *ConflictError { return &ConflictError{rows: rows} }

// Error returns the message with the keys of the changed rows.
func (e *ConflictError) Error() string {
	keys := make([]string, 0, len(e.rows))
	for _, row := range e.rows {
		keys = append(keys, row.key)
	}
	return fmt.Sprintf("platform: rows changed by another writer: %v", keys)
}

// Rows returns the current rows whose checks failed.
func (e *ConflictError) Rows() []Row { return e.rows }

// UnavailableError means that the platform returned no usable reply.
type UnavailableError struct {
	op         string
	err        error
	mayHaveRun bool
}

// NewUnavailableError returns the error of an operation without a usable reply.
// mayHaveRun is set if it was a write that may have taken effect.
func NewUnavailableError(op string, err error, mayHaveRun bool) *UnavailableError {
	return &UnavailableError{op: op, err: err, mayHaveRun: mayHaveRun}
}

// Error returns the message with the operation.
func (e *UnavailableError) Error() string {
	return fmt.Sprintf("platform: %s: no answer: %v", e.op, e.err)
}

// Unwrap returns the underlying error.
func (e *UnavailableError) Unwrap() error { return e.err }

// MayHaveRun reports whether a write may have taken effect despite the error.
func (e *UnavailableError) MayHaveRun() bool { return e.mayHaveRun }

// RequestError means that a request couldn't be encoded or a value couldn't be decoded.
type RequestError struct {
	op  string
	err error
}

// Error returns the message with the operation.
func (e *RequestError) Error() string { return fmt.Sprintf("platform: %s: %v", e.op, e.err) }

// Unwrap returns the underlying error.
func (e *RequestError) Unwrap() error { return e.err }
