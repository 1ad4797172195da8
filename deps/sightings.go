package deps

import (
	"context"
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
	// gatherLost is how long answers that break off at one worker gather before it is asked
	// whether it is gone. All that is lost with a worker is lost within 10 ms.
	gatherLost = 30 * time.Millisecond
	// mostDoubted bounds how many workers are asked at a time, and mostLost how many lost
	// requests are kept for one: a worker takes 34 at the sites known and lets as many wait.
	mostDoubted = 64
	mostLost    = 256
	// mostSightings is how many crashes a daemon keeps to tell them to who decides next, and
	// sightingLife for how long, as they count there.
	mostSightings = 128
	sightingLife  = time.Hour
	// tellFor is how long it is tried to tell a daemon: the others that decide know by then,
	// or the lease passes on, which takes 5 s at most.
	tellFor = 5 * time.Second
	// sightingRetry is how long after a report that failed the next is sent.
	sightingRetry = 200 * time.Millisecond
)

// refuser tells whether a worker has ended.
type refuser interface {
	// Refuses tells whether connections to a worker are refused.
	Refuses(ctx context.Context, w workers.Worker) bool
}

// sightings finds workers that crash under requests of this daemon, and tells those who
// decide which request did it. It is safe for use by many goroutines.
type sightings struct {
	opts sightingOptions
	news chan struct{}
	// confirmed and alive count the answers that broke off, by what became of the worker.
	confirmed, alive *metrics.Counter

	mu sync.Mutex
	// lost are the requests lost at workers that are to be asked whether they are gone.
	lost map[string][]quarantine.Run
	own  []sighting
	// term is the term of the lease under which all was told last.
	term uint64
}

// sighting is something that this daemon saw: a crash, or that a request which is held back
// has ended well here.
type sighting struct {
	// at is when it happened, added when it was known for certain.
	at, added time.Time
	// due is since when it is to be told.
	due      time.Time
	crash    *quarantine.Crash
	finished *quarantine.Fingerprint
	// told are the daemons that were told, by the term of the lease then.
	told map[string]uint64
}

// sightingOptions wires sightings.
type sightingOptions struct {
	// Self returns this daemon's name.
	Self  func() string
	Guard *quarantine.Guard
	Asks  refuser
	// Control returns what is known of the other daemons.
	Control func() replica.Control
	// Send tells a daemon, which may be this one.
	Send    func(ctx context.Context, to replica.Node, r relay.CrashReport) error
	Metrics *metrics.Set
	Log     *log.Logger
}

func newSightings(opts sightingOptions) *sightings {
	return &sightings{
		opts:      opts,
		news:      make(chan struct{}, 1),
		confirmed: opts.Metrics.NewCounter(`pointpass_broken_answers_total{worker="ended"}`),
		alive:     opts.Metrics.NewCounter(`pointpass_broken_answers_total{worker="alive"}`),
		lost:      map[string][]quarantine.Run{},
	}
}

// Lost takes in that an answer of a worker broke off. It never waits. A request that ended
// well before crashes nothing.
func (s *sightings) Lost(w workers.Worker, r quarantine.Run) {
	if s.opts.Guard.Finished(r.Fingerprint) {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	runs, doubted := s.lost[w.ID]
	if !doubted && len(s.lost) >= mostDoubted || len(runs) >= mostLost {
		return
	}
	s.lost[w.ID] = append(runs, r)
	if !doubted {
		at := clock.Now()
		time.AfterFunc(gatherLost, func() { s.look(w, at) })
	}
}

// look asks whether a worker has ended at which answers broke off.
func (s *sightings) look(w workers.Worker, at time.Time) {
	ended := s.opts.Asks.Refuses(context.Background(), w)
	s.mu.Lock()
	runs := s.lost[w.ID]
	delete(s.lost, w.ID)
	if ended {
		s.add(sighting{at: at, crash: &quarantine.Crash{Worker: w.ID, Reporter: s.opts.Self(), At: at, Runs: runs}})
	}
	s.mu.Unlock()
	if !ended {
		s.alive.Add(len(runs))
		return
	}
	s.confirmed.Add(len(runs))
	s.kick()
}

// clear has it told that a request which is held back has ended well here.
func (s *sightings) clear(f quarantine.Fingerprint) {
	s.mu.Lock()
	s.add(sighting{at: clock.Now(), finished: &f})
	s.mu.Unlock()
	s.kick()
}

// add keeps a sighting. The caller holds the lock.
func (s *sightings) add(o sighting) {
	o.added = clock.Now()
	o.due = o.added
	o.told = map[string]uint64{}
	s.own = append(s.own, o)
}

// kick has what is new told soon.
func (s *sightings) kick() {
	select {
	case s.news <- struct{}{}:
	default:
	}
}

// Run tells those who decide what was seen until ctx ends: what is new at once, and all of
// the last hour where somebody else decides from now on.
func (s *sightings) Run(ctx context.Context) {
	for ctx.Err() == nil {
		if !s.tell(ctx) {
			pause(ctx, sightingRetry)
			continue
		}
		select {
		case <-ctx.Done():
		case <-s.news:
		}
	}
}

// tell tells those who decide what they don't know yet, side by side: one of them may be
// gone. It returns false if that is to be tried again.
func (s *sightings) tell(ctx context.Context) bool {
	control := s.opts.Control()
	var telling sync.WaitGroup
	var failed atomic.Bool
	for _, n := range control.Deciders() {
		report := s.untold(n.Name, control.Term, clock.Now())
		if len(report.Crashes)+len(report.Finished) == 0 {
			continue
		}
		telling.Go(func() {
			if s.send(ctx, n, report) || s.givesUp(n, report) {
				s.noteTold(n.Name, control.Term, report.At)
			} else {
				failed.Store(true)
			}
		})
	}
	telling.Wait()
	return !failed.Load()
}

// givesUp tells whether a daemon has failed to take the oldest of a report for so long that
// it is taken for gone. It is told again where the lease passes on.
func (s *sightings) givesUp(to replica.Node, report crashReport) bool {
	if report.At.Sub(report.Oldest) < tellFor {
		return false
	}
	s.opts.Log.Warn().Str("event", "crash_report_given_up").Str("to", to.Name).Int("crashes", len(report.Crashes)).Msg("")
	return true
}

// send sends a report to a daemon that decides, and tells whether it took it.
func (s *sightings) send(ctx context.Context, to replica.Node, report crashReport) bool {
	err := s.opts.Send(ctx, to, report.CrashReport)
	if err != nil {
		s.opts.Log.Warn().Str("event", "crash_report_failed").Str("to", to.Name).Int("crashes", len(report.Crashes)).Err(err).Msg("")
	}
	return err == nil
}

// crashReport is a report, the moment as of which it tells all, and when the first of what
// it tells was to be told.
type crashReport struct {
	relay.CrashReport
	At, Oldest time.Time
}

// untold returns what a daemon hasn't been told under a term of the lease.
func (s *sightings) untold(daemon string, term uint64, now time.Time) crashReport {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.forget(now)
	if term != s.term { // others decide, and are to be told all
		s.term = term
		s.renew(now)
	}
	report := crashReport{At: now}
	report.Reporter = s.opts.Self()
	for _, o := range s.own {
		if told, was := o.told[daemon]; was && told == term {
			continue
		}
		if report.Oldest.IsZero() {
			report.Oldest = o.due
		}
		if o.crash != nil {
			report.Crashes = append(report.Crashes, *o.crash)
		}
		if o.finished != nil {
			report.Finished = append(report.Finished, *o.finished)
		}
	}
	return report
}

// renew has all that was seen be told again. The caller holds the lock.
func (s *sightings) renew(now time.Time) {
	for i := range s.own {
		s.own[i].due = now
	}
}

// noteTold notes that a daemon was told all that was seen up to a moment.
func (s *sightings) noteTold(daemon string, term uint64, upTo time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, o := range s.own {
		if !o.added.After(upTo) {
			o.told[daemon] = term
		}
	}
}

// forget drops what no longer counts. The caller holds the lock.
func (s *sightings) forget(now time.Time) {
	first := max(0, len(s.own)-mostSightings)
	for first < len(s.own) && now.Sub(s.own[first].at) > sightingLife {
		first++
	}
	s.own = s.own[first:]
}
