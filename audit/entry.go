// Package audit stores the audit trail: who changed what, when and why, with the
// values before and after. An entry is written in the transaction that makes the
// change, so that neither exists without the other.
package audit

import (
	"context"
	"fmt"
	"time"

	"github.com/google/uuid"

	"github.com/pointpass/pointpass/table"
)

// Prefix is the key prefix of the entries' rows. Keys sort by time.
const Prefix = "audit/"

// Entry describes one change.
type Entry struct {
	time    time.Time
	who     string
	what    string
	subject string
	why     string
	before  string
	after   string
}

// NewEntry returns an entry for a change to a subject; what is the kind of change.
func NewEntry(now time.Time, who, what, subject, why string) Entry {
	return Entry{time: now, who: who, what: what, subject: subject, why: why}
}

// WithChange returns the entry with the values before and after the change.
func (e Entry) WithChange(before, after string) Entry {
	e.before = before
	e.after = after
	return e
}

// Time returns the time of the change by the writer's clock.
func (e Entry) Time() time.Time { return e.time }

// Who returns the operator or daemon that made the change.
func (e Entry) Who() string { return e.who }

// What returns the kind of change.
func (e Entry) What() string { return e.what }

// Subject returns the name of the changed object.
func (e Entry) Subject() string { return e.subject }

// Why returns the reason for the change.
func (e Entry) Why() string { return e.why }

// Before returns the value before the change.
func (e Entry) Before() string { return e.before }

// After returns the value after the change.
func (e Entry) After() string { return e.after }

type entryRow struct {
	TimeMS  int64  `json:"time_ms"`
	Who     string `json:"who"`
	What    string `json:"what"`
	Subject string `json:"subject"`
	Why     string `json:"why,omitempty"`
	Before  string `json:"before,omitempty"`
	After   string `json:"after,omitempty"`
}

// Append adds an entry to the transaction that makes the change.
func Append(txn *table.Txn, e Entry) {
	key := fmt.Sprintf("%s%013d-%s", Prefix, e.time.UnixMilli(), uuid.NewString())
	txn.Put(key, entryRow{
		TimeMS:  e.time.UnixMilli(),
		Who:     e.who,
		What:    e.what,
		Subject: e.subject,
		Why:     e.why,
		Before:  e.before,
		After:   e.after,
	})
}

// Reader is the part of the platform's table that Last uses.
type Reader interface {
	Last(ctx context.Context, prefix string, limit int) (table.Changes, error)
}

// Last returns up to limit of the newest entries, oldest first.
func Last(ctx context.Context, reader Reader, limit int) ([]Entry, error) {
	changes, err := reader.Last(ctx, Prefix, limit)
	if err != nil {
		return nil, err
	}
	entries := make([]Entry, 0, len(changes.Rows()))
	for _, row := range changes.Rows() {
		var r entryRow
		if err := row.Decode(&r); err != nil {
			return nil, err
		}
		entry := NewEntry(time.UnixMilli(r.TimeMS), r.Who, r.What, r.Subject, r.Why)
		entries = append(entries, entry.WithChange(r.Before, r.After))
	}
	return entries, nil
}
