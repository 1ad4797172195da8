// Package throttle tracks the backpressure that workers signal in their responses, and
// limits the requests that they get by it: a rate limit that all daemons share, a pause
// for one daemon, and no more requests once a worker is leaving.
package throttle

import "time"

// Backpressure is what one response of a worker asks for.
type Backpressure struct {
	// Limited reports whether the worker sets a limit, and Rate is how many requests a
	// second it takes from all daemons together.
	Limited bool
	Rate    float64
	// Pause is for how long the worker wants no request from this daemon, 0 if it asks for
	// no pause.
	Pause time.Duration
	// Leaving reports whether the worker is about to stop.
	Leaving bool
	// Unreadable is the name of a header that can't be parsed, or "".
	Unreadable string
	// Failed reports whether the response isn't a success.
	Failed bool
}

// isSet reports whether the response asks for anything.
func (a Backpressure) isSet() bool {
	return a.Limited || a.Pause > 0 || a.Leaving || a.Unreadable != ""
}
