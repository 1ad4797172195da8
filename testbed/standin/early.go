package standin

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// EarlyEnd is what a worker does with the connection once it has answered before it has read the request's body.
type EarlyEnd int

const (
	// ResetsEarly resets the connection.
	ResetsEarly EarlyEnd = iota
	// ReadsOn reads the rest of the request and closes the connection.
	ReadsOn
	// EndsAndReadsOn ends what it sends before it reads on.
	EndsAndReadsOn
	// EndsAndStops ends what it sends, and closes the connection later without having read on.
	EndsAndStops
)

// Early is an answer that is sent before the request's body was read.
type Early struct {
	// Head is the status line and the header fields beside those that every answer has.
	Head string
	// Body is what is sent of the body, with the id of the request in place of %s and the number of the event that is
	// due in place of %d.
	Body string
	End  EarlyEnd
	// Read is how much of the body is read before the answer, in bytes, and Pause the time between the answer and a reset.
	Read  int64
	Pause time.Duration
}

// earlyPause is how long EndsAndStops keeps the connection, so that its end is read before the reset.
const earlyPause = time.Second

// SetEarly makes the worker answer every second request early, nil none.
func (w *Worker) SetEarly(e *Early) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.early = e
}

// EarlyAnswers returns how many requests the worker has answered early.
func (w *Worker) EarlyAnswers() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.earlyAnswers
}

// takeEarly returns the early answer to the next request, nil if it is answered as usual.
func (w *Worker) takeEarly() *Early {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.early == nil {
		return nil
	}
	w.earlyRequests++
	if w.earlyRequests%2 == 0 {
		return nil
	}
	w.earlyAnswers++
	return w.early
}

// answerEarly answers a request before its body is read. It returns false if the request is to be answered as usual.
func (w *Worker) answerEarly(rw http.ResponseWriter, r *http.Request) bool {
	early := w.takeEarly()
	if early == nil {
		return false
	}
	run := w.recordRun(r, "")
	conn, buffered, err := http.NewResponseController(rw).Hijack()
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	defer conn.Close()
	io.CopyN(io.Discard, buffered, early.Read)
	io.WriteString(conn, early.Head+w.ownFields(run.ID)+"\r\n"+early.bodyFor(run))
	tcp := conn.(*heldConn).Conn.(*net.TCPConn)
	switch early.End {
	case ResetsEarly:
		time.Sleep(early.Pause)
		tcp.SetLinger(0)
	case ReadsOn:
		time.Sleep(early.Pause)
		io.CopyN(io.Discard, buffered, r.ContentLength)
	case EndsAndReadsOn:
		tcp.CloseWrite()
		io.CopyN(io.Discard, buffered, r.ContentLength)
	case EndsAndStops:
		tcp.CloseWrite()
		time.Sleep(earlyPause)
	}
	return true
}

// bodyFor returns the body of the answer to a request.
func (e *Early) bodyFor(run *Run) string {
	last, _ := strconv.Atoi(run.LastEvent)
	return strings.NewReplacer("%s", run.ID, "%d", strconv.Itoa(last+1)).Replace(e.Body)
}

// ownFields returns the fields that every answer to a request has.
func (w *Worker) ownFields(id string) string {
	return fmt.Sprintf("%s: %s\r\n%s: sig-%s-%s\r\n", headerAttemptID, id, headerSignature, w.id, id)
}
