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

// Duties looks up which daemon holds a duty, and how long this daemon's lease lasts.
type Duties interface {
	HeldFor(name string) (epoch uint64, left time.Duration)
	HolderOf(name string) (duty.Holder, bool)
	Name() string
	Guard(txn *table.Txn, name string)
}

// Endpoints sends orders to VMs and queries their status.
type Endpoints interface {
	Status(ctx context.Context, addr string) (engine.Status, error)
	Order(ctx context.Context, addr string, order engine.Order) error
}

// Store is the part of the platform's table that the controller writes to.
type Store interface {
	Commit(ctx context.Context, txn table.Txn) (uint64, error)
}

// Announcements reports which VMs and groups have an announced stop.
type Announcements interface {
	StopsVM(vm string) bool
	StopsGroup(group string) bool
}

// Broadcaster announces stopped groups to all daemons.
type Broadcaster interface {
	GroupStopped(g Group)
}

// Options holds the settings and dependencies of a controller.
type Options struct {
	Node        string
	Timing      config.Timing
	MaxLoads    int
	Duties      Duties
	Endpoints   Endpoints
	Store       Store
	Stops       Announcements
	Broadcaster Broadcaster
	Groups      *Registry
	Fleet       *fleet.Registry
	Tree        func() *tree.Tree
	// Changed triggers a read of the table after a write.
	Changed func()
	Now     func() time.Time
	Log     *log.Logger
}

// Controller probes the VMs of the domains whose duty this daemon holds, and
// executes the plans for their groups.
type Controller struct {
	opts Options

	mu           sync.Mutex
	observations map[string]Observation // by VM
	probing      map[string]bool        // VMs with a probe in flight
	ordering     map[string]bool        // VMs with an order in flight
	stopped      map[string]bool        // stopped groups, also while the table still lists them
	ordersFrom   map[string]time.Time   // by domain, when orders may be sent
	watched      map[string]bool        // domains that this daemon probes
	reports      map[string]Report      // by domain
	lastStep     time.Time              // when the last step started
}

// NewController returns a controller that does nothing until Run.
func NewController(opts Options) *Controller {
	return &Controller{
		opts:         opts,
		observations: map[string]Observation{},
		probing:      map[string]bool{},
		ordering:     map[string]bool{},
		stopped:      map[string]bool{},
		ordersFrom:   map[string]time.Time{},
		watched:      map[string]bool{},
		reports:      map[string]Report{},
	}
}

// OnDutyAcquired records that this daemon acquired a domain's duty. Orders wait for
// the order timeout, until those of the previous holder can't be in flight any more.
func (c *Controller) OnDutyAcquired(domain string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.ordersFrom[domain] = c.opts.Now().Add(c.opts.Timing.Order)
}

// Run probes VMs and executes plans until ctx ends.
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

// step probes every domain that the table assigns to this daemon, even without a
// valid lease, since probes change nothing. It acts only under the lease.
func (c *Controller) step(ctx context.Context) {
	t := c.opts.Tree()
	if t == nil {
		return
	}
	c.resetAfterStall()
	for _, domain := range c.opts.Fleet.Domains() {
		holder, ok := c.opts.Duties.HolderOf(duty.DomainDuty(domain))
		if !ok || holder.Name() != c.opts.Duties.Name() {
			c.unwatch(domain)
			continue
		}
		c.watch(domain)
		c.probe(ctx, domain)
		view := c.view(domain, t)
		c.report(view, holder.Epoch())
		c.act(ctx, view)
	}
}

// act executes the domain's plan while the lease lasts for the longest action.
func (c *Controller) act(ctx context.Context, v View) {
	for _, action := range Plan(v) {
		_, left := c.opts.Duties.HeldFor(duty.DomainDuty(v.Domain))
		if left < c.opts.Timing.Order {
			return
		}
		if d, dissolving := action.(Dissolve); dissolving {
			c.stopGroup(d)
		}
		c.execute(ctx, v.Domain, action)
	}
}

// stopGroup stops a group on all daemons without waiting for the table. The stop is
// final: the group's epoch never serves again.
func (c *Controller) stopGroup(d Dissolve) {
	c.mu.Lock()
	already := c.stopped[d.Group.id]
	c.stopped[d.Group.id] = true
	c.mu.Unlock()
	if already {
		return
	}
	c.opts.Log.Info().Str("group", d.Group.id).Uint64("epoch", d.Group.epoch).Str("why", d.Reason).Msg("group stopped")
	c.opts.Broadcaster.GroupStopped(d.Group)
}

func (c *Controller) execute(ctx context.Context, domain string, action Action) {
	var err error
	switch a := action.(type) {
	case SendOrder:
		c.sendOrder(ctx, domain, a)
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
		c.opts.Log.Debug().Err(err).Str("domain", domain).Msg("table changed meanwhile, planning again")
		return
	}
	if err != nil {
		c.opts.Log.Warn().Err(err).Str("domain", domain).Msgf("%T not written", action)
	}
}

// sendOrder sends an order in the background, one at a time to each VM.
func (c *Controller) sendOrder(ctx context.Context, domain string, a SendOrder) {
	c.mu.Lock()
	tooEarly := c.opts.Now().Before(c.ordersFrom[domain])
	c.mu.Unlock()
	if tooEarly || !c.tryStart(c.ordering, a.VM.ID()) {
		return
	}
	go func() {
		defer c.finish(c.ordering, a.VM.ID())
		ctx, cancel := context.WithTimeout(ctx, c.opts.Timing.Order)
		defer cancel()
		if _, left := c.opts.Duties.HeldFor(duty.DomainDuty(domain)); left < c.opts.Timing.Order {
			return
		}
		sent := c.opts.Now()
		entry, outcome := c.opts.Log.Info(), "order accepted"
		if err := c.opts.Endpoints.Order(ctx, a.VM.Addr(), a.Order); err != nil {
			entry, outcome = c.opts.Log.Warn().Err(err), "order failed"
		}
		entry.Str("vm", a.VM.ID()).Str("group", a.Order.Group).Uint64("epoch", a.Order.Epoch).Str("role", string(a.Order.Role)).
			Dur("took", c.opts.Now().Sub(sent)).Msg(outcome)
	}()
}
