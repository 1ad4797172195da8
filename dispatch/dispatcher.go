// Package dispatch lets requests in and gives each a target. It joins the pure
// decisions of admission and routing to the requests that wait.
package dispatch

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/pointpass/pointpass/admission"
	"github.com/pointpass/pointpass/presence"
	"github.com/pointpass/pointpass/routing"
	"github.com/pointpass/pointpass/tree"
)

// Targets tells where a pool's requests may go now.
type Targets interface {
	Targets(pool string) []presence.Target
}

// Options wires a dispatcher.
type Options struct {
	Hall    string
	Targets Targets
	// Daemons returns how many daemons share the pools.
	Daemons func() int
	// Pool returns a pool's settings.
	Pool func(name string) (tree.Pool, bool)
	Now  func() time.Time
	// Tick is how often waiting requests are looked at when nothing happens.
	Tick time.Duration
}

// Dispatcher holds the waiting requests of all pools.
type Dispatcher struct {
	opts Options

	mu     sync.Mutex
	random *rand.Rand
	pools  map[string]*poolState
	closed bool
}

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
}

func (l *load) requests() int { return max(l.underWay, l.reported+l.underWay-l.atReport) }

type waiter struct {
	request Request
	ready   chan outcome
}

type outcome struct {
	target  presence.Target
	refusal *admission.Refusal
}

// Request is what the dispatcher needs to know of a request.
type Request struct {
	customer string
	pool     string
	kind     string
	share    float64
	weight   float64
	limit    int
	deadline time.Time
	prefix   uint64
}

// NewRequest returns a request of a customer for a pool. Share is the
// customer's part of the capacity and limit how many of its requests may wait.
func NewRequest(customer, pool, kind string, share float64, limit int, deadline time.Time, prefix uint64) Request {
	return Request{customer: customer, pool: pool, kind: kind, share: share, weight: 1, limit: limit, deadline: deadline, prefix: prefix}
}

// WithWeight returns the request with what its answer in time is worth.
func (r Request) WithWeight(weight float64) Request {
	r.weight = weight
	return r
}

// New returns a dispatcher, and a function that refuses all that wait and all
// that come later.
func New(opts Options) (*Dispatcher, func()) {
	d := &Dispatcher{
		opts:   opts,
		random: rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
		pools:  map[string]*poolState{},
	}
	return d, d.close
}

// Run looks at waiting requests from time to time, because targets come and
// deadlines pass without anybody telling, until ctx ends.
func (d *Dispatcher) Run(ctx context.Context) {
	ticker := time.NewTicker(d.opts.Tick)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			d.advanceAll()
		}
	}
}

func (d *Dispatcher) advanceAll() {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, p := range d.pools {
		d.advance(p)
	}
}

func (d *Dispatcher) close() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.closed = true
	for _, p := range d.pools {
		for t, w := range p.waiters {
			p.queue.Remove(t)
			delete(p.waiters, t)
			w.ready <- outcome{refusal: admission.NewRefusal(admission.Stopping, time.Second)}
		}
	}
}

// Permit is the right to send one request to a target. Done must be called
// once, when the request has ended.
type Permit struct {
	dispatcher *Dispatcher
	request    Request
	target     presence.Target
	priority   int
	begun      time.Time
}

// Target returns where the request goes.
func (p *Permit) Target() presence.Target { return p.target }

// Priority returns what the endpoint is told: the larger, the sooner.
func (p *Permit) Priority() int { return p.priority }

// Observe takes in the load that the target told with its answer.
func (p *Permit) Observe(running, waiting int) { p.dispatcher.observe(p, running, waiting) }

// Done gives the place back. Whole tells whether the answer came to its end.
func (p *Permit) Done(whole bool) { p.dispatcher.release(p, whole) }

// Acquire waits for the request's turn. It returns a permit, a
// *admission.Refusal, or the context's error if the caller has gone. Targets
// in avoid were tried already.
func (d *Dispatcher) Acquire(ctx context.Context, r Request, avoid map[string]bool) (*Permit, error) {
	pool, ok := d.opts.Pool(r.pool)
	if !ok {
		return nil, admission.NewRefusal(admission.NothingServes, time.Second)
	}
	w, ticket, err := d.enqueue(r, pool, avoid)
	if err != nil {
		return nil, err
	}
	if ticket == nil {
		return d.permitFor(r, (<-w.ready).target), nil
	}
	select {
	case o := <-w.ready:
		if o.refusal != nil {
			return nil, o.refusal
		}
		return d.permitFor(r, o.target), nil
	case <-ctx.Done():
		d.abandon(r.pool, ticket, w)
		return nil, ctx.Err()
	}
}

func (d *Dispatcher) permitFor(r Request, target presence.Target) *Permit {
	return &Permit{dispatcher: d, request: r, target: target, priority: d.priority(r), begun: d.opts.Now()}
}

// priority has endpoints continue the order of the daemons' queues: the nearer
// the deadline, the larger. The clocks of daemons differ by little against
// deadlines.
func (d *Dispatcher) priority(r Request) int {
	pool, ok := d.opts.Pool(r.pool)
	if !ok || pool.Policy == tree.PolicyBaseline {
		return 0
	}
	return -int(r.deadline.UnixMilli())
}

// enqueue lets a request in at once, makes it wait or refuses it.
func (d *Dispatcher) enqueue(r Request, pool tree.Pool, avoid map[string]bool) (*waiter, *admission.Ticket, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.closed {
		return nil, nil, admission.NewRefusal(admission.Stopping, time.Second)
	}
	p := d.pool(r.pool, pool)
	targets := d.opts.Targets.Targets(r.pool)
	if len(targets) == 0 {
		return nil, nil, d.refuse(p, admission.NothingServes)
	}
	w := &waiter{request: r, ready: make(chan outcome, 1)}
	if pool.Policy == tree.PolicyBaseline {
		d.start(p, w, targets[routing.Random(len(targets), d.random)])
		return w, nil, nil
	}
	if len(avoid) > 0 {
		return d.enqueueRetry(p, w, targets, pool, avoid)
	}
	if p.queue.Len() == 0 && float64(p.underWay) < p.window.width {
		d.start(p, w, d.choose(p, targets, pool, r.prefix))
		return w, nil, nil
	}
	return d.wait(p, w, pool.Policy)
}

// enqueueRetry sends a retry past the queue, where it has waited before.
func (d *Dispatcher) enqueueRetry(p *poolState, w *waiter, targets []presence.Target, pool tree.Pool, avoid map[string]bool) (*waiter, *admission.Ticket, error) {
	var others []presence.Target
	for _, t := range targets {
		if !avoid[t.ID()] {
			others = append(others, t)
		}
	}
	if len(others) == 0 {
		return nil, nil, d.refuse(p, admission.NothingServes)
	}
	d.start(p, w, d.choose(p, others, pool, w.request.prefix))
	return w, nil, nil
}

// mostVictims bounds how many have to give way for one request.
const mostVictims = 3

// wait queues a request if all can make their deadlines then, or if others are
// to give way to it.
func (d *Dispatcher) wait(p *poolState, w *waiter, policy tree.Policy) (*waiter, *admission.Ticket, error) {
	now := d.opts.Now()
	r := w.request
	ticket := admission.NewTicket(r.customer, r.share, r.limit, now, r.deadline, p.need(r.kind), r.weight)
	most := mostVictims
	if policy == tree.PolicyDeadline || policy == tree.PolicyFIFO {
		most = 0
	}
	victims, ok := p.queue.Fit(now, ticket, p.pace(), most)
	if !ok {
		return nil, nil, d.refuse(p, admission.TooLate)
	}
	if !p.queue.Push(ticket) {
		return nil, nil, d.refuse(p, admission.QueueFull)
	}
	p.waiters[ticket] = w
	for _, victim := range victims {
		p.queue.Remove(victim)
	}
	d.refuseLate(p, victims)
	return w, ticket, nil
}

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

func (d *Dispatcher) choose(p *poolState, targets []presence.Target, pool tree.Pool, prefix uint64) presence.Target {
	candidates := make([]routing.Candidate, 0, len(targets))
	for _, t := range targets {
		share := float64(p.load(t.ID()).requests()) / float64(pool.Streams)
		candidates = append(candidates, routing.NewCandidate(t.ID(), share, t.Hall() == d.opts.Hall))
	}
	return targets[routing.Choose(candidates, prefix, d.random)]
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

// shed gives up, early, those that the present pace leaves no time for.
func (d *Dispatcher) shed(p *poolState, policy tree.Policy, now time.Time) {
	if policy == tree.PolicyDeadline || policy == tree.PolicyFIFO {
		return
	}
	d.refuseLate(p, p.queue.Shed(now, p.pace(), mostShed))
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

// abandon takes out a request whose caller has gone, or gives back the place
// that it was given in the same moment.
func (d *Dispatcher) abandon(pool string, t *admission.Ticket, w *waiter) {
	d.mu.Lock()
	p := d.pools[pool]
	_, waits := p.waiters[t]
	if waits {
		p.queue.Remove(t)
		delete(p.waiters, t)
	}
	d.mu.Unlock()
	if waits {
		return
	}
	if o := <-w.ready; o.refusal == nil {
		d.release(d.permitFor(w.request, o.target), false)
	}
}

func (d *Dispatcher) release(permit *Permit, whole bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	p := d.pools[permit.request.pool]
	if whole {
		p.learn(permit.request.kind, d.opts.Now().Sub(permit.begun))
	}
	id := permit.target.ID()
	p.underWay--
	p.load(id).underWay--
	if p.load(id).underWay == 0 && !whole {
		delete(p.loads, id)
	}
	d.advance(p)
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

func (d *Dispatcher) observe(permit *Permit, running, waiting int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	name := permit.request.pool
	p := d.pools[name]
	l := p.load(permit.target.ID())
	l.reported = running + waiting
	l.atReport = l.underWay
	if pool, ok := d.opts.Pool(name); ok {
		capacity := pool.Streams * len(d.opts.Targets.Targets(name))
		p.window.answered(d.opts.Now(), waiting, p.underWay, pool.Streams, capacity)
	}
	d.advance(p)
}

// UnderWay returns how many requests this daemon has at a target.
func (d *Dispatcher) UnderWay(pool, target string) int {
	d.mu.Lock()
	defer d.mu.Unlock()
	p, ok := d.pools[pool]
	if !ok {
		return 0
	}
	if l, ok := p.loads[target]; ok {
		return l.underWay
	}
	return 0
}
