package placement_test

import (
	"context"
	"errors"
	"os"
	"slices"
	"testing"
	"time"

	"github.com/phuslu/log"
	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"github.com/pointpass/pointpass/common/histories"
	"github.com/pointpass/pointpass/placement"
	"github.com/pointpass/pointpass/relay"
	"github.com/pointpass/pointpass/store"
)

func TestMain(m *testing.M) { os.Exit(histories.Run(m)) }

// table is the table whose rows mark closed halls; keys are hall names.
const table = "halls"

// Bounds of the simulation.
const (
	// maxClosingDelay is how long after its closing a hall may still get requests.
	maxClosingDelay = 5 * time.Second
	// maxAge is the maximum age of the evidence that a daemon relays.
	maxAge = 1400 * time.Millisecond
	// maxStep is the longest duration of one step of a query, so that three daemons can query
	// one after the other well within maxClosingDelay.
	maxStep  = 100 * time.Millisecond
	maxStall = 9 * time.Second
)

var (
	testHalls     = []string{"h1", "h2"}
	errCallFailed = errors.New("cut")
)

// simulation has an operator who closes and opens halls, a store that drops its history, and
// three daemons. The first one reads from the store, the second from the first, the third from
// both. Queries fail; daemons stall and restart.
type simulation struct {
	draw    *rapid.T
	now     time.Time
	version uint64
	dropped uint64
	rows    map[string]store.Row
	changes []store.Row
	// changedAt is when each hall was last closed or opened.
	changedAt map[string]time.Time
	daemons   []*daemon
	addrs     []relay.Member
}

// daemon is the state of one daemon.
type daemon struct {
	cache         *relay.Cache
	reader        *relay.Reader
	decider       *placement.Decider
	stallDetector *placement.StallDetector
	since         store.Position
	ready         bool
	lastFailure   time.Time // when a query last failed
	stalledUntil  time.Time // end of its current stall
}

func newSimulation(t *rapid.T) *simulation {
	sim := &simulation{draw: t, now: time.Unix(1000, 0), version: 1, rows: map[string]store.Row{}, changedAt: map[string]time.Time{}}
	sim.addrs = []relay.Member{{Name: "0", Addr: "0"}, {Name: "1", Addr: "1"}}
	for i := range 3 {
		sim.daemons = append(sim.daemons, sim.start(i))
	}
	return sim
}

func (sim *simulation) clock() time.Time { return sim.now }

// start returns a newly started daemon with an empty cache.
func (sim *simulation) start(i int) *daemon {
	d := &daemon{
		cache:         relay.NewCache(table, maxAge, sim.clock).EnableDiffs(),
		decider:       placement.NewDecider(nil, placement.NoRamp{}, placement.NoThrottle{}, sim.clock),
		stallDetector: placement.NewStallDetector(sim.clock, func(time.Duration) {}),
	}
	d.reader = relay.NewReader(relay.ReaderOptions{
		Direct:           sim,
		Peers:            peers{sim},
		Upstreams:        func() []relay.Member { return sim.addrs[:min(i, 2)] },
		IsRelay:          func() bool { return false },
		MaxAge:           func(string) time.Duration { return maxAge },
		ReconnectTimeout: func() time.Duration { return 4 * time.Second },
		Now:              sim.clock,
		Log:              &log.Logger{Level: log.PanicLevel},
	})
	return d
}

// advance advances the clock. The operator may close or open a hall meanwhile.
func (sim *simulation) advance() {
	sim.now = sim.now.Add(time.Duration(rapid.IntRange(0, int(maxStep.Milliseconds())).Draw(sim.draw, "ms")) * time.Millisecond)
	if rapid.IntRange(0, 119).Draw(sim.draw, "write") > 0 {
		return
	}
	key := rapid.SampledFrom(testHalls).Draw(sim.draw, "hall")
	sim.version++
	row := store.Row{Key: key, At: store.At(0, sim.version), Value: []byte("{}")}
	if _, closed := sim.rows[key]; closed {
		row.Deleted = true
		delete(sim.rows, key)
	} else {
		sim.rows[key] = row
	}
	sim.changedAt[key] = sim.now
	sim.changes = append(sim.changes, row)
}

func (sim *simulation) callFails() bool { return rapid.IntRange(0, 19).Draw(sim.draw, "cut") == 0 }

// Rows simulates a full read of the store.
func (sim *simulation) Rows(context.Context, string) (store.Snapshot, error) {
	sim.advance()
	if sim.callFails() {
		return store.Snapshot{}, errCallFailed
	}
	s := store.Snapshot{At: store.At(0, sim.version)}
	for _, r := range sim.rows {
		s.Rows = append(s.Rows, r)
	}
	sim.advance()
	return s, nil
}

// Changes simulates an incremental read of the store.
func (sim *simulation) Changes(_ context.Context, table string, since store.Position, _ time.Duration) (store.Snapshot, error) {
	sim.advance()
	if sim.callFails() {
		return store.Snapshot{}, errCallFailed
	}
	if since.Version() < sim.dropped {
		return store.Snapshot{}, &store.HistoryLostError{Table: table}
	}
	s := store.Snapshot{At: store.At(0, sim.version)}
	last := map[string]store.Row{}
	for _, r := range sim.changes {
		if since.Before(r.At) {
			last[r.Key] = r
		}
	}
	for _, r := range last {
		s.Rows = append(s.Rows, r)
	}
	slices.SortFunc(s.Rows, func(a, b store.Row) int { return a.At.Compare(b.At) })
	sim.advance()
	return s, nil
}

// peers lets daemons query each other.
type peers struct{ *simulation }

// Changes queries another daemon, which doesn't answer while it is stalled.
func (p peers) Changes(ctx context.Context, addr, _ string, since store.Position, _ time.Duration) (store.Snapshot, error) {
	sent := p.now
	p.advance()
	d := p.daemons[int(addr[0]-'0')]
	if p.callFails() || p.now.Before(d.stalledUntil) {
		return store.Snapshot{}, errCallFailed
	}
	arrived := p.now
	s, known := d.cache.Rows()
	if !known {
		return store.Snapshot{}, &relay.EmptyError{}
	}
	if since.IsSet() {
		var err error
		if s, err = d.cache.Changes(ctx, since, 0); err != nil {
			return store.Snapshot{}, err
		}
	}
	s.Evidence = sent.Add(s.Evidence.Sub(arrived))
	p.advance()
	return s, nil
}

// query makes a daemon query once, as a follower does.
func (sim *simulation) query(d *daemon) {
	finish := d.stallDetector.StartQuery()
	sent := sim.now
	full := !d.since.IsSet()
	var s store.Snapshot
	var err error
	if full {
		s, err = d.reader.Rows(context.Background(), table)
	} else {
		s, err = d.reader.Changes(context.Background(), table, d.since, time.Second)
	}
	var lost *store.HistoryLostError
	if errors.As(err, &lost) {
		d.since = store.Position{}
		return
	}
	if err != nil {
		d.lastFailure = sim.now
		finish()
		return
	}
	u := store.Update{Rows: s.Rows, Full: full, Gap: s.Gap, Evidence: sent, At: s.At}
	if !s.Evidence.IsZero() {
		u.Evidence = s.Evidence
	}
	d.cache.Apply(u)
	var changes []placement.Change
	for _, r := range u.Rows {
		changes = append(changes, placement.Change{Hall: r.Key, Closed: !r.Deleted, Version: r.At.Version()})
	}
	d.decider.Apply(placement.Update{Changes: changes, Full: full, Version: u.At.Version(), Evidence: u.Evidence})
	d.since = store.Later(d.since, s.At)
	d.ready = true
	finish()
}

// step makes something happen to a daemon, or makes it query.
func (sim *simulation) step(i int) {
	d := sim.daemons[i]
	if sim.now.Before(d.stalledUntil) {
		return
	}
	sim.check(d) // a request may arrive before the query, just after a stall
	switch rapid.IntRange(0, 29).Draw(sim.draw, "event") {
	case 0:
		sim.daemons[i] = sim.start(i)
		return
	case 1:
		d.stalledUntil = sim.now.Add(time.Duration(rapid.IntRange(1, int(maxStall.Milliseconds())).Draw(sim.draw, "frozen")) * time.Millisecond)
		return
	}
	sim.query(d)
	sim.check(d)
}

// check makes a ready daemon send a request to each hall that it considers open.
func (sim *simulation) check(d *daemon) {
	if !d.ready || !d.stallDetector.Fresh() {
		return
	}
	facts := d.decider.Facts()
	for _, hall := range testHalls {
		_, closed := sim.rows[hall]
		changedAt := sim.changedAt[hall]
		if !changedAt.IsZero() && changedAt.Before(facts.Evidence()) {
			must.EqOp(sim.draw, !closed, facts.Open(hall), must.Sprint("facts must include all changes before their evidence"))
		}
		excused := sim.now.Sub(d.lastFailure) < maxClosingDelay
		if closed && facts.Open(hall) && !excused {
			must.LessEq(sim.draw, maxClosingDelay, sim.now.Sub(changedAt), must.Sprint(hall, " got a request too long after it was closed"))
		}
	}
}

// TestHalls_Histories checks that no daemon sends to a hall that was closed for longer than
// maxClosingDelay, unless its queries fail, and that its facts are at least as new as their
// evidence.
func TestHalls_Histories(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		sim := newSimulation(t)
		for range rapid.IntRange(5, 100).Draw(t, "rounds") {
			sim.advance()
			if rapid.IntRange(0, 14).Draw(t, "drop") == 0 {
				sim.dropped = sim.version
			}
			for i := range sim.daemons {
				sim.step(i)
			}
		}
	})
}
