// Package dispatch admits requests and assigns each a target. It applies the decisions of
// packages admission and routing to the queued requests.
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

// Targets provides the targets that a pool's requests may currently go to.
type Targets interface {
	Targets(pool string) []presence.Target
	// Unknown reports whether a pool without targets may have some, which isn't known at present.
	Unknown(pool string) bool
}

// Options configures a dispatcher.
type Options struct {
	Hall    string
	Targets Targets
	// Daemons returns the number of daemons that share the pools.
	Daemons func() int
	// Pool returns a pool's settings.
	Pool func(name string) (tree.Pool, bool)
	Now  func() time.Time
	// Tick is the interval at which queued requests are processed without an event.
	Tick time.Duration
	// UnknownWait bounds how long a request waits until it is known whether its pool has targets.
	UnknownWait time.Duration
}

// Dispatcher holds the queued requests of all pools.
type Dispatcher struct {
	opts Options

	mu     sync.Mutex
	random *rand.Rand
	pools  map[string]*poolState
	closed bool
}

type waiter struct {
	request Request
	ready   chan outcome
	// unknownUntil is until when the request waits while it isn't known whether its pool has
	// targets, the zero time if the pool had some.
	unknownUntil time.Time
}

type outcome struct {
	target  presence.Target
	refusal *admission.Refusal
}

// Request is the part of a request that the dispatcher needs.
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

// NewRequest returns a request of a customer for a pool. Share is the customer's share of the
// capacity and limit the maximum number of its queued requests.
func NewRequest(customer, pool, kind string, share float64, limit int, deadline time.Time, prefix uint64) Request {
	return Request{customer: customer, pool: pool, kind: kind, share: share, weight: 1, limit: limit, deadline: deadline, prefix: prefix}
}

// WithWeight returns the request with the value of answering it in time.
func (r Request) WithWeight(weight float64) Request {
	r.weight = weight
	return r
}

// New returns a dispatcher, and a function that closes it: all queued and later requests are
// rejected.
func New(opts Options) (*Dispatcher, func()) {
	d := &Dispatcher{
		opts:   opts,
		random: rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
		pools:  map[string]*poolState{},
	}
	return d, d.close
}

// Run processes queued requests every Options.Tick until ctx ends, because targets may appear
// and deadlines may pass without an event.
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

// Acquire waits until the request is admitted. It returns a permit, a *admission.Refusal, or
// the context's error if ctx ends first. Targets in avoid have been tried already.
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

// enqueue admits a request at once, queues it or rejects it.
func (d *Dispatcher) enqueue(r Request, pool tree.Pool, avoid map[string]bool) (*waiter, *admission.Ticket, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.closed {
		return nil, nil, admission.NewRefusal(admission.Stopping, time.Second)
	}
	p := d.pool(r.pool, pool)
	targets := d.opts.Targets.Targets(r.pool)
	d.size(p, pool, len(targets))
	w := &waiter{request: r, ready: make(chan outcome, 1)}
	if len(targets) == 0 {
		if !d.opts.Targets.Unknown(r.pool) {
			return nil, nil, d.refuse(p, admission.NothingServes)
		}
		w.unknownUntil = d.opts.Now().Add(d.opts.UnknownWait)
		return d.wait(p, w, pool.Policy)
	}
	if pool.Policy == tree.PolicyBaseline {
		d.admit(p, w, targets[routing.Random(len(targets), d.random)])
		return w, nil, nil
	}
	if len(avoid) > 0 {
		return d.enqueueRetry(p, w, targets, pool, avoid)
	}
	if p.queue.Len() == 0 && float64(p.inFlight) < p.window.size {
		d.admit(p, w, d.choose(p, targets, pool, r.prefix))
		return w, nil, nil
	}
	return d.wait(p, w, pool.Policy)
}

// enqueueRetry admits a retry at once, since it has already waited in the queue.
func (d *Dispatcher) enqueueRetry(p *poolState, w *waiter, targets []presence.Target, pool tree.Pool, avoid map[string]bool) (*waiter, *admission.Ticket, error) {
	var untried []presence.Target
	for _, t := range targets {
		if !avoid[t.ID()] {
			untried = append(untried, t)
		}
	}
	if len(untried) == 0 {
		return nil, nil, d.refuse(p, admission.NothingServes)
	}
	d.admit(p, w, d.choose(p, untried, pool, w.request.prefix))
	return w, nil, nil
}

// maxVictims bounds how many queued requests may be rejected to make room for one.
const maxVictims = 3

// wait queues a request if all queued requests can then still meet their deadlines, or if
// others are rejected in its favor.
func (d *Dispatcher) wait(p *poolState, w *waiter, policy tree.Policy) (*waiter, *admission.Ticket, error) {
	now := d.opts.Now()
	r := w.request
	ticket := admission.NewTicket(r.customer, r.share, r.limit, now, r.deadline, p.expectedServiceTime(r.kind), r.weight)
	victimLimit := maxVictims
	if policy == tree.PolicyDeadline || policy == tree.PolicyFIFO {
		victimLimit = 0
	}
	victims, ok := p.queue.Fit(now, ticket, p.admitInterval(), victimLimit)
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

// abandon removes a request whose caller has gone. If the request has been admitted in the
// meantime, it releases its permit.
func (d *Dispatcher) abandon(pool string, t *admission.Ticket, w *waiter) {
	d.mu.Lock()
	p := d.pools[pool]
	_, stillQueued := p.waiters[t]
	if stillQueued {
		p.queue.Remove(t)
		delete(p.waiters, t)
	}
	d.mu.Unlock()
	if stillQueued {
		return
	}
	if o := <-w.ready; o.refusal == nil {
		d.release(d.permitFor(w.request, o.target), false)
	}
}

// InFlight returns the number of this daemon's requests in flight at a target.
func (d *Dispatcher) InFlight(pool, target string) int {
	d.mu.Lock()
	defer d.mu.Unlock()
	p, ok := d.pools[pool]
	if !ok {
		return 0
	}
	if l, ok := p.loads[target]; ok {
		return l.inFlight
	}
	return 0
}
