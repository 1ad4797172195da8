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

// storeClient is the platform's store.
type storeClient interface {
	store.Reader
	store.Writer
}

// storeCalls makes calls to the store, logs and counts each: they are what a
// deployment pays the platform for, and who makes them shows how well daemons that
// relay are followed. A daemon behind another makes hardly any, one that relays about
// five a second, so that the lines are few.
type storeCalls struct {
	client storeClient
	set    *metrics.Set
	log    *log.Logger
	// relays returns how many daemons this one could ask in place of the store.
	relays func() int
}

// Rows returns all rows of a table.
func (c *storeCalls) Rows(ctx context.Context, table string) (store.Snapshot, error) {
	begun := clock.Now()
	s, err := c.client.Rows(ctx, table)
	c.note("rows", table, begun, len(s.Rows), err)
	return s, err
}

// Changes returns what has changed in a table since a version.
func (c *storeCalls) Changes(ctx context.Context, table string, since uint64, wait time.Duration) (store.Snapshot, error) {
	begun := clock.Now()
	s, err := c.client.Changes(ctx, table, since, wait)
	c.note("changes", table, begun, len(s.Rows), err)
	return s, err
}

// Commit commits a transaction.
func (c *storeCalls) Commit(ctx context.Context, txn store.Txn) (store.Snapshot, error) {
	begun := clock.Now()
	s, err := c.client.Commit(ctx, txn)
	c.note("commit", tableOf(txn), begun, len(txn.Writes)+len(txn.Deletes), err)
	return s, err
}

func tableOf(txn store.Txn) string {
	for _, w := range append(txn.Writes, txn.Deletes...) {
		return w.Table
	}
	return ""
}

// note logs and counts a call.
func (c *storeCalls) note(op, table string, begun time.Time, rows int, err error) {
	outcome := outcomeOf(err)
	c.set.GetOrCreateCounter(`pointpass_store_calls_total{op="` + op + `",table="` + table + `",outcome="` + outcome + `"}`).Inc()
	c.log.Info().Str("event", "store_call").Str("op", op).Str("table", table).Str("outcome", outcome).Int("rows", rows).
		Int("relays", c.relays()).Dur("took", clock.Since(begun).Round(time.Microsecond)).Msg("")
}

// outcomeOf names what came of a call.
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
