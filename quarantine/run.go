package quarantine

import "time"

// Stage is the progress of a request at a worker.
type Stage int

const (
	// Queued means that the worker has returned nothing yet.
	Queued Stage = iota
	// Begun means that the worker has started the request and has produced no output yet.
	Begun
	// Producing means that parts of the answer have arrived.
	Producing
	// Settled means that the worker has gone on for SettleTime after the first part of the answer.
	Settled
)

// SettleTime is how long a worker lives on after the first output of a request if that output isn't the
// last thing before a crash: a few events.
const SettleTime = 150 * time.Millisecond

// String returns the stage's name in logs.
func (s Stage) String() string {
	names := [...]string{"queued", "begun", "producing", "settled"}
	if s < 0 || int(s) >= len(names) {
		return "unknown"
	}
	return names[s]
}

// LostRequest is a request that was in flight at a worker when it ended.
type LostRequest struct {
	Fingerprint Fingerprint
	Stage       Stage
	// Resent reports whether the request had been sent to another worker before, in the same
	// try.
	Resent bool
	// Parts are the parts of its prompt that it shares with other requests.
	Parts []Fingerprint
}

// lostRequestBytes is the memory of a lost request without parts.
const lostRequestBytes = 100

// size returns the memory of the request.
func (r LostRequest) size() int { return lostRequestBytes + len(r.Parts)*FingerprintBytes }

// charge returns what the crash counts against the request.
func (r LostRequest) charge() float64 {
	if r.Stage == Begun {
		return 1
	}
	return unknownStageCharge
}

// Crash is the end of a worker as one daemon observed it.
type Crash struct {
	Worker   string
	Reporter string
	// At is when the worker's responses to the daemon broke off.
	At time.Time
	// LostRequests are the daemon's requests that were lost with the worker.
	LostRequests []LostRequest
}

// Size returns the memory of the lost requests.
func (c *Crash) Size() int {
	n := 0
	for _, r := range c.LostRequests {
		n += r.size()
	}
	return n
}

// Parts returns the parts of the lost requests, each once.
func (c *Crash) Parts() []Fingerprint {
	var parts []Fingerprint
	for _, r := range c.LostRequests {
		parts = append(parts, r.Parts...)
	}
	return NewPartSet(parts...)
}
