package dispatch

import (
	"time"

	"github.com/pointpass/pointpass/presence"
	"github.com/pointpass/pointpass/tree"
)

// Permit is the right to send one request to a target. Either Done or Refused must be called
// once, when the request has ended.
type Permit struct {
	dispatcher *Dispatcher
	request    Request
	target     presence.Target
	priority   int
	startedAt  time.Time
}

// Target returns the target of the request.
func (p *Permit) Target() presence.Target { return p.target }

// Priority returns the priority to send to the endpoint: larger values are processed first.
func (p *Permit) Priority() int { return p.priority }

// Observe records the load that the target reported with its answer.
func (p *Permit) Observe(running, waiting int) { p.dispatcher.observe(p, running, waiting) }

// Done releases the permit. Complete reports whether the whole answer was received.
func (p *Permit) Done(complete bool) { p.dispatcher.release(p, complete) }

// Refused releases the permit after the target refused the request.
func (p *Permit) Refused() {
	p.dispatcher.recordRefusal(p)
	p.dispatcher.release(p, false)
}

func (d *Dispatcher) permitFor(r Request, target presence.Target) *Permit {
	return &Permit{dispatcher: d, request: r, target: target, priority: d.priority(r), startedAt: d.opts.Now()}
}

// priority makes endpoints continue the order of the daemons' queues: the earlier the deadline,
// the larger the value. Differences between the clocks of daemons are small compared to
// deadlines.
func (d *Dispatcher) priority(r Request) int {
	pool, ok := d.opts.Pool(r.pool)
	if !ok || pool.Policy == tree.PolicyBaseline {
		return 0
	}
	return -int(r.deadline.UnixMilli())
}

func (d *Dispatcher) recordRefusal(permit *Permit) {
	d.mu.Lock()
	defer d.mu.Unlock()
	l := d.pools[permit.request.pool].load(permit.target.ID())
	l.refusals.Refused(d.opts.Now(), initialBackoff, maxBackoff)
}

func (d *Dispatcher) release(permit *Permit, complete bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	p := d.pools[permit.request.pool]
	if complete {
		p.recordServiceTime(permit.request.kind, d.opts.Now().Sub(permit.startedAt))
	}
	id := permit.target.ID()
	p.inFlight--
	p.load(id).inFlight--
	if l := p.load(id); complete {
		l.refusals.Accepted()
	} else if l.inFlight == 0 && !l.refusals.Active(d.opts.Now()) {
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
	l.inFlightAtReport = l.inFlight
	if pool, ok := d.opts.Pool(name); ok {
		capacity := pool.Streams * len(d.opts.Targets.Targets(name))
		p.window.update(d.opts.Now(), waiting, p.inFlight, pool.Streams, capacity)
	}
	d.advance(p)
}
