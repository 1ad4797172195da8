package admission

import "time"

// smoothing is the weight of the newest sample.
const smoothing = 0.1

// Estimate tracks the exponential moving averages of durations and of their deviation
// from the mean (Jacobson, "Congestion Avoidance and Control", SIGCOMM 1988).
type Estimate struct {
	mean      time.Duration
	deviation time.Duration
}

// Add adds a sample.
func (e *Estimate) Add(d time.Duration) {
	if e.mean == 0 {
		e.mean = d
		return
	}
	diff := (d - e.mean).Abs()
	e.deviation += time.Duration(smoothing * float64(diff-e.deviation))
	e.mean += time.Duration(smoothing * float64(d-e.mean))
}

// MeanPlusDeviation returns an upper estimate, which most durations stay below.
func (e *Estimate) MeanPlusDeviation() time.Duration { return e.mean + e.deviation }

// Mean returns the average duration, or 0 if there is no sample yet.
func (e *Estimate) Mean() time.Duration { return e.mean }

// Wait returns how long a request waits if ahead other requests are served before it,
// each of which occupies one of width slots for the given time.
func Wait(ahead int, width float64, occupancy time.Duration) time.Duration {
	if width < 1 {
		width = 1
	}
	return time.Duration(float64(ahead) / width * float64(occupancy))
}
