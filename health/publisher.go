package health

import (
	"strings"
	"sync"
	"time"

	"github.com/pointpass/pointpass/relay"
	"github.com/pointpass/pointpass/store"
)

// Table names the warnings among the tables that daemons pass on. It is in no store:
// the holder of the lease writes it.
const Table = "health"

// MostAge is how old a warning's evidence may be to be passed on. How old it was is
// told by the warning's own time to live.
const MostAge = 24 * time.Hour

// Publisher turns reports into rows that daemons follow. It is safe for use by many
// goroutines.
type Publisher struct {
	cache *relay.Cache
	now   func() time.Time

	mu      sync.Mutex
	board   *Board
	term    uint64
	written uint64
	listed  map[string]bool
}

// NewPublisher returns a publisher that writes to a cache.
func NewPublisher(cache *relay.Cache, now func() time.Time) *Publisher {
	return &Publisher{cache: cache, now: now, board: NewBoard(), listed: map[string]bool{}}
}

// Begin has the publisher write under a term of the lease. Each term is an era of the table, so
// that followers of an earlier holder read anew.
func (p *Publisher) Begin(term uint64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if term <= p.term {
		return
	}
	p.term = term
	p.written = 0
	p.board = NewBoard()
	p.listed = map[string]bool{}
	p.cache.Apply(store.Update{Full: true, At: p.position(), Evidence: p.now()})
}

// Report takes in a daemon's report about a group, of that many groups and daemons in
// all, under the term that was begun. It returns the warning that it led to.
func (p *Publisher) Report(group, reporter string, groups, daemons int) (Warning, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.term == 0 {
		return Warning{}, false
	}
	now := p.now()
	w, warn := p.board.Report(group, reporter, groups, daemons, now)
	if warn {
		p.write(&w, now)
	}
	return w, warn
}

// Dead takes in that this daemon asked a member of a group, which is dead, and returns the
// warning that this leads to.
func (p *Publisher) Dead(group, prober string) (Warning, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.term == 0 {
		return Warning{}, false
	}
	now := p.now()
	w := p.board.Dead(group, prober, now)
	p.write(&w, now)
	return w, true
}

// Object takes in that a daemon has heard from a group, and tells whether that took
// back a warning.
func (p *Publisher) Object(group string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.now()
	if p.term == 0 || !p.board.Object(group, now) {
		return false
	}
	p.write(nil, now)
	return true
}

// write publishes a warning, if there is one, and takes back those that are over. The
// caller holds the lock.
func (p *Publisher) write(w *Warning, now time.Time) {
	p.written++
	at := p.position()
	var rows []store.Row
	if w != nil {
		rows = append(rows, store.Row{Key: w.Group, Value: []byte(w.text()), At: at})
	}
	current := map[string]bool{}
	for _, group := range p.board.Warned(now) {
		current[group] = true
	}
	for group := range p.listed {
		if !current[group] {
			rows = append(rows, store.Row{Key: group, At: at, Deleted: true})
		}
	}
	p.listed = current
	p.cache.Apply(store.Update{Rows: rows, At: at, Evidence: now})
}

// holdPrefix begins the keys of rows that tell of a request which is held back.
const holdPrefix = "hold/"

// AnnounceHold tells all daemons that a request is held back, before its row in the store
// can tell them.
func (p *Publisher) AnnounceHold(fingerprint string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.term == 0 {
		return
	}
	p.written++
	at := p.position()
	row := store.Row{Key: holdPrefix + fingerprint, Value: []byte("held"), At: at}
	p.cache.Apply(store.Update{Rows: []store.Row{row}, At: at, Evidence: p.now()})
}

// ParseHold returns which request a row of Table tells to be held back, false if it tells
// something else.
func ParseHold(r store.Row) (fingerprint string, is bool) {
	return strings.CutPrefix(r.Key, holdPrefix)
}

// ParseWarning returns the warning that a row of Table tells.
func ParseWarning(r store.Row) Warning {
	return parse(r.Key, string(r.Value))
}

// position returns where the table stands. An empty one has a position too.
func (p *Publisher) position() store.Position { return store.At(p.term, p.written+1) }
