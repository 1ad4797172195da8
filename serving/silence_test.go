package serving

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/pointpass/pointpass/retry"
)

// pausingUpstream is an upstream whose first streams send an event and pause. Those that resume elsewhere
// are answered by resume.
type pausingUpstream struct {
	pause  time.Duration
	resume handler

	mu      sync.Mutex
	resumed int
}

func (u *pausingUpstream) Send(ctx context.Context, a Attempt) (*Reply, error) {
	if a.LastEvent != "" {
		u.mu.Lock()
		u.resumed++
		u.mu.Unlock()
		return u.resume(a)
	}
	r, w := io.Pipe()
	go func() {
		io.WriteString(w, "id: 1\ndata: x\n\n")
		select {
		case <-time.After(u.pause):
			io.WriteString(w, "id: 2\ndata: y\n\n")
			w.Close()
		case <-ctx.Done():
			w.CloseWithError(ctx.Err())
		}
	}()
	return &Reply{Status: http.StatusOK, Header: http.Header{}, Body: r, Length: -1}, nil
}

// upstreamFunc is an upstream of one function.
type upstreamFunc func(ctx context.Context, a Attempt) (*Reply, error)

func (f upstreamFunc) Send(ctx context.Context, a Attempt) (*Reply, error) {
	if _, err := a.Started(); err != nil {
		return nil, &NotSentError{Err: err}
	}
	return f(ctx, a)
}

// serveStreams sends requests to a server at once, and returns their answers; "" stands for one that was
// broken off.
func serveStreams(s *Server, n int) []string {
	answers := make([]string, n)
	var running sync.WaitGroup
	for i := range n {
		running.Go(func() {
			w := httptest.NewRecorder()
			defer func() {
				if recover() == nil {
					answers[i] = w.Body.String()
				}
			}()
			r := httptest.NewRequest(http.MethodPost, "http://a.example/x", nil)
			s.Serve(w, r, &Request{ID: "1", Method: http.MethodPost, Host: "a.example", Path: "/x", Model: "m", Timeout: 8 * time.Second})
		})
	}
	running.Wait()
	return answers
}

const wholeStream = "id: 1\ndata: x\n\nid: 2\ndata: y\n\n"

// TestWatch_SilenceCutsNoStream guards against streams that are cut in the middle because their groups are
// silent for some time and something that a move needs is gone once they have been canceled: a retry that
// another stream has taken, or room at the group that they move to.
func TestWatch_SilenceCutsNoStream(t *testing.T) {
	for _, c := range []struct {
		name    string
		retries float64
		resume  handler
	}{
		{"retries for all", 10, finishStream},
		{"a retry for one of them", 1, finishStream},
		{"no retry", 0, finishStream},
		{"the other group rejects", 10, rejectBusy},
		{"the other group can't be reached", 10, unreachable},
		{"the other group loses the answer", 10, loseAnswer},
		{"the other group fails", 10, answer(http.StatusInternalServerError, http.Header{}, "failed")},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			upstream := &pausingUpstream{pause: 2 * maxStreamSilence, resume: c.resume}
			s := newStreamServer(t, upstream)
			s.opts.Allowance = func() retry.Allowance { return retry.Allowance{Extra: c.retries, Window: time.Minute} }
			s.opts.MaxRequests = 100
			for i, text := range serveStreams(s, 40) {
				must.EqOp(t, wholeStream, text, must.Sprint("stream ", i))
			}
			must.SliceEmpty(t, s.opts.Balancer.InFlight())
			must.LessEq(t, int(c.retries), upstream.resumed)
		})
	}
}

// TestWatch_SilentGroupsStreamsMove checks that the streams of a group that stays silent go on elsewhere.
func TestWatch_SilentGroupsStreamsMove(t *testing.T) {
	upstream := &pausingUpstream{pause: time.Minute, resume: finishStream}
	for _, text := range serveStreams(newStreamServer(t, upstream), 6) {
		must.EqOp(t, wholeStream, text)
	}
}

// TestWatch_SilenceIsReportedWithoutARetry guards against a silent group that others don't learn of, since the
// request that waits there can't be sent elsewhere.
func TestWatch_SilenceIsReportedWithoutARetry(t *testing.T) {
	s := newStreamServer(t, nil)
	suspected := make(chan string, 1)
	s.opts.Suspect = func(group string, _ Failure) {
		select {
		case suspected <- group:
		default:
		}
	}
	s.opts.Upstream = upstreamFunc(func(ctx context.Context, a Attempt) (*Reply, error) {
		select {
		case group := <-suspected:
			must.EqOp(t, a.Worker.Membership.Group.Name, group)
		case <-ctx.Done():
			t.Error("the attempt was canceled")
		}
		return events(wholeStream), nil
	})
	s.opts.Allowance = func() retry.Allowance { return retry.Allowance{Window: time.Minute} }
	must.Eq(t, []string{wholeStream}, serveStreams(s, 1))
}

// TestWarn_ReservesOnce guards against a place at a target that is never given back, since an attempt is given up
// twice.
func TestWarn_ReservesOnce(t *testing.T) {
	s := newStreamServer(t, nil)
	first := true
	s.opts.Upstream = upstreamFunc(func(ctx context.Context, a Attempt) (*Reply, error) {
		if !first {
			return events(wholeStream), nil
		}
		first = false
		for range 3 {
			for _, w := range s.watches.list() {
				w.warn(time.Now())
			}
		}
		return nil, &LostError{Err: ctx.Err()}
	})
	must.Eq(t, []string{wholeStream}, serveStreams(s, 1))
	must.SliceEmpty(t, s.opts.Balancer.InFlight())
	must.EqOp(t, 1, s.budget("llm").Usage(time.Now(), s.opts.Allowance()).Retries)
}

// TestWarn_KeepsAttemptsWithoutARetry guards against requests that are ended since others report their group
// dead, though they can't be sent to another one: a silent group may be sound.
func TestWarn_KeepsAttemptsWithoutARetry(t *testing.T) {
	s := newStreamServer(t, nil)
	s.opts.Upstream = upstreamFunc(func(ctx context.Context, a Attempt) (*Reply, error) {
		for _, w := range s.watches.list() {
			s.moveAttempts(w.key, time.Now())
		}
		if ctx.Err() != nil {
			return nil, &LostError{Err: ctx.Err()}
		}
		return events(wholeStream), nil
	})
	s.opts.Allowance = func() retry.Allowance { return retry.Allowance{Window: time.Minute} }
	must.Eq(t, []string{wholeStream}, serveStreams(s, 1))
}
