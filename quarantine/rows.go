package quarantine

import (
	"encoding/json"

	"github.com/pointpass/pointpass/store"
)

// keyRow is the row of the key. Rows of this package stand in a table that all daemons
// follow anyway, so that they cost no call while nothing happens.
const keyRow = "quarantine/key"

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
