package dispatch

import "time"

// How a window grows and shrinks.
const (
	shrinkFactor = 0.85
	// shrinkPause keeps answers to requests that were sent together from
	// shrinking the window more than once.
	shrinkPause = 200 * time.Millisecond
)

// How many requests may wait at an endpoint, as parts of those it works on at
// once. Some must, so that no place stands empty while a daemon hears of it;
// more would put the order of the queues out of force.
const (
	shrinkAbove = 1.0
	growBelow   = 0.5
)

// window is how many requests this daemon may have under way in a pool. The
// daemons share a pool without talking to each other: each widens its window
// while endpoints report no waiting, and narrows it when they do (additive
// increase, multiplicative decrease: Chiu and Jain, 1989). A daemon that the
// surge favours so takes what the others leave.
type window struct {
	width  float64
	shrunk time.Time
}

// newWindow starts at this daemon's even share of a pool.
func newWindow(capacity, daemons int) window {
	return window{width: max(1, float64(capacity)/float64(max(1, daemons)))}
}

// answered takes in what the endpoint reported with an answer: how many
// requests wait there. Used is how many this daemon had under way, streams how
// many the endpoint works on at once.
func (w *window) answered(now time.Time, waiting, used, streams, capacity int) {
	full := float64(waiting) / float64(max(1, streams))
	if full > shrinkAbove {
		if now.Sub(w.shrunk) >= shrinkPause {
			w.width = max(1, w.width*shrinkFactor)
			w.shrunk = now
		}
		return
	}
	if full <= growBelow && float64(used) >= w.width-1 {
		most := (1 + shrinkAbove) * float64(max(1, capacity))
		w.width = min(most, w.width+1)
	}
}
