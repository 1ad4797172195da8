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

// table is the one whose rows close halls, each by the hall's name.
const table = "halls"

// Times of the histories.
const (
	// bound is how long after its closing a hall may get requests.
	bound = 5 * time.Second
	// mostAge is how old the evidence of a daemon that relays may be.
	mostAge = 1400 * time.Millisecond
	// mostPass is the longest that one step of a question takes, so that three daemons
	// ask one after the other well within the bound.
	mostPass   = 100 * time.Millisecond
	mostFrozen = 9 * time.Second
)

var (
	hallsPlayed = []string{"h1", "h2"}
	errCut      = errors.New("cut")
)

// world is an operator who closes and opens halls, a store that forgets its history, and
// daemons that hear of it: the first from the store, the second from the first, the third
// from both. Questions fail, daemons freeze, and start anew.
type world struct {
	draw    *rapid.T
	now     time.Time
	version uint64
	dropped uint64
	rows    map[string]store.Row
	changes []store.Row
	// since is when each hall was closed or opened last.
	since   map[string]time.Time
	daemons []*daemon
	addrs   []relay.Member
}

// daemon is what a daemon knows.
type daemon struct {
	cache      *relay.Cache
	reader     *relay.Reader
	decider    *placement.Decider
	standstill *placement.Standstill
	since      store.Position
	ready      bool
	failed     time.Time // when a question last failed
	frozen     time.Time // until when it stands still
}

func newWorld(t *rapid.T) *world {
	w := &world{draw: t, now: time.Unix(1000, 0), version: 1, rows: map[string]store.Row{}, since: map[string]time.Time{}}
	w.addrs = []relay.Member{{Name: "0", Addr: "0"}, {Name: "1", Addr: "1"}}
	for i := range 3 {
		w.daemons = append(w.daemons, w.start(i))
	}
	return w
}

func (w *world) clock() time.Time { return w.now }

// start returns a daemon that knows nothing.
func (w *world) start(i int) *daemon {
	d := &daemon{
		cache:      relay.NewCache(table, mostAge, w.clock).TellDifferences(),
		decider:    placement.NewDecider(nil, placement.NoRamp{}, placement.NoThrottle{}, w.clock),
		standstill: placement.NewStandstill(w.clock, func(time.Duration) {}),
	}
	d.reader = relay.NewReader(relay.ReaderOptions{
		Direct:    w,
		Peers:     peers{w},
		Upstreams: func() []relay.Member { return w.addrs[:min(i, 2)] },
		Relays:    func() bool { return false },
		MostAge:   func(string) time.Duration { return mostAge },
		InTouch:   func() time.Duration { return 4 * time.Second },
		Now:       w.clock,
		Log:       &log.Logger{Level: log.PanicLevel},
	})
	return d
}

// pass lets time go by, in which the operator may close or open a hall.
func (w *world) pass() {
	w.now = w.now.Add(time.Duration(rapid.IntRange(0, int(mostPass.Milliseconds())).Draw(w.draw, "ms")) * time.Millisecond)
	if rapid.IntRange(0, 119).Draw(w.draw, "write") > 0 {
		return
	}
	key := rapid.SampledFrom(hallsPlayed).Draw(w.draw, "hall")
	w.version++
	row := store.Row{Key: key, At: store.At(0, w.version), Value: []byte("{}")}
	if _, closed := w.rows[key]; closed {
		row.Deleted = true
		delete(w.rows, key)
	} else {
		w.rows[key] = row
	}
	w.since[key] = w.now
	w.changes = append(w.changes, row)
}

func (w *world) cut() bool { return rapid.IntRange(0, 19).Draw(w.draw, "cut") == 0 }

// Rows is the store's answer.
func (w *world) Rows(context.Context, string) (store.Snapshot, error) {
	w.pass()
	if w.cut() {
		return store.Snapshot{}, errCut
	}
	s := store.Snapshot{At: store.At(0, w.version)}
	for _, r := range w.rows {
		s.Rows = append(s.Rows, r)
	}
	w.pass()
	return s, nil
}

// Changes is the store's answer.
func (w *world) Changes(_ context.Context, table string, since store.Position, _ time.Duration) (store.Snapshot, error) {
	w.pass()
	if w.cut() {
		return store.Snapshot{}, errCut
	}
	if since.Version() < w.dropped {
		return store.Snapshot{}, &store.HistoryLostError{Table: table}
	}
	s := store.Snapshot{At: store.At(0, w.version)}
	last := map[string]store.Row{}
	for _, r := range w.changes {
		if since.Before(r.At) {
			last[r.Key] = r
		}
	}
	for _, r := range last {
		s.Rows = append(s.Rows, r)
	}
	slices.SortFunc(s.Rows, func(a, b store.Row) int { return a.At.Compare(b.At) })
	w.pass()
	return s, nil
}

// peers has daemons ask each other.
type peers struct{ *world }

// Changes asks another daemon, which doesn't answer while it stands still.
func (p peers) Changes(ctx context.Context, addr, _ string, since store.Position, _ time.Duration) (store.Snapshot, error) {
	sent := p.now
	p.pass()
	d := p.daemons[int(addr[0]-'0')]
	if p.cut() || p.now.Before(d.frozen) {
		return store.Snapshot{}, errCut
	}
	arrived := p.now
	s, known := d.cache.Rows()
	if !known {
		return store.Snapshot{}, &relay.EmptyError{}
	}
	if since.Known() {
		var err error
		if s, err = d.cache.Changes(ctx, since, 0); err != nil {
			return store.Snapshot{}, err
		}
	}
	s.Evidence = sent.Add(s.Evidence.Sub(arrived))
	p.pass()
	return s, nil
}

// ask has a daemon ask once, as a follower does.
func (w *world) ask(d *daemon) {
	ended := d.standstill.Asking()
	sent := w.now
	full := !d.since.Known()
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
		d.failed = w.now
		ended()
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
	ended()
}

// step has something happen to a daemon, and it ask.
func (w *world) step(i int) {
	d := w.daemons[i]
	if w.now.Before(d.frozen) {
		return
	}
	w.check(d) // with a request in hand, perhaps just awake
	switch rapid.IntRange(0, 29).Draw(w.draw, "event") {
	case 0:
		w.daemons[i] = w.start(i)
		return
	case 1:
		d.frozen = w.now.Add(time.Duration(rapid.IntRange(1, int(mostFrozen.Milliseconds())).Draw(w.draw, "frozen")) * time.Millisecond)
		return
	}
	w.ask(d)
	w.check(d)
}

// check has a daemon that takes requests send one to each hall that it holds to be open.
func (w *world) check(d *daemon) {
	if !d.ready || !d.standstill.Settled() {
		return
	}
	facts := d.decider.Facts()
	for _, hall := range hallsPlayed {
		_, closed := w.rows[hall]
		since := w.since[hall]
		if !since.IsZero() && since.Before(facts.Evidence()) {
			must.EqOp(w.draw, !closed, facts.Open(hall), must.Sprint("what was so when the store was asked"))
		}
		excused := w.now.Sub(d.failed) < bound
		if closed && facts.Open(hall) && !excused {
			must.LessEq(w.draw, bound, w.now.Sub(since), must.Sprint(hall, " gets a request"))
		}
	}
}

// TestHalls_Histories checks that no daemon sends to a hall that was closed for longer than
// the bound, unless its questions fail, and that what it knows is at least as new as its
// evidence.
func TestHalls_Histories(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(t)
		for range rapid.IntRange(5, 100).Draw(t, "rounds") {
			w.pass()
			if rapid.IntRange(0, 14).Draw(t, "drop") == 0 {
				w.dropped = w.version
			}
			for i := range w.daemons {
				w.step(i)
			}
		}
	})
}
