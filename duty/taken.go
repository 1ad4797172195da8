package duty

// Taken tells how this daemon came by a duty.
type Taken struct {
	name   string
	epoch  uint64
	sealed uint64
	lapsed bool
}

// Name returns the duty.
func (t Taken) Name() string { return t.name }

// Epoch returns the epoch under which it is held.
func (t Taken) Epoch() uint64 { return t.epoch }

// First tells whether nobody held the duty before.
func (t Taken) First() bool { return t.epoch == 1 }

// Lapsed tells whether the last holder's lease was waited out, with margin.
func (t Taken) Lapsed() bool { return t.lapsed }

// Sealed returns the epoch whose holder handed its state over, 0 if none.
func (t Taken) Sealed() uint64 { return t.sealed }

// Holder is who holds a duty.
type Holder struct {
	name  string
	addr  string
	epoch uint64
}

// Name returns the holder's name, which changes with each of its starts.
func (h Holder) Name() string { return h.name }

// Addr returns where the holder serves other daemons.
func (h Holder) Addr() string { return h.addr }

// Epoch returns the duty's epoch.
func (h Holder) Epoch() uint64 { return h.epoch }
