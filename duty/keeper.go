// Package duty decides which daemon does what exists once only: the control of
// a fabric domain's groups, the claims of a range of keys. Each daemon holds
// one lease in the platform's table and, under it, any number of duties. A
// duty's epoch grows with every new holder.
package duty

import (
	"context"
	"errors"
	"maps"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/google/uuid"
	"github.com/phuslu/log"

	"github.com/pointpass/pointpass/table"
)

// The rows that hold leases and duties.
const (
	NodePrefix = "control/node/"
	DutyPrefix = "control/duty/"
)

// renewals is how often a lease is renewed in its length.
const renewals = 4

// maxTaken bounds how many duties one transaction takes.
const maxTaken = 100

// Store is what the keeper writes to.
type Store interface {
	Commit(ctx context.Context, txn table.Txn) (uint64, error)
}

type nodeRow struct {
	Node string `json:"node"`
	Boot string `json:"boot"`
	Addr string `json:"addr"`
	Seq  uint64 `json:"seq"`
}

// holder returns the name under which the node holds duties. It changes with
// every start, so that a daemon never takes itself for its earlier life.
func (n nodeRow) holder() string { return n.Node + "." + n.Boot }

type dutyRow struct {
	Holder string `json:"holder"`
	Addr   string `json:"addr"`
	Epoch  uint64 `json:"epoch"`
	// Sealed is the epoch whose claims the holder got handed over; 0 if none.
	Sealed uint64 `json:"sealed,omitempty"`
}

type dutyState struct {
	row     dutyRow
	version uint64
	since   time.Time // when this version was first known
}

// Taken tells how this daemon came by a duty.
type Taken struct {
	name   string
	epoch  uint64
	sealed uint64
	lapsed bool
}

// Name returns the duty.
func (t Taken) Name() string { return t.name }

// Epoch returns the epoch under which it is held.
func (t Taken) Epoch() uint64 { return t.epoch }

// First tells whether nobody held the duty before.
func (t Taken) First() bool { return t.epoch == 1 }

// Lapsed tells whether the last holder's lease was waited out, with margin.
func (t Taken) Lapsed() bool { return t.lapsed }

// Sealed returns the epoch whose holder handed its state over, 0 if none.
func (t Taken) Sealed() uint64 { return t.sealed }

// Holder is who holds a duty.
type Holder struct {
	name  string
	addr  string
	epoch uint64
}

// Name returns the holder's name, which changes with each of its starts.
func (h Holder) Name() string { return h.name }

// Addr returns where the holder serves other daemons.
func (h Holder) Addr() string { return h.addr }

// Epoch returns the duty's epoch.
func (h Holder) Epoch() uint64 { return h.epoch }

// Options says who a keeper works for.
type Options struct {
	Node   string
	Addr   string
	Lease  time.Duration
	Margin time.Duration
	// Candidates returns the nodes that may hold duties now.
	Candidates func() []string
	// Wanted returns the duties that somebody must hold now.
	Wanted func() []string
	// OnTaken is called for every duty that this daemon takes.
	OnTaken func(Taken)
	Now     func() time.Time
	Log     *log.Logger
}

// Keeper keeps this daemon's lease and takes duties that nobody holds.
type Keeper struct {
	opts  Options
	store Store

	mu      sync.Mutex
	self    nodeRow
	version uint64 // of our own row, 0 before the first renewal
	sent    map[uint64]time.Time
	lease   lease
	nodes   map[string]observation
	// ended are leases whose rows were removed while a duty still names their holder, as
	// they were last seen: another daemon took some of the holder's duties.
	ended  map[string]observation
	duties map[string]dutyState
	taken  map[string]uint64 // duty to the epoch that OnTaken was called for
	// waited maps a duty to the epoch that we asked for once the last holder's lease
	// had lapsed. Our rows may be read back before the transaction that took the
	// duty returns, or without its answer.
	waited    map[string]uint64
	joined    time.Time
	read      time.Time // when the last good read of the table was begun
	releasing bool
}

// NewKeeper returns a keeper that holds nothing yet.
func NewKeeper(store Store, opts Options) *Keeper {
	k := &Keeper{
		opts:   opts,
		store:  store,
		nodes:  map[string]observation{},
		ended:  map[string]observation{},
		duties: map[string]dutyState{},
		taken:  map[string]uint64{},
	}
	k.rebirth()
	return k
}

// rebirth starts a new life without lease or duties.
func (k *Keeper) rebirth() {
	k.self = nodeRow{Node: k.opts.Node, Boot: uuid.NewString()[:8], Addr: k.opts.Addr}
	k.version = 0
	k.lease = lease{length: k.opts.Lease}
	k.sent = map[uint64]time.Time{}
	k.waited = map[string]uint64{}
	k.taken = map[string]uint64{}
	k.joined = time.Time{}
}

// Run renews the lease and takes duties until ctx ends.
func (k *Keeper) Run(ctx context.Context) {
	ticker := time.NewTicker(k.opts.Lease / renewals)
	defer ticker.Stop()
	for {
		k.Step(ctx)
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// Step renews the lease once and takes what is free.
func (k *Keeper) Step(ctx context.Context) {
	if !slices.Contains(k.opts.Candidates(), k.opts.Node) && !k.holdsAny() {
		return
	}
	k.renew(ctx)
	k.takeFree(ctx)
}

func (k *Keeper) holdsAny() bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return len(k.taken) > 0
}

// renew writes our row again, on the condition that nobody removed it.
func (k *Keeper) renew(ctx context.Context) {
	k.mu.Lock()
	if k.releasing {
		k.mu.Unlock()
		return
	}
	k.self.Seq++
	row := k.self
	version := k.version
	sentAt := k.opts.Now()
	k.sent[row.Seq] = sentAt
	k.mu.Unlock()

	key := NodePrefix + row.holder()
	txn := (&table.Txn{}).Check(key, version).Put(key, row)
	newVersion, err := k.store.Commit(ctx, *txn)
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.self.Boot != row.Boot {
		return
	}
	if err == nil {
		k.renewed(row.Seq, newVersion)
		return
	}
	var conflict *table.ConflictError
	if errors.As(err, &conflict) {
		k.conflicted(key, conflict)
		return
	}
	k.opts.Log.Warn().Err(err).Msg("lease not renewed")
}

func (k *Keeper) renewed(seq, version uint64) {
	k.version = version
	k.lease.from = k.sent[seq]
	if k.joined.IsZero() {
		k.joined = k.opts.Now()
	}
	for old := range k.sent {
		if old <= seq {
			delete(k.sent, old)
		}
	}
}

// conflicted tells a renewal of our own whose answer was lost from a removal
// by a successor.
func (k *Keeper) conflicted(key string, conflict *table.ConflictError) {
	for _, row := range conflict.Rows() {
		var written nodeRow
		if row.Key() != key || row.Deleted() || row.Decode(&written) != nil {
			continue
		}
		if _, ours := k.sent[written.Seq]; ours && written.Boot == k.self.Boot {
			k.renewed(written.Seq, row.Version())
			return
		}
	}
	k.opts.Log.Warn().Str("holder", k.self.holder()).Msg("lease lost to a successor")
	k.rebirth()
}

// ApplyNodes takes in rows of leases. The time that counts for a lease is when
// its row was received, which is after it was written.
func (k *Keeper) ApplyNodes(rows []table.Row, _ time.Time) {
	k.mu.Lock()
	defer k.mu.Unlock()
	received := k.opts.Now()
	for _, row := range rows {
		name := strings.TrimPrefix(row.Key(), NodePrefix)
		if row.Deleted() {
			k.noteEnded(name)
			continue
		}
		var n nodeRow
		if row.Decode(&n) != nil {
			continue
		}
		k.nodes[name] = observation{row: n, version: row.Version(), since: received}
	}
}

// noteEnded moves a lease whose row was removed to those that ended. The caller holds the
// lock.
func (k *Keeper) noteEnded(holder string) {
	if seen, listed := k.nodes[holder]; listed {
		k.ended[holder] = seen
	}
	delete(k.nodes, holder)
}

// forgetEnded drops ended leases that no duty names any more. The caller holds the lock.
func (k *Keeper) forgetEnded() {
	named := map[string]bool{}
	for _, d := range k.duties {
		named[d.row.Holder] = true
	}
	maps.DeleteFunc(k.ended, func(holder string, _ observation) bool { return !named[holder] })
}

// Observed is to be called after each good read of the table, once its rows were
// applied, with the moment at which the read was begun.
func (k *Keeper) Observed(begun time.Time) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.read = begun
	k.forgetEnded()
}

// Resumed starts all waiting for leases to lapse anew. It is to be called when
// the platform answers again: holders could not renew either, and they come
// first.
func (k *Keeper) Resumed() {
	k.mu.Lock()
	defer k.mu.Unlock()
	now := k.opts.Now()
	for name, seen := range k.nodes {
		seen.since = now
		k.nodes[name] = seen
	}
}

// ApplyDuties takes in rows of duties.
func (k *Keeper) ApplyDuties(rows []table.Row, _ time.Time) {
	k.mu.Lock()
	var news []Taken
	for _, row := range rows {
		name := strings.TrimPrefix(row.Key(), DutyPrefix)
		var d dutyRow
		if row.Decode(&d) != nil || row.Version() <= k.duties[name].version {
			continue
		}
		k.duties[name] = dutyState{row: d, version: row.Version(), since: k.opts.Now()}
		news = k.noteTaken(news, name, d)
	}
	k.mu.Unlock()
	k.tell(news)
}

// noteTaken adds a duty to the news if its row makes this daemon its holder. The
// last holder's lease counts as lapsed if it had when we asked: our transaction
// takes effect only on the holder's row as it stood then. A holder that handed the
// duty over had come back in between.
func (k *Keeper) noteTaken(news []Taken, name string, d dutyRow) []Taken {
	if d.Holder != k.self.holder() {
		delete(k.taken, name)
		return news
	}
	if k.taken[name] == d.Epoch {
		return news
	}
	k.taken[name] = d.Epoch
	lapsed := k.waited[name] == d.Epoch && d.Sealed == 0
	delete(k.waited, name)
	return append(news, Taken{name: name, epoch: d.Epoch, sealed: d.Sealed, lapsed: lapsed})
}

func (k *Keeper) tell(news []Taken) {
	if len(news) == 0 {
		return
	}
	names := make([]string, 0, len(news))
	for _, t := range news {
		names = append(names, t.name)
		k.opts.OnTaken(t)
	}
	k.opts.Log.Info().Strs("duties", names).Msg("duties taken")
}

// endedLapsedLocked tells whether the lease of a duty's holder has certainly run out,
// though its row is gone: it can't be renewed without its row, and stood still for long
// enough before our last read. So did the duty's row: a holder that gives up its lease
// gives up all duties that it knows of, and one that it never knew of may have come from
// somebody who gave it up just before.
func (k *Keeper) endedLapsedLocked(d dutyState) bool {
	seen, ended := k.ended[d.row.Holder]
	return ended && seen.lapsed(k.read, k.opts.Lease, k.opts.Margin) && k.read.Sub(d.since) > k.opts.Lease+k.opts.Margin
}

// lapsedLocked tells whether a holder's lease has certainly run out by itself.
func (k *Keeper) lapsedLocked(holder string) bool {
	seen, ok := k.nodes[holder]
	return ok && seen.lapsed(k.read, k.opts.Lease, k.opts.Margin)
}

// Held returns the epoch under which this daemon holds a duty right now.
func (k *Keeper) Held(name string) (uint64, bool) {
	epoch, left := k.HeldFor(name)
	return epoch, left > 0
}

// HeldFor returns a duty's epoch and for how long it is certainly held.
func (k *Keeper) HeldFor(name string) (uint64, time.Duration) {
	k.mu.Lock()
	defer k.mu.Unlock()
	d, ok := k.duties[name]
	if !ok || d.row.Holder != k.self.holder() || k.releasing {
		return 0, 0
	}
	return d.row.Epoch, k.lease.left(k.opts.Now())
}

// Guard adds to a transaction the condition that this daemon holds a duty, so
// that nothing is written by a holder that has been succeeded unawares.
func (k *Keeper) Guard(txn *table.Txn, name string) {
	k.mu.Lock()
	defer k.mu.Unlock()
	txn.Check(DutyPrefix+name, k.duties[name].version)
}

// HolderOf returns who holds a duty, as far as this daemon knows.
func (k *Keeper) HolderOf(name string) (Holder, bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	d, ok := k.duties[name]
	if !ok || d.row.Holder == "" {
		return Holder{}, false
	}
	return Holder{name: d.row.Holder, addr: d.row.Addr, epoch: d.row.Epoch}, true
}

// Duties returns all known duties and their holders.
func (k *Keeper) Duties() map[string]Holder {
	k.mu.Lock()
	defer k.mu.Unlock()
	all := make(map[string]Holder, len(k.duties))
	for name, d := range k.duties {
		all[name] = Holder{name: d.row.Holder, addr: d.row.Addr, epoch: d.row.Epoch}
	}
	return all
}

// Alive tells whether a holder's lease may still be good.
func (k *Keeper) Alive(holder string) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	if holder == k.self.holder() {
		return true
	}
	seen, ok := k.nodes[holder]
	return ok && !seen.lapsed(k.read, k.opts.Lease, k.opts.Margin)
}

// Name returns the name under which this daemon holds duties.
func (k *Keeper) Name() string {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.self.holder()
}
