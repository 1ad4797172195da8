package deps

import (
	"context"
	"errors"
	"time"

	"github.com/pointpass/pointpass/placement"
	"github.com/pointpass/pointpass/platform"
	"github.com/pointpass/pointpass/store"
)

// logStandstill tells that this process stood still, so that requests that were waiting for
// it waited for the store too.
func (e *Edge) logStandstill(length time.Duration) {
	e.Log.Warn().Str("event", "stood_still").Dur("for", length).Int64("under_way", e.Server.UnderWay()).Msg("requests wait until the store was asked anew")
}

// watchStandstill has standstills noticed while nothing is asked for.
func (e *Edge) watchStandstill(ctx context.Context) {
	ticker := time.NewTicker(placement.StandstillTick)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			e.standstill.Tick()
		}
	}
}

// settlingFollower returns the follower of the configuration's table. Each of its
// questions settles what is known after a standstill, once its answer is taken in.
func (f *following) settlingFollower() *store.Follower {
	r := &settlingReader{reader: f.reader, standstill: f.edge.standstill}
	follower := f.follower(platform.ConfigTable, f.edge.applyConfig)
	follower.Reader = r
	apply := follower.Apply
	follower.Apply = func(u store.Update) {
		apply(u)
		r.ended()
	}
	return follower
}

// settlingReader is the reader of one follower.
type settlingReader struct {
	reader     store.Reader
	standstill *placement.Standstill
	// ended has to be called when the answer to the last question was taken in.
	ended func()
}

// failed takes in that a question has no answer. One that is only followed by another,
// for the whole table, has not ended.
func (r *settlingReader) failed(err error) {
	var lost *store.HistoryLostError
	if err != nil && !errors.As(err, &lost) {
		r.ended()
	}
}

// Rows asks for all rows of a table.
func (r *settlingReader) Rows(ctx context.Context, table string) (store.Snapshot, error) {
	r.ended = r.standstill.Asking()
	s, err := r.reader.Rows(ctx, table)
	r.failed(err)
	return s, err
}

// Changes asks for what changed in a table.
func (r *settlingReader) Changes(ctx context.Context, table string, since store.Position, wait time.Duration) (store.Snapshot, error) {
	r.ended = r.standstill.Asking()
	s, err := r.reader.Changes(ctx, table, since, wait)
	r.failed(err)
	return s, err
}
