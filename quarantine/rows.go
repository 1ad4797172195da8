package quarantine

import (
	"cmp"
	"encoding/json"
	"slices"
	"strings"
	"time"

	"github.com/pointpass/pointpass/store"
)

// keyRow is the row of the key, and heldPrefix begins the names of those of requests that
// are held back. Rows of this package stand in a table that all daemons follow anyway, so
// that they cost no call while nothing happens.
const (
	keyRow     = "quarantine/key"
	heldPrefix = "quarantine/held/"
)

// Length is for how long a request is held back, by the store's clock. The software that it
// crashes may be another by then; if it isn't, three workers a day are the price.
const Length = 24 * time.Hour

// mostHeld is how many rows there may be. At 150 bytes each they are read within the time
// that the rows of 370 daemons take.
const mostHeld = 1000

// storedKey is the key as it is stored.
type storedKey struct {
	Key []byte `json:"key"`
}

// KeyIn returns the key among the rows of a table, false if it isn't there. It returns
// *RowError if the row can't be read.
func KeyIn(rows []store.Row) (k Key, found bool, err error) {
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

// FirstKey returns the transaction that stores a key in a table where there is none.
func FirstKey(table string, k Key) store.Txn {
	value, _ := json.Marshal(storedKey{Key: k[:]}) // bytes alone
	return store.Txn{
		Conditions: []store.Condition{{Table: table, Key: keyRow}},
		Writes:     []store.Write{{Table: table, Key: keyRow, Value: value}},
	}
}

// HeldIn returns the requests that rows of a table hold back, and an error about one that
// can't be read; the others count.
func HeldIn(rows []store.Row) (holds []Hold, err error) {
	for _, r := range rows {
		digits, is := strings.CutPrefix(r.Key, heldPrefix)
		if !is || r.Deleted {
			continue
		}
		f, ok := ParseFingerprint(digits)
		if !ok {
			err = &RowError{Row: r.Key, Err: errName}
			continue
		}
		h := Hold{}
		if failed := json.Unmarshal(r.Value, &h); failed != nil {
			err = &RowError{Row: r.Key, Err: failed} // the name alone holds it back
		}
		h.Fingerprint = f
		h.Version = r.At.Version()
		holds = append(holds, h)
	}
	return holds, err
}

// Store returns the transaction that stores a hold. It changes nothing and fails on its
// condition where the row is there.
func Store(table string, h Hold) store.Txn {
	value, _ := json.Marshal(h) // numbers and texts
	key := heldPrefix + h.Fingerprint.String()
	return store.Txn{
		Conditions: []store.Condition{{Table: table, Key: key}},
		Writes:     []store.Write{{Table: table, Key: key, Value: value}},
	}
}

// Remove returns the transaction that ends holds.
func Remove(table string, ended []Hold) store.Txn {
	var txn store.Txn
	for _, h := range ended {
		txn.Deletes = append(txn.Deletes, store.Write{Table: table, Key: heldPrefix + h.Fingerprint.String()})
	}
	return txn
}

// Overdue returns which rows are to be removed: those that are too old, and the oldest where
// there are too many. Clock is what the store's clock shows.
func Overdue(rows []Hold, clock time.Duration) []Hold {
	var overdue []Hold
	sorted := slices.Clone(rows)
	slices.SortFunc(sorted, func(a, b Hold) int { return cmp.Compare(a.SinceMs, b.SinceMs) })
	for i, h := range sorted {
		old := clock-time.Duration(h.SinceMs)*time.Millisecond > Length
		if h.Version != 0 && (old || len(sorted)-i > mostHeld) {
			overdue = append(overdue, h)
		}
	}
	return overdue[:min(len(overdue), mostRemoved)]
}

// mostRemoved is how many rows are removed at a time: half of what the store takes in one
// transaction.
const mostRemoved = 50
