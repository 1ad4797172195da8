package deps

import (
	"context"
	"errors"
	"strconv"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/phuslu/log"

	"github.com/pointpass/pointpass/common/clock"
	"github.com/pointpass/pointpass/store"
)

// storeClient is the client of the platform's store.
type storeClient interface {
	store.Reader
	store.Writer
}

// storeCalls makes calls to the store, and logs and counts each. A deployment pays the platform by
// calls, and the callers show how well daemons use their relays. A daemon behind a relay makes
// hardly any calls, a relay about five per second, so there are few log lines.
type storeCalls struct {
	client storeClient
	eras   *eraTracker
	set    *metrics.Set
	log    *log.Logger
	// upstreams returns the number of daemons that this one can read from in place of the
	// store.
	upstreams func() int
}

// Rows returns all rows of a table.
func (c *storeCalls) Rows(ctx context.Context, table string) (store.Snapshot, error) {
	start := clock.Now()
	s, err := c.eras.resolve(c.client.Rows(ctx, table))
	c.record(call{op: "rows", table: table, start: start, rows: len(s.Rows), response: s, err: err})
	return s, err
}

// Changes returns the changes of a table since a position.
func (c *storeCalls) Changes(ctx context.Context, table string, since store.Position, wait time.Duration) (store.Snapshot, error) {
	start := clock.Now()
	s, err := c.eras.resolve(c.client.Changes(ctx, table, since, wait))
	c.record(call{op: "changes", table: table, start: start, rows: len(s.Rows), since: since, response: s, err: err})
	return s, err
}

// Commit commits a transaction.
func (c *storeCalls) Commit(ctx context.Context, txn store.Txn) (store.Snapshot, error) {
	start := clock.Now()
	s, err := c.eras.resolve(c.client.Commit(ctx, txn))
	c.record(call{op: "commit", table: tableOf(txn), start: start, rows: len(txn.Writes) + len(txn.Deletes), response: s, err: err})
	return s, err
}

func tableOf(txn store.Txn) string {
	for _, w := range append(txn.Writes, txn.Deletes...) {
		return w.Table
	}
	return ""
}

// call is a call to the store and its result.
type call struct {
	op, table string
	start     time.Time
	rows      int
	// since is the position that changes were requested from.
	since    store.Position
	response store.Snapshot
	err      error
}

// record logs and counts a call.
func (c *storeCalls) record(done call) {
	outcome := outcomeOf(done.err)
	era, _ := eraOf(done.response, done.err)
	c.set.GetOrCreateCounter(`pointpass_store_calls_total{op="` + done.op + `",table="` + done.table + `",outcome="` + outcome + `"}`).Inc()
	c.log.Info().Str("event", "store_call").Str("op", done.op).Str("table", done.table).Str("outcome", outcome).Int("rows", done.rows).
		Uint64("since", done.since.Version()).Uint64("version", done.response.At.Version()).Uint64("era", era).
		Int("relays", c.upstreams()).Dur("took", clock.Since(done.start).Round(time.Microsecond)).Msg("")
}

// outcomeOf returns the name of a call's outcome.
func outcomeOf(err error) string {
	var lost *store.HistoryLostError
	var conflict *store.ConflictError
	var failed *store.CallError
	switch {
	case err == nil:
		return "answered"
	case errors.As(err, &lost):
		return "history lost"
	case errors.As(err, &conflict):
		return "conflict"
	case errors.As(err, &failed) && failed.Status > 0:
		return strconv.Itoa(failed.Status)
	}
	return "no answer"
}
