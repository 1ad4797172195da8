package quarantine

import (
	"math"
	"slices"
	"time"
)

// Weights of a crash under a part. Where workers end at a high rate, requests are lost by chance: a
// crash then counts by how improbable that is.
const (
	// usualSettlingTime and usualAnswerTime are how long a request usually takes until it is settled, and until
	// it is completed.
	usualSettlingTime = 400 * time.Millisecond
	usualAnswerTime   = 2 * time.Second
	// fullWeightChance is the chance to be lost at which a crash still counts in full.
	fullWeightChance = 0.02
	// unsettledWeight is what a crash counts at most under a request that wasn't settled: many more requests wait at
	// a worker than it begins at a time. uncompletedWeight is the same under a request at any stage, for which the
	// evidence of those that are completed is awaited longer.
	unsettledWeight   = 0.85
	uncompletedWeight = 1
	// usualRestartTime is how long a worker that has crashed is away.
	usualRestartTime = 3 * time.Second
	// crashRateSpan is a short time over which the rate of crashes is measured, beside stormWindow.
	crashRateSpan = time.Second
)

// partTallies returns the charges of all parts, from the crashes that all daemons have had time to report or
// from all. A crash that only some have reported lacks requests that others had there, but is known to be one under
// the parts of those reported.
func (b *Board) partTallies(now time.Time, judgedOnly bool) map[Fingerprint]*partTally {
	tallies := map[Fingerprint]*partTally{}
	recent := b.recentCrashes(now)
	for _, c := range b.crashes {
		if c.repeated {
			continue
		}
		for _, r := range c.suspectedRuns() {
			othersCompleted := b.anyCompleted(r.Parts)
			for _, f := range r.Parts {
				if c.attributedParts != nil && !slices.Contains(c.attributedParts, f) {
					continue
				}
				t := tallies[f]
				if t == nil {
					t = &partTally{progress: b.parts.outputs[f]}
					tallies[f] = t
				}
				t.addCrash(c)
				if !judgedOnly || c.judged {
					t.losses = append(t.losses, partLoss{c, r.Fingerprint, r.Stage, r.Resent, othersCompleted})
				}
			}
		}
	}
	for _, t := range tallies {
		t.weigh(recent, b.parts.workers, now)
	}
	return tallies
}

// anyCompleted reports whether a request with one of some parts is known to have been completed.
func (b *Board) anyCompleted(parts []Fingerprint) bool {
	return slices.ContainsFunc(parts, func(f Fingerprint) bool { return !b.parts.outputs[f].completed.IsZero() })
}

// recentCrashes are the numbers of crashes within crashRateSpan, usualRestartTime and stormWindow.
type recentCrashes struct{ span, restarting, window int }

// recentCrashes counts the recent crashes.
func (b *Board) recentCrashes(now time.Time) recentCrashes {
	var n recentCrashes
	for _, c := range b.crashes {
		if !c.repeated {
			n.add(c, now)
		}
	}
	return n
}

func (n *recentCrashes) add(c *crash, now time.Time) {
	age := now.Sub(c.at)
	if age < crashRateSpan {
		n.span++
	}
	if age < usualRestartTime {
		n.restarting++
	}
	if age < stormWindow {
		n.window++
	}
}

// partTally accumulates the crashes under one part. They count in three ways, of which the highest charge
// holds. A part may crash workers right after the head of an answer: then hardly any other request is lost
// at this stage. Or at any time before a request is settled: then none with the part ever is. Or later: then
// none is ever completed.
type partTally struct {
	progress                      progress
	begun, unsettled, uncompleted crashTally
	// losses are those that count, added crash by crash.
	losses []partLoss
	// crashes are those of all workers that had a request with the part, whether they count yet or not.
	crashes []*crash
	charge  float64
	workers []string
	// counted is the way of counting that the charge comes from.
	counted *crashTally
	// waits is set if the charge will justify a hold later.
	waits bool
}

// partLoss is the loss of a request with a part.
type partLoss struct {
	crash   *crash
	request Fingerprint
	stage   Stage
	resent  bool
	// othersCompleted is set if another request with one of its parts is known to have been completed.
	othersCompleted bool
}

// countLosses counts the crashes under requests with the part. Crashes at nearly the same time may have one cause, such
// as a rack. But if no request with the part was ever completed, while others with parts of theirs were, the part is
// the likely cause: they count each, in a crash storm only those that follow from one another.
func (t *partTally) countLosses(storm bool) {
	for _, l := range t.losses {
		c := l.crash
		neverCompleted := l.othersCompleted && t.progress.completed.IsZero()
		each, resent := neverCompleted && !storm, neverCompleted && l.resent
		if c.at.After(t.progress.settled) {
			if l.stage == Begun {
				t.begun.add(c, l.request, each, resent)
			}
			if l.stage != Settled {
				t.unsettled.add(c, l.request, each, resent)
			}
		}
		if c.at.After(t.progress.completed) {
			t.uncompleted.add(c, l.request, each, resent)
		}
	}
}

// addCrash records a crash of a worker that had a request with the part.
func (t *partTally) addCrash(c *crash) {
	if len(t.crashes) == 0 || t.crashes[len(t.crashes)-1] != c {
		t.crashes = append(t.crashes, c)
	}
}

// weigh sets the charge. The crashes of workers that had no request with the part tell how probable it is
// that a request is lost by chance.
func (t *partTally) weigh(recent recentCrashes, workers int, now time.Time) {
	var own recentCrashes
	for _, c := range t.crashes {
		own.add(c, now)
	}
	t.countLosses(recent.window-own.window >= stormCrashes)
	rate := 0.0 // crashes of a worker per second
	if workers > 0 {
		running := max(workers-recent.restarting, workers/4, 1)
		rate = max(float64(recent.span-own.span)/crashRateSpan.Seconds(), float64(recent.window-own.window)/stormWindow.Seconds()) / float64(running)
	}
	t.setCharge(&t.begun, 1, 0, now)
	t.setCharge(&t.unsettled, unsettledWeight*crashWeight(rate, usualSettlingTime), usualSettlingTime, now)
	t.setCharge(&t.uncompleted, uncompletedWeight*crashWeight(rate, usualAnswerTime), usualAnswerTime, now)
}

// setCharge sets the charge to that of a way of counting, if it is higher. It justifies a hold only once
// requests that were under way at the first crash have had time to get further.
func (t *partTally) setCharge(by *crashTally, weight float64, usual time.Duration, now time.Time) {
	charge := weight * by.charge
	if charge >= partHoldCharge && now.Sub(by.first) < usual {
		charge = askCharge
		t.waits = true
	}
	if charge > t.charge {
		t.charge, t.workers, t.counted = charge, by.workers, by
	}
}

// crashWeight returns what a crash counts if workers end at a rate and a request is at one for d.
func crashWeight(rate float64, d time.Duration) float64 {
	chance := 1 - math.Exp(-rate*d.Seconds())
	if chance <= fullWeightChance {
		return 1
	}
	return math.Log(chance) / math.Log(fullWeightChance)
}

// crashTally accumulates crashes that count in one way.
type crashTally struct {
	charge  float64
	first   time.Time // of the first crash that counts
	crashes []*crash  // those that count
	// requests is how each request was lost, and before the most crashes that a request of the last crash was
	// lost in earlier.
	requests map[Fingerprint]losses
	before   int
	workers  []string
}

// losses are the crashes that one request was lost in.
type losses struct {
	crashes int
	last    time.Time
}

// add counts a crash under a request. One that was lost in earlier crashes explains this one, also if
// others were lost beside it. Crashes at nearly the same time count once, unless each is to count or the request may
// have caused both: it was resent, and lost in the crash before.
func (t *crashTally) add(c *crash, request Fingerprint, each, resent bool) {
	if t.requests == nil {
		t.requests = map[Fingerprint]losses{}
	}
	lost := t.requests[request]
	if !t.isLast(c) {
		follows := resent && c.at.Sub(lost.last).Abs() < simultaneousCrashes
		if !each && !follows && t.countedNear(c) {
			t.requests[request] = losses{max(lost.crashes, 1), c.at}
			return
		}
		t.count(c)
	}
	t.requests[request] = losses{lost.crashes + 1, c.at}
	if lost.crashes > t.before {
		t.charge += crashCharge(lost.crashes) - crashCharge(t.before)
		t.before = lost.crashes
	}
}

// count counts a crash.
func (t *crashTally) count(c *crash) {
	if len(t.crashes) == 0 || c.at.Before(t.first) {
		t.first = c.at
	}
	t.crashes = append(t.crashes, c)
	t.before = 0
	t.charge += crashCharge(0)
	if len(t.workers) < maxWorkers {
		t.workers = append(t.workers, c.worker)
	}
}

// countedNear reports whether a crash at nearly the same time counts already. Crashes are added nearly in the order
// of their times.
func (t *crashTally) countedNear(c *crash) bool {
	for _, o := range slices.Backward(t.crashes) {
		age := c.at.Sub(o.at)
		if age.Abs() < simultaneousCrashes {
			return true
		}
		if age > crashRateSpan {
			return false
		}
	}
	return false
}

// isLast reports whether the last crash that counts is c.
func (t *crashTally) isLast(c *crash) bool {
	return len(t.crashes) > 0 && t.crashes[len(t.crashes)-1] == c
}

// crashCharge returns what a crash counts under a request that was lost in a number of crashes
// before.
func crashCharge(before int) float64 {
	switch before {
	case 0:
		return 1
	case 1:
		return secondCrashCharge
	}
	return 0
}
