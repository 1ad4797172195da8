package deps

import (
	"context"
	"errors"
	"time"

	"github.com/pointpass/pointpass/placement"
	"github.com/pointpass/pointpass/platform"
	"github.com/pointpass/pointpass/store"
)

// logStall logs that this process was stalled. The waiting requests then wait for the store too.
func (e *Edge) logStall(duration time.Duration) {
	e.Log.Warn().Str("event", "stood_still").Dur("for", duration).Int64("under_way", e.Server.InFlight()).Msg("the process was stalled; requests wait until the store has been read again")
}

// watchStalls detects stalls while there are no polls.
func (e *Edge) watchStalls(ctx context.Context) {
	ticker := time.NewTicker(placement.StallTickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			e.stall.Tick()
		}
	}
}

// configFollower returns the follower of the configuration's table. After a stall, each of its
// polls makes the cached state current again once its response is applied.
func (f *tableFollowers) configFollower() *store.Follower {
	r := &stallReader{reader: f.reader, stall: f.edge.stall}
	follower := f.follower(platform.ConfigTable, f.edge.applyConfig)
	follower.Reader = r
	apply := follower.Apply
	follower.Apply = func(u store.Update) {
		apply(u)
		r.done()
	}
	return follower
}

// stallReader is the store reader of one follower.
type stallReader struct {
	reader store.Reader
	stall  *placement.StallDetector
	// done must be called once the response to the last poll was applied.
	done func()
}

// finishOnError ends a poll that failed. A poll whose history is lost doesn't end, since a read of
// the whole table follows.
func (r *stallReader) finishOnError(err error) {
	var lost *store.HistoryLostError
	if err != nil && !errors.As(err, &lost) {
		r.done()
	}
}

// Rows reads all rows of a table.
func (r *stallReader) Rows(ctx context.Context, table string) (store.Snapshot, error) {
	r.done = r.stall.StartQuery()
	s, err := r.reader.Rows(ctx, table)
	r.finishOnError(err)
	return s, err
}

// Changes reads the changes of a table.
func (r *stallReader) Changes(ctx context.Context, table string, since store.Position, wait time.Duration) (store.Snapshot, error) {
	r.done = r.stall.StartQuery()
	s, err := r.reader.Changes(ctx, table, since, wait)
	r.finishOnError(err)
	return s, err
}
