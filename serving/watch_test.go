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

// halfDead is an upstream whose first request gets no answer.
type halfDead struct {
	silent chan string // the worker that the first request is at
	cause  chan error  // why its attempt ended
}

func (h *halfDead) Send(ctx context.Context, a Attempt) (*Reply, error) {
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
	service := catalog.Service{Name: "llm", Runtime: &catalog.Runtime{Models: []catalog.Model{{Name: "m", Size: 2}}}}
	route := catalog.Route{Name: "ask", Host: "a.example", Prefix: "/", Kind: catalog.Stream, Resumable: true, Attempts: 2, Public: true, Shares: []catalog.Share{{Service: "llm", Weight: 1}}}
	var catalogs catalog.Holder
	catalogs.Accept(catalog.New(1, catalog.Limits{}, []catalog.Route{route}, []catalog.Service{service}, nil), time.Now())
	registry := workers.NewRegistry(func(*workers.View) {})
	registry.Apply(append(group("m", 1, workers.Open, 2), group("m", 2, workers.Open, 2)...), nil, true)
	return NewServer(Options{
		Guard:     quarantine.NewGuard(time.Now),
		Asks:      throttle.New("x", throttle.NewBook(metrics.NewSet(), &log.Logger{Level: log.PanicLevel})),
		Placement: placement.NewDecider(nil, placement.NoRamp{}, placement.NoThrottle{}, time.Now), Settle: func(context.Context) {},
		Catalogs: &catalogs, Workers: registry.View, Upstream: upstream, Balancer: NewBalancer("z1"),
		Counters: NewCounters(metrics.NewSet()), Evidence: func() catalog.EvidencePolicy { return catalog.NewEvidencePolicy(time.Minute, time.Minute) },
		Allowance: func() retry.Allowance { return retry.Allowance{Extra: 10, Window: time.Second} },
		Asked:     func(load.Model, time.Duration) {},
		Part:      func(load.Model) (float64, float64, bool) { return 0, 0, false },
		Suspect:   func(string, Failure) {}, FirstUse: func() {}, Informed: func() bool { return true }, MostRequests: 10,
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

// targetOf returns the group whose head a worker is.
func targetOf(t *testing.T, s *Server, worker string) string {
	t.Helper()
	w, found := s.opts.Workers().Worker(worker)
	must.True(t, found)
	return w.Membership.Group.Name
}

// TestWarn_MovesWhoWaits: a request that waits at a group which another daemon found
// dead is answered by another group, long before its own patience ends.
func TestWarn_MovesWhoWaits(t *testing.T) {
	upstream := &halfDead{silent: make(chan string, 1), cause: make(chan error, 1)}
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
	must.SliceEmpty(t, s.watches.at(key), must.Sprint("nothing is kept of a request that has ended"))
}

// TestWarn_IsNotHeededWhereTheGroupIsHeard: a group that answers somebody is alive.
func TestWarn_IsNotHeededWhereTheGroupIsHeard(t *testing.T) {
	s := newStreamServer(t, aborting{})
	s.opts.Balancer.Sign("m.1", time.Now(), time.Millisecond, false)
	must.False(t, s.Warn("m.1", "e1 e2", true, time.Minute))
	must.False(t, s.opts.Balancer.Warned("m.1", time.Now()))
	must.True(t, s.Warn("m.2", "e1 e2", true, time.Minute))
}

// TestWarn_MovesNobodyFromASlowGroup: before a member is known to be dead the group
// only gets no new requests, and gets them again once the warning is taken back.
func TestWarn_MovesNobodyFromASlowGroup(t *testing.T) {
	s := newStreamServer(t, aborting{})
	ctx, cancel := context.WithCancelCause(t.Context())
	e := &exchange{server: s, route: &catalog.Route{Resumable: true}}
	w := e.watch("m.1", cancel)
	defer w.stop()
	must.True(t, s.Warn("m.1", "e1 e2 e3", false, time.Minute))
	must.NoError(t, ctx.Err())
	must.True(t, s.opts.Balancer.Warned("m.1", time.Now()))
	s.TakeBackWarning("m.1")
	must.False(t, s.opts.Balancer.Warned("m.1", time.Now()))
	must.True(t, s.Warn("m.1", "e1", true, time.Minute))
	must.ErrorIs(t, context.Cause(ctx), errWarned)
}

// TestWatch_AStandstillOfItsOwnTellsNothing: a process that was frozen finds all its
// streams silent. It looks again before it gives up targets.
func TestWatch_AStandstillOfItsOwnTellsNothing(t *testing.T) {
	s := newStreamServer(t, aborting{})
	ctx, cancel := context.WithCancelCause(t.Context())
	e := &exchange{server: s, route: &catalog.Route{Resumable: true}}
	w := e.watch("m.1", cancel)
	defer w.stop()
	frozen := 10 * time.Second
	w.begun = w.begun.Add(-frozen)
	w.due = time.Now().Add(-frozen)
	w.check()
	must.NoError(t, ctx.Err())
	w.due = time.Now()
	w.check()
	must.ErrorIs(t, context.Cause(ctx), errStalled)
}

// TestWatch_AStreamThatCantMoveIsNotCut: a group's silence is no reason to end an answer
// that has begun where no attempt is left, or no retry: what may still come would be
// lost.
func TestWatch_AStreamThatCantMoveIsNotCut(t *testing.T) {
	for _, c := range []struct {
		name    string
		sent    int
		retries float64
		warned  bool
		tried   []string
		cut     error
	}{
		{"it may move", 0, 10, false, []string{"m.1"}, errSilent},
		{"no attempt is left", 1, 10, false, []string{"m.1"}, nil},
		{"no retry is left", 0, 0, false, []string{"m.1"}, nil},
		{"no other group is left", 0, 10, false, []string{"m.2", "m.1"}, nil},
		{"its group is dead", 0, 10, true, []string{"m.1"}, errWarned},
		{"its group is dead, no retry is left", 0, 0, true, []string{"m.1"}, nil},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := newStreamServer(t, aborting{})
			s.opts.Allowance = func() retry.Allowance { return retry.Allowance{Extra: c.retries, Window: time.Second} }
			ctx, cancel := context.WithCancelCause(t.Context())
			e := &exchange{server: s, req: &Request{Model: "m"}, sent: c.sent, tried: c.tried, route: &catalog.Route{Resumable: true, Attempts: 2}}
			e.service, _ = s.opts.Catalogs.Current().Catalog.Service("llm")
			w := e.watch("m.1", cancel)
			defer w.stop()
			w.sign()
			w.last = w.last.Add(-time.Minute)
			w.begun = w.last
			s.opts.Balancer.loads["m.1"].lastSign = w.last
			w.warned = c.warned
			w.due = time.Now()
			w.check()
			if c.cut == nil {
				must.NoError(t, ctx.Err())
				return
			}
			must.ErrorIs(t, context.Cause(ctx), c.cut)
		})
	}
}

// TestPatience_IsLongWhereOthersWarn: who hears of dead groups from others waits for
// slow ones; who doesn't has to find them alone.
func TestPatience_IsLongWhereOthersWarn(t *testing.T) {
	s := newStreamServer(t, aborting{})
	start, between := s.patience("m.1")
	must.EqOp(t, sharedStart, start)
	s.opts.Informed = func() bool { return false }
	alone, same := s.patience("m.1")
	must.EqOp(t, leastStart, alone)
	must.EqOp(t, between, same)
}

// lateSecond is an upstream whose first request gets one event and nothing more, and whose
// second one waits before it goes on.
type lateSecond struct {
	wait  time.Duration
	calls atomic.Int32
}

func (u *lateSecond) Send(ctx context.Context, _ Attempt) (*Reply, error) {
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

// A stream that has moved is cut in the middle of its answer, since the group that it moved to
// takes long for its first event and no further attempt is allowed.
func TestWatch_AStreamThatMovedWaitsForItsLastGroup(t *testing.T) {
	upstream := &lateSecond{wait: sharedStart + 500*time.Millisecond}
	s := newStreamServer(t, upstream)
	w := <-ask(s)
	must.EqOp(t, 2, upstream.calls.Load())
	must.EqOp(t, "id: 1\ndata: x\n\nid: 2\ndata: y\n\n", w.Body.String())
}

// A group that others found dead gives up streams that can't go on elsewhere.
func TestWarn_AStreamThatCantMoveIsNotCut(t *testing.T) {
	for _, begun := range []bool{false, true} {
		s := newStreamServer(t, aborting{})
		ctx, cancel := context.WithCancelCause(t.Context())
		e := &exchange{server: s, req: &Request{Model: "m"}, sent: 1, begun: begun, tried: []string{"m.2", "m.1"}, route: &catalog.Route{Resumable: true, Attempts: 2}}
		e.service, _ = s.opts.Catalogs.Current().Catalog.Service("llm")
		w := e.watch("m.1", cancel)
		defer w.stop()
		w.warn(time.Now())
		must.EqOp(t, begun, ctx.Err() == nil, must.Sprint("a caller that has nothing yet may ask again elsewhere"))
	}
}

// sheds is an upstream whose first request breaks off after one event, whose next ones are turned
// away, and whose last one goes on.
type sheds struct {
	refusals int
	calls    []string
}

func (u *sheds) Send(_ context.Context, a Attempt) (*Reply, error) {
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

// A stream that moved is cut in the middle of its answer, since the group that it moved to
// turned it away, which ran nothing, and no further attempt is allowed.
func TestServe_AStreamThatIsTurnedAwayMidwayGoesOn(t *testing.T) {
	for refusals, whole := range []bool{true, true, true, false} {
		upstream := &sheds{refusals: refusals}
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
		must.LessEq(t, 2+mostTurnedAway, len(upstream.calls))
		must.EqOp(t, len(upstream.calls), len(slices.Compact(slices.Sorted(slices.Values(upstream.calls)))), must.Sprint("each goes to another group"))
	}
}
