package claims

import (
	"bytes"
	"context"
	"errors"
	"time"

	"golang.org/x/time/rate"

	"github.com/pointpass/pointpass/table"
)

// TablePrefix is the prefix of the rows for claims of keys without a timestamp.
const TablePrefix = "claim/"

// Store is the part of the platform's table that durable claims use.
type Store interface {
	Commit(ctx context.Context, txn table.Txn) (uint64, error)
	Scan(ctx context.Context, after uint64, prefixes ...string) (table.Changes, error)
}

// Table stores one row for each key that carries no timestamp. The platform
// supports few writes, so claims are rate-limited.
type Table struct {
	store   Store
	limiter *rate.Limiter
	now     func() time.Time
}

// NewTable returns durable claims, limited to perSecond claims per second.
func NewTable(store Store, perSecond int, now func() time.Time) *Table {
	return &Table{store: store, limiter: rate.NewLimiter(rate.Limit(perSecond), perSecond), now: now}
}

type claimRow struct {
	Fingerprint      []byte    `json:"fingerprint"`
	Attempt          string    `json:"attempt"`
	State            State     `json:"state"`
	SettleDeadlineMS int64     `json:"hold_until_ms"`
	Status           int       `json:"status,omitempty"`
	ContentType      string    `json:"content_type,omitempty"`
	Body             []byte    `json:"body,omitempty"`
	Written          time.Time `json:"written"`
}

// ErrTooMany means that claims for keys without a timestamp exceed their rate limit.
var ErrTooMany = errors.New("claims: rate limit for keys without a timestamp exceeded")

// Claim writes the row of a claim unless the key already has one.
func (t *Table) Claim(ctx context.Context, req Request) (Result, error) {
	if !t.limiter.Allow() {
		return Result{}, ErrTooMany
	}
	key := rowKey(req)
	row := claimRow{
		Fingerprint:      req.fingerprint,
		Attempt:          req.attempt,
		State:            Running,
		SettleDeadlineMS: t.now().Add(req.settleTimeout).UnixMilli(),
		Written:          t.now(),
	}
	var last error
	for range maxTries {
		txn := (&table.Txn{}).Check(key, 0).Put(key, row)
		_, err := t.store.Commit(ctx, *txn)
		if err == nil {
			return Result{state: Granted}, nil
		}
		var conflict *table.ConflictError
		if errors.As(err, &conflict) {
			return t.existing(conflict, key, req)
		}
		last = err
	}
	return Result{}, &OwnerError{text: key, err: last}
}

func (t *Table) existing(conflict *table.ConflictError, key string, req Request) (Result, error) {
	for _, found := range conflict.Rows() {
		var row claimRow
		if found.Key() != key || found.Decode(&row) != nil {
			continue
		}
		return t.resultOf(row, req), nil
	}
	return Result{}, &OwnerError{text: key, err: conflict}
}

func (t *Table) resultOf(row claimRow, req Request) Result {
	switch {
	case !bytes.Equal(row.Fingerprint, req.fingerprint):
		return Result{state: Mismatch}
	case row.State == Running && row.Attempt == req.attempt:
		return Result{state: Granted}
	case row.State == Running && t.now().UnixMilli() > row.SettleDeadlineMS:
		return Result{state: Unknown}
	case row.State == Done && row.Status != 0:
		return Result{state: Done, answer: NewAnswer(row.Status, row.ContentType, row.Body)}
	}
	return Result{state: row.State}
}

// Settle writes how the attempt ended, if the row still belongs to this attempt.
func (t *Table) Settle(ctx context.Context, req Request, s Settlement, answer *Answer) error {
	key := rowKey(req)
	changes, err := t.store.Scan(ctx, 0, key)
	if err != nil {
		return &OwnerError{text: key, err: err}
	}
	for _, found := range changes.Rows() {
		var row claimRow
		if found.Key() != key || found.Deleted() || found.Decode(&row) != nil || row.Attempt != req.attempt {
			continue
		}
		txn := (&table.Txn{}).Check(key, found.Version())
		if s == SettledNotRun {
			txn.Delete(key)
		} else {
			txn.Put(key, settledRow(row, s, answer))
		}
		if _, err := t.store.Commit(ctx, *txn); err != nil {
			return &OwnerError{text: key, err: err}
		}
	}
	return nil
}

func settledRow(row claimRow, s Settlement, answer *Answer) claimRow {
	row.State = Unknown
	if s != SettledDone {
		return row
	}
	row.State = Done
	if answer != nil {
		row.Status = answer.status
		row.ContentType = answer.contentType
		row.Body = answer.body
	}
	return row
}

func rowKey(req Request) string { return TablePrefix + req.customer + "/" + req.key }
