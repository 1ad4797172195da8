package standin

import (
	"fmt"
	"io"
	"net"
	"strconv"
	"strings"

	"github.com/pointpass/pointpass/common/conns/connstest"
)

// rawAnswer is how a worker writes the bytes of its answers.
type rawAnswer struct {
	text func(fields, body string) string
	// pieces is set if they are written byte by byte.
	pieces bool
}

// SetRawAnswer makes the worker answer with the bytes that text returns for the fields and the body of an answer, and
// close the connection.
func (w *Worker) SetRawAnswer(text func(fields, body string) string, pieces bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.spoil = RawAnswer
	w.rawAnswer = rawAnswer{text, pieces}
}

// writeRawAnswer writes the answer to a request.
func (w *Worker) writeRawAnswer(conn net.Conn, run *Run) {
	w.mu.Lock()
	answer, grouped := w.rawAnswer, w.group != nil
	w.mu.Unlock()
	fields := w.ownFields(run.ID)
	body := fmt.Sprintf("answer to %s of %s", run.ID, w.id)
	if grouped {
		fields += "Content-Type: text/event-stream\r\n"
		body = eventsAfter(run)
	}
	text := answer.text(fields, body)
	if answer.pieces {
		connstest.WriteInPieces(conn, text)
		return
	}
	io.WriteString(conn, text)
}

// eventsAfter returns the events that follow the last one that the caller has.
func eventsAfter(run *Run) string {
	last, _ := strconv.Atoi(run.LastEvent)
	var events strings.Builder
	for i := last + 1; i <= eventCount; i++ {
		fmt.Fprintf(&events, "id: %d\ndata: %s-%d\n\n", i, run.ID, i)
	}
	return events.String()
}
