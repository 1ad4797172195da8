package serving

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/pointpass/pointpass/catalog"
	"github.com/pointpass/pointpass/placement"
	"github.com/pointpass/pointpass/workers"
)

// fixedReach is a fixed state of the connections to workers.
type fixedReach struct{ cut, silenced bool }

func (fixedReach) Answered(workers.Worker) {}
func (fixedReach) Failed(workers.Worker)   {}
func (r fixedReach) Cut(string) bool       { return r.cut }
func (r fixedReach) Silenced(string) bool  { return r.silenced }

// laterSilenced is silenced once a connection has failed.
type laterSilenced struct {
	fixedReach
	failed bool
}

func (r *laterSilenced) Failed(workers.Worker) { r.failed = true }
func (r *laterSilenced) Cut(string) bool       { return r.failed }
func (r *laterSilenced) Silenced(string) bool  { return r.failed }

// peers is a Forwarder with one handler per peer.
type peers struct {
	handlers  []handler
	exhausted bool
	forwards  []Forward
	// constraints are those of the last request.
	constraints placement.Request
}

func (p *peers) Peers(_ string, r placement.Request) (list []Peer, exhausted bool) {
	p.constraints = r
	for i := range p.handlers {
		list = append(list, Peer{Name: string(rune('p' + i))})
	}
	return list, p.exhausted
}

func (p *peers) Forward(_ context.Context, to Peer, _ string, f Forward) (*Reply, error) {
	p.forwards = append(p.forwards, f)
	return p.handlers[to.Name[0]-'p'](f.Attempt)
}

func answer(status int, header http.Header, body string) handler {
	return func(Attempt) (*Reply, error) {
		return &Reply{Status: status, Header: header, Body: io.NopCloser(strings.NewReader(body)), Length: int64(len(body))}, nil
	}
}

func alsoCut(Attempt) (*Reply, error) {
	return &Reply{Status: http.StatusServiceUnavailable, Unreachable: true, Header: http.Header{}, Body: io.NopCloser(strings.NewReader(""))}, nil
}

// never fails the test if it gets a request.
func never(t *testing.T) handler {
	return func(Attempt) (*Reply, error) {
		t.Error("got a request")
		return nil, &NotSentError{Err: io.ErrClosedPipe}
	}
}

var (
	signed   = answer(http.StatusOK, http.Header{"Signature": {"s1"}}, "whole")
	refused  = answer(http.StatusServiceUnavailable, http.Header{"Retry-After": {"0.4"}}, "no room")
	silenced = fixedReach{cut: true, silenced: true}
	cut      = fixedReach{cut: true}
)

// TestForward_AtMostOnceAndWithinAttempts checks what is forwarded while workers can't be reached,
// to how many peers, with how many attempts left, and what the caller gets.
func TestForward_AtMostOnceAndWithinAttempts(t *testing.T) {
	for _, c := range []struct {
		name     string
		kind     catalog.Kind
		reach    fixedReach
		workers  []handler
		peers    []handler
		status   int
		body     string
		attempts []int // of each forward
	}{
		{"workers that are silent aren't tried", catalog.Once, silenced, []handler{never(t)}, []handler{signed, never(t)}, 200, "whole", []int{9}},
		{"older connections are tried first", catalog.Repeatable, cut, []handler{answer(200, http.Header{}, "local")}, []handler{never(t)}, 200, "local", nil},
		{"nothing sent", catalog.Once, cut, []handler{unreachable}, []handler{signed}, 200, "whole", []int{9}},
		{"may have run", catalog.Once, cut, []handler{loseAnswer}, []handler{never(t)}, 502, "", nil},
		{"may run again", catalog.Repeatable, cut, []handler{loseAnswer, unreachable}, []handler{signed}, 200, "whole", []int{8}},
		{"the next peer", catalog.Once, silenced, []handler{never(t)}, []handler{unreachable, alsoCut, signed}, 200, "whole", []int{9, 9, 9}},
		{"a peer's answer is lost", catalog.Once, silenced, []handler{never(t)}, []handler{loseAnswer, never(t)}, 502, "", []int{9}},
		{"a peer's answer is lost, repeatable", catalog.Repeatable, silenced, []handler{never(t)}, []handler{loseAnswer, never(t)}, 502, "", []int{9}},
		{"a peer's refusal", catalog.Once, silenced, []handler{never(t)}, []handler{refused, never(t)}, 503, "no room", []int{9}},
		{"no peer reaches a worker", catalog.Once, silenced, []handler{never(t)}, []handler{alsoCut, alsoCut}, 503, "", []int{9, 9}},
		{"no peer can be reached", catalog.Once, silenced, []handler{signed}, []handler{unreachable}, 200, "whole", []int{9}},
		{"all peers were asked before", catalog.Once, silenced, []handler{never(t)}, nil, 503, "", nil},
		{"not cut off", catalog.Once, fixedReach{}, []handler{unreachable}, []handler{never(t)}, 503, "", nil},
	} {
		f := newFleet(c.kind, allHalls[:4], c.workers...)
		f.configure(nil, nil)
		p := &peers{handlers: c.peers, exhausted: c.peers == nil}
		f.server.opts.Reach, f.server.opts.Forwarder = c.reach, p
		w, aborted := f.ask()
		must.False(t, aborted, must.Sprint(c.name))
		must.EqOp(t, c.status, w.Code, must.Sprint(c.name))
		must.StrContains(t, w.Body.String(), c.body, must.Sprint(c.name))
		var attempts []int
		for _, f := range p.forwards {
			attempts = append(attempts, f.Attempts)
		}
		must.Eq(t, c.attempts, attempts, must.Sprint(c.name))
		must.EqOp(t, c.status == 503, w.Header().Get("Retry-After") != "", must.Sprint(c.name))
	}
}

// TestForward_StreamGoesOnAtPeer guards against events that are lost or sent twice when a stream
// whose worker can't be reached any more goes on at a peer, and against a cut one that looks whole.
func TestForward_StreamGoesOnAtPeer(t *testing.T) {
	for _, c := range []struct {
		peer    handler
		body    string
		aborted bool
	}{
		{finishStream, "id: 1\ndata: x\n\nid: 2\ndata: y\n\n", false},
		{func(Attempt) (*Reply, error) { return events("id: 3\ndata: z\n\n"), nil }, "id: 1\ndata: x\n\n", true},
		{loseAnswer, "id: 1\ndata: x\n\n", true},
		{refused, "id: 1\ndata: x\n\n", true},
	} {
		f := newFleet(catalog.Stream, allHalls[:4], cutStream, unreachable)
		f.configure(nil, nil)
		p := &peers{handlers: []handler{c.peer}}
		f.server.opts.Reach, f.server.opts.Forwarder = cut, p
		w, aborted := f.ask()
		must.EqOp(t, c.aborted, aborted)
		must.EqOp(t, c.body, w.Body.String())
		must.EqOp(t, "1", p.forwards[0].LastEvent)
		must.EqOp(t, 8, p.forwards[0].Attempts)
	}
}

// TestServeForwarded checks that a forwarded request isn't forwarded again, keeps to the attempts
// that it has left, counts as no demand, and is turned away where workers can't be reached.
func TestServeForwarded(t *testing.T) {
	for _, c := range []forwardedCase{
		{"served", fixedReach{}, false, 1, []handler{signed}, 200, 1, false},
		{"attempts", fixedReach{}, false, 1, []handler{loseAnswer}, 502, 2, false},
		{"silenced", silenced, false, 1, []handler{never(t)}, 503, 0, true},
		{"cut off", cut, false, 1, []handler{unreachable}, 503, 4, true},
		{"cut off later", cut, false, 1, []handler{loseAnswer, unreachable}, 503, 4, false},
		{"silenced meanwhile", &laterSilenced{}, false, 1, []handler{unreachable}, 503, 1, true},
		{"an older configuration", fixedReach{}, false, 2, []handler{never(t)}, 503, 0, true},
		{"stopping", fixedReach{}, true, 1, []handler{never(t)}, 503, 0, true},
	} {
		c.check(t)
	}
}

// TestServeForwarded_RejectedRequestIsNotUnreachable guards against requests that another peer sends to
// workers once more, without a retry for that, though a worker has rejected them here.
func TestServeForwarded_RejectedRequestIsNotUnreachable(t *testing.T) {
	c := forwardedCase{"cut off after a rejection", cut, false, 1, []handler{rejectBusy, unreachable}, 503, 4, false}
	c.check(t)
}

// forwardedCase is a request that a peer forwards, and what becomes of it.
type forwardedCase struct {
	name        string
	reach       Reach
	stopping    bool
	version     uint64
	workers     []handler
	status      int
	sent        int
	unreachable bool
}

func (c forwardedCase) check(t *testing.T) {
	t.Helper()
	f := newFleet(catalog.Repeatable, allHalls[:4], c.workers...)
	f.configure(nil, nil)
	f.server.opts.Reach, f.server.opts.Forwarder = c.reach, &peers{handlers: []handler{never(t)}}
	if c.stopping {
		f.server.Stop()
	}
	w := httptest.NewRecorder()
	req := &Request{ID: "1", Method: http.MethodPost, Host: "a.example", Path: "/x", Credential: "key", Timeout: time.Minute}
	f.server.ServeForwarded(w, httptest.NewRequest(http.MethodPost, "http://a.example/x", nil), Forward{Attempt: Attempt{Request: req}, Attempts: 2, From: "other", ConfigVersion: c.version})
	must.EqOp(t, c.status, w.Code, must.Sprint(c.name))
	must.Len(t, c.sent, f.regions, must.Sprint(c.name))
	must.EqOp(t, c.unreachable, w.Header().Get(UnreachableHeader) != "", must.Sprint(c.name))
	must.SliceEmpty(t, f.demand)
}

// TestServeForwarded_ReportsLostRequests guards against crashes under forwarded requests that count for nothing: the
// daemon that runs a request for another reports what becomes of it, and of the parts of its prompt.
func TestServeForwarded_ReportsLostRequests(t *testing.T) {
	for _, lost := range []handler{loseAnswer, cutStream} {
		f, b, _ := newGuardedFleet(catalog.Stream, lost, finishStream)
		req := &Request{ID: "1", Method: http.MethodPost, Host: "a.example", Path: "/x", Credential: "key", Model: "m", SharedParts: []string{"a1"}, Timeout: time.Minute}
		f.server.ServeForwarded(httptest.NewRecorder(), httptest.NewRequest(http.MethodPost, "http://a.example/x", nil), Forward{Attempt: Attempt{Request: req}, Attempts: 2, From: "other", ConfigVersion: 1})
		must.SliceLen(t, 1, b.runs)
		must.SliceLen(t, 1, b.runs[0].Parts)
		outputs := f.server.opts.Guard.Outputs(b.runs[0].Parts)
		must.SliceLen(t, 1, outputs)
		must.True(t, outputs[0].Completed, must.Sprint("it is completed elsewhere"))
	}
}

// TestForward_PeersAreChosenByRegions checks that peers are chosen by the regions where both route
// and customer allow a request.
func TestForward_PeersAreChosenByRegions(t *testing.T) {
	f := newFleet(catalog.Once, allHalls[:4], never(t))
	f.configure(catalog.Regions{"north"}, catalog.Regions{"north", "south"})
	p := &peers{handlers: []handler{signed}}
	f.server.opts.Reach, f.server.opts.Forwarder = silenced, p
	w, _ := f.ask()
	must.EqOp(t, http.StatusOK, w.Code)
	must.Eq(t, placement.Request{Route: catalog.Regions{"north"}, Customer: catalog.Regions{"north", "south"}}, p.constraints)
}
