package engine

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"strconv"
	"time"
)

// Headers between the gateway and endpoints.
const (
	headerGroup   = "Engine-Group"
	headerEpoch   = "Engine-Epoch"
	headerStream  = "Engine-Stream"
	headerRunning = "Engine-Running"
	headerWaiting = "Engine-Waiting"
	headerOutcome = "Engine-Outcome"
	// Engines start what has the larger priority first.
	headerPriority = "Engine-Priority"
	headerKey      = "Pointpass-Key"
	outcomeNotRun  = "not-run"
)

// dialTimeout bounds how long connecting to an endpoint may take.
const dialTimeout = time.Second

// Call is one attempt of a request on its way to an endpoint.
type Call struct {
	Addr   string
	Group  string
	Epoch  uint64
	Stream string // name under which the engine keeps the answer
	Key    string // the caller's key, for endpoints that count by it
	Method string
	Path   string
	Header http.Header
	Body   []byte
	// Priority is the larger, the sooner the request should start.
	Priority int
	// Once tells that the request may not be repeated.
	Once bool
}

// Reply is an endpoint's answer, its body not yet read.
type Reply struct {
	status  int
	header  http.Header
	body    io.ReadCloser
	running int
	waiting int
	loaded  bool
}

// Status returns the HTTP status.
func (r *Reply) Status() int { return r.status }

// ContentType returns the media type of the body.
func (r *Reply) ContentType() string { return r.header.Get("Content-Type") }

// Body returns the body, which must be closed.
func (r *Reply) Body() io.ReadCloser { return r.body }

// Load returns how many requests run and wait at the endpoint, if it told.
func (r *Reply) Load() (running, waiting int, told bool) { return r.running, r.waiting, r.loaded }

// Sender sends requests to endpoints, each of them once: neither it nor the
// HTTP client below sends again what may have arrived.
type Sender struct {
	many http.RoundTripper
	once http.RoundTripper
}

// NewSender returns a sender and a function that frees its connections.
// Requests that may not be repeated get a connection of their own, since on a
// connection used before, a server's closing can't be told from a server's
// crash after the request arrived.
func NewSender() (*Sender, func()) {
	dialer := &net.Dialer{Timeout: dialTimeout}
	many := &http.Transport{
		DialContext:         dialer.DialContext,
		MaxIdleConnsPerHost: 64,
		IdleConnTimeout:     30 * time.Second,
		DisableCompression:  true,
	}
	once := &http.Transport{DialContext: dialer.DialContext, DisableKeepAlives: true, DisableCompression: true}
	return &Sender{many: many, once: once}, many.CloseIdleConnections
}

// body hides the type of a reader from net/http, which would otherwise learn
// to rewind the body and send a request again by itself.
type body struct {
	io.Reader
}

// Close does nothing; the bytes belong to the caller.
func (body) Close() error { return nil }

// Send makes one attempt. The error is a *NotRunError if the request truly did
// not run, else a *LostError.
func (s *Sender) Send(ctx context.Context, call Call) (*Reply, error) {
	connected := false
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { connected = true }}
	r, err := newRequest(httptrace.WithClientTrace(ctx, trace), call)
	if err != nil {
		return nil, &NotRunError{addr: call.Addr, err: err}
	}
	transport := s.many
	if call.Once {
		transport = s.once
	}
	resp, err := transport.RoundTrip(r)
	if err != nil {
		if !connected {
			return nil, &NotRunError{addr: call.Addr, err: err}
		}
		return nil, &LostError{addr: call.Addr, err: err}
	}
	return replyOf(call, resp)
}

func newRequest(ctx context.Context, call Call) (*http.Request, error) {
	r, err := http.NewRequestWithContext(ctx, call.Method, "http://"+call.Addr+call.Path, nil)
	if err != nil {
		return nil, err
	}
	for name, values := range call.Header {
		r.Header[name] = values
	}
	if len(call.Body) > 0 {
		r.Body = body{bytes.NewReader(call.Body)}
		r.ContentLength = int64(len(call.Body))
	}
	if call.Group != "" {
		r.Header.Set(headerGroup, call.Group)
		r.Header.Set(headerEpoch, strconv.FormatUint(call.Epoch, 10))
	}
	r.Header.Set(headerStream, call.Stream)
	if call.Priority != 0 {
		r.Header.Set(headerPriority, strconv.Itoa(call.Priority))
	}
	if call.Key != "" {
		r.Header.Set(headerKey, call.Key)
	}
	return r, nil
}

func replyOf(call Call, resp *http.Response) (*Reply, error) {
	reply := &Reply{status: resp.StatusCode, header: resp.Header, body: resp.Body}
	running, errRunning := strconv.Atoi(resp.Header.Get(headerRunning))
	waiting, errWaiting := strconv.Atoi(resp.Header.Get(headerWaiting))
	if errRunning == nil && errWaiting == nil {
		reply.running, reply.waiting, reply.loaded = running, waiting, true
	}
	if resp.Header.Get(headerOutcome) == outcomeNotRun {
		resp.Body.Close()
		return nil, &NotRunError{addr: call.Addr, err: fmt.Errorf("refused with status %d", resp.StatusCode)}
	}
	if echoed := resp.Header.Get(headerStream); echoed != "" && echoed != call.Stream {
		resp.Body.Close()
		return nil, &LostError{addr: call.Addr, err: errors.New("the answer belongs to another request")}
	}
	return reply, nil
}

// Resume asks an engine for the rest of an answer from an offset in events on.
func (s *Sender) Resume(ctx context.Context, addr, stream string, from int) (*Reply, error) {
	path := "/engine/streams/" + url.PathEscape(stream) + "?from=" + strconv.Itoa(from)
	return s.Send(ctx, Call{Addr: addr, Stream: stream, Method: http.MethodGet, Path: path})
}

// Cancel tells an engine that nobody waits for an answer any more.
func (s *Sender) Cancel(ctx context.Context, addr, stream string) error {
	path := "/engine/streams/" + url.PathEscape(stream)
	reply, err := s.Send(ctx, Call{Addr: addr, Stream: stream, Method: http.MethodDelete, Path: path})
	if err != nil {
		return err
	}
	return reply.body.Close()
}

// NotRunError says that a request truly did not run at the endpoint.
type NotRunError struct {
	addr string
	err  error
}

// Error names the endpoint.
func (e *NotRunError) Error() string { return fmt.Sprintf("engine %s: did not run: %v", e.addr, e.err) }

// Unwrap returns the cause.
func (e *NotRunError) Unwrap() error { return e.err }

// LostError says that a request may have run but its answer is lost.
type LostError struct {
	addr string
	err  error
}

// Error names the endpoint.
func (e *LostError) Error() string { return fmt.Sprintf("engine %s: answer lost: %v", e.addr, e.err) }

// Unwrap returns the cause.
func (e *LostError) Unwrap() error { return e.err }
