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
	name      string
	order     admission.Order
	queue     *admission.Queue
	window    window
	underWay  int
	loads     map[string]*load // by target
	occupancy map[string]*admission.Estimate
	overall   admission.Estimate
	returns   admission.Appointments
	waiters   map[*admission.Ticket]*waiter
}

// load is what is known of a target's load: its last report and what this
// daemon has had under way there since.
type load struct {
	underWay int
	reported int
	atReport int // underWay when the report came
	refusals retry.Backoff
}

// How long a target gets no new requests that turned one away: for as long as callers are
// told to wait at first.
const (
	firstBackoff = time.Second
	mostBackoff  = 4 * time.Second
)

func (l *load) requests() int { return max(l.underWay, l.reported+l.underWay-l.atReport) }

// refuse books a place for the caller's return.
func (d *Dispatcher) refuse(p *poolState, reason admission.Reason) *admission.Refusal {
	each := p.pace()
	backlog := time.Duration(p.queue.Len()) * each
	return admission.NewRefusal(reason, p.returns.Book(d.opts.Now(), backlog, each, d.random.Float64()))
}

func (p *poolState) need(kind string) time.Duration {
	if e, ok := p.occupancy[kind]; ok {
		return e.Likely()
	}
	return 0
}

func (d *Dispatcher) pool(name string, pool tree.Pool) *poolState {
	p, ok := d.pools[name]
	if !ok {
		capacity := pool.Streams * len(d.opts.Targets.Targets(name))
		p = &poolState{
			name:      name,
			window:    newWindow(capacity, d.opts.Daemons()),
			loads:     map[string]*load{},
			occupancy: map[string]*admission.Estimate{},
			waiters:   map[*admission.Ticket]*waiter{},
		}
		d.pools[name] = p
	}
	if order := orderOf(pool.Policy); p.queue == nil || (order != p.order && p.queue.Len() == 0) {
		p.order = order
		p.queue = admission.NewQueue(order)
	}
	return p
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

// choose returns the target for a request. Those that turned one away just now are left out,
// unless all did: trying one is better than refusing.
func (d *Dispatcher) choose(p *poolState, targets []presence.Target, pool tree.Pool, prefix uint64) presence.Target {
	if willing := p.willing(targets, d.opts.Now()); len(willing) > 0 {
		targets = willing
	}
	candidates := make([]routing.Candidate, 0, len(targets))
	for _, t := range targets {
		share := float64(p.load(t.ID()).requests()) / float64(pool.Streams)
		candidates = append(candidates, routing.NewCandidate(t.ID(), share, t.Hall() == d.opts.Hall))
	}
	return targets[routing.Choose(candidates, prefix, d.random)]
}

// willing returns the targets that have turned nothing away just now.
func (p *poolState) willing(targets []presence.Target, now time.Time) []presence.Target {
	refuses := func(t presence.Target) bool { return p.load(t.ID()).refusals.Active(now) }
	if !slices.ContainsFunc(targets, refuses) {
		return targets
	}
	return slices.DeleteFunc(slices.Clone(targets), refuses)
}

func (d *Dispatcher) start(p *poolState, w *waiter, target presence.Target) {
	p.underWay++
	p.load(target.ID()).underWay++
	w.ready <- outcome{target: target}
}

// advance lets in as many as there are places for, and refuses who would be
// too late.
func (d *Dispatcher) advance(p *poolState) {
	pool, ok := d.opts.Pool(p.name)
	if !ok || p.queue.Len() == 0 {
		return
	}
	targets := d.opts.Targets.Targets(p.name)
	now := d.opts.Now()
	for len(targets) > 0 && float64(p.underWay) < p.window.width {
		next, late := p.queue.Pop(now)
		d.refuseLate(p, late)
		if next == nil {
			return
		}
		w := p.waiters[next]
		delete(p.waiters, next)
		d.start(p, w, d.choose(p, targets, pool, w.request.prefix))
	}
	if len(targets) == 0 {
		d.refuseExpired(p, now)
		return
	}
	d.shed(p, pool.Policy, now)
}

// mostShed bounds how many are given up at a time.
const mostShed = 20

// shedPace makes the pace look better than measured when waiting requests are
// given up, since that can't be taken back and the pace is an estimate.
const shedPace = 0.75

// shed gives up, early, those that the present pace leaves no time for.
func (d *Dispatcher) shed(p *poolState, policy tree.Policy, now time.Time) {
	if policy == tree.PolicyDeadline || policy == tree.PolicyFIFO {
		return
	}
	hopeful := time.Duration(shedPace * float64(p.pace()))
	d.refuseLate(p, p.queue.Shed(now, hopeful, mostShed))
}

// pace returns how long the queue takes to let one request in.
func (p *poolState) pace() time.Duration {
	return admission.Wait(1, p.window.width, p.overall.Mean())
}

// refuseExpired refuses those whose deadline passes while nothing serves.
func (d *Dispatcher) refuseExpired(p *poolState, now time.Time) {
	for t := range p.waiters {
		if now.After(t.Deadline()) && p.queue.Remove(t) {
			d.refuseLate(p, []*admission.Ticket{t})
		}
	}
}

func (d *Dispatcher) refuseLate(p *poolState, late []*admission.Ticket) {
	for _, t := range late {
		w := p.waiters[t]
		delete(p.waiters, t)
		w.ready <- outcome{refusal: d.refuse(p, admission.TooLate)}
	}
}

func (p *poolState) learn(kind string, took time.Duration) {
	e, ok := p.occupancy[kind]
	if !ok {
		e = &admission.Estimate{}
		p.occupancy[kind] = e
	}
	e.Add(took)
	p.overall.Add(took)
}
