package quarantine

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/pointpass/pointpass/store"
)

// watched is a guard with a clock of the test's.
func watched() (*Guard, *time.Time) {
	now := noon
	return NewGuard(func() time.Time { return now }), &now
}

func stored(n int, version uint64) Hold { return Hold{Fingerprint: print(n), Version: version} }

func TestGuard_AnAnnouncementCountsUntilItsRowShows(t *testing.T) {
	g, now := watched()
	must.False(t, g.Active())
	must.True(t, g.Announce(stored(1, 0)))
	must.False(t, g.Announce(stored(1, 0)), must.Sprint("it is known"))
	must.True(t, g.Active())
	*now = now.Add(unconfirmedLife)
	_, held := g.Held(print(1))
	must.True(t, held)
	began, ended := g.Learn([]Hold{stored(1, 9)})
	must.SliceLen(t, 1, began)
	must.SliceEmpty(t, ended)
	*now = now.Add(time.Hour)
	h, held := g.Held(print(1))
	must.True(t, held)
	must.EqOp(t, 9, h.Version)
	must.False(t, g.Announce(stored(1, 0)), must.Sprint("its row counts"))
}

func TestGuard_AnAnnouncementWithoutARowEnds(t *testing.T) {
	g, now := watched()
	g.Announce(stored(1, 0))
	*now = now.Add(unconfirmedLife / 2)
	_, ended := g.Learn(nil)
	must.SliceEmpty(t, ended, must.Sprint("rows of before it"))
	g.Announce(stored(1, 0)) // again, as its row can't be stored
	*now = now.Add(unconfirmedLife)
	_, held := g.Held(print(1))
	must.True(t, held)
	*now = now.Add(time.Millisecond)
	_, held = g.Held(print(1))
	must.False(t, held)
}

func TestGuard_ARowThatIsGoneReleases(t *testing.T) {
	g, _ := watched()
	g.Learn([]Hold{stored(1, 9), stored(2, 10)})
	_, ended := g.Learn([]Hold{stored(2, 10)})
	must.Eq(t, []Fingerprint{print(1)}, []Fingerprint{ended[0].Fingerprint})
	_, held := g.Held(print(1))
	must.False(t, held)
	g.Learn(nil)
	must.False(t, g.Active())
}

// TestGuard_KnowsBetterWhereARequestEndedWell: others hold back what ended well here.
func TestGuard_KnowsBetterWhereARequestEndedWell(t *testing.T) {
	g, _ := watched()
	g.Finish(print(1))
	g.Learn([]Hold{stored(1, 9), stored(2, 10)})
	_, held := g.Held(print(1))
	must.False(t, held)
	_, held = g.Held(print(2))
	must.True(t, held)
	for n := range 2 * mostFinished {
		g.Finish(print(n + 10))
	}
	must.False(t, g.Finished(print(1)), must.Sprint("what is remembered is bounded"))
	must.True(t, g.Finished(print(2*mostFinished+9)))
	must.LessEq(t, 2*mostFinished, len(g.finished)+len(g.finishedBefore))
}

func rowOf(w store.Write, version uint64) store.Row {
	return store.Row{Key: w.Key, Value: w.Value, At: store.At(0, version)}
}

func TestRows_TellWhatWasStored(t *testing.T) {
	k := NewKey()
	h := Hold{Fingerprint: print(1), Charge: 3, Workers: []string{"w1"}, SinceMs: 5000}
	rows := []store.Row{
		{Key: "lease", Value: []byte("{}")},
		rowOf(FirstKey("control", k).Writes[0], 4),
		rowOf(Store("control", h).Writes[0], 5),
	}
	found, is, err := KeyIn(rows)
	must.NoError(t, err)
	must.True(t, is)
	must.EqOp(t, k, found)
	h.Version = 5
	holds, err := HeldIn(rows)
	must.NoError(t, err)
	must.Eq(t, []Hold{h}, holds)
	must.EqOp(t, rows[2].Key, Remove("control", holds).Deletes[0].Key)
}

// TestRows_OneThatCantBeReadTakesNoneWithIt also covers rows of other writers.
func TestRows_OneThatCantBeReadTakesNoneWithIt(t *testing.T) {
	rows := []store.Row{
		{Key: heldPrefix + "nothing", Value: []byte("{}"), At: store.At(0, 1)},
		{Key: heldPrefix + print(1).String(), Value: []byte(`{"charge":"three"`), At: store.At(0, 2)},
		rowOf(Store("control", Hold{Fingerprint: print(2)}).Writes[0], 3),
	}
	holds, err := HeldIn(rows)
	must.ErrorContains(t, err, heldPrefix)
	must.SliceLen(t, 2, holds, must.Sprint("a name alone holds a request back"))
	for _, value := range []string{"", "{", `{"key":"c2hvcnQ="}`} {
		_, is, err := KeyIn([]store.Row{{Key: keyRow, Value: []byte(value)}})
		must.False(t, is)
		must.ErrorContains(t, err, keyRow)
	}
}

func TestOverdue_TellsWhatIsTooOldOrTooMuch(t *testing.T) {
	day := int64(Length / time.Millisecond)
	rows := []Hold{{Fingerprint: print(1), SinceMs: day, Version: 1}, {Fingerprint: print(2), SinceMs: 10, Version: 2}, {Fingerprint: print(3), SinceMs: 5}}
	must.Eq(t, []Hold{rows[1]}, Overdue(rows, Length+time.Second))
	var many []Hold
	for n := range mostHeld + 3 {
		many = append(many, Hold{Fingerprint: print(n), SinceMs: int64(n), Version: 1})
	}
	must.Eq(t, many[:3], Overdue(many, time.Minute))
}
