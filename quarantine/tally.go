package quarantine

// tally sums up the crashes under one request.
type tally struct {
	charge  float64
	workers []string
	// again is how many of them it came to from another worker, late how many were within
	// stormSpan.
	again, late int
}

// add counts a crash.
func (t *tally) add(worker string, r Run, late bool) {
	t.charge += r.charge()
	if late {
		t.late++
	}
	if r.Stage == Begun && r.Again {
		t.again++
	}
	if len(t.workers) < mostWorkers {
		t.workers = append(t.workers, worker)
	}
}

// suspect returns what is put down to the request where that many workers ended within
// stormSpan.
func (t *tally) suspect(f Fingerprint, ends int) Suspect {
	s := Suspect{Fingerprint: f, Charge: t.charge, Workers: t.workers}
	if ends-t.late >= stormEnds {
		s.Charge -= againLess * float64(t.again)
	}
	return s
}
