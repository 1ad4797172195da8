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

// Bounds of asking another daemon.
const (
	// firstAvoid is how long a daemon that failed isn't asked again, doubled with
	// each failure in a row.
	firstAvoid = 2 * time.Second
	mostAvoid  = 32 * time.Second
	// firstAway is how long at most a daemon leaves the store alone after it failed
	// to answer too while those that relay have not heard from it. The pause doubles
	// with each such failure, up to what lets a daemon that the store serves again
	// know in time: directCall, what a question takes then, is left of that. With one
	// question for all tables 295 daemons make 1,185 calls while a store is away for
	// 8 s, counted on one day of trouble.
	firstAway  = 2100 * time.Millisecond
	directCall = 700 * time.Millisecond
	// relayCatchUp is for how long a daemon that learned of a restore leaves it to those that
	// relay to read the table anew. They ask the store again within 0.7 s of its return.
	relayCatchUp = 700 * time.Millisecond
	// firstHold is how long a daemon that relays may hold a question for all rows
	// until it knows them: after a loss of power all start at once.
	firstHold = 400 * time.Millisecond
)

// Peers asks other daemons.
type Peers interface {
	// Changes returns what another daemon knows to have changed since a position, all
	// rows if that isn't known.
	Changes(ctx context.Context, addr, table string, since store.Position, wait time.Duration) (store.Snapshot, error)
}

// Reader reads tables through other daemons, and from the store where there are
// none that can be asked. It implements store.Reader. It is safe for use by many
// goroutines.
type Reader struct {
	opts ReaderOptions

	mu      sync.Mutex
	avoided map[string]avoidance
	// newest is the newest position read, by table.
	newest map[string]store.Position
	// restored is when a new era of a table was heard of.
	restored map[string]time.Time
	// stale are the tables that daemons pass on too late.
	stale map[relayed]bool
	// away is for how long the store is left alone while relays have not heard from it
	// either, and served tells that it answers this daemon meanwhile.
	away   avoidance
	served bool
}

// ReaderOptions wires a reader.
type ReaderOptions struct {
	// Direct reads the store.
	Direct store.Reader
	Peers  Peers
	// Upstreams returns the daemons to ask before the store, best first.
	Upstreams func() []Member
	// Relays tells whether other daemons ask this one. It may change at any time.
	Relays func() bool
	// MostAge returns how old the evidence of another daemon for a table may be.
	MostAge func(table string) time.Duration
	// InTouch is within which time a daemon that the store serves again has to know
	// what it says. It may change at any time.
	InTouch func() time.Duration
	Now     func() time.Time
	Log     *log.Logger
}

// relayed is a table as one daemon passes it on.
type relayed struct{ addr, table string }

// avoidance is for how long somebody who failed isn't asked.
type avoidance struct {
	until  time.Time
	length time.Duration
}

// NewReader returns a reader.
func NewReader(opts ReaderOptions) *Reader {
	return &Reader{opts: opts, avoided: map[string]avoidance{}, newest: map[string]store.Position{}, restored: map[string]time.Time{}, stale: map[relayed]bool{}}
}

// Direct tells whether the store itself is asked at present.
func (r *Reader) Direct() bool {
	for _, m := range r.opts.Upstreams() {
		if !r.avoids(m.Addr) {
			return false
		}
	}
	return true
}

// Rows returns all rows of a table.
func (r *Reader) Rows(ctx context.Context, table string) (store.Snapshot, error) {
	s, err := r.read(ctx, table, store.Position{}, firstHold)
	if err != nil {
		return store.Snapshot{}, err
	}
	return r.note(table, s), nil
}

// Changes returns what has changed since a position.
func (r *Reader) Changes(ctx context.Context, table string, since store.Position, wait time.Duration) (store.Snapshot, error) {
	s, err := r.read(ctx, table, since, wait)
	if err != nil {
		return store.Snapshot{}, err
	}
	return r.note(table, s), nil
}

// read asks the daemons that relay, and the store if none of them can be relied on.
// Where some answer but have not heard from the store lately, and it did not answer
// this daemon either, it is away: then it is asked only now and then, and *StaleError
// returned otherwise.
func (r *Reader) read(ctx context.Context, table string, since store.Position, wait time.Duration) (store.Snapshot, error) {
	var stale *StaleError
	var empty *EmptyError
	hold := wait
	behind := false // somebody answers that has not read the table anew after a restore
	for _, m := range r.opts.Upstreams() {
		if r.avoids(m.Addr) {
			continue
		}
		if stale != nil && r.sparing() {
			break // all were asked lately; asking them again and again only keeps them busy
		}
		s, err := r.ask(ctx, m, table, since, hold)
		var lost *store.HistoryLostError
		switch {
		case errors.As(err, &lost):
			r.noteEra(table, lost.Era)
			return store.Snapshot{}, err
		case ctx.Err() != nil:
			return store.Snapshot{}, err
		case errors.As(err, &stale):
		case errors.As(err, &empty):
			hold = 0 // it has started just now, as others may have
		case err != nil:
			r.avoid(m, table, err)
			hold = 0 // time has passed; what there is now is wanted
		case since.Known() && s.At.Era() == since.Era() || !since.Known() && !s.At.Before(r.newestOf(table)):
			r.noteServed(false)
			return s, nil
		default:
			behind = true
		}
	}
	behind = behind || stale != nil
	if stale != nil && !r.isServed() {
		if !r.claimProbe() {
			return store.Snapshot{}, stale
		}
		wait = 0 // the other tables wait for this answer
	}
	if behind && !since.Known() && !r.opts.Relays() && r.leavesToRelays(table) {
		return store.Snapshot{}, &EmptyError{Table: table}
	}
	return r.askStore(ctx, table, since, wait)
}

// ask asks one daemon.
func (r *Reader) ask(ctx context.Context, m Member, table string, since store.Position, wait time.Duration) (store.Snapshot, error) {
	s, err := r.opts.Peers.Changes(ctx, m.Addr, table, since, wait)
	if err != nil {
		return store.Snapshot{}, err
	}
	r.trust(m)
	age := r.opts.Now().Sub(s.Evidence)
	stale := age > r.opts.MostAge(table)
	r.noteAge(m, table, age, stale)
	if stale {
		return store.Snapshot{}, &StaleError{Addr: m.Addr, Age: age}
	}
	return s, nil
}

// noteAge logs when what a daemon passes on becomes too old, and when it is young again.
func (r *Reader) noteAge(m Member, table string, age time.Duration, stale bool) {
	key := relayed{addr: m.Addr, table: table}
	r.mu.Lock()
	was := r.stale[key]
	delete(r.stale, key)
	if stale {
		r.stale[key] = true
	}
	r.mu.Unlock()
	if stale != was {
		r.opts.Log.Info().Str("event", "relay_age").Str("relay", m.Name).Str("table", table).Bool("stale", stale).Dur("evidence_age", age).Msg("")
	}
}

// askStore asks the store. That it did not answer is kept in mind for a while.
func (r *Reader) askStore(ctx context.Context, table string, since store.Position, wait time.Duration) (s store.Snapshot, err error) {
	if since.Known() {
		s, err = r.opts.Direct.Changes(ctx, table, since, wait)
	} else {
		s, err = r.opts.Direct.Rows(ctx, table)
	}
	if err == nil && since.Known() && s.At.Era() != since.Era() {
		// The store doesn't go on from there, though it has given the version out again.
		s, err = store.Snapshot{}, &store.HistoryLostError{Table: table, Era: s.At.Era()}
	}
	var lost *store.HistoryLostError
	if errors.As(err, &lost) {
		r.noteEra(table, lost.Era)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if err != nil && !errors.As(err, &lost) {
		r.spare()
		r.served = false
	} else {
		r.away = avoidance{}
		r.served = true
	}
	return s, err
}

// spare has the store left alone for a while, longer each time. The caller holds the
// lock.
func (r *Reader) spare() {
	most := max(r.opts.InTouch()-directCall, firstAway)
	length := min(max(2*r.away.length, firstAway), most)
	r.away = avoidance{until: r.opts.Now().Add(length/2 + rand.N(length/2)), length: length}
}

// claimProbe tells whether to ask the store now though daemons that relay have not
// heard from it: they may be the only ones that it turns away. One question at a time
// finds out, whatever its table is.
func (r *Reader) claimProbe() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.opts.Now()
	if now.Before(r.away.until) {
		return false
	}
	r.away.until = now.Add(firstAway) // or until this one has its answer
	return true
}

// sparing tells whether the store is left alone.
func (r *Reader) sparing() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.opts.Now().Before(r.away.until)
}

func (r *Reader) isServed() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.served
}

func (r *Reader) noteServed(served bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.served = served
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
	return r.opts.Now().Before(r.avoided[addr].until)
}

func (r *Reader) avoid(m Member, table string, err error) {
	r.mu.Lock()
	length := min(max(2*r.avoided[m.Addr].length, firstAvoid), mostAvoid)
	r.avoided[m.Addr] = avoidance{until: r.opts.Now().Add(length), length: length}
	r.mu.Unlock()
	r.opts.Log.Warn().Str("event", "relay_lost").Str("relay", m.Name).Str("table", table).Dur("avoided_for", length).Err(err).Msg("")
}

func (r *Reader) trust(m Member) {
	r.mu.Lock()
	_, avoided := r.avoided[m.Addr]
	delete(r.avoided, m.Addr)
	r.mu.Unlock()
	if avoided {
		r.opts.Log.Info().Str("event", "relay_regained").Str("relay", m.Name).Msg("")
	}
}

func (r *Reader) newestOf(table string) store.Position {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.newest[table]
}

// noteEra remembers that a table is in an era, so that no rows of an earlier one are taken in.
func (r *Reader) noteEra(table string, era uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.newest[table].Era() < era {
		r.newest[table] = store.At(era, 0)
		r.restored[table] = r.opts.Now()
	}
}

// leavesToRelays tells whether those that relay still have time to read a table anew, so that
// the store isn't asked for all rows by all who happen to ask it first.
func (r *Reader) leavesToRelays(table string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return !r.newest[table].Known() && r.opts.Now().Sub(r.restored[table]) < relayCatchUp
}

// note remembers the newest position, so that no older rows are taken in later.
func (r *Reader) note(table string, s store.Snapshot) store.Snapshot {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.newest[table] = store.Later(r.newest[table], s.At)
	return s
}
