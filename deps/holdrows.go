package deps

import (
	"context"
	"errors"
	"time"

	"github.com/pointpass/pointpass/quarantine"
	"github.com/pointpass/pointpass/replica"
	"github.com/pointpass/pointpass/store"
)

// Times of the rows of holds.
const (
	// holdRetryInterval is how often a hold is announced again until its row shows, well within
	// the lifetime of an announcement, and how often the removal of a row is retried.
	holdRetryInterval = 3 * time.Second
	// holderHeadStart is how long the second decider waits for the lease holder to store a
	// decision. All daemons must have it within three seconds of the third crash, and rows show
	// after 1.4 s at most. If both store it, the second write fails on its condition.
	holderHeadStart = 600 * time.Millisecond
	// holdCleanupInterval is how often expired rows are removed.
	holdCleanupInterval = time.Minute
)

// pendingHold is a decision to be announced and stored from a given time on.
type pendingHold struct {
	hold quarantine.Hold
	due  time.Time
}

// scheduleHold schedules a hold to be announced and stored.
func (q *crashQuarantine) scheduleHold(h quarantine.Hold, now time.Time) {
	h.SinceMs = q.storeClock().Milliseconds()
	due := now
	if !q.edge.followers.isHolder() {
		due = now.Add(holderHeadStart)
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	delete(q.pendingRemovals, h.Fingerprint) // it was cleared before the latest crashes
	q.pendingStores[h.Fingerprint] = pendingHold{hold: h, due: due}
}

// storeClock returns the earliest time that the store's clock can show now.
func (q *crashQuarantine) storeClock() time.Duration {
	latest, _ := q.edge.followers.directory.Snapshot()
	return latest.Clock
}

// storeKey stores a key. If another daemon stored one first, that key is used.
func (q *crashQuarantine) storeKey(ctx context.Context) {
	key, ok := q.edge.Guard.Key() // the store may have lost its row in a restore
	if !ok {
		key = quarantine.NewKey()
	}
	txn := quarantine.FirstKey(replica.LeaseTable, key)
	if _, err := q.edge.followers.Commit(ctx, txn); err != nil {
		q.edge.Log.Warn().Str("event", "quarantine_key_failed").Err(err).Msg("")
		return
	}
	q.mu.Lock()
	q.keyMissing = false
	q.mu.Unlock()
}

// storeHolds announces decisions and stores their rows.
func (q *crashQuarantine) storeHolds(ctx context.Context, now time.Time) {
	for _, h := range q.dueHolds(now) {
		q.edge.Warnings.AnnounceHold(h.Fingerprint.String(), quarantine.Strings(h.Parts))
		if q.edge.Guard.Announce(h) {
			q.logHold(h, "decision")
		}
		_, err := q.edge.followers.Commit(ctx, quarantine.StoreHold(replica.LeaseTable, h))
		var conflict *store.ConflictError
		if err != nil && !errors.As(err, &conflict) {
			q.edge.Log.Warn().Str("event", "hold_not_stored").Str("fingerprint", h.Fingerprint.String()).Err(err).Msg("")
		}
	}
}

// dueHolds returns the decisions to announce and store now. Each stays pending until its row shows.
func (q *crashQuarantine) dueHolds(now time.Time) []quarantine.Hold {
	q.mu.Lock()
	defer q.mu.Unlock()
	var due []quarantine.Hold
	for f, a := range q.pendingStores {
		if !now.Before(a.due) {
			q.pendingStores[f] = pendingHold{hold: a.hold, due: now.Add(holdRetryInterval)}
			due = append(due, a.hold)
		}
	}
	return due
}

// removeOverdue removes expired rows.
func (q *crashQuarantine) removeOverdue(ctx context.Context, now time.Time) {
	q.mu.Lock()
	due := now.Sub(q.lastCleanup) >= holdCleanupInterval
	if due {
		q.lastCleanup = now
	}
	q.mu.Unlock()
	if !due {
		return
	}
	overdue := quarantine.ExpiredHolds(q.edge.Guard.Holds(), q.storeClock())
	if len(overdue) > 0 {
		q.removeHolds(ctx, overdue)
	}
}

// removeCleared removes the rows of requests that were cleared.
func (q *crashQuarantine) removeCleared(ctx context.Context, now time.Time) {
	var due []quarantine.Hold
	q.mu.Lock()
	for f, at := range q.pendingRemovals {
		if !now.Before(at) {
			q.pendingRemovals[f] = now.Add(holdRetryInterval)
			due = append(due, quarantine.Hold{Fingerprint: f})
		}
	}
	q.mu.Unlock()
	if len(due) > 0 {
		q.removeHolds(ctx, due)
	}
}

// Release ends the hold of a request at an operator's command. It returns false if this daemon has
// no row of the hold, and an error if the row can't be removed.
func (e *Edge) Release(ctx context.Context, f quarantine.Fingerprint) (held bool, err error) {
	h, held := e.Guard.Held(f)
	if !held || h.Version == 0 {
		return false, nil
	}
	e.Log.Warn().Str("event", "release_asked").Str("fingerprint", f.String()).Uint64("store_version", h.Version).Msg("")
	_, err = e.followers.Commit(ctx, quarantine.RemoveHolds(replica.LeaseTable, []quarantine.Hold{h}))
	return true, err
}

func (q *crashQuarantine) removeHolds(ctx context.Context, ended []quarantine.Hold) {
	if _, err := q.edge.followers.Commit(ctx, quarantine.RemoveHolds(replica.LeaseTable, ended)); err != nil {
		q.edge.Log.Warn().Str("event", "hold_not_removed").Int("rows", len(ended)).Err(err).Msg("")
	}
}
