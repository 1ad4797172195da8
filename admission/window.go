package admission

import (
	"container/list"
	"math"
	"sync"
	"time"
)

// Constants of how a window follows the delay of first events, see
// docs/design/overload.md.
const (
	// maxDelay is the average delay of first events, as a fraction of their goal, above
	// which the limit is cut. The rest of the goal is for prompts longer than average and
	// for random queueing.
	maxDelay = 0.75
	// delayWeight is the weight of the newest first event in the average delay, and
	// maxCounted the highest delay that it counts as, so that one that was delayed by a
	// fault isn't taken for load.
	delayWeight = 0.25
	maxCounted  = 1.0
	// growth is how much one first event grows the limit, times the part of the goal that
	// the average delay leaves below maxDelay. At a healthy delay each first event adds a
	// tenth of an average window.
	growth = 2.0
	// cutFactor scales a cut up, since requests arrive while it takes effect, and minKept
	// is the least fraction of a window that one cut leaves.
	cutFactor = 1.5
	minKept   = 0.75
	// minLimit is the smallest limit: with no request in flight nothing would show that
	// there is room again.
	minLimit = 1
	// silenceDivisor divides a goal: a group that has sent nothing on any request for that
	// time isn't queueing.
	silenceDivisor = 2
	// lateSamples is how many of the newest first events decide whether the share is
	// enforced, and maxLate how many of them may be late without it, so that one that was
	// delayed by a fault isn't taken for load.
	lateSamples = 3
	maxLate     = 1
	// defaultDuration is the duration of requests until one has ended.
	defaultDuration = time.Second
)

// Window limits how many requests one daemon has in flight at the groups of a model, so
// that they don't queue there until all are late. It has no limit until first events are
// late. Then the daemon's share of the groups' capacity bounds the admitted requests, if
// it is known. Otherwise the window has no data from other daemons: like TCP Vegas (Brakmo
// and Peterson, 1995) it follows the delay of first events, which shows the length of the
// queues that all daemons fill together. It is safe for concurrent use.
type Window struct {
	mu       sync.Mutex
	inFlight int
	// limit is how many requests may be in flight, infinite until first events are late.
	limit float64
	// cutAt is when the limit was last cut. First events of requests sent earlier show the
	// load before the cut, and aren't counted.
	cutAt time.Time
	// delay is the average delay of first events, as a fraction of their goal.
	delay    float64
	duration Estimate
	// waiting holds the requests without a first event, in order of their last sending.
	waiting  list.List
	activity Activity
	// share applies in place of the limit if the daemon's share of the groups is known, and
	// shareKnown reports whether it was when the newest request came.
	share      share
	shareKnown bool
	// recentLate reports which of the newest first events were late, the newest first.
	recentLate [lateSamples]bool
}

// Request describes a request for a place in a window.
type Request struct {
	At time.Time
	// Goal is the time that its first event should take at most, 0 if it has none.
	Goal time.Duration
	// Work is the time of one group that it takes.
	Work time.Duration
	// Rate is how many seconds of one group are available for the daemon's clients in a
	// second, or Unknown.
	Rate float64
	// Load is the offered load of all clients as a fraction of the groups' capacity, or
	// Unknown.
	Load float64
	// Random, in [0, 1), decides whether the fractional place of a limit is used.
	Random float64
	// Rank, in [0, 1), is lower for requests that are admitted first under overload.
	Rank float64
}

// Activity reports whether groups still send events.
type Activity interface {
	// Silence returns for how long a group has sent nothing on any request, counted from
	// since at the earliest.
	Silence(group string, since, now time.Time) time.Duration
}

// Permit is a request's place in a window, from Enter to Leave.
type Permit struct {
	window  *Window
	goal    time.Duration
	entered time.Time
	// sent is when the request was last sent to a group, and group its name.
	sent  time.Time
	group string
	// waiting is the element in the window's list of waiting requests, nil once the request
	// had its first event or was counted as late.
	waiting *list.Element
	// uncounted reports that the delay wasn't counted when the request was overdue, since
	// its group might have been dead.
	uncounted bool
	// overdue reports that the request is counted as overdue.
	overdue bool
	// waitingWork is the request's work while it has no first event.
	waitingWork time.Duration
}

// NewWindow returns a window without a limit.
func NewWindow(activity Activity) *Window { return &Window{limit: math.Inf(1), activity: activity} }

// Enter admits a request if there is room for it, and counts it as in flight. It returns
// nil if there is none.
func (w *Window) Enter(e Request) *Permit {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.countOverdue(e.At)
	if !w.hasRoom(e) {
		return nil
	}
	w.inFlight++
	w.share.waitingWork += e.Work
	return &Permit{window: w, goal: e.Goal, entered: e.At, waitingWork: e.Work}
}

// hasRoom reports whether there is room for a request.
func (w *Window) hasRoom(e Request) bool {
	w.shareKnown = e.Rate != Unknown && e.Work > 0 && e.Goal > 0
	if w.shareKnown {
		return w.share.take(e)
	}
	return float64(w.inFlight)+e.Random < w.limit
}

// Sent records that the request was sent to a group, and restarts the wait for its first
// event.
func (p *Permit) Sent(now time.Time, group string) {
	w := p.window
	w.mu.Lock()
	defer w.mu.Unlock()
	w.stopWaiting(p)
	p.clearOverdue()
	p.sent = now
	p.group = group
	if p.goal > 0 {
		p.waiting = w.waiting.PushBack(p)
	}
}

// Leave records the end of the request, which is no longer in flight.
func (p *Permit) Leave(now time.Time) {
	w := p.window
	w.mu.Lock()
	defer w.mu.Unlock()
	w.stopWaiting(p)
	w.inFlight--
	p.clearWaitingWork()
	w.duration.Add(now.Sub(p.entered))
}

// FirstEvent records the first event since the request was sent. The delay of requests
// without a goal isn't counted.
func (p *Permit) FirstEvent(now time.Time) {
	w := p.window
	w.mu.Lock()
	defer w.mu.Unlock()
	p.clearWaitingWork()
	if p.waiting == nil && !p.uncounted {
		return // already counted
	}
	p.uncounted = false
	w.stopWaiting(p)
	w.countDelay(now, now.Sub(p.sent), p.goal)
}

// clearWaitingWork removes the request from the waiting work and from the overdue ones.
func (p *Permit) clearWaitingWork() {
	p.window.share.waitingWork -= p.waitingWork
	p.waitingWork = 0
	p.clearOverdue()
}

// clearOverdue stops counting the request as overdue.
func (p *Permit) clearOverdue() {
	if p.overdue {
		p.overdue = false
		p.window.share.overdue--
	}
}

// stopWaiting removes a request from the waiting ones.
func (w *Window) stopWaiting(p *Permit) {
	if p.waiting != nil {
		w.waiting.Remove(p.waiting)
		p.waiting = nil
	}
}

// countOverdue counts the delay of requests whose first event is overdue. Their first
// events would show a surge only once the queues have grown by all that came meanwhile.
// If the group sends nothing on other requests either, it is dead or stalled, and the
// delay isn't counted, since it doesn't show the load.
func (w *Window) countOverdue(now time.Time) {
	for first := w.waiting.Front(); first != nil; first = w.waiting.Front() {
		p := first.Value.(*Permit)
		waited := now.Sub(p.sent)
		if waited.Seconds() < maxCounted*p.goal.Seconds() {
			return
		}
		w.stopWaiting(p)
		p.overdue = true
		w.share.overdue++
		if w.activity.Silence(p.group, p.sent, now) < p.goal/silenceDivisor {
			w.countDelay(now, waited, p.goal)
			continue
		}
		p.uncounted = true
	}
}

// countDelay updates the average delay and adjusts the limit or the share.
func (w *Window) countDelay(now time.Time, took, goal time.Duration) {
	if now.Add(-took).Before(w.cutAt) {
		return
	}
	delay := min(took.Seconds()/goal.Seconds(), maxCounted)
	w.delay += delayWeight * (delay - w.delay)
	copy(w.recentLate[1:], w.recentLate[:])
	w.recentLate[0] = took >= goal
	if w.shareKnown {
		if w.delay > maxDelay && w.countLate() > maxLate {
			w.share.recordLate(now)
		}
		return
	}
	if w.delay > maxDelay {
		w.cut(now, goal)
		return
	}
	if float64(w.inFlight) > w.limit-1 {
		w.limit += growth * (maxDelay - w.delay)
	}
}

// countLate returns how many of the newest first events were late.
func (w *Window) countLate() int {
	n := 0
	for _, late := range w.recentLate {
		if late {
			n++
		}
	}
	return n
}

// cut lowers the limit by the number of requests that queue beyond maxDelay: by Little's
// law that is the excess delay times the rate at which requests end.
func (w *Window) cut(now time.Time, goal time.Duration) {
	duration := w.duration.Mean()
	if duration <= 0 {
		duration = defaultDuration
	}
	excess := cutFactor * (w.delay - maxDelay) * goal.Seconds() / duration.Seconds()
	kept := max(1-excess, minKept)
	w.limit = max(min(w.limit, float64(w.inFlight))*kept, minLimit)
	w.cutAt = now
	w.delay = maxDelay
}

// Slack returns how much of a goal the average delay of first events leaves: a client
// that retries within that time and is then admitted is still in time.
func (w *Window) Slack(goal time.Duration) time.Duration {
	w.mu.Lock()
	defer w.mu.Unlock()
	return time.Duration(max(1-w.delay, 0) * float64(goal))
}

// State is the state that a window decides by.
type State struct {
	// Delay is the average delay of first events, as a fraction of their goal.
	Delay float64
	// Limit is how many requests may be in flight, infinite if there is no limit.
	Limit float64
	// Binds reports whether the daemon's share bounds the admitted requests. Part is the
	// fraction of the share that is admitted, and Queue the delay of the groups' queues in
	// seconds.
	Binds       bool
	Part, Queue float64
}

// State returns the present state.
func (w *Window) State() State {
	w.mu.Lock()
	defer w.mu.Unlock()
	s := &w.share
	return State{Delay: w.delay, Limit: w.limit, Binds: s.enforced, Part: s.refill, Queue: s.queueDelay}
}

// Limit returns how many requests may be in flight, infinite if there is no limit, and
// how many are.
func (w *Window) Limit() (limit float64, inFlight int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.limit, w.inFlight
}
