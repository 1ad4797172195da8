package deps

import (
	"context"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/pointpass/pointpass/quarantine"
	"github.com/pointpass/pointpass/relay"
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
	// mostSightings is how many crashes a daemon keeps to tell them to the next holder of
	// the lease, and sightingLife for how long, as they count at the holder.
	mostSightings = 128
	sightingLife  = time.Hour
	// sightingRetry is how long after a report that failed the next is sent.
	sightingRetry = 200 * time.Millisecond
)

// refuser tells whether a worker has ended.
type refuser interface {
	// Refuses tells whether connections to a worker are refused.
	Refuses(ctx context.Context, w workers.Worker) bool
}

// sightings finds workers that crash under requests of this daemon, and tells the holder of
// the lease. It is safe for use by many goroutines.
type sightings struct {
	edge  *Edge
	peers *relay.Client
	asks  refuser
	news  chan struct{}
	// confirmed and alive count what became of workers whose answers broke off.
	confirmed, alive *metrics.Counter

	mu sync.Mutex
	// lost are the requests lost at workers that are to be asked whether they are gone.
	lost map[string][]quarantine.Run
	own  []sighting
	// cleared are requests that are held back and have ended well here.
	cleared []quarantine.Fingerprint
}

// sighting is a crash that this daemon saw.
type sighting struct {
	crash quarantine.Crash
	// told is the term of the lease whose holder was told, 0 if none was.
	told uint64
}

func newSightings(e *Edge, peers *relay.Client, asks refuser) *sightings {
	return &sightings{
		edge: e, peers: peers, asks: asks,
		news:      make(chan struct{}, 1),
		confirmed: e.Metrics.NewCounter(`pointpass_broken_answers_total{worker="ended"}`),
		alive:     e.Metrics.NewCounter(`pointpass_broken_answers_total{worker="alive"}`),
		lost:      map[string][]quarantine.Run{},
	}
}

// Lost takes in that an answer of a worker broke off. It never waits. A request that ended
// well before crashes nothing.
func (s *sightings) Lost(w workers.Worker, r quarantine.Run) {
	if s.edge.Guard.Finished(r.Fingerprint) {
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
		at := time.Now()
		time.AfterFunc(gatherLost, func() { s.look(w, at) })
	}
}

// look asks whether a worker has ended at which answers broke off.
func (s *sightings) look(w workers.Worker, at time.Time) {
	ended := s.asks.Refuses(context.Background(), w)
	s.mu.Lock()
	runs := s.lost[w.ID]
	delete(s.lost, w.ID)
	if ended {
		s.own = append(s.own, sighting{crash: quarantine.Crash{Worker: w.ID, Reporter: s.edge.settings.Current().Name(), At: at, Runs: runs}})
	}
	s.mu.Unlock()
	if !ended {
		s.alive.Add(len(runs))
		return
	}
	s.confirmed.Add(len(runs))
	s.kick()
}

// clear has the holder told that a request which is held back has ended well here.
func (s *sightings) clear(f quarantine.Fingerprint) {
	s.mu.Lock()
	s.cleared = append(s.cleared, f)
	s.mu.Unlock()
	s.kick()
}

// kick has what is new told soon.
func (s *sightings) kick() {
	select {
	case s.news <- struct{}{}:
	default:
	}
}

// Run tells the holder of the lease of crashes until ctx ends: of new ones at once, and of
// all of the last hour where the holder is a new one.
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

// tell tells the holder what it doesn't know yet. It returns false if that is to be tried
// again.
func (s *sightings) tell(ctx context.Context) bool {
	term := s.edge.following.control.Load().Term
	report := s.untold(term, time.Now())
	if len(report.Crashes)+len(report.Finished) == 0 {
		return true
	}
	if !s.send(ctx, report) {
		return false
	}
	s.noteTold(term, report)
	return true
}

// send sends a report to the holder, which may be this daemon.
func (s *sightings) send(ctx context.Context, report relay.CrashReport) bool {
	if s.edge.quarantine.take(report) {
		return true
	}
	holder, known := s.edge.following.holder()
	if !known || holder.Name == s.edge.settings.Current().Name() {
		return false
	}
	if err := s.peers.Crashes(ctx, holder.Addr, report); err != nil {
		s.edge.Log.Warn().Str("event", "crash_report_failed").Str("holder", holder.Name).Int("crashes", len(report.Crashes)).Err(err).Msg("")
		return false
	}
	return true
}

// untold returns what the holder under a term hasn't been told.
func (s *sightings) untold(term uint64, now time.Time) relay.CrashReport {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.forget(now)
	report := relay.CrashReport{Reporter: s.edge.settings.Current().Name(), Finished: s.cleared}
	for _, o := range s.own {
		if o.told == 0 || o.told != term {
			report.Crashes = append(report.Crashes, o.crash)
		}
	}
	return report
}

// noteTold notes that the holder under a term was told of a report.
func (s *sightings) noteTold(term uint64, report relay.CrashReport) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.cleared = s.cleared[len(report.Finished):]
	told := map[time.Time]bool{}
	for _, c := range report.Crashes {
		told[c.At] = true
	}
	for i := range s.own {
		if told[s.own[i].crash.At] {
			s.own[i].told = term
		}
	}
}

// forget drops crashes that no longer count. The caller holds the lock.
func (s *sightings) forget(now time.Time) {
	first := max(0, len(s.own)-mostSightings)
	for first < len(s.own) && now.Sub(s.own[first].crash.At) > sightingLife {
		first++
	}
	s.own = s.own[first:]
}
