// Package duty decides which daemon does what exists once only: the control of
// a fabric domain's groups, the claims of a range of keys. Each daemon holds
// one lease in the platform's table and, under it, any number of duties. A
// duty's epoch grows with every new holder.
package duty

import (
	"context"
	"errors"
	"slices"
	"sync"
	"time"

	"github.com/google/uuid"
	"github.com/phuslu/log"

	"github.com/pointpass/pointpass/table"
)

// renewals is how often a lease is renewed in its length.
const renewals = 4

// maxTaken bounds how many duties one transaction takes.
const maxTaken = 100

// Store is what the keeper writes to.
type Store interface {
	Commit(ctx context.Context, txn table.Txn) (uint64, error)
}

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
	waited map[string]uint64
	// free is since when this daemon has seen duties free.
	free map[string]time.Time
	// lastFailure is why duties could not be taken the last time, and leftLogged whether
	// it was logged that some are left.
	lastFailure string
	leftLogged  bool
	joined      time.Time
	read        time.Time // when the last good read of the table was begun
	releasing   bool
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
