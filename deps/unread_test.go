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

// TestUnread_EachEntryIsLoggedOnce for each time that it can't be read.
func TestUnread_EachEntryIsLoggedOnce(t *testing.T) {
	var out bytes.Buffer
	u := newUnreadEntries(metrics.NewSet(), &log.Logger{Writer: &log.IOWriter{Writer: &out}})
	bad := []*platform.RowError{{Table: "servers", Key: "i-1", Err: errors.New("garbage")}}
	lines := func() int { return strings.Count(out.String(), "worker_unreadable") }
	u.note(bad, nil, []string{"i-1"})
	u.note(bad, nil, []string{"i-1"})
	must.EqOp(t, 1, lines())
	must.EqOp(t, 1, u.counter.Get())
	u.note(nil, []workers.Worker{{ID: "i-1"}}, nil)
	u.note(bad, nil, []string{"i-1"})
	must.EqOp(t, 2, lines())
	u.note(nil, nil, []string{"i-1"})
	u.note(bad, nil, []string{"i-1"})
	must.EqOp(t, 3, lines())
}
