package admission

import "time"

// smoothing is the weight of the newest value in an estimate.
const smoothing = 0.1

// Estimate is an exponentially weighted mean of durations and of how far they
// lie from it (Jacobson, "Congestion Avoidance and Control", SIGCOMM 1988).
type Estimate struct {
	mean      time.Duration
	deviation time.Duration
}

// Add takes in a measured duration.
func (e *Estimate) Add(d time.Duration) {
	if e.mean == 0 {
		e.mean = d
		return
	}
	apart := (d - e.mean).Abs()
	e.deviation += time.Duration(smoothing * float64(apart-e.deviation))
	e.mean += time.Duration(smoothing * float64(d-e.mean))
}

// Likely returns a duration that most stay under.
func (e *Estimate) Likely() time.Duration { return e.mean + e.deviation }

// Mean returns the estimate, 0 before the first measurement.
func (e *Estimate) Mean() time.Duration { return e.mean }

// Wait returns how long a request waits behind others, each of which keeps one
// of width places for the occupancy.
func Wait(ahead int, width float64, occupancy time.Duration) time.Duration {
	if width < 1 {
		width = 1
	}
	return time.Duration(float64(ahead) / width * float64(occupancy))
}
