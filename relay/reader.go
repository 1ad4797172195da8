package relay

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/phuslu/log"

	"github.com/pointpass/pointpass/store"
)

// Bounds of asking another daemon.
const (
	// mostAge is how old the evidence of another daemon may be.
	mostAge = 1600 * time.Millisecond
	// firstAvoid is how long a daemon that failed isn't asked again, doubled with
	// each failure in a row.
	firstAvoid = 2 * time.Second
	mostAvoid  = 32 * time.Second
)

// Peers asks other daemons.
type Peers interface {
	// Changes returns what another daemon knows to have changed since a version, all
	// rows if that is 0.
	Changes(ctx context.Context, addr, table string, since uint64, wait time.Duration) (store.Snapshot, error)
}

// Reader reads tables through other daemons, and from the store where there are
// none that can be asked. It implements store.Reader. It is safe for use by many
// goroutines.
type Reader struct {
	direct    store.Reader
	peers     Peers
	upstreams func() []Member
	now       func() time.Time
	log       *log.Logger

	mu      sync.Mutex
	avoided map[string]avoidance
	newest  map[string]uint64 // the newest version read, by table
}

// avoidance is for how long a daemon that failed isn't asked.
type avoidance struct {
	until  time.Time
	length time.Duration
}

// NewReader returns a reader that asks what upstreams returns, in that order, and
// then the store.
func NewReader(direct store.Reader, peers Peers, upstreams func() []Member, now func() time.Time, logger *log.Logger) *Reader {
	return &Reader{
		direct:    direct,
		peers:     peers,
		upstreams: upstreams,
		now:       now,
		log:       logger,
		avoided:   map[string]avoidance{},
		newest:    map[string]uint64{},
	}
}

// Direct tells whether the store itself is asked at present.
func (r *Reader) Direct() bool {
	for _, m := range r.upstreams() {
		if !r.avoids(m.Addr) {
			return false
		}
	}
	return true
}

// Rows returns all rows of a table.
func (r *Reader) Rows(ctx context.Context, table string) (store.Snapshot, error) {
	for _, m := range r.upstreams() {
		if r.avoids(m.Addr) {
			continue
		}
		s, ok, err := r.ask(ctx, m, table, 0, 0)
		if err != nil {
			return store.Snapshot{}, err
		}
		if ok && s.Version >= r.newestOf(table) {
			return r.note(table, s), nil
		}
	}
	s, err := r.direct.Rows(ctx, table)
	if err != nil {
		return store.Snapshot{}, err
	}
	return r.note(table, s), nil
}

// Changes returns what has changed since a version.
func (r *Reader) Changes(ctx context.Context, table string, since uint64, wait time.Duration) (store.Snapshot, error) {
	for _, m := range r.upstreams() {
		if r.avoids(m.Addr) {
			continue
		}
		s, ok, err := r.ask(ctx, m, table, since, wait)
		if err != nil {
			return store.Snapshot{}, err
		}
		if ok {
			return r.note(table, s), nil
		}
	}
	s, err := r.direct.Changes(ctx, table, since, wait)
	if err != nil {
		return store.Snapshot{}, err
	}
	return r.note(table, s), nil
}

// ask asks one daemon. It returns false if it can't be relied on at present, and an
// error only if there is no use in asking others.
func (r *Reader) ask(ctx context.Context, m Member, table string, since uint64, wait time.Duration) (store.Snapshot, bool, error) {
	s, err := r.peers.Changes(ctx, m.Addr, table, since, wait)
	var lost *store.HistoryLostError
	if errors.As(err, &lost) || ctx.Err() != nil {
		return store.Snapshot{}, false, err
	}
	if age := r.now().Sub(s.Evidence); err == nil && age > mostAge {
		err = &StaleError{Addr: m.Addr, Age: age}
	}
	if err != nil {
		r.avoid(m, table, err)
		return store.Snapshot{}, false, nil
	}
	r.trust(m)
	return s, true, nil
}

// StaleError tells that a daemon has not heard from the store for too long.
type StaleError struct {
	Addr string
	Age  time.Duration
}

// Error describes the error.
func (e *StaleError) Error() string {
	return "the evidence of " + e.Addr + " is " + e.Age.String() + " old"
}

func (r *Reader) avoids(addr string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.now().Before(r.avoided[addr].until)
}

func (r *Reader) avoid(m Member, table string, err error) {
	r.mu.Lock()
	length := min(max(2*r.avoided[m.Addr].length, firstAvoid), mostAvoid)
	r.avoided[m.Addr] = avoidance{until: r.now().Add(length), length: length}
	r.mu.Unlock()
	r.log.Warn().Str("event", "relay_lost").Str("relay", m.Name).Str("table", table).Dur("avoided_for", length).Err(err).Msg("")
}

func (r *Reader) trust(m Member) {
	r.mu.Lock()
	_, avoided := r.avoided[m.Addr]
	delete(r.avoided, m.Addr)
	r.mu.Unlock()
	if avoided {
		r.log.Info().Str("event", "relay_regained").Str("relay", m.Name).Msg("")
	}
}

func (r *Reader) newestOf(table string) uint64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.newest[table]
}

// note remembers the newest version, so that no older rows are taken in later.
func (r *Reader) note(table string, s store.Snapshot) store.Snapshot {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.newest[table] = max(r.newest[table], s.Version)
	return s
}
