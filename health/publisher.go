package health

import (
	"strings"
	"sync"
	"time"

	"github.com/pointpass/pointpass/relay"
	"github.com/pointpass/pointpass/store"
)

// Table is the name of the table of warnings among those that daemons relay. It is in no store:
// the lease holder writes it.
const Table = "health"

// MaxAge is the maximum age of the evidence of a warning that is relayed. Warnings expire by
// their own lifetime.
const MaxAge = 24 * time.Hour

// Publisher turns reports into rows that daemons follow. It is safe for concurrent use.
type Publisher struct {
	cache *relay.Cache
	now   func() time.Time

	mu        sync.Mutex
	board     *Board
	term      uint64
	writes    uint64
	published map[string]bool
}

// NewPublisher returns a publisher that writes to a cache.
func NewPublisher(cache *relay.Cache, now func() time.Time) *Publisher {
	return &Publisher{cache: cache, now: now, board: NewBoard(), published: map[string]bool{}}
}

// StartTerm makes the publisher write under a term of the lease. Each term is an era of the
// table, so that followers of an earlier holder read all rows again.
func (p *Publisher) StartTerm(term uint64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if term <= p.term {
		return
	}
	p.term = term
	p.writes = 0
	p.board = NewBoard()
	p.published = map[string]bool{}
	p.cache.Apply(store.Update{Full: true, At: p.position(), Evidence: p.now()})
}

// Report adds a daemon's report that a group is unresponsive, given the total numbers of groups
// and daemons, under the current term. It returns the resulting warning, if any.
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

// ReportDead records that this daemon probed a member of a group and found it dead, and returns
// the resulting warning.
func (p *Publisher) ReportDead(group, prober string) (Warning, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.term == 0 {
		return Warning{}, false
	}
	now := p.now()
	w := p.board.ReportDead(group, prober, now)
	p.write(&w, now)
	return w, true
}

// ReportAlive records that a daemon has had a response from a group, and reports whether that
// withdrew a warning.
func (p *Publisher) ReportAlive(group string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.now()
	if p.term == 0 || !p.board.ReportAlive(group, now) {
		return false
	}
	p.write(nil, now)
	return true
}

// write publishes a warning, if it isn't nil, and withdraws those that have ended. The caller
// holds the lock.
func (p *Publisher) write(w *Warning, now time.Time) {
	p.writes++
	at := p.position()
	var rows []store.Row
	if w != nil {
		rows = append(rows, store.Row{Key: w.Group, Value: []byte(w.text()), At: at})
	}
	current := map[string]bool{}
	for _, group := range p.board.Warned(now) {
		current[group] = true
	}
	for group := range p.published {
		if !current[group] {
			rows = append(rows, store.Row{Key: group, At: at, Deleted: true})
		}
	}
	p.published = current
	p.cache.Apply(store.Update{Rows: rows, At: at, Evidence: now})
}

// holdPrefix starts the keys of rows that announce held requests.
const holdPrefix = "hold/"

// partsKey is the key of the row that asks for output on suspected parts of prompts. The next
// question replaces it.
const partsKey = "parts"

// AnnounceHold announces to all daemons that a request, or requests whose prompts have all of
// some parts, are held back, before the row in the store reaches them.
func (p *Publisher) AnnounceHold(fingerprint string, parts []string) {
	p.publish(holdPrefix+fingerprint, strings.Join(parts, " "))
}

// AskOutputs asks all daemons when they last saw output on parts of prompts.
func (p *Publisher) AskOutputs(parts []string) { p.publish(partsKey, strings.Join(parts, " ")) }

// publish writes a row that isn't a warning.
func (p *Publisher) publish(key, value string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.term == 0 {
		return
	}
	p.writes++
	at := p.position()
	row := store.Row{Key: key, Value: []byte(value), At: at}
	p.cache.Apply(store.Update{Rows: []store.Row{row}, At: at, Evidence: p.now()})
}

// ParseHold returns the fingerprint and the parts of the hold that a row of Table announces, false
// if the row is of another kind.
func ParseHold(r store.Row) (fingerprint string, parts []string, isHold bool) {
	fingerprint, isHold = strings.CutPrefix(r.Key, holdPrefix)
	return fingerprint, strings.Fields(string(r.Value)), isHold
}

// ParseAsk returns the parts that a row of Table asks about, false if the row is of another kind.
func ParseAsk(r store.Row) (parts []string, isAsk bool) {
	return strings.Fields(string(r.Value)), r.Key == partsKey
}

// ParseWarning returns the warning in a row of Table.
func ParseWarning(r store.Row) Warning {
	return parse(r.Key, string(r.Value))
}

// position returns the current position of the table. An empty table has a position too.
func (p *Publisher) position() store.Position { return store.At(p.term, p.writes+1) }
