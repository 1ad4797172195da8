// Package clock provides the time by which leases and other rights expire: the monotonic
// clock plus the time during which the VM was suspended, which that clock doesn't count.
package clock

import (
	"sync/atomic"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// driftTolerance is how far the wall clock may drift from the monotonic clock before the
	// boot clock is read to check for a suspension. Regular corrections of the wall clock are
	// below 0.5 ms per second.
	driftTolerance = 20 * time.Millisecond
	// checkInterval is the maximum time between two reads of the boot clock. The drift alone
	// isn't sufficient: the wall clock may be set back by as much as the VM was suspended.
	checkInterval = time.Second
)

// Clock is a monotonic clock that includes suspended time. It is safe for concurrent use.
type Clock struct {
	// read returns the monotonic clock's reading and the wall clock's time.
	read func() (mono time.Duration, wall time.Time)
	// boot returns the boot clock's reading, which includes suspended time, or false if there
	// is no such clock.
	boot func() (time.Duration, bool)

	base      time.Time // time.Now at the creation of the clock
	wallStart time.Time
	monoStart time.Duration
	bootStart time.Duration
	// drift is how far the wall clock had moved against the monotonic clock at the last read
	// of the boot clock, checkedAt the monotonic time of that read since the start, and
	// suspended the total time of suspension until then. All are in nanoseconds.
	drift, checkedAt, suspended atomic.Int64
}

// newClock returns a clock that is based on the given clocks.
func newClock(read func() (time.Duration, time.Time), boot func() (time.Duration, bool)) *Clock {
	c := &Clock{read: read, boot: boot, base: time.Now()}
	c.monoStart, c.wallStart = read()
	c.bootStart, _ = boot()
	return c
}

// Now returns the current time. The difference between two results includes suspended time.
// If the VM was never suspended, results are comparable with those of time.Now.
func (c *Clock) Now() time.Time {
	mono, wall := c.read()
	elapsed := mono - c.monoStart
	drift := wall.Sub(c.wallStart) - elapsed
	moved := drift - time.Duration(c.drift.Load())
	if moved.Abs() > driftTolerance || elapsed-time.Duration(c.checkedAt.Load()) > checkInterval {
		c.updateSuspended(elapsed, drift)
	}
	return c.base.Add(elapsed + time.Duration(c.suspended.Load()))
}

// updateSuspended reads the boot clock and updates the total time of suspension.
func (c *Clock) updateSuspended(elapsed, drift time.Duration) {
	boot, ok := c.boot()
	if !ok {
		return
	}
	suspended := boot - c.bootStart - elapsed
	if suspended > time.Duration(c.suspended.Load())+driftTolerance {
		c.suspended.Store(int64(suspended))
	}
	c.drift.Store(int64(drift))
	c.checkedAt.Store(int64(elapsed))
}

// Suspended returns the total time that the VM was suspended since the clock was created.
func (c *Clock) Suspended() time.Duration { return time.Duration(c.suspended.Load()) }

// process is the clock of this process.
var process = newClock(monotonicReader(), bootTime)

// monotonicReader returns a function that reads the monotonic and the wall clock at the same
// instant.
func monotonicReader() func() (time.Duration, time.Time) {
	start := time.Now()
	return func() (time.Duration, time.Time) {
		now := time.Now()
		return now.Sub(start), now.Round(0)
	}
}

// Now returns the current time by the process's clock.
func Now() time.Time { return process.Now() }

// Since returns the time elapsed since t, a result of Now.
func Since(t time.Time) time.Duration { return process.Now().Sub(t) }

// Suspended returns the total time that the VM was suspended since the process started.
func Suspended() time.Duration { return process.Suspended() }

// bootTime returns the time since the VM was booted, including suspended time, or false if
// the clock can't be read.
func bootTime() (time.Duration, bool) {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		return 0, false
	}
	return time.Duration(ts.Nano()), true
}
