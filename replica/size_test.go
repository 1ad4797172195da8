package replica

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/pointpass/pointpass/catalog"
	"github.com/pointpass/pointpass/load"
	"github.com/pointpass/pointpass/workers"
)

// The size of the two-year target: 632 domains of 19 workers in ten halls of four regions.
const (
	fleetDomains = 632
	fleetHalls   = 10
)

var fleetRegions = []string{"a", "a", "a", "b", "b", "b", "c", "c", "d", "d"}

// fleetRegion returns the region of a hall "h0" to "h9".
func fleetRegion(hall string) string { return fleetRegions[hall[1]-'0'] }

// newFleet returns the workers of the two-year target. If formed is set, they are in groups of
// 8, 4 and 4, with three spares in each domain. Staged are the models on their hosts.
func newFleet(formed bool, staged ...string) (*workers.View, *catalog.Service) {
	service := newUnevenWorld(0).service
	var list []workers.Worker
	epoch := uint64(0)
	for d := range fleetDomains {
		var domain []workers.Worker
		for i := range 19 {
			domain = append(domain, workers.Worker{
				ID: fmt.Sprintf("w%05d", 19*d+i), Service: "llm", Domain: fmt.Sprintf("d%03d", d),
				Hall: fmt.Sprint("h", d%fleetHalls), Staged: staged,
			})
		}
		first := 0
		for _, size := range []int{8, 4, 4} {
			if !formed {
				break
			}
			epoch++
			model := "small"
			if size == 8 {
				model = "m.large"
			}
			for rank := range size {
				state := workers.Ready
				if rank == 0 {
					state = workers.Open
				}
				domain[first+rank].Membership = workers.Membership{Group: workers.NewGroupID(model, epoch), Rank: rank, State: state}
			}
			first += size
		}
		list = append(list, domain...)
	}
	registry := workers.NewRegistry(func(*workers.View) {})
	registry.Apply(list, nil, true)
	return registry.View(), service
}

// fleetOffered returns the work offered in all regions. Half of it is bound to the caller's
// region: in a mostly to the large model, in b mostly to the small one.
func fleetOffered() load.Offered {
	return merge(
		offered(200, 300, regionSet("")),
		offered(150, 30, regionSet("a")), offered(10, 350, regionSet("b")), offered(60, 60, regionSet("c")), offered(30, 100, regionSet("cd")),
	)
}

// fleetSituation returns the situation of a plan for the fleet.
func fleetSituation(at time.Time, view *workers.View, service *catalog.Service) Situation {
	return Situation{
		Now: at, View: view, Services: []*catalog.Service{service}, Failing: func(string) bool { return false },
		Load:   load.Sum{Offered: fleetOffered(), Daemons: 1, At: at},
		Region: fleetRegion,
	}
}

// TestPlan_TwoYears checks that after the loss of all groups at once a single plan forms the
// groups that the work of each region needs.
func TestPlan_TwoYears(t *testing.T) {
	view, service := newFleet(false, "m.large", "small")
	p := NewPlanner(1, testCeiling)
	at := time.Unix(1000, 0)
	p.demand.observe(at, fleetSituation(at, view, service).Load)
	at = at.Add(minObservationTime)
	must.SliceNotEmpty(t, p.Plan(fleetSituation(at, view, service)))
	formed := map[string]map[string]int{"a": {}, "b": {}, "c": {}, "d": {}}
	for _, f := range p.forming {
		formed[f.region][f.model.Name]++
		for _, id := range f.members {
			w, _ := view.Worker(id)
			must.EqOp(t, f.region, fleetRegion(w.Hall))
		}
	}
	regions := map[string]int{"a": 19 * 190, "b": 19 * 189, "c": 19 * 126, "d": 19 * 126}
	for region, workers := range regions {
		offeredWork := p.demand.offeredWork(service, supply{region: region, workers: workers, regions: regions})
		for model, groups := range offeredWork {
			must.GreaterEq(t, groups, float64(formed[region][model]), must.Sprint(region, " ", model))
		}
	}
	must.GreaterEq(t, 150, formed["a"]["m.large"])
	must.GreaterEq(t, 350, formed["b"]["small"])
}

// BenchmarkPlan_TwoYears plans for 12,008 workers: in 1,896 groups, where a plan only compares
// shares and looks for groups to retire; empty ones before traffic, which all have a model to
// load; the same once they run groups; and workers that all lost their groups.
func BenchmarkPlan_TwoYears(b *testing.B) {
	b.Run("steady", func(b *testing.B) {
		view, service := newFleet(true, "m.large", "small")
		p := NewPlanner(1, testCeiling)
		at := time.Unix(1000, 0)
		for b.Loop() {
			at = at.Add(time.Second / 4)
			p.Plan(fleetSituation(at, view, service))
		}
	})
	for _, c := range []struct {
		name         string
		formed, idle bool
		staged       []string
	}{
		{"start", false, true, nil},
		{"formed", true, true, nil},
		{"all lost", false, false, []string{"m.large", "small"}},
	} {
		b.Run(c.name, func(b *testing.B) {
			view, service := newFleet(c.formed, c.staged...)
			for b.Loop() {
				p := NewPlanner(1, testCeiling)
				s := fleetSituation(time.Unix(1000, 0), view, service)
				s.Idle = c.idle
				p.startedAt = s.Now.Add(-maxSettleTime)
				must.SliceNotEmpty(b, p.Plan(s))
			}
		})
	}
}
