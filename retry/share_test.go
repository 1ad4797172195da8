package retry

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"
)

// noon is when simulations start.
var noon = time.Unix(1_000_000, 0)

// total is the allowance of a simulated deployment.
var total = Allowance{Ratio: 0.2, Extra: 40, Window: 10 * time.Second}

// deployment simulates daemons that retry as often as their shares allow. All requests fail while
// failing is set.
type deployment struct {
	now     time.Time
	daemons []*simDaemon
	members Members
	failing bool
	// requests and retries are the times of all of them, over all daemons.
	requests, retries []time.Time
}

// simDaemon is a daemon of a simulated deployment. It isn't running if window is nil, and counts
// among the daemons while it is listed.
type simDaemon struct {
	window *Window
	share  *Share
	listed bool
}

func newDeployment(daemons int) *deployment {
	d := &deployment{now: noon, failing: true}
	d.members.Observe(daemons, d.now)
	for range daemons {
		d.daemons = append(d.daemons, &simDaemon{window: NewWindow(total.Window), share: NewShare(noon, true), listed: true})
	}
	return d
}

// start starts a daemon, which has run before.
func (d *deployment) start(s *simDaemon) {
	s.window = NewWindow(total.Window)
	s.share = NewShare(d.now, false)
	s.listed = true
	d.members.Observe(d.listed(), d.now)
}

// kill ends a daemon, whose row stays.
func (d *deployment) kill(s *simDaemon) { s.window = nil }

// stop ends a daemon, which deletes its row.
func (d *deployment) stop(s *simDaemon) {
	s.window = nil
	s.listed = false
	d.members.Observe(d.listed(), d.now)
}

func (d *deployment) listed() int {
	n := 0
	for _, s := range d.daemons {
		if s.listed {
			n++
		}
	}
	return max(n, 1)
}

// run lets time pass while each running daemon gets requests at a constant rate.
func (d *deployment) run(t time.Duration, perSecond int) {
	step := time.Second / time.Duration(perSecond)
	for until := d.now.Add(t); d.now.Before(until); d.now = d.now.Add(step) {
		for _, s := range d.daemons {
			d.requests = append(d.requests, d.now)
			if s.window != nil {
				d.serve(s)
			}
		}
	}
}

// serve handles a request at a daemon, and retries it if requests fail.
func (d *deployment) serve(s *simDaemon) {
	s.window.Request(d.now)
	if d.failing && s.window.Spend(d.now, s.share.Of(total, d.members.Count(d.now, total.Window), d.now)) {
		d.retries = append(d.retries, d.now)
	}
}

// excess returns by how much the retries within any window exceed those allowed for the requests
// of that window, of the one before it or of the one half a window earlier; 0 if they never do.
func (d *deployment) excess() float64 {
	worst := 0.0
	for _, from := range d.retries {
		requests := 0
		for _, earlier := range []time.Duration{0, total.Window / 2, total.Window} {
			requests = max(requests, within(d.requests, from.Add(-earlier)))
		}
		allowed := total.Ratio*float64(requests) + total.Extra
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

// TestShare_RestartsKeepWithinTheAllowance guards against daemons that forget at a restart which
// retries their previous runs made, and so make the whole extra once per run.
func TestShare_RestartsKeepWithinTheAllowance(t *testing.T) {
	for _, restarts := range []int{1, 2, 5} {
		d := newDeployment(4)
		d.failing = false
		d.run(10*time.Second, 10)
		d.failing = true
		for range restarts {
			d.run(1500*time.Millisecond, 10)
			for _, s := range d.daemons {
				d.kill(s)
			}
			d.run(200*time.Millisecond, 10)
			for _, s := range d.daemons {
				d.start(s)
			}
		}
		d.run(20*time.Second, 10)
		must.EqOp(t, 0, d.excess(), must.Sprint("restarts: ", restarts))
		must.Positive(t, len(d.retries))
	}
}

// TestShare_StoppedDaemonsKeepTheirPart guards against daemons that take over the parts of others
// that stop, though the retries of these still count.
func TestShare_StoppedDaemonsKeepTheirPart(t *testing.T) {
	d := newDeployment(8)
	for len(d.daemons) > 1 {
		d.run(time.Second, 10)
		d.stop(d.daemons[0])
		d.daemons = d.daemons[1:]
	}
	d.run(20*time.Second, 10)
	must.EqOp(t, 0, d.excess())
	must.Positive(t, len(d.retries))
}

// TestWindow_CoversItsWholeLength guards against retries that leave the window before its length
// has passed, by any moment of the first and the last retry.
func TestWindow_CoversItsWholeLength(t *testing.T) {
	a := Allowance{Extra: 1, Window: total.Window}
	for offset := time.Duration(0); offset < a.Window; offset += 10 * time.Millisecond {
		w := NewWindow(a.Window)
		must.True(t, w.Spend(noon.Add(offset), a))
		must.False(t, w.Spend(noon.Add(offset+a.Window-time.Millisecond), a), must.Sprint("offset: ", offset))
	}
}

// TestShare_Histories checks that all daemons together keep within the allowance whatever
// daemons restart, stop and start, and whenever requests fail.
func TestShare_Histories(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		random := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 0))
		d := newDeployment(2 + random.IntN(6))
		d.failing = false
		d.run(total.Window, 10)
		for range 30 {
			d.failing = random.IntN(3) > 0
			s := d.daemons[random.IntN(len(d.daemons))]
			switch {
			case random.IntN(8) == 0:
				for _, s := range d.daemons {
					d.kill(s)
				}
			case s.window == nil:
				d.start(s)
			case random.IntN(2) == 0:
				d.kill(s)
			default:
				d.stop(s)
			}
			d.run(time.Duration(random.IntN(2000))*time.Millisecond, 10)
			for _, s := range d.daemons {
				if s.window == nil && random.IntN(2) == 0 {
					d.start(s)
				}
			}
		}
		must.EqOp(t, 0, d.excess())
	})
}
