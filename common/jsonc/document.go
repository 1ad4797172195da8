// Package jsonc reads JSON with comments strictly: unknown and repeated fields
// are mistakes, and every mistake names its file, line and field.
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

// Mistake is one fault in a document.
type Mistake struct {
	file  string
	line  int
	field string
	text  string
}

// Error returns the mistake as "file:line: field: text".
func (m *Mistake) Error() string {
	if m.field == "" {
		return fmt.Sprintf("%s:%d: %s", m.file, m.line, m.text)
	}
	return fmt.Sprintf("%s:%d: %s: %s", m.file, m.line, m.field, m.text)
}

// Line returns the line that the mistake is on, counted from 1.
func (m *Mistake) Line() int { return m.line }

// Field returns the dotted name of the field, empty for faults of syntax.
func (m *Mistake) Field() string { return m.field }

// Document is a parsed file that still knows where each field stands.
type Document struct {
	file  string
	data  []byte
	value hujson.Value
}

// Parse reads the syntax of data; file is used in mistakes only.
func Parse(file string, data []byte) (*Document, error) {
	value, err := hujson.Parse(data)
	if err != nil {
		return nil, &Mistake{file: file, line: syntaxLine(err, data), text: syntaxText(err)}
	}
	return &Document{file: file, data: data, value: value}, nil
}

// syntaxLine takes the line from the parser's message, which is the only place
// where it tells one.
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

// Decode fills v, a pointer to a struct, and returns every mistake joined into
// one error.
func (d *Document) Decode(v any) error {
	mistakes := d.unknownFields(&d.value, reflect.TypeOf(v).Elem(), "")
	if err := errors.Join(mistakes...); err != nil {
		return err
	}
	standard := d.value.Clone()
	standard.Standardize()
	err := json.Unmarshal(standard.Pack(), v)
	if err == nil {
		return nil
	}
	var wrongType *json.UnmarshalTypeError
	if errors.As(err, &wrongType) {
		text := fmt.Sprintf("want %s, found %s", wrongType.Type, wrongType.Value)
		return &Mistake{file: d.file, line: d.line(int(wrongType.Offset)), field: wrongType.Field, text: text}
	}
	return &Mistake{file: d.file, line: 1, text: err.Error()}
}

// MistakeAt returns a mistake on the line of the field with the dotted name,
// or of its nearest parent that the document has.
func (d *Document) MistakeAt(field, format string, args ...any) error {
	return d.MistakeIn(strings.Split(field, "."), format, args...)
}

// MistakeIn is MistakeAt for fields whose names hold dots.
func (d *Document) MistakeIn(names []string, format string, args ...any) error {
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
	return &Mistake{file: d.file, line: line, field: strings.Join(names, "."), text: fmt.Sprintf(format, args...)}
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

// unknownFields walks the value along the Go type and returns a mistake for
// each field that the type lacks or the document repeats.
func (d *Document) unknownFields(value *hujson.Value, t reflect.Type, path string) []error {
	for t.Kind() == reflect.Pointer {
		t = t.Elem()
	}
	switch composite := value.Value.(type) {
	case *hujson.Object:
		return d.unknownMembers(composite, t, path)
	case *hujson.Array:
		if t.Kind() != reflect.Slice {
			return nil
		}
		var mistakes []error
		for i := range composite.Elements {
			mistakes = append(mistakes, d.unknownFields(&composite.Elements[i], t.Elem(), fmt.Sprintf("%s[%d]", path, i))...)
		}
		return mistakes
	}
	return nil
}

func (d *Document) unknownMembers(object *hujson.Object, t reflect.Type, path string) []error {
	var mistakes []error
	seen := map[string]bool{}
	for i := range object.Members {
		member := &object.Members[i]
		name := memberName(member)
		field := join(path, name)
		line := d.line(member.Name.StartOffset)
		if seen[name] {
			mistakes = append(mistakes, &Mistake{file: d.file, line: line, field: field, text: "stands twice"})
		}
		seen[name] = true
		next, known := memberType(t, name)
		if !known {
			mistakes = append(mistakes, &Mistake{file: d.file, line: line, field: field, text: "unknown field"})
			continue
		}
		if next != nil {
			mistakes = append(mistakes, d.unknownFields(&member.Value, next, field)...)
		}
	}
	return mistakes
}

// memberType returns the type that a member decodes into. A nil type means
// that whatever stands there is taken as it is.
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
