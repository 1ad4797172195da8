// Package relay passes store data from one daemon to others, so that the load on the store
// doesn't grow with the number of daemons. Relays hold no data that the store lacks: an
// unreachable relay is skipped and the store is queried instead.
package relay

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/pointpass/pointpass/store"
)

// maxChanges is the number of changes that a cache keeps, maxChangesBytes their size. As many
// changes of workers take 3.5 MB.
const (
	maxChanges      = 8192
	maxChangesBytes = 4 << 20
	// rowOverhead is the memory of a row in the history beside its key and value.
	rowOverhead = 64
)

// Cache holds this daemon's copy of one table. It is safe for concurrent use.
type Cache struct {
	table  string
	maxAge time.Duration
	now    func() time.Time

	mu   sync.Mutex
	rows map[string]store.Row
	at   store.Position
	// changes are the latest changes in order, all of one era. They include every change
	// since base, except those within a gap.
	changes []store.Row
	// changesBytes is the size of the changes.
	changesBytes int
	base         store.Position
	gaps         []gap
	// sendDiffs makes a full read appear to followers as the difference to the previous
	// rows.
	sendDiffs bool
	// dropHistory disables the history of changes: followers read all rows.
	dropHistory bool
	evidence    time.Time
	clock       time.Duration
	// updated is closed at the next update that changes rows.
	updated chan struct{}
}

// NewCache returns an empty cache of a table. Followers may rely on it while its evidence
// is at most maxAge old.
func NewCache(table string, maxAge time.Duration, now func() time.Time) *Cache {
	return &Cache{table: table, maxAge: maxAge, now: now, rows: map[string]store.Row{}, updated: make(chan struct{})}
}

// EnableDiffs makes a full read of the store's rows appear to followers as a difference.
// Otherwise, a store that drops its history would make each of a thousand daemons read
// thousands of rows (1 MB each). It returns the cache.
func (c *Cache) EnableDiffs() *Cache {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.sendDiffs = true
	return c
}

// gap is a range of history skipped by a full read: changes after from and before to are
// unknown. Followers at from or at to miss nothing.
type gap struct{ from, to store.Position }

func (g gap) contains(p store.Position) bool { return g.from.Before(p) && p.Before(g.to) }

// maxGaps is the number of gaps kept. When a gap is dropped, so is the history before its
// end.
const maxGaps = 16

// Apply applies an update from the store. An update of an earlier era than the cached one
// is ignored.
func (c *Cache) Apply(u store.Update) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if u.At.Era() < c.at.Era() {
		return
	}
	if u.At.Era() > c.at.Era() {
		c.reset()
	}
	if u.Full {
		c.applyFull(u)
	} else {
		if u.Gap {
			c.addGap(u.At)
		}
		c.applyChanges(u.Rows)
	}
	c.at = store.Later(c.at, u.At)
	c.trimHistory()
	c.clock = max(c.clock, u.Clock)
	if u.Evidence.After(c.evidence) {
		c.evidence = u.Evidence
	}
	if u.Full || len(u.Rows) > 0 {
		close(c.updated)
		c.updated = make(chan struct{})
	}
}

// reset drops the data of an earlier era, whose versions and clock aren't comparable with
// those of the current one. The caller holds the lock.
func (c *Cache) reset() {
	clear(c.rows)
	c.clearChanges()
	c.gaps = nil
	c.at = store.Position{}
	c.base = store.Position{}
	c.clock = 0
}

// applyFull applies a full read. The caller holds the lock.
func (c *Cache) applyFull(u store.Update) {
	changed, ok := c.diff(u)
	if !ok {
		clear(c.rows)
		c.clearChanges()
		c.gaps = nil
		c.base = store.Later(u.At, c.at)
		for _, r := range u.Rows {
			c.rows[r.Key] = r
		}
		return
	}
	c.addGap(u.At)
	c.applyChanges(changed)
}

// addGap records that the changes up to a position are unknown. The caller holds the lock.
func (c *Cache) addGap(to store.Position) {
	if !c.at.Before(to) {
		return
	}
	c.gaps = append(c.gaps, gap{from: c.at, to: to})
	if len(c.gaps) > maxGaps {
		c.base = store.Later(c.base, c.gaps[0].to)
		c.gaps = c.gaps[1:]
	}
}

// diff returns the changes between the cached rows and a full read in order, and false if
// they can't be determined. A missing row counts as deleted at the new position, since the
// position of its deletion is unknown.
func (c *Cache) diff(u store.Update) (changed []store.Row, ok bool) {
	if !c.sendDiffs || !c.at.IsSet() || u.At.Before(c.at) {
		return nil, false
	}
	listed := make(map[string]bool, len(u.Rows))
	for _, r := range u.Rows {
		listed[r.Key] = true
		if c.rows[r.Key].At == r.At || u.At.Before(r.At) {
			continue // a change between two pages of a read is delivered again, in order
		}
		if !c.at.Before(r.At) {
			return nil, false
		}
		changed = append(changed, r)
	}
	for key := range c.rows {
		if !listed[key] {
			changed = append(changed, store.Row{Key: key, At: u.At, Deleted: true})
		}
	}
	slices.SortFunc(changed, func(a, b store.Row) int { return a.At.Compare(b.At) })
	return changed, true
}

// KeepHistory enables or disables the history of changes for followers. A daemon without
// followers saves its memory: 3.5 MB for 8,192 changes of workers.
func (c *Cache) KeepHistory(changes bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.dropHistory = !changes
	c.trimHistory()
}

// trimHistory drops the history if it is disabled. The caller holds the lock.
func (c *Cache) trimHistory() {
	if c.dropHistory {
		c.clearChanges()
		c.gaps = nil
		c.base = c.at
	}
}

// applyChanges applies changes in order. The caller holds the lock.
func (c *Cache) applyChanges(changed []store.Row) {
	for _, r := range changed {
		if r.Deleted {
			delete(c.rows, r.Key)
		} else {
			c.rows[r.Key] = r
		}
	}
	c.changes = append(c.changes, changed...)
	for _, r := range changed {
		c.changesBytes += historyBytes(r)
	}
	extra := 0
	for len(c.changes)-extra > maxChanges || c.changesBytes > maxChangesBytes {
		c.changesBytes -= historyBytes(c.changes[extra])
		extra++
	}
	if extra > 0 {
		c.base = c.changes[extra-1].At
		c.changes = slices.Clone(c.changes[extra:])
	}
}

// historyBytes returns the memory that a row takes in the history.
func historyBytes(r store.Row) int { return len(r.Key) + len(r.Value) + rowOverhead }

// clearChanges drops the history. The caller holds the lock.
func (c *Cache) clearChanges() {
	c.changes = nil
	c.changesBytes = 0
}

// Rows returns all rows, and false before the first update.
func (c *Cache) Rows() (store.Snapshot, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	s := c.snapshotMeta()
	for _, r := range c.rows {
		s.Rows = append(s.Rows, r)
	}
	return s, c.at.IsSet()
}

// WaitRows returns all rows, and waits up to wait for the first update. It returns
// *EmptyError if none arrives.
func (c *Cache) WaitRows(ctx context.Context, wait time.Duration) (store.Snapshot, error) {
	ctx, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	for {
		updated := c.nextUpdate()
		if s, loaded := c.Rows(); loaded {
			return s, nil
		}
		select {
		case <-updated:
		case <-ctx.Done():
			return store.Snapshot{}, &EmptyError{Table: c.table}
		}
	}
}

// Evidence returns when the store was queried for the cached data, the zero time before the
// first update.
func (c *Cache) Evidence() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.evidence
}

// At returns the store's position as of the last update.
func (c *Cache) At() store.Position {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.at
}

// nextUpdate returns the channel that is closed at the next update that changes rows.
func (c *Cache) nextUpdate() <-chan struct{} {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.updated
}

// Changes returns the changes since a position as soon as there are any. It returns none
// after wait, or once the cached data is too old for followers, which may find newer data
// elsewhere. It returns *EmptyError before the first update of the position's era, and
// *store.HistoryLostError if the history doesn't reach back to the position.
func (c *Cache) Changes(ctx context.Context, since store.Position, wait time.Duration) (store.Snapshot, error) {
	deadline := c.now().Add(wait)
	for {
		s, updated, err := c.changesSince(since)
		now := c.now()
		remaining := min(deadline.Sub(now), s.Evidence.Add(c.maxAge).Sub(now))
		if err != nil || len(s.Rows) > 0 || remaining <= 0 {
			return s, err
		}
		timer := time.NewTimer(remaining)
		select {
		case <-updated:
		case <-timer.C:
		case <-ctx.Done():
		}
		timer.Stop()
		if ctx.Err() != nil {
			return store.Snapshot{}, ctx.Err()
		}
	}
}

func (c *Cache) changesSince(since store.Position) (store.Snapshot, <-chan struct{}, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.at.IsSet() || c.at.Era() < since.Era() {
		return store.Snapshot{}, nil, &EmptyError{Table: c.table}
	}
	if since.Before(c.base) || slices.ContainsFunc(c.gaps, func(g gap) bool { return g.contains(since) }) {
		return store.Snapshot{}, nil, &store.HistoryLostError{Table: c.table, Era: c.at.Era()}
	}
	s := c.snapshotMeta()
	from, found := slices.BinarySearchFunc(c.changes, since, func(r store.Row, p store.Position) int { return r.At.Compare(p) })
	for found && from < len(c.changes) && c.changes[from].At == since {
		from++
	}
	s.Rows = slices.Clone(c.changes[from:])
	s.Gap = slices.ContainsFunc(c.gaps, func(g gap) bool { return since.Before(g.to) })
	return s, c.updated, nil
}

// EmptyError reports that a table has no data yet.
type EmptyError struct{ Table string }

// Error implements error.
func (e *EmptyError) Error() string { return "nothing is known yet of " + e.Table }

// snapshotMeta returns a snapshot without rows. The caller holds the lock.
func (c *Cache) snapshotMeta() store.Snapshot {
	return store.Snapshot{At: c.at, Clock: c.clock, Evidence: c.evidence}
}
