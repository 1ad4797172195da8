package dispatch

import "time"

// How a window grows and shrinks.
const (
	shrinkFactor = 0.85
	// shrinkPause keeps answers to requests that were sent together from
	// shrinking the window more than once.
	shrinkPause = 200 * time.Millisecond
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
// requests wait there. Used is how many this daemon had under way.
func (w *window) answered(now time.Time, waiting, used, capacity int) {
	if waiting > 0 {
		if now.Sub(w.shrunk) >= shrinkPause {
			w.width = max(1, w.width*shrinkFactor)
			w.shrunk = now
		}
		return
	}
	if float64(used) >= w.width-1 {
		w.width = min(float64(max(1, capacity)), w.width+1)
	}
}
