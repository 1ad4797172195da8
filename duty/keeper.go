// Package duty assigns the tasks that exactly one daemon may do at a time: the
// control of a fabric domain's groups and the claims of a slot of keys. Each daemon
// holds one lease in the platform's table and, under it, any number of duties. The
// epoch of a duty grows with every new holder.
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

// renewalsPerLease is how often a lease is renewed during its duration.
const renewalsPerLease = 4

// maxTaken is the maximum number of duties that one transaction takes.
const maxTaken = 100

// Store is the part of the platform's table that the keeper writes to.
type Store interface {
	Commit(ctx context.Context, txn table.Txn) (uint64, error)
}

// Options holds the settings and callbacks of a keeper.
type Options struct {
	Node   string
	Addr   string
	Lease  time.Duration
	Margin time.Duration
	// Candidates returns the nodes that may hold duties.
	Candidates func() []string
	// Wanted returns the duties that need a holder.
	Wanted func() []string
	// OnAcquired is called for every duty that this daemon acquires.
	OnAcquired func(Acquisition)
	Now        func() time.Time
	Log        *log.Logger
}

// Keeper renews this daemon's lease and acquires duties that have no holder.
type Keeper struct {
	opts  Options
	store Store

	mu      sync.Mutex
	self    nodeRow
	version uint64               // of this daemon's row, 0 before the first renewal
	sent    map[uint64]time.Time // by sequence number, when unanswered renewals were sent
	lease   lease
	nodes   map[string]observation
	// ended holds the last observations of leases whose rows were removed while a duty
	// still names their holder: another daemon took some of the holder's duties.
	ended  map[string]observation
	duties map[string]dutyState
	taken  map[string]uint64 // by duty, the epoch that OnAcquired was called for
	// afterExpiry is, by duty, the epoch that this daemon requested after the lease of
	// the previous holder had expired. It is kept because the rows of the transaction may
	// be read back before its reply arrives, or if the reply is lost.
	afterExpiry map[string]uint64
	// freeSince is, by duty, since when this daemon has seen it without a holder.
	freeSince map[string]time.Time
	// lastFailure is the error of the last failed attempt to take duties. notTakenLogged
	// is set once the warning about duties not taken was logged.
	lastFailure    string
	notTakenLogged bool
	joinedAt       time.Time
	lastRead       time.Time // when the last successful read of the table started
	releasing      bool
}

// NewKeeper returns a keeper without lease and duties.
func NewKeeper(store Store, opts Options) *Keeper {
	k := &Keeper{
		opts:   opts,
		store:  store,
		nodes:  map[string]observation{},
		ended:  map[string]observation{},
		duties: map[string]dutyState{},
		taken:  map[string]uint64{},
	}
	k.reset()
	return k
}

// reset starts over under a new holder name, without lease and duties.
func (k *Keeper) reset() {
	k.self = nodeRow{Node: k.opts.Node, Boot: uuid.NewString()[:8], Addr: k.opts.Addr}
	k.version = 0
	k.lease = lease{duration: k.opts.Lease}
	k.sent = map[uint64]time.Time{}
	k.afterExpiry = map[string]uint64{}
	k.taken = map[string]uint64{}
	k.joinedAt = time.Time{}
}

// Run renews the lease and acquires duties until ctx ends.
func (k *Keeper) Run(ctx context.Context) {
	ticker := time.NewTicker(k.opts.Lease / renewalsPerLease)
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

// Step renews the lease once and takes free duties. It does neither if this daemon is
// no candidate and holds no duty.
func (k *Keeper) Step(ctx context.Context) {
	if !slices.Contains(k.opts.Candidates(), k.opts.Node) && !k.hasDuties() {
		return
	}
	k.renew(ctx)
	k.takeFree(ctx)
}

func (k *Keeper) hasDuties() bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return len(k.taken) > 0
}

// renew writes the row of this daemon's lease, on the condition that it was not
// removed or changed.
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
		k.resolveConflict(key, conflict)
		return
	}
	k.opts.Log.Warn().Err(err).Msg("lease not renewed")
}

func (k *Keeper) renewed(seq, version uint64) {
	k.version = version
	k.lease.start = k.sent[seq]
	if k.joinedAt.IsZero() {
		k.joinedAt = k.opts.Now()
	}
	for old := range k.sent {
		if old <= seq {
			delete(k.sent, old)
		}
	}
}

// resolveConflict distinguishes an earlier renewal of this daemon whose reply was
// lost from a removal of the row by a successor.
func (k *Keeper) resolveConflict(key string, conflict *table.ConflictError) {
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
	k.reset()
}

// Held returns the epoch in which this daemon holds a duty, and whether it holds it.
func (k *Keeper) Held(name string) (uint64, bool) {
	epoch, left := k.HeldFor(name)
	return epoch, left > 0
}

// HeldFor returns the epoch of a duty and the minimum time for which this daemon
// still holds it, 0 or less if it doesn't.
func (k *Keeper) HeldFor(name string) (uint64, time.Duration) {
	k.mu.Lock()
	defer k.mu.Unlock()
	d, ok := k.duties[name]
	if !ok || d.row.Holder != k.self.holder() || k.releasing {
		return 0, 0
	}
	return d.row.Epoch, k.lease.remaining(k.opts.Now())
}

// Guard adds to a transaction the condition that the duty's row hasn't changed. This
// fences off a former holder that hasn't seen its successor yet.
func (k *Keeper) Guard(txn *table.Txn, name string) {
	k.mu.Lock()
	defer k.mu.Unlock()
	txn.Check(DutyPrefix+name, k.duties[name].version)
}

// HolderOf returns the holder of a duty, as last read from the table.
func (k *Keeper) HolderOf(name string) (Holder, bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	d, ok := k.duties[name]
	if !ok || d.row.Holder == "" {
		return Holder{}, false
	}
	return Holder{name: d.row.Holder, addr: d.row.Addr, epoch: d.row.Epoch}, true
}

// Duties returns all duties and their holders, as last read from the table.
func (k *Keeper) Duties() map[string]Holder {
	k.mu.Lock()
	defer k.mu.Unlock()
	all := make(map[string]Holder, len(k.duties))
	for name, d := range k.duties {
		all[name] = Holder{name: d.row.Holder, addr: d.row.Addr, epoch: d.row.Epoch}
	}
	return all
}

// Alive reports whether a holder's lease may still be valid.
func (k *Keeper) Alive(holder string) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	if holder == k.self.holder() {
		return true
	}
	seen, ok := k.nodes[holder]
	return ok && !seen.expired(k.lastRead, k.opts.Lease, k.opts.Margin)
}

// Name returns the holder name of this daemon.
func (k *Keeper) Name() string {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.self.holder()
}
