// Package problem writes errors to callers as application/problem+json
// (RFC 9457), extended by what callers must know before they ask again: the
// outcome of the request and when to come back.
package problem

import (
	"encoding/json"
	"fmt"
	"math"
	"net/http"
	"strconv"
	"time"
)

// ContentType is the media type of RFC 9457.
const ContentType = "application/problem+json"

// Outcome says what became of a request that has no answer.
type Outcome string

const (
	// NotRun means that the request ran nowhere and this attempt never will.
	NotRun Outcome = "not-run"
	// Unknown means that the request may have run.
	Unknown Outcome = "unknown"
	// Failed means that the request ran and ended in this error.
	Failed Outcome = "failed"
)

// Problem is an error on its way to a caller.
type Problem struct {
	status     int
	title      string
	detail     string
	field      string
	outcome    Outcome
	retryAfter time.Duration
	requestID  string
}

// New returns a problem with an HTTP status, an outcome and a detail in the
// manner of fmt.Sprintf.
func New(status int, outcome Outcome, format string, args ...any) *Problem {
	return &Problem{status: status, title: http.StatusText(status), outcome: outcome, detail: fmt.Sprintf(format, args...)}
}

// WithField names the part of the request that is at fault.
func (p *Problem) WithField(field string) *Problem {
	p.field = field
	return p
}

// WithRetryAfter tells the caller how long to wait before asking again.
func (p *Problem) WithRetryAfter(d time.Duration) *Problem {
	p.retryAfter = d
	return p
}

// WithRequestID adds the id under which logs know the request.
func (p *Problem) WithRequestID(id string) *Problem {
	p.requestID = id
	return p
}

// Error makes a problem usable as an error.
func (p *Problem) Error() string {
	return fmt.Sprintf("%d %s: %s (%s)", p.status, p.title, p.detail, p.outcome)
}

// Status returns the HTTP status.
func (p *Problem) Status() int { return p.status }

// Outcome returns what became of the request.
func (p *Problem) Outcome() Outcome { return p.outcome }

// Detail returns the explanation for people.
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

// MarshalJSON writes the members of RFC 9457 and the extensions.
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

// Write sends the problem. Retry-After is in whole seconds, rounded up
// (RFC 9110, section 10.2.3).
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
