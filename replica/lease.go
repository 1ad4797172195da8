// Package replica forms the groups of workers that run models: it decides which workers belong
// together, gives them their orders under a lease, and ends groups that lost a member.
package replica

import (
	"context"
	"encoding/json"
	"errors"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/phuslu/log"

	"github.com/pointpass/pointpass/common/units"
	"github.com/pointpass/pointpass/store"
)

// LeaseTable is the table that holds the lease and the rows of the nodes.
const LeaseTable = "control"

const (
	leaseKey   = "lease"
	nodePrefix = "node/"
	// renewInterval is how often the holder renews the lease.
	renewInterval = 1500 * time.Millisecond
	// leaseCheckInterval is how often a node that doesn't hold the lease checks whether it is free.
	leaseCheckInterval = 500 * time.Millisecond
	// leaseLength is how long the lease lasts after a renewal.
	leaseLength = 3000 * time.Millisecond
	// maxLeaseLeft is far more than a lease can have left, on a clock that is known with a delay.
	maxLeaseLeft = 10 * leaseLength
	// rankDelay is how much later each node tries to take a free lease than the node ranked
	// before it, up to maxRank. By the turn of the sixth node, all nodes know the new holder.
	// With a lower maxRank, all nodes beyond it would try at the same time, and each of these
	// tries is a call that the store rejects.
	rankDelay = 200 * time.Millisecond
	maxRank   = 100
	// leaseMargin is how long before the lease ends its holder stops giving orders.
	leaseMargin = 700 * time.Millisecond
	// announceJitter is the time over which the nodes of a first start announce themselves: the
	// stores of the known sites take 200 such writes a second and reject writes that would wait
	// for more than a second.
	announceJitter = 600 * time.Millisecond
	// announceInterval is the shortest time between two announcements of a node: an announcement
	// may take that long to show in the table.
	announceInterval = 5 * time.Second
	// minAnnounceBackoff is the first backoff after a failed announcement. It doubles with each
	// failure, and half of it is random, so that nodes that start together don't try again together.
	minAnnounceBackoff = 4 * time.Second
	maxAnnounceBackoff = 16 * time.Second
)

// leaseRow is the stored row of the lease.
type leaseRow struct {
	Holder string `json:"holder"`
	// UntilMs is when the lease ends, on the store's clock.
	UntilMs int64 `json:"until_ms"`
	// Term is termAfter of the store's position when the holder requested the lease. It is not
	// above the position after the holder's transaction, so that it rises with each holder.
	Term uint64 `json:"term"`
	// Era is the store's era when the row was written, as last seen by its writer.
	Era uint64 `json:"era,omitempty"`
	// Last is the last model of each worker in no group, which the worker can run again without
	// a load. It is handed over to the next holder.
	Last map[string]string `json:"last,omitempty"`
}

// versionsPerEra is how many terms an era has room for: 27 years at a million versions a day. At
// 10,000 groups a term, epochs stay below 2^53 for 90 eras, and below 2^64 for 184,000.
const versionsPerEra = 10_000_000_000

// termAfter returns a term above all that were taken before a position.
func termAfter(p store.Position) uint64 { return p.Era()*versionsPerEra + p.Version() + 1 }

// Handover is the state that one lease holder hands over to the next.
type Handover interface {
	// LastModels returns the last models of at most limit workers that are in no group.
	LastModels(limit int) map[string]string
	// SeedLastModels adds the last models that an earlier holder stored.
	SeedLastModels(last map[string]string)
}

// maxHandover is the maximum number of workers in the lease's row, which bounds its size.
const maxHandover = 500

// Table gives a lease access to LeaseTable.
type Table interface {
	store.Writer
	// Known returns the table's contents, or an error if the last observation is too old.
	Known(ctx context.Context) (TableSnapshot, error)
}

// Lease is one node's view of the lease, whose holder alone may give orders. Run takes and
// renews it; the other methods may be called from any goroutine.
type Lease struct {
	opts LeaseOptions
	// announced is when the node last announced itself. After a failure it tries again at
	// announceAt, with announceBackoff as the last backoff.
	announced, announceAt time.Time
	announceBackoff       time.Duration
	released              atomic.Bool
	state                 leaseState
}

// LeaseOptions are the dependencies and settings of a lease.
type LeaseOptions struct {
	Table Table
	// Self returns the node that tries to hold the lease. Its share of a core may change at any
	// time; the node then announces itself again.
	Self func() Node
	// Enlist has another node write this node's row together with those of others. If it fails,
	// the node writes its row itself.
	Enlist   func(ctx context.Context, name string, row []byte) error
	Handover Handover
	// FirstStart reports that no node can have announced itself before.
	FirstStart bool
	// Unfit reports that this node doesn't reach workers that other nodes reach, so that its
	// orders would reach nobody. It then gives up the lease and doesn't take it. Nil means never.
	Unfit func() bool
	Now   func() time.Time
	Log   *log.Logger
}

// NewLease returns a lease that is not held.
func NewLease(opts LeaseOptions) *Lease { return &Lease{opts: opts} }

// Held returns the term of the lease, and whether this node holds it now.
func (l *Lease) Held() (term uint64, held bool) {
	term, until := l.state.held()
	return term, l.opts.Now().Before(until)
}

// Term returns the last term that this node held, 0 if it held none.
func (l *Lease) Term() uint64 {
	term, _ := l.state.held()
	return term
}

// Nodes returns how many nodes have announced themselves. Before the first read it returns an
// upper estimate, so that a budget that is divided among the nodes isn't exceeded.
func (l *Lease) Nodes() int { return l.state.nodeCount() }

// Run announces the node, and takes and renews the lease until ctx ends.
func (l *Lease) Run(ctx context.Context) {
	if l.opts.FirstStart {
		wait(ctx, rand.N(announceJitter))
		l.announce(ctx)
	}
	for ctx.Err() == nil {
		l.round(ctx)
		l.announceIfMissing(ctx)
		wait(ctx, l.roundInterval())
	}
}

// roundInterval returns how long to wait until the next round.
func (l *Lease) roundInterval() time.Duration {
	if _, held := l.Held(); held && !l.state.isStale() {
		return renewInterval
	}
	return leaseCheckInterval
}

// Release permanently gives up the lease and deletes the node's row.
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
	if errors.As(err, &conflict) { // another node holds the lease, or it ends by itself
		_, err = l.opts.Table.Commit(ctx, store.Txn{Deletes: txn.Deletes})
	}
	return err
}

// yield gives up the lease, so that another node can take it at once. If the write fails, it is free
// once its time has passed.
func (l *Lease) yield(ctx context.Context) {
	row, at := l.state.row()
	l.state.drop()
	row.UntilMs = 0
	row.Last = l.opts.Handover.LastModels(maxHandover)
	_, err := l.opts.Table.Commit(ctx, store.Txn{
		Conditions: []store.Condition{{Table: LeaseTable, Key: leaseKey, Version: at.Version()}},
		Writes:     []store.Write{{Table: LeaseTable, Key: leaseKey, Value: encode(row)}},
	})
	l.opts.Log.Warn().Str("event", "lease_yielded").Uint64("term", row.Term).Err(err).Msg("other daemons reach workers that this one doesn't")
}

// StepDown gives up a term after a worker took orders of a later one. The node takes the lease
// again only under a new term, once the row shows that it is free.
func (l *Lease) StepDown(term uint64) {
	if current, held := l.Held(); !held || current != term {
		return
	}
	l.state.drop()
	l.opts.Log.Warn().Str("event", "lease_outranked").Uint64("term", term).Msg("a worker has seen a higher fencing token")
}

// announceIfMissing writes the node's row if the table lacks it. An equal row from before a
// restart is enough, so that a restarted node costs the store no write.
func (l *Lease) announceIfMissing(ctx context.Context) {
	listed, known := l.state.isListed(l.opts.Self())
	now := l.opts.Now()
	if !known || listed || l.released.Load() || now.Sub(l.announced) < announceInterval || now.Before(l.announceAt) {
		return
	}
	l.announce(ctx)
}

// announce writes the node's row. After a failure it sets the time of the next try.
func (l *Lease) announce(ctx context.Context) {
	if err := l.writeRow(ctx); err != nil {
		l.announceBackoff = min(max(2*l.announceBackoff, minAnnounceBackoff), maxAnnounceBackoff)
		l.announceAt = l.opts.Now().Add(l.announceBackoff/2 + rand.N(l.announceBackoff/2))
		l.opts.Log.Warn().Str("event", "announcement_failed").Dur("pause", l.announceBackoff).Err(err).Msg("")
		return
	}
	l.announceBackoff = 0
	l.announced = l.opts.Now()
}

// writeRow has another node write this node's row if possible, and otherwise writes it.
func (l *Lease) writeRow(ctx context.Context) error {
	self := l.opts.Self()
	if l.opts.Enlist != nil && l.opts.Enlist(ctx, self.Name, encode(self)) == nil {
		return nil
	}
	row := store.Write{Table: LeaseTable, Key: nodePrefix + self.Name, Value: encode(self)}
	_, err := l.opts.Table.Commit(ctx, store.Txn{Writes: []store.Write{row}})
	return err
}

// round renews a lease that is held, and otherwise takes it if it is free.
func (l *Lease) round(ctx context.Context) {
	if l.released.Load() {
		return
	}
	known, err := l.opts.Table.Known(ctx)
	if err == nil {
		l.applyTable(known)
	}
	_, held := l.Held()
	if l.opts.Unfit != nil && l.opts.Unfit() {
		if held {
			l.yield(ctx)
		}
		return
	}
	if held {
		l.renew(ctx, known)
		return
	}
	if err != nil {
		// The turns start again once the table is readable. Otherwise all nodes would try at
		// once after an outage, and the first to write may have too little processor time to
		// give orders to a thousand workers.
		l.state.resetFree()
		return
	}
	if !l.mayTake(known) {
		return
	}
	l.opts.Handover.SeedLastModels(known.lease.Last)
	l.commit(ctx, leaseRow{Holder: l.opts.Self().Name, Term: termAfter(known.At)}, known.leasePosition(), known.Clock)
}

// applyTable applies the table's contents. If the store was restored, the node's row may be
// lost, and the node announces itself again at once.
func (l *Lease) applyTable(known TableSnapshot) {
	before := l.state.update(known)
	if !before.IsSet() || before.Era() == known.At.Era() {
		return
	}
	l.announced = time.Time{}
	term, held := l.Held()
	l.opts.Log.Warn().Str("event", "lease_restored").Uint64("era", known.At.Era()).Str("holder", known.Holder).Uint64("term", known.Term).
		Bool("held_here", held).Uint64("term_here", term).Msg("the store was restored from an older copy: lease grants made since are lost")
}

// mayTake reports whether this node may take the lease now.
func (l *Lease) mayTake(known TableSnapshot) bool {
	row := known.lease
	if l.rowMayBeStale(known) {
		return l.isTurn(known, leaseLength)
	}
	ended := row.UntilMs <= known.Clock.Milliseconds()
	if !ended && row.Holder == l.opts.Self().Name && known.leaseVersion != 0 {
		// The row was written before this node restarted, or by a renewal whose answer was lost.
		// Orders given under it count as those of another holder.
		l.opts.Log.Info().Str("event", "lease_found_own").Uint64("term", row.Term).Msg("")
		return true
	}
	if units.Millis(row.UntilMs)-known.Clock > maxLeaseLeft {
		// No node wrote this row. A holder would renew its lease within leaseLength.
		return l.isTurn(known, leaseLength)
	}
	return ended && l.isTurn(known, 0)
}

// rowMayBeStale reports whether the row may be older than the last lease that was granted: it is
// of an earlier era, or it is missing where a restore may have lost it. A node that was granted
// the lease since may hold it until leaseLength after the row was first seen.
func (l *Lease) rowMayBeStale(known TableSnapshot) bool {
	if known.leaseVersion != 0 {
		return known.lease.Era != known.At.Era()
	}
	return known.At.Era() > 0 && (!l.opts.FirstStart || l.state.restored())
}

// isTurn reports whether it is this node's turn to take the lease: the given time, and a
// rankDelay for each node ranked before it, must have passed since the row was first seen free.
// The nodes with the most processor time come first, and the delays keep the nodes from all
// writing at once.
func (l *Lease) isTurn(known TableSnapshot, after time.Duration) bool {
	rank := min(known.Rank(l.opts.Self()), maxRank)
	free := l.state.freeSince(known.leasePosition(), l.opts.Now())
	return l.opts.Now().Sub(free) >= after+time.Duration(rank)*rankDelay
}

// renew writes the row of the lease that is held. Where the store was restored without the last
// renewals, it replaces the row found there: no other node takes the lease before these renewals
// would have ended.
func (l *Lease) renew(ctx context.Context, known TableSnapshot) {
	row, at := l.state.row()
	if at.Era() < known.At.Era() {
		l.commit(ctx, row, known.leasePosition(), known.Clock)
		return
	}
	clock, sent := l.state.clock()
	elapsed := l.opts.Now().Sub(sent)
	// The store's clock shows at least this now: it showed clock after sent.
	l.commit(ctx, row, at, clock+elapsed)
}

// commit writes the lease's row if the stored one is still at a position. Clock is the least
// that the store's clock shows now.
func (l *Lease) commit(ctx context.Context, row leaseRow, at store.Position, clock time.Duration) {
	_, before := l.Held()
	row.UntilMs = (clock + leaseLength).Milliseconds()
	row.Era = at.Era()
	row.Last = l.opts.Handover.LastModels(maxHandover)
	sent := l.opts.Now()
	snapshot, err := l.opts.Table.Commit(ctx, store.Txn{
		Conditions: []store.Condition{{Table: LeaseTable, Key: leaseKey, Version: at.Version()}},
		Writes:     []store.Write{{Table: LeaseTable, Key: leaseKey, Value: encode(row)}},
	})
	var conflict *store.ConflictError
	if errors.As(err, &conflict) {
		if before && conflict.Era > at.Era() {
			l.state.markStale()
			return
		}
		l.state.drop()
		if before {
			l.opts.Log.Warn().Str("event", "lease_lost").Uint64("term", row.Term).Msg("")
		}
		return
	}
	if err != nil {
		// The write may have been committed. Until the row is read back, the old end applies; a
		// renewal that fails on its condition ends the lease early.
		return
	}
	if snapshot.At.Era() != at.Era() {
		// Another node may have been granted the lease before the store was restored.
		l.state.markStale()
		return
	}
	// The store's clock showed snapshot.Clock after sent, so that it reaches UntilMs no earlier
	// than left after sent.
	left := units.Millis(row.UntilMs) - snapshot.Clock
	l.state.renewed(row, snapshot, sent, sent.Add(left-leaseMargin))
	if !before {
		l.opts.Log.Info().Str("event", "lease_taken").Uint64("term", row.Term).Int("nodes", l.Nodes()).Msg("")
	}
}

// encode returns a row as JSON.
func encode(row any) []byte {
	data, _ := json.Marshal(row) // structs of numbers and strings can't fail
	return data
}

// wait returns after d, or when ctx ends.
func wait(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
