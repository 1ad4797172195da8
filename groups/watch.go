package groups

import (
	"context"
	"errors"
	"net"
	"slices"

	"github.com/pointpass/pointpass/fleet"
	"github.com/pointpass/pointpass/tree"
)

// Report states which groups and plain VMs of a domain may get new work.
type Report struct {
	domain    string
	dutyEpoch uint64
	present   Presence
}

// NewReport returns a report by the holder of a domain's duty in an epoch.
func NewReport(domain string, dutyEpoch uint64, present Presence) Report {
	return Report{domain: domain, dutyEpoch: dutyEpoch, present: present}
}

// Domain returns the domain that the report covers.
func (r Report) Domain() string { return r.domain }

// DutyEpoch returns the epoch of the domain's duty.
func (r Report) DutyEpoch() uint64 { return r.dutyEpoch }

// Presence returns the groups and plain VMs that may get new work.
func (r Report) Presence() Presence { return r.present }

// resetAfterStall restarts the timeouts of all VMs if this daemon itself stalled,
// since missing answers don't show then that a VM is down.
func (c *Controller) resetAfterStall() {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.opts.Now()
	if now.Sub(c.lastStep) > c.opts.Timing.Suspect {
		for vm, observation := range c.observations {
			observation.since = now
			c.observations[vm] = observation
		}
	}
	c.lastStep = now
}

// watch starts to track the VMs of a domain that aren't tracked yet. It restarts
// them all if this daemon didn't control the domain before.
func (c *Controller) watch(domain string) {
	vms := c.endpoints(domain)
	c.mu.Lock()
	defer c.mu.Unlock()
	watched := c.watched[domain]
	c.watched[domain] = true
	for _, vm := range vms {
		if _, tracked := c.observations[vm.ID()]; !tracked || !watched {
			c.observations[vm.ID()] = NewObservation(c.opts.Now())
		}
	}
}

func (c *Controller) endpoints(domain string) []fleet.VM {
	return c.opts.Fleet.Select(func(vm fleet.VM) bool { return vm.Domain() == domain && vm.Pool() != fleet.EntryPool })
}

// unwatch drops the report of a domain that this daemon doesn't control.
func (c *Controller) unwatch(domain string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.watched, domain)
	delete(c.reports, domain)
}

// Reports returns the latest report for each domain that this daemon controls.
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
			VM:          vm,
			Observation: c.observations[vm.ID()],
			Member:      c.opts.Groups.GroupOf(vm.ID()),
			Stopping:    vm.State() == fleet.Leaving || c.opts.Stops.StopsVM(vm.ID()),
		})
	}
	return v
}

// report updates the report of a domain. It leaves out stopped groups even if the
// table still lists them. While nothing is known of a VM the last report stays and grows old, so
// that other daemons probe the domain themselves: a new report would take groups out of service
// that they know to be present.
func (c *Controller) report(v View, dutyEpoch uint64) {
	present, known := FindPresence(v)
	if !known {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	present.Epochs = slices.DeleteFunc(present.Epochs, func(epoch uint64) bool {
		return c.stopped[groupID(v.Domain, epoch)]
	})
	c.logPresence(v, c.reports[v.Domain].present.Epochs, present.Epochs)
	c.reports[v.Domain] = NewReport(v.Domain, dutyEpoch, present)
	c.pruneStopped()
}

// logPresence logs which groups of a domain may get new work now that couldn't before, and which
// may not any more and why.
func (c *Controller) logPresence(v View, before, now []uint64) {
	for _, g := range v.Groups {
		was, is := slices.Contains(before, g.epoch), slices.Contains(now, g.epoch)
		switch {
		case is && !was:
			c.opts.Log.Info().Str("group", g.id).Msg("group is present")
		case was && !is:
			c.opts.Log.Warn().Str("group", g.id).Str("why", absenceReason(v, g)).Msg("group is no longer present")
		}
	}
}

// pruneStopped drops the stop marks of groups whose rows are gone, since their
// epochs are never reused. The caller holds the lock.
func (c *Controller) pruneStopped() {
	for id := range c.stopped {
		if _, listed := c.opts.Groups.Group(id); !listed {
			delete(c.stopped, id)
		}
	}
}

// probe sends a probe to every VM of the domain that has none in flight.
func (c *Controller) probe(ctx context.Context, domain string) {
	for _, vm := range c.endpoints(domain) {
		if !c.tryStart(c.probing, vm.ID()) {
			continue
		}
		go func() {
			defer c.finish(c.probing, vm.ID())
			c.probeOne(ctx, vm)
		}()
	}
}

func (c *Controller) tryStart(inFlight map[string]bool, vm string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if inFlight[vm] {
		return false
	}
	inFlight[vm] = true
	return true
}

func (c *Controller) finish(inFlight map[string]bool, vm string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(inFlight, vm)
}

func (c *Controller) probeOne(ctx context.Context, vm fleet.VM) {
	ctx, cancel := context.WithTimeout(ctx, c.opts.Timing.Suspect)
	defer cancel()
	sent := c.opts.Now()
	status, err := c.opts.Endpoints.Status(ctx, vm.Addr())
	c.mu.Lock()
	defer c.mu.Unlock()
	observation := c.observations[vm.ID()]
	switch {
	case err == nil:
		c.observations[vm.ID()] = observation.Answered(status, sent)
	case refused(err):
		c.observations[vm.ID()] = observation.Refused()
	}
}

// refused reports whether a probe failed for another reason than a timeout or a
// cancellation, such as a refused connection.
func refused(err error) bool {
	var network net.Error
	if errors.As(err, &network) && network.Timeout() {
		return false
	}
	return !errors.Is(err, context.DeadlineExceeded) && !errors.Is(err, context.Canceled)
}
