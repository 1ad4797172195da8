package retry

import (
	"maps"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"github.com/pointpass/pointpass/quota"
)

// noon is when simulations start.
var noon = time.Unix(1_000_000, 0)

// total is the allowance of a simulated deployment, ratioOnly and extraOnly are its parts: what one
// leaves unused mustn't make up for too much of the other.
var (
	total     = Allowance{Ratio: 0.2, Extra: 40, Window: 10 * time.Second}
	ratioOnly = Allowance{Ratio: 0.2, Window: total.Window}
	extraOnly = Allowance{Extra: 60, Window: total.Window}
)

const (
	// step is the time between two steps of a simulation, viewInterval between two views of a
	// daemon, and graceTime how long a daemon that stops serves on.
	step         = 100 * time.Millisecond
	viewInterval = time.Second
	graceTime    = 8 * time.Second
)

// deployment simulates daemons that retry as often as their shares allow, and the table of their
// rows. All requests fail while failing is set.
type deployment struct {
	allowance Allowance

	now     time.Time
	random  *rand.Rand
	daemons []*simDaemon
	failing bool
	// rows are the versions of the daemons' rows. refused is until when none can be written, away
	// until when the table can't be read either.
	rows          map[string]uint64
	version       uint64
	refused, away time.Time
	// requests and retries are the times of all of them, over all daemons; retries are those of
	// arrival.
	requests, retries []time.Time
	// still is until when half of the workers stand still, and unread are the retries that they will read then.
	still  time.Time
	unread []*Retry
	// queued is set if requests to a daemon that stands still wait for it. They are lost otherwise.
	queued bool
}

// simDaemon is a daemon of a simulated deployment. It isn't running if window is nil.
type simDaemon struct {
	name   string
	window *Window
	share  *Share
	// perSecond is the rate of its requests.
	perSecond float64
	due       float64
	// waiting is the number of requests that wait for the daemon.
	waiting int
	// cut is until when it gets no views, frozen until when it stands still, and ends when it ends
	// after a stop.
	cut, frozen, ends time.Time
	// polled is when it asked for the view that it gets next, and view what that shows.
	polled time.Time
	view   map[string]uint64
}

func newDeployment(daemons int) *deployment {
	d := &deployment{allowance: total, now: noon, failing: true, rows: map[string]uint64{}, random: rand.New(rand.NewPCG(1, 1))}
	for range daemons {
		d.add()
	}
	return d
}

func (d *deployment) add() {
	s := &simDaemon{name: string(rune('a' + len(d.daemons))), perSecond: 10}
	d.daemons = append(d.daemons, s)
	d.start(s)
}

// start starts a daemon, whether or not it has run before.
func (d *deployment) start(s *simDaemon) {
	s.window = NewWindow(total.Window)
	s.share = NewShare(s.name, total.Window)
	s.polled, s.view = time.Time{}, nil
	s.ends = time.Time{}
}

// kill ends a daemon, whose row stays.
func (d *deployment) kill(s *simDaemon) { s.window = nil }

// stop makes a daemon delete its row and end after its grace time.
func (d *deployment) stop(s *simDaemon) {
	if !d.now.Before(d.away) {
		delete(d.rows, s.name)
	}
	s.ends = d.now.Add(graceTime)
}

// run lets time pass.
func (d *deployment) run(t time.Duration) {
	for until := d.now.Add(t); d.now.Before(until); d.now = d.now.Add(step) {
		if !d.now.Before(d.still) {
			d.readAll()
		}
		for _, s := range d.daemons {
			d.runDaemon(s)
		}
	}
}

// readAll lets the workers read what they haven't read yet.
func (d *deployment) readAll() {
	for _, r := range d.unread {
		d.retries = append(d.retries, d.now)
		r.Read(d.now)
	}
	d.unread = nil
}

// runDaemon lets a daemon do what is due. Clients send to it also while it isn't running.
func (d *deployment) runDaemon(s *simDaemon) {
	if s.window != nil && !s.ends.IsZero() && d.now.After(s.ends) {
		s.window = nil
	}
	up := s.window != nil && !d.now.Before(s.frozen)
	if up {
		d.poll(s)
		if s.ends.IsZero() && s.view != nil && s.view[s.name] == 0 && !d.now.Before(d.refused) && !d.now.Before(d.away) && d.rows[s.name] == 0 {
			d.version++
			d.rows[s.name] = d.version
		}
	}
	for s.due += s.perSecond * step.Seconds(); s.due >= 1; s.due-- {
		d.requests = append(d.requests, d.now)
		s.waiting++
	}
	if s.window == nil || !up && !d.queued {
		s.waiting = 0
	}
	for ; up && s.waiting > 0; s.waiting-- {
		d.serve(s)
	}
}

// poll passes a daemon the view that it asked for, and asks for the next one.
func (d *deployment) poll(s *simDaemon) {
	if d.now.Before(s.cut) || d.now.Before(d.away) {
		s.polled = time.Time{}
		return
	}
	if !s.polled.IsZero() && d.now.Sub(s.polled) < viewInterval {
		return
	}
	if !s.polled.IsZero() {
		s.share.Learn(quota.View{Rows: s.view, Evidence: s.polled}, d.now)
	}
	s.polled, s.view = d.now, maps.Clone(d.rows)
}

// serve handles a request at a daemon, and retries it as often as possible if requests fail.
func (d *deployment) serve(s *simDaemon) {
	s.window.Request(d.now)
	for d.failing {
		r, ok := s.window.Spend(d.now, s.share.Of(d.allowance, d.now).Allowance)
		if !ok {
			return
		}
		if d.now.Before(d.still) && d.random.IntN(2) == 0 {
			d.unread = append(d.unread, r)
			continue
		}
		arrival := d.now.Add(time.Duration(d.random.Int64N(int64(SendDelay))))
		d.retries = append(d.retries, arrival)
		r.Read(arrival)
	}
}

// settle lets the daemons run for as long as it takes until they share the extra.
func (d *deployment) settle() {
	d.run(2*MaxViewAge + 2*total.Window)
}

// excess returns by how much the retries within any window exceed those allowed for the requests
// of that window, of the one before it or of the one half a window earlier; 0 if they never do.
func (d *deployment) excess() float64 {
	slices.SortFunc(d.retries, time.Time.Compare)
	worst := 0.0
	for _, from := range d.retries {
		requests := 0
		for _, earlier := range []time.Duration{0, total.Window / 2, total.Window} {
			requests = max(requests, within(d.requests, from.Add(-earlier)))
		}
		allowed := d.allowance.Ratio*float64(requests) + d.allowance.Extra
		worst = max(worst, float64(within(d.retries, from))-allowed)
	}
	return worst
}

// within counts the times, which rise, in the window that begins at from.
func within(times []time.Time, from time.Time) int {
	first, _ := slices.BinarySearchFunc(times, from, time.Time.Compare)
	last, _ := slices.BinarySearchFunc(times, from.Add(total.Window), time.Time.Compare)
	return last - first
}

// mostRetries returns the most retries within any window.
func (d *deployment) mostRetries() int {
	most := 0
	for _, from := range d.retries {
		most = max(most, within(d.retries, from))
	}
	return most
}

// TestShare_UsesTheAllowance guards against shares that add up to far less than the allowance in
// normal operation: half of the ratio, and the whole extra.
func TestShare_UsesTheAllowance(t *testing.T) {
	for _, daemons := range []int{1, 3, 9} {
		d := newDeployment(daemons)
		d.failing = false
		d.settle()
		d.failing = true
		d.run(3 * total.Window)
		must.EqOp(t, 0, d.excess())
		requests := 10 * float64(daemons) * total.Window.Seconds()
		must.Greater(t, int(0.85*(0.5*total.Ratio*requests+total.Extra))-daemons, d.mostRetries(), must.Sprint(daemons, " daemons"))
	}
}

// TestShare_RestartsKeepWithinTheAllowance guards against daemons that forget at a restart which
// retries their previous runs made, and so make the whole extra once per run.
func TestShare_RestartsKeepWithinTheAllowance(t *testing.T) {
	for _, restarts := range []int{1, 2, 5} {
		d := newDeployment(4)
		d.failing = false
		d.settle()
		d.failing = true
		for range restarts {
			d.run(1500 * time.Millisecond)
			for _, s := range d.daemons {
				d.kill(s)
			}
			d.run(200 * time.Millisecond)
			for _, s := range d.daemons {
				d.start(s)
			}
		}
		d.settle()
		must.EqOp(t, 0, d.excess(), must.Sprint("restarts: ", restarts))
		must.Positive(t, len(d.retries))
	}
}

// TestShare_StoppedDaemonsKeepTheirPart guards against daemons that take over the parts of others
// that stop, though the retries of these still count.
func TestShare_StoppedDaemonsKeepTheirPart(t *testing.T) {
	d := newDeployment(8)
	d.failing = false
	d.settle()
	d.failing = true
	for _, s := range d.daemons[:7] {
		d.run(time.Second)
		d.stop(s)
	}
	d.settle()
	must.EqOp(t, 0, d.excess())
	must.Positive(t, len(d.retries))
}

// TestShare_UnlistedDaemonsHaveNoPart guards against daemons that use parts of the extra while the
// others don't count them: they can't write their rows, or their rows are lost.
func TestShare_UnlistedDaemonsHaveNoPart(t *testing.T) {
	for _, lost := range []bool{false, true} {
		d := newDeployment(4)
		d.failing = false
		d.settle()
		d.failing = true
		d.refused = d.now.Add(time.Hour)
		for _, s := range d.daemons[1:] {
			if lost {
				delete(d.rows, s.name)
				continue
			}
			d.stop(s)
			d.run(time.Second)
			d.start(s)
		}
		d.settle()
		must.EqOp(t, 0, d.excess(), must.Sprint("lost: ", lost))
		for _, s := range d.daemons[1:] {
			must.EqOp(t, 0, s.share.Of(total, d.now).Extra)
		}
		d.run(MaxUnread)
		must.EqOp(t, total.Extra, d.daemons[0].share.Of(total, d.now).Extra, must.Sprint("the listed one has what the others don't use"))
	}
}

// TestShare_Histories checks that all daemons together keep within the allowance whatever
// daemons are killed, stopped, started, frozen or added, whatever becomes of their rows and of
// the table, wherever clients go, and whenever requests fail.
func TestShare_Histories(t *testing.T) {
	for _, a := range []Allowance{total, ratioOnly, extraOnly} {
		rapid.Check(t, func(t *rapid.T) {
			random := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 0))
			d := newDeployment(2 + random.IntN(6))
			d.allowance = a
			d.random = random
			d.failing = false
			if random.IntN(3) > 0 {
				d.settle()
			}
			copies := []map[string]uint64{maps.Clone(d.rows)}
			pace := time.Duration(500+random.IntN(8000)) * time.Millisecond
			for range 40 {
				d.failing = random.IntN(2) > 0
				d.change(random, &copies)
				d.run(time.Duration(random.Int64N(int64(pace))))
				for _, s := range d.daemons {
					if s.window == nil && random.IntN(2) == 0 {
						d.start(s)
					}
				}
			}
			must.EqOp(t, 0, d.excess())
		})
	}
}

// change makes one random change. Copies are earlier contents of the table.
func (d *deployment) change(random *rand.Rand, copies *[]map[string]uint64) {
	d.changeBy(random.IntN(12), random, copies)
}

// changeBy makes a random change of a kind.
func (d *deployment) changeBy(kind int, random *rand.Rand, copies *[]map[string]uint64) {
	s := d.daemons[random.IntN(len(d.daemons))]
	span := time.Duration(random.IntN(12_000)) * time.Millisecond
	switch kind {
	case 0:
		for _, s := range d.daemons {
			d.kill(s)
		}
	case 1:
		d.kill(s)
	case 2, 3:
		if s.window != nil {
			d.stop(s)
		}
	case 4:
		s.frozen = d.now.Add(span)
	case 5:
		s.cut = d.now.Add(span)
	case 6:
		d.refused = d.now.Add(span)
	case 7:
		d.away = d.now.Add(span)
	case 8:
		delete(d.rows, s.name)
	case 9:
		d.rows = maps.Clone((*copies)[random.IntN(len(*copies))])
	case 10:
		if len(d.daemons) < 12 {
			d.add()
		}
	case 11: // clients go elsewhere
		s.perSecond = float64(random.IntN(4) * 20)
	}
	*copies = append(*copies, maps.Clone(d.rows))
}

// lateHistories are kinds of changes beside which workers stand still, for longest at the most.
var lateHistories = []lateHistory{
	{"nothing else", nil, 20 * time.Second},
	{"daemons stand still, too", []int{4}, 20 * time.Second},
	{"views are missing", []int{5, 7}, 20 * time.Second},
	{"rows are missing", []int{6, 8, 9}, 20 * time.Second},
	{"load moves", []int{11}, 9 * time.Second},
	{"daemons are killed", []int{0, 1}, 20 * time.Second},
	{"daemons join", []int{10}, 9 * time.Second},
	{"daemons stop", []int{2}, 9 * time.Second},
	{"all of these", []int{0, 1, 2, 4, 5, 6, 7, 8, 9, 10, 11}, 9 * time.Second},
	{"for long, load moves", []int{11}, 20 * time.Second},
	{"for long, daemons join", []int{10}, 20 * time.Second},
	{"for long, daemons stop", []int{2}, 20 * time.Second},
	{"for very long", nil, 60 * time.Second},
	{"for long, load moves, by chance", []int{11}, 20 * time.Second},
	{"for long, daemons stop, by chance", []int{2}, 20 * time.Second},
	{waitingRequests, []int{4}, 20 * time.Second},
}

// waitingRequests is the kind of change in which requests wait for daemons that stand still.
const waitingRequests = "requests wait for daemons that stand still"

// lateHistory is a kind of change.
type lateHistory struct {
	name    string
	changes []int
	longest time.Duration
}

// lateSeeds are the seeds of kinds that exceed the bound in few histories. Others begin at 0.
var lateSeeds = map[string]uint64{"for long, load moves, by chance": 80, "for long, daemons stop, by chance": 240}

// TestShare_LateArrivals guards against retries that workers read in a later window than they were counted in, since
// they stood still, beside changes of the daemons, of what they see of each other, and of their load.
func TestShare_LateArrivals(t *testing.T) {
	const seeds = 80
	for _, h := range lateHistories {
		t.Run(h.name, func(t *testing.T) {
			for _, a := range []Allowance{total, ratioOnly, extraOnly} {
				for seed := lateSeeds[h.name]; seed < lateSeeds[h.name]+seeds; seed++ {
					d := newDeployment(2 + int(seed%6))
					d.allowance = a
					d.random = rand.New(rand.NewPCG(seed, 0))
					d.queued = h.name == waitingRequests
					d.runLate(h.changes, h.longest)
					must.EqOp(t, 0, d.excess(), must.Sprint("allowance: ", a, ", seed: ", seed))
				}
			}
		})
	}
}

// runLate makes changes of the given kinds while workers stand still again and again, for longest at the most.
func (d *deployment) runLate(changes []int, longest time.Duration) {
	d.failing = false
	d.settle()
	copies := []map[string]uint64{maps.Clone(d.rows)}
	for range 30 {
		d.failing = d.random.IntN(3) > 0
		if !d.now.Before(d.still) {
			d.readAll()
			d.still = d.now.Add(time.Duration(d.random.Int64N(int64(longest))))
		}
		if len(changes) > 0 {
			d.changeBy(changes[d.random.IntN(len(changes))], d.random, &copies)
		}
		d.run(time.Duration(d.random.IntN(10_000)) * time.Millisecond)
		for _, s := range d.daemons {
			if s.window == nil {
				d.start(s)
			}
		}
	}
	d.readAll()
}
