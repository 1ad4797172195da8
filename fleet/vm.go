// Package fleet holds the VMs that the platform lists.
package fleet

// State is the state of a VM as the platform reports it.
type State string

const (
	// Live means that the VM may be used.
	Live State = "live"
	// Leaving means that the VM will be removed soon and takes no new work.
	Leaving State = "leaving"
	// Gone means that the VM no longer exists.
	Gone State = "gone"
)

// EntryPool is the pool of the VMs that pointpassd itself runs on.
const EntryPool = "entry"

// VM is a virtual machine as the platform lists it.
type VM struct {
	id     string
	addr   string
	hall   string
	domain string
	pool   string
	state  State
}

// NewVM returns a VM. The address is an IP address and a port.
func NewVM(id, addr, hall, domain, pool string, state State) VM {
	return VM{id: id, addr: addr, hall: hall, domain: domain, pool: pool, state: state}
}

// ID returns the platform's id of the VM.
func (v VM) ID() string { return v.id }

// Addr returns the IP address and port on which the VM listens.
func (v VM) Addr() string { return v.addr }

// Hall returns the data hall that the VM runs in.
func (v VM) Hall() string { return v.hall }

// Domain returns the fabric domain; only VMs of one domain can form a group.
func (v VM) Domain() string { return v.domain }

// Pool returns the name of the pool that the VM belongs to.
func (v VM) Pool() string { return v.pool }

// State returns the VM's state as the platform reports it.
func (v VM) State() State { return v.state }
