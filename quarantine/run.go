package quarantine

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
