package groups

import (
	"context"
	"errors"
	"fmt"
	"net"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/phuslu/log"

	"github.com/pointpass/pointpass/audit"
	"github.com/pointpass/pointpass/config"
	"github.com/pointpass/pointpass/duty"
	"github.com/pointpass/pointpass/engine"
	"github.com/pointpass/pointpass/fleet"
	"github.com/pointpass/pointpass/platform"
	"github.com/pointpass/pointpass/tree"
)

// Duties is what the controller needs to know of leases.
type Duties interface {
	HeldFor(name string) (epoch uint64, left time.Duration)
	HolderOf(name string) (duty.Holder, bool)
	Name() string
	Guard(txn *platform.Txn, name string)
}

// Endpoints gives orders to VMs and asks for their state.
type Endpoints interface {
	Status(ctx context.Context, addr string) (engine.Status, error)
	Order(ctx context.Context, addr string, order engine.Order) error
}

// Store is what the controller writes to.
type Store interface {
	Commit(ctx context.Context, txn platform.Txn) (uint64, error)
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

// Report says which of a domain's groups and plain VMs may get new work.
type Report struct {
	domain    string
	dutyEpoch uint64
	present   Present
}

// NewReport returns a report by the holder of a domain's duty in an epoch.
func NewReport(domain string, dutyEpoch uint64, present Present) Report {
	return Report{domain: domain, dutyEpoch: dutyEpoch, present: present}
}

// Domain returns the domain reported on.
func (r Report) Domain() string { return r.domain }

// DutyEpoch returns the epoch of the domain's duty.
func (r Report) DutyEpoch() uint64 { return r.dutyEpoch }

// Present returns what may get new work.
func (r Report) Present() Present { return r.present }

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

// excusePause starts all silences anew if this daemon itself was paused: it
// was not the VMs that did not answer.
func (c *Controller) excusePause() {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.opts.Now()
	if now.Sub(c.stepped) > c.opts.Timing.Suspect {
		for vm, sight := range c.sights {
			sight.since = now
			c.sights[vm] = sight
		}
	}
	c.stepped = now
}

// watch begins the watch over a domain's VMs that aren't watched yet.
func (c *Controller) watch(domain string) {
	vms := c.endpoints(domain)
	c.mu.Lock()
	defer c.mu.Unlock()
	_, watched := c.reports[domain]
	for _, vm := range vms {
		if _, seen := c.sights[vm.ID()]; !seen || !watched {
			c.sights[vm.ID()] = NewSight(c.opts.Now())
		}
	}
}

func (c *Controller) endpoints(domain string) []fleet.VM {
	return c.opts.Fleet.Select(func(vm fleet.VM) bool { return vm.Domain() == domain && vm.Pool() != fleet.EntryPool })
}

func (c *Controller) forget(domain string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.reports, domain)
}

// Reports returns what this daemon knows of the domains that it watches.
func (c *Controller) Reports() []Report {
	c.mu.Lock()
	defer c.mu.Unlock()
	reports := make([]Report, 0, len(c.reports))
	for _, r := range c.reports {
		reports = append(reports, r)
	}
	return reports
}

func (c *Controller) view(domain string, t *tree.Tree) View {
	v := View{
		Domain:         domain,
		Now:            c.opts.Now(),
		Groups:         c.opts.Groups.InDomain(domain),
		Pools:          map[string]tree.Pool{},
		PoolGroups:     map[string]int{},
		StoppingGroups: map[string]bool{},
		Suspect:        c.opts.Timing.Suspect,
		Absent:         c.opts.Timing.Absent,
		Load:           c.opts.Timing.Load,
		MaxLoads:       c.opts.MaxLoads,
	}
	for _, name := range t.Pools() {
		v.Pools[name], _ = t.Pool(name)
	}
	for _, g := range c.opts.Groups.All() {
		v.PoolGroups[g.pool]++
	}
	for _, g := range v.Groups {
		v.StoppingGroups[g.id] = c.opts.Stops.StopsGroup(g.id)
	}
	vms := c.endpoints(domain)
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, vm := range vms {
		v.VMs = append(v.VMs, VMView{
			VM:       vm,
			Sight:    c.sights[vm.ID()],
			Member:   c.opts.Groups.GroupOf(vm.ID()),
			Stopping: vm.State() == fleet.Leaving || c.opts.Stops.StopsVM(vm.ID()),
		})
	}
	return v
}

// report works out which groups are whole. A group that was given up on stays
// out although its row may still stand.
func (c *Controller) report(v View, dutyEpoch uint64) {
	present := FindPresent(v)
	c.mu.Lock()
	defer c.mu.Unlock()
	present.Epochs = slices.DeleteFunc(present.Epochs, func(epoch uint64) bool {
		return c.stopped[groupID(v.Domain, epoch)]
	})
	c.reports[v.Domain] = NewReport(v.Domain, dutyEpoch, present)
	c.forgetStopped()
}

// forgetStopped drops the marks of groups whose rows are gone: their epochs
// never come again.
func (c *Controller) forgetStopped() {
	for id := range c.stopped {
		if _, known := c.opts.Groups.Group(id); !known {
			delete(c.stopped, id)
		}
	}
}

// probe asks every VM of the domain that has no probe under way.
func (c *Controller) probe(ctx context.Context, domain string) {
	for _, vm := range c.endpoints(domain) {
		if !c.begin(c.probing, vm.ID()) {
			continue
		}
		go func() {
			defer c.end(c.probing, vm.ID())
			c.probeOne(ctx, vm)
		}()
	}
}

func (c *Controller) begin(busy map[string]bool, vm string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if busy[vm] {
		return false
	}
	busy[vm] = true
	return true
}

func (c *Controller) end(busy map[string]bool, vm string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(busy, vm)
}

func (c *Controller) probeOne(ctx context.Context, vm fleet.VM) {
	ctx, cancel := context.WithTimeout(ctx, c.opts.Timing.Suspect)
	defer cancel()
	sent := c.opts.Now()
	status, err := c.opts.Endpoints.Status(ctx, vm.Addr())
	c.mu.Lock()
	defer c.mu.Unlock()
	sight := c.sights[vm.ID()]
	switch {
	case err == nil:
		c.sights[vm.ID()] = sight.Answered(status, sent)
	case refused(err):
		c.sights[vm.ID()] = sight.Refused()
	}
}

// refused tells a host that answers "nobody listens" from one that is silent.
func refused(err error) bool {
	var network net.Error
	if errors.As(err, &network) && network.Timeout() {
		return false
	}
	return !errors.Is(err, context.DeadlineExceeded) && !errors.Is(err, context.Canceled)
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
	var conflict *platform.ConflictError
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

func (c *Controller) begun(domain string) *platform.Txn {
	txn := &platform.Txn{}
	c.opts.Duties.Guard(txn, duty.DomainDuty(domain))
	return txn
}

// form writes the group's row and all members' rows in one transaction, on the
// condition that no member is in a group: a VM can't be in two.
func (c *Controller) form(ctx context.Context, domain string, f Form) error {
	state := c.opts.Groups.domain(domain)
	g := NewGroup(f.Pool, domain, state.epoch+1, f.Members, c.opts.Now())
	txn := c.begun(domain)
	txn.Check(DomainPrefix+domain, state.version)
	txn.Put(DomainPrefix+domain, domainRow{Epoch: g.epoch})
	txn.Check(GroupPrefix+g.id, 0)
	txn.Put(GroupPrefix+g.id, g.row())
	for _, vm := range g.members {
		txn.Check(MemberPrefix+vm, 0)
		txn.Put(MemberPrefix+vm, memberRow{Group: g.id, Epoch: g.epoch})
	}
	why := fmt.Sprintf("%d free VMs of %s", len(f.Members), f.Pool)
	c.record(txn, "group.form", g, why, "", strings.Join(g.members, " "))
	return c.commit(ctx, "form "+g.id, txn)
}

func (c *Controller) advance(ctx context.Context, domain string, a Advance) error {
	txn := c.begun(domain)
	txn.Check(GroupPrefix+a.Group.id, a.Group.version)
	txn.Put(GroupPrefix+a.Group.id, a.Group.WithState(a.State).row())
	c.record(txn, "group."+string(a.State), a.Group, "", string(a.Group.state), string(a.State))
	return c.commit(ctx, "advance "+a.Group.id, txn)
}

func (c *Controller) dissolve(ctx context.Context, domain string, d Dissolve) error {
	txn := c.begun(domain)
	txn.Check(GroupPrefix+d.Group.id, d.Group.version)
	txn.Delete(GroupPrefix + d.Group.id)
	for _, vm := range d.Group.members {
		m := c.opts.Groups.member(vm)
		if m.group == d.Group.id {
			txn.Check(MemberPrefix+vm, m.version)
			txn.Delete(MemberPrefix + vm)
		}
	}
	c.record(txn, "group.dissolve", d.Group, d.Why, string(d.Group.state), "")
	return c.commit(ctx, "dissolve "+d.Group.id, txn)
}

func (c *Controller) record(txn *platform.Txn, what string, g Group, why, before, after string) {
	entry := audit.NewEntry(c.opts.Now(), c.opts.Node, what, g.id, why)
	audit.Append(txn, entry.WithChange(before, after))
}

func (c *Controller) commit(ctx context.Context, what string, txn *platform.Txn) error {
	if _, err := c.opts.Store.Commit(ctx, *txn); err != nil {
		return &WriteError{what: what, err: err}
	}
	return nil
}

// WriteError says that a change of a group was not written.
type WriteError struct {
	what string
	err  error
}

// Error names the change.
func (e *WriteError) Error() string { return "groups: " + e.what + ": " + e.err.Error() }

// Unwrap returns the cause.
func (e *WriteError) Unwrap() error { return e.err }
