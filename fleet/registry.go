package fleet

import (
	"cmp"
	"maps"
	"slices"
	"sync"
)

// Registry holds the newest VM list that this daemon has read.
type Registry struct {
	mu  sync.RWMutex
	vms map[string]VM
}

// NewRegistry returns an empty registry.
func NewRegistry() *Registry { return &Registry{vms: map[string]VM{}} }

// Apply updates the VMs whose entries changed and removes those that are Gone.
func (r *Registry) Apply(vms []VM) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, vm := range vms {
		if vm.state == Gone {
			delete(r.vms, vm.id)
			continue
		}
		r.vms[vm.id] = vm
	}
}

// VM returns the VM with an id.
func (r *Registry) VM(id string) (VM, bool) {
	r.mu.RLock()
	defer r.mu.RUnlock()
	vm, ok := r.vms[id]
	return vm, ok
}

// Select returns the VMs that match, sorted by id.
func (r *Registry) Select(match func(VM) bool) []VM {
	r.mu.RLock()
	defer r.mu.RUnlock()
	var selected []VM
	for _, vm := range r.vms {
		if match(vm) {
			selected = append(selected, vm)
		}
	}
	slices.SortFunc(selected, func(a, b VM) int { return cmp.Compare(a.id, b.id) })
	return selected
}

// InPool returns the VMs of one pool, sorted by id.
func (r *Registry) InPool(pool string) []VM {
	return r.Select(func(vm VM) bool { return vm.pool == pool })
}

// Domains returns the fabric domains that contain endpoints, sorted.
func (r *Registry) Domains() []string {
	domains := map[string]bool{}
	for _, vm := range r.Select(func(vm VM) bool { return vm.pool != EntryPool }) {
		domains[vm.domain] = true
	}
	return slices.Sorted(maps.Keys(domains))
}
