package duty

import "time"

// lease is the time for which this daemon certainly holds its lease. It starts before
// the renewal is sent (Gray and Cheriton, "Leases", SOSP 1989).
type lease struct {
	duration time.Duration
	start    time.Time
}

// remaining returns how long the lease still lasts. It uses the monotonic or the wall
// clock, whichever has advanced further, since a paused VM may see the pause on only
// one of them.
func (l lease) remaining(now time.Time) time.Duration {
	if l.start.IsZero() {
		return 0
	}
	monotonic := now.Sub(l.start)
	wall := now.Round(0).Sub(l.start.Round(0))
	return l.duration - max(monotonic, wall)
}

// observation is the last row read of another daemon's lease, and when its version was
// first read.
type observation struct {
	row     nodeRow
	version uint64
	since   time.Time
}

// expired reports whether the holder can no longer consider its lease valid. It uses
// no clock of another machine: the version of the row has not changed for the lease
// duration and the margin, by this daemon's monotonic clock, up to its last read of
// the table. Time after that read doesn't count, since the row may have changed.
func (o observation) expired(read time.Time, lease, margin time.Duration) bool {
	return read.Sub(o.since) > lease+margin
}
