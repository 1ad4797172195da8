package clock

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// vm is a machine whose clocks the test moves.
type vm struct {
	start time.Time // of the steady clock
	steady, boot,
	step time.Duration // step is by how much the time of day was set
	looks int
	none  bool // there is no clock that counts suspended time
}

func (m *vm) read() (steady time.Duration, day time.Time) {
	return m.steady, m.start.Round(0).Add(m.boot + m.step)
}

func (m *vm) bootTime() (time.Duration, bool) {
	m.looks++
	return m.boot, !m.none
}

func (m *vm) pass(d time.Duration) {
	m.steady += d
	m.boot += d
}

func (m *vm) suspend(d time.Duration) { m.boot += d }

func newVM() (*vm, *Clock) {
	m := &vm{start: time.Now()}
	return m, newClock(m.read, m.bootTime)
}

func TestClock_CountsSuspendedTime(t *testing.T) {
	m, c := newVM()
	begun := c.Now()
	m.pass(300 * time.Millisecond)
	must.EqOp(t, 300*time.Millisecond, c.Now().Sub(begun))
	m.suspend(7 * time.Second)
	must.EqOp(t, 7300*time.Millisecond, c.Now().Sub(begun), must.Sprint("known at the first reading"))
	m.pass(time.Second)
	m.suspend(2 * time.Second)
	must.EqOp(t, 10300*time.Millisecond, c.Now().Sub(begun))
	must.EqOp(t, 9*time.Second, c.Suspended())
}

func TestClock_StepsOfTheTimeOfDayAreNoSuspension(t *testing.T) {
	m, c := newVM()
	begun := c.Now()
	for _, step := range []time.Duration{2 * time.Second, -5 * time.Second, 0} {
		m.step = step
		m.pass(100 * time.Millisecond)
		c.Now()
	}
	must.EqOp(t, 300*time.Millisecond, c.Now().Sub(begun))
	must.EqOp(t, 0, c.Suspended())
}

// TestClock_AStepBackHidesASuspensionForASecondAtMost: the time of day was set back by as
// much as the VM was suspended for.
func TestClock_AStepBackHidesASuspensionForASecondAtMost(t *testing.T) {
	m, c := newVM()
	begun := c.Now()
	m.suspend(3 * time.Second)
	m.step = -3 * time.Second
	m.pass(lookEvery + time.Millisecond)
	must.EqOp(t, 3*time.Second+lookEvery+time.Millisecond, c.Now().Sub(begun))
}

func TestClock_LooksRarely(t *testing.T) {
	m, c := newVM()
	before := m.looks
	for range 10_000 {
		m.pass(time.Millisecond)
		c.Now()
	}
	must.Between(t, 9, m.looks-before, 10)
}

func TestClock_WithoutAClockThatCountsIsTheSteadyOne(t *testing.T) {
	m, c := newVM()
	m.none = true
	begun := c.Now()
	m.suspend(3 * time.Second)
	m.pass(2 * time.Second)
	must.EqOp(t, 2*time.Second, c.Now().Sub(begun))
}

func TestNow_AgreesWithTheSteadyClock(t *testing.T) {
	at := time.Now()
	must.Less(t, time.Second, Now().Sub(at).Abs())
	must.Less(t, time.Second, Since(Now()))
}

func BenchmarkNow(b *testing.B) {
	for b.Loop() {
		Now()
	}
}
