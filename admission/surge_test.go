package admission

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// gate is how one daemon of a played surge lets requests in.
type gate interface {
	// Enter returns the place of a request, nil if it is refused.
	Enter(e Entry) *Place
	// Return is when a refused request is told to come back.
	Return(goal time.Duration, random float64) time.Duration
}

// windowGate has a window alone.
type windowGate struct{ *Window }

func (g windowGate) Return(goal time.Duration, random float64) time.Duration {
	return time.Duration((0.2 + 0.4*random) * float64(g.Slack(goal)))
}

// fleetDay is what a played surge is like.
type fleetDay struct {
	daemons int
	// usual and most are the load before, after and in the surge, as parts of what the
	// groups can do.
	usual, most float64
	// lost is the part of the groups that fall silent as the surge begins.
	lost float64
	gate func(p *played, daemon int) gate
}

// fleetResult is what came of a played surge.
type fleetResult struct {
	// inTime is the part of the surge's requests that were in time, of what came or could
	// be served, whichever is less; after that of the requests from a second after it.
	inTime, after float64
	// worth is what all requests earned: 1 in time, lateWorth late, refusedAgain if they
	// came back and were refused again.
	worth float64
}

// The groups and callers of a played surge.
const (
	playedQueue = 2 * playedSlots
	// playedPatience is after how long a request leaves a silent group.
	playedPatience = 900 * time.Millisecond
	playedDeadline = 6 * time.Second
	// playedReturn is what a return takes beside the wait that was named: a new
	// connection, in another hall.
	playedReturn = 60 * time.Millisecond
	lateWorth    = 0.25
	refusedAgain = -0.3
	playedBefore = 4 * time.Second
	playedLong   = 8 * time.Second
	playedAfter  = 6 * time.Second
)

// playedSigns are what a daemon sees of a group: those of its requests that run there.
type playedSigns struct {
	running int
	last    time.Time
}

// daemonSigns are one daemon's. Those that run get events all the time.
type daemonSigns struct {
	p *played
	d int
}

func (s daemonSigns) Silence(group string, since, now time.Time) time.Duration {
	seen := s.p.sign(s.d, group)
	if seen.running > 0 {
		return 0
	}
	if seen.last.After(since) {
		since = seen.last
	}
	return now.Sub(since)
}

func (p *played) sign(d int, group string) *playedSigns {
	if p.signs[d][group] == nil {
		p.signs[d][group] = &playedSigns{}
	}
	return p.signs[d][group]
}

// played is the state of a played surge.
type played struct {
	fleetDay
	random  *rand.Rand
	queue   eventQueue
	groups  []playedGroup
	gates   []gate
	own     [][]int // requests under way by daemon and group
	signs   []map[string]*playedSigns
	asked   []float64
	askedAt []time.Time

	begin, from, to, end         time.Time
	total, worth                 float64
	came, inTime, cameLater, okd int
}

type playedGroup struct {
	busy    int
	silent  bool
	waiting []*asking
}

type asking struct {
	daemon int
	came   time.Time
	back   bool
	rank   float64
	place  *Place
	sent   time.Time
}

func (p *played) at(now time.Time, do func(time.Time)) { heap.Push(&p.queue, playedEvent{now, do}) }

// capacity returns how many requests the groups that work can serve in a second.
func (p *played) capacity() float64 {
	n := 0
	for _, g := range p.groups {
		if !g.silent {
			n++
		}
	}
	return float64(n*playedSlots) / playedLasting.Seconds()
}

func playFleet(s fleetDay) fleetResult {
	p := &played{fleetDay: s, random: rand.New(rand.NewPCG(5, uint64(s.daemons))), begin: time.Unix(1000, 0)}
	p.groups = make([]playedGroup, max(6, s.daemons/5))
	full := p.capacity()
	p.asked, p.askedAt = make([]float64, s.daemons), make([]time.Time, s.daemons)
	for i := range s.daemons {
		p.signs = append(p.signs, map[string]*playedSigns{})
		p.gates = append(p.gates, s.gate(p, i))
		p.own = append(p.own, make([]int, len(p.groups)))
	}
	p.from = p.begin.Add(playedBefore)
	p.to = p.from.Add(playedLong)
	p.end = p.to.Add(playedAfter)
	p.at(p.from, func(time.Time) {
		for i := range int(s.lost * float64(len(p.groups))) {
			p.groups[i].silent = true
		}
	})
	for now := p.begin; now.Before(p.end); {
		rate := s.usual * full
		if now.After(p.from) && now.Before(p.to) {
			rate = s.most * full
		}
		now = now.Add(time.Duration(p.random.ExpFloat64() / rate * float64(time.Second)))
		// The first daemons get up to twice what the others get.
		r := &asking{daemon: min(p.random.IntN(s.daemons), p.random.IntN(s.daemons)), came: now, rank: p.random.Float64()}
		p.at(now, func(now time.Time) { p.arrive(r, now) })
	}
	for p.queue.Len() > 0 {
		e := heap.Pop(&p.queue).(playedEvent)
		e.do(e.at)
	}
	could := min(float64(p.came), p.capacity()*playedLong.Seconds())
	return fleetResult{inTime: float64(p.inTime) / could, after: float64(p.okd) / float64(p.cameLater), worth: p.worth / p.total}
}

func (p *played) during(t time.Time) bool { return t.After(p.from) && t.Before(p.to) }
func (p *played) later(t time.Time) bool  { return t.After(p.to.Add(time.Second)) }

func (p *played) arrive(r *asking, now time.Time) {
	if !r.back {
		p.total++
		switch {
		case p.during(r.came):
			p.came++
		case p.later(r.came):
			p.cameLater++
		}
	}
	p.ask(r.daemon, now)
	r.place = p.gates[r.daemon].Enter(Entry{At: now, Goal: testGoal, Rate: Unknown, Random: p.random.Float64(), Rank: r.rank})
	if r.place != nil {
		p.send(r, now)
		return
	}
	if r.back {
		p.worth += refusedAgain
		return
	}
	r.back = true
	p.at(now.Add(playedReturn+p.gates[r.daemon].Return(testGoal, p.random.Float64())), func(now time.Time) {
		r.daemon = p.random.IntN(p.daemons)
		p.arrive(r, now)
	})
}

// ask notes a request in the daemon's average over a second.
func (p *played) ask(d int, now time.Time) {
	p.asked[d] = p.askedOf(d, now) + 1
	p.askedAt[d] = now
}

func (p *played) askedOf(d int, now time.Time) float64 {
	return p.asked[d] * math.Exp(-now.Sub(p.askedAt[d]).Seconds())
}

// send sends a request to the group at which its daemon has least under way.
func (p *played) send(r *asking, now time.Time) {
	g, best := 0, math.Inf(1)
	for i := range p.groups {
		if p.groups[i].silent && now.After(p.from.Add(playedPatience)) {
			continue // known by now
		}
		if n := float64(p.own[r.daemon][i]) + 0.25*p.random.Float64(); n < best {
			g, best = i, n
		}
	}
	group := &p.groups[g]
	r.place.Sent(now, fmt.Sprint(g))
	r.sent = now
	p.own[r.daemon][g]++
	leave := func(now time.Time) { p.own[r.daemon][g]-- }
	switch {
	case group.silent:
		p.at(now.Add(playedPatience), func(now time.Time) { leave(now); p.send(r, now) })
		return
	case len(group.waiting) >= playedQueue:
		leave(now)
		p.at(now.Add(20*time.Millisecond), func(now time.Time) { // tries another
			if now.Sub(r.came) < playedDeadline {
				p.send(r, now)
				return
			}
			r.place.Leave(now)
		})
		return
	}
	group.waiting = append(group.waiting, r)
	p.start(g, now)
}

// start has a group run what waits.
func (p *played) start(g int, now time.Time) {
	group := &p.groups[g]
	for !group.silent && group.busy < playedSlots && len(group.waiting) > 0 {
		r := group.waiting[0]
		group.waiting = group.waiting[1:]
		if now.Sub(r.came) > playedDeadline {
			r.place.Leave(now)
			p.own[r.daemon][g]--
			continue
		}
		group.busy++
		seen := p.sign(r.daemon, fmt.Sprint(g))
		p.at(now.Add(playedFirst), func(now time.Time) {
			seen.running++
			p.first(r, now)
		})
		lasting := time.Duration((0.5 + p.random.Float64()) * float64(playedLasting))
		p.at(now.Add(lasting), func(now time.Time) {
			group.busy--
			seen.running--
			seen.last = now
			p.own[r.daemon][g]--
			r.place.Leave(now)
			p.start(g, now)
		})
	}
}

func (p *played) first(r *asking, now time.Time) {
	r.place.FirstEvent(now)
	if now.Sub(r.came) > testGoal {
		p.worth += lateWorth
		return
	}
	p.worth++
	switch {
	case p.during(r.came):
		p.inTime++
	case p.later(r.came):
		p.okd++
	}
}

// shareGate knows its part of the groups from averages of what it and all are asked for.
type shareGate struct {
	windowGate
	p                      *played
	d                      int
	own, all, load, recent float64
	at                     time.Time
}

func (g *shareGate) Enter(e Entry) *Place {
	p := g.p
	if e.At.Sub(g.at) > time.Second {
		weight := max(1/(e.At.Sub(p.begin).Truncate(time.Second).Seconds()+1), 0.1)
		all := 0.0
		for d := range p.daemons {
			all += p.askedOf(d, e.At)
		}
		g.own += weight * (p.askedOf(g.d, e.At) - g.own)
		g.all += weight * (all - g.all)
		g.load, g.recent = g.recent, all*(playedLasting/playedSlots).Seconds()
		g.at = e.At
	}
	e.Work = playedLasting / playedSlots
	e.Rate = p.capacity() * e.Work.Seconds() * g.own / max(g.all, 1)
	e.Load = g.load / (p.capacity() * (playedLasting / playedSlots).Seconds())
	e.Work = time.Duration(float64(e.Work))
	return g.windowGate.Enter(e)
}

func windowGates(p *played, d int) gate { return windowGate{NewWindow(daemonSigns{p, d})} }

func shareGates(p *played, d int) gate {
	return &shareGate{windowGate: windowGate{NewWindow(daemonSigns{p, d})}, p: p, d: d}
}

// TestShare_WhatIsLeftIsServedInTime plays fleets whose daemons choose groups by their own
// requests and see only these, before groups that a surge or a loss leaves with too much to
// do. Callers come back once. With shares more is earned than with windows alone, and a
// load that fits loses next to nothing.
func TestShare_WhatIsLeftIsServedInTime(t *testing.T) {
	for _, c := range []struct {
		name string
		day  fleetDay
		// gain is what shares must earn beyond windows alone, as a part of all worth.
		gain float64
	}{
		{"a load that fits", fleetDay{usual: 0.8, most: 0.8}, -0.005},
		{"a surge", fleetDay{usual: 0.83, most: 2.1}, 0.05},
		{"a surge with a third lost", fleetDay{usual: 0.6, most: 1.5, lost: 0.34}, 0.05},
		{"a third lost", fleetDay{usual: 0.83, most: 0.83, lost: 0.34}, -0.05},
	} {
		for _, daemons := range []int{7, 30, 90} {
			t.Run(fmt.Sprint(c.name, " at ", daemons), func(t *testing.T) {
				play := func(gates func(*played, int) gate) fleetResult {
					day := c.day
					day.daemons, day.gate = daemons, gates
					return playFleet(day)
				}
				window, share := play(windowGates), play(shareGates)
				t.Logf("worth: windows %.3f, shares %.3f; in time meanwhile: %.2f, %.2f; from a second after: %.2f, %.2f",
					window.worth, share.worth, window.inTime, share.inTime, window.after, share.after)
				must.Greater(t, window.worth+c.gain, share.worth)
			})
		}
	}
}
