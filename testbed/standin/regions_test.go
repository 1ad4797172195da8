package standin

import (
	"fmt"
	"net/http"
	"slices"
	"strings"
	"testing"

	"github.com/shoenig/test/must"
)

// regionOf is the region of each hall, as the daemons' settings tell it.
var regionOf = map[string]string{"z1": "r1", "z2": "r1", "z3": "r2", "z4": "r2"}

// newRegions starts a stage with a plain worker and a group in each of four halls of two
// regions, and a worker of each kind in a hall that the settings don't know.
func newRegions(t *testing.T) *stage {
	s := newStage(t, 2)
	for _, hall := range []string{"z2", "z3", "z4", "z9"} {
		s.addWorkerIn("b-"+hall, "app", "", hall)
		for i := range 2 {
			s.addWorkerIn(fmt.Sprint("n", i, "-", hall), "llm", "e-"+hall, hall)
		}
	}
	return s
}

// bind has the operator bind all routes, and the customer, to regions.
func (s *stage) bind(routes, customer []string) {
	s.config.Version++
	s.config.Routes = append([]Route{}, s.config.Routes...)
	for i := range s.config.Routes {
		s.config.Routes[i].Regions = routes
	}
	s.config.Tenants = []Tenant{{Name: "desk", Keys: []string{key}, Regions: customer}}
	s.store.Apply(s.config)
	for _, d := range s.daemons {
		eventually(s.t, "the configuration is in force", func() bool {
			return strings.Contains(d.Metrics(), fmt.Sprintf("pointpass_config_version %d\n", s.config.Version))
		})
	}
}

// askEach sends a request of each kind, and returns the regions where it ran.
func (s *stage) askEach(d *Daemon) (statuses []int, regions []string) {
	for _, a := range []Ask{s.ask(http.MethodPost, "/post/x"), s.ask(http.MethodGet, "/get/x"), s.stream()} {
		statuses = append(statuses, d.Send(s.t.Context(), a).Status)
		for _, w := range s.workers {
			for _, r := range w.Runs() {
				if r.ID == a.ID {
					regions = append(regions, regionOf[w.hall])
				}
			}
		}
	}
	return statuses, regions
}

// TestRegions_RequestsStayWhereTheyMay: first sendings, retries of full workers and of
// streams that break, while configurations take regions away.
func TestRegions_RequestsStayWhereTheyMay(t *testing.T) {
	s := newRegions(t)
	d := s.start(true)
	s.awaitGroups(5)
	s.awaitStreams(d)
	for id := range s.workers {
		if id == "b-z3" || id == "n0-z3" || id == "m0" {
			s.setFaults(Full, id) // what they turn away is sent again
		}
	}
	for _, c := range []struct {
		routes, customer []string
		region           string
	}{
		{[]string{"r2"}, nil, "r2"},
		{nil, []string{"r1"}, "r1"},
		{[]string{"r1", "r2"}, []string{"r2", "r3"}, "r2"},
	} {
		s.bind(c.routes, c.customer)
		for range 10 {
			statuses, regions := s.askEach(d)
			must.Eq(t, []int{http.StatusOK, http.StatusOK, http.StatusOK}, statuses)
			must.Eq(t, []string{c.region, c.region, c.region}, regions)
		}
	}
}

// TestRegions_NoneLeftIsRefusedAtOnce: the lists share no region, and then all workers of
// the only one die. Nothing runs elsewhere, and nothing is held.
func TestRegions_NoneLeftIsRefusedAtOnce(t *testing.T) {
	s := newRegions(t)
	d := s.start(true)
	s.awaitGroups(5)
	s.awaitStreams(d)
	refused := func() bool {
		statuses, regions := s.askEach(d)
		return len(regions) == 0 && slices.Equal(statuses, []int{http.StatusServiceUnavailable, http.StatusServiceUnavailable, http.StatusServiceUnavailable})
	}
	s.bind([]string{"r1"}, []string{"r2"})
	must.True(t, refused())
	must.StrContains(t, d.Log(), `"barred":"region_barred"`)
	must.StrNotContains(t, d.Log(), "the deadline has passed", must.Sprint("something was held"))

	s.bind([]string{"r2"}, nil)
	for _, w := range s.workers {
		if regionOf[w.hall] == "r2" {
			w.Kill()
			s.store.Put("servers", w.ID(), nil)
		}
	}
	eventually(t, "all are refused at once", refused)
	s.bind(nil, nil)
	statuses, _ := s.askEach(d)
	must.Eq(t, []int{http.StatusOK, http.StatusOK, http.StatusOK}, statuses)
}
