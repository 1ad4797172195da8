package quota

import "time"

// MaxSendDelay is the maximum time from Ledger.Take until the request is sent: a
// connection may have to be dialled first.
const MaxSendDelay = 500 * time.Millisecond

// Bound is what all daemons together may send to a worker.
type Bound struct {
	// MaxRequests is how many requests may be sent within any span of length Within.
	MaxRequests int
	Within      time.Duration
	// Rate is the maximum average rate, in requests a second.
	Rate float64
	// Each is how many requests of a window a daemon gets if there are more daemons
	// than needed. With fewer, a worker serves more of the clients, and each daemon waits
	// longer for its turn.
	Each int
	// MaxWindow bounds the window if the rate is very low.
	MaxWindow time.Duration
	// Paced makes a daemon distribute its part over the window.
	Paced bool
}

// Part is a daemon's part of a bound: MaxRequests requests within any window.
type Part struct {
	MaxRequests int
	Window      time.Duration
	// Gap is the minimum time between two of them.
	Gap time.Duration
	// Weight is the fraction of all daemons that may send; each of them sends on behalf of
	// the others too.
	Weight float64
}

// Part returns the part of the daemon at the given rank among count daemons, and false if
// it has none.
func (b Bound) Part(rank, count int) (Part, bool) {
	senders := min(count, max(b.MaxRequests/b.Each, 1))
	perSender := b.MaxRequests / senders
	if rank >= senders || perSender <= 0 {
		return Part{}, false
	}
	mean := float64(senders*perSender) / b.Rate // seconds, infinite if the rate is 0
	window := time.Duration(min(max(b.Within.Seconds(), mean), b.MaxWindow.Seconds()) * float64(time.Second))
	p := Part{MaxRequests: perSender, Window: window, Weight: float64(senders) / float64(count)}
	if b.Paced {
		p.Gap = window / time.Duration(2*perSender)
	}
	return p, true
}
