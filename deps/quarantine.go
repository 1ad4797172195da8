package deps

import (
	"context"
	"errors"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/pointpass/pointpass/common/clock"
	"github.com/pointpass/pointpass/quarantine"
	"github.com/pointpass/pointpass/relay"
	"github.com/pointpass/pointpass/replica"
	"github.com/pointpass/pointpass/store"
)

const (
	// judgePause is how often the holder of the lease judges crashes while some wait, and
	// tries again to store what could not be stored.
	judgePause = 100 * time.Millisecond
	// announceHoldAgain is how often a request is announced to be held back while there is
	// no row of it, well within the time that an announcement counts, and how often it is
	// tried to remove a row.
	announceHoldAgain = 3 * time.Second
	// holderFirst is how long another daemon that decides leaves the holder of the lease to
	// store a decision. Within three seconds of the third crash all have to know, and rows
	// show after 1.4 s at most. Where both store it, the second row fails on its condition.
	holderFirst = 600 * time.Millisecond
	// tidyHoldsEvery is how often rows are removed that are too old.
	tidyHoldsEvery = time.Minute
)

// quarantined keeps what daemons share about requests that crash workers. Its rows stand
// in the lease's table. The holder of the lease decides, and one other daemon, from what all
// see.
type quarantined struct {
	edge      *Edge
	peers     *relay.Client
	sightings *sightings
	wake      chan struct{}
	// badKey and badHold are what was logged of rows that can't be read. Only the one
	// goroutine that follows the lease's table uses them.
	badKey, badHold string

	mu    sync.Mutex
	board *quarantine.Board
	// unstored are decisions whose rows don't show yet.
	unstored map[quarantine.Fingerprint]announcement
	// unremoved are requests whose rows are to be removed, by when that is tried next.
	unremoved map[quarantine.Fingerprint]time.Time
	// keyMissing tells that no key is stored.
	keyMissing bool
	tidied     time.Time
}

// announcement is a decision that is to be announced and stored from a moment on.
type announcement struct {
	hold quarantine.Hold
	due  time.Time
}

func newQuarantined(e *Edge, peers *relay.Client, asks refuser) *quarantined {
	q := &quarantined{
		edge:      e,
		peers:     peers,
		wake:      make(chan struct{}, 1),
		board:     quarantine.NewBoard(),
		unstored:  map[quarantine.Fingerprint]announcement{},
		unremoved: map[quarantine.Fingerprint]time.Time{},
	}
	q.sightings = newSightings(sightingOptions{
		Self:    q.self,
		Guard:   e.Guard,
		Asks:    asks,
		Control: func() replica.Control { return e.following.control.Load().Control },
		Send:    q.tell,
		Metrics: e.Metrics,
		Log:     e.Log,
	})
	e.Metrics.NewGauge("pointpass_requests_held_back", func() float64 { return float64(len(e.Guard.Holds())) })
	return q
}

func (q *quarantined) self() string { return q.edge.settings.Current().Name() }

// tell tells a daemon what this one saw.
func (q *quarantined) tell(ctx context.Context, to replica.Node, r relay.CrashReport) error {
	if to.Name == q.self() {
		q.take(r)
		return nil
	}
	return q.peers.Crashes(ctx, to.Addr, r)
}

// learn takes in all rows of the lease's table.
func (q *quarantined) learn(rows []store.Row) {
	q.learnKey(rows)
	holds, err := quarantine.HeldIn(rows)
	q.noteUnreadable(&q.badHold, err)
	began, ended := q.edge.Guard.Learn(holds)
	for _, h := range began {
		q.noteHold(h, "row")
	}
	for _, h := range ended {
		q.edge.Log.Info().Str("event", "request_released").Str("fingerprint", h.Fingerprint.String()).Uint64("store_version", h.Version).Msg("")
	}
	q.noteRows(holds, ended)
	q.sightings.kick() // somebody else may decide from now on
}

// restore takes in all rows of the lease's table as a store has them that came back from an
// older copy. Those who decide write lost holds again.
func (q *quarantined) restore(rows []store.Row) {
	there, _ := quarantine.HeldIn(rows) // rows that can't be read are told of by learn
	lost := q.edge.Guard.Restore(there)
	control := q.edge.following.control.Load()
	decides := slices.ContainsFunc(control.Deciders(), func(n replica.Node) bool { return n.Name == q.self() })
	if len(lost) == 0 || !decides {
		return
	}
	due := clock.Now()
	if !q.edge.following.isHolder() {
		due = due.Add(holderFirst)
	}
	q.mu.Lock()
	for _, h := range lost {
		q.unstored[h.Fingerprint] = announcement{hold: h, due: due}
	}
	q.mu.Unlock()
	q.edge.Log.Warn().Str("event", "holds_lost").Int("rows", len(lost)).Msg("the store came back without them; they are written again")
	q.wakeUp()
}

func (q *quarantined) learnKey(rows []store.Row) {
	k, found, err := quarantine.KeyIn(rows)
	q.noteUnreadable(&q.badKey, err)
	if found {
		q.edge.Guard.SetKey(k)
	}
	q.mu.Lock()
	q.keyMissing = !found && err == nil
	q.mu.Unlock()
}

// noteUnreadable logs that a row can't be read, once for each time that lasts. Last is what
// was logged.
func (q *quarantined) noteUnreadable(last *string, err error) {
	text := ""
	if err != nil {
		text = err.Error()
	}
	if text != "" && text != *last {
		q.edge.Log.Error().Str("event", "quarantine_unreadable").Err(err).Msg("")
	}
	*last = text
}

// noteRows has the board know what is held back.
func (q *quarantined) noteRows(holds, ended []quarantine.Hold) {
	q.mu.Lock()
	defer q.mu.Unlock()
	for _, h := range ended {
		if h.Version != 0 { // an announcement that ended is given again
			q.board.Release(h.Fingerprint)
		}
	}
	there := map[quarantine.Fingerprint]bool{}
	for _, h := range holds {
		there[h.Fingerprint] = true
		delete(q.unstored, h.Fingerprint)
		if _, cleared := q.unremoved[h.Fingerprint]; !cleared {
			q.board.Hold(h.Fingerprint)
		}
	}
	maps.DeleteFunc(q.unremoved, func(f quarantine.Fingerprint, _ time.Time) bool { return !there[f] })
	q.wakeUp()
}

// wakeUp has Run look what there is to do.
func (q *quarantined) wakeUp() {
	select {
	case q.wake <- struct{}{}:
	default:
	}
}

// noteHold logs that a request is held back here from now on. A daemon where it has ended
// well knows better.
func (q *quarantined) noteHold(h quarantine.Hold, by string) {
	innocent := q.edge.Guard.Finished(h.Fingerprint)
	q.edge.Log.Warn().Str("event", "request_held").Str("fingerprint", h.Fingerprint.String()).Str("by", by).
		Uint64("store_version", h.Version).Bool("finished_here", innocent).Msg("it gets to no worker any more")
	if innocent {
		q.sightings.clear(h.Fingerprint)
	}
}

// heard takes in that the holder of the lease announces a decision.
func (q *quarantined) heard(digits string) {
	f, ok := quarantine.ParseFingerprint(digits)
	if !ok {
		return
	}
	h := quarantine.Hold{Fingerprint: f}
	if q.edge.Guard.Announce(h) {
		q.noteHold(h, "announcement")
	}
}

// take takes in what a daemon saw.
func (q *quarantined) take(r relay.CrashReport) {
	now := clock.Now()
	q.mu.Lock()
	defer q.mu.Unlock()
	for _, c := range r.Crashes {
		q.board.Report(c, now)
	}
	for _, f := range r.Finished {
		q.board.Clear(f)
		delete(q.unstored, f)
		q.unremoved[f] = now
		q.edge.Log.Warn().Str("event", "request_cleared").Str("fingerprint", f.String()).Str("reporter", r.Reporter).Msg("it has ended well there")
	}
	q.wakeUp()
}

// Run decides and stores until ctx ends.
func (q *quarantined) Run(ctx context.Context) {
	var running sync.WaitGroup
	running.Go(func() { q.sightings.Run(ctx) })
	defer running.Wait()
	for {
		select {
		case <-ctx.Done():
			return
		case <-q.wake:
		}
		for q.work(ctx) {
			pause(ctx, judgePause)
		}
	}
}

// work does what there is to do, and tells whether some is left.
func (q *quarantined) work(ctx context.Context) bool {
	if ctx.Err() != nil {
		return false
	}
	now := clock.Now()
	q.mu.Lock()
	verdicts := q.board.Judge(now)
	keyMissing := q.keyMissing
	q.mu.Unlock()
	for _, v := range verdicts {
		q.carryOut(v, now)
	}
	q.storeHolds(ctx, now)
	q.removeCleared(ctx, now)
	if q.edge.following.isHolder() {
		if keyMissing {
			q.storeKey(ctx)
		}
		q.tidy(ctx, now)
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.board.Unjudged() || len(q.unstored)+len(q.unremoved) > 0
}

// carryOut logs a verdict and has what it holds back announced and stored. Another daemon
// than the holder of the lease leaves the holder the time to do so.
func (q *quarantined) carryOut(v quarantine.Verdict, now time.Time) {
	entry := q.edge.Log.Warn().Str("event", "worker_crashed").Str("worker", v.Worker).Dur("age", clock.Since(v.At)).
		Strs("reporters", v.Reporters).Int("requests", v.Runs)
	for _, s := range v.Suspects[:min(len(v.Suspects), 1)] {
		entry = entry.Str("suspect", s.Fingerprint.String()).Float64("charge", s.Charge).Strs("workers", s.Workers)
	}
	if len(v.Suspects) > 1 {
		entry = entry.Float64("next_charge", v.Suspects[1].Charge)
	}
	entry.Msg("")
	for _, s := range v.Hold {
		h := quarantine.Hold{Fingerprint: s.Fingerprint, Charge: s.Charge, Workers: s.Workers, SinceMs: q.storeClock().Milliseconds()}
		due := now
		if !q.edge.following.isHolder() {
			due = now.Add(holderFirst)
		}
		q.mu.Lock()
		q.unstored[h.Fingerprint] = announcement{hold: h, due: due}
		q.mu.Unlock()
	}
}

// storeClock returns what the store's clock shows at least.
func (q *quarantined) storeClock() time.Duration {
	known, _ := q.edge.following.directory.Known()
	return known.Clock
}

// storeKey stores a key. Where another daemon was first, its key counts.
func (q *quarantined) storeKey(ctx context.Context) {
	key, known := q.edge.Guard.Key() // its row is lost where the store came back without it
	if !known {
		key = quarantine.NewKey()
	}
	txn := quarantine.FirstKey(replica.LeaseTable, key)
	if _, err := q.edge.following.Commit(ctx, txn); err != nil {
		q.edge.Log.Warn().Str("event", "quarantine_key_failed").Err(err).Msg("")
		return
	}
	q.mu.Lock()
	q.keyMissing = false
	q.mu.Unlock()
}

// storeHolds announces decisions and stores their rows.
func (q *quarantined) storeHolds(ctx context.Context, now time.Time) {
	for _, h := range q.dueHolds(now) {
		q.edge.Warnings.AnnounceHold(h.Fingerprint.String())
		if q.edge.Guard.Announce(h) {
			q.noteHold(h, "decision")
		}
		_, err := q.edge.following.Commit(ctx, quarantine.Store(replica.LeaseTable, h))
		var conflict *store.ConflictError
		if err != nil && !errors.As(err, &conflict) {
			q.edge.Log.Warn().Str("event", "hold_not_stored").Str("fingerprint", h.Fingerprint.String()).Err(err).Msg("")
		}
	}
}

// dueHolds returns the decisions to announce and store now. Each stays until its row shows.
func (q *quarantined) dueHolds(now time.Time) []quarantine.Hold {
	q.mu.Lock()
	defer q.mu.Unlock()
	var due []quarantine.Hold
	for f, a := range q.unstored {
		if !now.Before(a.due) {
			q.unstored[f] = announcement{hold: a.hold, due: now.Add(announceHoldAgain)}
			due = append(due, a.hold)
		}
	}
	return due
}

// tidy removes rows that are too old.
func (q *quarantined) tidy(ctx context.Context, now time.Time) {
	q.mu.Lock()
	due := now.Sub(q.tidied) >= tidyHoldsEvery
	if due {
		q.tidied = now
	}
	q.mu.Unlock()
	if !due {
		return
	}
	overdue := quarantine.Overdue(q.edge.Guard.Holds(), q.storeClock())
	if len(overdue) > 0 {
		q.removeHolds(ctx, overdue)
	}
}

// removeCleared removes the rows of requests that crash nothing.
func (q *quarantined) removeCleared(ctx context.Context, now time.Time) {
	var due []quarantine.Hold
	q.mu.Lock()
	for f, at := range q.unremoved {
		if !now.Before(at) {
			q.unremoved[f] = now.Add(announceHoldAgain)
			due = append(due, quarantine.Hold{Fingerprint: f})
		}
	}
	q.mu.Unlock()
	if len(due) > 0 {
		q.removeHolds(ctx, due)
	}
}

// Release ends the hold of a request on an operator's word. It returns false if the request
// isn't held back by a row that this daemon knows, and an error if the row can't be removed.
func (e *Edge) Release(ctx context.Context, f quarantine.Fingerprint) (held bool, err error) {
	h, held := e.Guard.Held(f)
	if !held || h.Version == 0 {
		return false, nil
	}
	e.Log.Warn().Str("event", "release_asked").Str("fingerprint", f.String()).Uint64("store_version", h.Version).Msg("")
	_, err = e.following.Commit(ctx, quarantine.Remove(replica.LeaseTable, []quarantine.Hold{h}))
	return true, err
}

func (q *quarantined) removeHolds(ctx context.Context, ended []quarantine.Hold) {
	if _, err := q.edge.following.Commit(ctx, quarantine.Remove(replica.LeaseTable, ended)); err != nil {
		q.edge.Log.Warn().Str("event", "hold_not_removed").Int("rows", len(ended)).Err(err).Msg("")
	}
}
