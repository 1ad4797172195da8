package quarantine

// tally accumulates the crashes under one request. They count in two ways, of which the higher charge
// holds: a request that crashes workers as they begin it is in that stage at each crash, and one that
// crashes them at any other moment is lost at each crash all the same.
type tally struct {
	begun   float64
	crashes int
	workers []string
	// resent is how many of the crashes came after the request was resent from another worker,
	// recent how many were within stormWindow.
	resent, recent int
}

// add counts a crash.
func (t *tally) add(worker string, r LostRequest, recent bool) {
	t.crashes++
	if recent {
		t.recent++
	}
	if r.Stage == Begun {
		t.begun++
		if r.Resent {
			t.resent++
		}
	}
	if len(t.workers) < maxWorkers {
		t.workers = append(t.workers, worker)
	}
}

// suspect returns the request with its charge. Crashes is the number of workers that ended
// within stormWindow.
func (t *tally) suspect(f Fingerprint, crashes int) Suspect {
	begun, perCrash := t.begun, unknownStageCharge
	if crashes-t.recent >= stormCrashes {
		begun -= resendDiscount * float64(t.resent)
		perCrash = stormCharge
	}
	return Suspect{Fingerprint: f, Charge: max(begun, perCrash*float64(t.crashes)), Workers: t.workers}
}
