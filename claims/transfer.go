package claims

import (
	"time"
)

// Record is one claim on its way to the next owner of its slot.
type Record struct {
	customer    string
	key         string
	fingerprint []byte
	attempt     string
	state       State
	answer      *Answer
	granted     time.Time
	holdUntil   time.Time
}

// NewRecord returns a claim that another owner granted.
func NewRecord(req Request, state State, answer *Answer, granted, holdUntil time.Time) Record {
	return Record{
		customer:    req.customer,
		key:         req.key,
		fingerprint: req.fingerprint,
		attempt:     req.attempt,
		state:       state,
		answer:      answer,
		granted:     granted,
		holdUntil:   holdUntil,
	}
}

// Request returns whose claim it is, and for what.
func (r Record) Request() Request {
	return NewRequest(r.customer, r.key, r.fingerprint, r.attempt, 0)
}

// State returns how far the attempt has come.
func (r Record) State() State { return r.state }

// Answer returns the kept answer, nil if there is none.
func (r Record) Answer() *Answer { return r.answer }

// Granted returns when the claim was granted, by its owner's clock.
func (r Record) Granted() time.Time { return r.granted }

// HoldUntil returns when the claim counts as unknown if it isn't settled.
func (r Record) HoldUntil() time.Time { return r.holdUntil }

// Transfer is all that an owner knows of a slot in which it grants no more.
type Transfer struct {
	slot    int
	epoch   uint64
	since   time.Time
	records []Record
}

// NewTransfer returns what the owner of a slot in an epoch knew. Keys made
// before since are unknown.
func NewTransfer(slot int, epoch uint64, since time.Time, records []Record) Transfer {
	return Transfer{slot: slot, epoch: epoch, since: since, records: records}
}

// Slot returns the slot.
func (t Transfer) Slot() int { return t.slot }

// Epoch returns the epoch under which the claims were granted.
func (t Transfer) Epoch() uint64 { return t.epoch }

// Since returns the time before which keys are unknown.
func (t Transfer) Since() time.Time { return t.since }

// Records returns the claims, oldest first.
func (t Transfer) Records() []Record { return t.records }

// Export returns what the ledger knows of a slot. The caller sees to it that
// nothing is granted in the slot any more.
func (l *Ledger) Export(slot int) (Transfer, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	opened, ok := l.open[slot]
	if !ok {
		return Transfer{}, false
	}
	t := Transfer{slot: slot, epoch: opened.epoch, since: opened.since}
	for e := l.order.Front(); e != nil; e = e.Next() {
		c := e.Value.(*claim)
		if c.slot != slot {
			continue
		}
		t.records = append(t.records, Record{
			customer:    c.id.customer,
			key:         c.id.key,
			fingerprint: c.fingerprint,
			attempt:     c.attempt,
			state:       c.state,
			answer:      c.answer,
			granted:     c.granted,
			holdUntil:   c.holdUntil,
		})
	}
	return t, true
}

// Adopt opens a slot under a new epoch with all that its last owner knew.
func (l *Ledger) Adopt(epoch uint64, t Transfer) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.dropSlot(t.slot)
	l.open[t.slot] = opening{epoch: epoch, since: t.since}
	for _, r := range t.records {
		c := &claim{
			id:          keyID{customer: r.customer, key: r.key},
			slot:        t.slot,
			fingerprint: r.fingerprint,
			attempt:     r.attempt,
			state:       r.state,
			granted:     r.granted,
			holdUntil:   r.holdUntil,
		}
		l.claims[c.id] = l.order.PushBack(c)
		l.keep(c, r.answer)
	}
}
