package store

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"
)

// Update is what a follower learns from one answer of the store.
type Update struct {
	// Rows are all rows of the table if Full, else those that changed.
	Rows []Row
	Full bool
	// Gap tells that rows may have come and gone in between that aren't told.
	Gap bool
	// Evidence is when the call was sent. What the update says was true then or
	// later; nothing is known about the time after.
	Evidence time.Time
	// At is where the store's history stood.
	At Position
	// Restored tells that the store came back from an older copy since the last update: rows
	// may have gone back, and what is missing may be written again.
	Restored bool
	// Clock is what the store's own clock showed at Evidence or later.
	Clock time.Duration
}

// Follower keeps a copy of a table up to date.
type Follower struct {
	// Reader reads the store.
	Reader Reader
	Table  string
	// Wait is how long the store may hold a call that has nothing to tell.
	Wait func() time.Duration
	// Pause returns how long changes are left to gather before they are asked for
	// again, so that many changes in a row don't cost a call each. Nil stands for
	// no pause.
	Pause func() time.Duration
	// Apply takes in an update.
	Apply func(Update)
	// Health is told each change of whether the store answers, and why not.
	Health func(table string, err error)
	Now    func() time.Time

	broken bool
	// last is when the table was last heard of.
	last Position
}

// Pauses between failed calls, with jitter so that processes that lost the
// store together don't come back together.
const (
	firstPause = 100 * time.Millisecond
	mostPause  = 700 * time.Millisecond
)

// Run follows the table until ctx ends.
func (f *Follower) Run(ctx context.Context) {
	pause := firstPause
	var since Position
	for ctx.Err() == nil {
		next, err := f.step(ctx, since)
		if err == nil {
			f.report(nil)
			since = next
			pause = firstPause
			if f.Pause != nil {
				sleep(ctx, f.Pause())
			}
			continue
		}
		var lost *HistoryLostError
		if errors.As(err, &lost) {
			since = Position{}
			pause = firstPause // whoever says so is there
		}
		if ctx.Err() != nil {
			return
		}
		f.report(err)
		sleep(ctx, jitter(pause))
		pause = min(2*pause, mostPause)
	}
}

// step makes one call and returns the position to go on from.
func (f *Follower) step(ctx context.Context, since Position) (Position, error) {
	sent := f.Now()
	if !since.Known() {
		snapshot, err := f.Reader.Rows(ctx, f.Table)
		if err != nil {
			return Position{}, err
		}
		restored := f.last.Known() && f.last.Era() < snapshot.At.Era()
		f.last = snapshot.At
		f.Apply(Update{Rows: snapshot.Rows, Full: true, Restored: restored, Evidence: evidenceOf(snapshot, sent), At: snapshot.At, Clock: snapshot.Clock})
		return snapshot.At, nil
	}
	snapshot, err := f.Reader.Changes(ctx, f.Table, since, f.Wait())
	if err != nil {
		return since, err
	}
	f.last = Later(since, snapshot.At)
	f.Apply(Update{Rows: newest(snapshot.Rows), Gap: snapshot.Gap, Evidence: evidenceOf(snapshot, sent), At: snapshot.At, Clock: snapshot.Clock})
	return f.last, nil
}

// evidenceOf returns when the store was asked.
func evidenceOf(s Snapshot, sent time.Time) time.Time {
	if s.Evidence.IsZero() {
		return sent
	}
	return s.Evidence
}

// newest returns the last of each row's changes. A feed tells all changes of a row
// in order; what it was in between no longer counts.
func newest(rows []Row) []Row {
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

func (f *Follower) report(err error) {
	if f.broken == (err != nil) {
		return
	}
	f.broken = err != nil
	f.Health(f.Table, err)
}

// jitter returns a length between half of d and d.
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
