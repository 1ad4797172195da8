// Package relay passes what the store says from one daemon to others, so that the
// calls to the store don't grow with the number of daemons. It keeps nothing that
// the store doesn't: whoever can't be asked is left out, and the store is asked in
// its place.
package relay

import (
	"cmp"
	"context"
	"slices"
	"sync"
	"time"

	"github.com/pointpass/pointpass/store"
)

// mostChanges is how many changes a cache remembers.
const mostChanges = 8192

// Cache holds one table as this daemon follows it. It is safe for use by many
// goroutines.
type Cache struct {
	table   string
	mostAge time.Duration
	now     func() time.Time

	mu      sync.Mutex
	rows    map[string]store.Row
	version uint64
	// changes are the latest changes in order of version; all since base are
	// there.
	changes  []store.Row
	base     uint64
	evidence time.Time
	clock    time.Duration
	// news is closed at the next update that changes rows.
	news chan struct{}
}

// NewCache returns an empty cache of a table, which others may rely on while its
// evidence is at most mostAge old.
func NewCache(table string, mostAge time.Duration, now func() time.Time) *Cache {
	return &Cache{table: table, mostAge: mostAge, now: now, rows: map[string]store.Row{}, news: make(chan struct{})}
}

// Apply takes in what the store said. What happened before all rows were read is not
// known: rows may have come and gone in between.
func (c *Cache) Apply(u store.Update) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if u.Full {
		clear(c.rows)
		c.changes = nil
		c.base = u.Version
	}
	c.record(u.Rows, u.Full)
	c.version = max(c.version, u.Version)
	c.clock = max(c.clock, u.Clock)
	if u.Evidence.After(c.evidence) {
		c.evidence = u.Evidence
	}
	if u.Full || len(u.Rows) > 0 {
		close(c.news)
		c.news = make(chan struct{})
	}
}

func (c *Cache) record(changed []store.Row, full bool) {
	for _, r := range changed {
		if r.Deleted {
			delete(c.rows, r.Key)
		} else {
			c.rows[r.Key] = r
		}
	}
	if full {
		return
	}
	c.changes = append(c.changes, changed...)
	if extra := len(c.changes) - mostChanges; extra > 0 {
		c.base = c.changes[extra-1].Version
		c.changes = slices.Clone(c.changes[extra:])
	}
}

// Rows returns all rows, and false before there are any.
func (c *Cache) Rows() (store.Snapshot, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	s := c.snapshot()
	for _, r := range c.rows {
		s.Rows = append(s.Rows, r)
	}
	return s, c.version > 0
}

// First returns all rows, and waits for the first update where there was none. It
// returns *EmptyError if none comes within wait.
func (c *Cache) First(ctx context.Context, wait time.Duration) (store.Snapshot, error) {
	ctx, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	for {
		news := c.nextNews()
		if s, known := c.Rows(); known {
			return s, nil
		}
		select {
		case <-news:
		case <-ctx.Done():
			return store.Snapshot{}, &EmptyError{Table: c.table}
		}
	}
}

// nextNews returns the channel that the next update which changes rows closes.
func (c *Cache) nextNews() <-chan struct{} {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.news
}

// Changes returns what has changed since a version, as soon as there is something,
// or nothing after wait, or once what is here is too old for others: they may find
// something younger elsewhere. It returns *EmptyError before the first update and
// *store.HistoryLostError if the cache doesn't reach that far back.
func (c *Cache) Changes(ctx context.Context, since uint64, wait time.Duration) (store.Snapshot, error) {
	until := c.now().Add(wait)
	for {
		s, news, err := c.changed(since)
		now := c.now()
		left := min(until.Sub(now), s.Evidence.Add(c.mostAge).Sub(now))
		if err != nil || len(s.Rows) > 0 || left <= 0 {
			return s, err
		}
		timer := time.NewTimer(left)
		select {
		case <-news:
		case <-timer.C:
		case <-ctx.Done():
		}
		timer.Stop()
		if ctx.Err() != nil {
			return store.Snapshot{}, ctx.Err()
		}
	}
}

func (c *Cache) changed(since uint64) (store.Snapshot, <-chan struct{}, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.version == 0 {
		return store.Snapshot{}, nil, &EmptyError{Table: c.table}
	}
	if since < c.base {
		return store.Snapshot{}, nil, &store.HistoryLostError{Table: c.table}
	}
	s := c.snapshot()
	from, _ := slices.BinarySearchFunc(c.changes, since+1, func(r store.Row, v uint64) int { return cmp.Compare(r.Version, v) })
	s.Rows = slices.Clone(c.changes[from:])
	return s, c.news, nil
}

// EmptyError tells that nothing of a table is known yet.
type EmptyError struct{ Table string }

// Error describes the error.
func (e *EmptyError) Error() string { return "nothing is known yet of " + e.Table }

// snapshot returns all but the rows. The caller holds the lock.
func (c *Cache) snapshot() store.Snapshot {
	return store.Snapshot{Version: c.version, Clock: c.clock, Evidence: c.evidence}
}
