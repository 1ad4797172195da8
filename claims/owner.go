package claims

import (
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
}

// NewOwner returns the owner's side of claims over a number of slots.
func NewOwner(ledger *Ledger, holding Holding, slots int, ahead time.Duration, now func() time.Time) *Owner {
	return &Owner{ledger: ledger, holding: holding, slots: slots, ahead: ahead, now: now}
}

// Taken opens a slot after its duty was taken. Where the last owner's lease was
// waited out, the wait covers how far ahead of a clock a key may be dated;
// where the last owner released it, that has to be added.
func (o *Owner) Taken(slot int, t duty.Taken) {
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
