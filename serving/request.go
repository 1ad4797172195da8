// Package serving sends the requests of callers to workers and groups and relays their
// answers. A caller gets either a complete answer or a failure that states correctly whether
// the request may have run.
package serving

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/pointpass/pointpass/common/memory"
	"github.com/pointpass/pointpass/throttle"
	"github.com/pointpass/pointpass/workers"
)

// Request is one attempt of a caller, with its body read completely.
type Request struct {
	// ID is the caller's id of this attempt.
	ID     string
	Method string
	Host   string
	Path   string
	// Target is the path and query as received.
	Target string
	// Header is sent to the worker, without the headers of the connection.
	Header     http.Header
	Body       *memory.Bytes
	Credential string
	// Timeout is how long the caller waits, 0 if it doesn't say.
	Timeout time.Duration
	// Model is the requested model. PromptTokens is the size of the prompt, and
	// MaxAnswerTokens the most tokens that may be generated.
	Model                         string
	PromptTokens, MaxAnswerTokens int
	// PromptParts identifies the parts of the prompt, "" if the caller doesn't send them.
	PromptParts string
	// SharedParts are the ids of the parts of the prompt that other requests may share, in
	// order and without repeats.
	SharedParts []string
	// LastEvent is the id of the last event that the caller received of a stream that it
	// resumes, "" if it resumes none.
	LastEvent string
}

// Attempt is one attempt to run a request at a worker.
type Attempt struct {
	Request  *Request
	Worker   workers.Worker
	Customer string
	Priority int
	// Timeout is how long the worker may take.
	Timeout time.Duration
	// LastEvent is the id of the event after which a stream resumes.
	LastEvent string
	// Once is set if the request may not run twice. It is sent on a new connection that is closed
	// afterwards, so that a failure can't be that of an earlier request.
	Once bool
	// Fresh sends the request on a new connection that may be used again.
	Fresh bool
	// Started is called right before the request is written to a connection, nil for none. It returns what is left of
	// Timeout. After an error the request isn't written.
	Started func() (left time.Duration, err error)
	// Head is called with the bytes and lines of the head of the answer as they arrive, nil for none. An error ends the
	// attempt.
	Head func(bytes, lines int) error
}

// Reply is a worker's answer whose body isn't read yet.
type Reply struct {
	Status int
	Header http.Header
	// Length is the length of the body in bytes, -1 if unknown.
	Length int64
	Body   io.ReadCloser
	// EndsWithConnection is set if the body has neither a length nor chunks: the end of its
	// connection ends it.
	EndsWithConnection bool
	// NotRun is set if the worker didn't run the request and won't.
	NotRun bool
	// Unreachable is set if a peer didn't run the request, as it can't reach the workers.
	Unreachable bool
	// WrongWorker is set if a worker other than the intended one answered.
	WrongWorker bool
	// Backpressure is what the worker asks for in the head of its answer.
	Backpressure throttle.Backpressure

	// head is the memory of what stays until the body is closed, nil if it isn't counted.
	head *answerBody
}

// Upstream sends requests to workers.
type Upstream interface {
	// Send returns the worker's answer, a *NotSentError or a *LostError. It closes the
	// connection when ctx ends.
	Send(ctx context.Context, a Attempt) (*Reply, error)
}

// NotSentError means that nothing of the request was sent.
type NotSentError struct{ Err error }

// Error describes the error.
func (e *NotSentError) Error() string { return fmt.Sprintf("not sent: %v", e.Err) }

// Unwrap returns the cause.
func (e *NotSentError) Unwrap() error { return e.Err }

// LostError means that the request may have run, but its answer is lost.
type LostError struct {
	Err error
	// Kept is set if the connection had been used before.
	Kept bool
	// Ended is set if the worker has ended the connection: what it hasn't read by then, it never will.
	Ended bool
}

// Error describes the error.
func (e *LostError) Error() string { return fmt.Sprintf("answer lost: %v", e.Err) }

// Unwrap returns the cause.
func (e *LostError) Unwrap() error { return e.Err }
