package relay

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/phuslu/log"

	"github.com/pointpass/pointpass/store"
)

// Bounds of reading through relays.
const (
	// minRelayBackoff is how long a relay that failed isn't queried. It doubles with each
	// consecutive failure.
	minRelayBackoff = 2 * time.Second
	maxRelayBackoff = 32 * time.Second
	// busyRelayBackoff is how long a relay that had no memory for a call isn't queried.
	busyRelayBackoff = 500 * time.Millisecond
	// minStoreBackoff bounds the first backoff of the store, after it failed too while no
	// relay had fresh data. The bound doubles with each such failure, up to a length at which
	// a daemon that the store serves again is up to date in time; storeCallReserve leaves
	// time for the call itself. With one call for all tables, 295 daemons make 1,185 calls
	// while a store is down for 8 s.
	minStoreBackoff  = 2100 * time.Millisecond
	storeCallReserve = 700 * time.Millisecond
	// relayCatchUpDelay is how long a daemon that detects a restore waits for the relays to
	// read the whole table again. They query the store within 0.7 s of its return.
	relayCatchUpDelay = 700 * time.Millisecond
	// firstRowsTimeout is how long a relay may hold a request for all rows until it has
	// them. After a power failure all daemons start at once.
	firstRowsTimeout = 400 * time.Millisecond
)

// Peers queries other daemons.
type Peers interface {
	// Changes returns another daemon's changes since a position, all rows for the zero
	// position.
	Changes(ctx context.Context, addr, table string, since store.Position, wait time.Duration) (store.Snapshot, error)
}

// Reader reads tables through relays, and from the store if no relay is usable. It
// implements store.Reader. It is safe for concurrent use.
type Reader struct {
	opts ReaderOptions

	mu            sync.Mutex
	relayBackoffs map[string]backoff
	// newest is the newest position read, by table.
	newest map[string]store.Position
	// newEraAt is when a new era was detected, by table.
	newEraAt map[string]time.Time
	// staleTables are the tables for which a relay's data is too old.
	staleTables map[relayTable]bool
	// storeBackoff is the time for which the store isn't queried while the relays have no
	// fresh data either. storeAnswers reports that the store answers this daemon meanwhile.
	storeBackoff backoff
	storeAnswers bool
}

// ReaderOptions configures a reader.
type ReaderOptions struct {
	// Direct reads from the store.
	Direct store.Reader
	Peers  Peers
	// Upstreams returns the relays to query before the store, best first.
	Upstreams func() []Member
	// IsRelay reports whether other daemons read from this one. The result may change at
	// any time.
	IsRelay func() bool
	// MaxAge returns the maximum age of a relay's evidence for a table.
	MaxAge func(table string) time.Duration
	// ReconnectTimeout returns the time within which a daemon that the store serves again
	// must be up to date. The result may change at any time.
	ReconnectTimeout func() time.Duration
	Now              func() time.Time
	Log              *log.Logger
}

// relayTable is a table as served by one relay.
type relayTable struct{ addr, table string }

// backoff is the time for which a relay or the store isn't queried after a failure.
type backoff struct {
	until  time.Time
	length time.Duration
}

// NewReader returns a reader.
func NewReader(opts ReaderOptions) *Reader {
	return &Reader{opts: opts, relayBackoffs: map[string]backoff{}, newest: map[string]store.Position{}, newEraAt: map[string]time.Time{}, staleTables: map[relayTable]bool{}}
}

// Direct reports whether the reader currently reads from the store itself.
func (r *Reader) Direct() bool {
	for _, m := range r.opts.Upstreams() {
		if !r.inBackoff(m.Addr) {
			return false
		}
	}
	return true
}

// Rows returns all rows of a table.
func (r *Reader) Rows(ctx context.Context, table string) (store.Snapshot, error) {
	s, err := r.read(ctx, table, store.Position{}, firstRowsTimeout)
	if err != nil {
		return store.Snapshot{}, err
	}
	return r.recordPosition(table, s), nil
}

// Changes returns the changes since a position.
func (r *Reader) Changes(ctx context.Context, table string, since store.Position, wait time.Duration) (store.Snapshot, error) {
	s, err := r.read(ctx, table, since, wait)
	if err != nil {
		return store.Snapshot{}, err
	}
	return r.recordPosition(table, s), nil
}

// read queries the relays, and the store if no relay is usable. If some relays answer with
// old data only and the store didn't answer this daemon either, the store counts as down:
// it is queried at intervals, and *StaleError is returned in between.
func (r *Reader) read(ctx context.Context, table string, since store.Position, wait time.Duration) (store.Snapshot, error) {
	var staleErr *StaleError
	var emptyErr *EmptyError
	relayWait := wait
	relayBehind := false // a relay has not read the whole table since a restore
	for _, m := range r.opts.Upstreams() {
		if r.inBackoff(m.Addr) {
			continue
		}
		if staleErr != nil && r.storeInBackoff() {
			break // all relays were queried recently; repeating that only adds load
		}
		s, err := r.queryRelay(ctx, m, table, since, relayWait)
		var lost *store.HistoryLostError
		switch {
		case errors.As(err, &lost):
			r.recordEra(table, lost.Era)
			return store.Snapshot{}, err
		case ctx.Err() != nil:
			return store.Snapshot{}, err
		case errors.As(err, &staleErr):
		case errors.As(err, &emptyErr):
			relayWait = 0 // the relay has just started, as others may have
		case err != nil:
			r.backOffRelay(m, table, err)
			relayWait = 0 // time has passed; return the current data at once
		case since.IsSet() && s.At.Era() == since.Era() || !since.IsSet() && !s.At.Before(r.newestPosition(table)):
			r.setStoreAnswers(false)
			return s, nil
		default:
			relayBehind = true
		}
	}
	relayBehind = relayBehind || staleErr != nil
	if staleErr != nil && !r.isStoreAnswering() {
		if !r.claimProbe() {
			return store.Snapshot{}, staleErr
		}
		wait = 0 // the other tables wait for this answer
	}
	if relayBehind && !since.IsSet() && !r.opts.IsRelay() && r.defersToRelays(table) {
		return store.Snapshot{}, &EmptyError{Table: table}
	}
	return r.queryStore(ctx, table, since, wait)
}

// queryRelay queries one relay.
func (r *Reader) queryRelay(ctx context.Context, m Member, table string, since store.Position, wait time.Duration) (store.Snapshot, error) {
	s, err := r.opts.Peers.Changes(ctx, m.Addr, table, since, wait)
	if err != nil {
		return store.Snapshot{}, err
	}
	r.clearBackoff(m)
	age := r.opts.Now().Sub(s.Evidence)
	stale := age > r.opts.MaxAge(table)
	r.recordAge(m, table, age, stale)
	if stale {
		return store.Snapshot{}, &StaleError{Addr: m.Addr, Age: age}
	}
	return s, nil
}

// recordAge logs when a relay's data becomes too old or fresh again.
func (r *Reader) recordAge(m Member, table string, age time.Duration, stale bool) {
	key := relayTable{addr: m.Addr, table: table}
	r.mu.Lock()
	was := r.staleTables[key]
	delete(r.staleTables, key)
	if stale {
		if len(r.staleTables) >= maxAddresses {
			clear(r.staleTables)
		}
		r.staleTables[key] = true
	}
	r.mu.Unlock()
	if stale != was {
		r.opts.Log.Info().Str("event", "relay_age").Str("relay", m.Name).Str("table", table).Bool("stale", stale).Dur("evidence_age", age).Msg("")
	}
}

// queryStore queries the store, and backs off if it doesn't answer.
func (r *Reader) queryStore(ctx context.Context, table string, since store.Position, wait time.Duration) (s store.Snapshot, err error) {
	if since.IsSet() {
		s, err = r.opts.Direct.Changes(ctx, table, since, wait)
	} else {
		s, err = r.opts.Direct.Rows(ctx, table)
	}
	if err == nil && since.IsSet() && s.At.Era() != since.Era() {
		// The store has reused the version in another era, so the answer is no
		// continuation.
		s, err = store.Snapshot{}, &store.HistoryLostError{Table: table, Era: s.At.Era()}
	}
	var lost *store.HistoryLostError
	if errors.As(err, &lost) {
		r.recordEra(table, lost.Era)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if err != nil && !errors.As(err, &lost) {
		r.backOffStore()
		r.storeAnswers = false
	} else {
		r.storeBackoff = backoff{}
		r.storeAnswers = true
	}
	return s, err
}

// backOffStore starts a backoff of the store, longer with each failure. The caller holds
// the lock.
func (r *Reader) backOffStore() {
	maxLength := max(r.opts.ReconnectTimeout()-storeCallReserve, minStoreBackoff)
	length := min(max(2*r.storeBackoff.length, minStoreBackoff), maxLength)
	r.storeBackoff = backoff{until: r.opts.Now().Add(length/2 + rand.N(length/2)), length: length}
}

// claimProbe reports whether to query the store although the relays have no fresh data: the
// store may reject only the relays. One call at a time probes it for all tables.
func (r *Reader) claimProbe() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.opts.Now()
	if now.Before(r.storeBackoff.until) {
		return false
	}
	r.storeBackoff.until = now.Add(minStoreBackoff) // or until this call returns
	return true
}

// storeInBackoff reports whether the store is in backoff.
func (r *Reader) storeInBackoff() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.opts.Now().Before(r.storeBackoff.until)
}

func (r *Reader) isStoreAnswering() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.storeAnswers
}

func (r *Reader) setStoreAnswers(storeAnswers bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.storeAnswers = storeAnswers
}

// StaleError reports that a relay's data is too old.
type StaleError struct {
	Addr string
	Age  time.Duration
}

// Error implements error.
func (e *StaleError) Error() string {
	return "the evidence of " + e.Addr + " is " + e.Age.String() + " old"
}

func (r *Reader) inBackoff(addr string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.opts.Now().Before(r.relayBackoffs[addr].until)
}

func (r *Reader) backOffRelay(m Member, table string, err error) {
	r.mu.Lock()
	length := min(max(2*r.relayBackoffs[m.Addr].length, minRelayBackoff), maxRelayBackoff)
	if isBusy(err) {
		length = busyRelayBackoff
	}
	if len(r.relayBackoffs) >= maxAddresses {
		clear(r.relayBackoffs)
	}
	r.relayBackoffs[m.Addr] = backoff{until: r.opts.Now().Add(length), length: length}
	r.mu.Unlock()
	r.opts.Log.Warn().Str("event", "relay_lost").Str("relay", m.Name).Str("table", table).Dur("avoided_for", length).Err(err).Msg("")
}

func (r *Reader) clearBackoff(m Member) {
	r.mu.Lock()
	_, inBackoff := r.relayBackoffs[m.Addr]
	delete(r.relayBackoffs, m.Addr)
	r.mu.Unlock()
	if inBackoff {
		r.opts.Log.Info().Str("event", "relay_regained").Str("relay", m.Name).Msg("")
	}
}

func (r *Reader) newestPosition(table string) store.Position {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.newest[table]
}

// recordEra records the era of a table, so that rows of an earlier one are rejected.
func (r *Reader) recordEra(table string, era uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.newest[table].Era() < era {
		r.newest[table] = store.At(era, 0)
		r.newEraAt[table] = r.opts.Now()
	}
}

// defersToRelays reports whether the relays still have time to read a whole table after a
// restore, so that not every daemon reads all rows from the store.
func (r *Reader) defersToRelays(table string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return !r.newest[table].IsSet() && r.opts.Now().Sub(r.newEraAt[table]) < relayCatchUpDelay
}

// recordPosition records the newest position, so that older rows are rejected later.
func (r *Reader) recordPosition(table string, s store.Snapshot) store.Snapshot {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.newest[table] = store.Later(r.newest[table], s.At)
	return s
}
