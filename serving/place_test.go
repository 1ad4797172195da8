package serving

import (
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/pointpass/pointpass/catalog"
	"github.com/pointpass/pointpass/load"
	"github.com/pointpass/pointpass/placement"
	"github.com/pointpass/pointpass/throttle"
	"github.com/pointpass/pointpass/workers"
)

var (
	allKinds = []catalog.Kind{catalog.Once, catalog.Repeatable, catalog.Stream}
	allHalls = []string{"h1", "h2", "h3", "h4", "h5"} // h5 has no known region
)

// TestServe_AttemptsStayInRegions has workers reject requests, so that each request is sent to
// every target that its regions allow, and checks that it is sent to no other.
func TestServe_AttemptsStayInRegions(t *testing.T) {
	for _, kind := range allKinds {
		for _, c := range []struct {
			name            string
			route, customer catalog.Regions
			sent            []string
		}{
			{"nothing binds", nil, nil, []string{"", "north", "north", "south", "south"}},
			{"the route binds", catalog.Regions{"north"}, nil, []string{"north", "north"}},
			{"the customer binds", nil, catalog.Regions{"south"}, []string{"south", "south"}},
			{"both bind", catalog.Regions{"north", "south"}, catalog.Regions{"south", "east"}, []string{"south", "south"}},
			{"they share none", catalog.Regions{"north"}, catalog.Regions{"south"}, nil},
			{"nothing is there", catalog.Regions{"east"}, nil, nil},
		} {
			for _, reject := range []handler{rejectBusy, unreachable} {
				f := newFleet(kind, allHalls, reject)
				f.configure(c.route, c.customer)
				w, _ := f.ask()
				must.SliceContainsAll(t, c.sent, f.regions, must.Sprint(c.name, kind))
				must.EqOp(t, http.StatusServiceUnavailable, w.Code)
				must.StrNotEqFold(t, "", w.Header().Get("Retry-After"))
			}
		}
	}
}

// TestServe_ResumedStreamStaysInRegions checks that a broken stream resumes at another group
// within its regions, and is broken off if there is none.
func TestServe_ResumedStreamStaysInRegions(t *testing.T) {
	f := newFleet(catalog.Stream, allHalls, cutStream, finishStream)
	f.configure(catalog.Regions{"south"}, nil)
	w, aborted := f.ask()
	must.False(t, aborted)
	must.Eq(t, []string{"south", "south"}, f.regions)
	must.EqOp(t, "id: 1\ndata: x\n\nid: 2\ndata: y\n\n", w.Body.String())

	f = newFleet(catalog.Stream, []string{"h1", "h2", "h3"}, cutStream, finishStream)
	f.configure(catalog.Regions{"south"}, nil)
	_, aborted = f.ask()
	must.True(t, aborted)
	must.Eq(t, []string{"south"}, f.regions)
}

// TestServe_RemovedRegionAppliesToNextAttempt removes a region from the route, or from the
// customer, while a request's first attempt runs there.
func TestServe_RemovedRegionAppliesToNextAttempt(t *testing.T) {
	both, north := catalog.Regions{"north", "south"}, catalog.Regions{"north"}
	for _, kind := range allKinds {
		for _, end := range []handler{rejectBusy, loseAnswer, cutStream} {
			for _, takeFrom := range []string{"route", "customer"} {
				f := newFleet(kind, []string{"h3", "h4"}, nil)
				f.handlers[0] = func(a Attempt) (*Reply, error) {
					if takeFrom == "route" {
						f.configure(north, both)
					} else {
						f.configure(both, north)
					}
					return end(a)
				}
				f.configure(both, both)
				f.ask()
				must.Eq(t, []string{"south"}, f.regions, must.Sprint(kind, takeFrom))
			}
		}
	}
}

// TestServe_AddedRegionAppliesToNextAttempt checks that a running request may use the regions
// of the current configuration.
func TestServe_AddedRegionAppliesToNextAttempt(t *testing.T) {
	f := newFleet(catalog.Stream, allHalls, nil, finishStream)
	f.handlers[0] = func(a Attempt) (*Reply, error) {
		f.configure(catalog.Regions{"south"}, nil)
		return rejectBusy(a)
	}
	f.configure(catalog.Regions{"north"}, nil)
	w, _ := f.ask()
	must.EqOp(t, http.StatusOK, w.Code)
	must.Eq(t, []string{"north", "south"}, f.regions)
}

// TestServe_PossiblyRunRequestIsNotReportedNotRun guards against reporting a request as never
// run that was lost at a target which its regions exclude meanwhile.
func TestServe_PossiblyRunRequestIsNotReportedNotRun(t *testing.T) {
	f := newFleet(catalog.Once, []string{"h3", "h4"}, nil)
	f.handlers[0] = func(a Attempt) (*Reply, error) {
		f.configure(catalog.Regions{"north"}, nil)
		return loseAnswer(a)
	}
	f.configure(catalog.Regions{"south"}, nil)
	w, _ := f.ask()
	must.EqOp(t, http.StatusBadGateway, w.Code)
}

// TestServe_NoAllowedRegionIsRefusedAtOnce checks that the refusal comes at once, names a
// retry delay, and releases the place in the window.
func TestServe_NoAllowedRegionIsRefusedAtOnce(t *testing.T) {
	for _, halls := range [][]string{{"h1", "h2"}, {"h5"}, {}} { // no group in the allowed region
		f := newFleet(catalog.Stream, halls, finishStream)
		f.configure(catalog.Regions{"south"}, nil)
		w, _ := f.ask()
		must.EqOp(t, http.StatusServiceUnavailable, w.Code)
		must.EqOp(t, "0.400", w.Header().Get("Retry-After"))
		must.SliceEmpty(t, f.regions)
		must.EqOp(t, 0, f.server.InFlight())
		for _, window := range f.server.windows {
			_, underWay := window.Limit()
			must.EqOp(t, 0, underWay)
		}
	}
}

// TestServe_UnknownRegionIsLoggedOnce checks that twenty requests log a hall without a region
// only once.
func TestServe_UnknownRegionIsLoggedOnce(t *testing.T) {
	f := newFleet(catalog.Repeatable, []string{"h5"}, rejectBusy)
	f.configure(catalog.Regions{"south"}, nil)
	for range 20 {
		f.ask()
	}
	must.EqOp(t, 1, strings.Count(f.log.String(), "hall_region_unknown"))
	must.EqOp(t, 20, f.server.opts.Counters.unknownRegion.Get())
	must.EqOp(t, 20, f.set.GetOrCreateCounter(`pointpass_refused_placement_total{reason="region_barred"}`).Get())

	f.configure(nil, nil) // requests without region constraints may run there
	f.regions = nil
	f.ask()
	must.Eq(t, []string{""}, f.regions)
}

// TestServe_ReportsClosedHallOfAllowedRegion checks that the refusal names a closed hall as
// the reason only if that hall is in an allowed region.
func TestServe_ReportsClosedHallOfAllowedRegion(t *testing.T) {
	for _, halls := range [][]string{{"h1", "h3", "h5"}, {"h3", "h5", "h1"}} {
		f := newFleet(catalog.Repeatable, halls, rejectBusy)
		f.server.opts.Placement.(*placement.Decider).Apply(placement.Update{Changes: []placement.Change{{Hall: "h1", Closed: true, Version: 7}, {Hall: "h3", Closed: true, Version: 8}}, Version: 8})
		f.configure(catalog.Regions{"south"}, nil)
		w, _ := f.ask()
		must.StrContains(t, w.Body.String(), "closed")
		f.configure(catalog.Regions{"east"}, nil)
		w, _ = f.ask()
		must.StrContains(t, w.Body.String(), "regions")
	}
}

// TestServe_RetryAfterForClosedHalls checks that the retry delay grows with the time that the
// hall has been closed.
func TestServe_RetryAfterForClosedHalls(t *testing.T) {
	for closed, want := range map[time.Duration]string{0: "0.400", 2 * time.Second: "2.000", 20 * time.Second: "4.000"} {
		f := newFleet(catalog.Repeatable, []string{"h1"}, rejectBusy)
		now := time.Now()
		clock := func() time.Time { return now }
		decider := placement.NewDecider(fleetHalls, placement.NoRamp{}, placement.NoThrottle{}, clock)
		f.server.opts.Placement = decider
		f.server.opts.Now = clock
		f.configure(nil, nil)
		decider.Apply(placement.Update{Changes: []placement.Change{{Hall: "h1", Closed: true, Version: 7}}, Version: 7})
		now = now.Add(closed)
		w, _ := f.ask()
		must.EqOp(t, http.StatusServiceUnavailable, w.Code)
		must.EqOp(t, want, w.Header().Get("Retry-After"))
		must.EqOp(t, 0, f.server.InFlight())
	}
}

// TestServe_RejectingWorkerGetsFewRequests guards against a worker that attracts requests by
// rejecting them. A rejection is over after a millisecond and leaves nothing in flight, so
// that without a backoff the worker looks the least busy to the next request and to the second
// attempt of the same one. While a quarter of the heads rejected every request, they got a
// quarter to a half of all requests, and 5 to 10 of 100 callers were refused though the other
// heads had capacity.
func TestServe_RejectingWorkerGetsFewRequests(t *testing.T) {
	const requests = 60
	for _, kind := range allKinds {
		rejections := 0
		var rejecting string
		f := newFleet(kind, []string{"h1", "h2"}, func(a Attempt) (*Reply, error) {
			if a.Worker.ID == rejecting {
				rejections++
				return rejectBusy(a)
			}
			return finishStream(a)
		})
		f.configure(nil, nil)
		rejecting = f.head()
		for range requests {
			w, _ := f.ask()
			must.EqOp(t, http.StatusOK, w.Code)
		}
		must.LessEq(t, requests/10, rejections, must.Sprint(kind))
	}
}

// limitedWorker is a throttle that admits no request to one worker until some time from now.
type limitedWorker struct {
	placement.NoThrottle
	id    string
	until time.Duration
}

func (b limitedWorker) Check(w workers.Worker, now time.Time) throttle.Verdict {
	if w.ID != b.id {
		return throttle.Verdict{Weight: 1}
	}
	return throttle.Verdict{Reason: throttle.Limited, Until: now.Add(b.until), Weight: 1}
}

func (b limitedWorker) Take(w workers.Worker, now time.Time) throttle.Verdict { return b.Check(w, now) }

// TestServe_AttemptsRespectThrottle checks that no attempt goes to a throttled worker: neither
// the first one nor one after a rejection, a lost answer or a broken stream. If no other
// worker is left, the refusal names a retry delay.
func TestServe_AttemptsRespectThrottle(t *testing.T) {
	now := time.Now()
	clock := func() time.Time { return now }
	for _, kind := range allKinds {
		for name, first := range map[string]handler{"request rejected": rejectBusy, "lost": loseAnswer, "stream cut": cutStream} {
			t.Run(fmt.Sprint(kind, " ", name), func(t *testing.T) {
				f := newFleet(kind, []string{"h1", "h2"}, first, first)
				f.configure(nil, nil)
				f.server.opts.Placement = placement.NewDecider(fleetHalls, placement.NoRamp{}, limitedWorker{id: f.head(), until: 2 * time.Second}, clock)
				f.ask()
				must.Len(t, 1, f.regions, must.Sprint("only the other worker may get the request"))
			})
		}
	}
	for until, want := range map[time.Duration]string{0: "0.400", time.Millisecond: "0.400", 2 * time.Second: "2.000", time.Hour: "4.000"} {
		f := newFleet(catalog.Repeatable, []string{"h1"})
		f.configure(nil, nil)
		f.server.opts.Now = clock
		f.server.opts.Placement = placement.NewDecider(fleetHalls, placement.NoRamp{}, limitedWorker{id: f.head(), until: until}, clock)
		w, _ := f.ask()
		must.EqOp(t, http.StatusServiceUnavailable, w.Code)
		must.EqOp(t, want, w.Header().Get("Retry-After"))
		must.SliceEmpty(t, f.regions)
	}
}

// closesAfterCheck is a placement that closes a worker's hall right after Check allowed it.
type closesAfterCheck struct{ *placement.Decider }

func (c closesAfterCheck) Check(r placement.Request, w workers.Worker) placement.Verdict {
	v := c.Decider.Check(r, w)
	c.Apply(placement.Update{Changes: []placement.Change{{Hall: w.Hall, Closed: true, Version: 7}}, Version: 7})
	return v
}

// TestChoose_RechecksPlacementBeforeSending guards against sending to a target that was
// allowed when targets were listed and no longer is.
func TestChoose_RechecksPlacementBeforeSending(t *testing.T) {
	f := newFleet(catalog.Repeatable, []string{"h3"}, rejectBusy)
	f.server.opts.Placement = closesAfterCheck{f.server.opts.Placement.(*placement.Decider)}
	f.configure(catalog.Regions{"south"}, nil)
	w, _ := f.ask()
	must.EqOp(t, http.StatusServiceUnavailable, w.Code)
	must.SliceEmpty(t, f.regions)
}

// TestCanMove_OnlyWithinRegions guards against cutting a stream for its group's silence when
// only groups outside its regions could resume it.
func TestCanMove_OnlyWithinRegions(t *testing.T) {
	f := newFleet(catalog.Stream, []string{"h1", "h3"}, finishStream)
	f.configure(nil, nil)
	e := &exchange{server: f.server, req: &Request{Host: "a.example", Path: "/x", Model: "m"}, tried: []string{"m.2"}}
	e.inForce = f.catalogs.Current()
	e.route, _ = e.inForce.Catalog.Route("a.example", "/x")
	e.service, _ = e.inForce.Catalog.Service("s")
	w := e.watch("m.2", func(error) {})
	defer w.stop()
	must.True(t, w.canMove(time.Now()))
	f.configure(catalog.Regions{"south"}, nil)
	must.False(t, w.canMove(time.Now()))
}

// TestServe_CountsDemandByRegions checks that a request refused for lack of a group counts as
// demand, so that a group is formed where it may run, and that a request which may run nowhere
// doesn't.
func TestServe_CountsDemandByRegions(t *testing.T) {
	f := newFleet(catalog.Stream, []string{"h1"}, finishStream)
	f.configure(nil, nil)
	f.ask()
	f.configure(catalog.Regions{"south", "north"}, catalog.Regions{"south", "east"})
	f.ask()
	f.configure(catalog.Regions{"south"}, catalog.Regions{"north"})
	f.ask()
	m := load.Model{Service: "s", Name: "m"}
	south := m
	south.Regions = catalog.NewRegionSet([]string{"south"})
	must.Eq(t, []load.Model{m, south}, f.demand)
}

// TestWindow_LimitsRegionSets guards against windows that accumulate as configurations change.
func TestWindow_LimitsRegionSets(t *testing.T) {
	f := newFleet(catalog.Stream, []string{"h1"}, finishStream)
	for i := range 10 * maxWindows {
		f.server.window(load.Model{Service: "s", Name: "m", Regions: catalog.NewRegionSet([]string{strconv.Itoa(i)})})
	}
	must.LessEq(t, maxWindows+1, len(f.server.windows))
}
