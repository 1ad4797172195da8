package quarantine

import (
	"cmp"
	"slices"
	"time"
)

// crash is the end of a worker, merged from the reports of all daemons.
type crash struct {
	worker    string
	at        time.Time
	reported  time.Time // when the first report arrived
	reporters []string
	requests  map[Fingerprint]LostRequest
	size      int // the memory of the requests
	judged    bool
	// repeated is set if the worker had crashed shortly before. Requests that were sent to it meanwhile are
	// lost when its port is closed: it answered none of them, and they caused nothing.
	repeated bool
	// attributed reports whether a held request, attributedTo, was among the lost requests.
	attributed   bool
	attributedTo Fingerprint
	// attributedParts is the held set of parts that the crash is attributed to, nil if none.
	attributedParts PartSet
}

// lostWith reports whether a request whose prompt has all parts of a set was lost.
func (c *crash) lostWith(s PartSet) bool {
	for _, r := range c.requests {
		if s.In(r.Parts) {
			return true
		}
	}
	return false
}

// isAttributed reports whether a held request or held parts explain the crash, so that it counts against no other
// request.
func (c *crash) isAttributed() bool { return c.attributed || c.attributedParts != nil }

// suspectedRuns returns the lost requests whose parts the crash counts against, in the order of their fingerprints:
// all of them, or the held request or those with the held parts that the crash is attributed to.
func (c *crash) suspectedRuns() []LostRequest {
	var runs []LostRequest
	for _, r := range c.requests {
		switch {
		case len(r.Parts) == 0:
		case c.attributedParts != nil && !c.attributedParts.In(r.Parts):
		case c.attributedParts == nil && c.attributed && r.Fingerprint != c.attributedTo:
		default:
			runs = append(runs, r)
		}
	}
	slices.SortFunc(runs, func(a, b LostRequest) int { return compare(a.Fingerprint, b.Fingerprint) })
	return runs
}

// add records a lost request and reports whether that changes anything. Of two records of one
// request, the one with the higher charge counts, and at the same stage the one that wasn't
// resent.
func (c *crash) add(r LostRequest) bool {
	before, found := c.requests[r.Fingerprint]
	if !found && len(c.requests) >= maxLostRequests {
		return false
	}
	changed := !found || before.charge() < r.charge() || before.Resent && !r.Resent && before.Stage == r.Stage
	if changed {
		c.requests[r.Fingerprint] = r
		c.size += r.size()
		if found {
			c.size -= before.size()
		}
	}
	return changed
}

// verdict returns the result of judging the crash, given the charges of all requests.
func (c *crash) verdict(charges map[Fingerprint]Suspect) Verdict {
	v := Verdict{Worker: c.worker, At: c.at, Reporters: c.reporters, LostRequests: len(c.requests)}
	if c.isAttributed() {
		return v
	}
	suspects := c.suspects(charges)
	v.Hold = toHold(suspects)
	v.Suspects = suspects[:min(len(suspects), maxSuspects)]
	return v
}

// suspects returns the lost requests that have a charge, in descending order of charge.
func (c *crash) suspects(charges map[Fingerprint]Suspect) []Suspect {
	var list []Suspect
	for f := range c.requests {
		if s, found := charges[f]; found {
			list = append(list, s)
		}
	}
	slices.SortFunc(list, func(a, b Suspect) int {
		return cmp.Or(cmp.Compare(b.Charge, a.Charge), slices.Compare(a.Fingerprint[:], b.Fingerprint[:]))
	})
	return list
}

// toHold returns which of a crash's suspects to hold back: the one with the highest charge,
// unless others are tied with it and one more crash may tell them apart.
func toHold(suspects []Suspect) []Suspect {
	if len(suspects) == 0 || suspects[0].Charge < holdCharge {
		return nil
	}
	worst := suspects[0].Charge
	n := 1
	for n < len(suspects) && suspects[n].Charge == worst {
		n++
	}
	if n > 1 && worst < tiedHoldCharge {
		return nil
	}
	return suspects[:n]
}
