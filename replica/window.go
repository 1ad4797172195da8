package replica

import (
	"sync/atomic"
	"time"
)

// Bounds of the window.
const (
	// firstWindow is how many orders are under way at a time at first. Where a worker
	// answers after 4 ms that is 8,000 orders a second, more than a sender has to give.
	firstWindow = 32
	// leastWindow keeps a few workers that never answer from holding up all others.
	leastWindow = 16
	mostWindow  = 256
	// doubtAfter is how many orders must have got no answer before the window is cut, and
	// doubtPart for how many with an answer one without counts: workers that are gone are
	// fewer than one in three, but where a whole domain is dark.
	doubtAfter = leastWindow / 2
	doubtPart  = 2
	// mostCounted is how many answers are counted at the most: what is long past doesn't
	// excuse what is missing now.
	mostCounted = 2 * leastWindow
	// slowAnswer is from when on an answer doesn't widen the window: most of its time was
	// spent waiting here.
	slowAnswer = orderTimeout / 2
)

// window bounds how many orders are under way at a time, by what comes back. A sender that
// has too many connections to open at once is the cause of the answers that it misses, and
// makes it worse by repeating them: 2,660 orders within a second from 0.8 of a core left 83
// of 100 unanswered. Answers widen it, as in congestion control. It is halved where many
// orders get no answer; a few that don't answer are workers that are gone.
type window struct {
	size     float64
	underWay int
	// eager tells that the window has not been cut yet: each answer widens it by one.
	eager bool
	// cutAt is when the window was last cut. Orders sent before tell nothing new.
	cutAt             time.Time
	answered, missing int
}

func newWindow() window { return window{size: firstWindow, eager: true} }

// open tells whether one more order may be sent.
func (w *window) open() bool { return w.underWay < int(w.size) }

// begin notes that an order is sent.
func (w *window) begin() { w.underWay++ }

// end notes that an order which was sent at a moment has an answer, or gets none.
func (w *window) end(sent, now time.Time, answered bool) {
	w.underWay--
	if sent.Before(w.cutAt) {
		return
	}
	if answered {
		w.answered++
		if now.Sub(sent) < slowAnswer {
			w.widen()
		}
		w.fade()
		return
	}
	w.missing++
	if w.missing >= doubtAfter && doubtPart*w.missing > w.answered {
		w.cut(now)
	}
}

func (w *window) widen() {
	if w.eager {
		w.size++
	} else {
		w.size += 1 / w.size
	}
	w.size = min(w.size, mostWindow)
}

// fade has what is past count less.
func (w *window) fade() {
	if w.answered+w.missing >= mostCounted {
		w.answered /= 2
		w.missing /= 2
	}
}

func (w *window) cut(now time.Time) {
	w.size = max(w.size/2, leastWindow)
	w.eager = false
	w.cutAt = now
	w.answered = 0
	w.missing = 0
}

// windowFigures tell of orders to who reads metrics. They are safe for use by many
// goroutines.
type windowFigures struct{ underWay, waiting, window atomic.Int64 }

func (f *windowFigures) note(w *window, q *queue) {
	f.underWay.Store(int64(w.underWay))
	f.waiting.Store(int64(q.len()))
	f.window.Store(int64(w.size))
}
