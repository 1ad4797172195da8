package deps

import (
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/phuslu/log"
	"github.com/shoenig/test/must"

	"github.com/pointpass/pointpass/catalog"
	"github.com/pointpass/pointpass/node"
	"github.com/pointpass/pointpass/placement"
	"github.com/pointpass/pointpass/ramp"
	"github.com/pointpass/pointpass/store"
	"github.com/pointpass/pointpass/workers"
)

const coldSettings = `{"name": "e1", "hall": "h1", "callers_addr": "10.1.0.4:80", "readiness_addr": "10.1.0.4:81",
 "metrics_addr": "10.1.0.4:82", "peers_addr": "10.1.0.4:83", "store_addr": "10.1.0.5:80", "cores": 0.2,
 "bounds": {"cold_overrun": 1.5, "cold_slack": 5}}`

// newColdEdge returns a daemon with a service whose workers start cold, and a warm worker of it in
// a closed hall.
func newColdEdge(t *testing.T) (*Edge, workers.Worker) {
	file := filepath.Join(t.TempDir(), "settings.jsonc")
	must.NoError(t, os.WriteFile(file, []byte(coldSettings), 0o600))
	settings, err := node.Open(file)
	must.NoError(t, err)
	e, free := NewEdge(settings, &log.Logger{Level: log.PanicLevel})
	t.Cleanup(free)
	service := catalog.Service{Name: "s", Cold: catalog.Cold{Duration: 3 * time.Second, RequestsPerSecond: 18}}
	e.Catalogs.Accept(catalog.New(1, catalog.Limits{}, nil, []catalog.Service{service}, nil), time.Now())
	w := workers.Worker{ID: "w", Service: "s", Hall: "h1"}
	e.cold.learnEntries([]workers.Worker{w}, nil, true)
	e.Placement.Apply(placement.Update{Changes: []placement.Change{{Hall: "h1", Closed: true, Version: 7}}, Version: 7})
	return e, w
}

// TestCold_HallIsMarkedColdBeforeItOpens guards against requests that reach a hall between its
// opening and the marking of its workers as cold.
func TestCold_HallIsMarkedColdBeforeItOpens(t *testing.T) {
	e, w := newColdEdge(t)
	e.markOpenedCold(placement.Update{Changes: []placement.Change{{Hall: "h1", Version: 9}}, Version: 9})
	must.False(t, e.Placement.Open("h1"))
	state, isCold := e.cold.book.At(w.ID, time.Now())
	must.True(t, isCold)
	must.EqOp(t, ramp.ByHallOpening, state.By)
	must.True(t, state.BlockedUntil.IsZero(), must.Sprint("no requests were sent to the closed hall"))
}

// TestCold_FullReadOpensHallAsCold guards against workers that stay warm when their hall is opened
// by a full read, which no longer lists the hall as closed.
func TestCold_FullReadOpensHallAsCold(t *testing.T) {
	e, w := newColdEdge(t)
	e.applyHalls(store.Update{Full: true, At: store.At(0, 9)})
	must.True(t, e.Placement.Open("h1"))
	must.EqOp(t, placement.Cold, e.Placement.Check(placement.Request{}, w).Reason, must.Sprint("no other daemon is listed yet"))
	must.Greater(t, 2*time.Second, e.cold.remaining(w.ID))
	must.EqOp(t, 0, e.cold.remaining("another"))
}

// TestCold_LeaseTableIsPolledAsOftenAsByARelay guards against a lease table that is too old for
// slow start at a daemon that is alone in its hall. Sites without cold starts must not make the
// additional calls.
func TestCold_LeaseTableIsPolledAsOftenAsByARelay(t *testing.T) {
	e, _ := newColdEdge(t)
	must.True(t, e.cold.enabled())
	must.Eq(t, leaseTiming.longPoll.directRelay, e.followers.longPoll("control"))
	must.Eq(t, leaseTiming.debounce.directRelay, e.followers.debounce("control"))
	e.Catalogs.Accept(catalog.New(2, catalog.Limits{}, nil, []catalog.Service{{Name: "s"}}, nil), time.Now())
	must.False(t, e.cold.enabled())
	must.Eq(t, leaseTiming.longPoll.standalone, e.followers.longPoll("control"))
	must.Eq(t, leaseTiming.debounce.standalone, e.followers.debounce("control"))
}
