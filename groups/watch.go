package groups

import (
	"context"
	"errors"
	"net"
	"slices"

	"github.com/pointpass/pointpass/fleet"
	"github.com/pointpass/pointpass/tree"
)

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
