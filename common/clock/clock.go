// Package clock tells the time as a right runs out by it: the steady clock, and what it
// doesn't count while the VM is suspended.
package clock

import (
	"sync/atomic"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// driftTolerance is by how much the time of day may move against the steady clock before
	// it is looked whether the VM was suspended. Corrections of the time of day are below
	// 0.5 ms a second.
	driftTolerance = 20 * time.Millisecond
	// lookEvery is how often it is looked in any case: the time of day may be set back by
	// as much as the VM was suspended for.
	lookEvery = time.Second
)

// Clock is a steady clock that counts suspended time. It is safe for use by many goroutines.
type Clock struct {
	// read returns for how long the steady clock has run, and the time of day.
	read func() (steady time.Duration, day time.Time)
	// boot returns the time with what was suspended, false where nothing tells it.
	boot func() (time.Duration, bool)

	base      time.Time // a reading of time.Now when the steady clock began to run
	dayBegun  time.Time
	begun     time.Duration
	bootBegun time.Duration
	// drift is by how much the time of day had moved against the steady clock, and looked
	// for how long the clock had run, when it was last looked; suspended is how long the VM
	// was suspended until then. All in nanoseconds.
	drift, looked, suspended atomic.Int64
}

// newClock returns a clock on others.
func newClock(read func() (time.Duration, time.Time), boot func() (time.Duration, bool)) *Clock {
	c := &Clock{read: read, boot: boot, base: time.Now()}
	c.begun, c.dayBegun = read()
	c.bootBegun, _ = boot()
	return c
}

// Now returns the time. Of two readings, the difference is what passed in between, suspended
// or not; a reading of time.Now is the same where the VM wasn't suspended.
func (c *Clock) Now() time.Time {
	steady, day := c.read()
	passed := steady - c.begun
	drift := day.Sub(c.dayBegun) - passed
	moved := drift - time.Duration(c.drift.Load())
	if moved.Abs() > driftTolerance || passed-time.Duration(c.looked.Load()) > lookEvery {
		c.look(passed, drift)
	}
	return c.base.Add(passed + time.Duration(c.suspended.Load()))
}

// look looks how long the VM was suspended in all.
func (c *Clock) look(passed, drift time.Duration) {
	boot, known := c.boot()
	if !known {
		return
	}
	suspended := boot - c.bootBegun - passed
	if suspended > time.Duration(c.suspended.Load())+driftTolerance {
		c.suspended.Store(int64(suspended))
	}
	c.drift.Store(int64(drift))
	c.looked.Store(int64(passed))
}

// Suspended returns for how long the VM was suspended since the process began.
func (c *Clock) Suspended() time.Duration { return time.Duration(c.suspended.Load()) }

// process is the clock of this process.
var process = newClock(steadyReader(), bootTime)

// steadyReader returns a reading of the steady clock and of the time of day, by one look at
// both.
func steadyReader() func() (time.Duration, time.Time) {
	begun := time.Now()
	return func() (time.Duration, time.Time) {
		now := time.Now()
		return now.Sub(begun), now.Round(0)
	}
}

// Now returns the time by the process's clock.
func Now() time.Time { return process.Now() }

// Since returns how much time has passed since a reading of Now.
func Since(t time.Time) time.Duration { return process.Now().Sub(t) }

// Suspended returns for how long the VM was suspended since the process began.
func Suspended() time.Duration { return process.Suspended() }

// bootTime returns the time since the VM was started.
func bootTime() (time.Duration, bool) {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		return 0, false
	}
	return time.Duration(ts.Nano()), true
}
