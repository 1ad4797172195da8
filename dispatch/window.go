package dispatch

import "time"

// Growth and shrinkage of a window.
const (
	shrinkFactor = 0.85
	// shrinkCooldown prevents answers to requests that were sent together from shrinking the
	// window more than once.
	shrinkCooldown = 200 * time.Millisecond
)

// Thresholds for the number of requests queued at an endpoint, relative to the number that it
// processes at once. Some must be queued, so that the endpoint doesn't idle until a daemon
// learns of its free capacity; with more, the order of the daemons' queues would lose its
// effect.
const (
	shrinkAbove = 1.0
	growBelow   = 0.5
)

// window limits this daemon's requests in flight in a pool. The daemons share a pool without
// communicating: each grows its window while endpoints report no queue, and shrinks it when
// they do (additive increase, multiplicative decrease: Chiu and Jain, 1989). A daemon with more
// demand thereby takes the capacity that the others leave.
type window struct {
	size       float64
	lastShrink time.Time
}

// newWindow returns a window of this daemon's even share of a pool.
func newWindow(capacity, daemons int) window {
	return window{size: max(1, float64(capacity)/float64(max(1, daemons)))}
}

// update adjusts the window to the number of requests that an endpoint reported as waiting with
// an answer. InFlight is the number of this daemon's requests in flight, streams the number that
// the endpoint processes at once.
func (w *window) update(now time.Time, waiting, inFlight, streams, capacity int) {
	queueRatio := float64(waiting) / float64(max(1, streams))
	if queueRatio > shrinkAbove {
		if now.Sub(w.lastShrink) >= shrinkCooldown {
			w.size = max(1, w.size*shrinkFactor)
			w.lastShrink = now
		}
		return
	}
	if queueRatio <= growBelow && float64(inFlight) >= w.size-1 {
		maxSize := (1 + shrinkAbove) * float64(max(1, capacity))
		w.size = min(maxSize, w.size+1)
	}
}
