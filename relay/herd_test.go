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

// simFleet simulates a store with one table of 300 rows and the daemons that follow it
// through relays, in steps of the store's clock. A daemon whose poll returns no changes
// polls again after a delay.
type simFleet struct {
	now       time.Time
	at        store.Position
	rows      []store.Row
	storeDown bool
	daemons   []*simDaemon
	byAddr    map[string]*simDaemon
	// fullReads and changeReads count the store's calls with and without all rows.
	fullReads, changeReads int
}

// simDaemon is a simulated daemon and the time of its next poll.
type simDaemon struct {
	cache   *Cache
	reader  *Reader
	since   store.Position
	next    time.Time
	backoff time.Duration
}

const (
	simRows         = 300
	simStep         = 20 * time.Millisecond
	simPollInterval = 600 * time.Millisecond
)

func newSimFleet(daemons, halls int) *simFleet {
	f := &simFleet{now: time.Unix(1000, 0), at: store.At(1, simRows), byAddr: map[string]*simDaemon{}}
	for i := range simRows {
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
		upstreams := fleet.Upstreams(m)
		d := &simDaemon{cache: NewCache("t", testMaxAge, now).EnableDiffs(), next: f.now}
		d.reader = NewReader(ReaderOptions{Direct: f, Peers: simPeers{f}, Upstreams: func() []Member { return upstreams }, IsRelay: func() bool { return IsRelay(m, members) }, MaxAge: testMaxAgeOf, ReconnectTimeout: func() time.Duration { return testReconnectTimeout }, Now: now, Log: quiet})
		f.daemons = append(f.daemons, d)
		f.byAddr[m.Addr] = d
	}
	return f
}

// Rows simulates the store's answer.
func (f *simFleet) Rows(context.Context, string) (store.Snapshot, error) {
	f.fullReads++
	if f.storeDown {
		return store.Snapshot{}, errConnection
	}
	return store.Snapshot{At: f.at, Rows: f.rows}, nil
}

// Changes simulates the store's answer.
func (f *simFleet) Changes(_ context.Context, _ string, since store.Position, _ time.Duration) (store.Snapshot, error) {
	f.changeReads++
	if f.storeDown {
		return store.Snapshot{}, errConnection
	}
	if since.Version() > f.at.Version() {
		return store.Snapshot{}, &store.HistoryLostError{Table: "t", Era: f.at.Era()}
	}
	return store.Snapshot{At: f.at}, nil
}

type simPeers struct{ *simFleet }

// Changes simulates another daemon's answer.
func (p simPeers) Changes(ctx context.Context, addr, _ string, since store.Position, _ time.Duration) (store.Snapshot, error) {
	cache := p.byAddr[addr].cache
	if since.IsSet() {
		return cache.Changes(ctx, since, 0)
	}
	s, ok := cache.Rows()
	if !ok {
		return s, &EmptyError{}
	}
	return s, nil
}

// poll makes one call of a daemon, as store.Follower does.
func (f *simFleet) poll(d *simDaemon) {
	var s store.Snapshot
	var err error
	full := !d.since.IsSet()
	if full {
		s, err = d.reader.Rows(context.Background(), "t")
	} else {
		s, err = d.reader.Changes(context.Background(), "t", d.since, 0)
	}
	var lost *store.HistoryLostError
	switch {
	case errors.As(err, &lost):
		d.since = store.Position{}
		d.backoff = 0
		fallthrough
	case err != nil:
		d.backoff = min(max(2*d.backoff, 100*time.Millisecond), 700*time.Millisecond)
		d.next = f.now.Add(d.backoff/2 + rand.N(d.backoff/2+1))
		return
	}
	evidence := s.Evidence
	if evidence.IsZero() {
		evidence = f.now
	}
	d.cache.Apply(store.Update{Rows: s.Rows, Full: full, Gap: s.Gap, Evidence: evidence, At: s.At})
	d.since = s.At
	d.backoff = 0
	d.next = f.now.Add(simPollInterval/2 + rand.N(simPollInterval/2))
}

// advance runs the simulation for a duration.
func (f *simFleet) advance(d time.Duration) {
	for end := f.now.Add(d); f.now.Before(end); f.now = f.now.Add(simStep) {
		for _, d := range f.daemons {
			if !f.now.Before(d.next) {
				f.poll(d)
			}
		}
	}
}

// behind returns the number of daemons that aren't at the store's position.
func (f *simFleet) behind() int {
	n := 0
	for _, d := range f.daemons {
		if d.cache.At() != f.at {
			n++
		}
	}
	return n
}

// Guards against a thundering herd: after a restore, the whole fleet reads all rows of the
// table again. Only daemons without another source may read it from the store: relays,
// and in a long outage daemons that probe the store themselves.
func TestRestore_IsNoHerdAtTheStore(t *testing.T) {
	longOutage := 2500 * time.Millisecond
	for _, c := range []struct {
		daemons, halls int
		outages        []time.Duration
	}{
		{7, 3, []time.Duration{0, time.Second, longOutage}},
		{90, 3, []time.Duration{0, time.Second, longOutage}},
		{300, 5, []time.Duration{longOutage}},
		{984, 5, []time.Duration{longOutage}},
	} {
		for _, outage := range c.outages {
			t.Run(fmt.Sprint(c.daemons, " daemons, outage of ", outage), func(t *testing.T) {
				simulate := func(restored bool) (f *simFleet, converged time.Duration) {
					f = newSimFleet(c.daemons, c.halls)
					f.advance(5 * time.Second)
					must.EqOp(t, 0, f.behind())
					f.storeDown = outage > 0
					f.advance(outage)
					f.storeDown = false
					if restored {
						f.at = store.At(2, simRows-50)
						f.rows = f.rows[:simRows-50]
						for i := range f.rows {
							f.rows[i].At = store.At(2, uint64(i+1))
						}
					}
					f.fullReads, f.changeReads = 0, 0
					recovered := f.now
					for f.behind() > 0 && f.now.Sub(recovered) < 5*time.Second {
						f.advance(simStep)
					}
					converged = f.now.Sub(recovered)
					f.advance(5*time.Second - converged)
					return f, converged
				}
				baseline, _ := simulate(false)
				f, converged := simulate(true)
				t.Logf("all daemons up to date after %v; store calls in 5 s: %d full reads, %d reads of changes (%d after an outage without a restore)",
					converged, f.fullReads, f.changeReads, baseline.changeReads)
				must.EqOp(t, 0, f.behind())
				must.LessEq(t, relaysPerHall*c.halls, f.fullReads, must.Sprint("one full read by each of a hall's two relays"))
			})
		}
	}
}
