package serving

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"sync/atomic"
	"testing"
	"testing/iotest"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/phuslu/log"
	"github.com/shoenig/test/must"

	"github.com/pointpass/pointpass/catalog"
	"github.com/pointpass/pointpass/load"
	"github.com/pointpass/pointpass/placement"
	"github.com/pointpass/pointpass/quarantine"
	"github.com/pointpass/pointpass/retry"
	"github.com/pointpass/pointpass/throttle"
	"github.com/pointpass/pointpass/workers"
)

// silentFirstUpstream is an upstream that never answers its first request.
type silentFirstUpstream struct {
	silent chan string // the worker of the first request
	cause  chan error  // the cancellation cause of its attempt
}

func (h *silentFirstUpstream) Send(ctx context.Context, a Attempt) (*Reply, error) {
	select {
	case h.silent <- a.Worker.ID:
		<-ctx.Done()
		h.cause <- context.Cause(ctx)
		return nil, &LostError{Err: ctx.Err()}
	default:
	}
	body := io.NopCloser(strings.NewReader("id: 1\ndata: x\n\n"))
	return &Reply{Status: http.StatusOK, Header: http.Header{}, Body: body, Length: -1}, nil
}

// newStreamServer returns a server of one model with two groups.
func newStreamServer(t *testing.T, upstream Upstream) *Server {
	t.Helper()
	sends := func(ctx context.Context, a Attempt) (*Reply, error) { return upstream.Send(ctx, a) }
	service := catalog.Service{Name: "llm", Runtime: &catalog.Runtime{Models: []catalog.Model{{Name: "m", Size: 2}}}}
	route := catalog.Route{Name: "ask", Host: "a.example", Prefix: "/", Kind: catalog.Stream, Resumable: true, Attempts: 2, Public: true, Shares: []catalog.Share{{Service: "llm", Weight: 1}}}
	var catalogs catalog.Holder
	catalogs.Accept(catalog.New(1, catalog.Limits{}, []catalog.Route{route}, []catalog.Service{service}, nil), time.Now())
	registry := workers.NewRegistry(func(*workers.View) {})
	registry.Apply(append(group("m", 1, workers.Open, 2), group("m", 2, workers.Open, 2)...), nil, true)
	return NewServer(Options{
		Reach:          anyReach{},
		Guard:          quarantine.NewGuard(time.Now),
		AnswerObserver: throttle.New("x", throttle.NewTracker(metrics.NewSet(), &log.Logger{Level: log.PanicLevel})),
		Placement:      placement.NewDecider(nil, placement.NoRamp{}, placement.NoThrottle{}, time.Now), WaitFresh: func(context.Context) {},
		Catalogs: &catalogs, Workers: registry.View, Upstream: upstreamFunc(sends), Balancer: NewBalancer("z1"),
		Counters: NewCounters(metrics.NewSet()), Evidence: func() catalog.EvidencePolicy { return catalog.NewEvidencePolicy(time.Minute, time.Minute) },
		Allowance:    func() retry.Allowance { return retry.Allowance{Extra: 10, Window: time.Second} },
		RecordDemand: func(load.Model, time.Duration) {},
		DemandShare:  func(load.Model) (float64, float64, bool) { return 0, 0, false },
		Suspect:      func(string, Failure) {}, OnFirstRequest: func() {}, ReceivesWarnings: func() bool { return true }, MaxRequests: 10,
		Now: time.Now, Log: &log.Logger{Level: log.PanicLevel},
	})
}

func ask(s *Server) <-chan *httptest.ResponseRecorder {
	answered := make(chan *httptest.ResponseRecorder, 1)
	go func() {
		w := httptest.NewRecorder()
		r := httptest.NewRequest(http.MethodPost, "http://a.example/x", nil)
		s.Serve(w, r, &Request{ID: "1", Method: http.MethodPost, Host: "a.example", Path: "/x", Model: "m"})
		answered <- w
	}()
	return answered
}

// targetOf returns the group that a worker is the head of.
func targetOf(t *testing.T, s *Server, worker string) string {
	t.Helper()
	w, found := s.opts.Workers().Worker(worker)
	must.True(t, found)
	return w.Membership.Group.Name
}

// TestWarn_MovesWaitingRequest guards against a request that waits for its own timeout at a
// group which another daemon reported dead. Another group must answer it well before that.
func TestWarn_MovesWaitingRequest(t *testing.T) {
	upstream := &silentFirstUpstream{silent: make(chan string, 1), cause: make(chan error, 1)}
	s := newStreamServer(t, upstream)
	answered := ask(s)
	var key string
	for key == "" {
		for _, g := range s.opts.Workers().Groups() {
			if len(s.watches.at(g.ID.Name)) > 0 {
				key = g.ID.Name
			}
		}
	}
	must.True(t, s.Warn(key, "e1", true, time.Minute))
	must.ErrorIs(t, <-upstream.cause, errWarned)
	w := <-answered
	must.EqOp(t, http.StatusOK, w.Code)
	must.EqOp(t, key, targetOf(t, s, <-upstream.silent))
	must.True(t, s.opts.Balancer.Warned(key, time.Now()))
	must.SliceEmpty(t, s.watches.at(key), must.Sprint("the watch of a finished request must be removed"))
}

// TestWarn_IgnoredForActiveGroup checks that a warning is ignored for a group that answers
// requests of this daemon: it is alive.
func TestWarn_IgnoredForActiveGroup(t *testing.T) {
	s := newStreamServer(t, abortingUpstream{})
	s.opts.Balancer.RecordActivity("m.1", time.Now(), time.Millisecond, false)
	must.False(t, s.Warn("m.1", "e1 e2", true, time.Minute))
	must.False(t, s.opts.Balancer.Warned("m.1", time.Now()))
	must.True(t, s.Warn("m.2", "e1 e2", true, time.Minute))
}

// newResumableExchange returns the exchange of a request that has one more attempt.
func newResumableExchange(s *Server) *exchange {
	e := &exchange{server: s, req: &Request{Model: "m"}, tried: []string{"m.1"}, route: &catalog.Route{Resumable: true, Attempts: 2}}
	e.service, _ = s.opts.Catalogs.Current().Catalog.Service("llm")
	return e
}

// TestWarn_SlowGroupKeepsRequests checks that a group which is reported silent, but not dead,
// only gets no new requests, and gets them again once the warning is withdrawn.
func TestWarn_SlowGroupKeepsRequests(t *testing.T) {
	s := newStreamServer(t, abortingUpstream{})
	ctx, cancel := context.WithCancelCause(t.Context())
	e := newResumableExchange(s)
	w := e.watch("m.1", cancel)
	defer w.stop()
	must.True(t, s.Warn("m.1", "e1 e2 e3", false, time.Minute))
	must.NoError(t, ctx.Err())
	must.True(t, s.opts.Balancer.Warned("m.1", time.Now()))
	s.WithdrawWarning("m.1")
	must.False(t, s.opts.Balancer.Warned("m.1", time.Now()))
	must.True(t, s.Warn("m.1", "e1", true, time.Minute))
	must.ErrorIs(t, context.Cause(ctx), errWarned)
}

// TestWatch_OwnStallCancelsNothing guards against giving up targets after a stall of this
// process, which finds all its streams silent. It must check again first.
func TestWatch_OwnStallCancelsNothing(t *testing.T) {
	s := newStreamServer(t, abortingUpstream{})
	ctx, cancel := context.WithCancelCause(t.Context())
	e := newResumableExchange(s)
	w := e.watch("m.1", cancel)
	defer w.stop()
	stall := 10 * time.Second
	w.started = w.started.Add(-stall)
	w.due = time.Now().Add(-stall)
	w.check()
	must.NoError(t, ctx.Err())
	w.due = time.Now()
	w.check()
	must.ErrorIs(t, context.Cause(ctx), errStalled)
}

// TestWatch_UnmovableStreamIsNotCut guards against canceling a started answer for its group's
// silence when no attempt, retry or other group is left: the rest of the answer would be lost.
func TestWatch_UnmovableStreamIsNotCut(t *testing.T) {
	for _, c := range []struct {
		name      string
		sent      int
		retries   float64
		warned    bool
		tried     []string
		wantCause error
	}{
		{"the stream may move", 0, 10, false, []string{"m.1"}, errSilent},
		{"no attempt is left", 1, 10, false, []string{"m.1"}, nil},
		{"no retry is left", 0, 0, false, []string{"m.1"}, nil},
		{"no other group is left", 0, 10, false, []string{"m.2", "m.1"}, nil},
		{"its group is dead", 0, 10, true, []string{"m.1"}, errWarned},
		{"its group is dead, no retry is left", 0, 0, true, []string{"m.1"}, nil},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := newStreamServer(t, upstreamFunc(func(context.Context, Attempt) (*Reply, error) { return events("id: 1\ndata: x\n\n"), nil }))
			s.opts.Allowance = func() retry.Allowance { return retry.Allowance{Extra: c.retries, Window: time.Second} }
			ctx, cancel := context.WithCancelCause(t.Context())
			e := &exchange{server: s, req: &Request{Model: "m"}, sent: c.sent, tried: c.tried, deadline: time.Now().Add(time.Minute), lastEvent: "0", route: &catalog.Route{Resumable: true, Attempts: 2}}
			e.service, _ = s.opts.Catalogs.Current().Catalog.Service("llm")
			w := e.watch("m.1", cancel)
			defer w.stop()
			w.relays(sentEvent(t))
			w.last = w.last.Add(-time.Minute)
			w.started = w.last
			s.opts.Balancer.states["m.1"].lastActivity = w.last
			w.warned = c.warned
			w.due = time.Now()
			w.check()
			if c.wantCause == nil {
				must.Nil(t, w.move)
				must.NoError(t, ctx.Err())
				return
			}
			select {
			case <-ctx.Done():
			case <-time.After(5 * time.Second):
			}
			must.ErrorIs(t, context.Cause(ctx), c.wantCause)
		})
	}
}

// TestTimeouts_LongerWithPeerWarnings checks that a daemon which receives warnings about dead
// groups waits longer for slow ones, and that one without warnings keeps the short timeout.
func TestTimeouts_LongerWithPeerWarnings(t *testing.T) {
	s := newStreamServer(t, abortingUpstream{})
	firstEventTimeout, nextEventTimeout := s.timeouts("m.1")
	must.EqOp(t, sharedFirstEventTimeout, firstEventTimeout)
	s.opts.ReceivesWarnings = func() bool { return false }
	withoutWarnings, unchanged := s.timeouts("m.1")
	must.EqOp(t, minFirstEventTimeout, withoutWarnings)
	must.EqOp(t, nextEventTimeout, unchanged)
}

// slowResumeUpstream is an upstream whose first request gets one event and nothing more, and
// whose second one waits before it continues.
type slowResumeUpstream struct {
	wait  time.Duration
	calls atomic.Int32
}

func (u *slowResumeUpstream) Send(ctx context.Context, _ Attempt) (*Reply, error) {
	if u.calls.Add(1) == 1 {
		r, w := io.Pipe()
		go func() {
			io.WriteString(w, "id: 1\ndata: x\n\n")
			<-ctx.Done()
			w.CloseWithError(ctx.Err())
		}()
		return &Reply{Status: http.StatusOK, Header: http.Header{}, Body: r, Length: -1}, nil
	}
	select {
	case <-time.After(u.wait):
	case <-ctx.Done():
		return nil, &LostError{Err: ctx.Err()}
	}
	body := io.NopCloser(strings.NewReader("id: 2\ndata: y\n\n"))
	return &Reply{Status: http.StatusOK, Header: http.Header{}, Body: body, Length: -1}, nil
}

// TestWatch_MovedStreamWaitsForLastGroup guards against canceling a moved stream in the middle
// of its answer because its new group takes long for its first event, while no further attempt
// is allowed.
func TestWatch_MovedStreamWaitsForLastGroup(t *testing.T) {
	upstream := &slowResumeUpstream{wait: sharedFirstEventTimeout + 500*time.Millisecond}
	s := newStreamServer(t, upstream)
	w := <-ask(s)
	must.EqOp(t, 2, upstream.calls.Load())
	must.EqOp(t, "id: 1\ndata: x\n\nid: 2\ndata: y\n\n", w.Body.String())
}

// TestWarn_UnmovableStreamIsNotCut guards against canceling attempts that can't move elsewhere when others report
// their group dead, whether or not their callers have got a part of the answer.
func TestWarn_UnmovableStreamIsNotCut(t *testing.T) {
	for _, answerStarted := range []bool{false, true} {
		s := newStreamServer(t, abortingUpstream{})
		ctx, cancel := context.WithCancelCause(t.Context())
		e := &exchange{server: s, req: &Request{Model: "m"}, sent: 1, answerStarted: answerStarted, tried: []string{"m.2", "m.1"}, route: &catalog.Route{Resumable: true, Attempts: 2}}
		e.service, _ = s.opts.Catalogs.Current().Catalog.Service("llm")
		w := e.watch("m.1", cancel)
		defer w.stop()
		w.warn(time.Now())
		must.NoError(t, ctx.Err(), must.Sprint("started: ", answerStarted))
	}
}

// rejectingUpstream is an upstream whose first request breaks off after one event, whose next
// ones are rejected, and whose last one continues.
type rejectingUpstream struct {
	refusals int
	calls    []string
}

func (u *rejectingUpstream) Send(_ context.Context, a Attempt) (*Reply, error) {
	u.calls = append(u.calls, a.Worker.ID)
	switch n := len(u.calls); {
	case n == 1:
		body := io.MultiReader(strings.NewReader("id: 1\ndata: x\n\n"), iotest.ErrReader(io.ErrUnexpectedEOF))
		return &Reply{Status: http.StatusOK, Header: http.Header{}, Body: io.NopCloser(body), Length: -1}, nil
	case n <= 1+u.refusals:
		return &Reply{Status: http.StatusServiceUnavailable, NotRun: true, Header: http.Header{}, Body: io.NopCloser(strings.NewReader(""))}, nil
	}
	return &Reply{Status: http.StatusOK, Header: http.Header{}, Body: io.NopCloser(strings.NewReader("id: 2\ndata: y\n\n")), Length: -1}, nil
}

// TestServe_RejectedResumptionTriesNextGroup guards against cutting a moved stream in the
// middle of its answer because its new group rejected it and no further attempt is allowed.
// The rejection ran nothing, so it must not count as an attempt.
func TestServe_RejectedResumptionTriesNextGroup(t *testing.T) {
	for refusals, whole := range []bool{true, true, true, false} {
		upstream := &rejectingUpstream{refusals: refusals}
		s := newStreamServer(t, upstream)
		registry := workers.NewRegistry(func(*workers.View) {})
		var all []workers.Worker
		for epoch := range uint64(6) {
			all = append(all, group("m", epoch+1, workers.Open, 2)...)
		}
		registry.Apply(all, nil, true)
		s.opts.Workers = registry.View
		body := func() (text string) {
			w := httptest.NewRecorder()
			defer func() {
				if recover() != nil {
					text = w.Body.String()
				}
			}()
			s.Serve(w, httptest.NewRequest(http.MethodPost, "http://a.example/x", nil), &Request{ID: "1", Method: http.MethodPost, Host: "a.example", Path: "/x", Model: "m"})
			return w.Body.String()
		}()
		must.EqOp(t, whole, strings.Contains(body, "id: 2"), must.Sprint(refusals, " refusals"))
		must.LessEq(t, 2+maxMidAnswerRejections, len(upstream.calls))
		must.EqOp(t, len(upstream.calls), len(slices.Compact(slices.Sorted(slices.Values(upstream.calls)))), must.Sprint("each attempt must go to another group"))
	}
}

// sentEvent returns a reader at an event without an id.
func sentEvent(t *testing.T) *eventReader {
	events := newEventReader(strings.NewReader("data: x\n\n"), "")
	must.True(t, events.next())
	return events
}
