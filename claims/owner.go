package claims

import (
	"sync"
	"time"

	"github.com/pointpass/pointpass/common/reqkey"
	"github.com/pointpass/pointpass/duty"
)

// Leases reports which duties this daemon holds, and in which epoch.
type Leases interface {
	Held(name string) (epoch uint64, ok bool)
}

// Owner serves claims for the slots that this daemon owns by its lease.
type Owner struct {
	ledger   *Ledger
	leases   Leases
	slots    int
	keyAhead time.Duration
	now      func() time.Time

	mu        sync.Mutex
	transfers map[int]Transfer // by slot, until this daemon takes the slot
	closed    bool             // no more transfers are accepted
}

// NewOwner returns an owner for a key space of slots slots. keyAhead is how far a
// key's timestamp may be in the future.
func NewOwner(ledger *Ledger, leases Leases, slots int, keyAhead time.Duration, now func() time.Time) *Owner {
	return &Owner{ledger: ledger, leases: leases, slots: slots, keyAhead: keyAhead, now: now, transfers: map[int]Transfer{}}
}

// AcceptTransfer keeps the claims that the previous owner of a slot handed over
// until this daemon takes the slot. It returns false after CloseTransfers.
func (o *Owner) AcceptTransfer(t Transfer) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.closed {
		return false
	}
	o.transfers[t.slot] = t
	return true
}

// CloseTransfers makes the owner reject transfers, since this daemon stops.
func (o *Owner) CloseTransfers() {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.closed = true
}

// AwaitsSlots reports whether a daemon that transferred claims to this one still holds their
// slot according to the directory.
func (o *Owner) AwaitsSlots(d Directory) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	for _, t := range o.transfers {
		if holder, held := d.HolderOf(t.name()); held && holder.Epoch() <= t.epoch {
			return true
		}
	}
	return false
}

func (o *Owner) popTransfer(slot int, epoch uint64) (Transfer, bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	t, ok := o.transfers[slot]
	delete(o.transfers, slot)
	return t, ok && epoch != 0 && t.epoch == epoch
}

// OnDutyAcquired opens a slot after this daemon acquired its duty. If the previous
// owner handed over its claims, the slot continues with them. Otherwise keys created
// before the takeover are unknown. If the previous lease expired, the wait for it
// covers the time that a key may be dated ahead of the clock. If the slot was
// released early, that time is added.
func (o *Owner) OnDutyAcquired(slot int, t duty.Acquisition) {
	if transfer, ok := o.popTransfer(slot, t.Sealed()); ok {
		o.ledger.Import(t.Epoch(), transfer)
		return
	}
	since := o.now()
	switch {
	case t.First():
		since = time.Time{}
	case !t.Expired():
		since = since.Add(2 * o.keyAhead)
	}
	o.ledger.Open(slot, t.Epoch(), since)
}

// Claim grants or refuses a key. It reads the clock before it checks the lease, as
// Ledger.Claim requires.
func (o *Owner) Claim(req Request) Result {
	now := o.now()
	slot := reqkey.Slot(req.customer, req.key, o.slots)
	epoch, held := o.leases.Held(duty.SlotDuty(slot))
	if !held {
		return Result{state: NotOwner}
	}
	return o.ledger.Claim(now, slot, epoch, req)
}

// Settle records how an attempt ended. It needs no lease, since the outcome of an
// attempt doesn't change.
func (o *Owner) Settle(customer, key, attempt string, s Settlement, answer *Answer) bool {
	return o.ledger.Settle(customer, key, attempt, s, answer)
}
