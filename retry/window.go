package retry

import (
	"sync"
	"time"
)

// windowSlots is how finely a window's time is told.
const windowSlots = 20

// Allowance bounds retries within a sliding window: a ratio of the requests in
// it and a number besides.
type Allowance struct {
	Ratio float64
	Extra float64
	// Window is the length of the window.
	Window time.Duration
}

// Window counts the requests and retries of one service in a sliding window of
// time. It is safe for use by many goroutines.
type Window struct {
	mu     sync.Mutex
	length time.Duration
	slots  [windowSlots]windowSlot
}

type windowSlot struct {
	number   int64
	requests int
	retries  int
}

// NewWindow returns an empty window of a length.
func NewWindow(length time.Duration) *Window { return &Window{length: length} }

// Request counts a request.
func (w *Window) Request(now time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.slot(now).requests++
}

// Spend counts a retry if the allowance of the moment has room for it, and tells
// whether it had. The allowance may change from call to call.
func (w *Window) Spend(now time.Time, a Allowance) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.resize(now, a.Window)
	if !w.room(now, a) {
		return false
	}
	w.slot(now).retries++
	return true
}

// Room tells whether the allowance of the moment has room for a retry.
func (w *Window) Room(now time.Time, a Allowance) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.resize(now, a.Window)
	return w.room(now, a)
}

// resize gives the window another length. The retries in it count as made now and the
// requests in it no more, so that there are rather too few retries for one window than
// too many. The caller holds the lock.
func (w *Window) resize(now time.Time, length time.Duration) {
	if length == w.length {
		return
	}
	_, retries := w.counted(now)
	w.length = length
	w.slots = [windowSlots]windowSlot{}
	w.slot(now).retries = retries
}

// room is Room with the lock held.
func (w *Window) room(now time.Time, a Allowance) bool {
	requests, retries := w.counted(now)
	return float64(retries+1) <= a.Ratio*float64(requests)+a.Extra
}

// counted returns what came within the window. The caller holds the lock.
func (w *Window) counted(now time.Time) (requests, retries int) {
	current := w.slot(now)
	for _, s := range w.slots {
		if current.number-s.number < windowSlots {
			requests += s.requests
			retries += s.retries
		}
	}
	return requests, retries
}

// slot returns the current part of the window, emptied of what it held a window
// ago.
func (w *Window) slot(now time.Time) *windowSlot {
	number := now.UnixNano() / int64(w.length/windowSlots)
	s := &w.slots[number%windowSlots]
	if s.number != number {
		*s = windowSlot{number: number}
	}
	return s
}
