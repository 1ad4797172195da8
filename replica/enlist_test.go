package replica

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/phuslu/log"
	"github.com/shoenig/test/must"

	"github.com/pointpass/pointpass/store"
)

// busyPart is one part of a store: it takes 200 transactions a second, in turn, and refuses
// with over a second waiting.
type busyPart struct {
	mu             sync.Mutex
	free           time.Time
	calls, refused int
	rows           map[string]bool
	away           bool
}

const partRate = 200

var errBusy = &store.CallError{Op: "commit", Status: 429}

func (p *busyPart) Commit(ctx context.Context, txn store.Txn) (store.Snapshot, error) {
	wait, err := p.queue(txn)
	if err != nil {
		return store.Snapshot{}, err
	}
	select {
	case <-time.After(wait):
		return store.Snapshot{}, nil
	case <-ctx.Done():
		return store.Snapshot{}, ctx.Err()
	}
}

func (p *busyPart) queue(txn store.Txn) (time.Duration, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.calls++
	now := time.Now()
	if p.free.Before(now) {
		p.free = now
	}
	if p.away || len(txn.Writes) > mostEnlisted || p.free.Sub(now) > time.Second {
		p.refused++
		return 0, errBusy
	}
	p.free = p.free.Add(time.Second / partRate)
	for _, w := range txn.Writes {
		p.rows[w.Key] = true
	}
	return p.free.Sub(now), nil
}

func (p *busyPart) Known(context.Context) (Known, error) { return Known{}, errOut }

// startAll starts nodes at one moment and returns the part of the store that their rows are
// in once all are there.
func startAll(t *testing.T, n int, enlist func(i int) func(context.Context, string, []byte) error, part *busyPart) (took time.Duration) {
	begun := time.Now()
	var starting sync.WaitGroup
	for i := range n {
		l := NewLease(LeaseOptions{
			Table: part, Self: selfWith(i, 0.2), Memory: &noMemory{}, Enlist: enlist(i),
			Now: time.Now, Log: &log.Logger{Level: log.PanicLevel},
		})
		starting.Go(func() {
			wait(t.Context(), time.Duration(i)*announceSpread/time.Duration(n))
			for l.announced.IsZero() {
				if !time.Now().Before(l.announceAt) {
					l.announce(t.Context())
				}
				wait(t.Context(), standbyEvery)
			}
		})
	}
	starting.Wait()
	must.MapLen(t, n, part.rows)
	return time.Since(begun)
}

// TestEnlister_AThousandStartWithAFewCalls: nodes that start together have their rows
// written by three of them, at the size of the largest fleet known and at twice it.
func TestEnlister_AThousandStartWithAFewCalls(t *testing.T) {
	for _, n := range []int{9, 984, 1968} {
		synctest.Test(t, func(t *testing.T) {
			part := &busyPart{rows: map[string]bool{}}
			seeds := []*Enlister{NewEnlister(part), NewEnlister(part), NewEnlister(part)}
			took := startAll(t, n, func(i int) func(context.Context, string, []byte) error { return seeds[i%len(seeds)].Enlist }, part)
			must.Less(t, 2*time.Second, took, must.Sprint(n))
			must.EqOp(t, 0, part.refused, must.Sprint(n))
			batches := len(seeds) * (int(announceSpread/gatherRows) + 1)
			must.LessEq(t, batches+n/mostEnlisted, part.calls, must.Sprint(n))
		})
	}
}

// TestAnnounce_WithoutSeedsFewTriesAreRefused: where each node writes its own row the part of
// the store is spent for seconds, and few write to it in vain. With a try each half second,
// whatever came of the last, they made twice as many calls in vain as there are rows.
func TestAnnounce_WithoutSeedsFewTriesAreRefused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		part := &busyPart{rows: map[string]bool{}}
		none := func(int) func(context.Context, string, []byte) error { return nil }
		took := startAll(t, 984, none, part)
		must.Less(t, 20*time.Second, took)
		must.Less(t, 984, part.refused)
	})
}

// TestEnlister_TellsWhoseRowWasNotWritten: all whose rows were to be written together hear of
// it, write their own rows, and those who come later are written.
func TestEnlister_TellsWhoseRowWasNotWritten(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		part := &busyPart{rows: map[string]bool{}, away: true}
		e := NewEnlister(part)
		errs := make(chan error, 3)
		for i := range 3 {
			go func() { errs <- e.Enlist(t.Context(), fmt.Sprint("n", i), nil) }()
		}
		for range 3 {
			must.True(t, errors.Is(<-errs, errBusy))
		}
		must.EqOp(t, 1, part.calls)
		part.away = false
		must.NoError(t, e.Enlist(t.Context(), "n1", nil))
		must.MapLen(t, 1, part.rows)
	})
}
