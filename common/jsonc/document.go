// Package jsonc strictly decodes JSON with comments: unknown and duplicate fields
// are errors, and every error names its file, line and field.
package jsonc

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"reflect"
	"strings"

	"github.com/tailscale/hujson"
)

// Error is an error in a document with its file, line and field.
type Error struct {
	file  string
	line  int
	field string
	text  string
}

// Error returns the error as "file:line: field: text".
func (e *Error) Error() string {
	if e.field == "" {
		return fmt.Sprintf("%s:%d: %s", e.file, e.line, e.text)
	}
	return fmt.Sprintf("%s:%d: %s: %s", e.file, e.line, e.field, e.text)
}

// Line returns the line of the error, counted from 1.
func (e *Error) Line() int { return e.line }

// Field returns the dotted name of the field, empty for syntax errors.
func (e *Error) Field() string { return e.field }

// Document is a parsed file with the position of each field.
type Document struct {
	file  string
	data  []byte
	value hujson.Value
}

// Parse parses data; file is the name that errors contain.
func Parse(file string, data []byte) (*Document, error) {
	value, err := hujson.Parse(data)
	if err != nil {
		return nil, &Error{file: file, line: syntaxLine(err, data), text: syntaxText(err)}
	}
	return &Document{file: file, data: data, value: value}, nil
}

// syntaxLine extracts the line from the parser's message, since the parser's error
// has no field for it.
func syntaxLine(err error, data []byte) int {
	var line int
	text := err.Error()
	i := strings.Index(text, "line ")
	if i < 0 {
		return bytes.Count(data, []byte("\n")) + 1
	}
	fmt.Sscanf(text[i:], "line %d", &line)
	return line
}

func syntaxText(err error) string {
	if inner := errors.Unwrap(err); inner != nil {
		return inner.Error()
	}
	return strings.TrimPrefix(err.Error(), "hujson: ")
}

// Decode decodes the document into v, a pointer. It returns an error that joins all
// unknown and duplicate fields, or else the first value of a wrong type.
func (d *Document) Decode(v any) error {
	errs := d.checkFields(&d.value, reflect.TypeOf(v).Elem(), "")
	if err := errors.Join(errs...); err != nil {
		return err
	}
	standardized := d.value.Clone()
	standardized.Standardize()
	err := json.Unmarshal(standardized.Pack(), v)
	if err == nil {
		return nil
	}
	var wrongType *json.UnmarshalTypeError
	if errors.As(err, &wrongType) {
		text := fmt.Sprintf("want %s, found %s", wrongType.Type, wrongType.Value)
		return &Error{file: d.file, line: d.line(int(wrongType.Offset)), field: wrongType.Field, text: text}
	}
	return &Error{file: d.file, line: 1, text: err.Error()}
}

// ErrorAt returns an error on the line of the field with the dotted name, or of its
// nearest parent in the document.
func (d *Document) ErrorAt(field, format string, args ...any) error {
	return d.ErrorIn(strings.Split(field, "."), format, args...)
}

// ErrorIn is ErrorAt for fields whose names contain dots; names is the path.
func (d *Document) ErrorIn(names []string, format string, args ...any) error {
	line := 1
	value := &d.value
	for _, name := range names {
		object, ok := value.Value.(*hujson.Object)
		if !ok {
			break
		}
		member := memberNamed(object, name)
		if member == nil {
			break
		}
		line = d.line(member.Name.StartOffset)
		value = &member.Value
	}
	return &Error{file: d.file, line: line, field: strings.Join(names, "."), text: fmt.Sprintf(format, args...)}
}

func memberNamed(object *hujson.Object, name string) *hujson.ObjectMember {
	for i := range object.Members {
		if memberName(&object.Members[i]) == name {
			return &object.Members[i]
		}
	}
	return nil
}

func memberName(member *hujson.ObjectMember) string {
	literal, ok := member.Name.Value.(hujson.Literal)
	if !ok {
		return ""
	}
	return literal.String()
}

func (d *Document) line(offset int) int {
	offset = min(offset, len(d.data))
	return bytes.Count(d.data[:offset], []byte("\n")) + 1
}

// checkFields walks the value along the Go type and returns an error for each
// field that the type lacks or that the document contains twice.
func (d *Document) checkFields(value *hujson.Value, t reflect.Type, path string) []error {
	for t.Kind() == reflect.Pointer {
		t = t.Elem()
	}
	switch composite := value.Value.(type) {
	case *hujson.Object:
		return d.checkMembers(composite, t, path)
	case *hujson.Array:
		if t.Kind() != reflect.Slice {
			return nil
		}
		var errs []error
		for i := range composite.Elements {
			errs = append(errs, d.checkFields(&composite.Elements[i], t.Elem(), fmt.Sprintf("%s[%d]", path, i))...)
		}
		return errs
	}
	return nil
}

func (d *Document) checkMembers(object *hujson.Object, t reflect.Type, path string) []error {
	var errs []error
	seen := map[string]bool{}
	for i := range object.Members {
		member := &object.Members[i]
		name := memberName(member)
		field := join(path, name)
		line := d.line(member.Name.StartOffset)
		if seen[name] {
			errs = append(errs, &Error{file: d.file, line: line, field: field, text: "duplicate field"})
		}
		seen[name] = true
		next, known := memberType(t, name)
		if !known {
			errs = append(errs, &Error{file: d.file, line: line, field: field, text: "unknown field"})
			continue
		}
		if next != nil {
			errs = append(errs, d.checkFields(&member.Value, next, field)...)
		}
	}
	return errs
}

// memberType returns the type that a member decodes into, or false if the type has
// no such member. A nil type means that the member's value isn't checked.
func memberType(t reflect.Type, name string) (reflect.Type, bool) {
	switch t.Kind() {
	case reflect.Map:
		return t.Elem(), true
	case reflect.Struct:
		for i := range t.NumField() {
			tag, _, _ := strings.Cut(t.Field(i).Tag.Get("json"), ",")
			if tag == name {
				return t.Field(i).Type, true
			}
		}
		return nil, false
	}
	return nil, true
}

func join(path, name string) string {
	if path == "" {
		return name
	}
	return path + "." + name
}
