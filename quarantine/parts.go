package quarantine

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// Charges of parts. A part is charged for the requests that a crashed worker had begun, if no
// worker has produced output on the part since.
const (
	// secondCrashCharge is what a second crash under the same request counts; further ones count
	// nothing. A request that crashes workers by itself must not have its parts held back.
	secondCrashCharge = 0.5
	// askCharge is the charge at which daemons are asked for output on a part, and partHoldCharge
	// the one at which it is held back.
	askCharge      = 1.5
	partHoldCharge = 2.5
	// simultaneousCrashes is the time within which crashes count once, as when a rack fails.
	// A part crashes workers one after another.
	simultaneousCrashes = 100 * time.Millisecond
	// askDelay is how long daemons have to answer whether they have seen output on a suspected
	// part. An answer crosses a region twice.
	askDelay = 250 * time.Millisecond
	// WatchDuration is how long daemons report output on a part that they were asked about.
	WatchDuration = time.Minute
	// askRepeat is how long a question is repeated along with the next ones.
	askRepeat = 5 * time.Second
	// maxAsked bounds how many parts are asked about at a time, beside those that would be held back.
	maxAsked = 256
	// maxOutputs bounds how many parts are remembered as having produced output.
	maxOutputs = 8192
)

// Output is the last time at which a worker produced output on a part.
type Output struct {
	Part Fingerprint
	At   time.Time
}

// partBoard is the part of a board that covers parts of prompts.
type partBoard struct {
	outputs map[Fingerprint]time.Time
	held    map[Fingerprint]heldSet
	// asked is when the daemons were asked about a suspected part.
	asked map[Fingerprint]time.Time
	// pending is set while a set is to be held back once the daemons have had time to answer.
	pending bool
}

// heldSet is a set that is held back since the last crash attributed to it.
type heldSet struct {
	parts PartSet
	last  time.Time
}

func newPartBoard() partBoard {
	return partBoard{outputs: map[Fingerprint]time.Time{}, held: map[Fingerprint]heldSet{}, asked: map[Fingerprint]time.Time{}}
}

// SuspectSet is a set of parts with the same charge.
type SuspectSet struct {
	Parts   PartSet
	Charge  float64
	Workers []string
}

// PartVerdict is what to do about suspected parts.
type PartVerdict struct {
	// Ask are parts on which daemons are to report output from now on.
	Ask PartSet
	// Hold are sets to hold back from now on.
	Hold []SuspectSet
}

// Output records output on a part and returns the held sets that it clears: of each of their
// parts there was output after the last crash under the set.
func (b *Board) Output(o Output) (cleared []PartSet) {
	if !o.At.After(b.parts.outputs[o.Part]) {
		return nil
	}
	if len(b.parts.outputs) >= maxOutputs {
		clear(b.parts.outputs)
	}
	b.parts.outputs[o.Part] = o.At
	for f, h := range b.parts.held {
		if slices.Contains(h.parts, o.Part) && b.producesAfter(h) {
			delete(b.parts.held, f)
			cleared = append(cleared, h.parts)
		}
	}
	return cleared
}

// producesAfter reports whether there was output on all parts of a held set after its last crash.
func (b *Board) producesAfter(h heldSet) bool {
	return !slices.ContainsFunc(h.parts, func(f Fingerprint) bool { return !b.parts.outputs[f].After(h.last) })
}

// HoldParts records that a set is held back. The crashes of its requests count against no other
// request or part.
func (b *Board) HoldParts(s PartSet, now time.Time) {
	f := s.Fingerprint()
	if _, found := b.parts.held[f]; found {
		return
	}
	b.parts.held[f] = heldSet{parts: s, last: now}
	for _, c := range b.crashes {
		b.attributeToParts(c)
	}
}

// releaseParts records that a set is no longer held back. Its parts start without a charge.
func (b *Board) releaseParts(f Fingerprint, now time.Time) {
	for _, part := range b.parts.held[f].parts {
		b.parts.outputs[part] = now
	}
	delete(b.parts.held, f)
}

// attributeToParts attributes a crash to a held set of parts, if a request with them had begun at
// the worker.
func (b *Board) attributeToParts(c *crash) {
	for f, h := range b.parts.held {
		if c.begunWith(h.parts) {
			c.attributedParts = h.parts
			h.last = laterOf(h.last, c.at)
			b.parts.held[f] = h
			return
		}
	}
}

func laterOf(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}

// EvaluateParts returns which parts to ask about and which sets to hold back. A set is held back
// only once all daemons have had time to report output on its parts.
func (b *Board) EvaluateParts(now time.Time) PartVerdict {
	b.dropExpired(now)
	tallies := b.partTallies()
	v := PartVerdict{Ask: b.toAsk(tallies, now)}
	b.parts.pending = false
	for _, s := range b.suspectSets(tallies) {
		switch {
		case b.isCovered(s.Parts):
		case !b.isAsked(s.Parts, now):
			b.parts.pending = true
		default:
			b.HoldParts(s.Parts, now)
			v.Hold = append(v.Hold, s)
		}
	}
	return v
}

// toAsk returns the parts to ask about, none if there are no new ones: a question replaces the one
// before, so it repeats what was asked lately.
func (b *Board) toAsk(tallies map[Fingerprint]*partTally, now time.Time) PartSet {
	maps.DeleteFunc(b.parts.asked, func(_ Fingerprint, at time.Time) bool { return now.Sub(at) > WatchDuration-askDelay })
	added := false
	for f, t := range tallies {
		_, asked := b.parts.asked[f]
		if asked || t.charge < askCharge || t.charge < partHoldCharge && len(b.parts.asked) >= maxAsked {
			continue
		}
		b.parts.asked[f] = now
		added = true
	}
	if !added {
		return nil
	}
	var ask []Fingerprint
	for f, at := range b.parts.asked {
		if now.Sub(at) < askRepeat {
			ask = append(ask, f)
		}
	}
	return NewPartSet(ask...)
}

// isAsked reports whether all daemons have had time to report output on the parts of a set.
func (b *Board) isAsked(s PartSet, now time.Time) bool {
	return !slices.ContainsFunc(s, func(f Fingerprint) bool {
		at, found := b.parts.asked[f]
		return !found || now.Sub(at) < askDelay
	})
}

// suspectSets returns the sets of parts whose charge justifies a hold: smaller sets first, as they
// cover larger ones, and then by charge.
func (b *Board) suspectSets(tallies map[Fingerprint]*partTally) []SuspectSet {
	sets := map[Fingerprint]SuspectSet{}
	for _, c := range b.crashes {
		if !c.judged || c.attributedParts != nil {
			continue
		}
		for _, r := range c.suspectedRuns() {
			if s := worstParts(r.Parts, tallies); len(s.Parts) > 0 {
				sets[s.Parts.Fingerprint()] = s
			}
		}
	}
	list := slices.Collect(maps.Values(sets))
	slices.SortFunc(list, func(a, b SuspectSet) int {
		return cmp.Or(cmp.Compare(len(a.Parts), len(b.Parts)), cmp.Compare(b.Charge, a.Charge), compare(a.Parts.Fingerprint(), b.Parts.Fingerprint()))
	})
	return list
}

// isCovered reports whether a set contains one that is held back.
func (b *Board) isCovered(s PartSet) bool {
	for _, h := range b.parts.held {
		if h.parts.In(s) {
			return true
		}
	}
	return false
}

// worstParts returns the parts of a prompt with the highest charge, empty if it justifies no hold.
func worstParts(parts []Fingerprint, tallies map[Fingerprint]*partTally) SuspectSet {
	s := SuspectSet{Charge: partHoldCharge}
	for _, f := range parts {
		t := tallies[f]
		if t == nil || t.charge < s.Charge {
			continue
		}
		if t.charge > s.Charge {
			s = SuspectSet{Charge: t.charge}
		}
		s.Parts = append(s.Parts, f)
		s.Workers = t.workers
	}
	s.Parts = NewPartSet(s.Parts...)
	return s
}

// partTallies returns the charges of all parts, from the crashes after the last output on each.
func (b *Board) partTallies() map[Fingerprint]*partTally {
	tallies := map[Fingerprint]*partTally{}
	for _, c := range b.crashes {
		for _, r := range c.suspectedRuns() {
			for _, f := range r.Parts {
				if !c.at.After(b.parts.outputs[f]) || c.attributedParts != nil && !slices.Contains(c.attributedParts, f) {
					continue
				}
				if tallies[f] == nil {
					tallies[f] = &partTally{requests: map[Fingerprint]int{}}
				}
				tallies[f].add(c, r.Fingerprint)
			}
		}
	}
	return tallies
}

// partTally accumulates the crashes under one part.
type partTally struct {
	charge  float64
	crashes []*crash // those that count
	// requests is how many crashes each request was lost in, and before the most that a request of
	// the last crash was lost in earlier.
	requests map[Fingerprint]int
	before   int
	workers  []string
}

// add counts a crash under a request with the part. The requests of one crash are added one after
// another. One that was lost in earlier crashes explains this one, also if others were lost beside
// it.
func (t *partTally) add(c *crash, request Fingerprint) {
	if !t.isLast(c) {
		if slices.ContainsFunc(t.crashes, func(o *crash) bool { return o.at.Sub(c.at).Abs() < simultaneousCrashes }) {
			return
		}
		t.crashes = append(t.crashes, c)
		t.before = 0
		t.charge += crashCharge(0)
		if len(t.workers) < maxWorkers {
			t.workers = append(t.workers, c.worker)
		}
	}
	before := t.requests[request]
	t.requests[request]++
	if before > t.before {
		t.charge += crashCharge(before) - crashCharge(t.before)
		t.before = before
	}
}

// isLast reports whether the last crash that counts is c.
func (t *partTally) isLast(c *crash) bool {
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
