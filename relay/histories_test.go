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

// simulation is a store that records all its states, and three daemons: the first reads
// from the store, the second from the first, the third from both. Calls fail, are delayed,
// and are answered by daemons with old data. The store drops its history, and is restored
// from older copies.
type simulation struct {
	now    time.Time
	era    uint64
	rows   map[string]store.Row
	states []state
	// history holds the changes that lead to the current rows, by version.
	history []store.Row
	dropped uint64 // history up to this version is gone
	writes  int
	daemons []*follower
	rt      *rapid.T
}

// state is what the store held from a time until the next state, by key.
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
	errConnection = errors.New("cut")
	errNoAnswer   = errors.New("no answer")
)

func newSimulation(t *rapid.T) *simulation {
	w := &simulation{now: time.Unix(1000, 0), rows: map[string]store.Row{}, rt: t}
	w.write()
	relays := []Member{{Name: "0", Addr: "0"}, {Name: "1", Addr: "1"}}
	for i := range 3 {
		f := &follower{cache: NewCache("t", testMaxAge, func() time.Time { return w.now }).EnableDiffs()}
		f.reader = NewReader(ReaderOptions{
			Direct:           w,
			Peers:            historyPeers{w},
			Upstreams:        func() []Member { return relays[:min(i, 2)] },
			IsRelay:          func() bool { return i < 2 },
			MaxAge:           testMaxAgeOf,
			ReconnectTimeout: func() time.Duration { return testReconnectTimeout },
			Now:              func() time.Time { return w.now },
			Log:              quiet,
		})
		w.daemons = append(w.daemons, f)
	}
	return w
}

func (w *simulation) version() uint64 { return uint64(len(w.history)) }

func (w *simulation) position() store.Position { return store.At(w.era, w.version()) }

func (w *simulation) write() {
	key := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(w.rt, "key")
	w.writes++
	_, listed := w.rows[key]
	r := store.Row{Key: key, Value: []byte(strconv.Itoa(w.writes)), At: store.At(w.era, w.version()+1)}
	r.Deleted = listed && rapid.Bool().Draw(w.rt, "delete")
	w.history = append(w.history, r)
	w.rebuild()
}

// restore restores the store from a copy that lacks its last changes.
func (w *simulation) restore() {
	w.era++
	lost := rapid.IntRange(0, 8).Draw(w.rt, "lost")
	w.history = slices.Clone(w.history[:max(1, len(w.history)-lost)])
	w.dropped = min(w.dropped, w.version())
	w.rebuild()
}

// rebuild rebuilds the rows from the history.
func (w *simulation) rebuild() {
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

// advance advances the clock, for instance while a call is in flight.
func (w *simulation) advance() {
	w.now = w.now.Add(time.Duration(rapid.IntRange(0, 700).Draw(w.rt, "ms")) * time.Millisecond)
	switch rapid.IntRange(0, 39).Draw(w.rt, "write") {
	case 0:
		w.restore()
	case 1, 2, 3, 4, 5, 6, 7, 8, 9, 10:
		w.write()
	}
}

func (w *simulation) callFails() bool { return rapid.IntRange(0, 9).Draw(w.rt, "cut") == 0 }

// Rows simulates the store's answer.
func (w *simulation) Rows(context.Context, string) (store.Snapshot, error) {
	w.advance()
	if w.callFails() {
		return store.Snapshot{}, errConnection
	}
	s := store.Snapshot{At: w.position()}
	for _, r := range w.rows {
		s.Rows = append(s.Rows, r)
	}
	w.advance()
	return s, nil
}

// Changes simulates the store's answer, which depends on the version alone.
func (w *simulation) Changes(_ context.Context, _ string, since store.Position, _ time.Duration) (store.Snapshot, error) {
	w.advance()
	if w.callFails() {
		return store.Snapshot{}, errConnection
	}
	if since.Version() < w.dropped || since.Version() > w.version() {
		return store.Snapshot{}, &store.HistoryLostError{Table: "t", Era: w.era}
	}
	s := store.Snapshot{At: w.position(), Rows: slices.Clone(w.history[since.Version():])}
	w.advance()
	return s, nil
}

// historyPeers connects daemons to each other.
type historyPeers struct{ *simulation }

// Changes queries another daemon, as Client does.
func (p historyPeers) Changes(ctx context.Context, addr, _ string, since store.Position, _ time.Duration) (store.Snapshot, error) {
	sent := p.now
	p.advance()
	if p.callFails() {
		return store.Snapshot{}, errNoAnswer
	}
	arrived := p.now
	cache := p.daemons[int(addr[0]-'0')].cache
	p.advance() // the peer holds the call
	var s store.Snapshot
	var err error
	if !since.IsSet() {
		var ok bool
		if s, ok = cache.Rows(); !ok {
			err = &EmptyError{}
		}
	} else {
		s, err = cache.Changes(ctx, since, 0)
	}
	if err != nil {
		return store.Snapshot{}, err
	}
	s.Evidence = sent.Add(s.Evidence.Sub(arrived))
	p.advance()
	return s, nil
}

// step makes one call of a daemon, and checks its data afterwards.
func (w *simulation) step(f *follower) {
	sent := w.now
	var s store.Snapshot
	var err error
	full := !f.since.IsSet()
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

// check checks that the store held each of a daemon's rows at some time since the daemon's
// evidence.
func (w *simulation) check(f *follower) {
	snapshot, _ := f.cache.Rows()
	must.False(w.rt, snapshot.Evidence.After(w.now))
	values := map[string]string{}
	for _, r := range snapshot.Rows {
		values[r.Key] = string(r.Value)
	}
	for _, key := range []string{"a", "b", "c"} {
		held := w.heldSince(snapshot.Evidence, key)
		must.SliceContains(w.rt, held, values[key], must.Sprint(key, " has a value that the store did not hold since"))
	}
}

// heldSince returns the values that the store held of a key since a time, "" for none.
func (w *simulation) heldSince(from time.Time, key string) (values []string) {
	for i, s := range w.states {
		if i+1 == len(w.states) || !w.states[i+1].at.Before(from) {
			values = append(values, s.values[key])
		}
	}
	return values
}

// TestRelay_Histories checks that no daemon presents a row as current that the store had
// replaced at the time of its evidence, and that no daemon's position goes back, even
// across restores.
func TestRelay_Histories(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newSimulation(t)
		newest := make([]store.Position, len(w.daemons))
		for range rapid.IntRange(5, 60).Draw(t, "steps") {
			w.advance()
			if rapid.IntRange(0, 14).Draw(t, "drop") == 0 {
				w.dropped = w.version()
			}
			i := rapid.IntRange(0, len(w.daemons)-1).Draw(t, "node")
			w.step(w.daemons[i])
			snapshot, _ := w.daemons[i].cache.Rows()
			must.False(t, snapshot.At.Before(newest[i]))
			newest[i] = snapshot.At
		}
	})
}
