package quarantine

import (
	"slices"
	"time"
)

// What is put down to a request, and what follows.
const (
	// holdAt is the charge at which a request is held back: a deployment allows three
	// workers to be crashed.
	holdAt = 3
	// certainAt is the charge at which it is held back even if another request has the
	// same. A caller that comes back once makes four sends.
	certainAt = 5
	// bystanderCharge is what a crash counts against a request that waited there or was
	// being answered. Four sends make one whole crash of it.
	bystanderCharge = 0.25
	// againLess is how much less a crash counts, while many workers end, against a request
	// that came there from another worker in the same try: what was lost with the first one
	// often goes on together and is lost together. Counted in full, 47 of 2,160,000 requests
	// that crash nothing were held back in random histories, all of them where 24 of 48
	// workers ended a second by themselves; with this, 1 is.
	againLess = 0.5
	// stormSpan and stormEnds say what many are: ends that the request had no part in.
	stormSpan = 10 * time.Second
	stormEnds = 12
)

// Bounds of the board.
const (
	// together is how far apart daemons tell of the same end of a worker. A worker that
	// starts again under its id takes longer.
	together = time.Second
	// settle is how long after its first report a crash is judged: what is lost with a
	// worker is lost within 10 ms, the question whether it is gone takes up to 300 ms.
	settle = 150 * time.Millisecond
	// life is for how long a crash counts.
	life = time.Hour
	// mostCrashes bounds how many crashes are kept, the latest. At 34 requests each and
	// 60 bytes a request they take 1 MB.
	mostCrashes = 512
	// mostInnocent bounds how many requests are remembered that were proved innocent.
	mostInnocent = 4096
)

// Board gathers the reports of daemons about crashes and decides which requests to hold
// back. It is a state machine that reads no clock. Its state is bounded.
type Board struct {
	crashes  []*crash
	held     map[Fingerprint]bool
	innocent map[Fingerprint]bool
}

// NewBoard returns a board without reports.
func NewBoard() *Board {
	return &Board{held: map[Fingerprint]bool{}, innocent: map[Fingerprint]bool{}}
}

// Report takes in a daemon's report, which may tell what was told before. What is new in it is
// judged once others had the time to report the same crash.
func (b *Board) Report(r Crash, now time.Time) {
	b.forget(now)
	c := b.find(r)
	if c == nil {
		c = &crash{worker: r.Worker, at: r.At, reported: now, runs: map[Fingerprint]Run{}}
		b.crashes = append(b.crashes, c)
	}
	if !slices.Contains(c.reporters, r.Reporter) {
		c.reporters = append(c.reporters, r.Reporter)
	}
	for _, run := range r.Runs {
		if c.add(run) {
			c.judged = false
		}
	}
	b.explain(c)
}

// find returns the crash that a report is about, nil if it is the first.
func (b *Board) find(r Crash) *crash {
	for _, c := range slices.Backward(b.crashes) {
		if c.worker == r.Worker && c.at.Sub(r.At).Abs() < together {
			return c
		}
	}
	return nil
}

// Hold takes in that a request is held back.
func (b *Board) Hold(f Fingerprint) {
	if b.held[f] {
		return
	}
	b.held[f] = true
	for _, c := range b.crashes {
		b.explain(c)
	}
}

// Release takes in that a request is held back no longer. The crashes that it was held
// back for are told, and count against nobody.
func (b *Board) Release(f Fingerprint) { delete(b.held, f) }

// Clear takes in that a request has ended well somewhere: it crashes nothing. What it was
// held back for counts against others again.
func (b *Board) Clear(f Fingerprint) {
	if len(b.innocent) >= mostInnocent {
		clear(b.innocent)
	}
	b.innocent[f] = true
	delete(b.held, f)
	for _, c := range b.crashes {
		if c.explained && c.by == f {
			c.explained = false
			b.explain(c)
		}
	}
}

// explain puts a crash down to a request that is held back, if one was under way there.
func (b *Board) explain(c *crash) {
	if c.explained {
		return
	}
	for f := range c.runs {
		if b.held[f] {
			c.explained = true
			c.by = f
			return
		}
	}
}

// Verdict is what came of a crash.
type Verdict struct {
	Worker    string
	At        time.Time
	Reporters []string
	// Runs is how many requests were lost, Suspects those that most is put down to of
	// them, worst first; none if a request was among them that is held back already.
	Runs     int
	Suspects []Suspect
	// Hold are the requests to hold back from now on.
	Hold []Suspect
}

// Suspect is a request and what is put down to it.
type Suspect struct {
	Fingerprint Fingerprint
	Charge      float64
	// Workers are those that ended under it, the first ones of many.
	Workers []string
}

// Bounds of what a verdict tells.
const (
	mostSuspects = 3
	mostWorkers  = 8
)

// Judge returns what comes of the crashes that all daemons had the time to report.
func (b *Board) Judge(now time.Time) []Verdict {
	b.forget(now)
	due := b.due(now)
	if len(due) == 0 {
		return nil
	}
	var verdicts []Verdict
	charges := b.charges(now)
	for _, c := range due {
		c.judged = true
		v := c.verdict(charges)
		for _, s := range v.Hold {
			b.Hold(s.Fingerprint)
			charges = b.charges(now)
		}
		verdicts = append(verdicts, v)
	}
	return verdicts
}

// due returns the crashes to judge now.
func (b *Board) due(now time.Time) []*crash {
	var due []*crash
	for _, c := range b.crashes {
		if !c.judged && now.Sub(c.reported) >= settle {
			due = append(due, c)
		}
	}
	return due
}

// Unjudged tells whether crashes wait to be judged.
func (b *Board) Unjudged() bool {
	return slices.ContainsFunc(b.crashes, func(c *crash) bool { return !c.judged })
}

// charges returns what is put down to each request by the crashes that nothing explains.
func (b *Board) charges(now time.Time) map[Fingerprint]Suspect {
	tallies := map[Fingerprint]*tally{}
	ends := 0
	for _, c := range b.crashes {
		if c.explained {
			continue
		}
		late := now.Sub(c.at) < stormSpan
		if late {
			ends++
		}
		for f, run := range c.runs {
			if b.innocent[f] {
				continue
			}
			if tallies[f] == nil {
				tallies[f] = &tally{}
			}
			tallies[f].add(c.worker, run, late)
		}
	}
	all := make(map[Fingerprint]Suspect, len(tallies))
	for f, t := range tallies {
		all[f] = t.suspect(f, ends)
	}
	return all
}

// forget drops crashes that no longer count.
func (b *Board) forget(now time.Time) {
	b.crashes = slices.DeleteFunc(b.crashes, func(c *crash) bool { return now.Sub(c.at) > life })
	if extra := len(b.crashes) - mostCrashes; extra > 0 {
		b.crashes = slices.Delete(b.crashes, 0, extra)
	}
}
