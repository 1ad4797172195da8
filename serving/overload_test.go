package serving

import (
	"context"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/phuslu/log"
	"github.com/shoenig/test/must"

	"github.com/pointpass/pointpass/catalog"
	"github.com/pointpass/pointpass/load"
	"github.com/pointpass/pointpass/placement"
	"github.com/pointpass/pointpass/retry"
	"github.com/pointpass/pointpass/workers"
)

// aborting is an upstream at which every request ends with a panic, as when a caller
// has gone in the middle of an answer.
type aborting struct{}

func (aborting) Send(context.Context, Attempt) (*Reply, error) { panic(http.ErrAbortHandler) }

// TestServe_APanicGivesBackThePlace: a place in the window that was not given back would
// be missing for good.
func TestServe_APanicGivesBackThePlace(t *testing.T) {
	service := catalog.Service{Name: "llm", Runtime: &catalog.Runtime{Models: []catalog.Model{{Name: "m", Size: 2}}}}
	route := catalog.Route{Name: "ask", Host: "a.example", Prefix: "/", Kind: catalog.Stream, Attempts: 1, Public: true, Shares: []catalog.Share{{Service: "llm", Weight: 1}}}
	var catalogs catalog.Holder
	catalogs.Accept(catalog.New(1, catalog.Limits{}, []catalog.Route{route}, []catalog.Service{service}, nil), noon)
	registry := workers.NewRegistry(func(*workers.View) {})
	registry.Apply(group("m", 1, workers.Open, 2), nil, true)
	s := NewServer(Options{
		Placement: placement.NewDecider(nil, placement.NoRamp{}, time.Now), Settle: func(context.Context) {},
		Catalogs: &catalogs, Workers: registry.View, Upstream: aborting{}, Balancer: NewBalancer("z1"),
		Counters: NewCounters(metrics.NewSet()), Evidence: func() catalog.EvidencePolicy { return catalog.NewEvidencePolicy(time.Minute, time.Minute) },
		Allowance: func() retry.Allowance { return retry.Allowance{Window: time.Second} },
		Asked:     func(load.Model, time.Duration) {},
		Suspect:   func(string, Failure) {}, FirstUse: func() {}, Informed: func() bool { return false }, MostRequests: 10,
		Now: func() time.Time { return noon }, Log: &log.Logger{Level: log.PanicLevel},
	})
	func() {
		defer func() { must.EqOp[any](t, http.ErrAbortHandler, recover()) }()
		r := httptest.NewRequest(http.MethodPost, "http://a.example/x", nil)
		s.Serve(httptest.NewRecorder(), r, &Request{ID: "1", Method: http.MethodPost, Host: "a.example", Path: "/x", Model: "m"})
	}()
	_, underWay := s.window(load.Model{Service: "llm", Name: "m"}).Limit()
	must.EqOp(t, 0, underWay)
}
