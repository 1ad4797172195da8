package groups

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"github.com/pointpass/pointpass/engine"
	"github.com/pointpass/pointpass/fleet"
	"github.com/pointpass/pointpass/tree"
)

// Observation is the result of the controller's latest probes of one VM.
type Observation struct {
	since   time.Time // when the controller started to probe the VM
	status  engine.Status
	sent    time.Time // when the last answered probe was sent, zero if none
	refused int       // consecutive refused probes since then
}

// NewObservation returns the observation of a VM that is probed from a time on.
func NewObservation(since time.Time) Observation { return Observation{since: since} }

// Answered returns the observation after a probe returned a status. sent is when the
// probe was sent.
func (o Observation) Answered(status engine.Status, sent time.Time) Observation {
	return Observation{since: o.since, status: status, sent: sent}
}

// Refused returns the observation after a probe was refused.
func (o Observation) Refused() Observation {
	o.refused++
	return o
}

// unansweredFor returns how long the VM hasn't answered a probe.
func (o Observation) unansweredFor(now time.Time) time.Duration {
	if o.sent.After(o.since) {
		return now.Sub(o.sent)
	}
	return now.Sub(o.since)
}

// maxRefusals is the number of consecutive refused probes at which a VM counts as
// lost, before the timeout for absent VMs.
const maxRefusals = 2

// VMView is the state of one VM in a View.
type VMView struct {
	VM fleet.VM
	// Observation is the result of the latest probes.
	Observation Observation
	// Member is the group that the VM belongs to according to the table, or "".
	Member string
	// Stopping is set if the VM must not get new work.
	Stopping bool
}

// View is the input of a plan for one domain.
type View struct {
	Domain string
	Now    time.Time
	VMs    []VMView
	// Groups are the groups of the domain.
	Groups []Group
	// Pools are the settings of all pools.
	Pools map[string]tree.Pool
	// PoolGroups counts the groups of each pool in all domains.
	PoolGroups map[string]int
	// StoppingGroups are the groups with an announced stop.
	StoppingGroups map[string]bool
	// Suspect is the age of a VM's last answer at which its group gets no new
	// work. Absent is the age at which the group is dissolved.
	Suspect, Absent time.Duration
	// Load is the timeout for a group to load.
	Load time.Duration
	// MaxLoads is the maximum number of groups that load at once.
	MaxLoads int
}

// Action is one step of a plan.
type Action interface{ action() }

// Form creates a group of free VMs.
type Form struct {
	Pool    string
	Members []string
}

// SendOrder sends an order to a VM.
type SendOrder struct {
	VM    fleet.VM
	Order engine.Order
}

// Advance moves a group to another state. ProbeAge is the age of the leader's last answer, by
// which that was decided.
type Advance struct {
	Group    Group
	State    State
	ProbeAge time.Duration
}

// Dissolve removes a group. Its epoch is never reused.
type Dissolve struct {
	Group  Group
	Reason string
}

func (Form) action()      {}
func (SendOrder) action() {}
func (Advance) action()   {}
func (Dissolve) action()  {}

// Plan returns the actions for a domain. It is a pure function: the same view
// always gives the same plan.
func Plan(v View) []Action {
	p := planner{View: v, byID: map[string]VMView{}}
	for _, vm := range v.VMs {
		p.byID[vm.VM.ID()] = vm
	}
	for _, g := range v.Groups {
		p.planGroup(g)
	}
	p.planStaleMembers()
	p.planFormations()
	return p.actions
}

type planner struct {
	View
	byID    map[string]VMView
	actions []Action
}

func (p *planner) add(a Action) { p.actions = append(p.actions, a) }

func (p *planner) advance(g Group, s State) {
	p.add(Advance{Group: g, State: s, ProbeAge: p.Now.Sub(p.byID[g.Leader()].Observation.sent)})
}

func (p *planner) planGroup(g Group) {
	if reason := p.lossReason(g); reason != "" {
		p.add(Dissolve{Group: g, Reason: reason})
		return
	}
	switch g.state {
	case Loading:
		p.planLoading(g)
	case Serving:
		p.planServing(g)
	case Draining:
		p.planDraining(g)
	}
}

// lossReason returns why a group can't serve in its epoch any more, "" if it can.
func (p *planner) lossReason(g Group) string {
	for _, id := range g.members {
		vm, listed := p.byID[id]
		switch {
		case !listed:
			return id + " is gone from the VM list"
		case vm.Observation.refused >= maxRefusals:
			return id + " refuses connections"
		case vm.Observation.unansweredFor(p.Now) > p.Absent:
			return id + " doesn't answer"
		case vm.Observation.sent.IsZero():
			continue
		case vm.Observation.status.Epoch > g.epoch:
			return id + " is in a later epoch"
		case g.state != Loading && !inGroup(vm.Observation.status, g):
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
		p.add(Dissolve{Group: g, Reason: "planned stop before serving"})
		return
	}
	if p.Now.Sub(g.formed) > p.Load {
		p.add(Dissolve{Group: g, Reason: "not loaded in time"})
		return
	}
	ready := 0
	for _, id := range g.members {
		vm := p.byID[id]
		switch {
		case inGroup(vm.Observation.status, g):
			ready++
		case vm.Observation.status.Group != g.id || vm.Observation.status.Epoch != g.epoch:
			p.add(SendOrder{VM: vm.VM, Order: orderFor(g, engine.Ready)})
		}
	}
	if ready == len(g.members) {
		p.advance(g, Serving)
	}
}

// planServing starts to drain a group whose stop is announced. Members that drain without one are
// ordered to be ready: an order to drain may take effect after the stop is cancelled, and after the
// probe by which the group returned to this state.
func (p *planner) planServing(g Group) {
	if p.stopping(g) {
		p.advance(g, Draining)
		return
	}
	for _, id := range g.members {
		vm := p.byID[id]
		if inGroup(vm.Observation.status, g) && vm.Observation.status.Role == engine.Draining {
			p.add(SendOrder{VM: vm.VM, Order: orderFor(g, engine.Ready)})
		}
	}
}

// planDraining orders the leader to refuse new work, since some daemons may still
// send it, and dissolves the group once the leader is idle.
func (p *planner) planDraining(g Group) {
	leader := p.byID[g.Leader()]
	s := leader.Observation.status
	if !p.stopping(g) {
		if s.Role == engine.Draining {
			p.add(SendOrder{VM: leader.VM, Order: orderFor(g, engine.Ready)})
			return
		}
		p.advance(g, Serving)
		return
	}
	if s.Role != engine.Draining {
		p.add(SendOrder{VM: leader.VM, Order: orderFor(g, engine.Draining)})
		return
	}
	if s.Running+s.Waiting == 0 {
		p.add(Dissolve{Group: g, Reason: "planned stop"})
	}
}

func orderFor(g Group, role engine.Role) engine.Order {
	return engine.Order{Role: role, Group: g.id, Epoch: g.epoch, Model: g.pool, Members: g.members}
}

// planStaleMembers orders VMs to leave groups that they aren't members of according
// to the table.
func (p *planner) planStaleMembers() {
	for _, vm := range p.VMs {
		s := vm.Observation.status
		if vm.Member != "" || s.Group == "" || !p.responsive(vm) {
			continue
		}
		p.add(SendOrder{VM: vm.VM, Order: engine.Order{Role: engine.Idle, Group: s.Group, Epoch: s.Epoch}})
	}
}

func (p *planner) responsive(vm VMView) bool {
	return vm.Observation.refused == 0 && !vm.Observation.sent.IsZero() && p.Now.Sub(vm.Observation.sent) <= p.Suspect
}

func (p *planner) planFormations() {
	loads := 0
	for _, g := range p.Groups {
		if g.state == Loading {
			loads++
		}
	}
	for _, name := range p.poolsByDowntimeWeight() {
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

// poolsByDowntimeWeight returns the model pools, highest downtime weight first.
func (p *planner) poolsByDowntimeWeight() []string {
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

// freeVMs returns the VMs of a pool that can join a new group, in the view's order.
func (p *planner) freeVMs(pool string) []VMView {
	var free []VMView
	for _, vm := range p.VMs {
		idle := vm.Observation.status.Group == "" && vm.Observation.status.Role == engine.Idle
		usable := vm.VM.State() == fleet.Live && !vm.Stopping && vm.Member == ""
		if vm.VM.Pool() == pool && idle && usable && p.responsive(vm) {
			free = append(free, vm)
		}
	}
	return free
}

// Presence lists the groups and VMs of a domain that may get new work.
type Presence struct {
	// Epochs are the epochs of the groups whose members are all ready.
	Epochs []uint64
	// Plain are the IDs of the plain VMs that answer probes.
	Plain []string
	// Evidence is when the oldest probe that this is based on was sent.
	Evidence time.Time
}

// FindPresence returns the groups of a view that serve with all their VMs, and
// the plain VMs that answer probes. It returns false while nothing is known yet of a VM, since
// this daemon has just started to probe it or has stalled.
func FindPresence(v View) (Presence, bool) {
	p := planner{View: v, byID: map[string]VMView{}}
	for _, vm := range v.VMs {
		p.byID[vm.VM.ID()] = vm
	}
	if slices.ContainsFunc(v.VMs, p.unknown) {
		return Presence{}, false
	}
	present := Presence{Evidence: v.Now}
	for _, g := range v.Groups {
		if oldest, absence := p.presenceOf(g); absence == "" {
			present.Epochs = append(present.Epochs, g.epoch)
			present.Evidence = earlier(present.Evidence, oldest)
		}
	}
	for _, vm := range v.VMs {
		plain := v.Pools[vm.VM.Pool()].Type == tree.PlainPool
		if plain && !vm.Stopping && vm.VM.State() == fleet.Live && p.responsive(vm) {
			present.Plain = append(present.Plain, vm.VM.ID())
			present.Evidence = earlier(present.Evidence, vm.Observation.sent)
		}
	}
	return present, true
}

// unknown reports whether a VM that may serve has neither answered nor refused a probe since this
// daemon started to probe it, and may still do so in time.
func (p *planner) unknown(vm VMView) bool {
	o := vm.Observation
	if vm.Member == "" && p.Pools[vm.VM.Pool()].Type != tree.PlainPool {
		return false
	}
	return o.refused == 0 && !o.sent.After(o.since) && p.Now.Sub(o.since) <= p.Suspect
}

func earlier(a, b time.Time) time.Time {
	if b.Before(a) {
		return b
	}
	return a
}

// absenceReason returns why a group of a view may get no new work, "" if it may.
func absenceReason(v View, g Group) string {
	p := planner{View: v, byID: map[string]VMView{}}
	for _, vm := range v.VMs {
		p.byID[vm.VM.ID()] = vm
	}
	_, absence := p.presenceOf(g)
	return absence
}

// presenceOf returns when the oldest probe was sent that shows that a group serves with all its
// VMs, or the reason why it doesn't.
func (p *planner) presenceOf(g Group) (oldest time.Time, absence string) {
	oldest = p.Now
	if g.state != Serving {
		return oldest, "its state is " + string(g.state)
	}
	if p.stopping(g) {
		return oldest, "its stop is announced"
	}
	for _, id := range g.members {
		vm, listed := p.byID[id]
		switch {
		case !listed:
			return oldest, id + " is gone from the VM list"
		case !p.responsive(vm):
			return oldest, fmt.Sprintf("%s has not answered for %v, with %d refusals", id, vm.Observation.unansweredFor(p.Now).Round(time.Millisecond), vm.Observation.refused)
		case !inGroup(vm.Observation.status, g) || vm.Observation.status.Role != engine.Ready:
			s := vm.Observation.status
			return oldest, fmt.Sprintf("%s is %s in group %q, epoch %d", id, s.Role, s.Group, s.Epoch)
		}
		oldest = earlier(oldest, vm.Observation.sent)
	}
	return oldest, ""
}
