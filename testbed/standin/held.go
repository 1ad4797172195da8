package standin

import (
	"fmt"
	"io"
	"net"
	"strconv"
	"strings"
	"time"
)

// Answers that a worker holds back in the middle.
const (
	// manyLines is how many short fields a head has at the most that daemons read.
	manyLines = 10_000
	// longEventBytes is the size of a long event, which daemons read, too.
	longEventBytes = 60 << 10
	// LongAnswerBytes is the length of a long answer.
	LongAnswerBytes = 5 << 20
	// holdTime is how long the rest of an answer is held back.
	holdTime = 1500 * time.Millisecond
)

// heldAnswers are what a worker sends before and after it holds an answer back, with the signature and id in place of
// %s.
var heldAnswers = map[Spoil]struct{ before, after string }{
	ManyLines:          {"HTTP/1.1 200 OK\r\n%s" + shortFields() + "Content-Length: 4\r\n\r\n", "body"},
	ManyLinesBusy:      {"HTTP/1.1 503 Busy\r\n" + headerNotExecuted + ": 1\r\n" + shortFields() + "Content-Length: 4\r\n\r\n", "busy"},
	ManyLinesElsewhere: {"HTTP/1.1 421 Elsewhere\r\n" + shortFields() + "Content-Length: 4\r\n\r\n", "move"},
	ManyLinesEarly:     {"HTTP/1.1 103 Early Hints\r\n" + shortFields() + "\r\n", "HTTP/1.1 200 OK\r\n%sContent-Length: 4\r\n\r\nbody"},
	ManyLinesStream:    {"HTTP/1.1 200 OK\r\n%s" + shortFields() + "Content-Type: text/event-stream\r\n\r\nid: 1\ndata: x\n\n", "id: 2\ndata: y\n\n"},
	LongEvent:          {"HTTP/1.1 200 OK\r\n%sContent-Type: text/event-stream\r\n\r\nid: 1\ndata: " + strings.Repeat("x", longEventBytes), "\n\n"},
	LongAnswer:         {"HTTP/1.1 200 OK\r\n%sContent-Length: " + strconv.Itoa(LongAnswerBytes) + "\r\n\r\n", strings.Repeat("x", LongAnswerBytes)},
}

// shortFields returns fields of few bytes each, which all differ.
func shortFields() string {
	var text strings.Builder
	for i := range manyLines {
		fmt.Fprintf(&text, "%x:\r\n", 0x100+i)
	}
	return text.String()
}

// sendHeld sends an answer in two parts.
func (w *Worker) sendHeld(conn net.Conn, before, after string) {
	io.WriteString(conn, before)
	select {
	case <-time.After(holdTime):
	case <-w.killed:
	}
	io.WriteString(conn, after)
}
