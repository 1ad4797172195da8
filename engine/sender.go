package engine

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/pointpass/pointpass/common/conns"
	"github.com/pointpass/pointpass/common/memory"
)

// Headers between the gateway and endpoints.
const (
	headerGroup   = "Engine-Group"
	headerEpoch   = "Engine-Epoch"
	headerStream  = "Engine-Stream"
	headerRunning = "Engine-Running"
	headerWaiting = "Engine-Waiting"
	headerOutcome = "Engine-Outcome"
	// Engines start requests with a higher priority first.
	headerPriority = "Engine-Priority"
	headerKey      = "Pointpass-Key"
	outcomeNotRun  = "not-run"
)

// dialTimeout bounds connecting to an endpoint.
const dialTimeout = time.Second

// Call is one attempt to send a request to an endpoint.
type Call struct {
	Addr   string
	Group  string
	Epoch  uint64
	Stream string // name under which the engine keeps the answer
	Key    string // the caller's idempotency key, for endpoints that count requests by it
	Method string
	Path   string
	Header http.Header
	Body   *memory.Bytes
	// Priority is higher for requests that should start earlier.
	Priority int
	// Once is true if the request may run at most once.
	Once bool
}

// Reply is an endpoint's response. Its body is unread.
type Reply struct {
	status  int
	header  http.Header
	body    io.ReadCloser
	running int
	waiting int
	hasLoad bool
}

// Status returns the HTTP status.
func (r *Reply) Status() int { return r.status }

// ContentType returns the media type of the body.
func (r *Reply) ContentType() string { return r.header.Get("Content-Type") }

// Body returns the body, which must be closed.
func (r *Reply) Body() io.ReadCloser { return r.body }

// Load returns how many requests run and wait at the endpoint. It returns false if the
// response doesn't report them.
func (r *Reply) Load() (running, waiting int, reported bool) { return r.running, r.waiting, r.hasLoad }

// Sender sends requests to endpoints, each of them once: neither the Sender nor the connections below it
// repeat a request that may have arrived.
type Sender struct{ pool *conns.Pool }

// Limits of connections to endpoints.
const (
	maxIdleConns   = 64
	idleTimeout    = 30 * time.Second
	maxHeaderBytes = 64 << 10
)

// NewSender returns a sender and a function that closes its idle connections.
// Requests that may run at most once always use a new connection: on a reused one, an
// idle close by the server can't be distinguished from a crash after the request
// arrived.
func NewSender() (*Sender, func()) {
	pool, closePool := conns.New(conns.Options{
		Dialer:         &net.Dialer{Timeout: dialTimeout},
		MaxIdle:        maxIdleConns,
		IdleTimeout:    idleTimeout,
		MaxHeaderBytes: maxHeaderBytes,
	})
	return &Sender{pool: pool}, closePool
}

// Send makes one attempt. The error is a *NotRunError if the request certainly did not
// run, else a *LostError.
func (s *Sender) Send(ctx context.Context, call Call) (*Reply, error) {
	r, err := newRequest(ctx, call)
	if err != nil {
		return nil, &NotRunError{addr: call.Addr, err: err}
	}
	resp, err := s.pool.Send(r, conns.Sending{})
	var failed *conns.SendError
	if errors.As(err, &failed) && !failed.Sent {
		return nil, &NotRunError{addr: call.Addr, err: err}
	}
	if err != nil {
		return nil, &LostError{addr: call.Addr, err: err}
	}
	return newReply(call, resp)
}

func newRequest(ctx context.Context, call Call) (*http.Request, error) {
	r, err := http.NewRequestWithContext(ctx, call.Method, "http://"+call.Addr+call.Path, nil)
	if err != nil {
		return nil, err
	}
	for name, values := range call.Header {
		r.Header[name] = values
	}
	if call.Body.Len() > 0 {
		r.GetBody = func() (io.ReadCloser, error) { return io.NopCloser(call.Body.NewReader()), nil }
		r.Body = io.NopCloser(call.Body.NewReader())
		r.ContentLength = int64(call.Body.Len())
	}
	r.Close = call.Once
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

// newReply converts a response. It returns an error if the endpoint reports that the
// request did not run, or if the response belongs to another stream.
func newReply(call Call, resp *http.Response) (*Reply, error) {
	reply := &Reply{status: resp.StatusCode, header: resp.Header, body: resp.Body}
	running, errRunning := strconv.Atoi(resp.Header.Get(headerRunning))
	waiting, errWaiting := strconv.Atoi(resp.Header.Get(headerWaiting))
	if errRunning == nil && errWaiting == nil {
		reply.running, reply.waiting, reply.hasLoad = running, waiting, true
	}
	if resp.Header.Get(headerOutcome) == outcomeNotRun {
		resp.Body.Close()
		return nil, &NotRunError{addr: call.Addr, err: fmt.Errorf("refused with status %d", resp.StatusCode)}
	}
	if stream := resp.Header.Get(headerStream); stream != "" && stream != call.Stream {
		resp.Body.Close()
		return nil, &LostError{addr: call.Addr, err: errors.New("the answer belongs to another request")}
	}
	return reply, nil
}

// Resume requests the rest of an answer from an engine. The offset counts events.
func (s *Sender) Resume(ctx context.Context, addr, stream string, offset int) (*Reply, error) {
	path := "/engine/streams/" + url.PathEscape(stream) + "?from=" + strconv.Itoa(offset)
	return s.Send(ctx, Call{Addr: addr, Stream: stream, Method: http.MethodGet, Path: path})
}

// Cancel informs an engine that a stream is no longer needed.
func (s *Sender) Cancel(ctx context.Context, addr, stream string) error {
	path := "/engine/streams/" + url.PathEscape(stream)
	reply, err := s.Send(ctx, Call{Addr: addr, Stream: stream, Method: http.MethodDelete, Path: path})
	if err != nil {
		return err
	}
	return reply.body.Close()
}

// NotRunError reports that a request certainly did not run at the endpoint.
type NotRunError struct {
	addr string
	err  error
}

// Error names the endpoint.
func (e *NotRunError) Error() string { return fmt.Sprintf("engine %s: did not run: %v", e.addr, e.err) }

// Unwrap returns the cause.
func (e *NotRunError) Unwrap() error { return e.err }

// LostError reports that a request may have run but its answer is lost.
type LostError struct {
	addr string
	err  error
}

// Error names the endpoint.
func (e *LostError) Error() string { return fmt.Sprintf("engine %s: answer lost: %v", e.addr, e.err) }

// Unwrap returns the cause.
func (e *LostError) Unwrap() error { return e.err }
