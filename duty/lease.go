package duty

import "time"

// lease is this daemon's own lease, as long as it can be sure of it. It counts
// from before the renewal was sent (Gray and Cheriton, "Leases", SOSP 1989).
type lease struct {
	length time.Duration
	from   time.Time
}

// left returns how much of the lease remains. The monotonic and the wall clock
// both count, and the one that has moved further decides: a VM that was paused
// may see the pause on one of them only.
func (l lease) left(now time.Time) time.Duration {
	if l.from.IsZero() {
		return 0
	}
	monotonic := now.Sub(l.from)
	wall := now.Round(0).Sub(l.from.Round(0))
	return l.length - max(monotonic, wall)
}

// observation is what this daemon has seen of another's lease: a version of
// its row, and when that version was first read.
type observation struct {
	row     nodeRow
	version uint64
	since   time.Time
}

// lapsed tells whether the holder can no longer believe in its lease. No clock
// of another machine is read: the row's version stood still for the whole
// lease and a margin, by our own monotonic clock, up to our last read of the
// table. Time in which nothing was read proves nothing.
func (o observation) lapsed(read time.Time, lease, margin time.Duration) bool {
	return read.Sub(o.since) > lease+margin
}
