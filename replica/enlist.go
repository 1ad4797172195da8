package replica

import (
	"context"
	"sync"
	"time"

	"github.com/pointpass/pointpass/store"
)

// Bounds of writing the rows of other nodes.
const (
	// gatherRows is how long rows gather before they are written together. Nodes that start
	// together announce themselves over announceSpread.
	gatherRows = 150 * time.Millisecond
	// mostEnlisted is how many rows one transaction writes: the stores known take 100.
	mostEnlisted = 100
	// enlistTimeout bounds a transaction: it may wait for a second behind others.
	enlistTimeout = 1200 * time.Millisecond
)

// Enlister writes the rows by which nodes announce themselves for others, many in one
// transaction: one part of a store takes 200 transactions a second, whatever they write. It is
// safe for use by many goroutines.
type Enlister struct {
	writer store.Writer

	mu      sync.Mutex
	waiting *enlistment
}

// enlistment is rows that are written together.
type enlistment struct {
	rows map[string]store.Write
	// full is closed once no more rows fit, done once err is known.
	full, done chan struct{}
	err        error
}

// NewEnlister returns an enlister that writes to a store.
func NewEnlister(writer store.Writer) *Enlister { return &Enlister{writer: writer} }

// Enlist writes a node's row, and returns once it is written, or why it isn't: then it may
// still come to be.
func (e *Enlister) Enlist(ctx context.Context, name string, value []byte) error {
	b := e.join(store.Write{Table: LeaseTable, Key: nodePrefix + name, Value: value})
	select {
	case <-b.done:
		return b.err
	case <-ctx.Done():
		return ctx.Err()
	}
}

// join adds a row to those that are written next.
func (e *Enlister) join(row store.Write) *enlistment {
	e.mu.Lock()
	defer e.mu.Unlock()
	b := e.waiting
	if b == nil {
		b = &enlistment{rows: map[string]store.Write{}, full: make(chan struct{}), done: make(chan struct{})}
		e.waiting = b
		go e.write(b)
	}
	b.rows[row.Key] = row
	if len(b.rows) == mostEnlisted {
		e.waiting = nil
		close(b.full)
	}
	return b
}

// write writes rows once they have gathered.
func (e *Enlister) write(b *enlistment) {
	timer := time.NewTimer(gatherRows)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-b.full:
	}
	e.mu.Lock()
	if e.waiting == b {
		e.waiting = nil
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
