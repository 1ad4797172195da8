package claims

import (
	"sync"
	"time"

	"github.com/pointpass/pointpass/common/reqkey"
	"github.com/pointpass/pointpass/duty"
)

// Holding tells which slots this daemon owns.
type Holding interface {
	Held(name string) (epoch uint64, ok bool)
}

// Owner answers for the slots that this daemon holds by its lease.
type Owner struct {
	ledger  *Ledger
	holding Holding
	slots   int
	ahead   time.Duration
	now     func() time.Time

	mu     sync.Mutex
	staged map[int]Transfer // handed over, until the slot is ours
}

// NewOwner returns the owner's side of claims over a number of slots.
func NewOwner(ledger *Ledger, holding Holding, slots int, ahead time.Duration, now func() time.Time) *Owner {
	return &Owner{ledger: ledger, holding: holding, slots: slots, ahead: ahead, now: now, staged: map[int]Transfer{}}
}

// Stage keeps what the last owner of a slot knew, for when the slot is ours.
func (o *Owner) Stage(t Transfer) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.staged[t.slot] = t
}

func (o *Owner) unstage(slot int, epoch uint64) (Transfer, bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	t, ok := o.staged[slot]
	delete(o.staged, slot)
	return t, ok && epoch != 0 && t.epoch == epoch
}

// Taken opens a slot after its duty was taken. Where the last owner handed over
// what it knew, the slot goes on with that. Where its lease was waited out, the
// wait covers how far ahead of a clock a key may be dated; where it released the
// slot, that has to be added.
func (o *Owner) Taken(slot int, t duty.Taken) {
	if transfer, ok := o.unstage(slot, t.Sealed()); ok {
		o.ledger.Adopt(t.Epoch(), transfer)
		return
	}
	since := o.now()
	switch {
	case t.First():
		since = time.Time{}
	case !t.Lapsed():
		since = since.Add(2 * o.ahead)
	}
	o.ledger.Open(slot, t.Epoch(), since)
}

// Claim decides on a key. The clock is read before the lease is checked.
func (o *Owner) Claim(req Request) Result {
	now := o.now()
	slot := reqkey.Slot(req.customer, req.key, o.slots)
	epoch, held := o.holding.Held(duty.SlotDuty(slot))
	if !held {
		return Result{state: NotOwner}
	}
	return o.ledger.Claim(now, slot, epoch, req)
}

// Settle ends an attempt. It needs no lease: what an attempt ended with stays
// true.
func (o *Owner) Settle(customer, key, attempt string, s Settlement, answer *Answer) bool {
	return o.ledger.Settle(customer, key, attempt, s, answer)
}
