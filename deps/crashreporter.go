package deps

import (
	"context"
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/phuslu/log"

	"github.com/pointpass/pointpass/common/clock"
	"github.com/pointpass/pointpass/quarantine"
	"github.com/pointpass/pointpass/relay"
	"github.com/pointpass/pointpass/replica"
	"github.com/pointpass/pointpass/workers"
)

const (
	// maxCheckedWorkers limits how many workers are checked at a time, maxLostPerWorker how
	// many lost requests are kept for one. A worker runs up to 34 requests at the known sites
	// and queues as many.
	maxCheckedWorkers = 64
	maxLostPerWorker  = 256
	// maxObservations is how many observations a daemon keeps for the next deciders, and
	// observationTTL how long, which is how long they count there.
	maxObservations = 128
	// maxObservationBytes bounds their memory, so that all of them fit into one message too.
	maxObservationBytes = 3 << 20
	// maxOutputObservations is how many of them may be of output alone.
	maxOutputObservations = 32
	observationTTL        = time.Hour
	// crashReportTimeout is how long a report to a daemon is retried. By then the other decider
	// has it, or the lease passes on, which takes 5 s at most.
	crashReportTimeout = 5 * time.Second
	// crashReportRetryDelay is the delay after a failed report.
	crashReportRetryDelay = 200 * time.Millisecond
)

// workerChecker checks workers whose responses broke off.
type workerChecker interface {
	check(ctx context.Context, w workers.Worker) checkOutcome
	// awaitRefusal reports whether a worker begins to refuse connections before ctx ends.
	awaitRefusal(ctx context.Context, w workers.Worker) bool
}

// crashReporter detects workers that crash while running requests of this daemon, and reports them
// to the daemons that decide which request caused it. It is safe for concurrent use.
type crashReporter struct {
	opts crashReporterOptions
	wake chan struct{}
	// confirmed and alive count the broken responses by whether the worker had ended.
	confirmed, alive *metrics.Counter

	mu sync.Mutex
	// lost are the requests lost at workers that are yet to be checked.
	lost map[string][]quarantine.LostRequest
	// canceled are the requests canceled at workers since they are held back, for cancellationWatch.
	canceled     map[string][]quarantine.LostRequest
	observations []observation
	// term is the term of the lease of the last report.
	term uint64
}

// observation is an event that this daemon observed: a crash, a request that is held back but
// finished normally here, or output on suspected parts of prompts.
type observation struct {
	// at is when it happened, added when it was confirmed.
	at, added time.Time
	// due is since when it is to be reported.
	due      time.Time
	crash    *quarantine.Crash
	finished *quarantine.Fingerprint
	outputs  []quarantine.Output
	// reportedIn maps each daemon that got the observation to the term of the lease then.
	reportedIn map[string]uint64
}

// isOutput reports whether an observation is of output alone.
func (o observation) isOutput() bool { return o.crash == nil && o.finished == nil }

// size returns the memory of the lost requests of an observation.
func (o observation) size() int {
	if o.crash == nil {
		return 0
	}
	return o.crash.Size()
}

// crashReporterOptions configures a crashReporter.
type crashReporterOptions struct {
	// Self returns this daemon's name.
	Self    func() string
	Guard   *quarantine.Guard
	Checker workerChecker
	// Control returns the last observed state of the other daemons.
	Control func() replica.Control
	// Send sends a report to a daemon, which may be this one.
	Send    func(ctx context.Context, to replica.Node, r relay.CrashReport) error
	Metrics *metrics.Set
	Log     *log.Logger
}

func newCrashReporter(opts crashReporterOptions) *crashReporter {
	return &crashReporter{
		opts:      opts,
		wake:      make(chan struct{}, 1),
		confirmed: opts.Metrics.NewCounter(`pointpass_broken_answers_total{worker="ended"}`),
		alive:     opts.Metrics.NewCounter(`pointpass_broken_answers_total{worker="alive"}`),
		lost:      map[string][]quarantine.LostRequest{},
		canceled:  map[string][]quarantine.LostRequest{},
	}
}

// Lost records that a worker's response broke off. It never blocks. Requests that finished normally
// before are ignored, since they don't crash workers.
func (c *crashReporter) Lost(w workers.Worker, r quarantine.LostRequest) {
	if c.opts.Guard.Finished(r.Fingerprint) {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	runs, scheduled := c.lost[w.ID]
	if !scheduled && len(c.lost) >= maxCheckedWorkers || len(runs) >= maxLostPerWorker {
		return
	}
	c.lost[w.ID] = append(runs, r)
	if !scheduled {
		at := clock.Now()
		time.AfterFunc(lossDebounce, func() { c.checkWorker(w, at) })
	}
}

// checkWorker checks whether a worker has ended whose responses broke off.
func (c *crashReporter) checkWorker(w workers.Worker, at time.Time) {
	outcome := c.opts.Checker.check(context.Background(), w)
	c.mu.Lock()
	runs := c.lost[w.ID]
	delete(c.lost, w.ID)
	if outcome.ended() {
		runs = append(runs, c.canceled[w.ID]...)
		c.addCrash(w, at, runs)
	}
	c.mu.Unlock()
	c.logCheck(w, at, outcome, runs)
	if !outcome.ended() {
		c.alive.Add(len(runs))
		return
	}
	c.confirmed.Add(len(runs))
	c.kick()
}

// addCrash stores the observation of a crash. The caller holds the lock.
func (c *crashReporter) addCrash(w workers.Worker, at time.Time, runs []quarantine.LostRequest) {
	crash := &quarantine.Crash{Worker: w.ID, Reporter: c.opts.Self(), At: at, LostRequests: runs}
	c.add(observation{at: at, crash: crash, outputs: c.opts.Guard.Outputs(crash.Parts())})
}

// Canceled records that a request was canceled at a worker since it is held back. It never blocks. If the worker
// crashes soon, this request was there as well: without it the crash would count against those beside it.
func (c *crashReporter) Canceled(w workers.Worker, r quarantine.LostRequest) {
	if c.opts.Guard.Finished(r.Fingerprint) {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	runs, watched := c.canceled[w.ID]
	if !watched && len(c.canceled) >= maxCheckedWorkers || len(runs) >= maxLostPerWorker {
		return
	}
	c.canceled[w.ID] = append(runs, r)
	if !watched {
		go c.watchCanceled(w)
	}
}

// watchCanceled waits for the crash of a worker at which requests were canceled.
func (c *crashReporter) watchCanceled(w workers.Worker) {
	ctx, cancel := context.WithTimeout(context.Background(), cancellationWatch)
	defer cancel()
	refuses := c.opts.Checker.awaitRefusal(ctx, w)
	c.mu.Lock()
	runs := c.canceled[w.ID]
	if refuses {
		c.addCrash(w, clock.Now(), runs)
	}
	c.mu.Unlock()
	if refuses {
		c.logCheck(w, clock.Now(), workerRefuses, runs)
		c.kick()
	}
	<-ctx.Done() // other requests of this daemon may be found lost later
	c.mu.Lock()
	delete(c.canceled, w.ID)
	c.mu.Unlock()
}

// logCheck logs what the checks of a worker showed, and how far the requests were that were lost there.
func (c *crashReporter) logCheck(w workers.Worker, at time.Time, outcome checkOutcome, lost []quarantine.LostRequest) {
	stages := map[quarantine.Stage]int{}
	for _, r := range lost {
		stages[r.Stage]++
	}
	entry := c.opts.Log.Info().Str("event", "worker_checked").Str("worker", w.ID).Str("group", w.Membership.Group.Name).
		Str("outcome", string(outcome)).Dur("age", clock.Since(at)).Int("requests", len(lost))
	for _, stage := range slices.Sorted(maps.Keys(stages)) {
		entry = entry.Int(stage.String(), stages[stage])
	}
	entry.Msg("")
}

// clear reports that a request which is held back has finished normally here.
func (c *crashReporter) clear(f quarantine.Fingerprint) {
	c.mu.Lock()
	c.add(observation{at: clock.Now(), finished: &f})
	c.mu.Unlock()
	c.kick()
}

// Produced reports output on parts of prompts.
func (c *crashReporter) Produced(outputs []quarantine.Output) {
	if len(outputs) == 0 {
		return
	}
	c.mu.Lock()
	c.dropOldestOutput()
	c.add(observation{at: clock.Now(), outputs: outputs})
	c.mu.Unlock()
	c.kick()
}

// dropOldestOutput makes room for another observation of output alone. Later output on a part tells
// as much. The caller holds the lock.
func (c *crashReporter) dropOldestOutput() {
	n := 0
	for _, o := range c.observations {
		if o.isOutput() {
			n++
		}
	}
	if n >= maxOutputObservations {
		i := slices.IndexFunc(c.observations, observation.isOutput)
		c.observations = slices.Delete(c.observations, i, i+1)
	}
}

// add stores an observation. The caller holds the lock.
func (c *crashReporter) add(o observation) {
	o.added = clock.Now()
	o.due = o.added
	o.reportedIn = map[string]uint64{}
	c.observations = append(c.observations, o)
	c.prune(o.added)
}

// kick triggers a report of new observations.
func (c *crashReporter) kick() {
	select {
	case c.wake <- struct{}{}:
	default:
	}
}

// Run reports observations to the deciders until ctx ends: new ones at once, and all of the last
// hour when the deciders change.
func (c *crashReporter) Run(ctx context.Context) {
	for ctx.Err() == nil {
		if !c.reportAll(ctx) {
			sleep(ctx, crashReportRetryDelay)
			continue
		}
		select {
		case <-ctx.Done():
		case <-c.wake:
		}
	}
}

// reportAll sends the deciders what they don't have yet. It sends in parallel, since one of them
// may be gone. It returns false if a retry is needed.
func (c *crashReporter) reportAll(ctx context.Context) bool {
	control := c.opts.Control()
	var sending sync.WaitGroup
	var failed atomic.Bool
	for _, n := range control.ReportTargets() {
		report := c.unreported(n.Name, control.Term, clock.Now())
		if report.Empty() {
			continue
		}
		sending.Go(func() {
			if c.send(ctx, n, report) || c.givesUp(n, report) {
				c.markReported(n.Name, control.Term, report.AsOf)
			} else {
				failed.Store(true)
			}
		})
	}
	sending.Wait()
	return !failed.Load()
}

// givesUp reports whether a daemon has failed to accept the oldest part of a report for so long
// that it counts as gone. Reports to it resume in the next term of the lease.
func (c *crashReporter) givesUp(to replica.Node, report crashReport) bool {
	if report.AsOf.Sub(report.OldestDue) < crashReportTimeout {
		return false
	}
	c.opts.Log.Warn().Str("event", "crash_report_given_up").Str("to", to.Name).Int("crashes", len(report.Crashes)).Msg("")
	return true
}

// send sends a report to a decider, and reports whether it was accepted.
func (c *crashReporter) send(ctx context.Context, to replica.Node, report crashReport) bool {
	err := c.opts.Send(ctx, to, report.CrashReport)
	if err != nil {
		c.opts.Log.Warn().Str("event", "crash_report_failed").Str("to", to.Name).Int("crashes", len(report.Crashes)).Err(err).Msg("")
	}
	return err == nil
}

// crashReport is a report with the time up to which it is complete, and the due time of its oldest
// observation.
type crashReport struct {
	relay.CrashReport
	AsOf, OldestDue time.Time
}

// unreported returns what a daemon hasn't received in a term of the lease, of what was observed up to now.
func (c *crashReporter) unreported(daemon string, term uint64, now time.Time) crashReport {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.prune(now)
	if term != c.term { // the deciders changed and need all observations
		c.term = term
		c.markAllDue(now)
	}
	report := crashReport{AsOf: now}
	report.Reporter = c.opts.Self()
	for _, o := range c.observations {
		if reported, ok := o.reportedIn[daemon]; ok && reported == term || o.added.After(now) {
			continue // later ones aren't marked as reported up to now
		}
		if report.OldestDue.IsZero() {
			report.OldestDue = o.due
		}
		if o.crash != nil {
			report.Crashes = append(report.Crashes, *o.crash)
		}
		if o.finished != nil {
			report.Finished = append(report.Finished, *o.finished)
		}
		report.Outputs = append(report.Outputs, o.outputs...)
	}
	return report
}

// markAllDue schedules all observations to be reported again. The caller holds the lock.
func (c *crashReporter) markAllDue(now time.Time) {
	for i := range c.observations {
		c.observations[i].due = now
	}
}

// markReported records that a daemon received all observations up to a time.
func (c *crashReporter) markReported(daemon string, term uint64, upTo time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, o := range c.observations {
		if !o.added.After(upTo) {
			o.reportedIn[daemon] = term
		}
	}
}

// prune drops observations that are too old or too many. The caller holds the lock.
func (c *crashReporter) prune(now time.Time) {
	first := max(0, len(c.observations)-maxObservations)
	size := 0
	for _, o := range c.observations[first:] {
		size += o.size()
	}
	for first < len(c.observations) && (now.Sub(c.observations[first].at) > observationTTL || size > maxObservationBytes) {
		size -= c.observations[first].size()
		first++
	}
	c.observations = slices.Delete(c.observations, 0, first)
}
