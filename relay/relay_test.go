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

// testMaxAge is the maximum age of evidence for the test's table.
const testMaxAge = 1600 * time.Millisecond

func testMaxAgeOf(string) time.Duration { return testMaxAge }

// testReconnectTimeout is the time within which a daemon that the store serves again must
// be up to date.
const testReconnectTimeout = 5 * time.Second

func row(key string, version uint64) store.Row {
	return store.Row{Key: key, Value: []byte(strconv.FormatUint(version, 10)), At: store.At(0, version)}
}

func deletedRow(key string, version uint64) store.Row {
	return store.Row{Key: key, At: store.At(0, version), Deleted: true}
}

func newFilledCache(t *testing.T, updates ...store.Update) *Cache {
	t.Helper()
	c := NewCache("t", testMaxAge, time.Now)
	for _, u := range updates {
		c.Apply(u)
	}
	return c
}

func mustChanges(t *testing.T, c *Cache, since uint64) []store.Row {
	t.Helper()
	s, err := c.Changes(t.Context(), store.At(0, since), 0)
	must.NoError(t, err)
	return s.Rows
}

func TestCache_ReturnsChanges(t *testing.T) {
	c := newFilledCache(t,
		store.Update{Full: true, At: store.At(0, 10), Rows: []store.Row{row("a", 4), row("b", 9)}},
		store.Update{At: store.At(0, 12), Rows: []store.Row{row("a", 11), deletedRow("b", 12)}},
	)
	must.Eq(t, []store.Row{row("a", 11), deletedRow("b", 12)}, mustChanges(t, c, 10))
	must.Eq(t, []store.Row{deletedRow("b", 12)}, mustChanges(t, c, 11))
	must.SliceEmpty(t, mustChanges(t, c, 12))
	all, loaded := c.Rows()
	must.True(t, loaded)
	must.EqOp(t, store.At(0, 12), all.At)
	must.Eq(t, []store.Row{row("a", 11)}, all.Rows)
}

// Guards against serving changes across a full read after lost history. A row that a
// follower holds may have been added and deleted in between.
func TestCache_ForgetsChangesBeforeARead(t *testing.T) {
	c := newFilledCache(t,
		store.Update{Full: true, At: store.At(0, 10), Rows: []store.Row{row("a", 4)}},
		store.Update{Full: true, At: store.At(0, 30), Rows: []store.Row{row("a", 4)}},
	)
	var lost *store.HistoryLostError
	_, err := c.Changes(t.Context(), store.At(0, 20), 0)
	must.True(t, errors.As(err, &lost))
	must.SliceEmpty(t, mustChanges(t, c, 30))
}

func TestCache_ReportsEmptyAndLostHistory(t *testing.T) {
	var empty *EmptyError
	_, err := NewCache("t", testMaxAge, time.Now).Changes(t.Context(), store.At(0, 5), 0)
	must.True(t, errors.As(err, &empty))
	c := newFilledCache(t, store.Update{Full: true, At: store.At(0, 10), Rows: []store.Row{row("a", 4)}})
	var lost *store.HistoryLostError
	_, err = c.Changes(t.Context(), store.At(0, 9), 0)
	must.True(t, errors.As(err, &lost))
	for v := uint64(11); v < 11+maxChanges+5; v++ {
		c.Apply(store.Update{At: store.At(0, v), Rows: []store.Row{row("a", v)}})
	}
	must.Len(t, maxChanges, c.changes)
	_, err = c.Changes(t.Context(), store.At(0, 14), 0)
	must.True(t, errors.As(err, &lost))
	must.Len(t, maxChanges, mustChanges(t, c, 15))
}

func TestCache_WakesOnChange(t *testing.T) {
	c := newFilledCache(t, store.Update{Full: true, At: store.At(0, 10), Evidence: time.Now().Add(time.Hour)})
	answered := make(chan store.Snapshot, 1)
	go func() {
		s, _ := c.Changes(context.Background(), store.At(0, 10), time.Hour)
		answered <- s
	}()
	c.Apply(store.Update{At: store.At(0, 11)}) // an update of evidence alone wakes no follower
	c.Apply(store.Update{At: store.At(0, 12), Rows: []store.Row{row("a", 12)}})
	must.Eq(t, []store.Row{row("a", 12)}, (<-answered).Rows)
}

// Guards against a relay that has lost the store holding a call, whether it does so before
// or during the call: another relay may have newer data.
func TestCache_ReturnsEarlyOnceStale(t *testing.T) {
	for _, age := range []time.Duration{testMaxAge + time.Second, testMaxAge - 20*time.Millisecond} {
		c := newFilledCache(t, store.Update{Full: true, At: store.At(0, 10), Evidence: time.Now().Add(-age)})
		ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
		defer cancel()
		s, err := c.Changes(ctx, store.At(0, 10), time.Hour)
		must.NoError(t, err)
		must.SliceEmpty(t, s.Rows)
	}
}

// Guards against a relay that has just started failing a request for all rows instead of
// waiting for its first update.
func TestCache_WaitsForFirstRows(t *testing.T) {
	c := NewCache("t", testMaxAge, time.Now)
	var empty *EmptyError
	_, err := c.WaitRows(t.Context(), time.Millisecond)
	must.True(t, errors.As(err, &empty))
	answered := make(chan store.Snapshot, 1)
	go func() {
		s, _ := c.WaitRows(context.Background(), time.Hour)
		answered <- s
	}()
	c.Apply(store.Update{Full: true, At: store.At(0, 10), Rows: []store.Row{row("a", 4)}})
	must.Eq(t, []store.Row{row("a", 4)}, (<-answered).Rows)
}

// Guards against uncompressed answers for a 300 KB configuration and for whole tables, and
// against compressing the same answer twice.
func TestServer_PacksLongAnswers(t *testing.T) {
	long := strings.Repeat(`{"host":"a.example","prefix":"/b/","service":"c"},`, 6000)
	config := store.Row{Key: "config", Value: []byte(long), At: store.At(0, 11)}
	c := newFilledCache(t,
		store.Update{Full: true, At: store.At(0, 10), Evidence: time.Now(), Rows: []store.Row{row("config", 4)}},
		store.Update{At: store.At(0, 11), Evidence: time.Now(), Rows: []store.Row{config}},
	)
	server := NewServer(make(reportRecorder, 1), time.Now, c)
	for _, since := range []uint64{0, 10, 0} {
		reply, err := server.Changes(t.Context(), &rpc.ChangesRequest{Table: "t", Since: since})
		must.NoError(t, err)
		must.SliceEmpty(t, reply.Rows)
		must.Less(t, len(long)/10, len(reply.Packed))
		rows, err := rowsFromReply(reply)
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
	must.True(t, &first.Packed[0] == &second.Packed[0], must.Sprint("compressed once for equal requests"))
}

// Guards against a peer's data exhausting the memory when decompressed.
func TestRowsFromReply_RejectsOversizedData(t *testing.T) {
	var long *TooLongError
	_, err := rowsFromReply(&rpc.ChangesReply{Packed: s2.Encode(nil, make([]byte, maxDecompressedBytes+1))})
	must.True(t, errors.As(err, &long))
	_, err = rowsFromReply(&rpc.ChangesReply{Packed: []byte("no block")})
	must.Error(t, err)
}

// reportRecorder records reports as text.
type reportRecorder chan string

func (r reportRecorder) Suspect(report Report) {
	r <- report.Group + " " + report.Reporter + " " + report.Sign.String()
}

func (r reportRecorder) Begun() { r <- "begun" }

func (r reportRecorder) Crashes(CrashReport) {}

// Enlist accepts any row except that of a daemon named "refused".
func (r reportRecorder) Enlist(_ context.Context, name string, row []byte) error {
	if name == "refused" {
		return errors.New("the store is down")
	}
	r <- "enlisted " + name + " " + string(row)
	return nil
}

func (r reportRecorder) Load(reporter string, report LoadReport) LoadReport {
	s := report.Sum
	r <- fmt.Sprint("load of ", reporter, " ", s.Daemons)
	all := load.Sum{Offered: load.Offered{}, Daemons: 90, At: s.At.Add(-time.Second), Hall: load.Offered{}}
	for m, work := range s.Offered {
		r <- fmt.Sprint(m.Service, " ", m.Name, " in ", m.Regions.Names(), ": ", work)
		all.Offered[m] = 80
		all.Hall[m] = 20
	}
	return LoadReport{Sum: all, Limits: report.Limits}
}

// serve serves a cache as a daemon does, with the given clock.
func serve(t *testing.T, c *Cache, now func() time.Time) (addr string, reports reportRecorder) {
	t.Helper()
	reports = make(reportRecorder, 2)
	handler := rpc.NewRelayServer(NewServer(reports, now, c))
	server := httptest.NewServer(handler)
	t.Cleanup(server.Close)
	return strings.TrimPrefix(server.URL, "http://"), reports
}

func newTestClient(t *testing.T, now func() time.Time) *Client {
	t.Helper()
	c, cleanUp := NewClient(&net.Dialer{}, now)
	c.reportTimeout = time.Minute // the test must not depend on the load of the machine
	t.Cleanup(cleanUp)
	return c
}

// Guards against evidence becoming younger on the way. The call takes three seconds to
// arrive and is held for two; the store was queried one second after the call was sent.
func TestEvidence_NeverGetsYounger(t *testing.T) {
	sent := time.Unix(1000, 0)
	queried := sent.Add(time.Second)
	c := newFilledCache(t, store.Update{Full: true, At: store.At(0, 10), Evidence: queried, Rows: []store.Row{row("a", 4)}})
	times := []time.Time{sent.Add(3 * time.Second), sent.Add(5 * time.Second)}
	addr, _ := serve(t, c, func() time.Time {
		now := times[0]
		times = times[1:]
		return now
	})
	s, err := newTestClient(t, func() time.Time { return sent }).Changes(t.Context(), addr, "t", store.At(0, 0), 0)
	must.NoError(t, err)
	must.False(t, s.Evidence.After(queried))
	must.Eq(t, []store.Row{row("a", 4)}, s.Rows)
}

func TestServer_ReportsLostHistoryAndUnknownTables(t *testing.T) {
	addr, _ := serve(t, newFilledCache(t, store.Update{Full: true, At: store.At(0, 10)}), time.Now)
	client := newTestClient(t, time.Now)
	var lost *store.HistoryLostError
	_, err := client.Changes(t.Context(), addr, "t", store.At(0, 3), 0)
	must.True(t, errors.As(err, &lost))
	var failed *CallError
	_, err = client.Changes(t.Context(), addr, "other", store.At(0, 3), 0)
	must.True(t, errors.As(err, &failed))
}

func TestServer_PassesOnReports(t *testing.T) {
	addr, reports := serve(t, newFilledCache(t), time.Now)
	for _, sign := range []Sign{Lost, Silent, Alive} {
		must.NoError(t, newTestClient(t, time.Now).Suspect(t.Context(), addr, Report{Group: "m.7", Reporter: "e1", Sign: sign}))
		must.EqOp(t, "m.7 e1 "+sign.String(), <-reports)
	}
	must.NoError(t, newTestClient(t, time.Now).Begun(t.Context(), addr))
	must.EqOp(t, "begun", <-reports)
	limits := []throttle.Limit{
		{Worker: "w1", StartMs: 7, Rate: 1.4, At: time.Now().Add(-3 * time.Second)},
		{Worker: "w2", Ended: true, At: time.Now()},
	}
	var sum load.Sum
	for _, regions := range [][]string{{}, {"north"}, {"north", "south"}} {
		m := load.Model{Service: "llm", Name: "m", Regions: catalog.NewRegionSet(regions)}
		sum = load.Sum{Offered: load.Offered{m: 2.5}, Daemons: 7, At: time.Now()}
		started := time.Now()
		answer, err := newTestClient(t, time.Now).Load(t.Context(), addr, "e1", LoadReport{Sum: sum, Limits: limits})
		must.NoError(t, err)
		all := answer.Sum
		must.Len(t, len(limits), answer.Limits)
		for i, l := range answer.Limits {
			must.LessEq(t, time.Since(started), l.At.Sub(limits[i].At).Abs(), must.Sprint("its age only grows by the time of the call"))
			l.At = limits[i].At
			must.Eq(t, limits[i], l)
		}
		must.EqOp(t, "load of e1 7", <-reports)
		must.EqOp(t, fmt.Sprint("llm m in ", regions, ": 2.5"), <-reports)
		must.EqOp(t, 90, all.Daemons)
		must.Eq(t, load.Offered{m: 80}, all.Offered)
		must.Eq(t, load.Offered{m: 20}, all.Hall)
		must.True(t, time.Since(all.At) >= time.Second, must.Sprint("a sum never gets younger"))
	}
	must.NoError(t, newTestClient(t, time.Now).Enlist(t.Context(), addr, "e1", []byte("row")))
	must.EqOp(t, "enlisted e1 row", <-reports)
	var failed *CallError
	for name, row := range map[string][]byte{"refused": nil, "": nil, "e1": make([]byte, maxRowBytes+1)} {
		must.True(t, errors.As(newTestClient(t, time.Now).Enlist(t.Context(), addr, name, row), &failed), must.Sprint(name))
	}
	_, err := newTestClient(t, time.Now).Load(t.Context(), "127.0.0.1:1", "e1", LoadReport{Sum: sum})
	must.True(t, errors.As(err, &failed))
	must.True(t, errors.As(newTestClient(t, time.Now).Suspect(t.Context(), "127.0.0.1:1", Report{Group: "m.7"}), &failed))
}
