package relay

import (
	"errors"
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/pointpass/pointpass/store"
)

func rowAt(key string, version uint64) store.Row {
	return store.Row{Key: key, Value: []byte(fmt.Sprint(key, version)), At: store.At(0, version)}
}

func changesSince(t *testing.T, c *Cache, since uint64) ([]store.Row, error) {
	s, err := c.Changes(t.Context(), store.At(0, since), 0)
	return s.Rows, err
}

// TestCache_TellsWhatChangedWhileItReadAnew: a store that dropped its history has the cache
// read all rows; those who followed it are told what differs and read nothing anew.
func TestCache_TellsWhatChangedWhileItReadAnew(t *testing.T) {
	c := NewCache("t", time.Minute, time.Now).TellDifferences()
	c.Apply(store.Update{Full: true, At: store.At(0, 5), Rows: []store.Row{rowAt("kept", 1), rowAt("gone", 2), rowAt("other", 5)}, Evidence: time.Now()})
	c.Apply(store.Update{At: store.At(0, 6), Rows: []store.Row{rowAt("last", 6)}, Evidence: time.Now()})
	c.Apply(store.Update{Full: true, At: store.At(0, 20), Rows: []store.Row{rowAt("kept", 1), rowAt("last", 6), rowAt("other", 15), rowAt("new", 12), rowAt("later", 21)}, Evidence: time.Now()})

	rows, err := changesSince(t, c, 6)
	must.NoError(t, err)
	must.Eq(t, []store.Row{rowAt("new", 12), rowAt("other", 15), {Key: "gone", At: store.At(0, 20), Deleted: true}}, rows)
	rows, err = changesSince(t, c, 5)
	must.NoError(t, err)
	must.Len(t, 4, rows, must.Sprint("what it knew before is still told"))
	var lost *store.HistoryLostError
	for _, within := range []uint64{7, 19} {
		_, err = changesSince(t, c, within)
		must.True(t, errors.As(err, &lost), must.Sprint("somebody else told them of rows that may have gone since: ", within))
	}
	rows, err = changesSince(t, c, 20)
	must.NoError(t, err)
	must.SliceEmpty(t, rows)
	c.Apply(store.Update{At: store.At(0, 22), Rows: []store.Row{rowAt("later", 21), rowAt("more", 22)}, Evidence: time.Now()})
	rows, err = changesSince(t, c, 20)
	must.NoError(t, err)
	must.Eq(t, []store.Row{rowAt("later", 21), rowAt("more", 22)}, rows)
}

// TestCache_ForgetsOldGapsWithWhatWasBefore: however often rows are read anew, nobody is told
// less than changed.
func TestCache_ForgetsOldGapsWithWhatWasBefore(t *testing.T) {
	c := NewCache("t", time.Minute, time.Now).TellDifferences()
	for i := range uint64(mostGaps + 3) {
		c.Apply(store.Update{Full: true, At: store.At(0, 10*(i+1)), Rows: []store.Row{rowAt("r", 10*(i+1))}, Evidence: time.Now()})
	}
	var lost *store.HistoryLostError
	_, err := changesSince(t, c, 15)
	must.True(t, errors.As(err, &lost))
	_, err = changesSince(t, c, 10*(mostGaps+3)-5)
	must.True(t, errors.As(err, &lost))
	rows, err := changesSince(t, c, 10*(mostGaps+2))
	must.NoError(t, err)
	must.Len(t, 1, rows)
}

// TestCache_WhoIsNotAskedKeepsNoHistory: only the rows, so that it can be asked for them.
func TestCache_WhoIsNotAskedKeepsNoHistory(t *testing.T) {
	c := NewCache("t", time.Minute, time.Now).TellDifferences()
	c.Remember(false)
	for i := range uint64(100) {
		c.Apply(store.Update{Full: i == 0, At: store.At(0, i+1), Rows: []store.Row{rowAt("r", i+1)}, Evidence: time.Now()})
	}
	must.SliceEmpty(t, c.changes)
	var lost *store.HistoryLostError
	_, err := changesSince(t, c, 99)
	must.True(t, errors.As(err, &lost))
	rows, err := changesSince(t, c, 100)
	must.NoError(t, err)
	must.SliceEmpty(t, rows)
	s, known := c.Rows()
	must.True(t, known)
	must.Eq(t, []store.Row{rowAt("r", 100)}, s.Rows)
	c.Remember(true)
	c.Apply(store.Update{At: store.At(0, 101), Rows: []store.Row{rowAt("r", 101)}, Evidence: time.Now()})
	rows, err = changesSince(t, c, 100)
	must.NoError(t, err)
	must.Len(t, 1, rows)
}
