package duty

// Acquisition describes how this daemon acquired a duty.
type Acquisition struct {
	name    string
	epoch   uint64
	sealed  uint64
	expired bool
}

// Name returns the name of the duty.
func (t Acquisition) Name() string { return t.name }

// Epoch returns the epoch in which this daemon holds the duty.
func (t Acquisition) Epoch() uint64 { return t.epoch }

// First reports whether the duty had no holder before.
func (t Acquisition) First() bool { return t.epoch == 1 }

// Expired reports whether the previous holder's lease and the margin had run out.
func (t Acquisition) Expired() bool { return t.expired }

// Sealed returns the epoch whose holder handed over its claims, 0 if none.
func (t Acquisition) Sealed() uint64 { return t.sealed }

// Holder is a daemon that holds a duty.
type Holder struct {
	name  string
	addr  string
	epoch uint64
}

// NewHolder returns a holder of a duty in an epoch, 0 if it doesn't hold it yet.
func NewHolder(name, addr string, epoch uint64) Holder {
	return Holder{name: name, addr: addr, epoch: epoch}
}

// Name returns the holder's name, which changes with every start.
func (h Holder) Name() string { return h.name }

// Addr returns the address at which the holder serves other daemons.
func (h Holder) Addr() string { return h.addr }

// Epoch returns the epoch of the duty.
func (h Holder) Epoch() uint64 { return h.epoch }
