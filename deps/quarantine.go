package deps

import (
	"context"

	"github.com/pointpass/pointpass/quarantine"
	"github.com/pointpass/pointpass/replica"
	"github.com/pointpass/pointpass/store"
)

// quarantined keeps what daemons share about requests that crash workers. Its rows stand
// in the lease's table.
type quarantined struct {
	edge *Edge
	// keyMissing asks for a key to be stored.
	keyMissing chan struct{}
}

func newQuarantined(e *Edge) *quarantined {
	return &quarantined{edge: e, keyMissing: make(chan struct{}, 1)}
}

// learn takes in all rows of the lease's table.
func (q *quarantined) learn(rows []store.Row) {
	k, found, err := quarantine.KeyIn(rows)
	switch {
	case err != nil:
		q.edge.Log.Error().Str("event", "quarantine_unreadable").Err(err).Msg("")
	case found:
		q.edge.Guard.SetKey(k)
	default:
		q.askForKey()
	}
}

// askForKey has a key stored soon, if this daemon holds the lease.
func (q *quarantined) askForKey() {
	if _, held := q.edge.Lease.Held(); !held {
		return
	}
	select {
	case q.keyMissing <- struct{}{}:
	default:
	}
}

// Run stores what is to be stored until ctx ends.
func (q *quarantined) Run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-q.keyMissing:
			q.storeKey(ctx)
		}
	}
}

// storeKey stores a key. Where another daemon was first, its key counts.
func (q *quarantined) storeKey(ctx context.Context) {
	txn := quarantine.FirstKey(replica.LeaseTable, quarantine.NewKey())
	if _, err := q.edge.following.Commit(ctx, txn); err != nil {
		q.edge.Log.Warn().Str("event", "quarantine_key_failed").Err(err).Msg("")
	}
}
