package relay

import (
	"context"
	"errors"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/klauspost/compress/s2"
	"github.com/phuslu/log"
	"github.com/shoenig/test/must"

	"github.com/pointpass/pointpass/rpc"
	"github.com/pointpass/pointpass/store"
)

var quiet = &log.Logger{Level: log.PanicLevel}

// testAge is how old evidence of the test's table may be.
const testAge = 1600 * time.Millisecond

func testAges(string) time.Duration { return testAge }

// testInTouch is how soon a daemon that the store serves again has to know.
const testInTouch = 5 * time.Second

func row(key string, version uint64) store.Row {
	return store.Row{Key: key, Value: []byte(strconv.FormatUint(version, 10)), Version: version}
}

func gone(key string, version uint64) store.Row {
	return store.Row{Key: key, Version: version, Deleted: true}
}

func filled(t *testing.T, updates ...store.Update) *Cache {
	t.Helper()
	c := NewCache("t", testAge, time.Now)
	for _, u := range updates {
		c.Apply(u)
	}
	return c
}

func changes(t *testing.T, c *Cache, since uint64) []store.Row {
	t.Helper()
	s, err := c.Changes(t.Context(), since, 0)
	must.NoError(t, err)
	return s.Rows
}

func TestCache_TellsWhatChanged(t *testing.T) {
	c := filled(t,
		store.Update{Full: true, Version: 10, Rows: []store.Row{row("a", 4), row("b", 9)}},
		store.Update{Version: 12, Rows: []store.Row{row("a", 11), gone("b", 12)}},
	)
	must.Eq(t, []store.Row{row("a", 11), gone("b", 12)}, changes(t, c, 10))
	must.Eq(t, []store.Row{gone("b", 12)}, changes(t, c, 11))
	must.SliceEmpty(t, changes(t, c, 12))
	all, known := c.Rows()
	must.True(t, known)
	must.EqOp(t, 12, all.Version)
	must.Eq(t, []store.Row{row("a", 11)}, all.Rows)
}

// TestCache_ForgetsChangesBeforeARead reads the whole table after history was lost.
// In between a row may have come and gone, which a follower of the cache may know.
func TestCache_ForgetsChangesBeforeARead(t *testing.T) {
	c := filled(t,
		store.Update{Full: true, Version: 10, Rows: []store.Row{row("a", 4)}},
		store.Update{Full: true, Version: 30, Rows: []store.Row{row("a", 4)}},
	)
	var lost *store.HistoryLostError
	_, err := c.Changes(t.Context(), 20, 0)
	must.True(t, errors.As(err, &lost))
	must.SliceEmpty(t, changes(t, c, 30))
}

func TestCache_KnowsHowFarItReaches(t *testing.T) {
	var empty *EmptyError
	_, err := NewCache("t", testAge, time.Now).Changes(t.Context(), 5, 0)
	must.True(t, errors.As(err, &empty))
	c := filled(t, store.Update{Full: true, Version: 10, Rows: []store.Row{row("a", 4)}})
	var lost *store.HistoryLostError
	_, err = c.Changes(t.Context(), 9, 0)
	must.True(t, errors.As(err, &lost))
	for v := uint64(11); v < 11+mostChanges+5; v++ {
		c.Apply(store.Update{Version: v, Rows: []store.Row{row("a", v)}})
	}
	must.Len(t, mostChanges, c.changes)
	_, err = c.Changes(t.Context(), 14, 0)
	must.True(t, errors.As(err, &lost))
	must.Len(t, mostChanges, changes(t, c, 15))
}

func TestCache_AnswersAsSoonAsThereIsSomething(t *testing.T) {
	c := filled(t, store.Update{Full: true, Version: 10, Evidence: time.Now().Add(time.Hour)})
	answered := make(chan store.Snapshot, 1)
	go func() {
		s, _ := c.Changes(context.Background(), 10, time.Hour)
		answered <- s
	}()
	c.Apply(store.Update{Version: 11}) // evidence alone wakes nobody
	c.Apply(store.Update{Version: 12, Rows: []store.Row{row("a", 12)}})
	must.Eq(t, []store.Row{row("a", 12)}, (<-answered).Rows)
}

// TestCache_HoldsNobodyOnceItIsOld has a daemon ask one that relays and lost the store,
// before or while the question is held: others may know more.
func TestCache_HoldsNobodyOnceItIsOld(t *testing.T) {
	for _, age := range []time.Duration{testAge + time.Second, testAge - 20*time.Millisecond} {
		c := filled(t, store.Update{Full: true, Version: 10, Evidence: time.Now().Add(-age)})
		ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
		defer cancel()
		s, err := c.Changes(ctx, 10, time.Hour)
		must.NoError(t, err)
		must.SliceEmpty(t, s.Rows)
	}
}

// TestCache_HoldsAQuestionForAllRowsUntilItKnowsThem: who asks a daemon that has
// started just now gets its first rows as soon as they are there.
func TestCache_HoldsAQuestionForAllRowsUntilItKnowsThem(t *testing.T) {
	c := NewCache("t", testAge, time.Now)
	var empty *EmptyError
	_, err := c.First(t.Context(), time.Millisecond)
	must.True(t, errors.As(err, &empty))
	answered := make(chan store.Snapshot, 1)
	go func() {
		s, _ := c.First(context.Background(), time.Hour)
		answered <- s
	}()
	c.Apply(store.Update{Full: true, Version: 10, Rows: []store.Row{row("a", 4)}})
	must.Eq(t, []store.Row{row("a", 4)}, (<-answered).Rows)
}

// TestServer_PacksLongAnswers sends a configuration of 300 KB, and whole tables, in few
// bytes, once packed for all who ask the same.
func TestServer_PacksLongAnswers(t *testing.T) {
	long := strings.Repeat(`{"host":"a.example","prefix":"/b/","service":"c"},`, 6000)
	config := store.Row{Key: "config", Value: []byte(long), Version: 11}
	c := filled(t,
		store.Update{Full: true, Version: 10, Evidence: time.Now(), Rows: []store.Row{row("config", 4)}},
		store.Update{Version: 11, Evidence: time.Now(), Rows: []store.Row{config}},
	)
	server := NewServer(make(reported, 1), time.Now, c)
	for _, since := range []uint64{0, 10, 0} {
		reply, err := server.Changes(t.Context(), &rpc.ChangesRequest{Table: "t", Since: since})
		must.NoError(t, err)
		must.SliceEmpty(t, reply.Rows)
		must.Less(t, len(long)/10, len(reply.Packed))
		rows, err := rowsOf(reply)
		must.NoError(t, err)
		must.Eq(t, []store.Row{config}, rows)
	}
	addr, _ := serve(t, c, time.Now)
	s, err := newTestClient(t, time.Now).Changes(t.Context(), addr, "t", 10, 0)
	must.NoError(t, err)
	must.Eq(t, []store.Row{config}, s.Rows)
	first, err := server.Changes(t.Context(), &rpc.ChangesRequest{Table: "t", Since: 10})
	must.NoError(t, err)
	second, err := server.Changes(t.Context(), &rpc.ChangesRequest{Table: "t", Since: 10})
	must.NoError(t, err)
	must.True(t, &first.Packed[0] == &second.Packed[0], must.Sprint("packed once for all who ask"))
}

// TestClient_RefusesWhatUnpacksToTooMuch: bytes of another daemon are no reason to use
// up the memory.
func TestClient_RefusesWhatUnpacksToTooMuch(t *testing.T) {
	var long *TooLongError
	_, err := rowsOf(&rpc.ChangesReply{Packed: s2.Encode(nil, make([]byte, mostUnpacked+1))})
	must.True(t, errors.As(err, &long))
	_, err = rowsOf(&rpc.ChangesReply{Packed: []byte("no block")})
	must.Error(t, err)
}

// reported keeps reports as text.
type reported chan string

func (r reported) Suspect(about Report) {
	r <- about.Group + " " + about.Reporter + " " + about.Sign.String()
}

func (r reported) Begun() { r <- "begun" }

// serve serves a cache as a daemon would, whose clock is ahead of the caller's.
func serve(t *testing.T, c *Cache, now func() time.Time) (addr string, reports reported) {
	t.Helper()
	reports = make(reported, 1)
	handler := rpc.NewRelayServer(NewServer(reports, now, c))
	server := httptest.NewServer(handler)
	t.Cleanup(server.Close)
	return strings.TrimPrefix(server.URL, "http://"), reports
}

func newTestClient(t *testing.T, now func() time.Time) *Client {
	t.Helper()
	c, cleanUp := NewClient(&net.Dialer{}, now)
	t.Cleanup(cleanUp)
	return c
}

// TestEvidence_IsNeverYoungerThanItWas has a call take three seconds to arrive and
// be held for two. The store was asked one second after the call was sent.
func TestEvidence_IsNeverYoungerThanItWas(t *testing.T) {
	sent := time.Unix(1000, 0)
	asked := sent.Add(time.Second)
	c := filled(t, store.Update{Full: true, Version: 10, Evidence: asked, Rows: []store.Row{row("a", 4)}})
	moments := []time.Time{sent.Add(3 * time.Second), sent.Add(5 * time.Second)}
	addr, _ := serve(t, c, func() time.Time {
		now := moments[0]
		moments = moments[1:]
		return now
	})
	s, err := newTestClient(t, func() time.Time { return sent }).Changes(t.Context(), addr, "t", 0, 0)
	must.NoError(t, err)
	must.False(t, s.Evidence.After(asked))
	must.Eq(t, []store.Row{row("a", 4)}, s.Rows)
}

func TestServer_TellsLostHistoryAndUnknownTables(t *testing.T) {
	addr, _ := serve(t, filled(t, store.Update{Full: true, Version: 10}), time.Now)
	client := newTestClient(t, time.Now)
	var lost *store.HistoryLostError
	_, err := client.Changes(t.Context(), addr, "t", 3, 0)
	must.True(t, errors.As(err, &lost))
	var failed *CallError
	_, err = client.Changes(t.Context(), addr, "other", 3, 0)
	must.True(t, errors.As(err, &failed))
}

func TestServer_PassesOnReports(t *testing.T) {
	addr, reports := serve(t, filled(t), time.Now)
	for _, sign := range []Sign{Lost, Silent, Alive} {
		must.NoError(t, newTestClient(t, time.Now).Suspect(t.Context(), addr, Report{Group: "m.7", Reporter: "e1", Sign: sign}))
		must.EqOp(t, "m.7 e1 "+sign.String(), <-reports)
	}
	must.NoError(t, newTestClient(t, time.Now).Begun(t.Context(), addr))
	must.EqOp(t, "begun", <-reports)
	var failed *CallError
	must.True(t, errors.As(newTestClient(t, time.Now).Suspect(t.Context(), "127.0.0.1:1", Report{Group: "m.7"}), &failed))
}

// asked is a store and other daemons that answer by script.
type asked struct {
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

func (a *asked) Changes(context.Context, string, uint64, time.Duration) (store.Snapshot, error) {
	return a.answer("store")
}

type askedPeers struct{ *asked }

func (a askedPeers) Changes(_ context.Context, addr, _ string, _ uint64, wait time.Duration) (store.Snapshot, error) {
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
		MostAge:   testAges,
		InTouch:   testInTouch,
		Now:       func() time.Time { return a.now },
		Log:       quiet,
	}), a
}

func young(version uint64) func() (store.Snapshot, error) {
	return func() (store.Snapshot, error) {
		return store.Snapshot{Version: version, Evidence: time.Unix(999, 500e6)}, nil
	}
}

func failing() (store.Snapshot, error) {
	return store.Snapshot{}, &CallError{Err: http.ErrServerClosed}
}

func stale() (store.Snapshot, error) {
	return store.Snapshot{Version: 50, Evidence: time.Unix(1000, 0).Add(-testAge - time.Millisecond)}, nil
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
			_, err := r.Changes(t.Context(), "t", 5, time.Second)
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
	_, err := r.Changes(t.Context(), "t", 5, time.Second)
	must.NoError(t, err)
	must.Eq(t, []time.Duration{time.Second, 0}, a.holds)
	_, err = r.Changes(t.Context(), "t", 5, time.Second)
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
		_, err := r.Changes(t.Context(), "t", 5, time.Second)
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
	a.answers["first"] = func() (store.Snapshot, error) { return store.Snapshot{Version: 9, Evidence: a.now}, nil }
	a.calls = nil
	_, err := r.Changes(t.Context(), "t", 5, time.Second)
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
		r.opts.InTouch = inTouch
		for range 20 {
			a.now = r.away.until
			r.askStore(t.Context(), "t", 5, time.Second)
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
			_, err := r.Changes(t.Context(), table, 5, time.Second)
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
	_, err = r.Changes(t.Context(), "t", 9, time.Second)
	must.NoError(t, err)
	must.Eq(t, "first", a.calls[len(a.calls)-1])
}

// TestReader_AsksTheStoreThatOnlyRelaysLost is served by the store itself, each time and
// at once: whom it serves has to know what it says.
func TestReader_AsksTheStoreThatOnlyRelaysLost(t *testing.T) {
	r, a := newTestReader(map[string]func() (store.Snapshot, error){"first": stale, "second": stale, "store": young(60)})
	for range 50 {
		for _, table := range []string{"t", "u", "v"} {
			s, err := r.Changes(t.Context(), table, 5, time.Second)
			must.NoError(t, err)
			must.EqOp(t, 60, s.Version)
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
		_, during = r.Changes(t.Context(), "u", 5, time.Second)
		return store.Snapshot{}, &CallError{Err: http.ErrServerClosed}
	}
	_, err := r.Changes(t.Context(), "t", 5, time.Second)
	must.Error(t, err)
	var old *StaleError
	must.True(t, errors.As(during, &old))
}

// TestReader_AsksAFailedDaemonAgainLater bounds what a daemon that is gone for good
// costs the others.
func TestReader_AsksAFailedDaemonAgainLater(t *testing.T) {
	r, a := newTestReader(map[string]func() (store.Snapshot, error){"first": failing, "second": young(9), "store": young(9)})
	for range 600 {
		_, err := r.Changes(t.Context(), "t", 5, time.Second)
		must.NoError(t, err)
		a.now = a.now.Add(100 * time.Millisecond)
		a.answers["second"] = func() (store.Snapshot, error) { return store.Snapshot{Version: 9, Evidence: a.now}, nil }
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
	r.Changes(t.Context(), "t", 5, time.Second)
	r.Changes(t.Context(), "t", 5, time.Second)
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
	must.EqOp(t, 21, s.Version)
	must.Eq(t, []string{"first", "first", "second", "store"}, a.calls)
}

func TestReader_LostHistoryIsNobodysFault(t *testing.T) {
	lost := func() (store.Snapshot, error) { return store.Snapshot{}, &store.HistoryLostError{Table: "t"} }
	r, _ := newTestReader(map[string]func() (store.Snapshot, error){"first": lost, "second": young(9), "store": young(9)})
	var want *store.HistoryLostError
	_, err := r.Changes(t.Context(), "t", 5, time.Second)
	must.True(t, errors.As(err, &want))
	must.False(t, r.Direct())
}

// TestReader_ReadsAnewAtOnceWhereHistoryIsLost: a store that forgot its history has
// answered, and is asked for all rows without a pause.
func TestReader_ReadsAnewAtOnceWhereHistoryIsLost(t *testing.T) {
	lost := func() (store.Snapshot, error) { return store.Snapshot{}, &store.HistoryLostError{Table: "t"} }
	r, a := newTestReader(map[string]func() (store.Snapshot, error){"first": stale, "second": stale, "store": lost})
	var want *store.HistoryLostError
	_, err := r.Changes(t.Context(), "t", 5, time.Second)
	must.True(t, errors.As(err, &want))
	a.answers["store"] = young(60)
	s, err := r.Rows(t.Context(), "t")
	must.NoError(t, err)
	must.EqOp(t, 60, s.Version)
}

func TestUpstreams(t *testing.T) {
	var all []Member
	for i := range 20 {
		all = append(all, Member{Name: "e" + strconv.Itoa(i), Addr: "a" + strconv.Itoa(i), Hall: "z", Cores: 0.2})
	}
	all[7].Cores = 0.8
	all = append(all, Member{Name: "mute", Hall: "z", Cores: 2}, Member{Name: "far", Addr: "f", Hall: "other", Cores: 2})
	must.SliceEmpty(t, Upstreams(all[7], all), must.Sprint("it asks the store for all"))
	must.True(t, Relays(all[7], all))
	must.SliceEmpty(t, Upstreams(all[21], all), must.Sprint("its hall has few"))
	must.False(t, Relays(all[21], all))
	relays := 0
	for _, m := range all[:20] {
		up := Upstreams(m, all)
		if Relays(m, all) {
			relays++
			must.Less(t, relaysPerHall, len(up), must.Sprint("relays don't ask each other in a circle"))
			continue
		}
		must.Len(t, relaysPerHall, up)
		must.EqOp(t, "e7", up[0].Name)
	}
	must.EqOp(t, relaysPerHall, relays)
}

// TestUpstreams_OneRelaysInASmallHall: the others ask it, then other halls' relays. A
// daemon alone in its hall asks the store.
func TestUpstreams_OneRelaysInASmallHall(t *testing.T) {
	for n := 1; n <= fewMembers; n++ {
		var all []Member
		for i := range n {
			all = append(all, Member{Name: "e" + strconv.Itoa(i), Addr: "a" + strconv.Itoa(i), Hall: "z", Cores: 0.2})
		}
		relays, asking := 0, 0
		for _, m := range all {
			if Relays(m, all) {
				relays++
				must.SliceEmpty(t, Upstreams(m, all))
			} else if len(Upstreams(m, all)) == 1 {
				asking++
			}
		}
		must.EqOp(t, min(n-1, 1), relays, must.Sprint(n))
		must.EqOp(t, n-1, asking, must.Sprint(n))
	}
}

// TestUpstreams_GoOnToOtherHalls: where a hall's relays can't be relied on, its
// daemons ask the first relays of other halls, not all of them the same one, and not
// the store. Halls with few daemons have none.
func TestUpstreams_GoOnToOtherHalls(t *testing.T) {
	var all []Member
	for _, hall := range []string{"x", "y", "z"} {
		for i := range 20 {
			name := hall + strconv.Itoa(i)
			all = append(all, Member{Name: name, Addr: "a" + name, Hall: hall, Cores: 0.2})
		}
	}
	all = append(all, Member{Name: "few", Addr: "f", Hall: "few", Cores: 2})
	next := map[string]int{}
	for _, m := range all[:20] {
		if Relays(m, all) {
			continue
		}
		up := Upstreams(m, all)
		must.Len(t, relaysPerHall+2, up)
		for i, relay := range up {
			must.EqOp(t, i < relaysPerHall, relay.Hall == m.Hall)
			must.True(t, Relays(relay, all))
		}
		must.NotEq(t, up[relaysPerHall].Hall, up[relaysPerHall+1].Hall)
		next[up[relaysPerHall].Hall]++
	}
	must.MapLen(t, 2, next)
	must.SliceEmpty(t, Upstreams(all[60], all))
}
