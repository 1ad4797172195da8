package claims

import (
	"time"

	"github.com/pointpass/pointpass/duty"
)

// Record is one claim in a transfer to the next owner of its slot.
type Record struct {
	customer       string
	key            string
	fingerprint    []byte
	attempt        string
	state          State
	answer         *Answer
	granted        time.Time
	settleDeadline time.Time
}

// NewRecord returns a claim that the previous owner granted.
func NewRecord(req Request, state State, answer *Answer, granted, settleDeadline time.Time) Record {
	return Record{
		customer:       req.customer,
		key:            req.key,
		fingerprint:    req.fingerprint,
		attempt:        req.attempt,
		state:          state,
		answer:         answer,
		granted:        granted,
		settleDeadline: settleDeadline,
	}
}

// Request returns the request that the claim was granted to, without its timeout.
func (r Record) Request() Request {
	return NewRequest(r.customer, r.key, r.fingerprint, r.attempt, 0)
}

// State returns the state of the claim.
func (r Record) State() State { return r.state }

// Answer returns the stored answer, nil if there is none.
func (r Record) Answer() *Answer { return r.answer }

// Granted returns when the claim was granted, by the clock of its owner.
func (r Record) Granted() time.Time { return r.granted }

// SettleDeadline returns the time after which an unsettled claim is unknown.
func (r Record) SettleDeadline() time.Time { return r.settleDeadline }

// Transfer holds all claims of a slot whose owner grants no more keys.
type Transfer struct {
	slot    int
	epoch   uint64
	since   time.Time
	records []Record
}

// NewTransfer returns the claims that the owner of a slot held in an epoch. Keys
// created before since are unknown.
func NewTransfer(slot int, epoch uint64, since time.Time, records []Record) Transfer {
	return Transfer{slot: slot, epoch: epoch, since: since, records: records}
}

// Slot returns the slot number.
func (t Transfer) Slot() int { return t.slot }

// Epoch returns the epoch under which the claims were granted.
func (t Transfer) Epoch() uint64 { return t.epoch }

// Since returns the time before which keys are unknown.
func (t Transfer) Since() time.Time { return t.since }

// name returns the name of the slot's duty.
func (t Transfer) name() string { return duty.SlotDuty(t.slot) }

// Records returns the claims, oldest first.
func (t Transfer) Records() []Record { return t.records }

// Export returns the claims of a slot, or false if this daemon doesn't own it. The
// caller must ensure that nothing more is granted in the slot.
func (l *Ledger) Export(slot int) (Transfer, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	opened, ok := l.open[slot]
	if !ok {
		return Transfer{}, false
	}
	t := Transfer{slot: slot, epoch: opened.epoch, since: opened.since}
	for e := l.byAge.Front(); e != nil; e = e.Next() {
		c := e.Value.(*claim)
		if c.slot != slot {
			continue
		}
		t.records = append(t.records, Record{
			customer:       c.id.customer,
			key:            c.id.key,
			fingerprint:    c.fingerprint,
			attempt:        c.attempt,
			state:          c.state,
			answer:         c.answer,
			granted:        c.granted,
			settleDeadline: c.settleDeadline,
		})
	}
	return t, true
}

// Import opens a slot under a new epoch with the claims of its previous owner.
func (l *Ledger) Import(epoch uint64, t Transfer) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.dropSlot(t.slot)
	l.open[t.slot] = openSlot{epoch: epoch, since: t.since}
	for _, r := range t.records {
		c := &claim{
			id:             keyID{customer: r.customer, key: r.key},
			slot:           t.slot,
			fingerprint:    r.fingerprint,
			attempt:        r.attempt,
			state:          r.state,
			granted:        r.granted,
			settleDeadline: r.settleDeadline,
		}
		l.claims[c.id] = l.byAge.PushBack(c)
		l.storeAnswer(c, r.answer)
	}
}
