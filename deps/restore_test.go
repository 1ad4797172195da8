package deps

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/pointpass/pointpass/common/clock"
	"github.com/pointpass/pointpass/platform"
	"github.com/pointpass/pointpass/quarantine"
	"github.com/pointpass/pointpass/replica"
	"github.com/pointpass/pointpass/store"
)

// TestRestore_ClosedHallStaysClosedDuringRetention guards against an older copy of the store that
// opens a closed hall before the operator has closed it again.
func TestRestore_ClosedHallStaysClosedDuringRetention(t *testing.T) {
	e, _ := newColdEdge(t)
	update := store.Update{Full: true, Restored: true, At: store.At(2, 9), Evidence: clock.Now()}
	e.followers.caches[platform.ConfigTable].Apply(update)
	e.updateHalls(update)
	must.False(t, e.Placement.Open("h1"))
	e.updateHalls(store.Update{At: store.At(2, 9), Evidence: clock.Now()})
	must.False(t, e.Placement.Open("h1"))
	e.hallsRetainedUntil = clock.Now().Add(-time.Millisecond)
	e.updateHalls(store.Update{At: store.At(2, 10), Evidence: clock.Now()})
	must.True(t, e.Placement.Open("h1"), must.Sprint("the operator did not close it again"))
}

// TestRestore_HeldRequestStaysHeldAndIsRewritten guards against sending a request to workers that
// it crashes, since an older copy of the store lacks its hold.
func TestRestore_HeldRequestStaysHeldAndIsRewritten(t *testing.T) {
	e, _ := newColdEdge(t)
	k := quarantine.NewKey()
	h := quarantine.Hold{Fingerprint: quarantine.Fingerprint{1}, Charge: 3}
	rows := []store.Row{
		{Key: "node/e1", Value: []byte(`{"addr":"10.1.0.4:83"}`), At: store.At(1, 3)},
		{Key: "lease", Value: []byte(`{"holder":"e1","term":3}`), At: store.At(1, 4)},
	}
	for i, w := range append(quarantine.FirstKey(replica.LeaseTable, k).Writes, quarantine.StoreHold(replica.LeaseTable, h).Writes...) {
		rows = append(rows, store.Row{Key: w.Key, Value: w.Value, At: store.At(1, uint64(5+i))})
	}
	e.followers.applyControl(store.Update{Full: true, Rows: rows, At: store.At(1, 9), Evidence: clock.Now()})
	_, held := e.Guard.Held(h.Fingerprint)
	must.True(t, held)

	e.followers.applyControl(store.Update{Full: true, Restored: true, Rows: rows[:2], At: store.At(2, 4), Evidence: clock.Now()})
	_, held = e.Guard.Held(h.Fingerprint)
	must.True(t, held)
	due := e.quarantine.dueHolds(clock.Now())
	must.Len(t, 1, due)
	must.EqOp(t, h.Fingerprint, due[0].Fingerprint)
	kept, ok := e.Guard.Key()
	must.True(t, ok)
	must.EqOp(t, k, kept, must.Sprint("a new key would change all fingerprints"))
}

// TestRestore_OlderConfigurationIsNotRelayed guards against relaying an older configuration after a
// restore: a daemon that starts then would accept a withdrawn key.
func TestRestore_OlderConfigurationIsNotRelayed(t *testing.T) {
	config := func(version, at uint64) store.Row {
		return store.Row{Key: "config", Value: fmt.Appendf(nil, `{"version":%d}`, version), At: store.At(at/100, at)}
	}
	other := store.Row{Key: "evacuate/h1", Value: []byte("{}"), At: store.At(2, 240)}
	for _, c := range []struct {
		name               string
		cached, read, want []store.Row
	}{
		{"an older version", []store.Row{config(9, 150)}, []store.Row{config(7, 230), other}, []store.Row{{Key: "config", Value: config(9, 0).Value, At: store.At(2, 230)}, other}},
		{"the same version", []store.Row{config(9, 150)}, []store.Row{config(9, 230), other}, []store.Row{config(9, 230), other}},
		{"a newer version", []store.Row{config(9, 150)}, []store.Row{config(10, 230)}, []store.Row{config(10, 230)}},
		{"none", []store.Row{config(9, 150)}, []store.Row{other}, []store.Row{other, {Key: "config", Value: config(9, 0).Value, At: store.At(2, 250)}}},
		{"an unreadable row", []store.Row{config(9, 150)}, []store.Row{{Key: "config", Value: []byte("{"), At: store.At(2, 230)}}, []store.Row{{Key: "config", Value: config(9, 0).Value, At: store.At(2, 230)}}},
		{"nothing cached", nil, []store.Row{config(7, 230)}, []store.Row{config(7, 230)}},
	} {
		must.Eq(t, c.want, keepConfig(c.cached, store.Update{Rows: c.read, At: store.At(2, 250)}), must.Sprint(c.name))
	}
}
