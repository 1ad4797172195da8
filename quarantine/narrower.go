package quarantine

import "slices"

// A part that many prompts share is lost at nearly every crash, whichever part causes it. While few workers are left,
// no request with it is completed either. So a part isn't held back for crashes that a narrower part explains: one
// that was lost in most of the same crashes, that fewer of the lost requests have, and with which none was completed
// since.

// A narrower part explains the crashes of another one if it was lost in at least narrowerShare of them.
const narrowerShare = 0.75

// appearance is how often a part appears in some crashes.
type appearance struct {
	// crashes is in how many of them a request with the part was lost, requests how many such requests were.
	crashes, requests int
	// others is how many requests with the part that it is compared with were lost in the same crashes.
	others int
}

// comparison compares the parts of some tallies with one another.
type comparison struct {
	board   *Board
	tallies map[Fingerprint]*partTally
	// lost are the results of lostRequestsByPart, narrowerParts those of narrower, each evaluated at most once.
	lost          map[*crash]map[Fingerprint]int
	narrowerParts map[Fingerprint][]Fingerprint
}

func (b *Board) newComparison(tallies map[Fingerprint]*partTally) *comparison {
	return &comparison{board: b, tallies: tallies, lost: map[*crash]map[Fingerprint]int{}, narrowerParts: map[Fingerprint][]Fingerprint{}}
}

// narrower returns the parts that explain the crashes that count against a part, and that fewer of the requests lost
// there have.
func (m *comparison) narrower(f Fingerprint) []Fingerprint {
	list, found := m.narrowerParts[f]
	if !found {
		list = m.findNarrower(f)
		m.narrowerParts[f] = list
	}
	return list
}

func (m *comparison) findNarrower(f Fingerprint) []Fingerprint {
	t := m.tallies[f].counted
	seen := map[Fingerprint]*appearance{}
	for _, c := range t.crashes {
		lost := m.lostRequestsByPart(c)
		for p, n := range lost {
			other := m.tallies[p]
			if other == nil || other.uncompleted.charge < t.charge-nearlyTied {
				continue // the same few requests were lost again and again
			}
			if seen[p] == nil {
				seen[p] = &appearance{}
			}
			seen[p].add(n, lost[f])
		}
	}
	var list []Fingerprint
	for p, a := range seen {
		if a.requests < a.others && float64(a.crashes) >= narrowerShare*float64(len(t.crashes)) {
			list = append(list, p)
		}
	}
	return list
}

// lostRequestsByPart returns how many requests with each part were lost in a crash and in those that count once with
// it. Parts with which a request was completed since are left out.
func (m *comparison) lostRequestsByPart(c *crash) map[Fingerprint]int {
	lost, found := m.lost[c]
	if !found {
		lost = m.board.lostRequestsByPart(c)
		m.lost[c] = lost
	}
	return lost
}

func (a *appearance) add(requests, others int) {
	a.crashes++
	a.requests += requests
	a.others += others
}

// lostRequestsByPart implements comparison.lostRequestsByPart.
func (b *Board) lostRequestsByPart(c *crash) map[Fingerprint]int {
	lost := map[Fingerprint]int{}
	for _, near := range b.crashesNear(c) {
		for _, r := range near.runsToCompare() {
			for _, p := range r.Parts {
				if near.at.After(b.parts.outputs[p].completed) {
					lost[p]++
				}
			}
		}
	}
	return lost
}

// crashesNear returns the crashes that count once with a crash, which is one of them.
func (b *Board) crashesNear(c *crash) []*crash {
	var near []*crash
	for _, o := range b.crashes {
		if !o.repeated && o.at.Sub(c.at).Abs() < simultaneousCrashes {
			near = append(near, o)
		}
	}
	return near
}

// runsToCompare returns the lost requests by which parts are compared: all of them, or the held one that the crash is
// attributed to.
func (c *crash) runsToCompare() []LostRequest {
	if c.attributed && c.attributedParts == nil {
		return c.suspectedRuns()
	}
	runs := make([]LostRequest, 0, len(c.requests))
	for _, r := range c.requests {
		runs = append(runs, r)
	}
	return runs
}

// narrow returns a set of suspected parts of a prompt, along with those of its parts that explain their crashes. The
// set is empty if only parts that the prompt doesn't have do.
func (s SuspectSet) narrow(parts []Fingerprint, m *comparison) SuspectSet {
	explained := 0
	set := slices.Clone(s.Parts)
	for _, f := range s.Parts {
		others := m.narrower(f)
		within := slices.DeleteFunc(slices.Clone(others), func(p Fingerprint) bool { return !slices.Contains(parts, p) })
		if len(others) > 0 && len(within) == 0 {
			explained++
		}
		set = append(set, within...)
	}
	if explained == len(s.Parts) {
		return SuspectSet{}
	}
	s.Parts = NewPartSet(set...)
	return s
}
