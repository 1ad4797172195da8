package serving

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/pointpass/pointpass/quarantine"
)

// errSilent is the cancellation cause of a stream whose target sends no further events.
var errSilent = fmt.Errorf("in the middle of a stream: %w", errStalled)

// errWarned is the cancellation cause of an attempt at a group that another daemon reported
// dead.
var errWarned = fmt.Errorf("another daemon reported the group dead: %w", errStalled)

// errHeld is the cancellation cause of an attempt that waits for its first event while its request
// is held back.
var errHeld = fmt.Errorf("the request is held back: %w", errStalled)

const (
	// maxStreamSilence is how long one stream may get no events while the target serves
	// others.
	maxStreamSilence = 1600 * time.Millisecond
	// warnedEventTimeout is how long a group that others reported dead may send nothing to a
	// stream: two usual event intervals.
	warnedEventTimeout = 120 * time.Millisecond
	// recentActivity is the age up to which a group's activity outweighs warnings of other
	// daemons. It is below the timeout after which a stream is moved.
	recentActivity = 250 * time.Millisecond
	// stallThreshold is the delay of a timer that shows a stall of this process, and
	// stallRecheckDelay the time allowed for reading what arrived meanwhile.
	stallThreshold    = 150 * time.Millisecond
	stallRecheckDelay = 100 * time.Millisecond
)

// watch cancels an attempt whose target sends nothing.
type watch struct {
	exchange *exchange
	key      string
	cancel   context.CancelCauseFunc
	started  time.Time
	// resuming is set if the attempt continues an answer whose head was already sent. attempts
	// is the number of attempts including this one, and tried lists their targets.
	resuming bool
	attempts int
	tried    []string
	// print and parts identify the request and the parts of its prompt. hasPrint is set if they are known.
	print    quarantine.Fingerprint
	hasPrint bool
	parts    []quarantine.Fingerprint

	mu    sync.Mutex
	timer *time.Timer
	due   time.Time // when the timer fires
	last  time.Time // of the last event, zero before the first
	// relayed is the id of the last event that the caller gets from this attempt or an earlier one.
	relayed string
	// warned is set if others reported the target dead since its last event, reported if this daemon has
	// reported its silence.
	warned, reported bool
	// move is the move under way or the one that has succeeded, nil if there is none. sent and rejections
	// count the workers that moves were sent to.
	move             *move
	sent, rejections int
	// maxRejections is how many rejections of moves aren't counted in sent.
	maxRejections int
	// reserved is what the next attempt uses if this one was canceled before its first event.
	reserved *reservation
	// ended is set once the attempt has ended and no move is wanted any more, awaited once it has ended.
	ended, awaited bool
}

// watch starts watching an attempt. Answers that can't be resumed elsewhere have no timeout
// but the deadline.
func (e *exchange) watch(key string, cancel context.CancelCauseFunc) *watch {
	now := e.server.opts.Now()
	w := &watch{exchange: e, key: key, cancel: cancel, started: now, resuming: e.answerStarted, attempts: e.sent + 1, tried: slices.Clone(e.tried),
		print: e.print, hasPrint: e.hasFingerprint, parts: e.partPrints, relayed: e.lastEvent, maxRejections: maxMidAnswerRejections - e.midAnswerRejections}
	if !e.route.Resumable {
		return w
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	firstEventTimeout, _ := e.server.timeouts(key)
	w.due = now.Add(firstEventTimeout)
	w.timer = time.AfterFunc(firstEventTimeout, w.check)
	e.server.watches.add(w)
	return w
}

// watchMoved starts watching the attempt of a move, which is among those counted already.
func (e *exchange) watchMoved(m *move) *watch {
	w := e.watch(m.target.Key, m.cancel)
	w.mu.Lock()
	defer w.mu.Unlock()
	w.attempts--
	return w
}

func (w *watch) stop() {
	w.mu.Lock()
	timer := w.timer
	w.mu.Unlock()
	if timer != nil {
		timer.Stop()
		w.exchange.server.watches.remove(w)
	}
}

// arm schedules check after d. The caller holds the lock.
func (w *watch) arm(now time.Time, d time.Duration) {
	w.due = now.Add(d)
	w.timer.Reset(d)
}

// relays reports whether the attempt relays its current block, and records it if it is an event: no move
// succeeds after that. It reports false once the answer goes on elsewhere.
func (w *watch) relays(events *eventReader) bool {
	now := w.exchange.server.opts.Now()
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.move != nil && w.move.events != nil {
		return false
	}
	if events.isEvent() {
		w.recordEvent(events.id(), now)
	}
	return true
}

// recordEvent records an event that is relayed. The caller holds the lock.
func (w *watch) recordEvent(id string, now time.Time) {
	if w.move != nil {
		w.move.cancel(errNotNeeded)
	}
	if id != "" {
		w.relayed = id
	}
	first := w.last.IsZero()
	since := w.last
	if first {
		since = w.started
	}
	w.last = now
	w.warned = false
	w.reported = false
	balancer := w.exchange.server.opts.Balancer
	balancer.RecordActivity(w.key, now, now.Sub(since), first)
	if first {
		w.exchange.recordFirstEvent(now)
	}
	if w.timer != nil {
		_, nextEventTimeout := balancer.Timeouts(w.key)
		w.arm(now, nextEventTimeout)
	}
}

// warn handles a report that the target is dead. An attempt that waits for its first event moves at
// once; a stream moves once it has got no event for warnedEventTimeout.
func (w *watch) warn(now time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	switch {
	case !w.last.IsZero():
		w.warned = true
		w.arm(now, max(warnedEventTimeout-now.Sub(w.last), 0))
	case !w.giveUp(errWarned, now):
		w.warned = true
	}
}

// giveUp starts to move the attempt elsewhere, and reports whether it could. It ends nothing before what the
// next attempt needs is taken: an answer that the caller has got a part of goes on until the other target
// has sent something, a request without one leaves its target for another that is reserved. The caller holds
// the lock.
func (w *watch) giveUp(cause error, now time.Time) bool {
	if w.ended || w.move != nil || w.reserved != nil {
		return true
	}
	if w.resuming || !w.last.IsZero() {
		if !w.canMove(now) {
			return false
		}
		w.startMove(cause)
		return true
	}
	r, ok := w.reserve(now)
	if !ok {
		return false
	}
	w.reserved = r
	w.end(cause, now)
	return true
}

// end cancels the attempt. Its log line names the target that is reserved for the next one.
func (w *watch) end(cause error, now time.Time) {
	e := w.exchange
	next := ""
	switch {
	case w.reserved != nil:
		next = w.reserved.target.Key
	case w.move != nil:
		next = w.move.target.Key
	}
	e.server.opts.Counters.canceled(cause)
	e.server.opts.Log.Info().Str("event", "attempt_canceled").Str("id", logged(e.req.ID)).Str("target", w.key).Dur("running", now.Sub(w.started)).
		Bool("begun", !w.last.IsZero()).Bool("resuming", w.resuming).Str("next", next).Err(cause).Msg("")
	w.cancel(cause)
}

// cancelHeld cancels the attempt if it waits for its first event and its request is held back.
func (w *watch) cancelHeld() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.last.IsZero() && w.isHeld() {
		w.end(errHeld, w.exchange.server.opts.Now())
	}
}

// isHeld reports whether the request is held back.
func (w *watch) isHeld() bool {
	guard := w.exchange.server.opts.Guard
	if !guard.Active() {
		return false
	}
	if _, held := guard.Held(w.print); held {
		return true
	}
	_, held := guard.HeldParts(w.parts)
	return held
}

// check runs when this request got no event for a while. It moves the attempt if the target sends
// nothing to any request, or if this stream has got no event for too long.
func (w *watch) check() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.ended || w.move != nil {
		return
	}
	balancer := w.exchange.server.opts.Balancer
	now := w.exchange.server.opts.Now()
	if now.Sub(w.due) > stallThreshold {
		w.arm(now, stallRecheckDelay) // this process stalled, so the target may have sent events that aren't read yet
		return
	}
	limit, nextEventTimeout := w.exchange.server.timeouts(w.key)
	if w.warned {
		if !w.giveUp(errWarned, now) {
			w.arm(now, nextEventTimeout)
		}
		return
	}
	streamSilence := time.Duration(0)
	if !w.last.IsZero() {
		limit = nextEventTimeout
		streamSilence = now.Sub(w.last)
	}
	silence := balancer.Silence(w.key, w.started, now)
	if silence < limit && streamSilence < maxStreamSilence {
		w.arm(now, limit-silence)
		return
	}
	if w.giveUp(w.stallCause(), now) {
		return
	}
	if w.last.IsZero() {
		w.reportSilence(AnswerLost)
	}
	w.arm(now, nextEventTimeout)
}

// reportSilence records that the target sends nothing, once until its next event. The caller holds the lock.
func (w *watch) reportSilence(failure Failure) {
	if !w.reported {
		w.reported = true
		w.exchange.recordFailure(Target{Key: w.key}, failure)
	}
}

// canMove reports whether the request may be sent to another target.
func (w *watch) canMove(now time.Time) bool {
	e := w.exchange
	if w.attempts+w.sent >= e.maxAttempts() || !e.server.hasRetry(e.service.Name, now) || w.isHeld() {
		return false
	}
	targets, _ := e.allowedTargets()
	return slices.ContainsFunc(targets, func(t Target) bool { return !contains(w.tried, t.Key) })
}

// stallCause returns the cancellation cause of an attempt whose target sends nothing. A
// group that sends no first event may just have a long queue; one whose streams get no further
// events is assumed dead.
func (w *watch) stallCause() error {
	if w.last.IsZero() {
		return errStalled
	}
	return errSilent
}

// watches holds the watched attempts by target. It is safe for concurrent use.
type watches struct {
	mu  sync.Mutex
	all map[string]map[*watch]bool
}

func (ws *watches) add(w *watch) {
	ws.mu.Lock()
	defer ws.mu.Unlock()
	if ws.all == nil {
		ws.all = map[string]map[*watch]bool{}
	}
	if ws.all[w.key] == nil {
		ws.all[w.key] = map[*watch]bool{}
	}
	ws.all[w.key][w] = true
}

func (ws *watches) remove(w *watch) {
	ws.mu.Lock()
	defer ws.mu.Unlock()
	delete(ws.all[w.key], w)
	if len(ws.all[w.key]) == 0 {
		delete(ws.all, w.key)
	}
}

// list returns all watched attempts.
func (ws *watches) list() []*watch {
	ws.mu.Lock()
	defer ws.mu.Unlock()
	var list []*watch
	for _, attempts := range ws.all {
		list = slices.AppendSeq(list, maps.Keys(attempts))
	}
	return list
}

// at returns the watched attempts at a target.
func (ws *watches) at(key string) []*watch {
	ws.mu.Lock()
	defer ws.mu.Unlock()
	var list []*watch
	for w := range ws.all[key] {
		list = append(list, w)
	}
	return list
}

// sharedFirstEventTimeout is the first-event timeout at a target that no daemon reports
// silent. Warnings report dead groups within half a second, so a target without a warning is
// slow. Moving then processes the prompt again while all groups are slow. Callers at the known
// sites give up after two seconds at the earliest and retry, so that a move shortly before
// that processes a prompt in vain. Without warnings a daemon uses minFirstEventTimeout.
const sharedFirstEventTimeout = 2 * time.Second

// timeouts returns how long a target may send nothing: before a request's first event, and
// between its events.
func (s *Server) timeouts(key string) (firstEventTimeout, nextEventTimeout time.Duration) {
	firstEventTimeout, nextEventTimeout = s.opts.Balancer.Timeouts(key)
	if s.opts.ReceivesWarnings() {
		firstEventTimeout = max(firstEventTimeout, sharedFirstEventTimeout)
	}
	return firstEventTimeout, nextEventTimeout
}

// Warn handles a report of other daemons that a target is silent or dead. The target gets no
// new requests for d, and requests that wait at a dead one move elsewhere. The warning is
// ignored, and false returned, if the target was active here just now.
func (s *Server) Warn(key, reporters string, dead bool, d time.Duration) bool {
	now := s.opts.Now()
	applied := !s.opts.Balancer.RecentlyActive(key, now)
	if applied {
		s.opts.Balancer.Warn(key, now, d)
	}
	if applied && dead {
		s.moveAttempts(key, now)
	}
	s.opts.Counters.warned.Inc()
	s.opts.Log.Info().Str("event", "group_warned").Str("group", key).Bool("dead", dead).Str("reporters", reporters).Bool("heeded", applied).Msg("")
	return applied
}

// CancelHeld cancels the attempts of requests that are held back by now and that wait at workers,
// which would crash as they begin them.
func (s *Server) CancelHeld() {
	for _, w := range s.watches.list() {
		w.cancelHeld()
	}
}

// WithdrawWarning ends a warning about a target.
func (s *Server) WithdrawWarning(key string) { s.opts.Balancer.WithdrawWarning(key) }

// moveAttempts makes the attempts at a dead target move elsewhere.
func (s *Server) moveAttempts(key string, now time.Time) {
	for _, w := range s.watches.at(key) {
		w.warn(now)
	}
}
