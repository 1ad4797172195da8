package relay

import (
	"errors"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/pointpass/pointpass/store"
)

// inEra returns a row that changed at a version of an era.
func inEra(key string, era, version uint64) store.Row {
	return store.Row{Key: key, Value: []byte(key), At: store.At(era, version)}
}

// Guards against rows that a restore of the store has rolled back staying in a cache or
// being served.
func TestCache_NewEraReplacesRows(t *testing.T) {
	for _, sendDiffs := range []bool{false, true} {
		c := NewCache("t", testMaxAge, time.Now)
		c.sendDiffs = sendDiffs
		c.Apply(store.Update{Full: true, At: store.At(1, 90), Clock: time.Hour, Rows: []store.Row{inEra("kept", 1, 5), inEra("lost", 1, 90)}})
		c.Apply(store.Update{Full: true, At: store.At(2, 40), Clock: time.Minute, Rows: []store.Row{inEra("kept", 2, 5)}})
		c.Apply(store.Update{At: store.At(1, 91), Rows: []store.Row{inEra("late", 1, 91)}})
		snapshot, _ := c.Rows()
		must.Eq(t, []store.Row{inEra("kept", 2, 5)}, snapshot.Rows)
		must.EqOp(t, store.At(2, 40), snapshot.At)
		must.EqOp(t, time.Minute, snapshot.Clock, must.Sprint("the clock may differ after a restore"))

		var lost *store.HistoryLostError
		_, err := c.Changes(t.Context(), store.At(1, 90), 0)
		must.True(t, errors.As(err, &lost))
		must.EqOp(t, 2, lost.Era)
		var empty *EmptyError
		_, err = c.Changes(t.Context(), store.At(3, 10), 0)
		must.True(t, errors.As(err, &empty), must.Sprint("the cache has no data of that era"))
		s, err := c.Changes(t.Context(), store.At(2, 40), 0)
		must.NoError(t, err)
		must.SliceEmpty(t, s.Rows)
	}
}

// Guards against a daemon taking an answer of another history for a continuation because
// the versions match.
func TestClient_TransfersEra(t *testing.T) {
	c := NewCache("t", testMaxAge, time.Now)
	c.Apply(store.Update{Full: true, At: store.At(2, 40), Evidence: time.Now(), Rows: []store.Row{inEra("a", 2, 5)}})
	addr, _ := serve(t, c, time.Now)
	client := newTestClient(t, time.Now)
	s, err := client.Changes(t.Context(), addr, "t", store.Position{}, 0)
	must.NoError(t, err)
	must.EqOp(t, store.At(2, 40), s.At)
	must.Eq(t, []store.Row{inEra("a", 2, 5)}, s.Rows)
	var lost *store.HistoryLostError
	_, err = client.Changes(t.Context(), addr, "t", store.At(1, 40), 0)
	must.True(t, errors.As(err, &lost))
	must.EqOp(t, 2, lost.Era)
}

// answerAt returns an answer without rows as of a position.
func answerAt(p store.Position) func() (store.Snapshot, error) {
	return func() (store.Snapshot, error) {
		return store.Snapshot{At: p, Evidence: time.Unix(1000, 0)}, nil
	}
}

// Guards against a daemon that has detected a restore reading all rows from relays that
// haven't, and against all daemons reading them from the store.
func TestReader_RejectsRowsOfEarlierEra(t *testing.T) {
	for _, relays := range []bool{true, false} {
		r, a := newTestReader(map[string]func() (store.Snapshot, error){
			"first":  answerAt(store.At(1, 90)),
			"second": answerAt(store.At(0, 90)),
			"store":  answerAt(store.At(2, 40)),
		})
		a.relays = relays
		r.recordEra("t", 2)
		var empty *EmptyError
		if _, err := r.Rows(t.Context(), "t"); !relays {
			must.True(t, errors.As(err, &empty), must.Sprint("the relays read it first"))
			a.now = a.now.Add(relayCatchUpDelay)
		}
		s, err := r.Rows(t.Context(), "t")
		must.NoError(t, err)
		must.EqOp(t, store.At(2, 40), s.At)
	}
}

// Guards against an answer of the store from a version that it has reused in another era.
func TestReader_AnswerOfAnotherEraIsNoContinuation(t *testing.T) {
	r, _ := newTestReader(map[string]func() (store.Snapshot, error){"first": failedCall, "second": failedCall, "store": answerAt(store.At(2, 99))})
	var lost *store.HistoryLostError
	_, err := r.Changes(t.Context(), "t", store.At(1, 40), time.Second)
	must.True(t, errors.As(err, &lost))
	must.EqOp(t, 2, lost.Era)
}
