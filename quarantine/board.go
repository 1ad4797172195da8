package quarantine

import (
	"slices"
	"time"
)

// Charges and their thresholds. The charge of a request is the sum of what crashes count
// against it.
const (
	// holdCharge is the charge at which a request is held back: a deployment may lose three
	// workers to one request.
	holdCharge = 3
	// tiedHoldCharge is the charge at which a request is held back even if another request of
	// the crash has the same charge, or parts of others explain its crashes. A client that
	// retries once causes four sends.
	tiedHoldCharge = 5
	// unknownStageCharge is what a crash counts against a request whatever the worker had done with it:
	// no protocol says what a worker has sent when it crashes. A request that is lost at three workers
	// and at three more may reach no other.
	unknownStageCharge = 0.5
	// stormCharge is the same during a crash storm. Four sends add up to one whole crash.
	stormCharge = 0.25
	// resendDiscount is subtracted, during a crash storm, for a crash under a request that was
	// resent from another worker in the same try: requests lost with one worker are often
	// resent to the same worker and lost together again, so that harmless ones would be held
	// back where many workers end on their own.
	resendDiscount = 0.5
	// There is a crash storm for a request if at least stormCrashes workers without the request
	// ended within stormWindow.
	stormWindow  = 10 * time.Second
	stormCrashes = 12
)

// Bounds of the board.
const (
	// sameCrashWindow is the maximum difference between the times at which daemons report the
	// same crash. A worker takes longer to restart under the same ID.
	sameCrashWindow = time.Second
	// judgeDelay is the delay from the first report of a crash to its judgement: the requests
	// lost with a worker are lost within 10 ms, and the query whether the worker is gone takes
	// up to 300 ms.
	judgeDelay = 150 * time.Millisecond
	// crashLifetime is how long a crash counts.
	crashLifetime = time.Hour
	// maxCrashes bounds how many crashes are kept; the oldest are dropped first. At 34 requests
	// per crash and 60 bytes per request they take 1 MB.
	maxCrashes = 512
	// maxCrashBytes bounds their memory: prompts of 32 parts take ten times as much.
	maxCrashBytes = 12 << 20
	// maxLostRequests bounds how many lost requests of a crash are kept, maxReporters how many
	// names of the daemons that report it.
	maxLostRequests = 4096
	maxReporters    = 64
	// completionLifetime is how long the completion of a request counts as evidence that it
	// crashes no workers. A release may make it deadly.
	completionLifetime = time.Minute
	// maxInnocent bounds how many innocent requests are remembered.
	maxInnocent = 4096
)

// Board collects the crash reports of daemons and decides which requests to hold back. It is a
// state machine that reads no clock, and its state is bounded.
type Board struct {
	crashes []*crash
	held    map[Fingerprint]bool
	// innocent is when requests were cleared.
	innocent map[Fingerprint]time.Time
	parts    partBoard
}

// NewBoard returns a board without reports.
func NewBoard() *Board {
	return &Board{held: map[Fingerprint]bool{}, innocent: map[Fingerprint]time.Time{}, parts: newPartBoard()}
}

// Report adds a daemon's report, which may repeat an earlier one. New facts in it are judged
// after judgeDelay, which leaves other daemons time to report the same crash.
func (b *Board) Report(r Crash, now time.Time) {
	b.dropExpired(now)
	c := b.find(r)
	if c == nil {
		c = &crash{worker: r.Worker, at: r.At, reported: now, requests: map[Fingerprint]LostRequest{}, repeated: b.crashedBefore(r)}
		b.crashes = append(b.crashes, c)
	}
	if len(c.reporters) < maxReporters && !slices.Contains(c.reporters, r.Reporter) {
		c.reporters = append(c.reporters, r.Reporter)
	}
	for _, run := range r.LostRequests {
		if c.add(run) {
			c.judged = false
		}
	}
	b.attribute(c)
	b.attributeToParts(c)
	b.dropExcess()
}

// find returns the crash that a report describes, nil if this is the first report of it.
func (b *Board) find(r Crash) *crash {
	for _, c := range slices.Backward(b.crashes) {
		if c.worker == r.Worker && c.at.Sub(r.At).Abs() < sameCrashWindow {
			return c
		}
	}
	return nil
}

// crashedBefore reports whether the worker of a report has crashed so recently that it can't be back.
func (b *Board) crashedBefore(r Crash) bool {
	return slices.ContainsFunc(b.crashes, func(c *crash) bool {
		return c.worker == r.Worker && r.At.Sub(c.at).Abs() < usualRestartTime
	})
}

// Hold records that a request is held back.
func (b *Board) Hold(f Fingerprint) {
	if b.held[f] {
		return
	}
	b.held[f] = true
	for _, c := range b.crashes {
		b.attribute(c)
	}
}

// Release records that a request or a set of parts is no longer held back. The crashes
// attributed to it stay attributed and count against no other.
func (b *Board) Release(f Fingerprint, now time.Time) {
	delete(b.held, f)
	b.releaseParts(f, now)
}

// Clear records that a request has completed somewhere lately, so it crashes no workers. The
// crashes attributed to it count against other requests again.
func (b *Board) Clear(f Fingerprint, now time.Time) {
	if len(b.innocent) >= maxInnocent {
		clear(b.innocent)
	}
	b.innocent[f] = now
	delete(b.held, f)
	for _, c := range b.crashes {
		if c.attributed && c.attributedTo == f {
			c.attributed = false
			b.attribute(c)
		}
	}
}

// isInnocent reports whether a request was cleared lately.
func (b *Board) isInnocent(f Fingerprint, now time.Time) bool {
	at, cleared := b.innocent[f]
	return cleared && now.Sub(at) < completionLifetime
}

// attribute attributes a crash to a request that is held back, if one was running on the
// worker.
func (b *Board) attribute(c *crash) {
	if c.attributed {
		return
	}
	for f := range b.held {
		if _, lost := c.requests[f]; lost && (!c.attributed || compare(f, c.attributedTo) < 0) {
			c.attributed = true
			c.attributedTo = f
		}
	}
}

// Verdict is the result of judging a crash.
type Verdict struct {
	Worker    string
	At        time.Time
	Reporters []string
	// LostRequests is the number of requests that were lost. Suspects are the lost requests with the
	// highest charges, in descending order; empty if a request that was already held back was
	// among the lost ones.
	LostRequests int
	Suspects     []Suspect
	// Hold are the requests to hold back from now on.
	Hold []Suspect
}

// Suspect is a request and its charge.
type Suspect struct {
	Fingerprint Fingerprint
	Charge      float64
	// Workers are the first maxWorkers workers that crashed while they had the request.
	Workers []string
}

// Bounds of what a verdict lists.
const (
	maxSuspects = 3
	maxWorkers  = 8
)

// Evaluate judges the crashes that all daemons have had time to report and returns the verdicts.
func (b *Board) Evaluate(now time.Time) []Verdict {
	b.dropExpired(now)
	ready := b.ready(now)
	if len(ready) == 0 {
		return nil
	}
	var verdicts []Verdict
	charges := b.charges(now)
	for _, c := range ready {
		c.judged = true
		v := c.verdict(charges)
		v.Hold = b.withoutExplained(v.Hold)
		for _, s := range v.Hold {
			b.Hold(s.Fingerprint)
			charges = b.charges(now)
		}
		verdicts = append(verdicts, v)
	}
	return verdicts
}

// ready returns the crashes that are due to be judged.
func (b *Board) ready(now time.Time) []*crash {
	var ready []*crash
	for _, c := range b.crashes {
		if !c.judged && now.Sub(c.reported) >= judgeDelay {
			ready = append(ready, c)
		}
	}
	return ready
}

// Unjudged reports whether crashes are waiting to be judged, or answers about suspected parts are
// awaited.
func (b *Board) Unjudged() bool {
	return b.parts.pending || b.anyUnjudged()
}

// anyUnjudged reports whether crashes are waiting to be judged.
func (b *Board) anyUnjudged() bool {
	return slices.ContainsFunc(b.crashes, func(c *crash) bool { return !c.judged })
}

// charges returns the charge of each request, from the crashes that aren't attributed to a held
// request.
func (b *Board) charges(now time.Time) map[Fingerprint]Suspect {
	tallies := map[Fingerprint]*tally{}
	recentCrashes := 0
	for _, c := range b.crashes {
		if c.isAttributed() {
			continue
		}
		recent := now.Sub(c.at) < stormWindow
		if recent {
			recentCrashes++
		}
		for f, run := range c.requests {
			if b.isInnocent(f, now) || c.repeated && run.Stage == Queued {
				continue
			}
			if tallies[f] == nil {
				tallies[f] = &tally{}
			}
			tallies[f].add(c.worker, run, recent)
		}
	}
	all := make(map[Fingerprint]Suspect, len(tallies))
	for f, t := range tallies {
		all[f] = t.suspect(f, recentCrashes)
	}
	return all
}

// dropExpired drops crashes that no longer count.
func (b *Board) dropExpired(now time.Time) {
	b.crashes = slices.DeleteFunc(b.crashes, func(c *crash) bool { return now.Sub(c.at) > crashLifetime })
	b.dropExcess()
}

// dropExcess drops the oldest crashes beyond maxCrashes and maxCrashBytes.
func (b *Board) dropExcess() {
	size := 0
	for _, c := range b.crashes {
		size += c.size
	}
	extra := max(len(b.crashes)-maxCrashes, 0)
	for _, c := range b.crashes[:extra] {
		size -= c.size
	}
	for ; size > maxCrashBytes; extra++ {
		size -= b.crashes[extra].size
	}
	b.crashes = slices.Delete(b.crashes, 0, extra)
}
