package relay

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http/httptest"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/klauspost/compress/s2"
	"github.com/phuslu/log"
	"github.com/shoenig/test/must"

	"github.com/pointpass/pointpass/catalog"
	"github.com/pointpass/pointpass/load"
	"github.com/pointpass/pointpass/rpc"
	"github.com/pointpass/pointpass/store"
	"github.com/pointpass/pointpass/throttle"
)

var quiet = &log.Logger{Level: log.PanicLevel}

// testAge is how old evidence of the test's table may be.
const testAge = 1600 * time.Millisecond

func testAges(string) time.Duration { return testAge }

// testInTouch is how soon a daemon that the store serves again has to know.
const testInTouch = 5 * time.Second

func row(key string, version uint64) store.Row {
	return store.Row{Key: key, Value: []byte(strconv.FormatUint(version, 10)), At: store.At(0, version)}
}

func gone(key string, version uint64) store.Row {
	return store.Row{Key: key, At: store.At(0, version), Deleted: true}
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
	s, err := c.Changes(t.Context(), store.At(0, since), 0)
	must.NoError(t, err)
	return s.Rows
}

func TestCache_TellsWhatChanged(t *testing.T) {
	c := filled(t,
		store.Update{Full: true, At: store.At(0, 10), Rows: []store.Row{row("a", 4), row("b", 9)}},
		store.Update{At: store.At(0, 12), Rows: []store.Row{row("a", 11), gone("b", 12)}},
	)
	must.Eq(t, []store.Row{row("a", 11), gone("b", 12)}, changes(t, c, 10))
	must.Eq(t, []store.Row{gone("b", 12)}, changes(t, c, 11))
	must.SliceEmpty(t, changes(t, c, 12))
	all, known := c.Rows()
	must.True(t, known)
	must.EqOp(t, store.At(0, 12), all.At)
	must.Eq(t, []store.Row{row("a", 11)}, all.Rows)
}

// TestCache_ForgetsChangesBeforeARead reads the whole table after history was lost.
// In between a row may have come and gone, which a follower of the cache may know.
func TestCache_ForgetsChangesBeforeARead(t *testing.T) {
	c := filled(t,
		store.Update{Full: true, At: store.At(0, 10), Rows: []store.Row{row("a", 4)}},
		store.Update{Full: true, At: store.At(0, 30), Rows: []store.Row{row("a", 4)}},
	)
	var lost *store.HistoryLostError
	_, err := c.Changes(t.Context(), store.At(0, 20), 0)
	must.True(t, errors.As(err, &lost))
	must.SliceEmpty(t, changes(t, c, 30))
}

func TestCache_KnowsHowFarItReaches(t *testing.T) {
	var empty *EmptyError
	_, err := NewCache("t", testAge, time.Now).Changes(t.Context(), store.At(0, 5), 0)
	must.True(t, errors.As(err, &empty))
	c := filled(t, store.Update{Full: true, At: store.At(0, 10), Rows: []store.Row{row("a", 4)}})
	var lost *store.HistoryLostError
	_, err = c.Changes(t.Context(), store.At(0, 9), 0)
	must.True(t, errors.As(err, &lost))
	for v := uint64(11); v < 11+mostChanges+5; v++ {
		c.Apply(store.Update{At: store.At(0, v), Rows: []store.Row{row("a", v)}})
	}
	must.Len(t, mostChanges, c.changes)
	_, err = c.Changes(t.Context(), store.At(0, 14), 0)
	must.True(t, errors.As(err, &lost))
	must.Len(t, mostChanges, changes(t, c, 15))
}

func TestCache_AnswersAsSoonAsThereIsSomething(t *testing.T) {
	c := filled(t, store.Update{Full: true, At: store.At(0, 10), Evidence: time.Now().Add(time.Hour)})
	answered := make(chan store.Snapshot, 1)
	go func() {
		s, _ := c.Changes(context.Background(), store.At(0, 10), time.Hour)
		answered <- s
	}()
	c.Apply(store.Update{At: store.At(0, 11)}) // evidence alone wakes nobody
	c.Apply(store.Update{At: store.At(0, 12), Rows: []store.Row{row("a", 12)}})
	must.Eq(t, []store.Row{row("a", 12)}, (<-answered).Rows)
}

// TestCache_HoldsNobodyOnceItIsOld has a daemon ask one that relays and lost the store,
// before or while the question is held: others may know more.
func TestCache_HoldsNobodyOnceItIsOld(t *testing.T) {
	for _, age := range []time.Duration{testAge + time.Second, testAge - 20*time.Millisecond} {
		c := filled(t, store.Update{Full: true, At: store.At(0, 10), Evidence: time.Now().Add(-age)})
		ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
		defer cancel()
		s, err := c.Changes(ctx, store.At(0, 10), time.Hour)
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
	c.Apply(store.Update{Full: true, At: store.At(0, 10), Rows: []store.Row{row("a", 4)}})
	must.Eq(t, []store.Row{row("a", 4)}, (<-answered).Rows)
}

// TestServer_PacksLongAnswers sends a configuration of 300 KB, and whole tables, in few
// bytes, once packed for all who ask the same.
func TestServer_PacksLongAnswers(t *testing.T) {
	long := strings.Repeat(`{"host":"a.example","prefix":"/b/","service":"c"},`, 6000)
	config := store.Row{Key: "config", Value: []byte(long), At: store.At(0, 11)}
	c := filled(t,
		store.Update{Full: true, At: store.At(0, 10), Evidence: time.Now(), Rows: []store.Row{row("config", 4)}},
		store.Update{At: store.At(0, 11), Evidence: time.Now(), Rows: []store.Row{config}},
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
	s, err := newTestClient(t, time.Now).Changes(t.Context(), addr, "t", store.At(0, 10), 0)
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

func (r reported) Crashes(CrashReport) {}

// Enlist takes any row but that of a daemon named "refused".
func (r reported) Enlist(_ context.Context, name string, row []byte) error {
	if name == "refused" {
		return errors.New("the store is away")
	}
	r <- "enlisted " + name + " " + string(row)
	return nil
}

func (r reported) Load(reporter string, told LoadReport) LoadReport {
	s := told.Sum
	r <- fmt.Sprint("load of ", reporter, " ", s.Daemons)
	all := load.Sum{Offered: load.Offered{}, Daemons: 90, At: s.At.Add(-time.Second), Hall: load.Offered{}}
	for m, work := range s.Offered {
		r <- fmt.Sprint(m.Service, " ", m.Name, " in ", m.Regions.Names(), ": ", work)
		all.Offered[m] = 80
		all.Hall[m] = 20
	}
	return LoadReport{Sum: all, Limits: told.Limits}
}

// serve serves a cache as a daemon would, whose clock is ahead of the caller's.
func serve(t *testing.T, c *Cache, now func() time.Time) (addr string, reports reported) {
	t.Helper()
	reports = make(reported, 2)
	handler := rpc.NewRelayServer(NewServer(reports, now, c))
	server := httptest.NewServer(handler)
	t.Cleanup(server.Close)
	return strings.TrimPrefix(server.URL, "http://"), reports
}

func newTestClient(t *testing.T, now func() time.Time) *Client {
	t.Helper()
	c, cleanUp := NewClient(&net.Dialer{}, now)
	c.reportTimeout = time.Minute // what is asked is never how busy the machine is
	t.Cleanup(cleanUp)
	return c
}

// TestEvidence_IsNeverYoungerThanItWas has a call take three seconds to arrive and
// be held for two. The store was asked one second after the call was sent.
func TestEvidence_IsNeverYoungerThanItWas(t *testing.T) {
	sent := time.Unix(1000, 0)
	asked := sent.Add(time.Second)
	c := filled(t, store.Update{Full: true, At: store.At(0, 10), Evidence: asked, Rows: []store.Row{row("a", 4)}})
	moments := []time.Time{sent.Add(3 * time.Second), sent.Add(5 * time.Second)}
	addr, _ := serve(t, c, func() time.Time {
		now := moments[0]
		moments = moments[1:]
		return now
	})
	s, err := newTestClient(t, func() time.Time { return sent }).Changes(t.Context(), addr, "t", store.At(0, 0), 0)
	must.NoError(t, err)
	must.False(t, s.Evidence.After(asked))
	must.Eq(t, []store.Row{row("a", 4)}, s.Rows)
}

func TestServer_TellsLostHistoryAndUnknownTables(t *testing.T) {
	addr, _ := serve(t, filled(t, store.Update{Full: true, At: store.At(0, 10)}), time.Now)
	client := newTestClient(t, time.Now)
	var lost *store.HistoryLostError
	_, err := client.Changes(t.Context(), addr, "t", store.At(0, 3), 0)
	must.True(t, errors.As(err, &lost))
	var failed *CallError
	_, err = client.Changes(t.Context(), addr, "other", store.At(0, 3), 0)
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
	limits := []throttle.Limit{
		{Worker: "w1", Born: 7, Rate: 1.4, At: time.Now().Add(-3 * time.Second)},
		{Worker: "w2", Ended: true, At: time.Now()},
	}
	var told load.Sum
	for _, regions := range [][]string{{}, {"north"}, {"north", "south"}} {
		m := load.Model{Service: "llm", Name: "m", Regions: catalog.NewRegionSet(regions)}
		told = load.Sum{Offered: load.Offered{m: 2.5}, Daemons: 7, At: time.Now()}
		begun := time.Now()
		answer, err := newTestClient(t, time.Now).Load(t.Context(), addr, "e1", LoadReport{Sum: told, Limits: limits})
		must.NoError(t, err)
		all := answer.Sum
		must.Len(t, len(limits), answer.Limits)
		for i, l := range answer.Limits {
			must.LessEq(t, time.Since(begun), l.At.Sub(limits[i].At).Abs(), must.Sprint("it is as old as it was, but for the way"))
			l.At = limits[i].At
			must.Eq(t, limits[i], l)
		}
		must.EqOp(t, "load of e1 7", <-reports)
		must.EqOp(t, fmt.Sprint("llm m in ", regions, ": 2.5"), <-reports)
		must.EqOp(t, 90, all.Daemons)
		must.Eq(t, load.Offered{m: 80}, all.Offered)
		must.Eq(t, load.Offered{m: 20}, all.Hall)
		must.True(t, time.Since(all.At) >= time.Second, must.Sprint("a sum is never younger than it was"))
	}
	must.NoError(t, newTestClient(t, time.Now).Enlist(t.Context(), addr, "e1", []byte("row")))
	must.EqOp(t, "enlisted e1 row", <-reports)
	var failed *CallError
	for name, row := range map[string][]byte{"refused": nil, "": nil, "e1": make([]byte, mostAnnounced+1)} {
		must.True(t, errors.As(newTestClient(t, time.Now).Enlist(t.Context(), addr, name, row), &failed), must.Sprint(name))
	}
	_, err := newTestClient(t, time.Now).Load(t.Context(), "127.0.0.1:1", "e1", LoadReport{Sum: told})
	must.True(t, errors.As(err, &failed))
	must.True(t, errors.As(newTestClient(t, time.Now).Suspect(t.Context(), "127.0.0.1:1", Report{Group: "m.7"}), &failed))
}
