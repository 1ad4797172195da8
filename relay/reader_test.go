package relay

import (
	"context"
	"errors"
	"net/http"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/pointpass/pointpass/store"
)

// asked is a store and other daemons that answer by script.
type asked struct {
	relays  bool
	holds   []time.Duration // of the questions to daemons
	now     time.Time
	answers map[string]func() (store.Snapshot, error)
	calls   []string
}

func (a *asked) answer(name string) (store.Snapshot, error) {
	a.calls = append(a.calls, name)
	return a.answers[name]()
}

func (a *asked) Rows(context.Context, string) (store.Snapshot, error) { return a.answer("store") }

func (a *asked) Changes(context.Context, string, store.Position, time.Duration) (store.Snapshot, error) {
	return a.answer("store")
}

type askedPeers struct{ *asked }

func (a askedPeers) Changes(_ context.Context, addr, _ string, _ store.Position, wait time.Duration) (store.Snapshot, error) {
	a.holds = append(a.holds, wait)
	return a.answer(addr)
}

func newTestReader(answers map[string]func() (store.Snapshot, error)) (*Reader, *asked) {
	a := &asked{now: time.Unix(1000, 0), answers: answers}
	upstreams := func() []Member { return []Member{{Name: "first", Addr: "first"}, {Name: "second", Addr: "second"}} }
	return NewReader(ReaderOptions{
		Direct:    a,
		Peers:     askedPeers{a},
		Upstreams: upstreams,
		Relays:    func() bool { return a.relays },
		MostAge:   testAges,
		InTouch:   func() time.Duration { return testInTouch },
		Now:       func() time.Time { return a.now },
		Log:       quiet,
	}), a
}

func young(version uint64) func() (store.Snapshot, error) {
	return func() (store.Snapshot, error) {
		return store.Snapshot{At: store.At(0, version), Evidence: time.Unix(999, 500e6)}, nil
	}
}

func failing() (store.Snapshot, error) {
	return store.Snapshot{}, &CallError{Err: http.ErrServerClosed}
}

func stale() (store.Snapshot, error) {
	return store.Snapshot{At: store.At(0, 50), Evidence: time.Unix(1000, 0).Add(-testAge - time.Millisecond)}, nil
}

func TestReader_GoesOnToTheNextAndTheStore(t *testing.T) {
	for _, c := range []struct {
		name          string
		first, second func() (store.Snapshot, error)
		calls         []string
		direct        bool
	}{
		{"sound", young(9), young(9), []string{"first"}, false},
		{"first fails", failing, young(9), []string{"first", "second"}, false},
		{"first stale", stale, young(9), []string{"first", "second"}, false},
		{"both fail", failing, failing, []string{"first", "second", "store"}, true},
		{"first fails, second stale", failing, stale, []string{"first", "second", "store"}, false},
		{"both stale", stale, stale, []string{"first", "second", "store"}, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			r, a := newTestReader(map[string]func() (store.Snapshot, error){"first": c.first, "second": c.second, "store": young(9)})
			_, err := r.Changes(t.Context(), "t", store.At(0, 5), time.Second)
			must.NoError(t, err)
			must.Eq(t, c.calls, a.calls)
			must.EqOp(t, c.direct, r.Direct())
		})
	}
}

// TestReader_AsksTheNextWithoutAHold: the daemon that failed may have stood still for the
// whole of a held question, and what changed meanwhile has to be known soon.
func TestReader_AsksTheNextWithoutAHold(t *testing.T) {
	r, a := newTestReader(map[string]func() (store.Snapshot, error){"first": failing, "second": young(9), "store": young(9)})
	_, err := r.Changes(t.Context(), "t", store.At(0, 5), time.Second)
	must.NoError(t, err)
	must.Eq(t, []time.Duration{time.Second, 0}, a.holds)
	_, err = r.Changes(t.Context(), "t", store.At(0, 5), time.Second)
	must.NoError(t, err)
	must.Eq(t, []time.Duration{time.Second, 0, time.Second}, a.holds)
}

// TestReader_SparesAStoreThatNobodyHeardFrom has both relays and the daemon behind them
// lose the store for a minute. It is asked now and then, and what a relay says counts
// again as soon as that is young.
func TestReader_SparesAStoreThatNobodyHeardFrom(t *testing.T) {
	r, a := newTestReader(map[string]func() (store.Snapshot, error){"first": stale, "second": stale, "store": failing})
	var asked []time.Time
	for range 600 {
		a.calls = nil
		_, err := r.Changes(t.Context(), "t", store.At(0, 5), time.Second)
		must.Error(t, err)
		if len(a.calls) > 2 {
			asked = append(asked, a.now)
			must.Eq(t, []string{"first", "second", "store"}, a.calls)
		} else {
			must.Eq(t, []string{"first"}, a.calls, must.Sprint("others were asked lately"))
		}
		a.now = a.now.Add(100 * time.Millisecond)
	}
	must.EqOp(t, time.Unix(1000, 0), asked[0])
	length := firstAway
	for i, at := range asked[1:] {
		must.Between(t, length/2, at.Sub(asked[i]), length+100*time.Millisecond)
		length = min(2*length, testInTouch-directCall)
	}
	a.answers["first"] = func() (store.Snapshot, error) { return store.Snapshot{At: store.At(0, 9), Evidence: a.now}, nil }
	a.calls = nil
	_, err := r.Changes(t.Context(), "t", store.At(0, 5), time.Second)
	must.NoError(t, err)
	must.Eq(t, []string{"first"}, a.calls)
}

// TestReader_LeavesTimeToBeInTouch: a daemon that the store serves again has to be in
// touch in the time that its deployment says, three seconds at the least at the sites
// known, a call included.
func TestReader_LeavesTimeToBeInTouch(t *testing.T) {
	const call = 700 * time.Millisecond
	for inTouch := 3 * time.Second; inTouch <= 8*time.Second; inTouch += time.Second {
		r, a := newTestReader(map[string]func() (store.Snapshot, error){"first": stale, "second": stale, "store": failing})
		r.opts.InTouch = func() time.Duration { return inTouch }
		for range 20 {
			a.now = r.away.until
			r.askStore(t.Context(), "t", store.At(0, 5), time.Second)
			must.LessEq(t, inTouch, r.away.until.Sub(a.now)+call, must.Sprint(inTouch))
		}
	}
}

// TestReader_SparesTheStoreForAllTables: while the store is away the tables of a daemon
// don't each cost a call.
func TestReader_SparesTheStoreForAllTables(t *testing.T) {
	r, a := newTestReader(map[string]func() (store.Snapshot, error){"first": stale, "second": stale, "store": failing})
	for range 80 { // 8 s
		for _, table := range []string{"t", "u", "v"} {
			_, err := r.Changes(t.Context(), table, store.At(0, 5), time.Second)
			must.Error(t, err)
		}
		a.now = a.now.Add(100 * time.Millisecond)
	}
	calls := 0
	for _, name := range a.calls {
		if name == "store" {
			calls++
		}
	}
	must.Between(t, 3, calls, 6)
}

// TestReader_WaitsForADaemonThatHasStarted: after a loss of power the daemon that
// relays knows nothing yet. It is asked to hold the question, and it isn't left out
// for that.
func TestReader_WaitsForADaemonThatHasStarted(t *testing.T) {
	empty := func() (store.Snapshot, error) { return store.Snapshot{}, &EmptyError{Table: "t"} }
	r, a := newTestReader(map[string]func() (store.Snapshot, error){"first": empty, "second": empty, "store": young(9)})
	_, err := r.Rows(t.Context(), "t")
	must.NoError(t, err)
	must.Eq(t, []string{"first", "second", "store"}, a.calls)
	must.Eq(t, []time.Duration{firstHold, 0}, a.holds)
	a.answers["first"] = young(10)
	_, err = r.Changes(t.Context(), "t", store.At(0, 9), time.Second)
	must.NoError(t, err)
	must.Eq(t, "first", a.calls[len(a.calls)-1])
}

// TestReader_AsksTheStoreThatOnlyRelaysLost is served by the store itself, each time and
// at once: whom it serves has to know what it says.
func TestReader_AsksTheStoreThatOnlyRelaysLost(t *testing.T) {
	r, a := newTestReader(map[string]func() (store.Snapshot, error){"first": stale, "second": stale, "store": young(60)})
	for range 50 {
		for _, table := range []string{"t", "u", "v"} {
			s, err := r.Changes(t.Context(), table, store.At(0, 5), time.Second)
			must.NoError(t, err)
			must.EqOp(t, store.At(0, 60), s.At)
		}
		a.now = a.now.Add(100 * time.Millisecond)
	}
}

// TestReader_OneTableFindsOutForAll: when relays lose the store all tables notice at
// once, and one of them asks whether it is there.
func TestReader_OneTableFindsOutForAll(t *testing.T) {
	r, a := newTestReader(map[string]func() (store.Snapshot, error){"first": stale, "second": stale})
	var during error
	a.answers["store"] = func() (store.Snapshot, error) {
		_, during = r.Changes(t.Context(), "u", store.At(0, 5), time.Second)
		return store.Snapshot{}, &CallError{Err: http.ErrServerClosed}
	}
	_, err := r.Changes(t.Context(), "t", store.At(0, 5), time.Second)
	must.Error(t, err)
	var old *StaleError
	must.True(t, errors.As(during, &old))
}

// TestReader_AsksAFailedDaemonAgainLater bounds what a daemon that is gone for good
// costs the others.
func TestReader_AsksAFailedDaemonAgainLater(t *testing.T) {
	r, a := newTestReader(map[string]func() (store.Snapshot, error){"first": failing, "second": young(9), "store": young(9)})
	for range 600 {
		_, err := r.Changes(t.Context(), "t", store.At(0, 5), time.Second)
		must.NoError(t, err)
		a.now = a.now.Add(100 * time.Millisecond)
		a.answers["second"] = func() (store.Snapshot, error) { return store.Snapshot{At: store.At(0, 9), Evidence: a.now}, nil }
	}
	tries := 0
	for _, name := range a.calls {
		if name == "first" {
			tries++
		}
	}
	must.Between(t, 4, tries, 6)
	a.answers["first"] = a.answers["second"]
	a.now = a.now.Add(mostAvoid)
	a.calls = nil
	r.Changes(t.Context(), "t", store.At(0, 5), time.Second)
	r.Changes(t.Context(), "t", store.At(0, 5), time.Second)
	must.Eq(t, []string{"first", "first"}, a.calls)
}

// TestReader_TakesNoOlderRows keeps a whole table from going back to what a daemon
// knew that is behind.
func TestReader_TakesNoOlderRows(t *testing.T) {
	r, a := newTestReader(map[string]func() (store.Snapshot, error){"first": young(20), "second": young(9), "store": young(21)})
	_, err := r.Rows(t.Context(), "t")
	must.NoError(t, err)
	a.answers["first"] = young(19)
	s, err := r.Rows(t.Context(), "t")
	must.NoError(t, err)
	must.EqOp(t, store.At(0, 21), s.At)
	must.Eq(t, []string{"first", "first", "second", "store"}, a.calls)
}

func TestReader_LostHistoryIsNobodysFault(t *testing.T) {
	lost := func() (store.Snapshot, error) { return store.Snapshot{}, &store.HistoryLostError{Table: "t"} }
	r, _ := newTestReader(map[string]func() (store.Snapshot, error){"first": lost, "second": young(9), "store": young(9)})
	var want *store.HistoryLostError
	_, err := r.Changes(t.Context(), "t", store.At(0, 5), time.Second)
	must.True(t, errors.As(err, &want))
	must.False(t, r.Direct())
}

// TestReader_ReadsAnewAtOnceWhereHistoryIsLost: a store that forgot its history has
// answered, and is asked for all rows without a pause.
func TestReader_ReadsAnewAtOnceWhereHistoryIsLost(t *testing.T) {
	lost := func() (store.Snapshot, error) { return store.Snapshot{}, &store.HistoryLostError{Table: "t"} }
	r, a := newTestReader(map[string]func() (store.Snapshot, error){"first": stale, "second": stale, "store": lost})
	var want *store.HistoryLostError
	_, err := r.Changes(t.Context(), "t", store.At(0, 5), time.Second)
	must.True(t, errors.As(err, &want))
	a.answers["store"] = young(60)
	s, err := r.Rows(t.Context(), "t")
	must.NoError(t, err)
	must.EqOp(t, store.At(0, 60), s.At)
}
