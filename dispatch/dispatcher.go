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
