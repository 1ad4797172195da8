package relay

import (
	"context"
	"errors"
	"slices"
	"strconv"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"github.com/pointpass/pointpass/store"
)

// world is a store that remembers all its states, and daemons in a row: the first
// asks the store, the second the first, the third both. Calls fail, take long, and
// are answered by daemons that have heard nothing for a while. The store drops its
// history, and comes back from older copies.
type world struct {
	now    time.Time
	era    uint64
	rows   map[string]store.Row
	states []state
	// history are the changes that lead to the present rows, by version.
	history []store.Row
	dropped uint64 // history up to here is gone
	written int
	nodes   []*follower
	draw    *rapid.T
}

// state is what the store held from a moment on until the next, by key.
type state struct {
	at     time.Time
	values map[string]string
}

// follower is one daemon.
type follower struct {
	cache  *Cache
	since  store.Position
	reader *Reader
}

var (
	errCut      = errors.New("cut")
	errNoAnswer = errors.New("no answer")
)

func newHistory(t *rapid.T) *world {
	w := &world{now: time.Unix(1000, 0), rows: map[string]store.Row{}, draw: t}
	w.write()
	names := []Member{{Name: "0", Addr: "0"}, {Name: "1", Addr: "1"}}
	for i := range 3 {
		f := &follower{cache: NewCache("t", testAge, func() time.Time { return w.now }).TellDifferences()}
		f.reader = NewReader(ReaderOptions{
			Direct:    w,
			Peers:     peersOf{w},
			Upstreams: func() []Member { return names[:min(i, 2)] },
			Relays:    func() bool { return i < 2 },
			MostAge:   testAges,
			InTouch:   func() time.Duration { return testInTouch },
			Now:       func() time.Time { return w.now },
			Log:       quiet,
		})
		w.nodes = append(w.nodes, f)
	}
	return w
}

func (w *world) version() uint64 { return uint64(len(w.history)) }

func (w *world) position() store.Position { return store.At(w.era, w.version()) }

func (w *world) write() {
	key := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(w.draw, "key")
	w.written++
	_, listed := w.rows[key]
	r := store.Row{Key: key, Value: []byte(strconv.Itoa(w.written)), At: store.At(w.era, w.version()+1)}
	r.Deleted = listed && rapid.Bool().Draw(w.draw, "delete")
	w.history = append(w.history, r)
	w.rebuild()
}

// restore has the store come back from a copy that lacks its last changes.
func (w *world) restore() {
	w.era++
	lost := rapid.IntRange(0, 8).Draw(w.draw, "lost")
	w.history = slices.Clone(w.history[:max(1, len(w.history)-lost)])
	w.dropped = min(w.dropped, w.version())
	w.rebuild()
}

// rebuild makes the rows anew from their history.
func (w *world) rebuild() {
	clear(w.rows)
	values := map[string]string{}
	for i, r := range w.history {
		r.At = store.At(w.era, uint64(i+1))
		w.history[i] = r
		if r.Deleted {
			delete(w.rows, r.Key)
			delete(values, r.Key)
			continue
		}
		w.rows[r.Key] = r
		values[r.Key] = string(r.Value)
	}
	w.states = append(w.states, state{at: w.now, values: values})
}

// pass lets time go by, for instance while a call is on its way.
func (w *world) pass() {
	w.now = w.now.Add(time.Duration(rapid.IntRange(0, 700).Draw(w.draw, "ms")) * time.Millisecond)
	switch rapid.IntRange(0, 39).Draw(w.draw, "write") {
	case 0:
		w.restore()
	case 1, 2, 3, 4, 5, 6, 7, 8, 9, 10:
		w.write()
	}
}

func (w *world) cut() bool { return rapid.IntRange(0, 9).Draw(w.draw, "cut") == 0 }

// Rows is the store's answer.
func (w *world) Rows(context.Context, string) (store.Snapshot, error) {
	w.pass()
	if w.cut() {
		return store.Snapshot{}, errCut
	}
	s := store.Snapshot{At: w.position()}
	for _, r := range w.rows {
		s.Rows = append(s.Rows, r)
	}
	w.pass()
	return s, nil
}

// Changes is the store's answer, which goes by the version alone.
func (w *world) Changes(_ context.Context, _ string, since store.Position, _ time.Duration) (store.Snapshot, error) {
	w.pass()
	if w.cut() {
		return store.Snapshot{}, errCut
	}
	if since.Version() < w.dropped || since.Version() > w.version() {
		return store.Snapshot{}, &store.HistoryLostError{Table: "t", Era: w.era}
	}
	s := store.Snapshot{At: w.position(), Rows: slices.Clone(w.history[since.Version():])}
	w.pass()
	return s, nil
}

// peersOf has daemons ask each other.
type peersOf struct{ *world }

// Changes asks another daemon, as Client does.
func (p peersOf) Changes(ctx context.Context, addr, _ string, since store.Position, _ time.Duration) (store.Snapshot, error) {
	sent := p.now
	p.pass()
	if p.cut() {
		return store.Snapshot{}, errNoAnswer
	}
	arrived := p.now
	cache := p.nodes[int(addr[0]-'0')].cache
	p.pass() // the call is held
	var s store.Snapshot
	var err error
	if !since.Known() {
		var known bool
		if s, known = cache.Rows(); !known {
			err = &EmptyError{}
		}
	} else {
		s, err = cache.Changes(ctx, since, 0)
	}
	if err != nil {
		return store.Snapshot{}, err
	}
	s.Evidence = sent.Add(s.Evidence.Sub(arrived))
	p.pass()
	return s, nil
}

// step has one daemon ask once, and checks what it knows afterwards.
func (w *world) step(f *follower) {
	sent := w.now
	var s store.Snapshot
	var err error
	full := !f.since.Known()
	if full {
		s, err = f.reader.Rows(context.Background(), "t")
	} else {
		s, err = f.reader.Changes(context.Background(), "t", f.since, time.Second)
	}
	var lost *store.HistoryLostError
	if errors.As(err, &lost) {
		f.since = store.Position{}
		return
	}
	if err != nil {
		return
	}
	evidence := s.Evidence
	if evidence.IsZero() {
		evidence = sent
	}
	f.cache.Apply(store.Update{Rows: s.Rows, Full: full, Gap: s.Gap, Evidence: evidence, At: s.At})
	f.since = store.Later(f.since, s.At)
	if full {
		f.since = s.At
	}
	w.check(f)
}

// check compares what a daemon knows with what the store held since its evidence says
// that it was asked. Each row must be one that it held since then.
func (w *world) check(f *follower) {
	known, _ := f.cache.Rows()
	must.False(w.draw, known.Evidence.After(w.now))
	values := map[string]string{}
	for _, r := range known.Rows {
		values[r.Key] = string(r.Value)
	}
	for _, key := range []string{"a", "b", "c"} {
		held := w.heldSince(known.Evidence, key)
		must.SliceContains(w.draw, held, values[key], must.Sprint(key, " is not what the store held since"))
	}
}

// heldSince returns the values that the store held of a key from a moment on, "" if none.
func (w *world) heldSince(from time.Time, key string) (values []string) {
	for i, s := range w.states {
		if i+1 == len(w.states) || !w.states[i+1].at.Before(from) {
			values = append(values, s.values[key])
		}
	}
	return values
}

// TestRelay_Histories checks that no daemon ever holds a row to be current that the
// store had replaced when it was asked, and that no daemon goes back, also where the
// store does.
func TestRelay_Histories(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newHistory(t)
		newest := make([]store.Position, len(w.nodes))
		for range rapid.IntRange(5, 60).Draw(t, "steps") {
			w.pass()
			if rapid.IntRange(0, 14).Draw(t, "drop") == 0 {
				w.dropped = w.version()
			}
			i := rapid.IntRange(0, len(w.nodes)-1).Draw(t, "node")
			w.step(w.nodes[i])
			known, _ := w.nodes[i].cache.Rows()
			must.False(t, known.At.Before(newest[i]))
			newest[i] = known.At
		}
	})
}
