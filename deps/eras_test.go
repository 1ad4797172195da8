package deps

import (
	"errors"
	"testing"

	"github.com/VictoriaMetrics/metrics"
	"github.com/phuslu/log"
	"github.com/shoenig/test/must"

	"github.com/pointpass/pointpass/store"
)

func told(era uint64) store.Snapshot {
	return store.Snapshot{At: store.At(era, 9), Rows: []store.Row{{Key: "a", At: store.At(era, 5)}}}
}

// An answer of an earlier era, or one that tells none, is taken for the latest word.
func TestEras_TheNewestCounts(t *testing.T) {
	e := newEras(metrics.NewSet(), &log.Logger{Level: log.PanicLevel})
	for _, c := range []struct {
		name         string
		told, placed uint64
		back         bool
	}{
		{"a store that tells none", 0, 0, false},
		{"the first one told", 3, 3, false},
		{"missing", 0, 3, false},
		{"after a restore", 4, 4, false},
		{"one that goes back", 3, 0, true},
		{"as before", 4, 4, false},
	} {
		s, err := e.place(told(c.told), nil)
		var back *eraError
		must.EqOp(t, c.back, errors.As(err, &back), must.Sprint(c.name))
		if !c.back {
			must.Eq(t, told(c.placed), s, must.Sprint(c.name))
		}
	}
	must.EqOp(t, 4, e.Newest())
}

// A refusal that tells a later era goes unnoticed, or one without an answer counts as one.
func TestEras_RefusalsTellItToo(t *testing.T) {
	e := newEras(metrics.NewSet(), &log.Logger{Level: log.PanicLevel})
	e.place(store.Snapshot{}, &store.HistoryLostError{Era: 2})
	must.EqOp(t, 2, e.Newest())
	e.place(store.Snapshot{}, &store.ConflictError{Era: 3})
	must.EqOp(t, 3, e.Newest())
	_, err := e.place(store.Snapshot{}, &store.CallError{Op: "rows"})
	var back *eraError
	must.False(t, errors.As(err, &back))
}
