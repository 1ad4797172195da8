// Package throttle keeps what workers ask of those who send them requests, and bounds what
// they get by it: a rate limit that all daemons share, a pause for one daemon, and nothing
// more since they leave. They ask for it in their answers.
package throttle

import "time"

// Ask is what one answer of a worker asks for.
type Ask struct {
	// Limited tells that the worker names a limit, and Rate how many requests a second it
	// takes from all daemons together.
	Limited bool
	Rate    float64
	// Pause is for how long the worker wants no request from this daemon, 0 if it doesn't say.
	Pause time.Duration
	// Leaving tells that the worker is about to end.
	Leaving bool
	// Unreadable names a header that asks for something which can't be read, "" if there is
	// none.
	Unreadable string
	// Failed tells that the answer isn't a success.
	Failed bool
}

// asks tells whether the answer asks for anything.
func (a Ask) asks() bool { return a.Limited || a.Pause > 0 || a.Leaving || a.Unreadable != "" }
