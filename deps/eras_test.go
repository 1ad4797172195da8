package deps

import (
	"errors"
	"testing"

	"github.com/VictoriaMetrics/metrics"
	"github.com/phuslu/log"
	"github.com/shoenig/test/must"

	"github.com/pointpass/pointpass/store"
)

func snapshotOf(era uint64) store.Snapshot {
	return store.Snapshot{At: store.At(era, 9), Rows: []store.Row{{Key: "a", At: store.At(era, 5)}}}
}

// TestEraTracker_NewestEraWins guards against treating a response of an earlier era, or one without
// an era, as the newest state.
func TestEraTracker_NewestEraWins(t *testing.T) {
	e := newEraTracker(metrics.NewSet(), &log.Logger{Level: log.PanicLevel})
	for _, c := range []struct {
		name           string
		reported, want uint64
		backward       bool
	}{
		{"a store without eras", 0, 0, false},
		{"the first era", 3, 3, false},
		{"missing", 0, 3, false},
		{"after a restore", 4, 4, false},
		{"an earlier era", 3, 0, true},
		{"the same era again", 4, 4, false},
	} {
		s, err := e.resolve(snapshotOf(c.reported), nil)
		var backward *eraError
		must.EqOp(t, c.backward, errors.As(err, &backward), must.Sprint(c.name))
		if !c.backward {
			must.Eq(t, snapshotOf(c.want), s, must.Sprint(c.name))
		}
	}
	must.EqOp(t, 4, e.Newest())
}

// TestEraTracker_ReadsErasOfErrors guards against missing a later era that an error response
// carries, and against counting an error without a response as an era.
func TestEraTracker_ReadsErasOfErrors(t *testing.T) {
	e := newEraTracker(metrics.NewSet(), &log.Logger{Level: log.PanicLevel})
	e.resolve(store.Snapshot{}, &store.HistoryLostError{Era: 2})
	must.EqOp(t, 2, e.Newest())
	e.resolve(store.Snapshot{}, &store.ConflictError{Era: 3})
	must.EqOp(t, 3, e.Newest())
	_, err := e.resolve(store.Snapshot{}, &store.CallError{Op: "rows"})
	var backward *eraError
	must.False(t, errors.As(err, &backward))
}
