package deps

import (
	"context"
	"errors"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/pointpass/pointpass/placement"
	"github.com/pointpass/pointpass/store"
)

// failingReader is a store whose answers are an error, nil for none.
type failingReader struct{ err error }

func (f failingReader) Rows(context.Context, string) (store.Snapshot, error) {
	return store.Snapshot{}, f.err
}

func (f failingReader) Changes(context.Context, string, store.Position, time.Duration) (store.Snapshot, error) {
	return store.Snapshot{}, f.err
}

// TestSettlingReader_SettlesOnceAnAnswerIsTakenIn: not when it has come, nor when the
// history is lost and the whole table has to be read. A question that fails settles, since
// nothing better is to be had.
func TestSettlingReader_SettlesOnceAnAnswerIsTakenIn(t *testing.T) {
	for _, c := range []struct {
		err            error
		before, takeIn bool
	}{
		{nil, false, true},
		{errors.New("no answer"), true, true},
		{&store.HistoryLostError{Table: "t"}, false, false},
	} {
		for _, all := range []bool{false, true} {
			now := time.Unix(1000, 0)
			standstill := placement.NewStandstill(func() time.Time { return now }, func(time.Duration) {})
			r := &settlingReader{reader: failingReader{c.err}, standstill: standstill}
			now = now.Add(time.Minute)
			must.False(t, standstill.Settled())
			if all {
				r.Rows(t.Context(), "t")
			} else {
				r.Changes(t.Context(), "t", store.At(0, 1), 0)
			}
			must.EqOp(t, c.before, standstill.Settled(), must.Sprint(c.err, all))
			if c.takeIn {
				r.ended()
				must.True(t, standstill.Settled())
			}
		}
	}
}
