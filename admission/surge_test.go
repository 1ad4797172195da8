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

// gate is the admission control of one simulated daemon.
type gate interface {
	// Enter admits a request, and returns nil if it is refused.
	Enter(e Request) *Permit
	// RetryDelay returns after how long a refused request should be retried.
	RetryDelay(goal time.Duration, random float64) time.Duration
}

// windowGate uses a window without a share.
type windowGate struct{ *Window }

func (g windowGate) RetryDelay(goal time.Duration, random float64) time.Duration {
	return time.Duration((0.2 + 0.4*random) * float64(g.Slack(goal)))
}

// fleetScenario describes a simulated surge.
type fleetScenario struct {
	daemons int
	// baseLoad is the load before and after the surge, and surgeLoad the load in it, as
	// fractions of the capacity of all groups.
	baseLoad, surgeLoad float64
	// lost is the fraction of the groups that become silent when the surge starts.
	lost float64
	gate func(p *fleetSim, daemon int) gate
}

// fleetResult is the result of a simulated surge.
type fleetResult struct {
	// inTime is the fraction of the surge's requests in time, of those that arrived or could
	// be served, whichever is less. after is the fraction in time of the requests that
	// arrive more than a second after the surge.
	inTime, after float64
	// value is the average value of the requests: 1 in time, lateValue late, and
	// refusedTwiceValue if the retry was refused too.
	value float64
}

// The groups and clients of a simulated surge.
const (
	simQueueSize = 2 * simSlots
	// simSilenceTimeout is the time after which a request leaves a silent group.
	simSilenceTimeout = 900 * time.Millisecond
	simDeadline       = 6 * time.Second
	// simReconnect is the time that a retry takes beyond its delay: a new connection, in
	// another hall.
	simReconnect      = 60 * time.Millisecond
	lateValue         = 0.25
	refusedTwiceValue = -0.3
	simBefore         = 4 * time.Second
	simSurge          = 8 * time.Second
	simAfter          = 6 * time.Second
)

// groupActivity is what a daemon sees of a group: its own requests that run there.
type groupActivity struct {
	running int
	last    time.Time
}

// daemonActivity implements Activity for one daemon. Running requests get events all the
// time.
type daemonActivity struct {
	p *fleetSim
	d int
}

func (s daemonActivity) Silence(group string, since, now time.Time) time.Duration {
	activity := s.p.activityOf(s.d, group)
	if activity.running > 0 {
		return 0
	}
	if activity.last.After(since) {
		since = activity.last
	}
	return now.Sub(since)
}

func (p *fleetSim) activityOf(d int, group string) *groupActivity {
	if p.activities[d][group] == nil {
		p.activities[d][group] = &groupActivity{}
	}
	return p.activities[d][group]
}

// fleetSim is the state of a simulated surge.
type fleetSim struct {
	fleetScenario
	random     *rand.Rand
	queue      eventQueue
	groups     []simGroup
	gates      []gate
	own        [][]int // requests in flight by daemon and group
	activities []map[string]*groupActivity
	rates      []float64
	ratedAt    []time.Time

	startTime, surgeStart, surgeEnd, end       time.Time
	total, value                               float64
	arrived, inTime, arrivedAfter, inTimeAfter int
}

type simGroup struct {
	busy    int
	silent  bool
	waiting []*simRequest
}

type simRequest struct {
	daemon  int
	arrived time.Time
	retried bool
	rank    float64
	place   *Permit
	sent    time.Time
}

func (p *fleetSim) at(now time.Time, do func(time.Time)) { heap.Push(&p.queue, simEvent{now, do}) }

// capacity returns how many requests a second the working groups can serve.
func (p *fleetSim) capacity() float64 {
	n := 0
	for _, g := range p.groups {
		if !g.silent {
			n++
		}
	}
	return float64(n*simSlots) / simMeanDuration.Seconds()
}

func simulateFleet(s fleetScenario) fleetResult {
	p := &fleetSim{fleetScenario: s, random: rand.New(rand.NewPCG(5, uint64(s.daemons))), startTime: time.Unix(1000, 0)}
	p.groups = make([]simGroup, max(6, s.daemons/5))
	full := p.capacity()
	p.rates, p.ratedAt = make([]float64, s.daemons), make([]time.Time, s.daemons)
	for i := range s.daemons {
		p.activities = append(p.activities, map[string]*groupActivity{})
		p.gates = append(p.gates, s.gate(p, i))
		p.own = append(p.own, make([]int, len(p.groups)))
	}
	p.surgeStart = p.startTime.Add(simBefore)
	p.surgeEnd = p.surgeStart.Add(simSurge)
	p.end = p.surgeEnd.Add(simAfter)
	p.at(p.surgeStart, func(time.Time) {
		for i := range int(s.lost * float64(len(p.groups))) {
			p.groups[i].silent = true
		}
	})
	for now := p.startTime; now.Before(p.end); {
		rate := s.baseLoad * full
		if now.After(p.surgeStart) && now.Before(p.surgeEnd) {
			rate = s.surgeLoad * full
		}
		now = now.Add(time.Duration(p.random.ExpFloat64() / rate * float64(time.Second)))
		// The first daemons get up to twice the traffic of the others.
		r := &simRequest{daemon: min(p.random.IntN(s.daemons), p.random.IntN(s.daemons)), arrived: now, rank: p.random.Float64()}
		p.at(now, func(now time.Time) { p.arrive(r, now) })
	}
	for p.queue.Len() > 0 {
		e := heap.Pop(&p.queue).(simEvent)
		e.do(e.at)
	}
	servable := min(float64(p.arrived), p.capacity()*simSurge.Seconds())
	return fleetResult{inTime: float64(p.inTime) / servable, after: float64(p.inTimeAfter) / float64(p.arrivedAfter), value: p.value / p.total}
}

func (p *fleetSim) duringSurge(t time.Time) bool {
	return t.After(p.surgeStart) && t.Before(p.surgeEnd)
}
func (p *fleetSim) afterSurge(t time.Time) bool { return t.After(p.surgeEnd.Add(time.Second)) }

func (p *fleetSim) arrive(r *simRequest, now time.Time) {
	if !r.retried {
		p.total++
		switch {
		case p.duringSurge(r.arrived):
			p.arrived++
		case p.afterSurge(r.arrived):
			p.arrivedAfter++
		}
	}
	p.countArrival(r.daemon, now)
	r.place = p.gates[r.daemon].Enter(Request{At: now, Goal: testGoal, Rate: Unknown, Random: p.random.Float64(), Rank: r.rank})
	if r.place != nil {
		p.send(r, now)
		return
	}
	if r.retried {
		p.value += refusedTwiceValue
		return
	}
	r.retried = true
	p.at(now.Add(simReconnect+p.gates[r.daemon].RetryDelay(testGoal, p.random.Float64())), func(now time.Time) {
		r.daemon = p.random.IntN(p.daemons)
		p.arrive(r, now)
	})
}

// countArrival counts a request in the daemon's average over a second.
func (p *fleetSim) countArrival(d int, now time.Time) {
	p.rates[d] = p.rateOf(d, now) + 1
	p.ratedAt[d] = now
}

func (p *fleetSim) rateOf(d int, now time.Time) float64 {
	return p.rates[d] * math.Exp(-now.Sub(p.ratedAt[d]).Seconds())
}

// send sends a request to the group at which its daemon has the fewest in flight.
func (p *fleetSim) send(r *simRequest, now time.Time) {
	g, best := 0, math.Inf(1)
	for i := range p.groups {
		if p.groups[i].silent && now.After(p.surgeStart.Add(simSilenceTimeout)) {
			continue // excluded as silent by now
		}
		if n := float64(p.own[r.daemon][i]) + 0.25*p.random.Float64(); n < best {
			g, best = i, n
		}
	}
	group := &p.groups[g]
	r.place.Sent(now, fmt.Sprint(g))
	r.sent = now
	p.own[r.daemon][g]++
	leaveGroup := func(now time.Time) { p.own[r.daemon][g]-- }
	switch {
	case group.silent:
		p.at(now.Add(simSilenceTimeout), func(now time.Time) { leaveGroup(now); p.send(r, now) })
		return
	case len(group.waiting) >= simQueueSize:
		leaveGroup(now)
		p.at(now.Add(20*time.Millisecond), func(now time.Time) { // retries at another group
			if now.Sub(r.arrived) < simDeadline {
				p.send(r, now)
				return
			}
			r.place.Leave(now)
		})
		return
	}
	group.waiting = append(group.waiting, r)
	p.startQueued(g, now)
}

// startQueued starts the queued requests of a group that has free slots.
func (p *fleetSim) startQueued(g int, now time.Time) {
	group := &p.groups[g]
	for !group.silent && group.busy < simSlots && len(group.waiting) > 0 {
		r := group.waiting[0]
		group.waiting = group.waiting[1:]
		if now.Sub(r.arrived) > simDeadline {
			r.place.Leave(now)
			p.own[r.daemon][g]--
			continue
		}
		group.busy++
		activity := p.activityOf(r.daemon, fmt.Sprint(g))
		p.at(now.Add(simFirstEvent), func(now time.Time) {
			activity.running++
			p.firstEvent(r, now)
		})
		duration := time.Duration((0.5 + p.random.Float64()) * float64(simMeanDuration))
		p.at(now.Add(duration), func(now time.Time) {
			group.busy--
			activity.running--
			activity.last = now
			p.own[r.daemon][g]--
			r.place.Leave(now)
			p.startQueued(g, now)
		})
	}
}

func (p *fleetSim) firstEvent(r *simRequest, now time.Time) {
	r.place.FirstEvent(now)
	if now.Sub(r.arrived) > testGoal {
		p.value += lateValue
		return
	}
	p.value++
	switch {
	case p.duringSurge(r.arrived):
		p.inTime++
	case p.afterSurge(r.arrived):
		p.inTimeAfter++
	}
}

// shareGate computes its share of the groups from average request rates, its daemon's own
// and that of all.
type shareGate struct {
	windowGate
	p                      *fleetSim
	d                      int
	own, all, load, recent float64
	at                     time.Time
}

func (g *shareGate) Enter(e Request) *Permit {
	p := g.p
	if e.At.Sub(g.at) > time.Second {
		weight := max(1/(e.At.Sub(p.startTime).Truncate(time.Second).Seconds()+1), 0.1)
		all := 0.0
		for d := range p.daemons {
			all += p.rateOf(d, e.At)
		}
		g.own += weight * (p.rateOf(g.d, e.At) - g.own)
		g.all += weight * (all - g.all)
		g.load, g.recent = g.recent, all*(simMeanDuration/simSlots).Seconds()
		g.at = e.At
	}
	e.Work = simMeanDuration / simSlots
	e.Rate = p.capacity() * e.Work.Seconds() * g.own / max(g.all, 1)
	e.Load = g.load / (p.capacity() * (simMeanDuration / simSlots).Seconds())
	e.Work = time.Duration(float64(e.Work))
	return g.windowGate.Enter(e)
}

func windowGates(p *fleetSim, d int) gate { return windowGate{NewWindow(daemonActivity{p, d})} }

func shareGates(p *fleetSim, d int) gate {
	return &shareGate{windowGate: windowGate{NewWindow(daemonActivity{p, d})}, p: p, d: d}
}

// TestShare_WhatIsLeftIsServedInTime guards against shares that serve less in time than
// windows alone. It simulates fleets whose daemons choose groups by their own requests and
// see only these, while a surge or a loss of groups overloads the rest. Refused clients
// retry once. Shares must earn more value than windows alone in a surge, and lose almost
// nothing at a load within the capacity.
func TestShare_WhatIsLeftIsServedInTime(t *testing.T) {
	for _, c := range []struct {
		name     string
		scenario fleetScenario
		// gain is the value that shares must earn beyond windows alone, per request.
		gain float64
	}{
		{"a load that fits", fleetScenario{baseLoad: 0.8, surgeLoad: 0.8}, -0.005},
		{"a surge", fleetScenario{baseLoad: 0.83, surgeLoad: 2.1}, 0.05},
		{"a surge with a third lost", fleetScenario{baseLoad: 0.6, surgeLoad: 1.5, lost: 0.34}, 0.05},
		{"a third lost", fleetScenario{baseLoad: 0.83, surgeLoad: 0.83, lost: 0.34}, -0.05},
	} {
		for _, daemons := range []int{7, 30, 90} {
			t.Run(fmt.Sprint(c.name, " at ", daemons), func(t *testing.T) {
				simulate := func(gates func(*fleetSim, int) gate) fleetResult {
					scenario := c.scenario
					scenario.daemons, scenario.gate = daemons, gates
					return simulateFleet(scenario)
				}
				window, share := simulate(windowGates), simulate(shareGates)
				t.Logf("value: windows %.3f, shares %.3f; in time during the surge: %.2f, %.2f; from a second after: %.2f, %.2f",
					window.value, share.value, window.inTime, share.inTime, window.after, share.after)
				must.Greater(t, window.value+c.gain, share.value)
			})
		}
	}
}
