package quarantine

import "errors"

// errKeyLength tells that a stored key has another length than keys have, and errName that
// a row's name tells no request.
var (
	errKeyLength = errors.New("the key isn't 32 bytes long")
	errName      = errors.New("the name doesn't end with a fingerprint")
)

// RowError tells that a row of this package can't be read.
type RowError struct {
	Row string
	Err error
}

// Error names the row and the fault.
func (e *RowError) Error() string { return e.Row + ": " + e.Err.Error() }

// Unwrap returns the fault.
func (e *RowError) Unwrap() error { return e.Err }
