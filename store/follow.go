package store

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"
)

// Update is the result of one call of a follower.
type Update struct {
	// Rows are all rows of the table if Full, else the changed ones.
	Rows []Row
	Full bool
	// Gap reports that rows may have been added and deleted in between without being
	// included.
	Gap bool
	// Evidence is when the call was sent. The content of the update was current then or
	// later; the rows may have changed since.
	Evidence time.Time
	// At is the store's position.
	At Position
	// Restored reports that the store was restored from an older copy since the last
	// update: rows may have gone back, and missing ones may have to be written again.
	Restored bool
	// Clock is the reading of the store's own clock at Evidence or later.
	Clock time.Duration
}

// Follower keeps a copy of a table up to date.
type Follower struct {
	// Reader reads from the store.
	Reader Reader
	Table  string
	// Wait returns how long the store may hold a call without changes.
	Wait func() time.Duration
	// Debounce returns the delay before the next call, so that many changes in a row don't
	// cost a call each. Nil means no delay.
	Debounce func() time.Duration
	// Apply applies an update.
	Apply func(Update)
	// ReportHealth is called with nil when the store starts to answer again, and with the
	// error when it stops answering.
	ReportHealth func(table string, err error)
	Now          func() time.Time

	failing bool
	// last is the position of the last answer.
	last Position
}

// Backoff between failed calls, with jitter so that processes that lose contact with the
// store at the same time don't all reconnect at once.
const (
	minBackoff = 100 * time.Millisecond
	maxBackoff = 700 * time.Millisecond
)

// Run follows the table until ctx ends.
func (f *Follower) Run(ctx context.Context) {
	backoff := minBackoff
	var since Position
	for ctx.Err() == nil {
		next, err := f.step(ctx, since)
		if err == nil {
			f.reportHealth(nil)
			since = next
			backoff = minBackoff
			if f.Debounce != nil {
				sleep(ctx, f.Debounce())
			}
			continue
		}
		var lost *HistoryLostError
		if errors.As(err, &lost) {
			since = Position{}
			backoff = minBackoff // a source that reports this is up
		}
		if ctx.Err() != nil {
			return
		}
		f.reportHealth(err)
		sleep(ctx, jitter(backoff))
		backoff = min(2*backoff, maxBackoff)
	}
}

// step makes one call and returns the position to continue from.
func (f *Follower) step(ctx context.Context, since Position) (Position, error) {
	sent := f.Now()
	if !since.IsSet() {
		snapshot, err := f.Reader.Rows(ctx, f.Table)
		if err != nil {
			return Position{}, err
		}
		restored := f.last.IsSet() && f.last.Era() < snapshot.At.Era()
		f.last = snapshot.At
		f.Apply(Update{Rows: snapshot.Rows, Full: true, Restored: restored, Evidence: evidenceOf(snapshot, sent), At: snapshot.At, Clock: snapshot.Clock})
		return snapshot.At, nil
	}
	snapshot, err := f.Reader.Changes(ctx, f.Table, since, f.Wait())
	if err != nil {
		return since, err
	}
	f.last = Later(since, snapshot.At)
	f.Apply(Update{Rows: latestChanges(snapshot.Rows), Gap: snapshot.Gap, Evidence: evidenceOf(snapshot, sent), At: snapshot.At, Clock: snapshot.Clock})
	return f.last, nil
}

// evidenceOf returns when the store was queried.
func evidenceOf(s Snapshot, sent time.Time) time.Time {
	if s.Evidence.IsZero() {
		return sent
	}
	return s.Evidence
}

// latestChanges returns the last change of each row. A feed contains all changes of a row
// in order; intermediate ones are obsolete.
func latestChanges(rows []Row) []Row {
	last := make(map[string]int, len(rows))
	for i, r := range rows {
		last[r.Key] = i
	}
	kept := make([]Row, 0, len(last))
	for i, r := range rows {
		if last[r.Key] == i {
			kept = append(kept, r)
		}
	}
	return kept
}

func (f *Follower) reportHealth(err error) {
	if f.failing == (err != nil) {
		return
	}
	f.failing = err != nil
	f.ReportHealth(f.Table, err)
}

// jitter returns a random duration between half of d and d.
func jitter(d time.Duration) time.Duration { return d/2 + rand.N(d/2+1) }

func sleep(ctx context.Context, d time.Duration) {
	if d <= 0 {
		return
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
