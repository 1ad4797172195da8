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

// failingReader is a store that returns an error, nil for none.
type failingReader struct{ err error }

func (f failingReader) Rows(context.Context, string) (store.Snapshot, error) {
	return store.Snapshot{}, f.err
}

func (f failingReader) Changes(context.Context, string, store.Position, time.Duration) (store.Snapshot, error) {
	return store.Snapshot{}, f.err
}

// TestStallReader_SettlesOnceTheResponseIsApplied guards against treating the state as current when
// a response has arrived but isn't applied, or when the history is lost and the whole table is yet
// to be read. A failed poll ends the wait, since nothing newer is available.
func TestStallReader_SettlesOnceTheResponseIsApplied(t *testing.T) {
	for _, c := range []struct {
		err              error
		onReply, onApply bool
	}{
		{nil, false, true},
		{errors.New("no response"), true, true},
		{&store.HistoryLostError{Table: "t"}, false, false},
	} {
		for _, all := range []bool{false, true} {
			now := time.Unix(1000, 0)
			stall := placement.NewStallDetector(func() time.Time { return now }, func(time.Duration) {})
			r := &stallReader{reader: failingReader{c.err}, stall: stall}
			now = now.Add(time.Minute)
			must.False(t, stall.Fresh())
			if all {
				r.Rows(t.Context(), "t")
			} else {
				r.Changes(t.Context(), "t", store.At(0, 1), 0)
			}
			must.EqOp(t, c.onReply, stall.Fresh(), must.Sprint(c.err, all))
			if c.onApply {
				r.done()
				must.True(t, stall.Fresh())
			}
		}
	}
}
