package table

import (
	"encoding/json"
	"strings"
)

// Row is one row of the table, at the version it was read.
type Row struct {
	key     string
	version uint64
	value   json.RawMessage
	deleted bool
}

// NewRow returns a row, for fakes of the table in tests.
func NewRow(key string, version uint64, value json.RawMessage, deleted bool) Row {
	return Row{key: key, version: version, value: value, deleted: deleted}
}

// Key returns the row's key.
func (r Row) Key() string { return r.key }

// Version returns the table's version at which the row was last written.
func (r Row) Version() uint64 { return r.version }

// Deleted reports whether the last write removed the row.
func (r Row) Deleted() bool { return r.deleted }

// Decode decodes the row's JSON value into v.
func (r Row) Decode(v any) error {
	if err := json.Unmarshal(r.value, v); err != nil {
		return &RequestError{op: "decode " + r.key, err: err}
	}
	return nil
}

// HasPrefix reports whether the row's key starts with a prefix.
func (r Row) HasPrefix(prefix string) bool { return strings.HasPrefix(r.key, prefix) }

// Changes is the result of a scan: rows at one version of the table.
type Changes struct {
	version uint64
	rows    []Row
}

// NewChanges returns the result of a scan, for fakes of the table.
func NewChanges(version uint64, rows []Row) Changes { return Changes{version: version, rows: rows} }

// Version returns the version of the table at the scan.
func (c Changes) Version() uint64 { return c.version }

// Rows returns the rows that the scan found.
func (c Changes) Rows() []Row { return c.rows }

// Txn is a conditional transaction over several rows.
type Txn struct {
	checks  []wireCheck
	puts    []wirePut
	deletes []string
	err     error
}

// Check makes the transaction fail unless the row has the version at the commit.
// Version 0 means that the row must not exist.
func (t *Txn) Check(key string, version uint64) *Txn {
	t.checks = append(t.checks, wireCheck{Key: key, Version: version})
	return t
}

// Put writes a row. If the value can't be encoded as JSON, the commit fails.
func (t *Txn) Put(key string, value any) *Txn {
	data, err := json.Marshal(value)
	if err != nil && t.err == nil {
		t.err = err
	}
	t.puts = append(t.puts, wirePut{Key: key, Value: data})
	return t
}

// Delete removes a row.
func (t *Txn) Delete(key string) *Txn {
	t.deletes = append(t.deletes, key)
	return t
}

// MarshalJSON encodes the transaction in the platform's protocol.
func (t Txn) MarshalJSON() ([]byte, error) {
	if t.err != nil {
		return nil, t.err
	}
	return json.Marshal(wireTxn{Checks: t.checks, Puts: t.puts, Deletes: t.deletes})
}

// UnmarshalJSON decodes a transaction encoded by MarshalJSON.
func (t *Txn) UnmarshalJSON(data []byte) error {
	var wire wireTxn
	if err := json.Unmarshal(data, &wire); err != nil {
		return err
	}
	*t = Txn{checks: wire.Checks, puts: wire.Puts, deletes: wire.Deletes}
	return nil
}

// MarshalJSON encodes the row in the platform's protocol.
func (r Row) MarshalJSON() ([]byte, error) {
	return json.Marshal(wireRow{Key: r.key, Version: r.version, Value: r.value, Deleted: r.deleted})
}

// UnmarshalJSON decodes a row encoded by MarshalJSON.
func (r *Row) UnmarshalJSON(data []byte) error {
	var wire wireRow
	if err := json.Unmarshal(data, &wire); err != nil {
		return err
	}
	*r = Row{key: wire.Key, version: wire.Version, value: wire.Value, deleted: wire.Deleted}
	return nil
}

type wireCheck struct {
	Key     string `json:"key"`
	Version uint64 `json:"version"`
}

type wirePut struct {
	Key   string          `json:"key"`
	Value json.RawMessage `json:"value"`
}

type wireTxn struct {
	Checks  []wireCheck `json:"checks"`
	Puts    []wirePut   `json:"puts"`
	Deletes []string    `json:"deletes"`
}

type wireRow struct {
	Key     string          `json:"key"`
	Version uint64          `json:"version"`
	Value   json.RawMessage `json:"value"`
	Deleted bool            `json:"deleted"`
}

type wireVM struct {
	ID     string `json:"id"`
	Addr   string `json:"addr"`
	Hall   string `json:"hall"`
	Domain string `json:"domain"`
	Pool   string `json:"pool"`
	State  string `json:"state"`
}
