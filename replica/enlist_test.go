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

// storePartition simulates one partition of a store: it handles 200 transactions a second, one
// after the other, and rejects them while those of over a second wait.
type storePartition struct {
	mu              sync.Mutex
	freeAt          time.Time
	calls, rejected int
	rows            map[string]bool
	unavailable     bool
}

const partitionRate = 200

var errBusy = &store.CallError{Op: "commit", Status: 429}

func (p *storePartition) Commit(ctx context.Context, txn store.Txn) (store.Snapshot, error) {
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

func (p *storePartition) queue(txn store.Txn) (time.Duration, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.calls++
	now := time.Now()
	if p.freeAt.Before(now) {
		p.freeAt = now
	}
	if p.unavailable || len(txn.Writes) > maxBatchRows || p.freeAt.Sub(now) > time.Second {
		p.rejected++
		return 0, errBusy
	}
	p.freeAt = p.freeAt.Add(time.Second / partitionRate)
	for _, w := range txn.Writes {
		p.rows[w.Key] = true
	}
	return p.freeAt.Sub(now), nil
}

func (p *storePartition) Known(context.Context) (TableSnapshot, error) {
	return TableSnapshot{}, errUnavailable
}

// startAll starts nodes together, and returns how long it took until the rows of all were in
// the partition.
func startAll(t *testing.T, n int, enlist func(i int) func(context.Context, string, []byte) error, partition *storePartition) (took time.Duration) {
	started := time.Now()
	var starting sync.WaitGroup
	for i := range n {
		l := NewLease(LeaseOptions{
			Table: partition, Self: selfWith(i, 0.2), Handover: &fakeHandover{}, Enlist: enlist(i),
			Now: time.Now, Log: &log.Logger{Level: log.PanicLevel},
		})
		starting.Go(func() {
			wait(t.Context(), time.Duration(i)*announceJitter/time.Duration(n))
			for l.announced.IsZero() {
				if !time.Now().Before(l.announceAt) {
					l.announce(t.Context())
				}
				wait(t.Context(), leaseCheckInterval)
			}
		})
	}
	starting.Wait()
	must.MapLen(t, n, partition.rows)
	return time.Since(started)
}

// TestEnlister_BatchesNodesThatStartTogether has the rows of nodes that start together written
// by three of them, at the size of the largest known fleet and at twice that.
func TestEnlister_BatchesNodesThatStartTogether(t *testing.T) {
	for _, n := range []int{9, 984, 1968} {
		synctest.Test(t, func(t *testing.T) {
			partition := &storePartition{rows: map[string]bool{}}
			seeds := []*Enlister{NewEnlister(partition), NewEnlister(partition), NewEnlister(partition)}
			took := startAll(t, n, func(i int) func(context.Context, string, []byte) error { return seeds[i%len(seeds)].Enlist }, partition)
			must.Less(t, 2*time.Second, took, must.Sprint(n))
			must.EqOp(t, 0, partition.rejected, must.Sprint(n))
			batches := len(seeds) * (int(announceJitter/batchDelay) + 1)
			must.LessEq(t, batches+n/maxBatchRows, partition.calls, must.Sprint(n))
		})
	}
}

// TestAnnounce_BacksOffWithoutSeeds checks that few attempts are rejected when each node writes
// its own row, which takes the partition seconds. With an attempt every half second, whatever
// the last result, twice as many were rejected as there are rows.
func TestAnnounce_BacksOffWithoutSeeds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		partition := &storePartition{rows: map[string]bool{}}
		none := func(int) func(context.Context, string, []byte) error { return nil }
		took := startAll(t, 984, none, partition)
		must.Less(t, 20*time.Second, took)
		must.Less(t, 984, partition.rejected)
	})
}

// TestEnlister_ReportsFailedBatch checks that all nodes in a failed batch get the error, so
// that they write their own rows, and that later rows are written.
func TestEnlister_ReportsFailedBatch(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		partition := &storePartition{rows: map[string]bool{}, unavailable: true}
		e := NewEnlister(partition)
		errs := make(chan error, 3)
		for i := range 3 {
			go func() { errs <- e.Enlist(t.Context(), fmt.Sprint("n", i), nil) }()
		}
		for range 3 {
			must.True(t, errors.Is(<-errs, errBusy))
		}
		must.EqOp(t, 1, partition.calls)
		partition.unavailable = false
		must.NoError(t, e.Enlist(t.Context(), "n1", nil))
		must.MapLen(t, 1, partition.rows)
	})
}
