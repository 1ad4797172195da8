package quarantine

import (
	"cmp"
	"slices"
	"time"
)

// crash is the end of a worker as all daemons saw it.
type crash struct {
	worker    string
	at        time.Time
	reported  time.Time // when the first report came
	reporters []string
	runs      map[Fingerprint]Run
	judged    bool
	// explained tells that a request which is held back was among the runs: by.
	explained bool
	by        Fingerprint
}

// add notes a run, and tells whether that is news. Of two runs of one request the one that
// tells more counts.
func (c *crash) add(r Run) bool {
	before, known := c.runs[r.Fingerprint]
	tells := !known || before.charge() < r.charge() || before.Again && !r.Again && before.Stage == r.Stage
	if tells {
		c.runs[r.Fingerprint] = r
	}
	return tells
}

// verdict returns what comes of the crash where that much is put down to requests.
func (c *crash) verdict(charges map[Fingerprint]Suspect) Verdict {
	v := Verdict{Worker: c.worker, At: c.at, Reporters: c.reporters, Runs: len(c.runs)}
	if c.explained {
		return v
	}
	suspects := c.suspects(charges)
	v.Hold = convicted(suspects)
	v.Suspects = suspects[:min(len(suspects), mostSuspects)]
	return v
}

// suspects returns the requests of the crash, worst first.
func (c *crash) suspects(charges map[Fingerprint]Suspect) []Suspect {
	var list []Suspect
	for f := range c.runs {
		if s, charged := charges[f]; charged {
			list = append(list, s)
		}
	}
	slices.SortFunc(list, func(a, b Suspect) int {
		return cmp.Or(cmp.Compare(b.Charge, a.Charge), slices.Compare(a.Fingerprint[:], b.Fingerprint[:]))
	})
	return list
}

// convicted returns which of a crash's suspects are to be held back: the worst, unless
// others are as bad and one more crash may tell them apart.
func convicted(suspects []Suspect) []Suspect {
	if len(suspects) == 0 || suspects[0].Charge < holdAt {
		return nil
	}
	worst := suspects[0].Charge
	n := 1
	for n < len(suspects) && suspects[n].Charge == worst {
		n++
	}
	if n > 1 && worst < certainAt {
		return nil
	}
	return suspects[:n]
}
