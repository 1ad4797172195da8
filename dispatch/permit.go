package dispatch

import (
	"time"

	"github.com/pointpass/pointpass/presence"
	"github.com/pointpass/pointpass/tree"
)

// Permit is the right to send one request to a target. Done or Refused must be called
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

// Refused gives the place back at a target that did not take the request.
func (p *Permit) Refused() {
	p.dispatcher.noteRefusal(p)
	p.dispatcher.release(p, false)
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

func (d *Dispatcher) noteRefusal(permit *Permit) {
	d.mu.Lock()
	defer d.mu.Unlock()
	l := d.pools[permit.request.pool].load(permit.target.ID())
	l.refusals.Refused(d.opts.Now(), firstBackoff, mostBackoff)
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
	if l := p.load(id); whole {
		l.refusals.Accepted()
	} else if l.underWay == 0 && !l.refusals.Active(d.opts.Now()) {
		delete(p.loads, id)
	}
	d.advance(p)
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
