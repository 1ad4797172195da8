package serving

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"strconv"
)

const (
	// maxEventBytes bounds the size of one event of a stream.
	maxEventBytes = 64 << 10
	// maxPaddingBytes bounds the comments and empty lines between two events.
	maxPaddingBytes = 4 << 10
	// initialBufferBytes is the initial size of the buffer for a stream's events.
	initialBufferBytes = 2 << 10
	// freeBufferBytes is the size up to which a buffer isn't counted.
	freeBufferBytes = 8 << 10
)

// Errors for bytes that are no events of a stream.
var (
	// errTruncated means that a stream ended within an event, errEventGap that the event ids are not
	// consecutive, and errNoEvents that a connection which ends a stream ended before any event, as it
	// does when a worker crashes.
	errNoEvents  = errors.New("connection ended before the first event")
	errTruncated = errors.New("stream ended within an event")
	errEventGap  = errors.New("event ids are not consecutive")
	// errNotAnEvent means that a line isn't that of an event, errNoEventID that an event has no id though
	// earlier ones have, and errPadding that too much that isn't an event lies between two events.
	errNotAnEvent = errors.New("line is no field of an event")
	errNoEventID  = errors.New("event has no id")
	errPadding    = errors.New("too many bytes between two events")
)

// eventReader reads the blocks of a stream, each including the empty line that ends it. A block is an event,
// or padding: comments, empty lines or fields that announce no event.
type eventReader struct {
	scanner *bufio.Scanner
	// hasIDs is set if the events have ids.
	hasIDs  bool
	padding int
	current block
	err     error
	// held is set if next has to return the current block once more.
	held bool
	// memory counts what the buffer takes beyond freeBufferBytes, nil if nothing does. reserved is how much that is.
	memory   *answerBody
	reserved int
}

// events returns a reader of the events of a reply that follow the one with the id last, "" for none.
func (r *Reply) events(last string) *eventReader {
	events := newEventReader(r.Body, last)
	events.memory = r.head
	return events
}

// newEventReader returns a reader of the events that follow the one with the id last, "" for none.
func newEventReader(r io.Reader, last string) *eventReader {
	scanner := bufio.NewScanner(r)
	scanner.Buffer(make([]byte, 0, initialBufferBytes), maxEventBytes)
	events := &eventReader{scanner: scanner, hasIDs: last != ""}
	scanner.Split(events.split)
	return events
}

// split is splitEvent, and counts the memory of long events. The buffer doubles when it is full.
func (r *eventReader) split(data []byte, atEOF bool) (advance int, token []byte, err error) {
	if size := 2 * len(data); r.memory != nil && size > max(r.reserved, freeBufferBytes) {
		if err := r.memory.of.reserve(r.memory, int64(size-r.reserved)); err != nil {
			return 0, nil, err
		}
		r.reserved = size
	}
	return splitEvent(data, atEOF)
}

// next advances to the next block, and returns false at the end of the stream and at an error.
func (r *eventReader) next() bool {
	if r.err != nil {
		return false
	}
	if r.held {
		r.held = false
		return true
	}
	if !r.scanner.Scan() {
		r.err = r.scanner.Err()
		return false
	}
	r.current, r.err = parseBlock(r.scanner.Bytes())
	if r.err != nil {
		return false
	}
	if !r.isEvent() {
		r.padding += len(r.block())
		if r.padding > maxPaddingBytes {
			r.err = errPadding
		}
		return r.err == nil
	}
	r.padding = 0
	if r.current.id == "" && r.hasIDs {
		r.err = errNoEventID
	}
	r.hasIDs = r.hasIDs || r.current.id != ""
	return r.err == nil
}

// hold makes the next call of next return the current block once more.
func (r *eventReader) hold() { r.held = true }

// block returns the current block, which is valid until the next call of next.
func (r *eventReader) block() []byte { return r.scanner.Bytes() }

// isEvent reports whether the current block is an event.
func (r *eventReader) isEvent() bool { return r.current.id != "" || r.current.hasData }

// id returns the id of the current event, "" if it has none.
func (r *eventReader) id() string { return r.current.id }

// block is what is known of a block of a stream.
type block struct {
	id      string
	hasData bool
}

// parseBlock parses a block. It returns an error if a line is neither a comment nor a field.
func parseBlock(data []byte) (block, error) {
	var b block
	for line := range bytes.Lines(data) {
		line = bytes.TrimRight(line, "\r\n")
		name, value, _ := bytes.Cut(line, []byte(":"))
		switch {
		case len(name) == 0: // an empty line or a comment
		case string(name) == "data":
			b.hasData = true
		case string(name) == "id":
			if b.id == "" {
				b.id = string(bytes.TrimSpace(value))
			}
		case !isFieldName(name):
			return block{}, errNotAnEvent
		}
	}
	return b, nil
}

// isFieldName reports whether a field may have a name. Workers may send fields that aren't known here.
func isFieldName(name []byte) bool {
	for _, c := range name {
		letter := c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z'
		if !letter && (c < '0' || c > '9') && c != '-' && c != '_' {
			return false
		}
	}
	return true
}

// splitEvent is a bufio.SplitFunc for blocks, each including the empty line that ends it. Input that ends
// within a block is an error.
func splitEvent(data []byte, atEOF bool) (advance int, token []byte, err error) {
	if end := eventEnd(data); end > 0 {
		return end, data[:end], nil
	}
	if atEOF && len(data) > 0 {
		return 0, nil, errTruncated
	}
	return 0, nil, nil
}

// eventEnd returns the length of the first complete block, 0 if there is none.
func eventEnd(data []byte) int {
	end := bytes.Index(data, []byte("\n\n"))
	if end >= 0 {
		end += 2
	}
	if other := bytes.Index(data, []byte("\r\n\r\n")); other >= 0 && (end < 0 || other+4 < end) {
		end = other + 4
	}
	return max(end, 0)
}

// isNextEvent reports whether an event may follow the last one. Numeric ids increase by one;
// other ids only have to differ.
func isNextEvent(last, next string) bool {
	before, err := strconv.ParseInt(last, 10, 64)
	if err != nil {
		return last != next
	}
	after, err := strconv.ParseInt(next, 10, 64)
	return err == nil && after == before+1
}
