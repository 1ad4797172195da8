package retry

import (
	"slices"
	"sync"
	"time"
)

const (
	// windowSlots is the number of slots in which the requests of a window are counted.
	windowSlots = 20
	// SendDelay is how long a worker whose process runs takes to read what has reached its machine. Requests count
	// for so much shorter than the window, so that a retry which arrives so much later still belongs to them.
	SendDelay = 500 * time.Millisecond
	// unreadFraction is the fraction of a ratio that retries which are yet to be read may use: all of them may be read
	// in one window, after the load has fallen.
	unreadFraction = 0.5
)

// Allowance limits the retries within a sliding window to a ratio of the requests in it plus a
// constant.
type Allowance struct {
	Ratio float64
	Extra float64
	// Window is the length of the window.
	Window time.Duration
}

// Window counts the requests and retries of one service in a sliding window. It is safe for
// concurrent use.
type Window struct {
	mu     sync.Mutex
	length time.Duration
	// slots count the requests.
	slots [windowSlots]windowSlot
	// retries are those that count, which the allowance keeps few.
	retries []*Retry
}

type windowSlot struct {
	number   int64
	requests int
}

// NewWindow returns an empty window of the given length.
func NewWindow(length time.Duration) *Window { return &Window{length: length} }

// Request counts a request.
func (w *Window) Request(now time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.slot(now).requests++
}

// Spend counts a retry if the allowance has room for it, and reports whether it had. The
// allowance may change from call to call. The retry counts until the window has passed since its arrival, or since
// MaxUnread if that isn't recorded.
func (w *Window) Spend(now time.Time, a Allowance) (*Retry, bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.resize(now, a.Window)
	if !w.room(now, a) {
		return nil, false
	}
	r := &Retry{window: w, spent: now}
	w.retries = append(w.retries, r)
	return r, true
}

// drop makes a retry count no more.
func (w *Window) drop(r *Retry) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.retries = slices.DeleteFunc(w.retries, func(other *Retry) bool { return other == r })
}

// Usage is what a budget decision was based on: the requests and retries within the window, and how many retries are
// allowed for them; and how many of the retries are yet to be read, and may be.
type Usage struct {
	Requests, Retries, Unread int
	Limit, UnreadLimit        float64
}

// hasRoom reports whether another retry is allowed.
func (u Usage) hasRoom() bool {
	return float64(u.Retries+1) <= u.Limit && float64(u.Unread+1) <= u.UnreadLimit
}

// Usage returns the current usage.
func (w *Window) Usage(now time.Time, a Allowance) Usage {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.resize(now, a.Window)
	return w.usage(now, a)
}

// Room reports whether the allowance has room for a retry.
func (w *Window) Room(now time.Time, a Allowance) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.resize(now, a.Window)
	return w.room(now, a)
}

// resize changes the length of the window. The retries in it count as arrived now and its requests
// are dropped, so that a change allows too few retries for one window rather than too many. The
// caller holds the lock.
func (w *Window) resize(now time.Time, length time.Duration) {
	if length == w.length {
		return
	}
	w.dropOldRetries(now)
	w.length = length
	w.slots = [windowSlots]windowSlot{}
	for _, r := range w.retries {
		if !r.read.IsZero() {
			r.read = now
		}
	}
}

// room implements Room. The caller holds the lock.
func (w *Window) room(now time.Time, a Allowance) bool {
	return w.usage(now, a).hasRoom()
}

// usage implements Usage. The caller holds the lock.
func (w *Window) usage(now time.Time, a Allowance) Usage {
	w.dropOldRetries(now)
	requests := w.requests(now)
	earned := a.Ratio * float64(requests)
	u := Usage{Requests: requests, Retries: len(w.retries), Limit: earned + a.Extra, UnreadLimit: max(unreadFraction*earned+a.Extra, 1)}
	for _, r := range w.retries {
		if r.read.IsZero() {
			u.Unread++
		}
	}
	return u
}

// dropOldRetries drops the retries that have left the window. The caller holds the lock.
func (w *Window) dropOldRetries(now time.Time) {
	w.retries = slices.DeleteFunc(w.retries, func(r *Retry) bool { return !r.counts(now, w.length) })
}

// requests returns the number of requests within the window less SendDelay. The caller holds the
// lock.
func (w *Window) requests(now time.Time) int {
	current := w.slot(now)
	slot := w.slotLength()
	counted := windowSlots - int64((SendDelay+slot-1)/slot)
	n := 0
	for _, s := range w.slots {
		if current.number-s.number < counted {
			n += s.requests
		}
	}
	return n
}

// slotLength returns the length of a slot in whole microseconds, 1 at the least.
func (w *Window) slotLength() time.Duration {
	return max((w.length / windowSlots).Truncate(time.Microsecond), time.Microsecond)
}

// slot returns the current slot, cleared if its counts are older than the window.
func (w *Window) slot(now time.Time) *windowSlot {
	number := now.UnixMicro() / w.slotLength().Microseconds() // nanoseconds overflow in 2262
	s := &w.slots[(number%windowSlots+windowSlots)%windowSlots]
	if s.number != number {
		*s = windowSlot{number: number}
	}
	return s
}
