package placement

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/pointpass/pointpass/catalog"
	"github.com/pointpass/pointpass/workers"
)

var (
	noon  = time.Unix(1_000_000, 0)
	halls = map[string]string{"h1": "north", "h2": "north", "h3": "south"}
)

func workerIn(hall string) workers.Worker { return workers.Worker{ID: "w", Hall: hall} }

func TestDecider_ClosedHallGetsNoRequests(t *testing.T) {
	d := NewDecider(halls, NoRamp{}, NoThrottle{}, func() time.Time { return noon })
	closed, opened := d.Apply(Update{Changes: []Change{{Hall: "h1", Closed: true, Version: 7}}, Version: 7})
	must.Eq(t, []Closing{{Hall: "h1", Version: 7, ObservedAt: noon}}, closed)
	must.SliceEmpty(t, opened)
	must.Eq(t, Verdict{Reason: HallClosed, Weight: 1, Hall: "h1", Region: "north", Version: 7, ObservedAt: noon}, d.Check(Request{}, workerIn("h1")))
	must.EqOp(t, HallClosed, d.Admit(Request{}, workerIn("h1")).Reason)
	must.True(t, d.Admit(Request{}, workerIn("h2")).Allowed())
	must.False(t, d.Open("h1"))

	_, opened = d.Apply(Update{Changes: []Change{{Hall: "h1", Version: 9}}, Version: 9})
	must.Eq(t, []Reopening{{Hall: "h1", Version: 9, ObservedAt: noon}}, opened)
	must.True(t, d.Admit(Request{}, workerIn("h1")).Allowed())
}

// TestDecider_FullReadReopensUnlistedHalls guards against a hall that stays closed because the
// store dropped the history with the deletion of its row.
func TestDecider_FullReadReopensUnlistedHalls(t *testing.T) {
	d := NewDecider(halls, NoRamp{}, NoThrottle{}, func() time.Time { return noon })
	d.Apply(Update{Changes: []Change{{Hall: "h1", Closed: true, Version: 7}, {Hall: "h2", Closed: true, Version: 8}}, Version: 8})
	closed, opened := d.Apply(Update{Changes: []Change{{Hall: "h2", Closed: true, Version: 8}}, Full: true, Version: 12})
	must.SliceEmpty(t, closed)
	must.Eq(t, []Reopening{{Hall: "h1", Version: 12, ObservedAt: noon}}, opened)
	must.True(t, d.Open("h1"))
	must.False(t, d.Open("h2"))
}

// TestFacts_RecordsReopeningWithoutClosing guards against missing a closing and reopening
// between two answers, in which workers of the hall may have become cold.
func TestFacts_RecordsReopeningWithoutClosing(t *testing.T) {
	f, _, opened := NewFacts(halls).Apply(Update{Changes: []Change{{Hall: "h1", Version: 9}}, Version: 9}, noon)
	must.Len(t, 1, opened)
	r, known := f.Reopened("h1")
	must.True(t, known)
	must.EqOp(t, 9, r.Version)
}

func TestFacts_Immutable(t *testing.T) {
	f := NewFacts(halls)
	next, _, _ := f.Apply(Update{Changes: []Change{{Hall: "h1", Closed: true, Version: 7}}}, noon)
	next.Apply(Update{Changes: []Change{{Hall: "h1", Version: 8}}}, noon)
	must.SliceEmpty(t, f.Closings())
	must.Len(t, 1, next.Closings())
}

func TestDecider_RouteAndCustomerBothApply(t *testing.T) {
	d := NewDecider(halls, NoRamp{}, NoThrottle{}, time.Now)
	for _, c := range []struct {
		route, customer catalog.Regions
		hall            string
		want            Reason
	}{
		{nil, nil, "h1", Allowed},
		{nil, nil, "elsewhere", Allowed},
		{catalog.Regions{"north"}, nil, "h1", Allowed},
		{catalog.Regions{"north"}, nil, "h3", RegionBarred},
		{nil, catalog.Regions{"south"}, "h1", RegionBarred},
		{catalog.Regions{"north", "south"}, catalog.Regions{"south"}, "h3", Allowed},
		{catalog.Regions{"north"}, catalog.Regions{"south"}, "h3", RegionBarred},
		{catalog.Regions{"north"}, nil, "elsewhere", RegionBarred},
	} {
		must.EqOp(t, c.want, d.Check(Request{Route: c.route, Customer: c.customer}, workerIn(c.hall)).Reason)
	}
}

// fullRamp is a ramp without capacity for the worker "w".
type fullRamp struct{ NoRamp }

func (fullRamp) Room(w workers.Worker, _ time.Time) (cold, room bool) {
	return w.ID == "w", w.ID != "w"
}
func (fullRamp) Take(w workers.Worker, _ time.Time) bool      { return w.ID != "w" }
func (fullRamp) Weight(w workers.Worker, _ time.Time) float64 { return 1 }

func TestDecider_RampLimitsColdWorker(t *testing.T) {
	d := NewDecider(halls, fullRamp{}, NoThrottle{}, time.Now)
	must.EqOp(t, Cold, d.Check(Request{}, workerIn("h1")).Reason)
	must.EqOp(t, Cold, d.Admit(Request{}, workerIn("h1")).Reason)
	must.True(t, d.Admit(Request{}, workers.Worker{ID: "other", Hall: "h1"}).Allowed())
}

// TestDecider_SetRegions checks that later decisions use the new regions, and that closed
// halls stay closed.
func TestDecider_SetRegions(t *testing.T) {
	d := NewDecider(map[string]string{"h1": "r1"}, NoRamp{}, NoThrottle{}, time.Now)
	d.Apply(Update{Changes: []Change{{Hall: "h2", Closed: true, Version: 3}}, Version: 3})
	request := Request{Route: catalog.Regions{"r2"}}
	must.EqOp(t, RegionBarred, d.Check(request, workers.Worker{Hall: "h1"}).Reason)
	d.SetRegions(map[string]string{"h1": "r2", "h2": "r2"})
	must.EqOp(t, Allowed, d.Check(request, workers.Worker{Hall: "h1"}).Reason)
	must.EqOp(t, HallClosed, d.Check(request, workers.Worker{Hall: "h2"}).Reason)
}

// coldRamp is a ramp by which "w" is cold and has capacity.
type coldRamp struct{ fullRamp }

func (coldRamp) Room(w workers.Worker, _ time.Time) (cold, room bool) { return w.ID == "w", true }
func (coldRamp) Weight(workers.Worker, time.Time) float64             { return 0.5 }

func TestDecider_ReportsWeightOfColdWorker(t *testing.T) {
	d := NewDecider(halls, coldRamp{}, NoThrottle{}, time.Now)
	must.Eq(t, Verdict{Weight: 0.5, Hall: "h1", Region: "north"}, d.Check(Request{}, workerIn("h1")))
	must.EqOp(t, 1, d.Check(Request{}, workers.Worker{ID: "other"}).Weight)
}
