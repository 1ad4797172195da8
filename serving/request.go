// Package serving takes the requests of callers to workers and groups, and
// brings back whole answers or the truth about their lack.
package serving

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/pointpass/pointpass/throttle"
	"github.com/pointpass/pointpass/workers"
)

// Request is one try of a caller, read whole.
type Request struct {
	// ID is the caller's name for this try.
	ID     string
	Method string
	Host   string
	Path   string
	// Target is the path with the query, as it came.
	Target string
	// Header travels to the worker; headers of the connection are left out.
	Header     http.Header
	Body       []byte
	Credential string
	// Wait is how long the caller will wait, 0 if it doesn't say.
	Wait time.Duration
	// Model is the model asked for, Prompt and Answer the tokens of the prompt
	// and the most that may be generated.
	Model          string
	Prompt, Answer int
	// Parts names the parts of the prompt, "" if nobody says.
	Parts string
	// LastEvent is the id of the last event that the caller has of a stream that
	// it resumes, "" if it has none.
	LastEvent string
}

// Attempt is one sending of a request to a worker.
type Attempt struct {
	Request  *Request
	Worker   workers.Worker
	Customer string
	Priority int
	// Left is how long the worker may take.
	Left time.Duration
	// LastEvent is the id of the event after which a stream goes on.
	LastEvent string
	// NewConnection keeps the request off connections that were used before, so
	// that a failure can't be that of an earlier request.
	NewConnection bool
}

// Reply is a worker's answer as far as its head.
type Reply struct {
	Status int
	Header http.Header
	// Length is the length of the body in bytes, -1 if it isn't told.
	Length int64
	Body   io.ReadCloser
	// NotRun tells that the worker didn't run the request and won't.
	NotRun bool
	// Mistaken tells that another worker than the one meant has answered.
	Mistaken bool
	// Ask is what the worker asks of those who send it requests.
	Ask throttle.Ask
}

// Upstream sends requests to workers.
type Upstream interface {
	// Send returns the worker's answer, *NotSentError or *LostError. When ctx
	// ends the connection is closed.
	Send(ctx context.Context, a Attempt) (*Reply, error)
}

// NotSentError tells that nothing of the request has left.
type NotSentError struct{ Err error }

// Error describes the error.
func (e *NotSentError) Error() string { return fmt.Sprintf("not sent: %v", e.Err) }

// Unwrap returns the cause.
func (e *NotSentError) Unwrap() error { return e.Err }

// LostError tells that the request may have run, but that its answer is lost.
type LostError struct{ Err error }

// Error describes the error.
func (e *LostError) Error() string { return fmt.Sprintf("answer lost: %v", e.Err) }

// Unwrap returns the cause.
func (e *LostError) Unwrap() error { return e.Err }
