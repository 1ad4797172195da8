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
	eras   *eras
	set    *metrics.Set
	log    *log.Logger
	// relays returns how many daemons this one could ask in place of the store.
	relays func() int
}

// Rows returns all rows of a table.
func (c *storeCalls) Rows(ctx context.Context, table string) (store.Snapshot, error) {
	begun := clock.Now()
	s, err := c.eras.place(c.client.Rows(ctx, table))
	c.note(call{op: "rows", table: table, begun: begun, rows: len(s.Rows), answer: s, err: err})
	return s, err
}

// Changes returns what has changed in a table since a version.
func (c *storeCalls) Changes(ctx context.Context, table string, since store.Position, wait time.Duration) (store.Snapshot, error) {
	begun := clock.Now()
	s, err := c.eras.place(c.client.Changes(ctx, table, since, wait))
	c.note(call{op: "changes", table: table, begun: begun, rows: len(s.Rows), since: since, answer: s, err: err})
	return s, err
}

// Commit commits a transaction.
func (c *storeCalls) Commit(ctx context.Context, txn store.Txn) (store.Snapshot, error) {
	begun := clock.Now()
	s, err := c.eras.place(c.client.Commit(ctx, txn))
	c.note(call{op: "commit", table: tableOf(txn), begun: begun, rows: len(txn.Writes) + len(txn.Deletes), answer: s, err: err})
	return s, err
}

func tableOf(txn store.Txn) string {
	for _, w := range append(txn.Writes, txn.Deletes...) {
		return w.Table
	}
	return ""
}

// call is a call to the store and what came of it.
type call struct {
	op, table string
	begun     time.Time
	rows      int
	// since is the position that changes were asked for from.
	since  store.Position
	answer store.Snapshot
	err    error
}

// note logs and counts a call.
func (c *storeCalls) note(made call) {
	outcome := outcomeOf(made.err)
	era, _ := eraOf(made.answer, made.err)
	c.set.GetOrCreateCounter(`pointpass_store_calls_total{op="` + made.op + `",table="` + made.table + `",outcome="` + outcome + `"}`).Inc()
	c.log.Info().Str("event", "store_call").Str("op", made.op).Str("table", made.table).Str("outcome", outcome).Int("rows", made.rows).
		Uint64("since", made.since.Version()).Uint64("version", made.answer.At.Version()).Uint64("era", era).
		Int("relays", c.relays()).Dur("took", clock.Since(made.begun).Round(time.Microsecond)).Msg("")
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
