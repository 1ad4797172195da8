package quarantine

import "time"

// Stage is how far a worker was with a request.
type Stage int

const (
	// Queued tells that nothing has come back yet.
	Queued Stage = iota
	// Begun tells that the worker has begun, and has produced nothing so far.
	Begun
	// Producing tells that parts of the answer have come.
	Producing
)

// String returns the stage's name in logs.
func (s Stage) String() string {
	names := [...]string{"queued", "begun", "producing"}
	if s < 0 || int(s) >= len(names) {
		return "unknown"
	}
	return names[s]
}

// Run is a request that was under way at a worker.
type Run struct {
	Fingerprint Fingerprint
	Stage       Stage
	// Again tells that it had been sent to another worker before, in the same try.
	Again bool
}

// charge is how much of a crash is put down to a run.
func (r Run) charge() float64 {
	if r.Stage == Begun {
		return 1
	}
	return bystanderCharge
}

// Crash is the end of a worker as one daemon saw it.
type Crash struct {
	Worker   string
	Reporter string
	// At is when the daemon's answers from there broke off.
	At time.Time
	// Runs are the daemon's requests that were lost with the worker.
	Runs []Run
}
