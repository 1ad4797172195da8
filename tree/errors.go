package tree

import "fmt"

// FieldError reports an invalid path or field.
type FieldError struct {
	path  string
	field string
	text  string
}

// Error returns the message with the path and the field.
func (e *FieldError) Error() string {
	if e.field == "" {
		return fmt.Sprintf("%s: %s", e.path, e.text)
	}
	return fmt.Sprintf("%s: %s: %s", e.path, e.field, e.text)
}

// ConflictError reports that another edit has changed the same field.
type ConflictError struct {
	path     Path
	field    string
	revision uint64
	value    string
}

// Error describes the other edit.
func (e *ConflictError) Error() string {
	value := e.value
	if value == "" {
		value = "(removed)"
	}
	return fmt.Sprintf("%s: %s was changed meanwhile, in revision %d, to %s", e.path, e.field, e.revision, value)
}

// StoreError reports that an edit could not be written.
type StoreError struct {
	err     error
	unknown bool
}

// Error states whether the edit may have been accepted.
func (e *StoreError) Error() string {
	if e.unknown {
		return fmt.Sprintf("the edit may have been accepted; ask again with the same edit id: %v", e.err)
	}
	return fmt.Sprintf("the edit was not accepted: %v", e.err)
}

// Unwrap returns the cause.
func (e *StoreError) Unwrap() error { return e.err }

// Unknown reports whether the edit may have been accepted.
func (e *StoreError) Unknown() bool { return e.unknown }
