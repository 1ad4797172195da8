package placement

import (
	"context"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// clock is a manually advanced clock.
type clock struct{ at time.Time }

func (c *clock) now() time.Time          { return c.at }
func (c *clock) advance(d time.Duration) { c.at = c.at.Add(d) }

func TestStallDetector_FreshOnlyAfterLaterQuery(t *testing.T) {
	c := &clock{at: noon}
	var stalls []time.Duration
	s := NewStandstill(c.now, func(length time.Duration) { stalls = append(stalls, length) })
	before := s.Asking()
	c.advance(stallThreshold)
	must.True(t, s.Settled(), must.Sprint("a delay on a busy machine must not count as a stall"))
	c.advance(stallThreshold + 1)
	must.False(t, s.Settled())
	before()
	must.False(t, s.Settled(), must.Sprint("a query from before the stall doesn't count"))
	after := s.Asking()
	must.False(t, s.Settled())
	after()
	must.True(t, s.Settled())
	must.Eq(t, []time.Duration{stallThreshold + 1}, stalls)
}

// TestStallDetector_SecondStallDuringQuery guards against an answer that counts as fresh
// although a second stall happened while it was awaited.
func TestStallDetector_SecondStallDuringQuery(t *testing.T) {
	c := &clock{at: noon}
	s := NewStandstill(c.now, func(time.Duration) {})
	c.advance(stallThreshold + 1)
	first := s.Asking()
	c.advance(stallThreshold + 1)
	first()
	must.False(t, s.Settled())
	s.Asking()()
	must.True(t, s.Settled())
}

func TestStallDetector_RequestsWaitForQuery(t *testing.T) {
	c := &clock{at: noon}
	s := NewStandstill(c.now, func(time.Duration) {})
	s.Settle(t.Context()) // no stall: returns at once
	c.advance(stallThreshold + 1)
	finish := s.Asking()
	done := make(chan struct{})
	go func() {
		s.Settle(context.Background())
		close(done)
	}()
	select {
	case <-done:
		t.Fatal("the request didn't wait for the query")
	default:
	}
	finish()
	<-done
	must.True(t, s.Settled())
}

func TestStallDetector_WaitEndsWithContext(t *testing.T) {
	c := &clock{at: noon}
	s := NewStandstill(c.now, func(time.Duration) {})
	c.advance(stallThreshold + 1)
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	s.Settle(ctx)
	must.False(t, s.Settled())
}
