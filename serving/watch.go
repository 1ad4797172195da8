package serving

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"time"
)

// errSilent is why a stream ends whose target has sent nothing more.
var errSilent = fmt.Errorf("in the middle of a stream, %w", errStalled)

// errWarned is why an attempt at a group ends that another daemon found dead.
var errWarned = fmt.Errorf("another daemon found it dead: %w", errStalled)

const (
	// mostAlone is how long one stream may hear nothing while others are served.
	mostAlone = 1600 * time.Millisecond
	// warnedSilence is how long a group that others found dead may send nothing
	// to a stream here: two usual gaps between events.
	warnedSilence = 120 * time.Millisecond
	// freshSign is how young a sign of a group has to be to outweigh the word of
	// others. It is below the silence after which a stream is moved.
	freshSign = 250 * time.Millisecond
	// standstill is how late a timer has to be to show that this process stood still,
	// and catchUp how long what arrived meanwhile may take to be read.
	standstill = 150 * time.Millisecond
	catchUp    = 100 * time.Millisecond
)

// watch ends an attempt whose target sends nothing.
type watch struct {
	exchange *exchange
	key      string
	cancel   context.CancelCauseFunc
	begun    time.Time
	// resumes tells that the attempt goes on with an answer whose head is out, attempts how
	// many there will have been with it, and tried the targets of all of them.
	resumes  bool
	attempts int
	tried    []string

	mu    sync.Mutex
	timer *time.Timer
	due   time.Time // when the timer runs
	last  time.Time // of the last sign, zero before the first
	// warned tells that others found the target dead since the last sign.
	warned bool
}

// watch starts watching an attempt. Answers that can't be taken up elsewhere are
// waited for until the deadline.
func (e *exchange) watch(key string, cancel context.CancelCauseFunc) *watch {
	now := e.server.opts.Now()
	w := &watch{exchange: e, key: key, cancel: cancel, begun: now, resumes: e.begun, attempts: e.sent + 1, tried: slices.Clone(e.tried)}
	if !e.route.Resumable {
		return w
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	start, _ := e.server.patience(key)
	w.due = now.Add(start)
	w.timer = time.AfterFunc(start, w.check)
	e.server.watches.add(w)
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

// arm has check run after d. The caller holds the lock.
func (w *watch) arm(now time.Time, d time.Duration) {
	w.due = now.Add(d)
	w.timer.Reset(d)
}

// sign notes that the target has sent an event.
func (w *watch) sign() {
	now := w.exchange.server.opts.Now()
	w.mu.Lock()
	defer w.mu.Unlock()
	first := w.last.IsZero()
	since := w.last
	if first {
		since = w.begun
	}
	w.last = now
	w.warned = false
	balancer := w.exchange.server.opts.Balancer
	balancer.Sign(w.key, now, now.Sub(since), first)
	if first {
		w.exchange.noteFirstEvent(now)
	}
	if w.timer != nil {
		_, between := balancer.Patience(w.key)
		w.arm(now, between)
	}
}

// warn notes that others found the target dead. An attempt that waits for its first
// event ends at once, a stream after a short silence.
func (w *watch) warn(now time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	switch {
	case !w.last.IsZero():
		w.warned = true
		w.arm(now, max(warnedSilence-now.Sub(w.last), 0))
	case w.resumes && !w.mayMove(now):
		w.warned = true
	default:
		w.cancel(errWarned)
	}
}

// check runs when this request has heard nothing for a while. The target is
// given up if nobody hears anything of it, or if this request has waited long.
func (w *watch) check() {
	w.mu.Lock()
	defer w.mu.Unlock()
	balancer := w.exchange.server.opts.Balancer
	now := w.exchange.server.opts.Now()
	if now.Sub(w.due) > standstill {
		w.arm(now, catchUp) // it was silent here, which tells nothing of the target
		return
	}
	limit, between := w.exchange.server.patience(w.key)
	if (w.resumes || !w.last.IsZero()) && !w.mayMove(now) {
		w.arm(now, between) // cutting it would only lose what may still come
		return
	}
	if w.warned {
		w.cancel(errWarned)
		return
	}
	alone := time.Duration(0)
	if !w.last.IsZero() {
		limit = between
		alone = now.Sub(w.last)
	}
	silence := balancer.Silence(w.key, w.begun, now)
	if silence >= limit || alone >= mostAlone {
		w.cancel(w.stalled())
		return
	}
	w.arm(now, limit-silence)
}

// mayMove tells whether the stream may be taken up elsewhere.
func (w *watch) mayMove(now time.Time) bool {
	e := w.exchange
	if w.attempts >= e.route.Attempts || !e.server.hasRetry(e.service.Name, now) {
		return false
	}
	targets, _ := e.permitted()
	return slices.ContainsFunc(targets, func(t Target) bool { return !contains(w.tried, t.Key) })
}

// stalled returns why an attempt ends that has heard nothing for too long. A group that
// lets its queue wait may be slow; one whose streams fall silent is taken for dead.
func (w *watch) stalled() error {
	if w.last.IsZero() {
		return errStalled
	}
	return errSilent
}

// watches are the watched attempts by target. They are safe for use by many
// goroutines.
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

// sharedStart is how long a request waits for its first event at a target that nobody
// finds silent. Warnings tell of dead groups within half a second, so that what is left
// is slow: going elsewhere would have the prompt read again, while all are slow. Callers
// give up after two seconds at the earliest at the sites known and come again: a move
// shortly before has a prompt read for nobody. Alone, a daemon waits leastStart.
const sharedStart = 2 * time.Second

// patience returns how long a target may send nothing: before a request's first event,
// and between its events.
func (s *Server) patience(key string) (start, between time.Duration) {
	start, between = s.opts.Balancer.Patience(key)
	if s.opts.Informed() {
		start = max(start, sharedStart)
	}
	return start, between
}

// Warn takes in that other daemons found a target silent, or dead. It gets no new
// requests for d, and those that wait at a dead one go elsewhere. The warning isn't
// heeded, and false returned, where the target has sent something here just now.
func (s *Server) Warn(key, reporters string, dead bool, d time.Duration) bool {
	now := s.opts.Now()
	heeded := !s.opts.Balancer.Alive(key, now)
	if heeded {
		s.opts.Balancer.Warn(key, now, d)
	}
	if heeded && dead {
		s.moveFrom(key, now)
	}
	s.opts.Counters.warned.Inc()
	s.opts.Log.Info().Str("event", "group_warned").Str("group", key).Bool("dead", dead).Str("reporters", reporters).Bool("heeded", heeded).Msg("")
	return heeded
}

// TakeBackWarning ends a warning.
func (s *Server) TakeBackWarning(key string) { s.opts.Balancer.TakeBackWarning(key) }

// moveFrom has the attempts at a dead target go elsewhere.
func (s *Server) moveFrom(key string, now time.Time) {
	for _, w := range s.watches.at(key) {
		w.warn(now)
	}
}
