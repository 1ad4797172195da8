// Package claims ensures that a request which may not be repeated runs at most
// once. A key belongs to a slot, and one daemon owns the slot by its lease. The
// owner grants each key to one attempt only. Nothing is written per request: keys
// carry their creation time, and a new owner answers "unknown" for every key that
// the previous owner may have granted.
package claims

import (
	"bytes"
	"container/list"
	"sync"
	"time"

	"github.com/pointpass/pointpass/common/reqkey"
)

// State is the state of a key in the ledger.
type State int

const (
	// Granted means that the requesting attempt, and no other, may run the request.
	Granted State = iota + 1
	// Running means that another attempt holds the claim.
	Running
	// Done means that an attempt finished with an answer.
	Done
	// Unknown means that an attempt may have run and its outcome isn't known.
	Unknown
	// Mismatch means that the key was used for another request.
	Mismatch
	// NotOwner means that this daemon doesn't own the slot.
	NotOwner
	// Ahead means that the key's timestamp is too far in the future.
	Ahead
	// Full means that the ledger has no space for a new key.
	Full
)

// Answer is the HTTP response of a finished request.
type Answer struct {
	status      int
	contentType string
	body        []byte
}

// NewAnswer returns an answer with the HTTP status, media type and body.
func NewAnswer(status int, contentType string, body []byte) *Answer {
	return &Answer{status: status, contentType: contentType, body: body}
}

// Status returns the HTTP status.
func (a *Answer) Status() int { return a.status }

// ContentType returns the media type of the body.
func (a *Answer) ContentType() string { return a.contentType }

// Body returns the response body.
func (a *Answer) Body() []byte { return a.body }

// Request is an attempt's request for the claim to a key.
type Request struct {
	customer      string
	key           string
	fingerprint   []byte
	attempt       string
	settleTimeout time.Duration
}

// NewRequest returns a request for a claim. The fingerprint distinguishes requests
// with the same key. The attempt ID is unique to the caller, which must settle
// within settleTimeout.
func NewRequest(customer, key string, fingerprint []byte, attempt string, settleTimeout time.Duration) Request {
	return Request{customer: customer, key: key, fingerprint: fingerprint, attempt: attempt, settleTimeout: settleTimeout}
}

// Customer returns the customer that the key belongs to.
func (r Request) Customer() string { return r.customer }

// Key returns the idempotency key.
func (r Request) Key() string { return r.key }

// Fingerprint returns the digest that distinguishes requests with the same key.
func (r Request) Fingerprint() []byte { return r.fingerprint }

// Attempt returns the attempt ID.
func (r Request) Attempt() string { return r.attempt }

// SettleTimeout returns how long the caller may take to settle.
func (r Request) SettleTimeout() time.Duration { return r.settleTimeout }

// Result is the reply to a request for a claim.
type Result struct {
	state  State
	answer *Answer
}

// NewResult returns a result; the answer may be nil.
func NewResult(state State, answer *Answer) Result { return Result{state: state, answer: answer} }

// State returns the state of the key.
func (r Result) State() State { return r.state }

// Answer returns the stored answer of a key that is done, nil if none is stored.
func (r Result) Answer() *Answer { return r.answer }

// Settlement is the outcome of an attempt.
type Settlement int

const (
	// SettledNotRun means that the attempt was abandoned before any of it was
	// sent. The key is free again.
	SettledNotRun Settlement = iota + 1
	// SettledDone means that the attempt finished with an answer.
	SettledDone
	// SettledUnknown means that the attempt may have run.
	SettledUnknown
)

// Bounds limits the number, size and age of the claims in a ledger.
type Bounds struct {
	Claims      int
	AnswerBytes int64
	Retention   time.Duration
	KeyAhead    time.Duration
}

type keyID struct {
	customer string
	key      string
}

// openSlot is a slot owned by this daemon. Keys created before since are unknown.
type openSlot struct {
	epoch uint64
	since time.Time
}

type claim struct {
	id             keyID
	slot           int
	fingerprint    []byte
	attempt        string
	state          State
	answer         *Answer
	granted        time.Time
	settleDeadline time.Time
}

// Ledger holds the claims of the slots that this daemon owns, in memory.
type Ledger struct {
	mu          sync.Mutex
	bounds      Bounds
	open        map[int]openSlot
	claims      map[keyID]*list.Element
	byAge       *list.List // of *claim, oldest grant first
	answerBytes int64
}

// NewLedger returns a ledger that owns no slot.
func NewLedger(bounds Bounds) *Ledger {
	return &Ledger{
		bounds: bounds,
		open:   map[int]openSlot{},
		claims: map[keyID]*list.Element{},
		byAge:  list.New(),
	}
}

// Open starts a slot without claims under a new epoch. Keys created before since
// are unknown.
func (l *Ledger) Open(slot int, epoch uint64, since time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.dropSlot(slot)
	l.open[slot] = openSlot{epoch: epoch, since: since}
}

// Close drops a slot that another daemon owns now.
func (l *Ledger) Close(slot int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.dropSlot(slot)
}

func (l *Ledger) dropSlot(slot int) {
	delete(l.open, slot)
	for e := l.byAge.Front(); e != nil; {
		next := e.Next()
		if e.Value.(*claim).slot == slot {
			l.remove(e)
		}
		e = next
	}
}

// Len returns the number of keys in the ledger.
func (l *Ledger) Len() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.byAge.Len()
}

// Claim grants or refuses a key of a slot. The caller reads now before it checks
// its lease on the slot. A key granted here is therefore dated before any
// successor's takeover, even if this daemon is paused in between.
func (l *Ledger) Claim(now time.Time, slot int, epoch uint64, req Request) Result {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.expire(now)
	opened, ok := l.open[slot]
	if !ok || opened.epoch != epoch {
		return Result{state: NotOwner}
	}
	id := keyID{customer: req.customer, key: req.key}
	if e, found := l.claims[id]; found {
		return l.existing(now, e, req)
	}
	made, dated := reqkey.Time(req.key)
	switch {
	case !dated || made.After(now.Add(l.bounds.KeyAhead)):
		return Result{state: Ahead}
	case made.Before(opened.since) || made.Before(now.Add(-l.bounds.Retention)):
		return Result{state: Unknown}
	case l.byAge.Len() >= l.bounds.Claims:
		return Result{state: Full}
	}
	c := &claim{
		id:             id,
		slot:           slot,
		fingerprint:    req.fingerprint,
		attempt:        req.attempt,
		state:          Running,
		granted:        now,
		settleDeadline: now.Add(req.settleTimeout),
	}
	l.claims[id] = l.byAge.PushBack(c)
	return Result{state: Granted}
}

func (l *Ledger) existing(now time.Time, e *list.Element, req Request) Result {
	c := e.Value.(*claim)
	if !bytes.Equal(c.fingerprint, req.fingerprint) {
		return Result{state: Mismatch}
	}
	if c.state == Running && c.attempt == req.attempt {
		return Result{state: Granted}
	}
	if c.state == Running && now.After(c.settleDeadline) {
		return Result{state: Unknown}
	}
	return Result{state: c.state, answer: c.answer}
}

// Settle records how an attempt ended. It reports whether the attempt was recorded:
// false if the ledger doesn't hold its claim or has it as done already.
func (l *Ledger) Settle(customer, key, attempt string, s Settlement, answer *Answer) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	e, found := l.claims[keyID{customer: customer, key: key}]
	if !found {
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
		l.storeAnswer(c, answer)
	}
	return true
}

// storeAnswer stores an answer, unless it alone exceeds the size limit of all answers.
// If they exceed it together, it evicts the oldest answers but keeps their claims.
func (l *Ledger) storeAnswer(c *claim, answer *Answer) {
	if answer == nil || int64(len(answer.body)) > l.bounds.AnswerBytes {
		return
	}
	c.answer = answer
	l.answerBytes += int64(len(answer.body))
	for e := l.byAge.Front(); e != nil && l.answerBytes > l.bounds.AnswerBytes; e = e.Next() {
		if older := e.Value.(*claim); older != c {
			l.dropAnswer(older)
		}
	}
}

func (l *Ledger) dropAnswer(c *claim) {
	if c.answer == nil {
		return
	}
	l.answerBytes -= int64(len(c.answer.body))
	c.answer = nil
}

func (l *Ledger) remove(e *list.Element) {
	c := e.Value.(*claim)
	l.dropAnswer(c)
	delete(l.claims, c.id)
	l.byAge.Remove(e)
}

// expire drops claims whose keys are so old that Claim answers Unknown without them.
func (l *Ledger) expire(now time.Time) {
	oldest := now.Add(-l.bounds.Retention - 2*l.bounds.KeyAhead)
	for e := l.byAge.Front(); e != nil; e = l.byAge.Front() {
		if e.Value.(*claim).granted.After(oldest) {
			return
		}
		l.remove(e)
	}
}
