package serving

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strconv"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/phuslu/log"
	"github.com/shoenig/test/must"

	"github.com/pointpass/pointpass/admission"
	"github.com/pointpass/pointpass/catalog"
	"github.com/pointpass/pointpass/load"
	"github.com/pointpass/pointpass/placement"
	"github.com/pointpass/pointpass/quarantine"
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
		Guard:     quarantine.NewGuard(time.Now),
		Placement: placement.NewDecider(nil, placement.NoRamp{}, placement.NoThrottle{}, time.Now), Settle: func(context.Context) {},
		Catalogs: &catalogs, Workers: registry.View, Upstream: aborting{}, Balancer: NewBalancer("z1"),
		Counters: NewCounters(metrics.NewSet()), Evidence: func() catalog.EvidencePolicy { return catalog.NewEvidencePolicy(time.Minute, time.Minute) },
		Allowance: func() retry.Allowance { return retry.Allowance{Window: time.Second} },
		Asked:     func(load.Model, time.Duration) {},
		Part:      func(load.Model) (float64, float64, bool) { return 0, 0, false },
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

// TestSupply_IsThePartOfTheGroupsThatMayServeNow closes a hall and has a group fail: both
// are no supply from that moment on.
func TestSupply_IsThePartOfTheGroupsThatMayServeNow(t *testing.T) {
	service := &catalog.Service{Name: "llm", Runtime: &catalog.Runtime{Models: []catalog.Model{{Name: "m", Size: 2}}}}
	registry := workers.NewRegistry(func(*workers.View) {})
	var all []workers.Worker
	for epoch, hall := range []string{"h1", "h1", "h1", "h2"} {
		for _, w := range group("m", uint64(epoch+1), workers.Open, 2) {
			w.Hall = hall
			all = append(all, w)
		}
	}
	registry.Apply(all, nil, true)
	places := placement.NewDecider(nil, placement.NoRamp{}, placement.NoThrottle{}, func() time.Time { return noon })
	balancer := NewBalancer("h1")
	known := true
	s := NewServer(Options{
		Guard:    quarantine.NewGuard(time.Now),
		Catalogs: &catalog.Holder{}, Placement: places, Workers: registry.View, Balancer: balancer,
		Part: func(load.Model) (float64, float64, bool) { return 0.1, 6, known },
	})
	e := &exchange{server: s, service: service, route: &catalog.Route{}, req: &Request{Model: "m"}, arrived: noon}
	check := func(wantRate, wantAsked float64) {
		t.Helper()
		rate, asked := e.supply(load.Model{Service: "llm", Name: "m"})
		must.InDelta(t, wantRate, rate, 1e-9)
		must.InDelta(t, wantAsked, asked, 1e-9)
	}
	check(0.4, 1.5)
	balancer.Fail(workers.NewGroupID("m", 1).Name, noon)
	check(0.3, 2)
	places.Apply(placement.Update{Changes: []placement.Change{{Hall: "h2", Closed: true, Version: 2}}, Version: 2})
	check(0.2, 3)
	for _, epoch := range []uint64{2, 3} {
		balancer.Fail(workers.NewGroupID("m", epoch).Name, noon)
	}
	check(admission.Unknown, admission.Unknown) // none is left: nobody is refused for that
	balancer = NewBalancer("h1")
	s.opts.Balancer = balancer
	check(0.3, 2)
	known = false
	check(admission.Unknown, admission.Unknown)
}

// TestRank_IsTheSameWhenACallerComesBack: every try has an id, a deadline and a daemon of
// its own.
func TestRank_IsTheSameWhenACallerComesBack(t *testing.T) {
	request := func(id, parts string, wait time.Duration, at time.Time) float64 {
		e := &exchange{req: &Request{ID: id, Target: "/x", Parts: parts, Prompt: 674, Answer: 150, Wait: wait}, arrived: at}
		return e.rank()
	}
	first := request("1", "5c1e:40,a1:634", time.Second, noon)
	must.EqOp(t, first, request("2", "5c1e:40,a1:634", 900*time.Millisecond, noon.Add(100*time.Millisecond)))
	must.NotEqOp(t, first, request("1", "5c1e:40,a1:634", time.Second, noon.Add(rankTime)), must.Sprint("nobody is refused for good"))
	var tenths [10]int
	for i := range 10000 {
		tenths[int(10*request("1", strconv.Itoa(i), time.Second, noon))]++
	}
	for _, n := range tenths {
		must.Between(t, 900, n, 1100)
	}
}
