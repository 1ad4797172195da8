// Package problem writes errors to callers as application/problem+json (RFC 9457),
// extended by what a caller needs for a retry: the outcome of the request and the
// time to wait.
package problem

import (
	"encoding/json"
	"fmt"
	"math"
	"net/http"
	"strconv"
	"time"

	"github.com/pointpass/pointpass/common/text"
)

// ContentType is the media type of RFC 9457.
const ContentType = "application/problem+json"

// Outcome states whether a request without an answer was run.
type Outcome string

const (
	// NotRun means that the request was not run and that this attempt never will be.
	NotRun Outcome = "not-run"
	// Unknown means that the request may have run.
	Unknown Outcome = "unknown"
	// Failed means that the request ran and failed with this error.
	Failed Outcome = "failed"
)

// Problem is an error response to a caller.
type Problem struct {
	status     int
	title      string
	detail     string
	field      string
	outcome    Outcome
	retryAfter time.Duration
	requestID  string
}

// maxDetailBytes bounds the detail, which may quote what the caller sent.
const maxDetailBytes = 512

// New returns a problem with an HTTP status, an outcome and a detail that is
// formatted as by fmt.Sprintf, and cut at its maximum length.
func New(status int, outcome Outcome, format string, args ...any) *Problem {
	detail := text.Cut(fmt.Sprintf(format, args...), maxDetailBytes)
	return &Problem{status: status, title: http.StatusText(status), outcome: outcome, detail: detail}
}

// WithField sets the name of the invalid part of the request.
func (p *Problem) WithField(field string) *Problem {
	p.field = field
	return p
}

// WithRetryAfter sets how long the caller should wait before a retry.
func (p *Problem) WithRetryAfter(d time.Duration) *Problem {
	p.retryAfter = d
	return p
}

// WithRequestID sets the id of the request in the logs.
func (p *Problem) WithRequestID(id string) *Problem {
	p.requestID = id
	return p
}

// Error returns the status, title, detail and outcome as one line.
func (p *Problem) Error() string {
	return fmt.Sprintf("%d %s: %s (%s)", p.status, p.title, p.detail, p.outcome)
}

// Status returns the HTTP status.
func (p *Problem) Status() int { return p.status }

// Outcome returns the request's outcome.
func (p *Problem) Outcome() Outcome { return p.outcome }

// Detail returns the human-readable explanation.
func (p *Problem) Detail() string { return p.detail }

type document struct {
	Type      string  `json:"type"`
	Title     string  `json:"title"`
	Status    int     `json:"status"`
	Detail    string  `json:"detail"`
	Field     string  `json:"field,omitempty"`
	Outcome   Outcome `json:"outcome"`
	RequestID string  `json:"request_id,omitempty"`
}

// MarshalJSON encodes the members of RFC 9457 and the extensions.
func (p *Problem) MarshalJSON() ([]byte, error) {
	return json.Marshal(document{
		Type:      "about:blank",
		Title:     p.title,
		Status:    p.status,
		Detail:    p.detail,
		Field:     p.field,
		Outcome:   p.outcome,
		RequestID: p.requestID,
	})
}

// Write sends the problem as the response. Retry-After is in whole seconds, rounded
// up (RFC 9110, section 10.2.3).
func (p *Problem) Write(w http.ResponseWriter) {
	body, _ := json.Marshal(p)
	w.Header().Set("Content-Type", ContentType)
	w.Header().Set("Pointpass-Outcome", string(p.outcome))
	if p.retryAfter > 0 {
		w.Header().Set("Retry-After", strconv.Itoa(int(math.Ceil(p.retryAfter.Seconds()))))
	}
	w.WriteHeader(p.status)
	w.Write(body)
}
