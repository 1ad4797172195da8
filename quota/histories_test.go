package quota

import (
	"fmt"
	"maps"
	"os"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/pointpass/pointpass/common/histories"
)

func TestMain(m *testing.M) { os.Exit(histories.Run(m)) }

var noon = time.Unix(1_000_000, 0)

const tick = 250 * time.Millisecond

// testCase is a bound and the margin of rosters that it needs.
type testCase struct {
	bound  Bound
	margin time.Duration
}

var (
	// wide is that of a cold worker which bears 18 requests a second.
	wide = testCase{Bound{Most: 30, Within: time.Second + MostSendDelay, Rate: 18, Each: 2, Longest: 10 * time.Second}, 2 * time.Second}
	// narrow has one daemon send to a worker, two requests in each window, so that two
	// daemons that don't agree show.
	narrow = testCase{Bound{Most: 2, Within: time.Second + MostSendDelay, Rate: 18, Each: 2, Longest: 10 * time.Second}, 2 * time.Second}
)

// limited is the bound of a worker that names a limit.
func limited(rate float64) testCase {
	const within = 4 * time.Second
	most := int(0.95 * (1.5*rate*within.Seconds() + 5))
	return testCase{Bound{Most: most, Within: within + MostSendDelay, Rate: rate, Each: 1, Longest: time.Minute, Paced: true}, 5 * time.Second}
}

// daemon is one process of the world, greedy: it sends whatever its part has room for.
type daemon struct {
	name   string
	roster *Roster
	ledger *Ledger
	// cutUntil is until when no views come, frozenUntil until when it stands still.
	cutUntil, frozenUntil time.Time
	// lag is how old evidence is when it is here, next when the next view comes.
	lag  time.Duration
	next time.Time
}

// world is a table of the daemons' rows, daemons and one worker. It keeps the table
// as it was at any time.
type world struct {
	testCase
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

func newWorld(c testCase) *world {
	w := &world{testCase: c, now: noon, rows: map[string]uint64{}, daemons: map[string]*daemon{}, again: map[string]time.Time{}}
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
	w.daemons[name] = &daemon{name: name, roster: NewRoster(name, w.margin), ledger: NewLedger(w.bound.Longest), lag: lag, next: w.now}
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

// send sends what the daemon's part has room for.
func (w *world) send(d *daemon) {
	rank, count, active := d.roster.Place("w", w.now)
	if !active {
		return
	}
	p, has := w.bound.Part(rank, count)
	for has {
		next := d.ledger.Next("w", p, w.now)
		if !next.Before(w.now.Add(tick)) {
			return
		}
		d.ledger.Take("w", next)
		w.sent = append(w.sent, next)
	}
}

// most returns the most requests sent within any window.
func (w *world) most(window time.Duration) int {
	slices.SortFunc(w.sent, time.Time.Compare)
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

// TestBound_Histories: whatever becomes of daemons, and whatever each knows of the others,
// a worker never gets more within the bound's time than is allowed. Requests may leave
// MostSendDelay after they were taken, so that all taken in that time longer count.
func TestBound_Histories(t *testing.T) {
	t.Run("wide", func(t *testing.T) { playHistories(t, wide, []int{2, 7, 17, 32}) })
	t.Run("narrow", func(t *testing.T) { playHistories(t, narrow, []int{2, 3, 5}) })
	t.Run("limits", func(t *testing.T) {
		t.Parallel()
		rapid.Check(t, func(t *rapid.T) {
			rate := rapid.SampledFrom([]float64{0, 0.3, 1, 1.4, 5, 20, 200}).Draw(t, "rate")
			playHistory(t, limited(rate), []int{2, 7, 17, 32})
		})
	})
}

func playHistories(t *testing.T, c testCase, sizes []int) {
	t.Parallel()
	rapid.Check(t, func(t *rapid.T) { playHistory(t, c, sizes) })
}

func playHistory(t *rapid.T, c testCase, sizes []int) {
	w := newWorld(c)
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
	if most := w.most(c.bound.Within); most > c.bound.Most {
		t.Fatalf("%d requests within %v, allowed %d", most, c.bound.Within, c.bound.Most)
	}
}

// TestBound_ManyDaemons: the bound holds at any number of daemons, also as all start at
// once, and what the worker takes is used.
func TestBound_ManyDaemons(t *testing.T) {
	cases := map[string]testCase{"cold": wide}
	for _, rate := range []float64{0.3, 1, 20, 200} {
		cases[fmt.Sprint("limit ", rate)] = limited(rate)
	}
	for name, c := range cases {
		sizes := []int{1, 2, 7, 32, 90, 300}
		if c.bound.Rate == 1 {
			sizes = append(sizes, 984)
		}
		for _, size := range sizes {
			t.Run(fmt.Sprint(name, " ", size), func(t *testing.T) {
				t.Parallel()
				w := newWorld(c)
				for i := range size {
					w.start(fmt.Sprint("d", i), time.Duration(1+i%6)*tick)
				}
				until := noon.Add(2*EvidenceAge + c.margin + 4*time.Second)
				for w.now.Before(until) {
					w.step(nil)
				}
				before := len(w.sent)
				watched := 160 // steps, 40 seconds
				if size >= 300 {
					watched = 96 // each daemon looks at all others in each step
				}
				for range watched {
					w.step(nil)
				}
				most, rate := w.most(c.bound.Within), float64(len(w.sent)-before)/(float64(watched)*tick.Seconds())
				t.Logf("at most %d in %v, %.2f a second", most, c.bound.Within, rate)
				if most > c.bound.Most || rate < 0.8*c.bound.Rate {
					t.Fatal("too much or too little")
				}
			})
		}
	}
}

// TestPart_NeverAddsUpToMoreThanAllowed.
func TestPart_NeverAddsUpToMoreThanAllowed(t *testing.T) {
	for most := range 60 {
		for count := 1; count <= 300; count++ {
			sum := 0
			for rank := range count {
				if p, has := (Bound{Most: most, Rate: 18, Each: 2, Longest: time.Minute}).Part(rank, count); has {
					sum += p.Takes
				}
			}
			if sum > most || most > 0 && sum < most/2 {
				t.Fatal("too much or too little is given out", most, count, sum)
			}
		}
	}
}
