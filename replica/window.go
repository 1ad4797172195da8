package replica

import (
	"sync/atomic"
	"time"
)

// Limits of the window.
const (
	// initialWindow is how many orders may be in flight at first. With workers that answer
	// after 4 ms this allows 8,000 orders a second, more than a sender has to send.
	initialWindow = 32
	// minWindow keeps a few workers that never answer from blocking all others.
	minWindow = 16
	maxWindow = 256
	// cutAfter is how many orders must be unanswered before the window is cut, and cutRatio how
	// many answered orders one unanswered order outweighs: fewer than one worker in three is
	// gone, except when a whole domain is down.
	cutAfter = minWindow / 2
	cutRatio = 2
	// maxCounted limits how many outcomes are counted: answers from long ago must not outweigh
	// those missing now.
	maxCounted = 2 * minWindow
	// slowAnswer is the time from which an answer no longer widens the window: most of that
	// time was spent waiting in this process.
	slowAnswer = orderTimeout / 2
)

// window limits how many orders are in flight, as in congestion control. A sender that opens
// too many connections at once causes the timeouts that it sees, and makes them worse by
// resending: 2,660 orders within a second from 0.8 of a core left 83 of 100 unanswered. Answers
// widen the window. It is halved when many orders get no answer; a few unanswered ones are for
// workers that are gone.
type window struct {
	size     float64
	inFlight int
	// slowStart is set until the window is cut for the first time: each answer widens it by
	// one.
	slowStart bool
	// cutAt is when the window was last cut. The outcomes of orders sent before that don't
	// count.
	cutAt                time.Time
	answered, unanswered int
}

func newWindow() window { return window{size: initialWindow, slowStart: true} }

// hasRoom reports whether another order may be sent.
func (w *window) hasRoom() bool { return w.inFlight < int(w.size) }

// start records that an order is sent.
func (w *window) start() { w.inFlight++ }

// finish records that an order was answered, or timed out.
func (w *window) finish(sent, now time.Time, answered bool) {
	w.inFlight--
	if sent.Before(w.cutAt) {
		return
	}
	if answered {
		w.answered++
		if now.Sub(sent) < slowAnswer {
			w.widen()
		}
		w.decay()
		return
	}
	w.unanswered++
	if w.unanswered >= cutAfter && cutRatio*w.unanswered > w.answered {
		w.cut(now)
	}
}

func (w *window) widen() {
	if w.slowStart {
		w.size++
	} else {
		w.size += 1 / w.size
	}
	w.size = min(w.size, maxWindow)
}

// decay makes older outcomes count less.
func (w *window) decay() {
	if w.answered+w.unanswered >= maxCounted {
		w.answered /= 2
		w.unanswered /= 2
	}
}

func (w *window) cut(now time.Time) {
	w.size = max(w.size/2, minWindow)
	w.slowStart = false
	w.cutAt = now
	w.answered = 0
	w.unanswered = 0
}

// orderGauges holds the values of the order metrics. It is safe for concurrent use.
type orderGauges struct{ inFlight, waiting, window atomic.Int64 }

func (f *orderGauges) update(w *window, q *queue) {
	f.inFlight.Store(int64(w.inFlight))
	f.waiting.Store(int64(q.len()))
	f.window.Store(int64(w.size))
}
