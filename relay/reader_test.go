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

// fakeSources is a store and relays with scripted answers.
type fakeSources struct {
	relays  bool
	waits   []time.Duration // waits of the calls to relays
	now     time.Time
	answers map[string]func() (store.Snapshot, error)
	calls   []string
}

func (a *fakeSources) answer(name string) (store.Snapshot, error) {
	a.calls = append(a.calls, name)
	return a.answers[name]()
}

func (a *fakeSources) Rows(context.Context, string) (store.Snapshot, error) { return a.answer("store") }

func (a *fakeSources) Changes(context.Context, string, store.Position, time.Duration) (store.Snapshot, error) {
	return a.answer("store")
}

type fakePeers struct{ *fakeSources }

func (a fakePeers) Changes(_ context.Context, addr, _ string, _ store.Position, wait time.Duration) (store.Snapshot, error) {
	a.waits = append(a.waits, wait)
	return a.answer(addr)
}

func newTestReader(answers map[string]func() (store.Snapshot, error)) (*Reader, *fakeSources) {
	a := &fakeSources{now: time.Unix(1000, 0), answers: answers}
	upstreams := func() []Member { return []Member{{Name: "first", Addr: "first"}, {Name: "second", Addr: "second"}} }
	return NewReader(ReaderOptions{
		Direct:           a,
		Peers:            fakePeers{a},
		Upstreams:        upstreams,
		IsRelay:          func() bool { return a.relays },
		MaxAge:           testMaxAgeOf,
		ReconnectTimeout: func() time.Duration { return testReconnectTimeout },
		Now:              func() time.Time { return a.now },
		Log:              quiet,
	}), a
}

func freshAnswer(version uint64) func() (store.Snapshot, error) {
	return func() (store.Snapshot, error) {
		return store.Snapshot{At: store.At(0, version), Evidence: time.Unix(999, 500e6)}, nil
	}
}

func failedCall() (store.Snapshot, error) {
	return store.Snapshot{}, &CallError{Err: http.ErrServerClosed}
}

func staleAnswer() (store.Snapshot, error) {
	return store.Snapshot{At: store.At(0, 50), Evidence: time.Unix(1000, 0).Add(-testMaxAge - time.Millisecond)}, nil
}

func TestReader_FallsBackToNextRelayAndStore(t *testing.T) {
	for _, c := range []struct {
		name          string
		first, second func() (store.Snapshot, error)
		calls         []string
		direct        bool
	}{
		{"sound", freshAnswer(9), freshAnswer(9), []string{"first"}, false},
		{"first fails", failedCall, freshAnswer(9), []string{"first", "second"}, false},
		{"first stale", staleAnswer, freshAnswer(9), []string{"first", "second"}, false},
		{"both fail", failedCall, failedCall, []string{"first", "second", "store"}, true},
		{"first fails, second stale", failedCall, staleAnswer, []string{"first", "second", "store"}, false},
		{"both stale", staleAnswer, staleAnswer, []string{"first", "second", "store"}, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			r, a := newTestReader(map[string]func() (store.Snapshot, error){"first": c.first, "second": c.second, "store": freshAnswer(9)})
			_, err := r.Changes(t.Context(), "t", store.At(0, 5), time.Second)
			must.NoError(t, err)
			must.Eq(t, c.calls, a.calls)
			must.EqOp(t, c.direct, r.Direct())
		})
	}
}

// Guards against the next relay holding a call for its full wait. The relay that failed may
// have stalled for as long, and changes of that time are overdue.
func TestReader_NextRelayHoldsNoCall(t *testing.T) {
	r, a := newTestReader(map[string]func() (store.Snapshot, error){"first": failedCall, "second": freshAnswer(9), "store": freshAnswer(9)})
	_, err := r.Changes(t.Context(), "t", store.At(0, 5), time.Second)
	must.NoError(t, err)
	must.Eq(t, []time.Duration{time.Second, 0}, a.waits)
	_, err = r.Changes(t.Context(), "t", store.At(0, 5), time.Second)
	must.NoError(t, err)
	must.Eq(t, []time.Duration{time.Second, 0, time.Second}, a.waits)
}

// Guards against frequent calls to a store that all relays and this daemon lose for a
// minute. It is queried at intervals, and a relay counts again as soon as its data is
// fresh.
func TestReader_BacksOffWhenAllRelaysAreStale(t *testing.T) {
	r, a := newTestReader(map[string]func() (store.Snapshot, error){"first": staleAnswer, "second": staleAnswer, "store": failedCall})
	var probes []time.Time
	for range 600 {
		a.calls = nil
		_, err := r.Changes(t.Context(), "t", store.At(0, 5), time.Second)
		must.Error(t, err)
		if len(a.calls) > 2 {
			probes = append(probes, a.now)
			must.Eq(t, []string{"first", "second", "store"}, a.calls)
		} else {
			must.Eq(t, []string{"first"}, a.calls, must.Sprint("the other relay was queried recently"))
		}
		a.now = a.now.Add(100 * time.Millisecond)
	}
	must.EqOp(t, time.Unix(1000, 0), probes[0])
	length := minStoreBackoff
	for i, at := range probes[1:] {
		must.Between(t, length/2, at.Sub(probes[i]), length+100*time.Millisecond)
		length = min(2*length, testReconnectTimeout-storeCallReserve)
	}
	a.answers["first"] = func() (store.Snapshot, error) { return store.Snapshot{At: store.At(0, 9), Evidence: a.now}, nil }
	a.calls = nil
	_, err := r.Changes(t.Context(), "t", store.At(0, 5), time.Second)
	must.NoError(t, err)
	must.Eq(t, []string{"first"}, a.calls)
}

// Guards against a backoff that exceeds the deployment's limit for reconnecting to the
// store, call included. The shortest limit of the known sites is three seconds.
func TestReader_BackoffLeavesTimeToReconnect(t *testing.T) {
	const call = 700 * time.Millisecond
	for inTouch := 3 * time.Second; inTouch <= 8*time.Second; inTouch += time.Second {
		r, a := newTestReader(map[string]func() (store.Snapshot, error){"first": staleAnswer, "second": staleAnswer, "store": failedCall})
		r.opts.ReconnectTimeout = func() time.Duration { return inTouch }
		for range 20 {
			a.now = r.storeBackoff.until
			r.queryStore(t.Context(), "t", store.At(0, 5), time.Second)
			must.LessEq(t, inTouch, r.storeBackoff.until.Sub(a.now)+call, must.Sprint(inTouch))
		}
	}
}

// Guards against one call per table to a store that is down.
func TestReader_SharesStoreBackoffAcrossTables(t *testing.T) {
	r, a := newTestReader(map[string]func() (store.Snapshot, error){"first": staleAnswer, "second": staleAnswer, "store": failedCall})
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

// After a power failure a relay has no data yet. Guards against the relay being skipped, or
// not being given time to read it.
func TestReader_WaitsForStartingRelay(t *testing.T) {
	empty := func() (store.Snapshot, error) { return store.Snapshot{}, &EmptyError{Table: "t"} }
	r, a := newTestReader(map[string]func() (store.Snapshot, error){"first": empty, "second": empty, "store": freshAnswer(9)})
	_, err := r.Rows(t.Context(), "t")
	must.NoError(t, err)
	must.Eq(t, []string{"first", "second", "store"}, a.calls)
	must.Eq(t, []time.Duration{firstRowsTimeout, 0}, a.waits)
	a.answers["first"] = freshAnswer(10)
	_, err = r.Changes(t.Context(), "t", store.At(0, 9), time.Second)
	must.NoError(t, err)
	must.Eq(t, "first", a.calls[len(a.calls)-1])
}

// Guards against a delay of calls to the store when only the relays have lost it. A daemon
// that the store serves must be up to date.
func TestReader_UsesStoreThatOnlyRelaysLost(t *testing.T) {
	r, a := newTestReader(map[string]func() (store.Snapshot, error){"first": staleAnswer, "second": staleAnswer, "store": freshAnswer(60)})
	for range 50 {
		for _, table := range []string{"t", "u", "v"} {
			s, err := r.Changes(t.Context(), table, store.At(0, 5), time.Second)
			must.NoError(t, err)
			must.EqOp(t, store.At(0, 60), s.At)
		}
		a.now = a.now.Add(100 * time.Millisecond)
	}
}

// Guards against every table probing the store when the relays lose it. One call probes it
// for all.
func TestReader_OneProbeForAllTables(t *testing.T) {
	r, a := newTestReader(map[string]func() (store.Snapshot, error){"first": staleAnswer, "second": staleAnswer})
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

// Guards against frequent calls to a relay that is gone for good.
func TestReader_RetriesFailedRelayLater(t *testing.T) {
	r, a := newTestReader(map[string]func() (store.Snapshot, error){"first": failedCall, "second": freshAnswer(9), "store": freshAnswer(9)})
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
	a.now = a.now.Add(maxRelayBackoff)
	a.calls = nil
	r.Changes(t.Context(), "t", store.At(0, 5), time.Second)
	r.Changes(t.Context(), "t", store.At(0, 5), time.Second)
	must.Eq(t, []string{"first", "first"}, a.calls)
}

// Guards against a table going back to the older rows of a relay that lags.
func TestReader_RejectsOlderRows(t *testing.T) {
	r, a := newTestReader(map[string]func() (store.Snapshot, error){"first": freshAnswer(20), "second": freshAnswer(9), "store": freshAnswer(21)})
	_, err := r.Rows(t.Context(), "t")
	must.NoError(t, err)
	a.answers["first"] = freshAnswer(19)
	s, err := r.Rows(t.Context(), "t")
	must.NoError(t, err)
	must.EqOp(t, store.At(0, 21), s.At)
	must.Eq(t, []string{"first", "first", "second", "store"}, a.calls)
}

func TestReader_LostHistoryIsNoRelayFailure(t *testing.T) {
	lost := func() (store.Snapshot, error) { return store.Snapshot{}, &store.HistoryLostError{Table: "t"} }
	r, _ := newTestReader(map[string]func() (store.Snapshot, error){"first": lost, "second": freshAnswer(9), "store": freshAnswer(9)})
	var want *store.HistoryLostError
	_, err := r.Changes(t.Context(), "t", store.At(0, 5), time.Second)
	must.True(t, errors.As(err, &want))
	must.False(t, r.Direct())
}

// Guards against a backoff of a store that has lost its history: it has answered, and all
// rows are read from it at once.
func TestReader_RereadsAtOnceAfterLostHistory(t *testing.T) {
	lost := func() (store.Snapshot, error) { return store.Snapshot{}, &store.HistoryLostError{Table: "t"} }
	r, a := newTestReader(map[string]func() (store.Snapshot, error){"first": staleAnswer, "second": staleAnswer, "store": lost})
	var want *store.HistoryLostError
	_, err := r.Changes(t.Context(), "t", store.At(0, 5), time.Second)
	must.True(t, errors.As(err, &want))
	a.answers["store"] = freshAnswer(60)
	s, err := r.Rows(t.Context(), "t")
	must.NoError(t, err)
	must.EqOp(t, store.At(0, 60), s.At)
}
