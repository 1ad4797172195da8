package quota

import "time"

// MostSendDelay is how long after Ledger.Take a request may leave: a connection may have to
// be dialled first.
const MostSendDelay = 500 * time.Millisecond

// Bound is what all daemons together may send a worker.
type Bound struct {
	// Most is how many requests may be sent within any span of length Within.
	Most   int
	Within time.Duration
	// Rate is how many requests a second there may be on average.
	Rate float64
	// Each is how many requests of a window a daemon gets where there are more daemons than
	// needed. The fewer, the more callers a worker hears of and the longer each daemon waits
	// for its turn.
	Each int
	// Longest bounds the window, where the rate is very low.
	Longest time.Duration
	// Paced has a daemon spread its part over the window.
	Paced bool
}

// Part is a daemon's part of a bound: so many requests within any window.
type Part struct {
	Takes  int
	Window time.Duration
	// Gap is the least time between two of them.
	Gap time.Duration
	// Weight is which part of all daemons may send: each of them does so for the others.
	Weight float64
}

// Part returns the part of a daemon that comes after rank others of count, false if it has
// none.
func (b Bound) Part(rank, count int) (Part, bool) {
	senders := min(count, max(b.Most/b.Each, 1))
	takes := b.Most / senders
	if rank >= senders || takes == 0 {
		return Part{}, false
	}
	mean := float64(senders*takes) / b.Rate // seconds, endless if the rate is 0
	window := time.Duration(min(max(b.Within.Seconds(), mean), b.Longest.Seconds()) * float64(time.Second))
	p := Part{Takes: takes, Window: window, Weight: float64(senders) / float64(count)}
	if b.Paced {
		p.Gap = window / time.Duration(2*takes)
	}
	return p, true
}
