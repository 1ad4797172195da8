package standin

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// earlyUpload is more than the buffers between a daemon and a worker take.
var earlyUpload = strings.Repeat("x", 8<<20)

// newUploadCluster starts a cluster with four plain workers that accepts long uploads.
func newUploadCluster(t *testing.T, models int) *testCluster {
	s := newTestCluster(t, models)
	s.config.Limits.BodyBytes = 2 * len(earlyUpload)
	for i := range s.config.Routes {
		s.config.Routes[i].Attempts = 3
	}
	s.store.Apply(s.config)
	s.store.Checker().SetRetryExtra(budgetExtra)
	s.addWorker("a2", "app", "")
	s.addWorker("a3", "app", "")
	return s
}

// upload sends a request with a long body.
func (s *testCluster) upload(d *Daemon, path string) (Request, Reply) {
	a := s.newRequest(http.MethodPost, path)
	a.Header = streamHeader()
	a.Body = earlyUpload
	return a, d.Send(s.t.Context(), a)
}

// earlyAnswers returns how many requests workers have answered early.
func earlyAnswers(list []*Worker) int {
	n := 0
	for _, w := range list {
		n += w.EarlyAnswers()
	}
	return n
}

const (
	plainPart  = "answer to "
	streamPart = "id: %d\ndata: %s-%d\n\n"
)

// TestAnswers_ResetUnderUploads checks rule MIXED: an answer without a length whose connection is reset while the
// request is still being written isn't told as a whole one.
func TestAnswers_ResetUnderUploads(t *testing.T) {
	t.Parallel()
	const tries = 3
	s := newUploadCluster(t, 4)
	d := s.startAs(Setup{FirstStart: true, RetryExtra: budgetExtra})
	s.awaitGroups(2)
	s.awaitShares()
	heads := s.openGroupHeads()
	early := []*Worker{s.workers["a0"], s.workers["a1"], heads[0]}
	for _, e := range []Early{
		{Head: "HTTP/1.1 200 OK\r\n", Body: plainPart, Pause: time.Millisecond},
		{Head: "HTTP/1.1 200 OK\r\n", Body: plainPart, Pause: 100 * time.Millisecond},
		{Head: "HTTP/1.1 200 OK\r\nConnection: close\r\n", Body: plainPart, Pause: time.Millisecond},
		{Head: "HTTP/1.0 200 OK\r\n", Body: plainPart, Pause: time.Millisecond},
		{Head: "HTTP/1.1 200 OK\r\n", Body: plainPart, Read: 300 << 10, Pause: time.Millisecond},
		{Head: "HTTP/1.1 200 OK\r\n", Pause: time.Millisecond},
		{Head: "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n", Body: streamPart, Pause: time.Millisecond},
		{Head: "HTTP/1.1 201 Created\r\nContent-Type: text/event-stream\r\n", Body: streamPart, Pause: time.Millisecond},
		{Head: "HTTP/1.1 404 Not Found\r\n", Body: plainPart, Pause: time.Millisecond},
		{Head: "HTTP/1.1 200 OK\r\nContent-Length: 40\r\n", Body: plainPart, Pause: time.Millisecond},
		{Head: "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n", Body: "a\r\n" + plainPart + "\r\n", Pause: time.Millisecond},
	} {
		for _, w := range early {
			w.SetEarly(&e)
		}
		for range tries {
			for _, path := range []string{"/get/x", "/post/x", "/ask/q"} {
				a, r := s.upload(d, path)
				s.checkWhole(fmt.Sprintf("%+v", e), a, r)
				if path == "/post/x" {
					must.LessEq(t, 1, len(s.runs(a.ID)))
				}
			}
		}
	}
	heads[0].SetEarly(&Early{Head: "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n", Body: streamPart, Pause: time.Millisecond})
	for _, fault := range []Fault{CutsStream, StopsMidStream} {
		heads[1].SetFault(fault) // what it has begun is resumed at the other group, or moved there
		for range tries {
			a, r := s.upload(d, "/ask/q")
			s.checkWhole(fmt.Sprint("fault ", fault), a, r)
		}
	}
	t.Log(earlyAnswers(early[:2]), " plain answers and ", earlyAnswers(early[2:]), " streams broken off")
	must.Positive(t, earlyAnswers(early[:2]))
	must.Positive(t, earlyAnswers(early[2:]))
}

// TestAnswers_ResetUnderForwardedUploads is the same at the daemon that runs a request for another one.
func TestAnswers_ResetUnderForwardedUploads(t *testing.T) {
	t.Parallel()
	const tries = 3
	s := newUploadCluster(t, 4)
	s.startForwarding()
	early := []*Worker{s.workers["a0"], s.workers["a1"], s.openGroupHeads()[0]}
	for _, e := range []Early{
		{Head: "HTTP/1.1 200 OK\r\n", Body: plainPart, Pause: time.Millisecond},
		{Head: "HTTP/1.0 200 OK\r\n", Body: plainPart, Pause: time.Millisecond},
		{Head: "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n", Body: streamPart, Pause: time.Millisecond},
	} {
		for _, w := range early {
			w.SetEarly(&e)
		}
		for range tries {
			for _, path := range []string{"/get/x", "/post/x", "/ask/q"} {
				a, r := s.upload(s.daemons[0], path)
				s.checkWhole(fmt.Sprintf("%+v", e), a, r)
			}
		}
	}
	broken := earlyAnswers(early)
	t.Log(broken, " answers broken off")
	must.Positive(t, broken)
}

// TestAnswers_EarlyOnes checks that early answers which are whole are served: with a length, in chunks, and ones that
// end with their connection, whether the worker reads on or not.
func TestAnswers_EarlyOnes(t *testing.T) {
	t.Parallel()
	const tries = 4
	s := newUploadCluster(t, 0)
	d := s.start(true)
	early := []*Worker{s.workers["a0"], s.workers["a1"], s.workers["a2"], s.workers["a3"]}
	const whole = "answer to %s of a0" // with an id of 16 digits, 32 bytes
	for _, e := range []Early{
		{Head: "HTTP/1.1 200 OK\r\nContent-Length: 32\r\n", Body: whole, End: ReadsOn},
		{Head: "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n", Body: "20\r\n" + whole + "\r\n0\r\n\r\n", End: ReadsOn},
		{Head: "HTTP/1.1 200 OK\r\n", Body: whole, End: ReadsOn, Pause: 5 * time.Millisecond},
		{Head: "HTTP/1.1 200 OK\r\n", Body: whole, End: EndsAndReadsOn},
		{Head: "HTTP/1.1 200 OK\r\n", Body: whole, End: EndsAndStops},
		{Head: "HTTP/1.0 200 OK\r\n", Body: whole, End: EndsAndStops},
	} {
		for _, w := range early {
			w.SetEarly(&e)
		}
		for range tries {
			for _, path := range []string{"/get/x", "/post/x"} {
				a, r := s.upload(d, path)
				must.EqOp(t, http.StatusOK, r.Status, must.Sprintf("%+v", e))
				s.checkWhole(fmt.Sprintf("%+v", e), a, r)
			}
		}
	}
	t.Log(earlyAnswers(early), " early answers")
	must.Positive(t, earlyAnswers(early))
}
