package serving

import (
	"context"
	"errors"
	"slices"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/pointpass/pointpass/catalog"
	"github.com/pointpass/pointpass/retry"
)

// upstreamWithoutStart is an upstream of a function that calls Started itself.
type upstreamWithoutStart func(a Attempt) (*Reply, error)

func (f upstreamWithoutStart) Send(_ context.Context, a Attempt) (*Reply, error) { return f(a) }

// TestBudget_RetryThatWaitsForItsConnection guards against a retry that is counted in one window and written in
// another, since its connection took long to open: it must count again when it is written.
func TestBudget_RetryThatWaitsForItsConnection(t *testing.T) {
	const window = 10 * time.Second
	for _, c := range []struct {
		opening time.Duration
		extra   float64
		want    int
		written int
	}{
		{maxSpendAge, 1, 200, 2},
		{500 * time.Millisecond, 2, 200, 2},
		{500 * time.Millisecond, 1, 502, 1},
		{window + retry.SendDelay, 1, 200, 2},
	} {
		now := time.Now()
		f := newFleet(catalog.Repeatable, allHalls[:4])
		f.configure(nil, nil)
		f.server.opts.Allowance = func() retry.Allowance { return retry.Allowance{Extra: c.extra, Window: window} }
		f.server.opts.Now = func() time.Time { return now }
		written := 0
		f.server.opts.Upstream = upstreamWithoutStart(func(a Attempt) (*Reply, error) {
			if written == 1 {
				now = now.Add(c.opening)
			}
			if _, err := a.Started(); err != nil {
				return nil, &NotSentError{Err: err}
			}
			written++
			if written == 1 {
				return nil, &LostError{Err: errors.New("reset"), Ended: true}
			}
			return answer(200, nil, "whole")(a)
		})
		w, _ := f.ask()
		must.EqOp(t, c.want, w.Code, must.Sprint(c))
		must.EqOp(t, c.written, written, must.Sprint(c))
	}
}

// TestBudget_UnreadSendingCountsUntilItsWorkerAnswers guards against retries that leave the budget while a worker that
// stands still is yet to read a sending of their request, whichever of the sendings that is.
func TestBudget_UnreadSendingCountsUntilItsWorkerAnswers(t *testing.T) {
	const window = 10 * time.Second
	for _, ended := range []bool{true, false} {
		now := time.Now()
		f := newFleet(catalog.Repeatable, allHalls[:2])
		f.configure(nil, nil)
		f.server.opts.Allowance = func() retry.Allowance { return retry.Allowance{Extra: 10, Window: window} }
		f.server.opts.Now = func() time.Time { return now }
		var asked []string
		f.server.opts.Upstream = upstreamFunc(func(_ context.Context, a Attempt) (*Reply, error) {
			asked = append(asked, a.Worker.ID)
			if len(asked) == 1 {
				return nil, &LostError{Err: errors.New("timed out"), Ended: ended}
			}
			return answer(200, nil, "whole")(a)
		})
		retries := func() int { return f.server.budget("s").Usage(now, f.server.opts.Allowance()).Retries }
		f.ask()
		must.EqOp(t, 1, retries())
		now = now.Add(window + retry.SendDelay)
		if ended {
			must.EqOp(t, 0, retries(), must.Sprint("the connection has ended: nothing can be read late"))
			continue
		}
		must.EqOp(t, 1, retries())
		for !slices.Contains(asked[1:], asked[0]) {
			f.ask()
			now = now.Add(time.Second)
			must.LessEq(t, 100, len(asked))
		}
		now = now.Add(window + 2*retry.SendDelay)
		must.EqOp(t, 0, retries())
	}
}

// TestBudget_MovedRequestCountsUntilItsFirstWorkerAnswers guards against the first sending of a request that has left a
// silent worker: if that worker reads it later, it is a retry of then.
func TestBudget_MovedRequestCountsUntilItsFirstWorkerAnswers(t *testing.T) {
	upstream := &silentFirstUpstream{silent: make(chan string, 1), cause: make(chan error, 1)}
	s := newStreamServer(t, upstream)
	answered := ask(s)
	for left := false; !left; {
		for _, w := range s.watches.list() {
			w.warn(time.Now())
		}
		select {
		case <-upstream.cause:
			left = true
		case <-time.After(time.Millisecond):
		}
	}
	must.EqOp(t, 200, (<-answered).Code)
	worker := <-upstream.silent
	retries := func(after time.Duration) int {
		return s.budget("llm").Usage(time.Now().Add(after), s.opts.Allowance()).Retries
	}
	must.EqOp(t, 1, retries(10*time.Second), must.Sprint("the window has one second"))
	s.unread.Answered(worker, time.Now(), time.Now())
	must.EqOp(t, 0, retries(10*time.Second))
}
