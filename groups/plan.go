package groups

import (
	"cmp"
	"slices"
	"time"

	"github.com/pointpass/pointpass/engine"
	"github.com/pointpass/pointpass/fleet"
	"github.com/pointpass/pointpass/tree"
)

// Sight is what the controller of a domain has last seen of one VM.
type Sight struct {
	since   time.Time // since when the VM is watched
	status  engine.Status
	sent    time.Time // when the last answered probe was sent, zero before the first
	refused int       // probes refused in a row since
}

// NewSight returns the sight of a VM that is watched from now on.
func NewSight(since time.Time) Sight { return Sight{since: since} }

// Answered returns the sight after a probe sent at a time brought a status.
func (s Sight) Answered(status engine.Status, sent time.Time) Sight {
	return Sight{since: s.since, status: status, sent: sent}
}

// Refused returns the sight after a probe was refused.
func (s Sight) Refused() Sight {
	s.refused++
	return s
}

// silence returns for how long a watched VM hasn't answered.
func (s Sight) silence(now time.Time) time.Duration {
	if s.sent.After(s.since) {
		return now.Sub(s.sent)
	}
	return now.Sub(s.since)
}

// lostAfter is how many probes in a row a VM must refuse to count as lost
// without waiting any longer.
const lostAfter = 2

// VMView is one VM as a plan sees it.
type VMView struct {
	VM fleet.VM
	// Sight is the last answer to a probe.
	Sight Sight
	// Member is the group that the table says the VM belongs to, or "".
	Member string
	// Stopping tells that the VM is to take no new work.
	Stopping bool
}

// View is all that a plan for one domain looks at.
type View struct {
	Domain string
	Now    time.Time
	VMs    []VMView
	// Groups are the domain's groups.
	Groups []Group
	// Pools are the settings of all pools.
	Pools map[string]tree.Pool
	// PoolGroups counts the groups of each pool in all domains.
	PoolGroups map[string]int
	// StoppingGroups are groups with an announced stop of their own.
	StoppingGroups map[string]bool
	// Suspect and Absent are the ages from which a VM's last answer makes its
	// group take no new work, and be dissolved.
	Suspect, Absent time.Duration
	// Load is how long a group may take to load.
	Load time.Duration
	// MaxLoads is how many groups may load at once.
	MaxLoads int
}

// Action is one step that a plan wants taken.
type Action interface{ action() }

// Form makes a group of free VMs.
type Form struct {
	Pool    string
	Members []string
}

// Give gives an order to a VM.
type Give struct {
	VM    fleet.VM
	Order engine.Order
}

// Advance moves a group to its next state.
type Advance struct {
	Group Group
	State State
}

// Dissolve ends a group for good.
type Dissolve struct {
	Group Group
	Why   string
}

func (Form) action()     {}
func (Give) action()     {}
func (Advance) action()  {}
func (Dissolve) action() {}

// Plan returns what is to be done in a domain now. It looks at nothing but the
// view, so that the same view always leads to the same plan.
func Plan(v View) []Action {
	p := planner{View: v, byID: map[string]VMView{}}
	for _, vm := range v.VMs {
		p.byID[vm.VM.ID()] = vm
	}
	for _, g := range v.Groups {
		p.planGroup(g)
	}
	p.planLeavers()
	p.planFormations()
	return p.actions
}

type planner struct {
	View
	byID    map[string]VMView
	actions []Action
}

func (p *planner) add(a Action) { p.actions = append(p.actions, a) }

func (p *planner) planGroup(g Group) {
	if why := p.lost(g); why != "" {
		p.add(Dissolve{Group: g, Why: why})
		return
	}
	switch g.state {
	case Loading:
		p.planLoading(g)
	case Serving:
		if p.stopping(g) {
			p.add(Advance{Group: g, State: Draining})
		}
	case Draining:
		p.planDraining(g)
	}
}

// lost returns why a group can never serve again in its epoch, "" if it can.
func (p *planner) lost(g Group) string {
	for _, id := range g.members {
		vm, listed := p.byID[id]
		switch {
		case !listed:
			return id + " is gone from the VM list"
		case vm.Sight.refused >= lostAfter:
			return id + " refuses connections"
		case vm.Sight.silence(p.Now) > p.Absent:
			return id + " doesn't answer"
		case vm.Sight.sent.IsZero():
			continue
		case vm.Sight.status.Epoch > g.epoch:
			return id + " is in a later epoch"
		case g.state != Loading && !inGroup(vm.Sight.status, g):
			return id + " has forgotten the group"
		}
	}
	return ""
}

func inGroup(s engine.Status, g Group) bool {
	return s.Group == g.id && s.Epoch == g.epoch && (s.Role == engine.Ready || s.Role == engine.Draining)
}

func (p *planner) stopping(g Group) bool {
	if p.StoppingGroups[g.id] {
		return true
	}
	return slices.ContainsFunc(g.members, func(id string) bool { return p.byID[id].Stopping })
}

func (p *planner) planLoading(g Group) {
	if p.stopping(g) {
		p.add(Dissolve{Group: g, Why: "planned stop before serving"})
		return
	}
	if p.Now.Sub(g.formed) > p.Load {
		p.add(Dissolve{Group: g, Why: "not loaded in time"})
		return
	}
	ready := 0
	for _, id := range g.members {
		vm := p.byID[id]
		switch {
		case inGroup(vm.Sight.status, g):
			ready++
		case vm.Sight.status.Group != g.id || vm.Sight.status.Epoch != g.epoch:
			p.add(Give{VM: vm.VM, Order: orderFor(g, engine.Ready)})
		}
	}
	if ready == len(g.members) {
		p.add(Advance{Group: g, State: Serving})
	}
}

// planDraining has the leader refuse new work, whoever still sends it, and
// dissolves the group once the leader has finished.
func (p *planner) planDraining(g Group) {
	leader := p.byID[g.Leader()]
	s := leader.Sight.status
	if !p.stopping(g) {
		if s.Role == engine.Draining {
			p.add(Give{VM: leader.VM, Order: orderFor(g, engine.Ready)})
			return
		}
		p.add(Advance{Group: g, State: Serving})
		return
	}
	if s.Role != engine.Draining {
		p.add(Give{VM: leader.VM, Order: orderFor(g, engine.Draining)})
		return
	}
	if s.Running+s.Waiting == 0 {
		p.add(Dissolve{Group: g, Why: "planned stop"})
	}
}

func orderFor(g Group, role engine.Role) engine.Order {
	return engine.Order{Role: role, Group: g.id, Epoch: g.epoch, Model: g.pool, Members: g.members}
}

// planLeavers tells VMs to leave groups that the table doesn't know them in.
func (p *planner) planLeavers() {
	for _, vm := range p.VMs {
		s := vm.Sight.status
		if vm.Member != "" || s.Group == "" || !p.answers(vm) {
			continue
		}
		p.add(Give{VM: vm.VM, Order: engine.Order{Role: engine.Idle, Group: s.Group, Epoch: s.Epoch}})
	}
}

func (p *planner) answers(vm VMView) bool {
	return vm.Sight.refused == 0 && !vm.Sight.sent.IsZero() && p.Now.Sub(vm.Sight.sent) <= p.Suspect
}

func (p *planner) planFormations() {
	loads := 0
	for _, g := range p.Groups {
		if g.state == Loading {
			loads++
		}
	}
	for _, name := range p.poolsByNeed() {
		pool := p.Pools[name]
		free := p.freeVMs(name)
		formed := p.PoolGroups[name]
		for len(free) >= pool.VMsPerGroup && loads < p.MaxLoads && (pool.Groups == 0 || formed < pool.Groups) {
			members := make([]string, 0, pool.VMsPerGroup)
			for _, vm := range free[:pool.VMsPerGroup] {
				members = append(members, vm.VM.ID())
			}
			p.add(Form{Pool: name, Members: members})
			free = free[pool.VMsPerGroup:]
			loads++
			formed++
		}
	}
}

// poolsByNeed returns the model pools, those whose downtime costs most first.
func (p *planner) poolsByNeed() []string {
	var names []string
	for name, pool := range p.Pools {
		if pool.Type == tree.ModelPool {
			names = append(names, name)
		}
	}
	slices.SortFunc(names, func(a, b string) int {
		return cmp.Or(cmp.Compare(p.Pools[b].DowntimeWeight, p.Pools[a].DowntimeWeight), cmp.Compare(a, b))
	})
	return names
}

// freeVMs returns the VMs of a pool that can go into a new group, in order.
func (p *planner) freeVMs(pool string) []VMView {
	var free []VMView
	for _, vm := range p.VMs {
		idle := vm.Sight.status.Group == "" && vm.Sight.status.Role == engine.Idle
		usable := vm.VM.State() == fleet.Live && !vm.Stopping && vm.Member == ""
		if vm.VM.Pool() == pool && idle && usable && p.answers(vm) {
			free = append(free, vm)
		}
	}
	return free
}

// Present is what of a domain may get new work.
type Present struct {
	// Epochs are the groups that are whole.
	Epochs []uint64
	// Plain are the plain VMs that answer.
	Plain []string
	// Evidence is when the oldest probe that speaks for them was sent.
	Evidence time.Time
}

// FindPresent returns the groups of a view that serve with all their VMs, and
// the plain VMs that answer.
func FindPresent(v View) Present {
	p := planner{View: v, byID: map[string]VMView{}}
	for _, vm := range v.VMs {
		p.byID[vm.VM.ID()] = vm
	}
	present := Present{Evidence: v.Now}
	for _, g := range v.Groups {
		if oldest, whole := p.whole(g); whole {
			present.Epochs = append(present.Epochs, g.epoch)
			present.Evidence = earlier(present.Evidence, oldest)
		}
	}
	for _, vm := range v.VMs {
		plain := v.Pools[vm.VM.Pool()].Type == tree.PlainPool
		if plain && !vm.Stopping && vm.VM.State() == fleet.Live && p.answers(vm) {
			present.Plain = append(present.Plain, vm.VM.ID())
			present.Evidence = earlier(present.Evidence, vm.Sight.sent)
		}
	}
	return present
}

func earlier(a, b time.Time) time.Time {
	if b.Before(a) {
		return b
	}
	return a
}

// whole tells whether a group serves with all its VMs, and since when that is
// known at the least.
func (p *planner) whole(g Group) (time.Time, bool) {
	oldest := p.Now
	if g.state != Serving || p.stopping(g) {
		return oldest, false
	}
	for _, id := range g.members {
		vm, listed := p.byID[id]
		if !listed || !p.answers(vm) || !inGroup(vm.Sight.status, g) || vm.Sight.status.Role != engine.Ready {
			return oldest, false
		}
		oldest = earlier(oldest, vm.Sight.sent)
	}
	return oldest, true
}
