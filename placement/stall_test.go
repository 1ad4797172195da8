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
	s := NewStallDetector(c.now, func(length time.Duration) { stalls = append(stalls, length) })
	before := s.StartQuery()
	c.advance(stallThreshold)
	must.True(t, s.Fresh(), must.Sprint("a delay on a busy machine must not count as a stall"))
	c.advance(stallThreshold + 1)
	must.False(t, s.Fresh())
	before()
	must.False(t, s.Fresh(), must.Sprint("a query from before the stall doesn't count"))
	after := s.StartQuery()
	must.False(t, s.Fresh())
	after()
	must.True(t, s.Fresh())
	must.Eq(t, []time.Duration{stallThreshold + 1}, stalls)
}

// TestStallDetector_SecondStallDuringQuery guards against an answer that counts as fresh
// although a second stall happened while it was awaited.
func TestStallDetector_SecondStallDuringQuery(t *testing.T) {
	c := &clock{at: noon}
	s := NewStallDetector(c.now, func(time.Duration) {})
	c.advance(stallThreshold + 1)
	first := s.StartQuery()
	c.advance(stallThreshold + 1)
	first()
	must.False(t, s.Fresh())
	s.StartQuery()()
	must.True(t, s.Fresh())
}

func TestStallDetector_RequestsWaitForQuery(t *testing.T) {
	c := &clock{at: noon}
	s := NewStallDetector(c.now, func(time.Duration) {})
	s.WaitFresh(t.Context()) // no stall: returns at once
	c.advance(stallThreshold + 1)
	finish := s.StartQuery()
	done := make(chan struct{})
	go func() {
		s.WaitFresh(context.Background())
		close(done)
	}()
	select {
	case <-done:
		t.Fatal("the request didn't wait for the query")
	default:
	}
	finish()
	<-done
	must.True(t, s.Fresh())
}

func TestStallDetector_WaitEndsWithContext(t *testing.T) {
	c := &clock{at: noon}
	s := NewStallDetector(c.now, func(time.Duration) {})
	c.advance(stallThreshold + 1)
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	s.WaitFresh(ctx)
	must.False(t, s.Fresh())
}
