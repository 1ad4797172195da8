package groups

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/phuslu/log"

	"github.com/pointpass/pointpass/config"
	"github.com/pointpass/pointpass/duty"
	"github.com/pointpass/pointpass/engine"
	"github.com/pointpass/pointpass/fleet"
	"github.com/pointpass/pointpass/table"
	"github.com/pointpass/pointpass/tree"
)

// Duties is what the controller needs to know of leases.
type Duties interface {
	HeldFor(name string) (epoch uint64, left time.Duration)
	HolderOf(name string) (duty.Holder, bool)
	Name() string
	Guard(txn *table.Txn, name string)
}

// Endpoints gives orders to VMs and asks for their state.
type Endpoints interface {
	Status(ctx context.Context, addr string) (engine.Status, error)
	Order(ctx context.Context, addr string, order engine.Order) error
}

// Store is what the controller writes to.
type Store interface {
	Commit(ctx context.Context, txn table.Txn) (uint64, error)
}

// Announcements marks VMs and groups whose stop is announced.
type Announcements interface {
	StopsVM(vm string) bool
	StopsGroup(group string) bool
}

// Spreader tells the other daemons of groups that have stopped.
type Spreader interface {
	GroupStopped(g Group)
}

// Options wires a controller.
type Options struct {
	Node      string
	Timing    config.Timing
	MaxLoads  int
	Duties    Duties
	Endpoints Endpoints
	Store     Store
	Stops     Announcements
	Spreader  Spreader
	Groups    *Registry
	Fleet     *fleet.Registry
	Tree      func() *tree.Tree
	// Changed asks for the table to be read again after a write.
	Changed func()
	Now     func() time.Time
	Log     *log.Logger
}

// Controller watches the domains whose duty this daemon has, and carries out
// what their plans say.
type Controller struct {
	opts Options

	mu       sync.Mutex
	sights   map[string]Sight     // by VM
	probing  map[string]bool      // VMs with a probe under way
	ordering map[string]bool      // VMs with an order under way
	stopped  map[string]bool      // groups that are over, whatever the table says
	ordersAt map[string]time.Time // domain to when orders may be given
	reports  map[string]Report    // by domain
	stepped  time.Time            // when the last step was begun
}

// NewController returns a controller that does nothing until Run.
func NewController(opts Options) *Controller {
	return &Controller{
		opts:     opts,
		sights:   map[string]Sight{},
		probing:  map[string]bool{},
		ordering: map[string]bool{},
		stopped:  map[string]bool{},
		ordersAt: map[string]time.Time{},
		reports:  map[string]Report{},
	}
}

// Taken notes that a domain's duty was taken. Orders wait until the longest
// that the last holder may have under way is over.
func (c *Controller) Taken(domain string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.ordersAt[domain] = c.opts.Now().Add(c.opts.Timing.Order)
}

// Run watches and controls until ctx ends.
func (c *Controller) Run(ctx context.Context) {
	ticker := time.NewTicker(c.opts.Timing.Probe)
	defer ticker.Stop()
	for {
		c.step(ctx)
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// step watches every domain that the table gives to this daemon, lease or no
// lease, since watching harms nobody; it acts only under the lease.
func (c *Controller) step(ctx context.Context) {
	t := c.opts.Tree()
	if t == nil {
		return
	}
	c.excusePause()
	for _, domain := range c.opts.Fleet.Domains() {
		holder, ok := c.opts.Duties.HolderOf(duty.DomainDuty(domain))
		if !ok || holder.Name() != c.opts.Duties.Name() {
			c.forget(domain)
			continue
		}
		c.watch(domain)
		c.probe(ctx, domain)
		view := c.view(domain, t)
		c.report(view, holder.Epoch())
		c.act(ctx, view)
	}
}

// act carries out the domain's plan, if the lease leaves time for the longest
// step.
func (c *Controller) act(ctx context.Context, v View) {
	for _, action := range Plan(v) {
		_, left := c.opts.Duties.HeldFor(duty.DomainDuty(v.Domain))
		if left < c.opts.Timing.Order {
			return
		}
		if d, over := action.(Dissolve); over {
			c.stop(d)
		}
		c.carryOut(ctx, v.Domain, action)
	}
}

// stop ends a group for all daemons at once. It needs no store, and it is
// final: the group's epoch never serves again.
func (c *Controller) stop(d Dissolve) {
	c.mu.Lock()
	known := c.stopped[d.Group.id]
	c.stopped[d.Group.id] = true
	c.mu.Unlock()
	if known {
		return
	}
	c.opts.Log.Info().Str("group", d.Group.id).Uint64("epoch", d.Group.epoch).Str("why", d.Why).Msg("group stopped")
	c.opts.Spreader.GroupStopped(d.Group)
}

func (c *Controller) carryOut(ctx context.Context, domain string, action Action) {
	var err error
	switch a := action.(type) {
	case Give:
		c.give(ctx, domain, a)
		return
	case Form:
		err = c.form(ctx, domain, a)
	case Advance:
		err = c.advance(ctx, domain, a)
	case Dissolve:
		err = c.dissolve(ctx, domain, a)
	}
	c.opts.Changed()
	var conflict *table.ConflictError
	if errors.As(err, &conflict) {
		c.opts.Log.Debug().Err(err).Str("domain", domain).Msg("table moved on, planning again")
		return
	}
	if err != nil {
		c.opts.Log.Warn().Err(err).Str("domain", domain).Msgf("%T not written", action)
	}
}

// give sends an order in the background, one at a time to each VM.
func (c *Controller) give(ctx context.Context, domain string, a Give) {
	c.mu.Lock()
	early := c.opts.Now().Before(c.ordersAt[domain])
	c.mu.Unlock()
	if early || !c.begin(c.ordering, a.VM.ID()) {
		return
	}
	go func() {
		defer c.end(c.ordering, a.VM.ID())
		ctx, cancel := context.WithTimeout(ctx, c.opts.Timing.Order)
		defer cancel()
		if _, left := c.opts.Duties.HeldFor(duty.DomainDuty(domain)); left < c.opts.Timing.Order {
			return
		}
		if err := c.opts.Endpoints.Order(ctx, a.VM.Addr(), a.Order); err != nil {
			c.opts.Log.Warn().Err(err).Str("vm", a.VM.ID()).Str("group", a.Order.Group).Uint64("epoch", a.Order.Epoch).Msg("order not taken")
		}
	}()
}
