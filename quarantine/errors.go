package quarantine

import "errors"

// errKeyLength reports a stored key of the wrong length, errName a row name that contains no
// fingerprint, and errDigits a text that isn't one.
var (
	errKeyLength = errors.New("stored key is not 32 bytes long")
	errName      = errors.New("row name does not end with a fingerprint")
	errDigits    = errors.New("not the hexadecimal digits of a fingerprint")
	errParts     = errors.New("the parts are not those that the name stands for")
)

// RowError reports that a row of this package can't be decoded.
type RowError struct {
	Row string
	Err error
}

// Error returns the row's name and the cause.
func (e *RowError) Error() string { return e.Row + ": " + e.Err.Error() }

// Unwrap returns the cause.
func (e *RowError) Unwrap() error { return e.Err }
