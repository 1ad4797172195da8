package relay

import (
	"context"
	"errors"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"github.com/pointpass/pointpass/store"
)

// world is a store that remembers all its versions, and daemons in a row: the first
// asks the store, the second the first, the third both. Calls fail, take long, and
// are answered by daemons that have heard nothing for a while.
type world struct {
	now     time.Time
	version uint64
	rows    map[string]store.Row
	// history tells for each key the versions at which it changed, and when.
	history map[string][]change
	dropped uint64 // history up to here is gone
	nodes   []*follower
	draw    *rapid.T
}

type change struct {
	at      time.Time
	version uint64
	deleted bool
}

// follower is one daemon.
type follower struct {
	cache  *Cache
	since  uint64
	reader *Reader
}

var (
	errCut      = errors.New("cut")
	errNoAnswer = errors.New("no answer")
)

func newHistory(t *rapid.T) *world {
	w := &world{now: time.Unix(1000, 0), version: 1, rows: map[string]store.Row{}, history: map[string][]change{}, draw: t}
	names := []Member{{Name: "0", Addr: "0"}, {Name: "1", Addr: "1"}}
	for i := range 3 {
		f := &follower{cache: NewCache("t", testAge, func() time.Time { return w.now }).TellDifferences()}
		f.reader = NewReader(ReaderOptions{
			Direct:    w,
			Peers:     peersOf{w},
			Upstreams: func() []Member { return names[:min(i, 2)] },
			MostAge:   testAges,
			InTouch:   func() time.Duration { return testInTouch },
			Now:       func() time.Time { return w.now },
			Log:       quiet,
		})
		w.nodes = append(w.nodes, f)
	}
	return w
}

func (w *world) write() {
	key := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(w.draw, "key")
	w.version++
	if _, listed := w.rows[key]; listed && rapid.Bool().Draw(w.draw, "delete") {
		delete(w.rows, key)
		w.history[key] = append(w.history[key], change{at: w.now, version: w.version, deleted: true})
		return
	}
	w.rows[key] = row(key, w.version)
	w.history[key] = append(w.history[key], change{at: w.now, version: w.version})
}

// pass lets time go by, for instance while a call is on its way.
func (w *world) pass() {
	w.now = w.now.Add(time.Duration(rapid.IntRange(0, 700).Draw(w.draw, "ms")) * time.Millisecond)
	if rapid.IntRange(0, 3).Draw(w.draw, "write") == 0 {
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
	s := store.Snapshot{Version: w.version}
	for _, r := range w.rows {
		s.Rows = append(s.Rows, r)
	}
	w.pass()
	return s, nil
}

// Changes is the store's answer.
func (w *world) Changes(_ context.Context, _ string, since uint64, _ time.Duration) (store.Snapshot, error) {
	w.pass()
	if w.cut() {
		return store.Snapshot{}, errCut
	}
	if since < w.dropped {
		return store.Snapshot{}, &store.HistoryLostError{Table: "t"}
	}
	s := store.Snapshot{Version: w.version}
	for v := since + 1; v <= w.version; v++ {
		for key, list := range w.history {
			for _, c := range list {
				if c.version == v {
					s.Rows = append(s.Rows, store.Row{Key: key, Version: v, Deleted: c.deleted})
				}
			}
		}
	}
	w.pass()
	return s, nil
}

// peersOf has daemons ask each other.
type peersOf struct{ *world }

// Changes asks another daemon, as Client does.
func (p peersOf) Changes(ctx context.Context, addr, _ string, since uint64, _ time.Duration) (store.Snapshot, error) {
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
	if since == 0 {
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
	full := f.since == 0
	if full {
		s, err = f.reader.Rows(context.Background(), "t")
	} else {
		s, err = f.reader.Changes(context.Background(), "t", f.since, time.Second)
	}
	var lost *store.HistoryLostError
	if errors.As(err, &lost) {
		f.since = 0
		return
	}
	if err != nil {
		return
	}
	evidence := s.Evidence
	if evidence.IsZero() {
		evidence = sent
	}
	f.cache.Apply(store.Update{Rows: s.Rows, Full: full, Gap: s.Gap, Evidence: evidence, Version: s.Version})
	f.since = max(f.since, s.Version)
	if full {
		f.since = s.Version
	}
	w.check(f)
}

// check compares what a daemon knows with what the store held when its evidence says
// that it was asked. Each row must be at least as new.
func (w *world) check(f *follower) {
	known, _ := f.cache.Rows()
	must.False(w.draw, known.Evidence.After(w.now))
	for key, list := range w.history {
		held := uint64(0)
		for _, r := range known.Rows {
			if r.Key == key {
				held = r.Version
			}
		}
		for i, c := range list {
			replaced := held < c.version && !(held == 0 && w.deletedLater(list[i:]))
			must.False(w.draw, replaced && c.at.Before(known.Evidence), must.Sprintf("%s is at %d, the store had %d", key, held, c.version))
		}
	}
}

func (w *world) deletedLater(list []change) bool {
	for _, c := range list {
		if c.deleted {
			return true
		}
	}
	return false
}

// TestRelay_Histories checks that no daemon ever holds a row to be current that the
// store had replaced when it was asked, and that no daemon goes back.
func TestRelay_Histories(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newHistory(t)
		newest := make([]uint64, len(w.nodes))
		for range rapid.IntRange(5, 60).Draw(t, "steps") {
			w.pass()
			if rapid.IntRange(0, 14).Draw(t, "drop") == 0 {
				w.dropped = w.version
			}
			i := rapid.IntRange(0, len(w.nodes)-1).Draw(t, "node")
			w.step(w.nodes[i])
			known, _ := w.nodes[i].cache.Rows()
			must.GreaterEq(t, newest[i], known.Version)
			newest[i] = known.Version
		}
	})
}
