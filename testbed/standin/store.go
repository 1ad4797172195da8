// Package standin simulates the users' platform on loopback for tests: its metadata store, its
// workers and its operator, as far as tests need them and by the published protocol. Tests
// switch faults on and off.
package standin

import (
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Row is a row as the store returns it.
type Row struct {
	Table   string `json:"table"`
	Part    string `json:"part"`
	Key     string `json:"key"`
	Value   []byte `json:"value,omitempty"`
	Version uint64 `json:"schemaVersion"`
	Deleted bool   `json:"deleted,omitempty"`
}

// Store simulates the platform's metadata store.
type Store struct {
	started time.Time
	primary *Frontend

	mu        sync.Mutex
	frontends []*Frontend
	changed   chan struct{} // closed and replaced at each change
	version   uint64
	rows      map[string]Row
	history   []Row
	floor     uint64 // versions up to this one are no longer in history
	log       []Row  // all changes that led to the current state, including those dropped from history
	era       uint64
	calls     map[string]int
	checker   *Checker
	// refused is the start of the keys whose rows callers can't write, "" for none.
	refused string
}

// NewStore starts a store and returns it with a function that stops it.
func NewStore() (*Store, func()) {
	s := &Store{started: time.Now(), changed: make(chan struct{}), rows: map[string]Row{}, calls: map[string]int{}, checker: newChecker(), era: 1}
	s.primary = s.NewFrontend()
	return s, s.stop
}

func (s *Store) stop() {
	s.SetFault(Busy) // wakes waiting calls
	for _, f := range s.frontends {
		f.server.CloseClientConnections()
		f.server.Close()
	}
}

// Addr returns the address of the store's primary frontend.
func (s *Store) Addr() string { return s.primary.Addr() }

// Checker returns the checker of the platform's rules.
func (s *Store) Checker() *Checker { return s.checker }

// SetFault sets or ends a fault of all frontends.
func (s *Store) SetFault(fault StoreFault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, f := range s.frontends {
		f.fault = fault
	}
	s.wake()
}

// ForgetHistory drops the history of changes, so that daemons have to read whole tables.
func (s *Store) ForgetHistory() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version++
	s.floor = s.version
	s.history = nil
	s.wake()
}

// RefuseWrites makes the store refuse the transactions that write rows whose keys start with a prefix, as
// one that is too busy does. "" ends that.
func (s *Store) RefuseWrites(prefix string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.refused = prefix
}

// refuses reports whether a transaction is refused. The caller holds s.mu.
func (s *Store) refuses(t transaction) bool {
	return s.refused != "" && slices.ContainsFunc(t.Write, func(r Row) bool { return strings.HasPrefix(r.Key, s.refused) })
}

// Put writes a row, as the operator or a worker does. A nil value deletes it.
func (s *Store) Put(table, key string, value any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version++
	if value == nil {
		s.set(Row{Table: table, Key: key, Deleted: true})
		return
	}
	data, err := json.Marshal(value)
	if err != nil {
		panic(err) // the test passed a value that JSON cannot encode
	}
	s.set(Row{Table: table, Key: key, Value: data})
}

// PutRaw writes a row with any bytes, as a writer that is no worker may.
func (s *Store) PutRaw(table, key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version++
	s.set(Row{Table: table, Key: key, Value: value})
}

// hallKey returns the key of the operator's row that closes a hall.
func hallKey(hall string) string { return "evacuate/" + hall }

// CloseHall closes a hall to requests, as the operator does.
func (s *Store) CloseHall(hall string) {
	s.Put("op", hallKey(hall), struct{}{})
	s.checker.setClosed(hall, true)
}

// OpenHall opens a closed hall again, as the operator does.
func (s *Store) OpenHall(hall string) {
	s.checker.setClosed(hall, false)
	s.Put("op", hallKey(hall), nil)
}

// Rows returns the rows of a table.
func (s *Store) Rows(table string) []Row {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.list(table)
}

// Calls returns how many calls of a name the store has received.
func (s *Store) Calls(name string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls[name]
}

// set stores a row under the current version. The caller holds s.mu.
func (s *Store) set(r Row) {
	r.Version = s.version
	key := r.Table + "\x00" + r.Key
	if r.Deleted {
		delete(s.rows, key)
	} else {
		s.rows[key] = r
	}
	s.history = append(s.history, r)
	s.log = append(s.log, r)
	s.wake()
}

// wake notifies all waiting calls of a change. The caller holds s.mu.
func (s *Store) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// list returns the rows of a table by key. The caller holds s.mu.
func (s *Store) list(table string) []Row {
	rows := []Row{}
	for _, r := range s.rows {
		if r.Table == table {
			rows = append(rows, r)
		}
	}
	slices.SortFunc(rows, func(a, b Row) int { return slices.Compare([]byte(a.Key), []byte(b.Key)) })
	return rows
}

type response struct {
	Rows    []Row  `json:"rows,omitempty"`
	HasMore bool   `json:"hasMore"`
	Version uint64 `json:"schemaVersion"`
	NowMs   int64  `json:"nowMs"`
}

func (s *Store) response(rows []Row) response {
	return response{Rows: rows, Version: s.version, NowMs: time.Since(s.started).Milliseconds()}
}

// await blocks until a condition holds or the caller disconnects. The condition is checked with
// s.mu held.
func (s *Store) await(r *http.Request, condition func() bool) {
	for {
		s.mu.Lock()
		done := condition()
		changed := s.changed
		s.mu.Unlock()
		if done {
			return
		}
		select {
		case <-changed:
		case <-r.Context().Done():
			return
		}
	}
}

func (s *Store) serveRows(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	from := r.URL.Query().Get("from")
	rows := s.list(r.URL.Query().Get("table"))
	rows = slices.DeleteFunc(rows, func(row Row) bool { return row.Key < from })
	s.setEraHeader(w)
	json.NewEncoder(w).Encode(s.response(rows))
}

// serveFeed answers a long poll for changes at a frontend.
func (s *Store) serveFeed(f *Frontend, w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	since, _ := strconv.ParseUint(query.Get("sinceRev"), 10, 64)
	wait, _ := strconv.Atoi(query.Get("waitMs"))
	deadline := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer deadline.Stop()
	for {
		s.mu.Lock()
		rows := s.changesSince(query.Get("table"), since)
		expired := since < s.floor || since > s.version
		reply := s.response(rows)
		changed := s.changed
		responds := f.fault.responds()
		s.setEraHeader(w)
		s.mu.Unlock()
		switch {
		case !responds:
			panic(http.ErrAbortHandler)
		case expired:
			w.WriteHeader(http.StatusGone)
			return
		case len(rows) > 0:
			json.NewEncoder(w).Encode(reply)
			return
		}
		select {
		case <-changed:
		case <-deadline.C:
			json.NewEncoder(w).Encode(reply)
			return
		case <-r.Context().Done():
			return
		}
	}
}

// changesSince returns the changes of a table after a version. The caller holds s.mu.
func (s *Store) changesSince(table string, version uint64) []Row {
	var rows []Row
	for _, r := range s.history {
		if r.Table == table && r.Version > version {
			rows = append(rows, r)
		}
	}
	return rows
}

type transaction struct {
	Expected []Row `json:"expectedRev"`
	Write    []Row `json:"write"`
	Delete   []Row `json:"delete"`
}

// serveTransaction applies a transaction if all rows have the expected versions.
func (s *Store) serveTransaction(w http.ResponseWriter, r *http.Request) {
	var t transaction
	if err := json.NewDecoder(r.Body).Decode(&t); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	for _, row := range t.Write {
		if row.Table == "" || row.Key == "" || len(row.Value) == 0 {
			http.Error(w, fmt.Sprintf("%s/%s lacks a name or value", row.Table, row.Key), http.StatusBadRequest)
			return
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.setEraHeader(w)
	if s.refuses(t) {
		w.WriteHeader(http.StatusTooManyRequests)
		return
	}
	for _, want := range t.Expected {
		if s.rows[want.Table+"\x00"+want.Key].Version != want.Version {
			w.WriteHeader(http.StatusPreconditionFailed)
			json.NewEncoder(w).Encode(s.response(nil))
			return
		}
	}
	s.version++
	for _, row := range t.Write {
		s.set(row)
	}
	for _, row := range t.Delete {
		row.Deleted = true
		s.set(row)
	}
	json.NewEncoder(w).Encode(s.response(nil))
}
