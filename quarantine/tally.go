package quarantine

// tally accumulates the crashes under one request.
type tally struct {
	charge  float64
	workers []string
	// resent is how many of the crashes came after the request was resent from another worker,
	// recent how many were within stormWindow.
	resent, recent int
}

// add counts a crash.
func (t *tally) add(worker string, r LostRequest, recent bool) {
	t.charge += r.charge()
	if recent {
		t.recent++
	}
	if r.Stage == Begun && r.Resent {
		t.resent++
	}
	if len(t.workers) < maxWorkers {
		t.workers = append(t.workers, worker)
	}
}

// suspect returns the request with its charge. Crashes is the number of workers that ended
// within stormWindow.
func (t *tally) suspect(f Fingerprint, crashes int) Suspect {
	s := Suspect{Fingerprint: f, Charge: t.charge, Workers: t.workers}
	if crashes-t.recent >= stormCrashes {
		s.Charge -= resendDiscount * float64(t.resent)
	}
	return s
}
