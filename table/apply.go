package table

import "strings"

// Apply updates entries, whose keys are those of the rows without the prefix, from changed rows. decoded
// returns the entry of a row with the given value. A row that was removed or can't be decoded removes
// its entry.
func Apply[Value, Entry any](entries map[string]Entry, prefix string, rows []Row, decoded func(id string, v Value, row Row) Entry) {
	for _, row := range rows {
		id := strings.TrimPrefix(row.Key(), prefix)
		var v Value
		if row.Deleted() || row.Decode(&v) != nil {
			delete(entries, id)
			continue
		}
		entries[id] = decoded(id, v, row)
	}
}
