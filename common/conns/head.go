package conns

import (
	"bytes"
	"fmt"
	"net/http"
	"strings"

	"golang.org/x/net/http/httpguts"
)

// headMeter checks the head of a response as it arrives, interim responses included, and counts its bytes and lines.
// What it refuses can't be seen once net/http has parsed the head: names with blanks count as names of their own, a
// line that begins with a blank becomes part of the value before it, and codings of HTTP/1.0 are dropped.
type headMeter struct {
	// arrived is called with what has come, nil for none.
	arrived func(bytes, lines int) error
	// partial is what has come of the current line, lines how many lines of the current head are complete.
	partial []byte
	lines   int
	// withoutCodings is set if the version of the current head has no transfer codings.
	withoutCodings bool
	// interim is set if another head follows the current one, done once the last one has ended.
	interim, done bool
}

// HeadError means that the head of a response isn't HTTP.
type HeadError struct{ line string }

// maxQuotedBytes is how much of a line an error holds.
const maxQuotedBytes = 60

func newHeadError(line []byte) *HeadError {
	return &HeadError{line: string(line[:min(len(line), maxQuotedBytes)])}
}

// Error implements error.
func (e *HeadError) Error() string {
	return fmt.Sprintf("the head of the response isn't HTTP: line %q", e.line)
}

// add checks bytes that were read, up to the end of the head.
func (m *headMeter) add(data []byte) error {
	n, lines := 0, 0
	for !m.done && n < len(data) {
		rest := data[n:]
		end := bytes.IndexByte(rest, '\n')
		if end < 0 {
			m.partial = append(m.partial, rest...)
			n = len(data)
			break
		}
		line := rest[:end]
		if len(m.partial) > 0 {
			line = append(m.partial, line...)
		}
		if err := m.endLine(bytes.TrimSuffix(line, []byte("\r"))); err != nil {
			return err
		}
		m.partial = nil
		n += end + 1
		lines++
	}
	if n == 0 || m.arrived == nil {
		return nil
	}
	return m.arrived(n, lines)
}

// endLine checks a complete line. An empty one ends a head.
func (m *headMeter) endLine(line []byte) error {
	m.lines++
	switch {
	case m.lines == 1:
		m.startHead(string(line))
		return nil
	case len(line) == 0:
		m.done = !m.interim
		m.lines = 0
		return nil
	}
	return m.checkField(line)
}

// startHead begins a head by its first line, whose form net/http checks.
func (m *headMeter) startHead(line string) {
	version, status, _ := strings.Cut(line, " ")
	major, minor, _ := http.ParseHTTPVersion(version)
	m.withoutCodings = major < 1 || major == 1 && minor == 0
	m.interim = strings.HasPrefix(strings.TrimLeft(status, " "), "1")
}

// checkField returns an error unless a line is a header field that the version of the response may have.
func (m *headMeter) checkField(line []byte) error {
	name, value, _ := strings.Cut(string(line), ":")
	if !httpguts.ValidHeaderFieldName(name) || !httpguts.ValidHeaderFieldValue(value) {
		return newHeadError(line)
	}
	if m.withoutCodings && strings.EqualFold(name, "Transfer-Encoding") {
		return newHeadError(line)
	}
	return nil
}
