package clock

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// vm is a simulated VM whose clocks the test advances.
type vm struct {
	start time.Time // of the monotonic clock
	mono, boot,
	step time.Duration // step is the offset by which the wall clock was set
	bootReads   int
	noBootClock bool
}

func (m *vm) read() (mono time.Duration, wall time.Time) {
	return m.mono, m.start.Round(0).Add(m.boot + m.step)
}

func (m *vm) bootTime() (time.Duration, bool) {
	m.bootReads++
	return m.boot, !m.noBootClock
}

func (m *vm) advance(d time.Duration) {
	m.mono += d
	m.boot += d
}

func (m *vm) suspend(d time.Duration) { m.boot += d }

func newVM() (*vm, *Clock) {
	m := &vm{start: time.Now()}
	return m, newClock(m.read, m.bootTime)
}

func TestClock_CountsSuspendedTime(t *testing.T) {
	m, c := newVM()
	start := c.Now()
	m.advance(300 * time.Millisecond)
	must.EqOp(t, 300*time.Millisecond, c.Now().Sub(start))
	m.suspend(7 * time.Second)
	must.EqOp(t, 7300*time.Millisecond, c.Now().Sub(start), must.Sprint("detected by the first reading"))
	m.advance(time.Second)
	m.suspend(2 * time.Second)
	must.EqOp(t, 10300*time.Millisecond, c.Now().Sub(start))
	must.EqOp(t, 9*time.Second, c.Suspended())
}

func TestClock_IgnoresWallClockSteps(t *testing.T) {
	m, c := newVM()
	start := c.Now()
	for _, step := range []time.Duration{2 * time.Second, -5 * time.Second, 0} {
		m.step = step
		m.advance(100 * time.Millisecond)
		c.Now()
	}
	must.EqOp(t, 300*time.Millisecond, c.Now().Sub(start))
	must.EqOp(t, 0, c.Suspended())
}

// TestClock_FindsSuspensionHiddenByStepBack guards against a suspension that shows no drift,
// since the wall clock was set back by the same time. It must be found after checkInterval.
func TestClock_FindsSuspensionHiddenByStepBack(t *testing.T) {
	m, c := newVM()
	start := c.Now()
	m.suspend(3 * time.Second)
	m.step = -3 * time.Second
	m.advance(checkInterval + time.Millisecond)
	must.EqOp(t, 3*time.Second+checkInterval+time.Millisecond, c.Now().Sub(start))
}

func TestClock_ReadsBootClockRarely(t *testing.T) {
	m, c := newVM()
	before := m.bootReads
	for range 10_000 {
		m.advance(time.Millisecond)
		c.Now()
	}
	must.Between(t, 9, m.bootReads-before, 10)
}

func TestClock_FallsBackToMonotonic(t *testing.T) {
	m, c := newVM()
	m.noBootClock = true
	start := c.Now()
	m.suspend(3 * time.Second)
	m.advance(2 * time.Second)
	must.EqOp(t, 2*time.Second, c.Now().Sub(start))
}

func TestNow_MatchesMonotonicClock(t *testing.T) {
	at := time.Now()
	must.Less(t, time.Second, Now().Sub(at).Abs())
	must.Less(t, time.Second, Since(Now()))
}

func BenchmarkNow(b *testing.B) {
	for b.Loop() {
		Now()
	}
}
