package quarantine

import (
	"cmp"
	"encoding/json"
	"slices"
	"strings"
	"time"

	"github.com/pointpass/pointpass/common/units"
	"github.com/pointpass/pointpass/store"
)

// keyRow is the name of the row with the key, and heldPrefix the prefix of the names of hold
// rows. The rows of this package are in a table that all daemons follow anyway, so that they
// cost no calls while nothing changes.
const (
	keyRow     = "quarantine/key"
	heldPrefix = "quarantine/held/"
)

// HoldDuration is how long a request is held back, by the store's clock. By then the software
// that it crashes may have been updated; if it hasn't, the cost is three workers per day.
const HoldDuration = 24 * time.Hour

// maxHeld is the maximum number of hold rows. At 150 bytes each they are read in the same time
// as the rows of 370 daemons.
const maxHeld = 1000

// storedKey is the encoding of the key in its row.
type storedKey struct {
	Key []byte `json:"key"`
}

// FindKey returns the key among the rows of a table, false if there is none. It returns
// *RowError if the row can't be decoded.
func FindKey(rows []store.Row) (k Key, found bool, err error) {
	for _, r := range rows {
		if r.Key != keyRow || r.Deleted {
			continue
		}
		var stored storedKey
		if err := json.Unmarshal(r.Value, &stored); err != nil {
			return Key{}, false, &RowError{Row: r.Key, Err: err}
		}
		if len(stored.Key) != KeyBytes {
			return Key{}, false, &RowError{Row: r.Key, Err: errKeyLength}
		}
		return Key(stored.Key), true, nil
	}
	return Key{}, false, nil
}

// FirstKey returns the transaction that stores a key in a table that has none.
func FirstKey(table string, k Key) store.Txn {
	value, _ := json.Marshal(storedKey{Key: k[:]}) // can't fail: bytes only
	return store.Txn{
		Conditions: []store.Condition{{Table: table, Key: keyRow}},
		Writes:     []store.Write{{Table: table, Key: keyRow, Value: value}},
	}
}

// ParseHolds returns the holds among the rows of a table, and an error about a row that can't
// be decoded; the other rows are still returned.
func ParseHolds(rows []store.Row) (holds []Hold, err error) {
	for _, r := range rows {
		digits, isHold := strings.CutPrefix(r.Key, heldPrefix)
		if !isHold || r.Deleted {
			continue
		}
		f, ok := ParseFingerprint(digits)
		if !ok {
			err = &RowError{Row: r.Key, Err: errName}
			continue
		}
		h := Hold{}
		if decodeErr := json.Unmarshal(r.Value, &h); decodeErr != nil {
			err = &RowError{Row: r.Key, Err: decodeErr} // the row name alone holds the request back
			h.Parts = nil
		}
		if len(h.Parts) > 0 && NewPartSet(h.Parts...).Fingerprint() != f {
			err = &RowError{Row: r.Key, Err: errParts}
			h.Parts = nil
		}
		h.Fingerprint = f
		h.Version = r.At.Version()
		holds = append(holds, h)
	}
	return holds, err
}

// StoreHold returns the transaction that stores a hold. If the row exists, the transaction
// fails on its condition and changes nothing.
func StoreHold(table string, h Hold) store.Txn {
	value, _ := json.Marshal(h) // can't fail: numbers and strings only
	key := heldPrefix + h.Fingerprint.String()
	return store.Txn{
		Conditions: []store.Condition{{Table: table, Key: key}},
		Writes:     []store.Write{{Table: table, Key: key, Value: value}},
	}
}

// RemoveHolds returns the transaction that removes holds.
func RemoveHolds(table string, ended []Hold) store.Txn {
	var txn store.Txn
	for _, h := range ended {
		txn.Deletes = append(txn.Deletes, store.Write{Table: table, Key: heldPrefix + h.Fingerprint.String()})
	}
	return txn
}

// ExpiredHolds returns the rows to remove: those that are too old, and the oldest if there are
// too many. Clock is the time of the store's clock.
func ExpiredHolds(rows []Hold, clock time.Duration) []Hold {
	var overdue []Hold
	sorted := slices.Clone(rows)
	slices.SortFunc(sorted, func(a, b Hold) int { return cmp.Compare(a.SinceMs, b.SinceMs) })
	for i, h := range sorted {
		age := clock - units.Millis(h.SinceMs)
		expired := age.Abs() > HoldDuration // no decision lies that far in the future
		if h.Version != 0 && (expired || len(sorted)-i > maxHeld) {
			overdue = append(overdue, h)
		}
	}
	return overdue[:min(len(overdue), maxRemoved)]
}

// maxRemoved is how many rows are removed per transaction: half of what the store accepts.
const maxRemoved = 50
