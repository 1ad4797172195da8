// Package claims sees to it that a request which may not be repeated runs at
// most once. A key belongs to a slot, a slot to one daemon by its lease, and
// that daemon grants each key to one attempt, ever. Nothing is written per
// request: keys carry the time they were made at, and a new owner answers
// "unknown" for every key that the last owner may have granted.
package claims

import (
	"bytes"
	"container/list"
	"sync"
	"time"

	"github.com/pointpass/pointpass/common/reqkey"
)

// State is what the ledger says of a key.
type State int

const (
	// Granted means that the asking attempt, and no other, may run the request.
	Granted State = iota + 1
	// Running means that another attempt holds the claim.
	Running
	// Done means that an attempt ended with an answer.
	Done
	// Unknown means that an attempt may have run and its end isn't known.
	Unknown
	// Mismatch means that the key was used for another request.
	Mismatch
	// NotOwner means that this daemon can't speak for the slot.
	NotOwner
	// Ahead means that the key is dated too far in the future.
	Ahead
	// Full means that a key never seen before found no room.
	Full
)

// Answer is what a request ended with.
type Answer struct {
	status      int
	contentType string
	body        []byte
}

// NewAnswer returns an answer with an HTTP status.
func NewAnswer(status int, contentType string, body []byte) *Answer {
	return &Answer{status: status, contentType: contentType, body: body}
}

// Status returns the HTTP status.
func (a *Answer) Status() int { return a.status }

// ContentType returns the media type of the body.
func (a *Answer) ContentType() string { return a.contentType }

// Body returns the body.
func (a *Answer) Body() []byte { return a.body }

// Request asks for the claim to a key.
type Request struct {
	customer    string
	key         string
	fingerprint []byte
	attempt     string
	hold        time.Duration
}

// NewRequest returns a request for a claim. The fingerprint tells requests
// with the same key apart; the attempt's name is unique to the asker, which
// promises to settle within hold.
func NewRequest(customer, key string, fingerprint []byte, attempt string, hold time.Duration) Request {
	return Request{customer: customer, key: key, fingerprint: fingerprint, attempt: attempt, hold: hold}
}

// Customer returns whose key it is.
func (r Request) Customer() string { return r.customer }

// Key returns the caller's key.
func (r Request) Key() string { return r.key }

// Fingerprint returns what tells requests with the same key apart.
func (r Request) Fingerprint() []byte { return r.fingerprint }

// Attempt returns the attempt's name.
func (r Request) Attempt() string { return r.attempt }

// Hold returns how long the asker may take to settle.
func (r Request) Hold() time.Duration { return r.hold }

// Result is the answer to a request for a claim.
type Result struct {
	state  State
	answer *Answer
}

// NewResult returns a result; the answer may be nil.
func NewResult(state State, answer *Answer) Result { return Result{state: state, answer: answer} }

// State returns what the ledger says of the key.
func (r Result) State() State { return r.state }

// Answer returns the kept answer of a key that is done, nil if it was not kept.
func (r Result) Answer() *Answer { return r.answer }

// Settlement is how an attempt ended.
type Settlement int

const (
	// SettledNotRun means that the attempt was given up before anything of it
	// was sent. The key is free again.
	SettledNotRun Settlement = iota + 1
	// SettledDone means that the attempt ended with an answer.
	SettledDone
	// SettledUnknown means that the attempt may have run.
	SettledUnknown
)

// Bounds limits what a ledger remembers.
type Bounds struct {
	Claims      int
	AnswerBytes int64
	Keep        time.Duration
	KeyAhead    time.Duration
}

type keyID struct {
	customer string
	key      string
}

// opening says under which epoch a slot is owned, and which keys are unknown
// because they were made before.
type opening struct {
	epoch uint64
	since time.Time
}

type claim struct {
	id          keyID
	slot        int
	fingerprint []byte
	attempt     string
	state       State
	answer      *Answer
	granted     time.Time
	holdUntil   time.Time
}

// Ledger remembers the claims of the slots that this daemon owns.
type Ledger struct {
	mu     sync.Mutex
	bounds Bounds
	open   map[int]opening
	claims map[keyID]*list.Element
	order  *list.List // of *claim, oldest grant first
	bytes  int64
}

// NewLedger returns a ledger that owns no slot.
func NewLedger(bounds Bounds) *Ledger {
	return &Ledger{
		bounds: bounds,
		open:   map[int]opening{},
		claims: map[keyID]*list.Element{},
		order:  list.New(),
	}
}

// Open starts a slot afresh under a new epoch: keys made before since are
// unknown from now on.
func (l *Ledger) Open(slot int, epoch uint64, since time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.dropSlot(slot)
	l.open[slot] = opening{epoch: epoch, since: since}
}

// Close forgets a slot that another daemon owns now.
func (l *Ledger) Close(slot int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.dropSlot(slot)
}

func (l *Ledger) dropSlot(slot int) {
	delete(l.open, slot)
	for e := l.order.Front(); e != nil; {
		next := e.Next()
		if e.Value.(*claim).slot == slot {
			l.remove(e)
		}
		e = next
	}
}

// Len returns how many keys are remembered.
func (l *Ledger) Len() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.order.Len()
}

// Claim decides on a key of a slot. The time is read by the caller before it
// makes sure that the slot is its own: a key that passes here is dated before
// any successor's takeover, however long this daemon is paused afterwards.
func (l *Ledger) Claim(now time.Time, slot int, epoch uint64, req Request) Result {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.expire(now)
	opened, ok := l.open[slot]
	if !ok || opened.epoch != epoch {
		return Result{state: NotOwner}
	}
	id := keyID{customer: req.customer, key: req.key}
	if e, known := l.claims[id]; known {
		return l.known(now, e, req)
	}
	made, dated := reqkey.Time(req.key)
	switch {
	case !dated || made.After(now.Add(l.bounds.KeyAhead)):
		return Result{state: Ahead}
	case made.Before(opened.since) || made.Before(now.Add(-l.bounds.Keep)):
		return Result{state: Unknown}
	case l.order.Len() >= l.bounds.Claims:
		return Result{state: Full}
	}
	c := &claim{
		id:          id,
		slot:        slot,
		fingerprint: req.fingerprint,
		attempt:     req.attempt,
		state:       Running,
		granted:     now,
		holdUntil:   now.Add(req.hold),
	}
	l.claims[id] = l.order.PushBack(c)
	return Result{state: Granted}
}

func (l *Ledger) known(now time.Time, e *list.Element, req Request) Result {
	c := e.Value.(*claim)
	if !bytes.Equal(c.fingerprint, req.fingerprint) {
		return Result{state: Mismatch}
	}
	if c.state == Running && c.attempt == req.attempt {
		return Result{state: Granted}
	}
	if c.state == Running && now.After(c.holdUntil) {
		return Result{state: Unknown}
	}
	return Result{state: c.state, answer: c.answer}
}

// Settle ends an attempt. It tells whether the ledger knew the attempt.
func (l *Ledger) Settle(customer, key, attempt string, s Settlement, answer *Answer) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	e, known := l.claims[keyID{customer: customer, key: key}]
	if !known {
		return false
	}
	c := e.Value.(*claim)
	if c.attempt != attempt || c.state == Done {
		return false
	}
	switch s {
	case SettledNotRun:
		l.remove(e)
	case SettledUnknown:
		c.state = Unknown
	case SettledDone:
		c.state = Done
		l.keep(c, answer)
	}
	return true
}

// keep stores an answer, dropping the oldest answers, not their claims, where
// room runs out.
func (l *Ledger) keep(c *claim, answer *Answer) {
	if answer == nil || int64(len(answer.body)) > l.bounds.AnswerBytes {
		return
	}
	c.answer = answer
	l.bytes += int64(len(answer.body))
	for e := l.order.Front(); e != nil && l.bytes > l.bounds.AnswerBytes; e = e.Next() {
		if older := e.Value.(*claim); older != c {
			l.dropAnswer(older)
		}
	}
}

func (l *Ledger) dropAnswer(c *claim) {
	if c.answer == nil {
		return
	}
	l.bytes -= int64(len(c.answer.body))
	c.answer = nil
}

func (l *Ledger) remove(e *list.Element) {
	c := e.Value.(*claim)
	l.dropAnswer(c)
	delete(l.claims, c.id)
	l.order.Remove(e)
}

// expire forgets claims whose keys are answered by their age alone.
func (l *Ledger) expire(now time.Time) {
	oldest := now.Add(-l.bounds.Keep - 2*l.bounds.KeyAhead)
	for e := l.order.Front(); e != nil; e = l.order.Front() {
		if e.Value.(*claim).granted.After(oldest) {
			return
		}
		l.remove(e)
	}
}
