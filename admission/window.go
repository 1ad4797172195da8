package admission

import (
	"container/list"
	"math"
	"sync"
	"time"
)

// How a window follows the delay of first events. The figures are from paired plays
// of surge days and calm days, see docs/design/overload.md.
const (
	// mostDelay is the part of its goal that a first event may take on average. The
	// rest is for prompts longer than usual and for the wait that chance makes.
	mostDelay = 0.75
	// delayWeight is how much the newest first event counts in the average, and
	// mostCounted the most that it counts for, so that one that was held up by a
	// fault doesn't look like load.
	delayWeight = 0.25
	mostCounted = 1.0
	// growth is how much one first event grows the window, for each part of the goal
	// that the average delay leaves. At a healthy delay that is a tenth of a usual
	// window for each first event.
	growth = 2.0
	// cutFactor multiplies what a cut takes away, since requests arrive while it
	// takes effect, and deepestCut is the least part of a window that one cut leaves.
	cutFactor  = 1.5
	deepestCut = 0.75
	// leastWindow is the smallest window: with none under way nothing would tell that
	// there is room again.
	leastWindow = 1
	// silentPart divides a goal: a group that has sent nothing to anybody for this part
	// of it isn't queueing.
	silentPart = 2
	// lateOutOf is how many of the newest first events are looked at for the share to bind,
	// and mostLate how many of them may be late, so that one that was held up by a fault
	// doesn't look like load.
	lateOutOf = 3
	mostLate  = 1
	// usualDuration is how long requests are taken to last before one has ended.
	usualDuration = time.Second
)

// Window bounds how many requests one daemon has under way at the groups of a model,
// so that they don't wait there in a queue until all are late. It has no bound until
// first events come late. Then the daemon's share of what the groups can do bounds what
// comes, where that is known. Where it isn't, the window knows nothing of other daemons:
// like TCP Vegas (Brakmo and Peterson, 1995) it follows the delay of first events, which
// tells how long the queues are that all daemons fill together. It is safe for use by many
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
	// waiting are the requests without a first event, in order of their last sending.
	waiting list.List
	signs   Signs
	// share bounds what comes instead of the limit where the daemon's part of the groups
	// is known, and shared tells that it was when the newest request came.
	share  share
	shared bool
	// lateOnes tells which of the newest first events were late, the newest first.
	lateOnes [lateOutOf]bool
}

// Entry is a request that wants to enter a window.
type Entry struct {
	At time.Time
	// Goal is what its first event should take, 0 if nobody says.
	Goal time.Duration
	// Work is what it takes of the time of one group.
	Work time.Duration
	// Rate is how many seconds of one group there are for the daemon's callers in a
	// second, or Unknown.
	Rate float64
	// Load is what all callers ask of the groups as a part of what they can do, or
	// Unknown.
	Load float64
	// Random, in [0, 1), decides on the fraction of a place that a limit leaves.
	Random float64
	// Rank, in [0, 1), is lower for requests that are let in first where not all can be.
	Rank float64
}

// Signs tells of the groups that requests are sent to.
type Signs interface {
	// Silence returns for how long a group has sent nothing to any request, since a
	// moment at the most.
	Silence(group string, since, now time.Time) time.Duration
}

// Place is a request's place in a window, from Enter to Leave.
type Place struct {
	window  *Window
	goal    time.Duration
	entered time.Time
	// sent is when the request was last sent to a group, and group which.
	sent  time.Time
	group string
	// waiting is the place's element among those that wait, nil once it had its first
	// event or was counted as late.
	waiting *list.Element
	// doubtful tells that it wasn't counted when it was overdue, since its group might have
	// been dead.
	doubtful bool
	// overdue tells that it is counted as overdue.
	overdue bool
	// unserved is its work while it has had no first event.
	unserved time.Duration
}

// NewWindow returns a window without a bound.
func NewWindow(signs Signs) *Window { return &Window{limit: math.Inf(1), signs: signs} }

// Enter counts a request as under way if there is room for it, and returns its place,
// nil if there was none.
func (w *Window) Enter(e Entry) *Place {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.noteOverdue(e.At)
	if !w.fits(e) {
		return nil
	}
	w.underWay++
	w.share.waiting += e.Work
	return &Place{window: w, goal: e.Goal, entered: e.At, unserved: e.Work}
}

// fits tells whether there is room for a request.
func (w *Window) fits(e Entry) bool {
	w.shared = e.Rate != Unknown && e.Work > 0 && e.Goal > 0
	if w.shared {
		return w.share.take(e)
	}
	return float64(w.underWay)+e.Random < w.limit
}

// Sent notes that the request was sent to a group. Its first event is awaited anew.
func (p *Place) Sent(now time.Time, group string) {
	w := p.window
	w.mu.Lock()
	defer w.mu.Unlock()
	w.stopWaiting(p)
	p.awaitAnew()
	p.sent = now
	p.group = group
	if p.goal > 0 {
		p.waiting = w.waiting.PushBack(p)
	}
}

// Leave ends the count of a request.
func (p *Place) Leave(now time.Time) {
	w := p.window
	w.mu.Lock()
	defer w.mu.Unlock()
	w.stopWaiting(p)
	w.underWay--
	p.served()
	w.duration.Add(now.Sub(p.entered))
}

// FirstEvent takes in the first event since the request was sent. Requests without a
// goal tell nothing.
func (p *Place) FirstEvent(now time.Time) {
	w := p.window
	w.mu.Lock()
	defer w.mu.Unlock()
	p.served()
	if p.waiting == nil && !p.doubtful {
		return // counted before
	}
	p.doubtful = false
	w.stopWaiting(p)
	w.count(now, now.Sub(p.sent), p.goal)
}

// served ends the count of the request's work as waiting.
func (p *Place) served() {
	p.window.share.waiting -= p.unserved
	p.unserved = 0
	p.awaitAnew()
}

// awaitAnew ends the count of the request as overdue.
func (p *Place) awaitAnew() {
	if p.overdue {
		p.overdue = false
		p.window.share.overdue--
	}
}

// stopWaiting takes a place off those that wait.
func (w *Window) stopWaiting(p *Place) {
	if p.waiting != nil {
		w.waiting.Remove(p.waiting)
		p.waiting = nil
	}
}

// noteOverdue counts requests whose first event is late by now. Waiting for it would
// tell of a surge only once the queues have grown by all that came in the meantime.
// Where the group sends nothing to others either, it is dead or stands still, which
// tells nothing of the load.
func (w *Window) noteOverdue(now time.Time) {
	for first := w.waiting.Front(); first != nil; first = w.waiting.Front() {
		p := first.Value.(*Place)
		waited := now.Sub(p.sent)
		if waited.Seconds() < mostCounted*p.goal.Seconds() {
			return
		}
		w.stopWaiting(p)
		p.overdue = true
		w.share.overdue++
		if w.signs.Silence(p.group, p.sent, now) < p.goal/silentPart {
			w.count(now, waited, p.goal)
			continue
		}
		p.doubtful = true
	}
}

// count takes in a delay.
func (w *Window) count(now time.Time, took, goal time.Duration) {
	if now.Add(-took).Before(w.cutAt) {
		return
	}
	delay := min(took.Seconds()/goal.Seconds(), mostCounted)
	w.delay += delayWeight * (delay - w.delay)
	copy(w.lateOnes[1:], w.lateOnes[:])
	w.lateOnes[0] = took >= goal
	if w.shared {
		if w.delay > mostDelay && w.late() > mostLate {
			w.share.noteLate(now)
		}
		return
	}
	if w.delay > mostDelay {
		w.cut(now, goal)
		return
	}
	if float64(w.underWay) > w.limit-1 {
		w.limit += growth * (mostDelay - w.delay)
	}
}

// late returns how many of the newest first events were late.
func (w *Window) late() int {
	n := 0
	for _, late := range w.lateOnes {
		if late {
			n++
		}
	}
	return n
}

// cut makes the window smaller by what waits in queues beyond the wanted delay: by
// Little's law that is the delay's excess times the rate at which requests end.
func (w *Window) cut(now time.Time, goal time.Duration) {
	duration := w.duration.Mean()
	if duration <= 0 {
		duration = usualDuration
	}
	excess := cutFactor * (w.delay - mostDelay) * goal.Seconds() / duration.Seconds()
	left := max(1-excess, deepestCut)
	w.limit = max(min(w.limit, float64(w.underWay))*left, leastWindow)
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

// State is what a window decides by.
type State struct {
	// Delay is the average time to a first event, as a part of its goal.
	Delay float64
	// Limit is how many requests may be under way, infinite if there is no bound.
	Limit float64
	// Binds tells that the daemon's share bounds what comes, Part which part of the share
	// is let in, and Queue how long the groups' queues are, in seconds.
	Binds       bool
	Part, Queue float64
}

// State returns what the window decides by at present.
func (w *Window) State() State {
	w.mu.Lock()
	defer w.mu.Unlock()
	s := &w.share
	return State{Delay: w.delay, Limit: w.limit, Binds: s.binds, Part: s.part, Queue: s.queue}
}

// Limit returns how many requests may be under way, infinite if there is no bound,
// and how many are.
func (w *Window) Limit() (limit float64, underWay int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.limit, w.underWay
}
