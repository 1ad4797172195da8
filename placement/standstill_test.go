package placement

import (
	"context"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// clock is a time that tests move on.
type clock struct{ at time.Time }

func (c *clock) now() time.Time       { return c.at }
func (c *clock) pass(d time.Duration) { c.at = c.at.Add(d) }

func TestStandstill_WaitsForAQuestionAskedAfterIt(t *testing.T) {
	c := &clock{at: noon}
	var told []time.Duration
	s := NewStandstill(c.now, func(length time.Duration) { told = append(told, length) })
	before := s.Asking()
	c.pass(standstillLimit)
	must.True(t, s.Settled(), must.Sprint("a busy machine is no standstill"))
	c.pass(standstillLimit + 1)
	must.False(t, s.Settled())
	before()
	must.False(t, s.Settled(), must.Sprint("what was asked before tells nothing"))
	after := s.Asking()
	must.False(t, s.Settled())
	after()
	must.True(t, s.Settled())
	must.Eq(t, []time.Duration{standstillLimit + 1}, told)
}

// TestStandstill_OneMoreWhileAnAnswerIsAwaited: the answer is as old as the second
// standstill was long.
func TestStandstill_OneMoreWhileAnAnswerIsAwaited(t *testing.T) {
	c := &clock{at: noon}
	s := NewStandstill(c.now, func(time.Duration) {})
	c.pass(standstillLimit + 1)
	first := s.Asking()
	c.pass(standstillLimit + 1)
	first()
	must.False(t, s.Settled())
	s.Asking()()
	must.True(t, s.Settled())
}

func TestStandstill_RequestsWaitUntilItIsOver(t *testing.T) {
	c := &clock{at: noon}
	s := NewStandstill(c.now, func(time.Duration) {})
	s.Settle(t.Context()) // returns at once
	c.pass(standstillLimit + 1)
	ended := s.Asking()
	done := make(chan struct{})
	go func() {
		s.Settle(context.Background())
		close(done)
	}()
	select {
	case <-done:
		t.Fatal("it didn't wait")
	default:
	}
	ended()
	<-done
	must.True(t, s.Settled())
}

func TestStandstill_AWaitEndsWithItsCaller(t *testing.T) {
	c := &clock{at: noon}
	s := NewStandstill(c.now, func(time.Duration) {})
	c.pass(standstillLimit + 1)
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	s.Settle(ctx)
	must.False(t, s.Settled())
}
