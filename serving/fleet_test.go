package serving

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/phuslu/log"

	"github.com/pointpass/pointpass/catalog"
	"github.com/pointpass/pointpass/load"
	"github.com/pointpass/pointpass/placement"
	"github.com/pointpass/pointpass/quarantine"
	"github.com/pointpass/pointpass/retry"
	"github.com/pointpass/pointpass/throttle"
	"github.com/pointpass/pointpass/workers"
)

// handler is the response of a fake worker to one request.
type handler func(a Attempt) (*Reply, error)

func rejectBusy(Attempt) (*Reply, error) {
	return &Reply{Status: http.StatusServiceUnavailable, NotRun: true, Header: http.Header{}, Body: io.NopCloser(strings.NewReader(""))}, nil
}

func loseAnswer(Attempt) (*Reply, error) { return nil, &LostError{Err: io.ErrUnexpectedEOF} }

func unreachable(Attempt) (*Reply, error) { return nil, &NotSentError{Err: io.ErrClosedPipe} }

// cutStream sends one event and breaks off within the next.
func cutStream(Attempt) (*Reply, error) { return events("id: 1\ndata: x\n\nid: 2\nda"), nil }

func finishStream(a Attempt) (*Reply, error) {
	if a.LastEvent == "1" {
		return events("id: 2\ndata: y\n\n"), nil
	}
	return events("id: 1\ndata: x\n\n"), nil
}

func events(body string) *Reply {
	return &Reply{Status: http.StatusOK, Header: http.Header{}, Body: io.NopCloser(strings.NewReader(body)), Length: -1}
}

// fleet is an upstream with workers in three regions, together with the current configuration.
type fleet struct {
	catalogs catalog.Holder
	version  uint64
	kind     catalog.Kind
	// handlers respond to one request each, in order; the last one is used repeatedly.
	handlers []handler
	// sendContext is the context of the last attempt.
	sendContext context.Context
	// regions lists the region of each attempt.
	regions []string
	// demand lists the models for which demand was recorded.
	demand []load.Model
	log    bytes.Buffer
	set    *metrics.Set
	server *Server
}

var fleetHalls = map[string]string{"h1": "north", "h2": "north", "h3": "south", "h4": "south"}

func (f *fleet) Send(ctx context.Context, a Attempt) (*Reply, error) {
	f.sendContext = ctx
	if _, err := a.Started(); err != nil {
		return nil, &NotSentError{Err: err}
	}
	f.regions = append(f.regions, fleetHalls[a.Worker.Hall])
	next := f.handlers[0]
	if len(f.handlers) > 1 {
		f.handlers = f.handlers[1:]
	}
	return next(a)
}

// configure installs a configuration with the allowed regions of the route and the customer.
func (f *fleet) configure(route, customer catalog.Regions) {
	f.version++
	r := catalog.Route{Name: "ask", Host: "a.example", Prefix: "/", Kind: f.kind, Resumable: f.kind == catalog.Stream, Attempts: 9, Regions: route}
	r.Shares = []catalog.Share{{Service: "s", Weight: 1}}
	s := catalog.Service{Name: "s"}
	if f.kind == catalog.Stream {
		s.Runtime = &catalog.Runtime{Models: []catalog.Model{{Name: "m", Size: 2}}}
	}
	c := catalog.Customer{Name: "c", Keys: []string{"key"}, Regions: customer}
	f.catalogs.Accept(catalog.New(f.version, catalog.Limits{}, []catalog.Route{r}, []catalog.Service{s}, []catalog.Customer{c}), time.Now())
}

// newFleet returns a fleet with groups, or with plain workers, in the halls.
func newFleet(kind catalog.Kind, halls []string, handlers ...handler) *fleet {
	f := &fleet{kind: kind, handlers: handlers, set: metrics.NewSet()}
	var list []workers.Worker
	for i, hall := range halls {
		if kind != catalog.Stream {
			list = append(list, workers.Worker{ID: string(rune('a' + i)), Service: "s", Hall: hall})
			continue
		}
		for _, w := range group("m", uint64(i+1), workers.Open, 2) {
			w.Service = "s"
			w.Hall = hall
			list = append(list, w)
		}
	}
	registry := workers.NewRegistry(func(*workers.View) {})
	registry.Apply(list, nil, true)
	f.server = NewServer(Options{
		Reach:          anyReach{},
		Guard:          quarantine.NewGuard(time.Now),
		AnswerObserver: throttle.New("x", throttle.NewTracker(metrics.NewSet(), &log.Logger{Level: log.PanicLevel})),
		Placement:      placement.NewDecider(fleetHalls, placement.NoRamp{}, placement.NoThrottle{}, time.Now), WaitFresh: func(context.Context) {},
		Catalogs: &f.catalogs, Workers: registry.View, Upstream: f, Balancer: NewBalancer("h1"),
		Counters: NewCounters(f.set), Evidence: func() catalog.EvidencePolicy { return catalog.NewEvidencePolicy(time.Minute, time.Minute) },
		Allowance:    func() retry.Allowance { return retry.Allowance{Extra: 1000, Window: time.Second} },
		RecordDemand: func(m load.Model, _ time.Duration) { f.demand = append(f.demand, m) },
		DemandShare:  func(load.Model) (share, demand float64, known bool) { return 0, 0, false },
		Suspect:      func(string, Failure) {}, OnFirstRequest: func() {}, ReceivesWarnings: func() bool { return true }, MaxRequests: 10,
		Now: time.Now, Log: &log.Logger{Level: log.ErrorLevel, Writer: log.IOWriter{Writer: &f.log}},
	})
	return f
}

// head returns the worker of the first target.
func (f *fleet) head() string {
	service, _ := f.catalogs.Current().Catalog.Service("s")
	return Targets(f.server.opts.Workers(), service, "m")[0].Worker.ID
}

// ask sends a request and returns its response; aborted reports whether it was broken off.
func (f *fleet) ask() (w *httptest.ResponseRecorder, aborted bool) { return f.askWith() }

// askWith is ask for a prompt that shares some parts.
func (f *fleet) askWith(parts ...string) (w *httptest.ResponseRecorder, aborted bool) {
	w = httptest.NewRecorder()
	defer func() {
		if r := recover(); r != nil {
			aborted = r == http.ErrAbortHandler
		}
	}()
	r := httptest.NewRequest(http.MethodPost, "http://a.example/x", nil)
	f.server.Serve(w, r, &Request{ID: "1", Method: http.MethodPost, Host: "a.example", Path: "/x", Model: "m", Credential: "key", Timeout: time.Minute, SharedParts: parts})
	return w, false
}
