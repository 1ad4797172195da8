package admission

import (
	"math"
	"sync"
	"time"
)

// How a window follows the delay of first events.
const (
	// mostDelay is the part of its goal that a first event may take on average. The
	// rest is for prompts longer than usual and for the wait that chance makes.
	mostDelay = 0.75
	// delayWeight is how much the newest first event counts in the average.
	delayWeight = 0.25
	// least is the smallest window: with none under way nothing would tell that
	// there is room again.
	least = 1
	// deepestCut is the least part of a window that one cut leaves.
	deepestCut = 0.5
	// usualDuration is how long requests are taken to last before one has ended.
	usualDuration = time.Second
)

// Window bounds how many requests one daemon has under way at the groups of a model,
// so that they don't wait there in a queue until all are late. It knows nothing of
// other daemons: like TCP Vegas (Brakmo and Peterson, 1995) it follows the delay of
// first events, which tells how long the queues are that all daemons fill together.
// It has no bound until first events come late. It is safe for use by many
// goroutines.
type Window struct {
	mu       sync.Mutex
	underWay int
	// limit is how many may be under way, infinite while none were late.
	limit float64
	// cutAt is when the limit was last cut. First events of requests sent before tell
	// of the load before the cut, and don't count.
	cutAt time.Time
	// delay is the average time to a first event, as a part of its goal.
	delay    float64
	duration Estimate
}

// NewWindow returns a window without a bound.
func NewWindow() *Window { return &Window{limit: math.Inf(1)} }

// Enter counts a request as under way if there is room for it, and tells whether
// there was. Random, in [0, 1), decides on the fraction of a place that a limit
// leaves.
func (w *Window) Enter(random float64) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if float64(w.underWay)+random >= w.limit {
		return false
	}
	w.underWay++
	return true
}

// Leave ends the count of a request that lasted for took.
func (w *Window) Leave(took time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.underWay--
	w.duration.Add(took)
}

// FirstEvent takes in that the first event of a request came after took, where goal
// was wanted.
func (w *Window) FirstEvent(now time.Time, took, goal time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if goal <= 0 || now.Add(-took).Before(w.cutAt) {
		return
	}
	delay := took.Seconds() / goal.Seconds()
	w.delay += delayWeight * (delay - w.delay)
	if w.delay > mostDelay {
		w.cut(now, goal)
		return
	}
	if float64(w.underWay) > w.limit-1 {
		w.limit += 1 / w.limit
	}
}

// cut makes the window smaller by what waits in queues beyond the wanted delay: by
// Little's law that is the delay's excess times the rate at which requests end.
func (w *Window) cut(now time.Time, goal time.Duration) {
	duration := w.duration.Mean()
	if duration <= 0 {
		duration = usualDuration
	}
	excess := (w.delay - mostDelay) * goal.Seconds() / duration.Seconds()
	left := max(1-excess, deepestCut)
	w.limit = max(min(w.limit, float64(w.underWay))*left, least)
	w.cutAt = now
	w.delay = mostDelay
}

// Slack returns how much of a goal first events leave at present: whoever comes back
// within it, and is let in then, is still in time.
func (w *Window) Slack(goal time.Duration) time.Duration {
	w.mu.Lock()
	defer w.mu.Unlock()
	return time.Duration(max(1-w.delay, 0) * float64(goal))
}

// Limit returns how many requests may be under way, infinite if there is no bound,
// and how many are.
func (w *Window) Limit() (limit float64, underWay int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.limit, w.underWay
}
