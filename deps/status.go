package deps

import (
	"cmp"
	"maps"
	"slices"

	"github.com/pointpass/pointpass/fleet"
	"github.com/pointpass/pointpass/rpc"
)

// Version is the version of the daemon and the client.
const Version = "0.1.0"

// unreachableAfterPolls is the number of missed polls after which the platform's table counts as
// unreachable.
const unreachableAfterPolls = 4

// status returns the state of this daemon for operators.
func (d *Deps) status() *rpc.StatusReply {
	return &rpc.StatusReply{
		Node:             d.Config.Node(),
		Hall:             d.Config.Hall(),
		Version:          Version,
		SettingsRevision: d.Tree.Revision(),
		StoreReachable:   d.Mirror.Age() < unreachableAfterPolls*d.Config.Timing().Poll,
		Ready:            d.Ready() == nil,
		Groups:           d.groupStatus(),
		Vms:              d.vmStatus(),
		Duties:           d.dutyStatus(),
	}
}

func (d *Deps) groupStatus() []*rpc.GroupStatus {
	var list []*rpc.GroupStatus
	for _, g := range d.Groups.All() {
		list = append(list, &rpc.GroupStatus{
			Id:       g.ID(),
			Epoch:    g.Epoch(),
			Pool:     g.Pool(),
			Domain:   g.Domain(),
			State:    string(g.State()),
			Present:  d.Tracker.Present(g),
			Vms:      g.Members(),
			InFlight: int32(d.Dispatcher.InFlight(g.Pool(), g.ID())),
		})
	}
	return list
}

func (d *Deps) vmStatus() []*rpc.VMStatus {
	var list []*rpc.VMStatus
	for _, vm := range d.Fleet.Select(func(fleet.VM) bool { return true }) {
		state := string(vm.State())
		if d.Stops.StopsVM(vm.ID()) {
			state = "stopping"
		}
		list = append(list, &rpc.VMStatus{
			Id:     vm.ID(),
			Addr:   vm.Addr(),
			Hall:   vm.Hall(),
			Domain: vm.Domain(),
			Pool:   vm.Pool(),
			State:  state,
			Group:  d.Groups.GroupOf(vm.ID()),
		})
	}
	return list
}

func (d *Deps) dutyStatus() []*rpc.DutyStatus {
	duties := d.Keeper.Duties()
	var list []*rpc.DutyStatus
	for _, name := range slices.SortedFunc(maps.Keys(duties), cmp.Compare[string]) {
		list = append(list, &rpc.DutyStatus{Name: name, Holder: duties[name].Name(), Epoch: duties[name].Epoch()})
	}
	return list
}
