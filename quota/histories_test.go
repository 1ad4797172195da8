package quota

import (
	"fmt"
	"maps"
	"math"
	"os"
	"slices"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"github.com/pointpass/pointpass/common/histories"
)

func TestMain(m *testing.M) { os.Exit(histories.Run(m)) }

var noon = time.Unix(1_000_000, 0)

const tick = 250 * time.Millisecond

// testCase is a bound and the roster margin that it needs.
type testCase struct {
	bound  Bound
	margin time.Duration
}

var (
	// wide is the bound of a cold worker that can take 18 requests a second.
	wide = testCase{Bound{MaxRequests: 30, Within: time.Second + MaxSendDelay, Rate: 18, Each: 2, MaxWindow: 10 * time.Second}, 2 * time.Second}
	// narrow lets one daemon send to a worker, two requests in each window, so that it is
	// exceeded if two daemons disagree.
	narrow = testCase{Bound{MaxRequests: 2, Within: time.Second + MaxSendDelay, Rate: 18, Each: 2, MaxWindow: 10 * time.Second}, 2 * time.Second}
)

// limitCase returns the bound of a worker that sets a limit.
func limitCase(rate float64) testCase {
	const within = 4 * time.Second
	maxRequests := int(0.95 * (1.5*rate*within.Seconds() + 5))
	return testCase{Bound{MaxRequests: maxRequests, Within: within + MaxSendDelay, Rate: rate, Each: 1, MaxWindow: time.Minute, Paced: true}, 5 * time.Second}
}

// daemon is a process of the cluster that sends as much as its part allows.
type daemon struct {
	name   string
	roster *Roster
	ledger *Ledger
	// partitionedUntil is until when no views arrive, stalledUntil until when it is stalled.
	partitionedUntil, stalledUntil time.Time
	// lag is the age of the evidence of views on arrival, nextView when the next one arrives.
	lag      time.Duration
	nextView time.Time
}

// cluster simulates daemons, the table of their rows with its history, and one worker.
type cluster struct {
	testCase
	now     time.Time
	version uint64
	rows    map[string]uint64
	history []snapshot
	// reannounceAt is when daemons whose row is gone announce themselves again.
	reannounceAt map[string]time.Time
	daemons      map[string]*daemon
	// deletes are the scheduled removals of rows.
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

func newCluster(c testCase) *cluster {
	w := &cluster{testCase: c, now: noon, rows: map[string]uint64{}, daemons: map[string]*daemon{}, reannounceAt: map[string]time.Time{}}
	w.write(nil)
	return w
}

// write changes the table.
func (w *cluster) write(change func()) {
	w.version++
	if change != nil {
		change()
	}
	w.history = append(w.history, snapshot{at: w.now, version: w.version, rows: maps.Clone(w.rows)})
}

// asOf returns the table at the given time.
func (w *cluster) asOf(at time.Time) snapshot {
	i := len(w.history) - 1
	for i > 0 && w.history[i].at.After(at) {
		i--
	}
	return w.history[i]
}

// start starts or restarts a daemon. It announces itself unless its row exists.
func (w *cluster) start(name string, lag time.Duration) {
	w.daemons[name] = &daemon{name: name, roster: NewRoster(name, w.margin, MaxEvidenceAge), ledger: NewLedger(w.bound.MaxWindow), lag: lag, nextView: w.now}
	if w.rows[name] == 0 {
		w.write(func() { w.rows[name] = w.version })
	}
}

// step advances the time by a tick, in which views arrive and requests are sent.
func (w *cluster) step(t *rapid.T) {
	w.now = w.now.Add(tick)
	for _, d := range w.deletes {
		if !d.at.After(w.now) && w.rows[d.name] != 0 {
			w.write(func() { delete(w.rows, d.name) })
		}
	}
	w.deletes = slices.DeleteFunc(w.deletes, func(d deletion) bool { return !d.at.After(w.now) })
	for _, name := range slices.Sorted(maps.Keys(w.daemons)) {
		d := w.daemons[name]
		if at, found := w.reannounceAt[name]; found && !w.now.Before(at) && w.rows[name] == 0 {
			w.write(func() { w.rows[name] = w.version })
			delete(w.reannounceAt, name)
		}
		if w.now.Before(d.stalledUntil) {
			continue
		}
		w.deliverView(d)
		w.send(d)
	}
}

// deliverView passes a daemon a view that is as old as its lag.
func (w *cluster) deliverView(d *daemon) {
	if w.now.Before(d.partitionedUntil) || w.now.Before(d.nextView) {
		return
	}
	d.nextView = w.now.Add(d.lag)
	evidence := w.now.Add(-d.lag)
	s := w.asOf(evidence)
	d.roster.Learn(View{Rows: s.rows, Evidence: evidence}, w.now)
}

// send sends as many requests as the daemon's part allows.
func (w *cluster) send(d *daemon) {
	rank, count, active := d.roster.Place("w", w.now)
	if !active {
		return
	}
	p, ok := w.bound.Part(rank, count)
	for ok {
		next := d.ledger.Next("w", p, w.now)
		if !next.Before(w.now.Add(tick)) {
			return
		}
		d.ledger.Take("w", next)
		d.ledger.Read("w", next)
		w.sent = append(w.sent, next)
	}
}

// maxWithin returns the maximum number of requests sent within any window.
func (w *cluster) maxWithin(window time.Duration) int {
	slices.SortFunc(w.sent, time.Time.Compare)
	highest := 0
	for from, at := range w.sent {
		to, _ := slices.BinarySearchFunc(w.sent, at.Add(window), time.Time.Compare)
		highest = max(highest, to-from)
	}
	return highest
}

// injectFault injects a random fault.
func (w *cluster) injectFault(t *rapid.T, size int) {
	name := fmt.Sprint("d", rapid.IntRange(0, size-1).Draw(t, "daemon"))
	duration := time.Duration(rapid.IntRange(1, 48).Draw(t, "ticks")) * tick
	lag := time.Duration(rapid.IntRange(1, 10).Draw(t, "lag")) * tick
	d := w.daemons[name]
	kind := rapid.SampledFrom([]string{"start", "freeze", "cut", "lag", "leave", "late", "again", "many"}).Draw(t, "kind")
	switch {
	case kind == "many":
		for i := range size {
			w.start(fmt.Sprint("d", i), lag)
		}
	case d == nil || kind == "start":
		w.start(name, lag)
	case kind == "freeze":
		d.stalledUntil = w.now.Add(duration)
	case kind == "cut":
		d.partitionedUntil = w.now.Add(duration)
	case kind == "lag":
		d.lag = lag
	case kind == "leave": // its row is removed, the process goes on for a while
		w.deletes = append(w.deletes, deletion{at: w.now, name: name})
	case kind == "again": // its row is removed and written again
		w.deletes = append(w.deletes, deletion{at: w.now, name: name})
		w.reannounceAt[name] = w.now.Add(duration)
	case kind == "late": // the row of a previous run is removed while the daemon runs
		w.start(name, lag)
		w.deletes = append(w.deletes, deletion{at: w.now.Add(duration), name: name})
	}
}

// TestBound_Histories guards against a worker that gets more requests in a window than its
// bound, under random faults of the daemons and of their views of each other. Requests may
// be sent up to MaxSendDelay after they were taken, so the window includes that time.
func TestBound_Histories(t *testing.T) {
	t.Run("wide", func(t *testing.T) { runHistories(t, wide, []int{2, 7, 17, 32}) })
	t.Run("narrow", func(t *testing.T) { runHistories(t, narrow, []int{2, 3, 5}) })
	t.Run("limits", func(t *testing.T) {
		t.Parallel()
		rapid.Check(t, func(t *rapid.T) {
			rate := rapid.SampledFrom([]float64{0, 0.3, 1, 1.4, 5, 20, 200}).Draw(t, "rate")
			runHistory(t, limitCase(rate), []int{2, 7, 17, 32})
		})
	})
}

func runHistories(t *testing.T, c testCase, sizes []int) {
	t.Parallel()
	rapid.Check(t, func(t *rapid.T) { runHistory(t, c, sizes) })
}

func runHistory(t *rapid.T, c testCase, sizes []int) {
	w := newCluster(c)
	size := rapid.SampledFrom(sizes).Draw(t, "size")
	started := rapid.IntRange(1, size).Draw(t, "begun")
	for i := range started {
		w.start(fmt.Sprint("d", i), time.Duration(1+i%4)*tick)
	}
	for range rapid.IntRange(4, 24).Draw(t, "troubles") {
		w.injectFault(t, size)
		for range rapid.IntRange(1, 30).Draw(t, "steps") {
			w.step(t)
		}
	}
	if highest := w.maxWithin(c.bound.Within); highest > c.bound.MaxRequests {
		t.Fatalf("%d requests within %v, allowed %d", highest, c.bound.Within, c.bound.MaxRequests)
	}
}

// TestBound_ManyDaemons guards against a bound that is exceeded or left unused at some
// number of daemons, also when all start at once.
func TestBound_ManyDaemons(t *testing.T) {
	cases := map[string]testCase{"cold": wide}
	for _, rate := range []float64{0.3, 1, 20, 200} {
		cases[fmt.Sprint("limit ", rate)] = limitCase(rate)
	}
	for name, c := range cases {
		sizes := []int{1, 2, 7, 32, 90, 300}
		if c.bound.Rate == 1 {
			sizes = append(sizes, 984)
		}
		for _, size := range sizes {
			t.Run(fmt.Sprint(name, " ", size), func(t *testing.T) {
				t.Parallel()
				w := newCluster(c)
				for i := range size {
					w.start(fmt.Sprint("d", i), time.Duration(1+i%6)*tick)
				}
				until := noon.Add(2*MaxEvidenceAge + c.margin + 4*time.Second)
				for w.now.Before(until) {
					w.step(nil)
				}
				sentBefore := len(w.sent)
				observedSteps := 160 // steps, 40 seconds
				if size >= 300 {
					observedSteps = 96 // each step takes time quadratic in the number of daemons
				}
				for range observedSteps {
					w.step(nil)
				}
				highest, rate := w.maxWithin(c.bound.Within), float64(len(w.sent)-sentBefore)/(float64(observedSteps)*tick.Seconds())
				t.Logf("at most %d in %v, %.2f a second", highest, c.bound.Within, rate)
				if highest > c.bound.MaxRequests || rate < 0.8*c.bound.Rate {
					t.Fatal("too many or too few requests")
				}
			})
		}
	}
}

// TestPart_SumNeverExceedsTheBound guards against parts that add up to more than the bound,
// or to less than half of it.
func TestPart_SumNeverExceedsTheBound(t *testing.T) {
	for maxRequests := range 60 {
		for count := 1; count <= 300; count++ {
			sum := 0
			for rank := range count {
				if p, ok := (Bound{MaxRequests: maxRequests, Rate: 18, Each: 2, MaxWindow: time.Minute}).Part(rank, count); ok {
					sum += p.MaxRequests
				}
			}
			if sum > maxRequests || maxRequests > 0 && sum < maxRequests/2 {
				t.Fatal("the parts add up to too much or too little", maxRequests, count, sum)
			}
		}
	}
}

// TestBound_Impossible guards against a panic in requests to a worker whose limit is out of range.
func TestBound_Impossible(t *testing.T) {
	now := time.Unix(1000, 0)
	for _, n := range []int{-1, -100, math.MinInt, math.MaxInt} {
		for _, rate := range []float64{-1e308, -1, 0, 1e308} {
			for rank := range 3 {
				b := Bound{MaxRequests: n, Within: time.Second, Rate: rate, Each: 2, MaxWindow: time.Minute, Paced: true}
				p, ok := b.Part(rank, 3)
				must.EqOp(t, n > 0, ok)
				if ok {
					l := NewLedger(time.Minute)
					l.Take("w", now)
					must.True(t, l.Room("w", p, now.Add(time.Minute)))
				}
			}
		}
	}
}
