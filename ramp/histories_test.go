package ramp

import (
	"fmt"
	"maps"
	"os"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/pointpass/pointpass/catalog"
	"github.com/pointpass/pointpass/common/histories"
	"github.com/pointpass/pointpass/workers"
)

func TestMain(m *testing.M) { os.Exit(histories.Run(m)) }

var (
	noon   = time.Unix(1_000_000, 0)
	usage  = func(string) catalog.Cold { return catalog.Cold{For: 3 * time.Second, PerSecond: 18} }
	limits = Limits{Overrun: 1.5, Slack: 5}
	// narrow has one daemon send to a worker, two requests in each window, so that two
	// daemons that don't agree show.
	narrow = Limits{Slack: 2.2}
	open   = func(string) bool { return true }
)

const (
	// bound is what daemons use of the 32 that limits allow of usage, and narrowBound
	// what they use of the narrow ones.
	bound       = 30
	narrowBound = 2
	tick        = 250 * time.Millisecond
)

// daemon is one process of the world, greedy: it sends whatever its ramp has room for.
type daemon struct {
	name   string
	roster *Roster
	book   *Book
	ramp   *Ramp
	// cutUntil is until when no views come, frozenUntil until when it stands still.
	cutUntil, frozenUntil time.Time
	// lag is how old evidence is when it is here, next when the next view comes.
	lag  time.Duration
	next time.Time
}

// world is a table of the daemons' rows, daemons and one cold worker. It keeps the table
// as it was at any time.
type world struct {
	limits  Limits
	now     time.Time
	version uint64
	rows    map[string]uint64
	past    []snapshot
	// again is when daemons whose row is gone announce themselves once more.
	again   map[string]time.Time
	daemons map[string]*daemon
	// deletes are rows that go late.
	deletes []deletion
	sent    []time.Time
}

type snapshot struct {
	at      time.Time
	version uint64
	rows    map[string]uint64
}

type deletion struct {
	at   time.Time
	name string
}

func newWorld(limits Limits) *world {
	w := &world{limits: limits, now: noon, rows: map[string]uint64{}, daemons: map[string]*daemon{}, again: map[string]time.Time{}}
	w.write(nil)
	return w
}

// write changes the table.
func (w *world) write(change func()) {
	w.version++
	if change != nil {
		change()
	}
	w.past = append(w.past, snapshot{at: w.now, version: w.version, rows: maps.Clone(w.rows)})
}

// asOf returns the table as it was at a time.
func (w *world) asOf(at time.Time) snapshot {
	i := len(w.past) - 1
	for i > 0 && w.past[i].at.After(at) {
		i--
	}
	return w.past[i]
}

// start starts a daemon, or starts it again. It announces itself unless its row is there.
func (w *world) start(name string, lag time.Duration) {
	d := &daemon{name: name, roster: NewRoster(name), book: NewBook(usage), lag: lag, next: w.now}
	d.ramp = New(Options{Roster: d.roster, Book: d.book, Usage: usage, Limits: func() Limits { return w.limits }})
	d.book.Entries([]workers.Worker{{ID: "w", ColdLeft: time.Hour}}, nil, true, open, w.now)
	w.daemons[name] = d
	if w.rows[name] == 0 {
		w.write(func() { w.rows[name] = w.version })
	}
}

// step lets a time pass, as views come and requests are sent.
func (w *world) step(t *rapid.T) {
	w.now = w.now.Add(tick)
	for _, d := range w.deletes {
		if !d.at.After(w.now) && w.rows[d.name] != 0 {
			w.write(func() { delete(w.rows, d.name) })
		}
	}
	w.deletes = slices.DeleteFunc(w.deletes, func(d deletion) bool { return !d.at.After(w.now) })
	for _, name := range slices.Sorted(maps.Keys(w.daemons)) {
		d := w.daemons[name]
		if at, is := w.again[name]; is && !w.now.Before(at) && w.rows[name] == 0 {
			w.write(func() { w.rows[name] = w.version })
			delete(w.again, name)
		}
		if w.now.Before(d.frozenUntil) {
			continue
		}
		w.inform(d)
		w.send(d)
	}
}

// inform gives a daemon a view that is as old as its lag.
func (w *world) inform(d *daemon) {
	if w.now.Before(d.cutUntil) || w.now.Before(d.next) {
		return
	}
	d.next = w.now.Add(d.lag)
	evidence := w.now.Add(-d.lag)
	s := w.asOf(evidence)
	d.roster.Learn(View{Rows: s.rows, Evidence: evidence}, w.now)
}

// send sends what the daemon's ramp has room for.
func (w *world) send(d *daemon) {
	for d.ramp.Take(workers.Worker{ID: "w"}, w.now) {
		w.sent = append(w.sent, w.now)
	}
}

// most returns the most requests sent within any window.
func (w *world) most(window time.Duration) int {
	most := 0
	for from, at := range w.sent {
		to, _ := slices.BinarySearchFunc(w.sent, at.Add(window), time.Time.Compare)
		most = max(most, to-from)
	}
	return most
}

// trouble brings one thing about.
func (w *world) trouble(t *rapid.T, sizes int) {
	name := fmt.Sprint("d", rapid.IntRange(0, sizes-1).Draw(t, "daemon"))
	for_ := time.Duration(rapid.IntRange(1, 48).Draw(t, "ticks")) * tick
	lag := time.Duration(rapid.IntRange(1, 10).Draw(t, "lag")) * tick
	d := w.daemons[name]
	kind := rapid.SampledFrom([]string{"start", "freeze", "cut", "lag", "leave", "late", "again", "many"}).Draw(t, "kind")
	switch {
	case kind == "many":
		for i := range sizes {
			w.start(fmt.Sprint("d", i), lag)
		}
	case d == nil || kind == "start":
		w.start(name, lag)
	case kind == "freeze":
		d.frozenUntil = w.now.Add(for_)
	case kind == "cut":
		d.cutUntil = w.now.Add(for_)
	case kind == "lag":
		d.lag = lag
	case kind == "leave": // its row goes, the process works on for a while
		w.deletes = append(w.deletes, deletion{at: w.now, name: name})
	case kind == "again": // its row goes and comes back
		w.deletes = append(w.deletes, deletion{at: w.now, name: name})
		w.again[name] = w.now.Add(for_)
	case kind == "late": // the row of an earlier life goes though the daemon is there
		w.start(name, lag)
		w.deletes = append(w.deletes, deletion{at: w.now.Add(for_), name: name})
	}
}

// TestRamp_Histories: whatever becomes of daemons, and whatever each knows of the others,
// a cold worker never gets more within the bound's time than is allowed. Requests may
// leave mostSendDelay after they were taken, so that all taken in that time longer count.
func TestRamp_Histories(t *testing.T) {
	t.Run("wide", func(t *testing.T) { playHistories(t, limits, bound, []int{2, 7, 17, 32}) })
	t.Run("narrow", func(t *testing.T) { playHistories(t, narrow, narrowBound, []int{2, 3, 5}) })
}

func playHistories(t *testing.T, limits Limits, bound int, sizes []int) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(limits)
		size := rapid.SampledFrom(sizes).Draw(t, "size")
		begun := rapid.IntRange(1, size).Draw(t, "begun")
		for i := range begun {
			w.start(fmt.Sprint("d", i), time.Duration(1+i%4)*tick)
		}
		for range rapid.IntRange(4, 24).Draw(t, "troubles") {
			w.trouble(t, size)
			for range rapid.IntRange(1, 30).Draw(t, "steps") {
				w.step(t)
			}
		}
		if most := w.most(countedWithin + mostSendDelay); most > bound {
			t.Fatalf("%d requests within %v", most, countedWithin+mostSendDelay)
		}
	})
}

// TestRamp_ManyDaemons: the bound holds at any number of daemons, also as all start at
// once, and what cold workers bear is used.
func TestRamp_ManyDaemons(t *testing.T) {
	for _, size := range []int{1, 2, 7, 32, 90, 300} {
		t.Run(fmt.Sprint(size), func(t *testing.T) {
			w := newWorld(limits)
			for i := range size {
				w.start(fmt.Sprint("d", i), time.Duration(1+i%6)*tick)
			}
			until := noon.Add(leastListed + 4*time.Second)
			for w.now.Before(until) {
				w.step(nil)
			}
			before := len(w.sent)
			for range 40 { // ten seconds
				w.step(nil)
			}
			most, rate := w.most(countedWithin+mostSendDelay), float64(len(w.sent)-before)/10
			t.Logf("at most %d within a second and the send's delay, %.1f a second", most, rate)
			if most > bound || rate < 0.8*18 {
				t.Fatal("too much or too little")
			}
		})
	}
}
