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

// newColdEdge returns a daemon that knows a service whose workers start cold, and a warm
// worker of it in a closed hall.
func newColdEdge(t *testing.T) (*Edge, workers.Worker) {
	file := filepath.Join(t.TempDir(), "settings.jsonc")
	must.NoError(t, os.WriteFile(file, []byte(coldSettings), 0o600))
	settings, err := node.Open(file)
	must.NoError(t, err)
	e, free := NewEdge(settings, &log.Logger{Level: log.PanicLevel})
	t.Cleanup(free)
	service := catalog.Service{Name: "s", Cold: catalog.Cold{For: 3 * time.Second, PerSecond: 18}}
	e.Catalogs.Accept(catalog.New(1, catalog.Limits{}, nil, []catalog.Service{service}, nil), time.Now())
	w := workers.Worker{ID: "w", Service: "s", Hall: "h1"}
	e.cold.learnEntries([]workers.Worker{w}, nil, true)
	e.Placement.Apply(placement.Update{Changes: []placement.Change{{Hall: "h1", Closed: true, Version: 7}}, Version: 7})
	return e, w
}

// TestCold_AnOpenedHallIsColdBeforeItIsOpen: no request may slip in between.
func TestCold_AnOpenedHallIsColdBeforeItIsOpen(t *testing.T) {
	e, w := newColdEdge(t)
	e.coolOpened(placement.Update{Changes: []placement.Change{{Hall: "h1", Version: 9}}, Version: 9})
	must.False(t, e.Placement.Open("h1"))
	held, cold := e.cold.book.At(w.ID, time.Now())
	must.True(t, cold)
	must.EqOp(t, ramp.ByOpening, held.By)
	must.True(t, held.HeldUntil.IsZero(), must.Sprint("nothing was sent there"))
}

// TestCold_AnUpdateOpensAndCools: a full read no longer lists the closed hall.
func TestCold_AnUpdateOpensAndCools(t *testing.T) {
	e, w := newColdEdge(t)
	e.applyHalls(store.Update{Full: true, At: store.At(0, 9)})
	must.True(t, e.Placement.Open("h1"))
	must.EqOp(t, placement.Cold, e.Placement.Judge(placement.Request{}, w).Reason, must.Sprint("this daemon knows of no other yet"))
	must.Greater(t, 2*time.Second, e.cold.left(w.ID))
	must.EqOp(t, 0, e.cold.left("another"))
}

// TestCold_WhereWorkersStartColdTheLeaseTableIsAskedForOften: at a daemon that is alone in
// its hall, and only at sites that need it.
func TestCold_WhereWorkersStartColdTheLeaseTableIsAskedForOften(t *testing.T) {
	e, _ := newColdEdge(t)
	must.True(t, e.cold.needed())
	must.Eq(t, leasePace.hold.relaying, e.following.hold("control"))
	must.Eq(t, leasePace.gather.relaying, e.following.gather("control"))
	e.Catalogs.Accept(catalog.New(2, catalog.Limits{}, nil, []catalog.Service{{Name: "s"}}, nil), time.Now())
	must.False(t, e.cold.needed())
	must.Eq(t, leasePace.hold.alone, e.following.hold("control"))
	must.Eq(t, leasePace.gather.alone, e.following.gather("control"))
}
