package quarantine

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// Charges of parts. A part is charged for the requests that were lost with a worker, if no request with
// the part has got further since. See partTally.
const (
	// secondCrashCharge is what a second crash under the same request counts; further ones count
	// nothing. A request that crashes workers by itself must not have its parts held back.
	secondCrashCharge = 0.75
	// askCharge is the charge at which daemons are asked for output on a part, and partHoldCharge
	// the one at which it is held back.
	askCharge      = 1.5
	partHoldCharge = 2.5
	// nearlyTied is the difference of charges up to which parts aren't told apart.
	nearlyTied = 0.5
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
	// maxAsked bounds how many parts are asked about at a time, beside those that would be held back, alone
	// or with others.
	maxAsked = 256
	// maxOutputs bounds how many parts are remembered as having produced output.
	maxOutputs = 8192
)

// Output is the last time at which a request with a part got as far as a stage and its worker lived on.
type Output struct {
	Part Fingerprint
	At   time.Time
	// Completed is set if the request was completed, else its stage was Settled.
	Completed bool
}

// progress is how far requests with a part got.
type progress struct {
	// settled is when one was last seen to be settled or completed, completed when one was completed.
	settled, completed time.Time
}

// partBoard is the part of a board that covers parts of prompts.
type partBoard struct {
	outputs map[Fingerprint]progress
	// workers is the number of targets that run requests: workers, or groups of them. 0 means unknown.
	workers int
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
	return partBoard{outputs: map[Fingerprint]progress{}, held: map[Fingerprint]heldSet{}, asked: map[Fingerprint]time.Time{}}
}

// SuspectSet is a set of parts with nearly the same charge.
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

// SetWorkers sets the number of targets that run requests, by which the rate of crashes is judged.
func (b *Board) SetWorkers(n int) { b.parts.workers = n }

// Output records output on a part and returns the held sets that it clears: a request with each of
// their parts was completed after the last crash under the set.
func (b *Board) Output(o Output) (cleared []PartSet) {
	p := b.parts.outputs[o.Part]
	if !o.At.After(p.completed) || !o.Completed && !o.At.After(p.settled) {
		return nil
	}
	if len(b.parts.outputs) >= maxOutputs {
		clear(b.parts.outputs)
	}
	p.settled = laterOf(p.settled, o.At)
	if o.Completed {
		p.completed = o.At
	}
	b.parts.outputs[o.Part] = p
	if !o.Completed {
		return nil
	}
	for f, h := range b.parts.held {
		if slices.Contains(h.parts, o.Part) && b.completesAfter(h) {
			delete(b.parts.held, f)
			b.withdrawAttribution(h.parts)
			cleared = append(cleared, h.parts)
		}
	}
	return cleared
}

// completesAfter reports whether requests with all parts of a held set were completed after its last crash.
func (b *Board) completesAfter(h heldSet) bool {
	return !slices.ContainsFunc(h.parts, func(f Fingerprint) bool { return !b.parts.outputs[f].completed.After(h.last) })
}

// withdrawAttribution makes the crashes that were attributed to a set count against others again.
func (b *Board) withdrawAttribution(s PartSet) {
	for _, c := range b.crashes {
		if slices.Equal(c.attributedParts, s) {
			c.attributedParts = nil
			b.attributeToParts(c)
		}
	}
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
		b.parts.outputs[part] = progress{settled: now, completed: now}
	}
	delete(b.parts.held, f)
}

// attributeToParts attributes a crash to a held set of parts, if a request with them was lost.
func (b *Board) attributeToParts(c *crash) {
	for _, f := range slices.SortedFunc(maps.Keys(b.parts.held), compare) {
		if h := b.parts.held[f]; c.lostWith(h.parts) {
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
	tallies := b.partTallies(now, true)
	all := tallies
	if b.anyUnjudged() {
		all = b.partTallies(now, false)
	}
	v := PartVerdict{Ask: b.toAsk(all, now)}
	b.parts.pending = anyWaits(tallies)
	for {
		s, found := b.nextToHold(tallies, now)
		if !found {
			return v
		}
		b.HoldParts(s.Parts, now)
		v.Hold = append(v.Hold, s)
		tallies = b.partTallies(now, true) // the crashes under the set count against no other part any more
	}
}

// anyWaits reports whether the charge of a part will justify a hold later.
func anyWaits(tallies map[Fingerprint]*partTally) bool {
	for _, t := range tallies {
		if t.waits {
			return true
		}
	}
	return false
}

// nextToHold returns the set to hold back next, false if there is none. It records whether sets wait for
// answers of daemons.
func (b *Board) nextToHold(tallies map[Fingerprint]*partTally, now time.Time) (SuspectSet, bool) {
	for _, s := range b.suspectSets(tallies) {
		switch {
		case b.isCovered(s.Parts):
		case !b.isAsked(s.Parts, tallies, now):
			b.parts.pending = true
		default:
			return s, true
		}
	}
	return SuspectSet{}, false
}

// toAsk returns the parts to ask about, none if there are no new ones: a question replaces the one
// before, so it repeats what was asked lately.
func (b *Board) toAsk(tallies map[Fingerprint]*partTally, now time.Time) PartSet {
	maps.DeleteFunc(b.parts.asked, func(_ Fingerprint, at time.Time) bool { return now.Sub(at) > WatchDuration-askDelay })
	added := false
	for f, t := range tallies {
		_, asked := b.parts.asked[f]
		if asked || t.charge < askCharge || t.charge < partHoldCharge-nearlyTied && len(b.parts.asked) >= maxAsked {
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

// isAsked reports whether all daemons have had time to report output on the parts of a set that are asked about.
func (b *Board) isAsked(s PartSet, tallies map[Fingerprint]*partTally, now time.Time) bool {
	return !slices.ContainsFunc(s, func(f Fingerprint) bool {
		at, found := b.parts.asked[f]
		suspected := tallies[f] != nil && tallies[f].charge >= askCharge
		return suspected && !found || found && now.Sub(at) < askDelay
	})
}

// suspectSets returns the sets of parts whose charge justifies a hold, in the order in which they are to be
// held back: by charge, as the part that crashes workers explains more crashes than others. Where charges are
// nearly the same, larger sets come first, which hold back fewer prompts: a part that most prompts share is
// lost at nearly every crash.
func (b *Board) suspectSets(tallies map[Fingerprint]*partTally) []SuspectSet {
	sets := map[Fingerprint]SuspectSet{}
	comparison := b.newComparison(tallies)
	top := 0.0
	for _, c := range b.crashes {
		if !c.judged || c.repeated || c.attributedParts != nil {
			continue
		}
		for _, r := range c.suspectedRuns() {
			if s := worstParts(r.Parts, tallies).narrow(r.Parts, comparison); len(s.Parts) > 0 {
				sets[s.Parts.Fingerprint()] = s
				top = max(top, s.Charge)
			}
		}
	}
	tied := func(s SuspectSet) int {
		if s.Charge >= top-nearlyTied {
			return len(s.Parts)
		}
		return 0
	}
	list := slices.Collect(maps.Values(sets))
	slices.SortFunc(list, func(a, b SuspectSet) int {
		return cmp.Or(cmp.Compare(tied(b), tied(a)), cmp.Compare(b.Charge, a.Charge), compare(a.Parts.Fingerprint(), b.Parts.Fingerprint()))
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

// worstParts returns the parts of a prompt with nearly the highest charge, empty if that justifies no hold.
func worstParts(parts []Fingerprint, tallies map[Fingerprint]*partTally) SuspectSet {
	var s SuspectSet
	for _, f := range parts {
		if t := tallies[f]; t != nil && t.charge > s.Charge {
			s.Charge = t.charge
			s.Workers = t.workers
		}
	}
	if s.Charge < partHoldCharge {
		return SuspectSet{}
	}
	for _, f := range parts {
		if t := tallies[f]; t != nil && t.charge >= s.Charge-nearlyTied {
			s.Parts = append(s.Parts, f)
		}
	}
	s.Parts = NewPartSet(s.Parts...)
	return s
}
