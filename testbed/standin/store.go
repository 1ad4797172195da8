// Package standin plays the users' platform on loopback: its metadata store, its
// workers and its operator, as far as tests need them and by the published
// protocol. Faults are switched on by tests.
package standin

import (
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"
)

// Row is a row as the store sends it.
type Row struct {
	Table   string `json:"table"`
	Part    string `json:"part"`
	Key     string `json:"key"`
	Value   []byte `json:"value,omitempty"`
	Version uint64 `json:"schemaVersion"`
	Deleted bool   `json:"deleted,omitempty"`
}

// Store is the metadata store.
type Store struct {
	begun time.Time
	own   *Door

	mu      sync.Mutex
	doors   []*Door
	changed chan struct{} // closed at each change
	version uint64
	rows    map[string]Row
	history []Row
	floor   uint64 // history up to here is gone
	log     []Row  // all changes of this era's past, also those that history has lost
	era     uint64
	calls   map[string]int
	judge   *Judge
}

// NewStore starts a store, and returns it with a function that stops it.
func NewStore() (*Store, func()) {
	s := &Store{begun: time.Now(), changed: make(chan struct{}), rows: map[string]Row{}, calls: map[string]int{}, judge: newJudge(), era: 1}
	s.own = s.NewDoor()
	return s, s.stop
}

func (s *Store) stop() {
	s.SetTrouble(Busy) // frees what waits
	for _, d := range s.doors {
		d.server.CloseClientConnections()
		d.server.Close()
	}
}

// Addr returns where the store listens.
func (s *Store) Addr() string { return s.own.Addr() }

// Judge returns who watches the rules about groups.
func (s *Store) Judge() *Judge { return s.judge }

// SetTrouble begins or ends a trouble of the whole store.
func (s *Store) SetTrouble(t Trouble) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, d := range s.doors {
		d.trouble = t
	}
	s.wake()
}

// ForgetHistory drops all changes so far.
func (s *Store) ForgetHistory() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version++
	s.floor = s.version
	s.history = nil
	s.wake()
}

// Put sets a row, as the operator or a worker does. A nil value deletes it.
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
		panic(err) // a value of the test's own
	}
	s.set(Row{Table: table, Key: key, Value: data})
}

// hallKey returns the key of the operator's row that closes a hall.
func hallKey(hall string) string { return "evacuate/" + hall }

// CloseHall has the operator close a hall to requests.
func (s *Store) CloseHall(hall string) {
	s.Put("op", hallKey(hall), struct{}{})
	s.judge.setClosed(hall, true)
}

// OpenHall has the operator take a hall back.
func (s *Store) OpenHall(hall string) {
	s.judge.setClosed(hall, false)
	s.Put("op", hallKey(hall), nil)
}

// Rows returns the rows of a table.
func (s *Store) Rows(table string) []Row {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.list(table)
}

// Calls returns how often a call was made.
func (s *Store) Calls(name string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls[name]
}

// set stores a row under the present version. The lock is held.
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

func (s *Store) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}

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

type answer struct {
	Rows    []Row  `json:"rows,omitempty"`
	HasMore bool   `json:"hasMore"`
	Version uint64 `json:"schemaVersion"`
	NowMs   int64  `json:"nowMs"`
}

func (s *Store) answer(rows []Row) answer {
	return answer{Rows: rows, Version: s.version, NowMs: time.Since(s.begun).Milliseconds()}
}

// await waits until a condition holds, the caller leaves or the time is over.
func (s *Store) await(r *http.Request, holds func() bool) {
	for {
		s.mu.Lock()
		done := holds()
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
	s.tellEra(w)
	json.NewEncoder(w).Encode(s.answer(rows))
}

// serveFeed answers a question for changes at a door, held until there are some.
func (s *Store) serveFeed(d *Door, w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	since, _ := strconv.ParseUint(query.Get("sinceRev"), 10, 64)
	wait, _ := strconv.Atoi(query.Get("waitMs"))
	deadline := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer deadline.Stop()
	for {
		s.mu.Lock()
		rows := s.since(query.Get("table"), since)
		gone := since < s.floor || since > s.version
		reply := s.answer(rows)
		changed := s.changed
		sound := d.trouble.answers()
		s.tellEra(w)
		s.mu.Unlock()
		switch {
		case !sound:
			panic(http.ErrAbortHandler)
		case gone:
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

func (s *Store) since(table string, version uint64) []Row {
	var rows []Row
	for _, r := range s.history {
		if r.Table == table && r.Version > version {
			rows = append(rows, r)
		}
	}
	return rows
}

type txn struct {
	Expected []Row `json:"expectedRev"`
	Write    []Row `json:"write"`
	Delete   []Row `json:"delete"`
}

func (s *Store) serveTxn(w http.ResponseWriter, r *http.Request) {
	var t txn
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
	s.tellEra(w)
	for _, want := range t.Expected {
		if s.rows[want.Table+"\x00"+want.Key].Version != want.Version {
			w.WriteHeader(http.StatusPreconditionFailed)
			json.NewEncoder(w).Encode(s.answer(nil))
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
	json.NewEncoder(w).Encode(s.answer(nil))
}
