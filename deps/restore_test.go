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

// A data hall that the operator closed is opened by an older copy of the store, before the
// operator has closed it again.
func TestRestore_AClosedHallStaysClosedForAWhile(t *testing.T) {
	e, _ := newColdEdge(t)
	update := store.Update{Full: true, Restored: true, At: store.At(2, 9), Evidence: clock.Now()}
	e.following.caches[platform.ConfigTable].Apply(update)
	e.followHalls(update)
	must.False(t, e.Placement.Open("h1"))
	e.followHalls(store.Update{At: store.At(2, 9), Evidence: clock.Now()})
	must.False(t, e.Placement.Open("h1"))
	e.hallsConfirmed = clock.Now().Add(-time.Millisecond)
	e.followHalls(store.Update{At: store.At(2, 10), Evidence: clock.Now()})
	must.True(t, e.Placement.Open("h1"), must.Sprint("the operator didn't close it again"))
}

// A request that crashes workers gets to them again, since an older copy of the store doesn't
// hold it back.
func TestRestore_AHeldRequestStaysHeldAndIsWrittenAgain(t *testing.T) {
	e, _ := newColdEdge(t)
	k := quarantine.NewKey()
	h := quarantine.Hold{Fingerprint: quarantine.Fingerprint{1}, Charge: 3}
	rows := []store.Row{
		{Key: "node/e1", Value: []byte(`{"addr":"10.1.0.4:83"}`), At: store.At(1, 3)},
		{Key: "lease", Value: []byte(`{"holder":"e1","term":3}`), At: store.At(1, 4)},
	}
	for i, w := range append(quarantine.FirstKey(replica.LeaseTable, k).Writes, quarantine.Store(replica.LeaseTable, h).Writes...) {
		rows = append(rows, store.Row{Key: w.Key, Value: w.Value, At: store.At(1, uint64(5+i))})
	}
	e.following.applyControl(store.Update{Full: true, Rows: rows, At: store.At(1, 9), Evidence: clock.Now()})
	_, held := e.Guard.Held(h.Fingerprint)
	must.True(t, held)

	e.following.applyControl(store.Update{Full: true, Restored: true, Rows: rows[:2], At: store.At(2, 4), Evidence: clock.Now()})
	_, held = e.Guard.Held(h.Fingerprint)
	must.True(t, held)
	due := e.quarantine.dueHolds(clock.Now())
	must.Len(t, 1, due)
	must.EqOp(t, h.Fingerprint, due[0].Fingerprint)
	kept, known := e.Guard.Key()
	must.True(t, known)
	must.EqOp(t, k, kept, must.Sprint("another key would make other fingerprints"))
}

// A daemon that starts after a restore takes a key that was withdrawn, since those whom it
// reads the table from pass on the older configuration.
func TestRestore_AnOlderConfigurationIsNotPassedOn(t *testing.T) {
	config := func(version, at uint64) store.Row {
		return store.Row{Key: "config", Value: fmt.Appendf(nil, `{"version":%d}`, version), At: store.At(at/100, at)}
	}
	other := store.Row{Key: "evacuate/h1", Value: []byte("{}"), At: store.At(2, 240)}
	for _, c := range []struct {
		name                string
		known, read, wanted []store.Row
	}{
		{"an older one", []store.Row{config(9, 150)}, []store.Row{config(7, 230), other}, []store.Row{{Key: "config", Value: config(9, 0).Value, At: store.At(2, 230)}, other}},
		{"the same", []store.Row{config(9, 150)}, []store.Row{config(9, 230), other}, []store.Row{config(9, 230), other}},
		{"one that was written again", []store.Row{config(9, 150)}, []store.Row{config(10, 230)}, []store.Row{config(10, 230)}},
		{"none", []store.Row{config(9, 150)}, []store.Row{other}, []store.Row{other, {Key: "config", Value: config(9, 0).Value, At: store.At(2, 250)}}},
		{"one that can't be read", []store.Row{config(9, 150)}, []store.Row{{Key: "config", Value: []byte("{"), At: store.At(2, 230)}}, []store.Row{{Key: "config", Value: config(9, 0).Value, At: store.At(2, 230)}}},
		{"nothing known", nil, []store.Row{config(7, 230)}, []store.Row{config(7, 230)}},
	} {
		must.Eq(t, c.wanted, keepConfig(c.known, store.Update{Rows: c.read, At: store.At(2, 250)}), must.Sprint(c.name))
	}
}
