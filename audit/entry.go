// Package audit keeps the trail of changes: who changed what, when, why, from
// what to what. Entries are written in the same transaction as the change, so
// there is no change without its entry and no entry without its change.
package audit

import (
	"context"
	"fmt"
	"time"

	"github.com/google/uuid"

	"github.com/pointpass/pointpass/table"
)

// Prefix is where the entries' rows are, in order of time.
const Prefix = "audit/"

// Entry is one change.
type Entry struct {
	time    time.Time
	who     string
	what    string
	subject string
	why     string
	before  string
	after   string
}

// NewEntry returns an entry for a change of kind what to a subject.
func NewEntry(now time.Time, who, what, subject, why string) Entry {
	return Entry{time: now, who: who, what: what, subject: subject, why: why}
}

// WithChange adds what stood before and after.
func (e Entry) WithChange(before, after string) Entry {
	e.before = before
	e.after = after
	return e
}

// Time returns when the change was made, by the writer's clock.
func (e Entry) Time() time.Time { return e.time }

// Who returns the operator or the daemon.
func (e Entry) Who() string { return e.who }

// What returns the kind of change.
func (e Entry) What() string { return e.what }

// Subject returns what was changed.
func (e Entry) Subject() string { return e.subject }

// Why returns the reason that was given.
func (e Entry) Why() string { return e.why }

// Before returns what stood before.
func (e Entry) Before() string { return e.before }

// After returns what stands now.
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

// Reader is what reading the trail needs of the platform's table.
type Reader interface {
	Last(ctx context.Context, prefix string, limit int) (table.Changes, error)
}

// Last returns the last entries, oldest first.
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
