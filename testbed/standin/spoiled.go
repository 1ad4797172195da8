package standin

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"net/http"
	"strings"
	"time"
)

// Spoil is a way in which a worker writes bytes that are no answer.
type Spoil int

const (
	// NotSpoiled is the normal operation.
	NotSpoiled Spoil = iota
	// EndlessHead sends header fields without end.
	EndlessHead
	// EndlessInformational sends interim responses without end.
	EndlessInformational
	// EndlessBody sends a body without a length and without end, EndlessChunks one in chunks.
	EndlessBody
	EndlessChunks
	// HugeBody names a length that no memory holds, and sends bytes without end.
	HugeBody
	// EndlessTrailer ends its chunks with fields without end.
	EndlessTrailer
	// EndlessAfterAnswer sends bytes without end after a whole answer.
	EndlessAfterAnswer
	// EndlessEvent, EndlessLines, EndlessBlanks, EndlessComments and EndlessBlocks send two events of a
	// stream and then, without end: one line, lines, empty lines, comments, and events without an id.
	EndlessEvent
	EndlessLines
	EndlessBlanks
	EndlessComments
	EndlessBlocks
	// EndsKept closes every third kept connection after it has read a request on it.
	EndsKept
	// BreaksBody ends its connection within the body of an answer.
	BreaksBody
	// ManyLines sends a head of many short fields, and its body a while later. ManyLinesBusy and ManyLinesElsewhere
	// reject requests in this way, ManyLinesEarly sends such an interim response, and ManyLinesStream streams.
	ManyLines
	ManyLinesBusy
	ManyLinesElsewhere
	ManyLinesEarly
	ManyLinesStream
	// LongEvent sends all of a long event of a stream but its end, which follows a while later.
	LongEvent
	// LongAnswer sends a whole answer of LongAnswerBytes.
	LongAnswer
	// BreaksHead ends its connection within the head of an answer, as SetCutHead says.
	BreaksHead
	// RawAnswer answers with given bytes, as SetRawAnswer says.
	RawAnswer
)

// keptPeriod is how many requests of a kept connection EndsKept answers until it closes one.
const keptPeriod = 3

// spoiledEvents is how many events come before the bytes of a spoiled stream.
const spoiledEvents = 2

// endless tells for each spoil that sends bytes without end what it sends before, with the signature
// and id in place of %s, and what it repeats.
var endless = map[Spoil]struct{ before, repeated string }{
	EndlessHead:          {"HTTP/1.1 200 OK\r\n%s", "X-Filler: " + strings.Repeat("f", 1000) + "\r\n"},
	EndlessInformational: {"", "HTTP/1.1 103 Early Hints\r\nX-Filler: " + strings.Repeat("f", 1000) + "\r\n\r\n"},
	EndlessBody:          {"HTTP/1.1 200 OK\r\n%s\r\n", strings.Repeat("b", 1000)},
	EndlessChunks:        {"HTTP/1.1 200 OK\r\n%sTransfer-Encoding: chunked\r\n\r\n", "3e8\r\n" + strings.Repeat("b", 1000) + "\r\n"},
	HugeBody:             {"HTTP/1.1 200 OK\r\n%sContent-Length: 99999999999\r\n\r\n", strings.Repeat("b", 1000)},
	EndlessTrailer:       {"HTTP/1.1 200 OK\r\n%sTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n", "X-Filler: " + strings.Repeat("f", 1000) + "\r\n"},
	EndlessAfterAnswer:   {"HTTP/1.1 200 OK\r\n%sContent-Length: 4\r\n\r\nbody", strings.Repeat("a", 1000)},
	EndlessEvent:         {"HTTP/1.1 200 OK\r\n%sContent-Type: text/event-stream\r\n\r\n", "x"},
	EndlessLines:         {"HTTP/1.1 200 OK\r\n%sContent-Type: text/event-stream\r\n\r\n", "no field of an event\n\n"},
	EndlessBlanks:        {"HTTP/1.1 200 OK\r\n%sContent-Type: text/event-stream\r\n\r\n", "\n"},
	EndlessComments:      {"HTTP/1.1 200 OK\r\n%sContent-Type: text/event-stream\r\n\r\n", ": comment\n\n"},
	EndlessBlocks:        {"HTTP/1.1 200 OK\r\n%sContent-Type: text/event-stream\r\n\r\n", "data: no id\n\n"},
}

// isStream reports whether a spoil follows the events of a stream.
func (s Spoil) isStream() bool { return s >= EndlessEvent && s <= EndlessBlocks }

// Endless is an answer without end: what it sent until the caller closed the connection, and for how
// long.
type Endless struct {
	Bytes  int64
	Lasted time.Duration
}

// SetSpoil sets how the worker spoils its answers.
func (w *Worker) SetSpoil(s Spoil) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.spoil = s
}

// Endless returns the answers without end whose connections are closed, and how many are still open.
func (w *Worker) Endless() (ended []Endless, open int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return append([]Endless(nil), w.endless...), w.endlessOpen
}

// keptKey is the key of a connection's number of requests in its context.
type keptKey struct{}

func withRequestCount(ctx context.Context, _ net.Conn) context.Context {
	return context.WithValue(ctx, keptKey{}, new(int))
}

// spoilAnswer answers a request in a spoiled way. It returns false if the request is to be answered as
// usual, and doesn't return if the connection is to be closed.
func (w *Worker) spoilAnswer(rw http.ResponseWriter, r *http.Request, run *Run) bool {
	w.mu.Lock()
	spoil := w.spoil
	w.mu.Unlock()
	switch spoil {
	case NotSpoiled:
		return false
	case EndsKept:
		n := r.Context().Value(keptKey{}).(*int)
		*n++
		if *n > 1 && *n%keptPeriod == 0 {
			panic(http.ErrAbortHandler)
		}
		return false
	}
	conn, _, err := http.NewResponseController(rw).Hijack()
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	defer conn.Close()
	own := w.ownFields(run.ID)
	if spoil == BreaksBody {
		fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\n%sContent-Length: 100\r\n\r\npart", own)
		return true
	}
	if spoil == BreaksHead {
		w.breakHead(conn, own)
		return true
	}
	if spoil == RawAnswer {
		w.writeRawAnswer(conn, run)
		return true
	}
	if parts, held := heldAnswers[spoil]; held {
		w.sendHeld(conn, strings.ReplaceAll(parts.before, "%s", own), strings.ReplaceAll(parts.after, "%s", own))
		return true
	}
	w.sendEndless(conn, spoil, own, run)
	return true
}

// sendEndless writes an answer without end until the caller closes the connection or the worker ends.
func (w *Worker) sendEndless(conn net.Conn, spoil Spoil, own string, run *Run) {
	parts := endless[spoil]
	out := bufio.NewWriterSize(conn, 32<<10)
	started := time.Now()
	w.mu.Lock()
	w.endlessOpen++
	w.mu.Unlock()
	sent := int64(0)
	write := func(text string) error {
		n, err := out.WriteString(text)
		sent += int64(n)
		return err
	}
	err := write(strings.ReplaceAll(parts.before, "%s", own))
	if spoil.isStream() {
		last := 0
		fmt.Sscan(run.LastEvent, &last)
		for i := last + 1; i <= last+spoiledEvents && err == nil; i++ {
			err = write(fmt.Sprintf("id: %d\ndata: %s-%d\n\n", i, run.ID, i))
		}
		out.Flush()
		time.Sleep(eventInterval)
	}
	for err == nil && !w.isKilled() {
		err = write(parts.repeated)
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.endlessOpen--
	w.endless = append(w.endless, Endless{Bytes: sent, Lasted: time.Since(started)})
}

func (w *Worker) isKilled() bool {
	select {
	case <-w.killed:
		return true
	default:
		return false
	}
}
