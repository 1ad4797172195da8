// Package replica forms the groups of workers that run models: it decides which
// workers belong together, gives them their orders under a lease, and ends
// groups that lost a member.
package replica

import (
	"context"
	"encoding/json"
	"errors"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/phuslu/log"

	"github.com/pointpass/pointpass/store"
)

// LeaseTable is the table that holds the lease and the processes' own rows.
const LeaseTable = "control"

const (
	leaseKey   = "lease"
	nodePrefix = "node/"
	renewEvery = 1500 * time.Millisecond
	// standbyEvery is how often a process that doesn't hold the lease looks whether
	// it is free.
	standbyEvery = 500 * time.Millisecond
	leaseLength  = 3000 * time.Millisecond
	// rankPause is how much later each node tries to take a free lease than the one
	// ranked before it, up to mostRank. By the time of the sixth all know who was
	// first; with a lower bound all nodes beyond it would try at one moment, and each
	// such try is a call that the store refuses.
	rankPause = 200 * time.Millisecond
	mostRank  = 100
	// leaseMargin is how long before its end the holder stops giving orders.
	leaseMargin = 700 * time.Millisecond
	// announceSpread is over which time the nodes of a first start announce
	// themselves: the store takes 200 such writes a second at the sites known and
	// turns away what would wait for more than a second.
	announceSpread = 600 * time.Millisecond
	// announceAgain is how long a node's announcement may take to show.
	announceAgain = 5 * time.Second
	// firstAnnouncePause is how long a node that could not announce itself leaves the store
	// alone, half of it by chance, doubled each time: with a try each half second 984 nodes
	// that started together made 1,917 calls that were refused.
	firstAnnouncePause = 4 * time.Second
	mostAnnouncePause  = 16 * time.Second
)

// leaseRow is the lease as it is stored.
type leaseRow struct {
	Holder string `json:"holder"`
	// UntilMs is when the lease ends, by the store's clock.
	UntilMs int64 `json:"until_ms"`
	// Term is that of termAfter where the store stood when the holder asked for the lease,
	// and not above where its transaction left it, so that it rises with each holder.
	Term uint64 `json:"term"`
	// Era is the store's era when the row was written, as far as its writer knew.
	Era uint64 `json:"era,omitempty"`
	// Last is what the holder knew of workers in no group: the model that each
	// can rejoin at once. The next holder goes on with it.
	Last map[string]string `json:"last,omitempty"`
}

// versionsPerEra is how many terms an era has room for: 27 years at a million versions a day.
// At 10,000 groups a term, epochs stay below 2^53 for 90 eras, and 2^64 for 184,000.
const versionsPerEra = 10_000_000_000

// termAfter returns a term above all that were taken before a position.
func termAfter(p store.Position) uint64 { return p.Era()*versionsPerEra + p.Version() + 1 }

// Memory is what one holder hands to the next.
type Memory interface {
	// Idle returns the last models of workers in no group, limit at most.
	Idle(limit int) map[string]string
	// Remember takes in what an earlier holder knew.
	Remember(last map[string]string)
}

// mostRemembered bounds the size of the lease's row.
const mostRemembered = 500

// Table is what the lease needs of LeaseTable.
type Table interface {
	store.Writer
	// Known returns what the table says, or an error if nothing young enough is known.
	Known(ctx context.Context) (Known, error)
}

// Lease is one process's view of the lease over giving orders. Run renews it;
// the other methods may be called from anywhere.
type Lease struct {
	opts LeaseOptions
	// announced is when the node last announced itself, and announceAt when it tries again
	// after pause, since it could not.
	announced, announceAt time.Time
	announcePause         time.Duration
	released              atomic.Bool
	state                 leaseState
}

// LeaseOptions wires a lease.
type LeaseOptions struct {
	Table Table
	// Self returns the node that tries to hold the lease. Its share of a core may change
	// at any time; the node then announces itself again.
	Self func() Node
	// Enlist has another node write this one's row, with those of others. It fails if
	// none can be asked, and the node writes it itself.
	Enlist func(ctx context.Context, name string, row []byte) error
	Memory Memory
	// FirstStart tells that no node can have announced itself before.
	FirstStart bool
	Now        func() time.Time
	Log        *log.Logger
}

// NewLease returns a lease.
func NewLease(opts LeaseOptions) *Lease { return &Lease{opts: opts} }

// Held returns the term of the lease while this node holds it.
func (l *Lease) Held() (term uint64, held bool) {
	term, until := l.state.held()
	return term, l.opts.Now().Before(until)
}

// Term returns the last term that this node held, 0 if it held none.
func (l *Lease) Term() uint64 {
	term, _ := l.state.held()
	return term
}

// Nodes returns how many processes have announced themselves. Before the first
// read it returns more than there will be, so that what they share isn't spent
// more than once.
func (l *Lease) Nodes() int { return l.state.count() }

// Run announces the node, and takes and renews the lease until ctx ends.
func (l *Lease) Run(ctx context.Context) {
	if l.opts.FirstStart {
		wait(ctx, rand.N(announceSpread))
		l.announce(ctx)
	}
	for ctx.Err() == nil {
		l.round(ctx)
		l.announceIfMissing(ctx)
		wait(ctx, l.pause())
	}
}

func (l *Lease) pause() time.Duration {
	if _, held := l.Held(); held && !l.state.behind() {
		return renewEvery
	}
	return standbyEvery
}

// Release gives up the lease for good and takes back the node's row.
func (l *Lease) Release(ctx context.Context) error {
	l.released.Store(true)
	txn := store.Txn{Deletes: []store.Write{{Table: LeaseTable, Key: nodePrefix + l.opts.Self().Name}}}
	row, at := l.state.row()
	if _, held := l.Held(); held {
		l.state.drop()
		row.UntilMs = 0
		txn.Conditions = []store.Condition{{Table: LeaseTable, Key: leaseKey, Version: at.Version()}}
		txn.Writes = []store.Write{{Table: LeaseTable, Key: leaseKey, Value: encode(row)}}
	}
	_, err := l.opts.Table.Commit(ctx, txn)
	var conflict *store.ConflictError
	if errors.As(err, &conflict) { // the lease is another's, or runs out by itself
		_, err = l.opts.Table.Commit(ctx, store.Txn{Deletes: txn.Deletes})
	}
	return err
}

// Outranked gives up a term, since a worker has taken orders under a later one. The
// node takes the lease again only under a new term, once the row shows it free.
func (l *Lease) Outranked(term uint64) {
	if current, held := l.Held(); !held || current != term {
		return
	}
	l.state.drop()
	l.opts.Log.Warn().Str("event", "lease_outranked").Uint64("term", term).Msg("a worker has seen a higher fencing token")
}

// announceIfMissing writes the node's row where it isn't there. That of an earlier life
// will do, so that a node which starts again costs the store no write.
func (l *Lease) announceIfMissing(ctx context.Context) {
	listed, known := l.state.lists(l.opts.Self())
	now := l.opts.Now()
	if !known || listed || l.released.Load() || now.Sub(l.announced) < announceAgain || now.Before(l.announceAt) {
		return
	}
	l.announce(ctx)
}

func (l *Lease) announce(ctx context.Context) {
	if err := l.writeRow(ctx); err != nil {
		l.announcePause = min(max(2*l.announcePause, firstAnnouncePause), mostAnnouncePause)
		l.announceAt = l.opts.Now().Add(l.announcePause/2 + rand.N(l.announcePause/2))
		l.opts.Log.Warn().Str("event", "announcement_failed").Dur("pause", l.announcePause).Err(err).Msg("")
		return
	}
	l.announcePause = 0
	l.announced = l.opts.Now()
}

// writeRow has the node's row written, by another node where one can be asked.
func (l *Lease) writeRow(ctx context.Context) error {
	self := l.opts.Self()
	if l.opts.Enlist != nil && l.opts.Enlist(ctx, self.Name, encode(self)) == nil {
		return nil
	}
	row := store.Write{Table: LeaseTable, Key: nodePrefix + self.Name, Value: encode(self)}
	_, err := l.opts.Table.Commit(ctx, store.Txn{Writes: []store.Write{row}})
	return err
}

// round renews a lease that is held, and else looks whether it is free.
func (l *Lease) round(ctx context.Context) {
	if l.released.Load() {
		return
	}
	known, err := l.opts.Table.Known(ctx)
	if err == nil {
		l.note(known)
	}
	if _, held := l.Held(); held {
		l.renew(ctx, known)
		return
	}
	if err != nil {
		// Once the table is known again the nodes take turns anew. Otherwise all would
		// try at once after an outage, and the first to write may be a small one, which
		// is too slow to give orders to a thousand workers.
		l.state.forgetFree()
		return
	}
	if !l.mayTake(known) {
		return
	}
	l.opts.Memory.Remember(known.lease.Last)
	l.commit(ctx, leaseRow{Holder: l.opts.Self().Name, Term: termAfter(known.At)}, known.leasePosition(), known.Clock)
}

// note takes in what the table says. A node whose row may be lost announces itself at once.
func (l *Lease) note(known Known) {
	before := l.state.note(known)
	if !before.Known() || before.Era() == known.At.Era() {
		return
	}
	l.announced = time.Time{}
	term, held := l.Held()
	l.opts.Log.Warn().Str("event", "lease_restored").Uint64("era", known.At.Era()).Str("holder", known.Holder).Uint64("term", known.Term).
		Bool("held_here", held).Uint64("term_here", term).Msg("grants since the copy are lost")
}

// mayTake tells whether this node may take the lease now.
func (l *Lease) mayTake(known Known) bool {
	row := known.lease
	if l.lostGrants(known) {
		return l.turn(known, leaseLength)
	}
	ended := row.UntilMs <= known.Clock.Milliseconds()
	if !ended && row.Holder == l.opts.Self().Name && known.leaseVersion != 0 {
		// An earlier life of this node, or a renewal whose answer was lost. What it
		// may have ordered counts as another holder's.
		l.opts.Log.Info().Str("event", "lease_found_own").Uint64("term", row.Term).Msg("")
		return true
	}
	return ended && l.turn(known, 0)
}

// lostGrants tells whether the row may be older than the last lease that was granted: it is
// of an earlier era, or is missing where it may have been lost. A node that was granted the
// lease then may hold it until leaseLength after the row was first seen.
func (l *Lease) lostGrants(known Known) bool {
	if known.leaseVersion != 0 {
		return known.lease.Era != known.At.Era()
	}
	return known.At.Era() > 0 && (!l.opts.FirstStart || l.state.restored())
}

// turn tells whether it is this node's turn to take a lease that is free a while after its
// row was first seen so. The nodes with the most processor time come first, and the others
// a little later each, so that they don't all write at once.
func (l *Lease) turn(known Known, after time.Duration) bool {
	rank := min(known.Rank(l.opts.Self()), mostRank)
	seen := l.state.freeSince(known.leasePosition(), l.opts.Now())
	return l.opts.Now().Sub(seen) >= after+time.Duration(rank)*rankPause
}

// renew writes the lease that is held anew. Where the store came back without the last
// renewals, the row there is replaced: nobody else takes it before they would have run out.
func (l *Lease) renew(ctx context.Context, known Known) {
	row, at := l.state.row()
	if at.Era() < known.At.Era() {
		l.commit(ctx, row, known.leasePosition(), known.Clock)
		return
	}
	clock, sent := l.state.clock()
	elapsed := l.opts.Now().Sub(sent)
	// The store's clock stands at least this far now: it read clock after sent.
	l.commit(ctx, row, at, clock+elapsed)
}

// commit writes the lease anew where its row is as of a position. Clock is what the store's
// clock shows now, at the least.
func (l *Lease) commit(ctx context.Context, row leaseRow, at store.Position, clock time.Duration) {
	_, before := l.Held()
	row.UntilMs = (clock + leaseLength).Milliseconds()
	row.Era = at.Era()
	row.Last = l.opts.Memory.Idle(mostRemembered)
	sent := l.opts.Now()
	snapshot, err := l.opts.Table.Commit(ctx, store.Txn{
		Conditions: []store.Condition{{Table: LeaseTable, Key: leaseKey, Version: at.Version()}},
		Writes:     []store.Write{{Table: LeaseTable, Key: leaseKey, Value: encode(row)}},
	})
	var conflict *store.ConflictError
	if errors.As(err, &conflict) {
		if before && conflict.Era > at.Era() {
			l.state.fallBehind()
			return
		}
		l.state.drop()
		if before {
			l.opts.Log.Warn().Str("event", "lease_lost").Uint64("term", row.Term).Msg("")
		}
		return
	}
	if err != nil {
		// It may have been done. Until it is read back the old end counts; a
		// renewal that fails on the condition ends the lease early.
		return
	}
	if snapshot.At.Era() != at.Era() {
		// Another node may have been granted the lease before the store came back.
		l.state.fallBehind()
		return
	}
	// The store's clock showed snapshot.Clock after sent, so that it shows
	// UntilMs at the earliest this much after sent.
	left := time.Duration(row.UntilMs)*time.Millisecond - snapshot.Clock
	l.state.renewed(row, snapshot, sent, sent.Add(left-leaseMargin))
	if !before {
		l.opts.Log.Info().Str("event", "lease_taken").Uint64("term", row.Term).Int("nodes", l.Nodes()).Msg("")
	}
}

func encode(row any) []byte {
	data, _ := json.Marshal(row) // structs of numbers and texts
	return data
}

func wait(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
