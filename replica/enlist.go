package replica

import (
	"context"
	"sync"
	"time"

	"github.com/pointpass/pointpass/store"
)

// Limits on writing the rows of other nodes.
const (
	// batchDelay is how long rows are collected before they are written together. Nodes that
	// start together announce themselves over announceJitter.
	batchDelay = 150 * time.Millisecond
	// maxBatchRows is how many rows one transaction writes: the known stores accept 100.
	maxBatchRows = 100
	// enlistTimeout limits a transaction, which may wait behind others for a second.
	enlistTimeout = 1200 * time.Millisecond
)

// Enlister writes the rows by which other nodes announce themselves, many in one transaction:
// one partition of a store handles 200 transactions a second, whatever they write. It is safe
// for concurrent use.
type Enlister struct {
	writer store.Writer

	mu      sync.Mutex
	pending *batch
}

// batch is a set of rows that are written in one transaction.
type batch struct {
	rows map[string]store.Write
	// full is closed once no more rows fit, done once err is set.
	full, done chan struct{}
	err        error
}

// NewEnlister returns an enlister that writes to a store.
func NewEnlister(writer store.Writer) *Enlister { return &Enlister{writer: writer} }

// Enlist writes a node's row, and returns once it is written. After an error the row may still
// be written later.
func (e *Enlister) Enlist(ctx context.Context, name string, value []byte) error {
	b := e.add(store.Write{Table: LeaseTable, Key: nodePrefix + name, Value: value})
	select {
	case <-b.done:
		return b.err
	case <-ctx.Done():
		return ctx.Err()
	}
}

// add adds a row to the next batch.
func (e *Enlister) add(row store.Write) *batch {
	e.mu.Lock()
	defer e.mu.Unlock()
	b := e.pending
	if b == nil {
		b = &batch{rows: map[string]store.Write{}, full: make(chan struct{}), done: make(chan struct{})}
		e.pending = b
		go e.write(b)
	}
	b.rows[row.Key] = row
	if len(b.rows) == maxBatchRows {
		e.pending = nil
		close(b.full)
	}
	return b
}

// write commits a batch after batchDelay, or as soon as it is full.
func (e *Enlister) write(b *batch) {
	timer := time.NewTimer(batchDelay)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-b.full:
	}
	e.mu.Lock()
	if e.pending == b {
		e.pending = nil
	}
	txn := store.Txn{}
	for _, row := range b.rows {
		txn.Writes = append(txn.Writes, row)
	}
	e.mu.Unlock()
	ctx, cancel := context.WithTimeout(context.Background(), enlistTimeout)
	defer cancel()
	_, b.err = e.writer.Commit(ctx, txn)
	close(b.done)
}
