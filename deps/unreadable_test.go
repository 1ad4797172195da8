package deps

import (
	"bytes"
	"errors"
	"strings"
	"testing"

	"github.com/VictoriaMetrics/metrics"
	"github.com/phuslu/log"
	"github.com/shoenig/test/must"

	"github.com/pointpass/pointpass/platform"
	"github.com/pointpass/pointpass/workers"
)

// TestUnreadable_LogsEachEntryOnce guards against logging an unreadable entry with each update. It
// is logged again after it was readable or removed.
func TestUnreadable_LogsEachEntryOnce(t *testing.T) {
	var out bytes.Buffer
	u := newUnreadableEntries(metrics.NewSet(), &log.Logger{Writer: &log.IOWriter{Writer: &out}})
	bad := []*platform.RowError{{Table: "servers", Key: "i-1", Err: errors.New("garbage")}}
	lines := func() int { return strings.Count(out.String(), "worker_unreadable") }
	u.record(bad, nil, []string{"i-1"})
	u.record(bad, nil, []string{"i-1"})
	must.EqOp(t, 1, lines())
	must.EqOp(t, 1, u.counter.Get())
	u.record(nil, []workers.Worker{{ID: "i-1"}}, nil)
	u.record(bad, nil, []string{"i-1"})
	must.EqOp(t, 2, lines())
	u.record(nil, nil, []string{"i-1"})
	u.record(bad, nil, []string{"i-1"})
	must.EqOp(t, 3, lines())
}
