package relay

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/pointpass/pointpass/store"
)

// fleetTable is a store with one table of 300 rows, and daemons that follow it by the
// members' places, in steps of the store's clock. A question that nobody answers with news is
// asked again after a hold.
type fleetTable struct {
	now     time.Time
	at      store.Position
	rows    []store.Row
	away    bool
	daemons []*fleetDaemon
	byAddr  map[string]*fleetDaemon
	// reads and questions count what the store was asked, with and without all rows.
	reads, questions int
}

// fleetDaemon is a daemon and when its follower asks next.
type fleetDaemon struct {
	cache  *Cache
	reader *Reader
	since  store.Position
	next   time.Time
	pause  time.Duration
}

const (
	fleetRows = 300
	fleetStep = 20 * time.Millisecond
	fleetHold = 600 * time.Millisecond
)

func newFleetTable(daemons, halls int) *fleetTable {
	f := &fleetTable{now: time.Unix(1000, 0), at: store.At(1, fleetRows), byAddr: map[string]*fleetDaemon{}}
	for i := range fleetRows {
		f.rows = append(f.rows, store.Row{Key: fmt.Sprint("w", i), At: store.At(1, uint64(i+1))})
	}
	var members []Member
	for i := range daemons {
		members = append(members, Member{Name: fmt.Sprint("e", i), Addr: fmt.Sprint("a", i), Hall: fmt.Sprint("h", i%halls), Cores: 0.2})
	}
	fleet := Fleet{Members: members, Region: func(hall string) string { return "r" + hall[1:] }}
	if halls > 1 {
		fleet.Region = func(string) string { return "r" }
	}
	now := func() time.Time { return f.now }
	for _, m := range members {
		up := fleet.Upstreams(m)
		d := &fleetDaemon{cache: NewCache("t", testAge, now).TellDifferences(), next: f.now}
		d.reader = NewReader(ReaderOptions{Direct: f, Peers: fleetPeers{f}, Upstreams: func() []Member { return up }, Relays: func() bool { return Relays(m, members) }, MostAge: testAges, InTouch: func() time.Duration { return testInTouch }, Now: now, Log: quiet})
		f.daemons = append(f.daemons, d)
		f.byAddr[m.Addr] = d
	}
	return f
}

// Rows is the store's answer.
func (f *fleetTable) Rows(context.Context, string) (store.Snapshot, error) {
	f.reads++
	if f.away {
		return store.Snapshot{}, errCut
	}
	return store.Snapshot{At: f.at, Rows: f.rows}, nil
}

// Changes is the store's answer.
func (f *fleetTable) Changes(_ context.Context, _ string, since store.Position, _ time.Duration) (store.Snapshot, error) {
	f.questions++
	if f.away {
		return store.Snapshot{}, errCut
	}
	if since.Version() > f.at.Version() {
		return store.Snapshot{}, &store.HistoryLostError{Table: "t", Era: f.at.Era()}
	}
	return store.Snapshot{At: f.at}, nil
}

type fleetPeers struct{ *fleetTable }

// Changes is another daemon's answer.
func (p fleetPeers) Changes(ctx context.Context, addr, _ string, since store.Position, _ time.Duration) (store.Snapshot, error) {
	cache := p.byAddr[addr].cache
	if since.Known() {
		return cache.Changes(ctx, since, 0)
	}
	s, known := cache.Rows()
	if !known {
		return s, &EmptyError{}
	}
	return s, nil
}

// ask has a daemon ask once, as store.Follower does.
func (f *fleetTable) ask(d *fleetDaemon) {
	var s store.Snapshot
	var err error
	full := !d.since.Known()
	if full {
		s, err = d.reader.Rows(context.Background(), "t")
	} else {
		s, err = d.reader.Changes(context.Background(), "t", d.since, 0)
	}
	var lost *store.HistoryLostError
	switch {
	case errors.As(err, &lost):
		d.since = store.Position{}
		d.pause = 0
		fallthrough
	case err != nil:
		d.pause = min(max(2*d.pause, 100*time.Millisecond), 700*time.Millisecond)
		d.next = f.now.Add(d.pause/2 + rand.N(d.pause/2+1))
		return
	}
	evidence := s.Evidence
	if evidence.IsZero() {
		evidence = f.now
	}
	d.cache.Apply(store.Update{Rows: s.Rows, Full: full, Gap: s.Gap, Evidence: evidence, At: s.At})
	d.since = s.At
	d.pause = 0
	d.next = f.now.Add(fleetHold/2 + rand.N(fleetHold/2))
}

// run lets time pass.
func (f *fleetTable) run(d time.Duration) {
	for until := f.now.Add(d); f.now.Before(until); f.now = f.now.Add(fleetStep) {
		for _, d := range f.daemons {
			if !f.now.Before(d.next) {
				f.ask(d)
			}
		}
	}
}

// behind returns how many daemons don't know where the store stands.
func (f *fleetTable) behind() int {
	n := 0
	for _, d := range f.daemons {
		if d.cache.At() != f.at {
			n++
		}
	}
	return n
}

// A restore has the whole fleet read the table from the store. Only daemons that nobody else
// answers may: those that relay, and in a long absence those that look for the store themselves.
func TestRestore_IsNoHerdAtTheStore(t *testing.T) {
	long := 2500 * time.Millisecond
	for _, c := range []struct {
		daemons, halls int
		absences       []time.Duration
	}{
		{7, 3, []time.Duration{0, time.Second, long}},
		{90, 3, []time.Duration{0, time.Second, long}},
		{300, 5, []time.Duration{long}},
		{984, 5, []time.Duration{long}},
	} {
		for _, absence := range c.absences {
			t.Run(fmt.Sprint(c.daemons, " daemons, away for ", absence), func(t *testing.T) {
				play := func(restored bool) (f *fleetTable, converged time.Duration) {
					f = newFleetTable(c.daemons, c.halls)
					f.run(5 * time.Second)
					must.EqOp(t, 0, f.behind())
					f.away = absence > 0
					f.run(absence)
					f.away = false
					if restored {
						f.at = store.At(2, fleetRows-50)
						f.rows = f.rows[:fleetRows-50]
						for i := range f.rows {
							f.rows[i].At = store.At(2, uint64(i+1))
						}
					}
					f.reads, f.questions = 0, 0
					back := f.now
					for f.behind() > 0 && f.now.Sub(back) < 5*time.Second {
						f.run(fleetStep)
					}
					converged = f.now.Sub(back)
					f.run(5*time.Second - converged)
					return f, converged
				}
				usual, _ := play(false)
				f, converged := play(true)
				t.Logf("known everywhere after %v; in 5 s at the store: %d readings of all rows, %d questions (%d after an absence alone)",
					converged, f.reads, f.questions, usual.questions)
				must.EqOp(t, 0, f.behind())
				must.LessEq(t, relaysPerHall*c.halls, f.reads, must.Sprint("one reader a hall, and the second one"))
			})
		}
	}
}
