package deps

import (
	"context"
	"errors"
	"io"
	"strconv"
	"sync"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/phuslu/log"
	"github.com/shoenig/test/must"
	"github.com/shoenig/test/wait"

	"github.com/pointpass/pointpass/quarantine"
	"github.com/pointpass/pointpass/relay"
	"github.com/pointpass/pointpass/replica"
	"github.com/pointpass/pointpass/workers"
)

// deciders are the daemons that get crash reports, some of them unreachable.
type deciders struct {
	mu          sync.Mutex
	control     replica.Control
	unreachable map[string]bool
	reports     map[string][]relay.CrashReport
	// failures counts the reports to unreachable daemons.
	failures int
	// ended are the workers that have ended, and endsLate those that end while they are watched.
	ended, endsLate map[string]bool
}

var errUnreachable = errors.New("daemon is unreachable")

func (d *deciders) check(_ context.Context, w workers.Worker) checkOutcome {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.ended[w.ID] {
		return workerRefuses
	}
	return workerAlive
}

func (d *deciders) awaitRefusal(ctx context.Context, w workers.Worker) bool {
	d.mu.Lock()
	ends := d.ended[w.ID] || d.endsLate[w.ID]
	d.mu.Unlock()
	if !ends {
		<-ctx.Done()
	}
	return ends
}

func (d *deciders) send(_ context.Context, to replica.Node, r relay.CrashReport) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.unreachable[to.Name] {
		d.failures++
		return errUnreachable
	}
	d.reports[to.Name] = append(d.reports[to.Name], r)
	return nil
}

// firstReport returns the first report to a daemon.
func (d *deciders) firstReport(name string) relay.CrashReport {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.reports[name][0]
}

// firstCrash returns the first crash that was reported to a daemon.
func (d *deciders) firstCrash(name string) quarantine.Crash { return d.firstReport(name).Crashes[0] }

// reportedWorkers returns the workers reported to a daemon as crashed.
func (d *deciders) reportedWorkers(name string) []string {
	d.mu.Lock()
	defer d.mu.Unlock()
	var all []string
	for _, r := range d.reports[name] {
		for _, c := range r.Crashes {
			all = append(all, c.Worker)
		}
	}
	return all
}

// reportedRequests returns the requests reported to a daemon as lost with a worker, each once.
func (d *deciders) reportedRequests(name, worker string) map[quarantine.Fingerprint]bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	all := map[quarantine.Fingerprint]bool{}
	for _, r := range d.reports[name] {
		for _, c := range r.Crashes {
			for _, lost := range c.LostRequests {
				all[lost.Fingerprint] = all[lost.Fingerprint] || c.Worker == worker
			}
		}
	}
	return all
}

func (d *deciders) transferLease(holder string, term uint64) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.control.Holder = holder
	d.control.Term = term
}

func (d *deciders) currentControl() replica.Control {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.control
}

func newDeciders(t *testing.T) (*deciders, *crashReporter) {
	d := &deciders{unreachable: map[string]bool{}, reports: map[string][]relay.CrashReport{}, ended: map[string]bool{"w1": true, "w2": true}, endsLate: map[string]bool{"late": true}}
	for _, name := range []string{"e1", "e2", "e3"} {
		d.control.Nodes = append(d.control.Nodes, replica.Node{Name: name, Addr: name})
	}
	d.transferLease("e1", 7)
	s := newCrashReporter(crashReporterOptions{
		Self:    func() string { return "e9" },
		Guard:   quarantine.NewGuard(time.Now),
		Checker: d,
		Control: d.currentControl,
		Send:    d.send,
		Metrics: metrics.NewSet(),
		Log:     &log.Logger{Writer: &log.IOWriter{Writer: io.Discard}},
	})
	ctx, cancel := context.WithCancel(t.Context())
	var running sync.WaitGroup
	running.Go(func() { s.Run(ctx) })
	t.Cleanup(func() {
		cancel()
		running.Wait()
	})
	return d, s
}

func lostRun(n byte) quarantine.LostRequest {
	return quarantine.LostRequest{Fingerprint: quarantine.Fingerprint{n}, Stage: quarantine.Begun}
}

func eventually(t *testing.T, what string, condition func() bool) {
	t.Helper()
	must.Wait(t, wait.InitialSuccess(wait.BoolFunc(condition), wait.Timeout(10*time.Second), wait.Gap(5*time.Millisecond)), must.Sprint(what))
}

// TestCrashReporter_ReportsACrashOnceWithAllLostRequests guards against a crash that is reported in
// parts, or to other daemons than the lease holder and the next in line, and against reports of
// workers that are alive.
func TestCrashReporter_ReportsACrashOnceWithAllLostRequests(t *testing.T) {
	d, s := newDeciders(t)
	s.Lost(workers.Worker{ID: "alive"}, lostRun(1))
	s.Lost(workers.Worker{ID: "w1"}, lostRun(2))
	s.Lost(workers.Worker{ID: "w1"}, lostRun(3))
	for _, name := range []string{"e1", "e2"} {
		eventually(t, "the crash is reported", func() bool { return len(d.reportedWorkers(name)) > 0 })
		must.Eq(t, []string{"w1"}, d.reportedWorkers(name))
		must.Eq(t, []quarantine.LostRequest{lostRun(2), lostRun(3)}, d.firstCrash(name).LostRequests)
		must.EqOp(t, "e9", d.firstReport(name).Reporter)
	}
	must.SliceEmpty(t, d.reportedWorkers("e3"))
	eventually(t, "the live worker is counted", func() bool { return s.alive.Get() == 1 })
	must.EqOp(t, 2, s.confirmed.Get())
}

// TestCrashReporter_ReportsAllToTheNextDecider guards against losing a crash that happens while the
// lease holder is unreachable. The next in line gets it at once, and the next holder gets all
// observations.
func TestCrashReporter_ReportsAllToTheNextDecider(t *testing.T) {
	d, s := newDeciders(t)
	s.Lost(workers.Worker{ID: "w1"}, lostRun(1))
	eventually(t, "both deciders have the first crash", func() bool { return len(d.reportedWorkers("e1")) == 1 && len(d.reportedWorkers("e2")) == 1 })
	d.setUnreachable("e1", true)
	s.Lost(workers.Worker{ID: "w2"}, lostRun(1))
	eventually(t, "the next in line has both crashes", func() bool { return len(d.reportedWorkers("e2")) == 2 })
	d.transferLease("e3", 8)
	s.kick()
	eventually(t, "the next holder has both crashes", func() bool { return len(d.reportedWorkers("e3")) == 2 })
	must.Eq(t, []string{"w1", "w2"}, d.reportedWorkers("e3"))
	must.Eq(t, []string{"w1"}, d.reportedWorkers("e1"))
}

// TestCrashReporter_GivesUpAnUnreachableDeciderUntilTheNextTerm guards against endless calls to
// a daemon that is gone for good but whose row stays.
func TestCrashReporter_GivesUpAnUnreachableDeciderUntilTheNextTerm(t *testing.T) {
	d, s := newDeciders(t)
	d.setUnreachable("e1", true)
	s.Lost(workers.Worker{ID: "w1"}, lostRun(1))
	eventually(t, "a report is attempted", func() bool { return d.failureCount() > 0 })
	s.mu.Lock()
	s.observations[0].due = time.Now().Add(-crashReportTimeout)
	s.mu.Unlock()
	eventually(t, "the report is given up", func() bool {
		return len(s.unreported("e1", 7, time.Now()).Crashes) == 0
	})
	before := d.failureCount()
	d.transferLease("e1", 8)
	s.kick()
	eventually(t, "reports are attempted again", func() bool { return d.failureCount() > before+1 })
	d.setUnreachable("e1", false)
	eventually(t, "the daemon has the report", func() bool { return len(d.reportedWorkers("e1")) == 1 })
}

func (d *deciders) setUnreachable(name string, unreachable bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.unreachable[name] = unreachable
}

func (d *deciders) failureCount() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.failures
}

// TestCrashReporter_CanceledRequestsCountIfTheirWorkerCrashes guards against a crash that counts only against the
// requests beside the one that caused it, since that one was canceled as a hold arrived and its worker crashed all
// the same. A worker that lives on isn't reported.
func TestCrashReporter_CanceledRequestsCountIfTheirWorkerCrashes(t *testing.T) {
	d, s := newDeciders(t)
	s.Canceled(workers.Worker{ID: "alive"}, lostRun(1))
	s.Canceled(workers.Worker{ID: "late"}, lostRun(2))
	for _, name := range []string{"e1", "e2"} {
		eventually(t, "the crash is reported without another lost request", func() bool { return len(d.reportedWorkers(name)) > 0 })
		must.Eq(t, []string{"late"}, d.reportedWorkers(name))
		must.Eq(t, []quarantine.LostRequest{lostRun(2)}, d.firstCrash(name).LostRequests)
	}

	d, s = newDeciders(t)
	s.Canceled(workers.Worker{ID: "w1"}, lostRun(1))
	s.Lost(workers.Worker{ID: "w1"}, lostRun(2))
	eventually(t, "both requests are reported", func() bool { return len(d.reportedRequests("e1", "w1")) == 2 })
}

// TestCrashReporter_ReportsOnce guards against a crash that is reported twice: it was observed after the time up to which
// the first report is marked as complete.
func TestCrashReporter_ReportsOnce(t *testing.T) {
	d, s := newDeciders(t)
	d.setUnreachable("e1", true)
	began := time.Now()
	time.Sleep(time.Millisecond)
	s.Lost(workers.Worker{ID: "w1"}, lostRun(1))
	eventually(t, "a report is attempted", func() bool { return d.failureCount() > 0 })
	must.SliceEmpty(t, s.unreported("e1", 7, began).Crashes)
	must.SliceLen(t, 1, s.unreported("e1", 7, time.Now()).Crashes)
}

// TestCrashReporter_ForgetsCanceledRequests guards against a request that is charged for a crash long after it was
// canceled.
func TestCrashReporter_ForgetsCanceledRequests(t *testing.T) {
	d, s := newDeciders(t)
	s.Canceled(workers.Worker{ID: "alive"}, lostRun(1))
	eventually(t, "the canceled request is forgotten", func() bool {
		s.mu.Lock()
		defer s.mu.Unlock()
		return len(s.canceled) == 0
	})
	d.mu.Lock()
	d.ended["alive"] = true
	d.mu.Unlock()
	s.Lost(workers.Worker{ID: "alive"}, lostRun(2))
	eventually(t, "the crash is reported", func() bool { return len(d.reportedWorkers("e1")) > 0 })
	must.Eq(t, []quarantine.LostRequest{lostRun(2)}, d.firstCrash("e1").LostRequests)
}

func TestCrashReporter_SkipsRequestsThatFinished(t *testing.T) {
	d, s := newDeciders(t)
	s.opts.Guard.MarkFinished(quarantine.Fingerprint{1})
	s.Lost(workers.Worker{ID: "w1"}, lostRun(1))
	s.Lost(workers.Worker{ID: "w2"}, lostRun(2))
	eventually(t, "the other crash is reported", func() bool { return len(d.reportedWorkers("e1")) > 0 })
	must.Eq(t, []string{"w2"}, d.reportedWorkers("e1"))
}

func TestCrashReporter_BoundsObservations(t *testing.T) {
	_, s := newDeciders(t)
	now := time.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	for range 2 * maxObservations {
		s.add(observation{at: now, crash: &quarantine.Crash{}})
	}
	s.prune(now)
	must.LessEq(t, maxObservations, len(s.observations))
	s.prune(now.Add(2 * observationTTL))
	must.SliceEmpty(t, s.observations)
}

// TestCrashReporter_OutputDoesNotPushOutCrashes guards against a new decider that learns of no crash
// since output on suspected parts filled the observations.
func TestCrashReporter_OutputDoesNotPushOutCrashes(t *testing.T) {
	d, s := newDeciders(t)
	s.Lost(workers.Worker{ID: "w1"}, lostRun(1))
	eventually(t, "a decider has the crash", func() bool { return len(d.reportedWorkers("e1")) == 1 })
	for n := range 2 * maxObservations {
		s.Produced([]quarantine.Output{{Part: quarantine.Fingerprint{byte(n)}, At: time.Now()}})
	}
	d.transferLease("e3", 8)
	s.kick()
	eventually(t, "the next holder has the crash", func() bool { return len(d.reportedWorkers("e3")) == 1 })
}

// TestCrashReporter_BoundsMemoryWithoutDeciders guards against observations that fill the memory while no daemon is
// there to report them to, and against reports that are longer than a message.
func TestCrashReporter_BoundsMemoryWithoutDeciders(t *testing.T) {
	d, s := newDeciders(t)
	d.mu.Lock()
	d.control = replica.Control{}
	d.mu.Unlock()
	for i := range 2 * maxObservations {
		s.mu.Lock()
		crash := &quarantine.Crash{Worker: "w" + strconv.Itoa(i)}
		for n := range maxLostPerWorker {
			crash.LostRequests = append(crash.LostRequests, quarantine.LostRequest{Fingerprint: quarantine.Fingerprint{byte(n)}, Parts: make([]quarantine.Fingerprint, 32)})
		}
		s.add(observation{at: time.Now(), crash: crash})
		s.mu.Unlock()
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	size := 0
	for _, o := range s.observations {
		for _, r := range o.crash.LostRequests {
			size += 100 + len(r.Parts)*quarantine.FingerprintBytes
		}
	}
	must.LessEq(t, 3<<20, size)
	must.EqOp(t, "w"+strconv.Itoa(2*maxObservations-1), s.observations[len(s.observations)-1].crash.Worker)
}
