// Package presence knows which groups and plain VMs may get requests from this
// daemon now. What it knows is dated: it comes from probes whose age is known
// without comparing clocks, and when it gets old nothing is sent.
package presence

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/pointpass/pointpass/config"
	"github.com/pointpass/pointpass/duty"
	"github.com/pointpass/pointpass/engine"
	"github.com/pointpass/pointpass/fleet"
	"github.com/pointpass/pointpass/groups"
)

// Directory tells who watches a domain.
type Directory interface {
	HolderOf(name string) (duty.Holder, bool)
	Name() string
}

// Remote asks another daemon for its reports. Their evidence is dated by this
// daemon's clock, from before the request was sent.
type Remote interface {
	Presence(ctx context.Context, addr string) ([]groups.Report, error)
}

// Prober asks an endpoint for its state.
type Prober interface {
	Status(ctx context.Context, addr string) (engine.Status, error)
}

// Options wires a tracker.
type Options struct {
	Timing    config.Timing
	Directory Directory
	Remote    Remote
	Prober    Prober
	// Local returns the reports on the domains that this daemon watches.
	Local  func() []groups.Report
	Groups *groups.Registry
	Fleet  *fleet.Registry
	// Stopping tells that a VM's stop is announced.
	Stopping func(vm string) bool
	Now      func() time.Time
}

// Tracker keeps the newest report on each domain.
type Tracker struct {
	opts Options

	mu      sync.RWMutex
	reports map[string]groups.Report
	stopped map[string]time.Time // groups announced to be over, and when
	cache   map[string]cached
}

type cached struct {
	at      time.Time
	targets []Target
}

// cacheFor is how long the targets of a pool are kept. It is small against the
// age that evidence may have.
const cacheFor = 20 * time.Millisecond

// keepStopped is how long a group that is over is remembered at the least, so
// that a daemon behind in reading the table doesn't take its row for new.
const keepStopped = time.Minute

// Target is where requests can be sent: a group, by its leader, or a plain VM.
type Target struct {
	id    string
	epoch uint64
	addr  string
	hall  string
}

// NewTarget returns a target at an IP number and port.
func NewTarget(id string, epoch uint64, addr, hall string) Target {
	return Target{id: id, epoch: epoch, addr: addr, hall: hall}
}

// ID returns the name of the group or of the plain VM.
func (t Target) ID() string { return t.id }

// Epoch returns the group's epoch, 0 for a plain VM.
func (t Target) Epoch() uint64 { return t.epoch }

// Addr returns where requests go.
func (t Target) Addr() string { return t.addr }

// Hall returns the data hall of the target.
func (t Target) Hall() string { return t.hall }

// NewTracker returns a tracker that knows nothing yet.
func NewTracker(opts Options) *Tracker {
	return &Tracker{opts: opts, reports: map[string]groups.Report{}, stopped: map[string]time.Time{}, cache: map[string]cached{}}
}

// Run keeps the reports fresh until ctx ends.
func (t *Tracker) Run(ctx context.Context) {
	ticker := time.NewTicker(2 * t.opts.Timing.Probe)
	defer ticker.Stop()
	for {
		t.Refresh(ctx)
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// Refresh asks each daemon that watches a domain once, and looks for itself
// where no report is fresh.
func (t *Tracker) Refresh(ctx context.Context) {
	for _, r := range t.opts.Local() {
		t.accept(r)
	}
	ctx, cancel := context.WithTimeout(ctx, t.opts.Timing.Suspect)
	defer cancel()
	var wg sync.WaitGroup
	for _, addr := range t.watchers() {
		wg.Go(func() {
			reports, err := t.opts.Remote.Presence(ctx, addr)
			if err != nil {
				return
			}
			for _, r := range reports {
				t.accept(r)
			}
		})
	}
	for _, domain := range t.unwatched() {
		wg.Go(func() { t.look(ctx, domain) })
	}
	wg.Wait()
}

// watchers returns the addresses of the daemons that watch domains, without
// this one.
func (t *Tracker) watchers() []string {
	var addrs []string
	for _, domain := range t.opts.Fleet.Domains() {
		holder, ok := t.opts.Directory.HolderOf(duty.DomainDuty(domain))
		if ok && holder.Name() != t.opts.Directory.Name() && !slices.Contains(addrs, holder.Addr()) {
			addrs = append(addrs, holder.Addr())
		}
	}
	return addrs
}

// accept takes in a report unless a later holder's or a fresher one is known.
func (t *Tracker) accept(r groups.Report) {
	t.mu.Lock()
	defer t.mu.Unlock()
	known, ok := t.reports[r.Domain()]
	if ok && known.DutyEpoch() > r.DutyEpoch() && t.fresh(known) {
		return
	}
	if ok && known.DutyEpoch() == r.DutyEpoch() && known.Present().Evidence.After(r.Present().Evidence) {
		return
	}
	t.reports[r.Domain()] = r
}

// maxAge is how old evidence may be for requests to be sent on it.
func (t *Tracker) maxAge() time.Duration { return 2 * t.opts.Timing.Suspect }

func (t *Tracker) fresh(r groups.Report) bool {
	return t.opts.Now().Sub(r.Present().Evidence) <= t.maxAge()
}

// unwatched returns the domains whose watcher has been silent for so long that
// its evidence will soon be too old.
func (t *Tracker) unwatched() []string {
	t.mu.RLock()
	defer t.mu.RUnlock()
	var silent []string
	for _, domain := range t.opts.Fleet.Domains() {
		age := t.opts.Now().Sub(t.reports[domain].Present().Evidence)
		if age > t.opts.Timing.Suspect {
			silent = append(silent, domain)
		}
	}
	return silent
}

// look probes the members of a domain's groups, and its plain VMs, in place of
// a watcher that is silent.
func (t *Tracker) look(ctx context.Context, domain string) {
	begun := t.opts.Now()
	present := groups.Present{Evidence: begun}
	var mu sync.Mutex
	var wg sync.WaitGroup
	for _, g := range t.opts.Groups.InDomain(domain) {
		wg.Go(func() {
			if g.State() == groups.Serving && t.wholeNow(ctx, g) {
				mu.Lock()
				defer mu.Unlock()
				present.Epochs = append(present.Epochs, g.Epoch())
			}
		})
	}
	for _, vm := range t.opts.Fleet.Select(func(vm fleet.VM) bool { return vm.Domain() == domain }) {
		if vm.Pool() == fleet.EntryPool || t.opts.Groups.GroupOf(vm.ID()) != "" {
			continue
		}
		wg.Go(func() {
			status, err := t.opts.Prober.Status(ctx, vm.Addr())
			if err == nil && status.Role == engine.Plain && !t.leaving(vm) {
				mu.Lock()
				defer mu.Unlock()
				present.Plain = append(present.Plain, vm.ID())
			}
		})
	}
	wg.Wait()
	t.mu.RLock()
	dutyEpoch := t.reports[domain].DutyEpoch()
	t.mu.RUnlock()
	t.accept(groups.NewReport(domain, dutyEpoch, present))
}

func (t *Tracker) leaving(vm fleet.VM) bool {
	return vm.State() != fleet.Live || t.opts.Stopping(vm.ID())
}

func (t *Tracker) wholeNow(ctx context.Context, g groups.Group) bool {
	whole := true
	var mu sync.Mutex
	var wg sync.WaitGroup
	for _, id := range g.Members() {
		wg.Go(func() {
			if !t.joined(ctx, id, g) {
				mu.Lock()
				defer mu.Unlock()
				whole = false
			}
		})
	}
	wg.Wait()
	return whole
}

func (t *Tracker) joined(ctx context.Context, id string, g groups.Group) bool {
	vm, listed := t.opts.Fleet.VM(id)
	if !listed || t.leaving(vm) {
		return false
	}
	status, err := t.opts.Prober.Status(ctx, vm.Addr())
	return err == nil && status.Group == g.ID() && status.Epoch == g.Epoch() && status.Role == engine.Ready
}

// Stopped notes that a group is over in its epoch, for good.
func (t *Tracker) Stopped(group string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.opts.Now()
	for id, at := range t.stopped {
		_, known := t.opts.Groups.Group(id)
		if !known && now.Sub(at) > keepStopped {
			delete(t.stopped, id)
		}
	}
	t.stopped[group] = now
	clear(t.cache)
}

// Targets returns where requests of a pool may be sent now.
func (t *Tracker) Targets(pool string) []Target {
	now := t.opts.Now()
	t.mu.RLock()
	hit, ok := t.cache[pool]
	t.mu.RUnlock()
	if ok && now.Sub(hit.at) < cacheFor {
		return hit.targets
	}
	targets := append(t.groupTargets(pool), t.plainTargets(pool)...)
	t.mu.Lock()
	defer t.mu.Unlock()
	t.cache[pool] = cached{at: now, targets: targets}
	return targets
}

// GroupTarget returns a group as a target if it may get requests now.
func (t *Tracker) GroupTarget(id string) (Target, bool) {
	g, ok := t.opts.Groups.Group(id)
	if !ok {
		return Target{}, false
	}
	return t.target(g)
}

// Present tells whether a group may get requests now.
func (t *Tracker) Present(g groups.Group) bool {
	t.mu.RLock()
	defer t.mu.RUnlock()
	r, ok := t.reports[g.Domain()]
	_, over := t.stopped[g.ID()]
	return ok && t.fresh(r) && !over && slices.Contains(r.Present().Epochs, g.Epoch())
}

func (t *Tracker) target(g groups.Group) (Target, bool) {
	leader, listed := t.opts.Fleet.VM(g.Leader())
	if !listed || !t.Present(g) {
		return Target{}, false
	}
	return NewTarget(g.ID(), g.Epoch(), leader.Addr(), leader.Hall()), true
}

func (t *Tracker) groupTargets(pool string) []Target {
	var targets []Target
	for _, g := range t.opts.Groups.All() {
		if g.Pool() != pool || g.State() != groups.Serving {
			continue
		}
		if target, ok := t.target(g); ok {
			targets = append(targets, target)
		}
	}
	return targets
}

func (t *Tracker) plainTargets(pool string) []Target {
	vms := t.opts.Fleet.InPool(pool)
	t.mu.RLock()
	defer t.mu.RUnlock()
	var targets []Target
	for _, vm := range vms {
		r, ok := t.reports[vm.Domain()]
		if ok && t.fresh(r) && !t.leaving(vm) && slices.Contains(r.Present().Plain, vm.ID()) {
			targets = append(targets, NewTarget(vm.ID(), 0, vm.Addr(), vm.Hall()))
		}
	}
	return targets
}
