package quarantine

import "errors"

// errKeyLength tells that a stored key has another length than keys have.
var errKeyLength = errors.New("the key isn't 32 bytes long")

// RowError tells that a row of this package can't be read.
type RowError struct {
	Row string
	Err error
}

// Error names the row and the fault.
func (e *RowError) Error() string { return e.Row + ": " + e.Err.Error() }

// Unwrap returns the fault.
func (e *RowError) Unwrap() error { return e.Err }
