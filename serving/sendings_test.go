package serving

import (
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/iotest"
	"time"

	"github.com/shoenig/test/must"

	"github.com/pointpass/pointpass/catalog"
)

// breakBody sends the head of an answer and breaks off in its body.
func breakBody(Attempt) (*Reply, error) {
	body := io.MultiReader(strings.NewReader("par"), iotest.ErrReader(io.ErrUnexpectedEOF))
	return &Reply{Status: http.StatusOK, Header: http.Header{}, Body: io.NopCloser(body), Length: 9}, nil
}

// TestServe_CountsEachSendingOnce guards against a failed sending that is counted twice, which takes an
// attempt from the request, or not at all.
func TestServe_CountsEachSendingOnce(t *testing.T) {
	const attempts = 3
	for _, c := range []struct {
		name    string
		kind    catalog.Kind
		handler handler
		sent    int
	}{
		{"no answer", catalog.Repeatable, loseAnswer, attempts},
		{"part of an answer", catalog.Repeatable, breakBody, attempts},
		{"an error", catalog.Repeatable, answer(http.StatusInternalServerError, http.Header{}, "oops"), attempts},
		{"part of a stream", catalog.Stream, cutStream, attempts},
		{"no answer, at most once", catalog.Once, loseAnswer, 1},
		{"part of an answer, at most once", catalog.Once, breakBody, 1},
		{"nothing sent", catalog.Repeatable, unreachable, len(allHalls)},
	} {
		f := newFleet(c.kind, allHalls, c.handler)
		f.configure(nil, nil)
		req := &Request{ID: "1", Method: http.MethodPost, Host: "a.example", Path: "/x", Model: "m", Credential: "key", Timeout: time.Minute}
		func() {
			defer func() { recover() }() // a stream that can't go on is broken off
			f.server.ServeForwarded(httptest.NewRecorder(), httptest.NewRequest(http.MethodPost, "http://a.example/x", nil),
				Forward{Attempt: Attempt{Request: req}, Attempts: attempts, From: "other", ConfigVersion: 1})
		}()
		must.Len(t, c.sent, f.regions, must.Sprint(c.name))
	}
}

// TestServe_NewConnectionAfterAKeptOneEnded checks that a request is sent again on a new connection only if
// a kept one ended under it: new connections take capacity of workers.
func TestServe_NewConnectionAfterAKeptOneEnded(t *testing.T) {
	for _, kept := range []bool{true, false} {
		var fresh []bool
		record := func(next handler) handler {
			return func(a Attempt) (*Reply, error) {
				fresh = append(fresh, a.Fresh)
				return next(a)
			}
		}
		lose := func(Attempt) (*Reply, error) { return nil, &LostError{Err: io.EOF, Kept: kept} }
		f := newFleet(catalog.Repeatable, allHalls, record(lose), record(breakBody), record(signed))
		f.configure(nil, nil)
		w, _ := f.ask()
		must.EqOp(t, http.StatusOK, w.Code)
		must.Eq(t, []bool{false, kept, false}, fresh)
	}
}
