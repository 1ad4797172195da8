package serving

import (
	"context"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/pointpass/pointpass/catalog"
	"github.com/pointpass/pointpass/retry"
)

// TestBudget_RetriesOfAFrozenProcess guards against retries that count in one window and reach workers in
// another, since the process stood still between: they must count when they are sent, too.
func TestBudget_RetriesOfAFrozenProcess(t *testing.T) {
	const window = 10 * time.Second
	for _, c := range []struct {
		frozen time.Duration
		left   int // retries that the budget still has room for when the request is sent again
	}{{0, 2}, {window + retry.SendDelay, 2}, {window / 2, 1}} {
		now := time.Now()
		f := newFleet(catalog.Repeatable, allHalls[:4], loseAnswer, answer(200, nil, "whole"))
		f.configure(nil, nil)
		f.server.opts.Allowance = func() retry.Allowance { return retry.Allowance{Extra: 3, Window: window} }
		f.server.opts.Now = func() time.Time { return now }
		f.server.opts.WaitFresh = func(context.Context) {
			if len(f.regions) == 1 {
				now = now.Add(c.frozen)
			}
		}
		w, _ := f.ask()
		must.EqOp(t, 200, w.Code, must.Sprint(c.frozen))
		left := 0
		for spendRetry(f.server, "s", now) {
			left++
		}
		must.EqOp(t, c.left, left, must.Sprint(c.frozen))
	}
}

// spendRetry counts a retry for a service, and reports whether the budget had room for it.
func spendRetry(s *Server, service string, now time.Time) bool {
	_, spent := s.spendRetry(service, now)
	return spent
}
