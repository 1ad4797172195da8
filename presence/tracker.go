// Package presence tracks which groups and plain VMs may get requests from this
// daemon. Its evidence is the results of probes, dated without comparing the clocks
// of daemons. No requests are sent to a target whose evidence is too old.
package presence

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/phuslu/log"

	"github.com/pointpass/pointpass/config"
	"github.com/pointpass/pointpass/duty"
	"github.com/pointpass/pointpass/engine"
	"github.com/pointpass/pointpass/fleet"
	"github.com/pointpass/pointpass/groups"
)

// Directory looks up the daemon that watches a domain.
type Directory interface {
	HolderOf(name string) (duty.Holder, bool)
	Name() string
}

// Remote queries another daemon for its reports. Their evidence is dated by this
// daemon's clock, relative to a time before the request was sent.
type Remote interface {
	Presence(ctx context.Context, addr string) ([]groups.Report, error)
}

// Prober queries an endpoint for its status.
type Prober interface {
	Status(ctx context.Context, addr string) (engine.Status, error)
}

// Options holds the settings and dependencies of a tracker.
type Options struct {
	Timing    config.Timing
	Directory Directory
	Remote    Remote
	Prober    Prober
	// Local returns the reports for the domains that this daemon watches.
	Local  func() []groups.Report
	Groups *groups.Registry
	Fleet  *fleet.Registry
	// Stopping reports whether a VM has an announced stop.
	Stopping func(vm string) bool
	Now      func() time.Time
	Log      *log.Logger
}

// Tracker keeps the latest report for each domain.
type Tracker struct {
	opts Options

	mu      sync.RWMutex
	reports map[string]groups.Report
	// sources says where each report came from: this daemon's own probes or a watcher's address.
	sources map[string]string
	// lastPresent is when each target was last known to be present: the time of the evidence.
	lastPresent map[targetKey]time.Time
	// querying are the watchers and domains with a query in flight.
	querying map[string]bool
	// noTargets are the pools that had no target when they were last looked up.
	noTargets map[string]bool
	stopped   map[string]time.Time // when each stopped group was announced
	cache     map[string]cachedTargets

	wake chan struct{} // triggers a refresh
}

type cachedTargets struct {
	at      time.Time
	targets []Target
}

// cacheTTL is how long the targets of a pool are cached. It is small compared to the
// maximum age of evidence.
const cacheTTL = 20 * time.Millisecond

// stoppedRetention is the minimum time that a stopped group is remembered. Without it
// a daemon that reads the table late could take the group's row for a new one.
const stoppedRetention = time.Minute

// Target is a destination of requests: a group, by its leader, or a plain VM.
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

// ID returns the ID of the group or of the plain VM.
func (t Target) ID() string { return t.id }

// Epoch returns the group's epoch, 0 for a plain VM.
func (t Target) Epoch() uint64 { return t.epoch }

// Addr returns the address that requests are sent to.
func (t Target) Addr() string { return t.addr }

// Hall returns the data hall of the target.
func (t Target) Hall() string { return t.hall }

// NewTracker returns a tracker without reports.
func NewTracker(opts Options) *Tracker {
	return &Tracker{
		opts:     opts,
		reports:  map[string]groups.Report{},
		sources:  map[string]string{},
		querying: map[string]bool{},

		lastPresent: map[targetKey]time.Time{},
		noTargets:   map[string]bool{},
		stopped:     map[string]time.Time{},
		cache:       map[string]cachedTargets{},
		wake:        make(chan struct{}, 1),
	}
}

// Run refreshes the reports periodically, and when a request waits for them, until ctx ends.
func (t *Tracker) Run(ctx context.Context) {
	ticker := time.NewTicker(2 * t.opts.Timing.Probe)
	defer ticker.Stop()
	for {
		t.Refresh(ctx)
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		case <-t.wake:
		}
	}
}

// Refresh takes this daemon's own reports, queries each other daemon that watches a domain, and
// probes the domains that have no fresh report. It doesn't wait for the answers: one daemon that
// doesn't answer must not delay the evidence on the domains of others.
func (t *Tracker) Refresh(ctx context.Context) {
	for _, r := range t.opts.Local() {
		t.accept(r, ownWatch)
	}
	for _, addr := range t.watchers() {
		t.start(ctx, addr, func(ctx context.Context) {
			reports, err := t.opts.Remote.Presence(ctx, addr)
			if err != nil {
				return
			}
			for _, r := range reports {
				t.accept(r, addr)
			}
		})
	}
	for _, domain := range t.staleDomains() {
		t.start(ctx, domain, func(ctx context.Context) { t.probeDomain(ctx, domain) })
	}
}

// start runs a query in the background, unless the last one of that name hasn't ended.
func (t *Tracker) start(ctx context.Context, name string, query func(ctx context.Context)) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.querying[name] {
		return
	}
	t.querying[name] = true
	go func() {
		ctx, cancel := context.WithTimeout(ctx, t.opts.Timing.Suspect)
		defer cancel()
		query(ctx)
		t.mu.Lock()
		defer t.mu.Unlock()
		delete(t.querying, name)
	}()
}

// watchers returns the addresses of the other daemons that watch domains.
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

// accept stores a report unless there is a fresh one by a later holder of the
// domain's duty, or one with newer evidence by the same holder.
func (t *Tracker) accept(r groups.Report, source string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	current, ok := t.reports[r.Domain()]
	if ok && current.DutyEpoch() > r.DutyEpoch() && t.fresh(current) {
		return
	}
	if ok && current.DutyEpoch() == r.DutyEpoch() && current.Presence().Evidence.After(r.Presence().Evidence) {
		return
	}
	t.reports[r.Domain()] = r
	t.sources[r.Domain()] = source
	t.notePresent(r)
}

// Sources of reports, other than the addresses of watchers.
const (
	ownWatch = "own watch"
	ownProbe = "own probe"
)

// maxAge returns the maximum age of evidence for sending requests.
func (t *Tracker) maxAge() time.Duration { return 2 * t.opts.Timing.Suspect }

func (t *Tracker) fresh(r groups.Report) bool {
	return t.opts.Now().Sub(r.Presence().Evidence) <= t.maxAge()
}

// staleDomains returns the domains whose reports are so old that their evidence will
// exceed maxAge soon.
func (t *Tracker) staleDomains() []string {
	t.mu.RLock()
	defer t.mu.RUnlock()
	var stale []string
	for _, domain := range t.opts.Fleet.Domains() {
		age := t.opts.Now().Sub(t.reports[domain].Presence().Evidence)
		if age > t.opts.Timing.Suspect {
			stale = append(stale, domain)
		}
	}
	return stale
}

// probeDomain probes the members of a domain's groups, and its plain VMs, in place
// of a watcher that doesn't report.
func (t *Tracker) probeDomain(ctx context.Context, domain string) {
	started := t.opts.Now()
	present := groups.Presence{Evidence: started}
	var mu sync.Mutex
	var wg sync.WaitGroup
	for _, g := range t.opts.Groups.InDomain(domain) {
		wg.Go(func() {
			if g.State() == groups.Serving && t.groupComplete(ctx, g) {
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
	t.accept(groups.NewReport(domain, dutyEpoch, present), ownProbe)
}

func (t *Tracker) leaving(vm fleet.VM) bool {
	return vm.State() != fleet.Live || t.opts.Stopping(vm.ID())
}

func (t *Tracker) groupComplete(ctx context.Context, g groups.Group) bool {
	complete := true
	var mu sync.Mutex
	var wg sync.WaitGroup
	for _, id := range g.Members() {
		wg.Go(func() {
			if !t.memberReady(ctx, id, g) {
				mu.Lock()
				defer mu.Unlock()
				complete = false
			}
		})
	}
	wg.Wait()
	return complete
}

func (t *Tracker) memberReady(ctx context.Context, id string, g groups.Group) bool {
	vm, listed := t.opts.Fleet.VM(id)
	if !listed || t.leaving(vm) {
		return false
	}
	status, err := t.opts.Prober.Status(ctx, vm.Addr())
	return err == nil && status.Group == g.ID() && status.Epoch == g.Epoch() && status.Role == engine.Ready
}

// MarkStopped records that a group has stopped. The stop is final for its epoch.
func (t *Tracker) MarkStopped(group string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.opts.Now()
	for id, at := range t.stopped {
		_, listed := t.opts.Groups.Group(id)
		if !listed && now.Sub(at) > stoppedRetention {
			delete(t.stopped, id)
		}
	}
	t.stopped[group] = now
	clear(t.cache)
}

// Targets returns the targets that may get requests of a pool now.
func (t *Tracker) Targets(pool string) []Target {
	now := t.opts.Now()
	t.mu.RLock()
	hit, ok := t.cache[pool]
	t.mu.RUnlock()
	if ok && now.Sub(hit.at) < cacheTTL {
		return hit.targets
	}
	targets := append(t.groupTargets(pool), t.plainTargets(pool)...)
	t.logTargets(pool, len(targets))
	t.mu.Lock()
	defer t.mu.Unlock()
	t.cache[pool] = cachedTargets{at: now, targets: targets}
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

// Present reports whether a group may get requests now.
func (t *Tracker) Present(g groups.Group) bool {
	t.mu.RLock()
	defer t.mu.RUnlock()
	r, ok := t.reports[g.Domain()]
	_, stopped := t.stopped[g.ID()]
	return ok && t.fresh(r) && !stopped && slices.Contains(r.Presence().Epochs, g.Epoch())
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
		if ok && t.fresh(r) && !t.leaving(vm) && slices.Contains(r.Presence().Plain, vm.ID()) {
			targets = append(targets, NewTarget(vm.ID(), 0, vm.Addr(), vm.Hall()))
		}
	}
	return targets
}
