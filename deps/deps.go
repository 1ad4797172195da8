// Package deps wires the parts of a daemon together. No other package depends on all of them.
package deps

import (
	"fmt"
	"strconv"
	"strings"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/phuslu/log"

	"github.com/pointpass/pointpass/audit"
	"github.com/pointpass/pointpass/claims"
	"github.com/pointpass/pointpass/common/clock"
	"github.com/pointpass/pointpass/common/control"
	"github.com/pointpass/pointpass/common/meter"
	"github.com/pointpass/pointpass/config"
	"github.com/pointpass/pointpass/dispatch"
	"github.com/pointpass/pointpass/duty"
	"github.com/pointpass/pointpass/engine"
	"github.com/pointpass/pointpass/fleet"
	"github.com/pointpass/pointpass/gateway"
	"github.com/pointpass/pointpass/groups"
	"github.com/pointpass/pointpass/mirror"
	"github.com/pointpass/pointpass/operator"
	"github.com/pointpass/pointpass/peer"
	"github.com/pointpass/pointpass/presence"
	"github.com/pointpass/pointpass/retry"
	"github.com/pointpass/pointpass/stops"
	"github.com/pointpass/pointpass/table"
	"github.com/pointpass/pointpass/tree"
)

// Deps holds the parts of one daemon.
type Deps struct {
	Config     *config.Config
	Log        *log.Logger
	Metrics    *metrics.Set
	Clients    *DaemonClients
	Control    *meter.Meter // all traffic except requests
	Platform   *table.Client
	Fleet      *fleet.Registry
	Groups     *groups.Registry
	Stops      *stops.Registry
	Tree       *tree.Holder
	Mirror     *mirror.Mirror
	Keeper     *duty.Keeper
	Ledger     *claims.Ledger
	Owner      *claims.Owner
	Controller *groups.Controller
	Tracker    *presence.Tracker
	Dispatcher *dispatch.Dispatcher
	Gateway    *gateway.Gateway
	Peers      *peer.Client
	PeerServer *peer.Server
	Operator   *operator.Server
}

// New wires a daemon. Nothing runs before Run. The returned function frees the resources of the
// parts.
func New(cfg *config.Config, logger *log.Logger) (*Deps, func()) {
	d := &Deps{
		Config:  cfg,
		Log:     logger,
		Metrics: metrics.NewSet(),
		Control: &meter.Meter{},
		Fleet:   fleet.NewRegistry(),
		Groups:  groups.NewRegistry(),
		Stops:   stops.NewRegistry(),
	}
	limitMemory(cfg.Limits().Memory())
	d.Clients = newDaemonClients(d)
	client, closeClient := table.NewClient(cfg.PlatformAddr(), cfg.Timing().Platform, d.Control.DialContext)
	controlHTTP, closeControl := control.NewClient(cfg.ControlToken(), d.Control.DialContext)
	endpoints, closeEndpoints := engine.NewClient(d.Control.DialContext)
	sender, closeSender := engine.NewSender()
	d.Platform = client
	d.Tree = tree.NewHolder(d.treeChanged)
	d.Mirror = mirror.New(client, cfg.Timing().Poll, clock.Now, d.Fleet.Apply)
	d.Peers = peer.NewClient(controlHTTP, cfg.Timing().Peer, cfg.ControlAddr(), cfg.Peers(), d.Fleet, clock.Now, logger)
	d.wireDuties()
	d.wireClaims()
	d.wireControl(endpoints)
	closeDispatcher := d.wireRequests(sender)
	d.wireServers()
	d.subscribe()
	return d, func() {
		closeDispatcher()
		closeSender()
		closeEndpoints()
		closeControl()
		closeClient()
	}
}

func (d *Deps) treeChanged(t *tree.Tree) {
	d.Log.Info().Uint64("revision", t.Revision()).Msg("settings in force")
}

func (d *Deps) wireDuties() {
	d.Keeper = duty.NewKeeper(d.Platform, duty.Options{
		Node:       d.Config.Node(),
		Addr:       d.Config.ControlAddr(),
		Lease:      d.Config.Timing().Lease,
		Margin:     d.Config.Timing().LeaseMargin,
		Candidates: d.candidates,
		Wanted:     d.wantedDuties,
		OnAcquired: d.dutyTaken,
		Now:        clock.Now,
		Log:        d.Log,
	})
}

// candidates returns the daemons that may hold duties. Their number is limited, so that lease
// writes don't grow with the number of daemons.
func (d *Deps) candidates() []string {
	var nodes []string
	for _, vm := range d.Fleet.InPool(fleet.EntryPool) {
		if vm.State() == fleet.Live {
			nodes = append(nodes, vm.ID())
		}
	}
	ranked := duty.Rank("holders", nodes)
	return ranked[:min(d.Config.Limits().Holders, len(ranked))]
}

func (d *Deps) wantedDuties() []string {
	var wanted []string
	for slot := range d.Config.Limits().Slots {
		wanted = append(wanted, duty.SlotDuty(slot))
	}
	for _, domain := range d.Fleet.Domains() {
		wanted = append(wanted, duty.DomainDuty(domain))
	}
	return wanted
}

func (d *Deps) dutyTaken(t duty.Acquisition) {
	if slot, ok := slotOf(t.Name()); ok {
		d.Owner.OnDutyAcquired(slot, t)
		return
	}
	if domain, ok := strings.CutPrefix(t.Name(), "domain/"); ok {
		d.Controller.OnDutyAcquired(domain)
	}
}

// slotOf returns the slot of a duty, and false if the duty isn't for a slot.
func slotOf(name string) (int, bool) {
	number, found := strings.CutPrefix(name, "slot/")
	slot, err := strconv.Atoi(number)
	return slot, found && err == nil
}

func (d *Deps) wireClaims() {
	limits := d.Config.Limits()
	timing := d.Config.Timing()
	d.Ledger = claims.NewLedger(claims.Bounds{
		Claims:      limits.Claims,
		AnswerBytes: limits.ClaimsBytes,
		Retention:   timing.KeepClaims,
		KeyAhead:    timing.KeyAhead,
	})
	d.Owner = claims.NewOwner(d.Ledger, d.Keeper, limits.Slots, timing.KeyAhead, clock.Now)
}

func (d *Deps) wireControl(endpoints *engine.Client) {
	d.Controller = groups.NewController(groups.Options{
		Node:        d.Config.Node(),
		Timing:      d.Config.Timing(),
		MaxLoads:    d.Config.Limits().Loads,
		Duties:      d.Keeper,
		Endpoints:   endpoints,
		Store:       d.Platform,
		Stops:       d.Stops,
		Broadcaster: d,
		Groups:      d.Groups,
		Fleet:       d.Fleet,
		Tree:        d.Tree.Current,
		Changed:     d.Mirror.PollNow,
		Now:         clock.Now,
		Log:         d.Log,
	})
	d.Tracker = presence.NewTracker(presence.Options{
		Timing:    d.Config.Timing(),
		Directory: d.Keeper,
		Remote:    d.Peers,
		Prober:    endpoints,
		Local:     d.Controller.Reports,
		Groups:    d.Groups,
		Fleet:     d.Fleet,
		Stopping:  d.Stops.StopsVM,
		Now:       clock.Now,
		Log:       d.Log,
	})
}

// GroupStopped notifies this daemon and all others that a group has ended.
func (d *Deps) GroupStopped(g groups.Group) {
	d.Tracker.MarkStopped(g.ID())
	d.Peers.GroupStopped(g)
}

func (d *Deps) wireRequests(sender *engine.Sender) func() {
	limits := d.Config.Limits()
	timing := d.Config.Timing()
	dispatcher, closeDispatcher := dispatch.New(dispatch.Options{
		Hall:    d.Config.Hall(),
		Targets: d.Tracker,
		Daemons: func() int { return len(d.Fleet.InPool(fleet.EntryPool)) },
		Pool:    d.pool,
		Now:     clock.Now,
		Tick:    timing.Probe / 4,
		// By then a group with a silent member is given up.
		UnknownWait: timing.Absent,
	})
	d.Dispatcher = dispatcher
	durable := claims.NewTable(d.Platform, limits.UndatedClaims, clock.Now)
	d.Gateway = gateway.New(gateway.Options{
		Config:     d.Config,
		Tree:       d.Tree.Current,
		Claims:     claims.NewClient(d.Owner, d.Keeper, d.Peers, durable, limits.Slots, timing.Probe),
		Dispatcher: dispatcher,
		Sender:     sender,
		Presence:   d.Tracker,
		Budgets:    retry.NewBudgets(),
		Bodies:     d.Clients.Bodies(),
		Metrics:    d.Metrics,
		Now:        clock.Now,
		Log:        d.Log,
	})
	return closeDispatcher
}

func (d *Deps) pool(name string) (tree.Pool, bool) {
	t := d.Tree.Current()
	if t == nil {
		return tree.Pool{}, false
	}
	return t.Pool(name)
}

func (d *Deps) wireServers() {
	d.PeerServer = peer.NewServer(d.Owner, d.Controller.Reports, d.Tracker.MarkStopped, d.Tree.Current, clock.Now)
	d.Operator = operator.NewServer(operator.Options{
		Tree:           d.editableTree,
		Refresh:        d.Mirror.Poll,
		Editor:         tree.NewEditor(d.Platform, clock.Now),
		OnEditAccepted: d.Tree.Replace,
		Announcer:      stops.NewAnnouncer(d.Platform, clock.Now),
		Stops:          d.Stops.List,
		Exists:         d.exists,
		Audit:          d.Platform,
		Status:         d.status,
		OnChange:       d.Mirror.PollNow,
		Now:            clock.Now,
	})
	d.Metrics.NewGauge("pointpass_settings_revision", func() float64 { return float64(d.Tree.Revision()) })
	d.Metrics.NewGauge("pointpass_control_bytes", func() float64 { return float64(d.Control.Bytes()) })
	d.Metrics.NewGauge("pointpass_claims", func() float64 { return float64(d.Ledger.Len()) })
	d.Metrics.NewGauge("pointpass_table_age_seconds", func() float64 { return min(d.Mirror.Age().Seconds(), 1e9) })
}

// exists reports whether the VM list or the table contains a VM or a group.
func (d *Deps) exists(vm, group string) bool {
	if group != "" {
		_, ok := d.Groups.Group(group)
		return ok
	}
	_, ok := d.Fleet.VM(vm)
	return ok
}

// editableTree returns the newest tree. Before the first edit it returns an empty tree, provided
// that the platform's table was read recently, else nil.
func (d *Deps) editableTree() *tree.Tree {
	if t := d.Tree.Current(); t != nil {
		return t
	}
	if d.Mirror.Age() < unreachableAfterPolls*d.Config.Timing().Poll {
		return tree.Empty()
	}
	return nil
}

// subscribe registers the parts that consume the table's rows. Leases come before duties, since the
// holder of a duty is valid only while its lease is.
func (d *Deps) subscribe() {
	d.Mirror.OnRecovery(d.Keeper.RestartExpiry)
	d.Mirror.OnRead(d.Keeper.ReadDone)
	d.Mirror.Subscribe(duty.NodePrefix, d.Keeper.ApplyNodes)
	d.Mirror.Subscribe(duty.DutyPrefix, d.Keeper.ApplyDuties)
	d.Mirror.Subscribe(groups.DomainPrefix, d.Groups.ApplyDomains)
	d.Mirror.Subscribe(groups.MemberPrefix, d.Groups.ApplyMembers)
	d.Mirror.Subscribe(groups.GroupPrefix, d.Groups.ApplyGroups)
	d.Mirror.Subscribe(stops.Prefix, d.applyStops)
	d.Mirror.Subscribe(tree.Prefix, d.applyTree)
}

func (d *Deps) applyStops(rows []table.Row, observed time.Time) {
	d.Stops.ApplyRows(rows, observed)
	for _, row := range rows {
		d.Log.Info().Str("stop", strings.TrimPrefix(row.Key(), stops.Prefix)).Bool("announced", !row.Deleted()).Uint64("version", row.Version()).Dur("read_took", clock.Since(observed)).Msg("stops changed")
	}
}

func (d *Deps) applyTree(rows []table.Row, _ time.Time) {
	if err := d.Tree.ApplyRows(rows); err != nil {
		d.Log.Error().Err(err).Msg("cannot read settings from the platform's table; keeping the last ones")
	}
}

// Ready returns nil once the daemon may serve callers, else the reason why not.
func (d *Deps) Ready() error {
	if d.Tree.Current() == nil {
		return fmt.Errorf("no settings revision is known yet")
	}
	return nil
}

var _ audit.Reader = (*table.Client)(nil)
