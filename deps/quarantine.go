package deps

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/pointpass/pointpass/common/clock"
	"github.com/pointpass/pointpass/quarantine"
	"github.com/pointpass/pointpass/relay"
	"github.com/pointpass/pointpass/replica"
	"github.com/pointpass/pointpass/store"
	"github.com/pointpass/pointpass/workers"
)

// judgeInterval is how often crashes are judged while some are pending, and how often failed writes are retried.
const judgeInterval = 100 * time.Millisecond

// crashQuarantine shares holds of requests that crash workers between daemons. Its rows are in the
// lease's table. The lease holder and one other daemon decide on holds, from the reports of all
// daemons.
type crashQuarantine struct {
	edge          *Edge
	peers         *relay.Client
	crashReporter *crashReporter
	wake          chan struct{}
	// lastKeyError and lastHoldError are the last logged errors of unreadable rows. Only the
	// goroutine that follows the lease's table uses them.
	lastKeyError, lastHoldError string

	mu    sync.Mutex
	board *quarantine.Board
	// pendingStores are decisions whose rows don't show yet.
	pendingStores map[quarantine.Fingerprint]pendingHold
	// pendingRemovals are requests whose rows are to be removed, with the time of the next
	// attempt.
	pendingRemovals map[quarantine.Fingerprint]time.Time
	// keyMissing is set while no key is stored.
	keyMissing  bool
	lastCleanup time.Time
}

func newCrashQuarantine(e *Edge, peers *relay.Client, prober workerProber) *crashQuarantine {
	q := &crashQuarantine{
		edge:            e,
		peers:           peers,
		wake:            make(chan struct{}, 1),
		board:           quarantine.NewBoard(),
		pendingStores:   map[quarantine.Fingerprint]pendingHold{},
		pendingRemovals: map[quarantine.Fingerprint]time.Time{},
	}
	q.crashReporter = newCrashReporter(crashReporterOptions{
		Self:    q.self,
		Guard:   e.Guard,
		Checker: &crashChecker{prober: prober, others: q.otherMembers, cut: e.reach.Cut},
		Control: func() replica.Control { return e.followers.control.Load().Control },
		Send:    q.sendReport,
		Metrics: e.Metrics,
		Log:     e.Log,
	})
	e.Metrics.NewGauge("pointpass_fingerprint_key_known", func() float64 {
		_, known := e.Guard.Fingerprint(quarantine.Content{})
		return boolGauge(known)
	})
	e.Metrics.NewGauge("pointpass_parts_held_back", func() float64 { return float64(e.Guard.PartHolds()) })
	e.Metrics.NewGauge("pointpass_requests_held_back", func() float64 { return float64(len(e.Guard.Holds())) })
	return q
}

// otherMembers returns the other workers of the group that a worker is the head of.
func (q *crashQuarantine) otherMembers(w workers.Worker) []workers.Worker {
	for _, g := range q.edge.Workers.View().Groups() {
		if g.ID == w.Membership.Group {
			members := append(slices.Clone(g.Members), g.Lost...)
			return slices.DeleteFunc(members, func(m workers.Worker) bool { return m.ID == w.ID })
		}
	}
	return nil
}

func (q *crashQuarantine) self() string { return q.edge.settings.Current().Name() }

// sendReport sends a crash report to a daemon, which may be this one.
func (q *crashQuarantine) sendReport(ctx context.Context, to replica.Node, r relay.CrashReport) error {
	if to.Name == q.self() {
		q.applyReport(r)
		return nil
	}
	return q.peers.Crashes(ctx, to.Addr, r)
}

// applyRows applies all rows of the lease's table.
func (q *crashQuarantine) applyRows(rows []store.Row) {
	q.applyKey(rows)
	holds, err := quarantine.ParseHolds(rows)
	q.logUnreadable(&q.lastHoldError, err)
	started, ended := q.edge.Guard.ApplyRows(holds)
	for _, h := range started {
		q.logHold(h, "row")
	}
	for _, h := range ended {
		q.edge.Log.Info().Str("event", "request_released").Str("fingerprint", h.Fingerprint.String()).Uint64("store_version", h.Version).Msg("")
	}
	q.updateBoard(holds, ended)
	q.crashReporter.kick() // the deciders may have changed
}

// applyRestored applies all rows of the lease's table after the store was restored from an older
// copy. The deciders write lost holds again.
func (q *crashQuarantine) applyRestored(rows []store.Row) {
	present, _ := quarantine.ParseHolds(rows) // applyRows logs unreadable rows
	lost := q.edge.Guard.MarkLostRows(present)
	control := q.edge.followers.control.Load()
	decides := slices.ContainsFunc(control.ReportTargets(), func(n replica.Node) bool { return n.Name == q.self() })
	if len(lost) == 0 || !decides {
		return
	}
	due := clock.Now()
	if !q.edge.followers.isHolder() {
		due = due.Add(holderHeadStart)
	}
	q.mu.Lock()
	for _, h := range lost {
		q.pendingStores[h.Fingerprint] = pendingHold{hold: h, due: due}
	}
	q.mu.Unlock()
	q.edge.Log.Warn().Str("event", "holds_lost").Int("rows", len(lost)).Msg("the restored store lacks these holds; writing them again")
	q.wakeUp()
}

func (q *crashQuarantine) applyKey(rows []store.Row) {
	k, found, err := quarantine.FindKey(rows)
	q.logUnreadable(&q.lastKeyError, err)
	if found {
		q.edge.Guard.SetKey(k)
	}
	q.mu.Lock()
	q.keyMissing = !found && err == nil
	q.mu.Unlock()
}

// logUnreadable logs that a row can't be read, once per error. The parameter last points to the
// last logged error.
func (q *crashQuarantine) logUnreadable(last *string, err error) {
	text := ""
	if err != nil {
		text = err.Error()
	}
	if text != "" && text != *last {
		q.edge.Log.Error().Str("event", "quarantine_unreadable").Err(err).Msg("")
	}
	*last = text
}

// updateBoard updates which requests the board treats as held.
func (q *crashQuarantine) updateBoard(holds, ended []quarantine.Hold) {
	q.mu.Lock()
	defer q.mu.Unlock()
	now := clock.Now()
	for _, h := range ended {
		if h.Version != 0 { // an announcement that expired is repeated
			q.board.Release(h.Fingerprint, now)
		}
	}
	present := map[quarantine.Fingerprint]bool{}
	for _, h := range holds {
		present[h.Fingerprint] = true
		delete(q.pendingStores, h.Fingerprint)
		_, cleared := q.pendingRemovals[h.Fingerprint]
		switch {
		case cleared:
		case len(h.Parts) > 0:
			q.board.HoldParts(h.Parts, now)
		default:
			q.board.Hold(h.Fingerprint)
		}
	}
	maps.DeleteFunc(q.pendingRemovals, func(f quarantine.Fingerprint, _ time.Time) bool { return !present[f] })
	q.wakeUp()
}

// wakeUp triggers a pass of Run.
func (q *crashQuarantine) wakeUp() {
	select {
	case q.wake <- struct{}{}:
	default:
	}
}

// logHold logs that a request is held back here from now on. If the request has finished normally
// at this daemon, it reports that, which clears the request.
func (q *crashQuarantine) logHold(h quarantine.Hold, by string) {
	finishedHere := q.edge.Guard.Finished(h.Fingerprint)
	entry := q.edge.Log.Warn().Str("event", "request_held").Str("fingerprint", h.Fingerprint.String()).Str("by", by).
		Uint64("store_version", h.Version).Bool("finished_here", finishedHere)
	if len(h.Parts) > 0 {
		entry = entry.Strs("parts", quarantine.Strings(h.Parts))
	}
	entry.Msg("the request is no longer sent to workers")
	q.edge.Server.CancelHeld()
	if finishedHere {
		q.crashReporter.clear(h.Fingerprint)
	}
}

// applyAnnouncement applies a hold that another daemon announced.
func (q *crashQuarantine) applyAnnouncement(text string, parts []string) {
	f, ok := quarantine.ParseFingerprint(text)
	if !ok {
		return
	}
	h := quarantine.Hold{Fingerprint: f, Parts: quarantine.NewPartSet(quarantine.Parse(parts)...)}
	if q.edge.Guard.Announce(h) {
		q.logHold(h, "announcement")
	}
}

// answer reports to the deciders when this daemon last saw output on suspected parts, and from now
// on when it sees more.
func (q *crashQuarantine) answer(parts []string) {
	q.crashReporter.Produced(q.edge.Guard.Watch(quarantine.Parse(parts)))
}

// applyReport applies a crash report of a daemon.
func (q *crashQuarantine) applyReport(r relay.CrashReport) {
	now := clock.Now()
	q.mu.Lock()
	defer q.mu.Unlock()
	for _, c := range r.Crashes {
		q.board.Report(c, now)
	}
	for _, o := range r.Outputs {
		for _, parts := range q.board.Output(o) {
			f := parts.Fingerprint()
			q.scheduleRemoval(f, now)
			q.edge.Log.Warn().Str("event", "parts_cleared").Str("fingerprint", f.String()).Str("reporter", r.Reporter).Msg("requests with the parts were completed at the reporter")
		}
	}
	for _, f := range r.Finished {
		q.board.Clear(f, now)
		q.scheduleRemoval(f, now)
		q.edge.Log.Warn().Str("event", "request_cleared").Str("fingerprint", f.String()).Str("reporter", r.Reporter).Msg("the request finished normally at the reporter")
	}
	q.wakeUp()
}

// maxPendingRemovals bounds how many removals wait.
const maxPendingRemovals = 4096

// scheduleRemoval schedules the removal of a hold's row. The caller holds the lock.
func (q *crashQuarantine) scheduleRemoval(f quarantine.Fingerprint, now time.Time) {
	delete(q.pendingStores, f)
	if len(q.pendingRemovals) < maxPendingRemovals {
		q.pendingRemovals[f] = now
	}
}

// Run decides and stores holds until ctx ends.
func (q *crashQuarantine) Run(ctx context.Context) {
	var running sync.WaitGroup
	running.Go(func() { q.crashReporter.Run(ctx) })
	defer running.Wait()
	for {
		select {
		case <-ctx.Done():
			return
		case <-q.wake:
		}
		for q.process(ctx) {
			sleep(ctx, judgeInterval)
		}
	}
}

// process does all pending work once, and reports whether some is left.
func (q *crashQuarantine) process(ctx context.Context) bool {
	if ctx.Err() != nil {
		return false
	}
	now := clock.Now()
	q.mu.Lock()
	q.board.SetWorkers(len(q.edge.Workers.View().Groups()))
	verdicts := q.board.Evaluate(now)
	parts := q.board.EvaluateParts(now)
	keyMissing := q.keyMissing
	q.mu.Unlock()
	for _, v := range verdicts {
		q.applyVerdict(v, now)
	}
	q.applyPartVerdict(parts, now)
	q.storeHolds(ctx, now)
	q.removeCleared(ctx, now)
	if q.edge.followers.isHolder() {
		if keyMissing {
			q.storeKey(ctx)
		}
		q.removeOverdue(ctx, now)
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.board.Unjudged() || len(q.pendingStores)+len(q.pendingRemovals) > 0
}

// applyVerdict logs a verdict, and schedules its holds to be announced and stored. A decider other
// than the lease holder gives the holder a head start.
func (q *crashQuarantine) applyVerdict(v quarantine.Verdict, now time.Time) {
	entry := q.edge.Log.Warn().Str("event", "worker_crashed").Str("worker", v.Worker).Dur("age", clock.Since(v.At)).
		Strs("reporters", v.Reporters).Int("requests", v.LostRequests)
	for _, s := range v.Suspects[:min(len(v.Suspects), 1)] {
		entry = entry.Str("suspect", s.Fingerprint.String()).Float64("charge", s.Charge).Strs("workers", s.Workers)
	}
	if len(v.Suspects) > 1 {
		entry = entry.Float64("next_charge", v.Suspects[1].Charge)
	}
	entry.Msg("")
	for _, s := range v.Hold {
		q.scheduleHold(quarantine.Hold{Fingerprint: s.Fingerprint, Charge: s.Charge, Workers: s.Workers}, now)
	}
}

// applyPartVerdict logs a verdict about parts of prompts, asks the daemons for output on the
// suspected ones, and schedules holds.
func (q *crashQuarantine) applyPartVerdict(v quarantine.PartVerdict, now time.Time) {
	if len(v.Ask) > 0 {
		asked := quarantine.Strings(v.Ask)
		q.edge.Log.Info().Str("event", "parts_suspected").Strs("parts", asked).Msg("asking for output on them")
		q.edge.Warnings.AskOutputs(asked)
		q.answer(asked) // the decider doesn't read its own question
	}
	for _, s := range v.Hold {
		q.edge.Log.Warn().Str("event", "parts_to_hold").Strs("parts", quarantine.Strings(s.Parts)).Float64("charge", s.Charge).Strs("workers", s.Workers).Msg("")
		q.scheduleHold(quarantine.Hold{Fingerprint: s.Parts.Fingerprint(), Parts: s.Parts, Charge: s.Charge, Workers: s.Workers}, now)
	}
}
