package tree

import "fmt"

// FieldError says what is wrong with a path or a field.
type FieldError struct {
	path  string
	field string
	text  string
}

// Error names path and field.
func (e *FieldError) Error() string {
	if e.field == "" {
		return fmt.Sprintf("%s: %s", e.path, e.text)
	}
	return fmt.Sprintf("%s: %s: %s", e.path, e.field, e.text)
}

// ConflictError says that another edit of the same field came between.
type ConflictError struct {
	path     Path
	field    string
	revision uint64
	value    string
}

// Error shows the other operator's change.
func (e *ConflictError) Error() string {
	value := e.value
	if value == "" {
		value = "(removed)"
	}
	return fmt.Sprintf("%s: %s was changed meanwhile, in revision %d, to %s", e.path, e.field, e.revision, value)
}

// StoreError says that an edit could not be written.
type StoreError struct {
	err     error
	unknown bool
}

// Error tells whether the edit may have been taken.
func (e *StoreError) Error() string {
	if e.unknown {
		return fmt.Sprintf("the edit may have been accepted; ask again with the same edit id: %v", e.err)
	}
	return fmt.Sprintf("the edit was not accepted: %v", e.err)
}

// Unwrap returns the cause.
func (e *StoreError) Unwrap() error { return e.err }

// Unknown tells whether the edit may have been accepted.
func (e *StoreError) Unknown() bool { return e.unknown }
