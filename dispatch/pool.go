package dispatch

import (
	"slices"
	"time"

	"github.com/pointpass/pointpass/admission"
	"github.com/pointpass/pointpass/presence"
	"github.com/pointpass/pointpass/retry"
	"github.com/pointpass/pointpass/routing"
	"github.com/pointpass/pointpass/tree"
)

type poolState struct {
	name               string
	order              admission.Order
	queue              *admission.Queue
	window             window
	sized              bool // the window was set by the number of targets
	inFlight           int
	loads              map[string]*load // by target
	serviceTimes       map[string]*admission.Estimate
	overallServiceTime admission.Estimate
	retrySchedule      admission.RetrySchedule
	waiters            map[*admission.Ticket]*waiter
}

// load tracks a target's load: its last report and this daemon's requests in flight there, now
// and at the report.
type load struct {
	inFlight         int
	reported         int
	inFlightAtReport int // inFlight when the report came
	refusals         retry.Backoff
}

// Bounds of the backoff of a target that refused a request. It starts with the least time that
// rejected callers have to wait before they retry.
const (
	initialBackoff = time.Second
	maxBackoff     = 4 * time.Second
)

func (l *load) requests() int { return max(l.inFlight, l.reported+l.inFlight-l.inFlightAtReport) }

// refuse returns a refusal with a time for the caller to retry, reserved in retrySchedule.
func (d *Dispatcher) refuse(p *poolState, reason admission.Reason) *admission.Refusal {
	interval := p.admitInterval()
	backlog := time.Duration(p.queue.Len()) * interval
	return admission.NewRefusal(reason, p.retrySchedule.Reserve(d.opts.Now(), backlog, interval, d.random.Float64()))
}

func (p *poolState) expectedServiceTime(kind string) time.Duration {
	if e, ok := p.serviceTimes[kind]; ok {
		return e.MeanPlusDeviation()
	}
	return 0
}

func (d *Dispatcher) pool(name string, pool tree.Pool) *poolState {
	p, ok := d.pools[name]
	if !ok {
		p = &poolState{
			name:         name,
			window:       newWindow(0, 1),
			loads:        map[string]*load{},
			serviceTimes: map[string]*admission.Estimate{},
			waiters:      map[*admission.Ticket]*waiter{},
		}
		d.pools[name] = p
	}
	if order := orderOf(pool.Policy); p.queue == nil || (order != p.order && p.queue.Len() == 0) {
		p.order = order
		p.queue = admission.NewQueue(order)
	}
	return p
}

// size sets the window once the pool has targets.
func (d *Dispatcher) size(p *poolState, pool tree.Pool, targets int) {
	if p.sized || targets == 0 {
		return
	}
	p.sized = true
	p.window = newWindow(pool.Streams*targets, d.opts.Daemons())
}

func orderOf(policy tree.Policy) admission.Order {
	switch policy {
	case tree.PolicyFIFO:
		return admission.FIFO
	case tree.PolicySlack:
		return admission.LeastSlack
	}
	return admission.EarliestDeadline
}

func (p *poolState) load(target string) *load {
	l, ok := p.loads[target]
	if !ok {
		l = &load{}
		p.loads[target] = l
	}
	return l
}

// choose returns the target for a request. Targets that recently refused a request are skipped
// unless all did: trying one is better than rejecting the request.
func (d *Dispatcher) choose(p *poolState, targets []presence.Target, pool tree.Pool, prefix uint64) presence.Target {
	if accepting := p.accepting(targets, d.opts.Now()); len(accepting) > 0 {
		targets = accepting
	}
	candidates := make([]routing.Candidate, 0, len(targets))
	for _, t := range targets {
		share := float64(p.load(t.ID()).requests()) / float64(pool.Streams)
		candidates = append(candidates, routing.NewCandidate(t.ID(), share, t.Hall() == d.opts.Hall))
	}
	return targets[routing.Choose(candidates, prefix, d.random)]
}

// accepting returns the targets that haven't recently refused a request.
func (p *poolState) accepting(targets []presence.Target, now time.Time) []presence.Target {
	refuses := func(t presence.Target) bool { return p.load(t.ID()).refusals.Active(now) }
	if !slices.ContainsFunc(targets, refuses) {
		return targets
	}
	return slices.DeleteFunc(slices.Clone(targets), refuses)
}

func (d *Dispatcher) admit(p *poolState, w *waiter, target presence.Target) {
	p.inFlight++
	p.load(target.ID()).inFlight++
	w.ready <- outcome{target: target}
}

// advance admits queued requests while the window has room, and rejects those that would be too
// late.
func (d *Dispatcher) advance(p *poolState) {
	pool, ok := d.opts.Pool(p.name)
	if !ok || p.queue.Len() == 0 {
		return
	}
	targets := d.opts.Targets.Targets(p.name)
	d.size(p, pool, len(targets))
	now := d.opts.Now()
	for len(targets) > 0 && float64(p.inFlight) < p.window.size {
		next, late := p.queue.Pop(now)
		d.refuseLate(p, late)
		if next == nil {
			return
		}
		w := p.waiters[next]
		delete(p.waiters, next)
		d.admit(p, w, d.choose(p, targets, pool, w.request.prefix))
	}
	if len(targets) == 0 {
		d.refuseExpired(p, now)
		d.refuseUnserved(p, now)
		return
	}
	d.shed(p, pool.Policy, now)
}

// maxShed bounds how many requests are shed at a time.
const maxShed = 20

// shedIntervalFactor shortens the estimated admit interval for shedding: the interval is only
// an estimate, and shedding can't be undone.
const shedIntervalFactor = 0.75

// shed rejects queued requests early that can't meet their deadlines at the current admit
// interval.
func (d *Dispatcher) shed(p *poolState, policy tree.Policy, now time.Time) {
	if policy == tree.PolicyDeadline || policy == tree.PolicyFIFO {
		return
	}
	optimisticInterval := time.Duration(shedIntervalFactor * float64(p.admitInterval()))
	d.refuseLate(p, p.queue.Shed(now, optimisticInterval, maxShed))
}

// admitInterval returns the average time between two admissions from the queue.
func (p *poolState) admitInterval() time.Duration {
	return admission.Wait(1, p.window.size, p.overallServiceTime.Mean())
}

// refuseExpired rejects requests whose deadline passes while the pool has no targets.
func (d *Dispatcher) refuseExpired(p *poolState, now time.Time) {
	for t := range p.waiters {
		if now.After(t.Deadline()) && p.queue.Remove(t) {
			d.refuseLate(p, []*admission.Ticket{t})
		}
	}
}

// refuseUnserved rejects the requests that waited for evidence of their pool's targets once that
// shows that there are none, or takes too long.
func (d *Dispatcher) refuseUnserved(p *poolState, now time.Time) {
	unknown := d.opts.Targets.Unknown(p.name)
	for t, w := range p.waiters {
		if w.unknownUntil.IsZero() || unknown && now.Before(w.unknownUntil) || !p.queue.Remove(t) {
			continue
		}
		delete(p.waiters, t)
		w.ready <- outcome{refusal: d.refuse(p, admission.NothingServes)}
	}
}

func (d *Dispatcher) refuseLate(p *poolState, tickets []*admission.Ticket) {
	for _, t := range tickets {
		w := p.waiters[t]
		delete(p.waiters, t)
		w.ready <- outcome{refusal: d.refuse(p, admission.TooLate)}
	}
}

func (p *poolState) recordServiceTime(kind string, took time.Duration) {
	e, ok := p.serviceTimes[kind]
	if !ok {
		e = &admission.Estimate{}
		p.serviceTimes[kind] = e
	}
	e.Add(took)
	p.overallServiceTime.Add(took)
}
