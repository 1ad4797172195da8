package duty

import (
	"maps"
	"strings"
	"time"

	"github.com/pointpass/pointpass/table"
)

// Prefixes of the rows for leases and duties.
const (
	NodePrefix = "control/node/"
	DutyPrefix = "control/duty/"
)

type nodeRow struct {
	Node string `json:"node"`
	Boot string `json:"boot"`
	Addr string `json:"addr"`
	Seq  uint64 `json:"seq"`
}

// holder returns the name under which the node holds duties. It changes with every
// start, so that a restarted daemon doesn't act on the duties it held before.
func (n nodeRow) holder() string { return n.Node + "." + n.Boot }

type dutyRow struct {
	Holder string `json:"holder"`
	Addr   string `json:"addr"`
	Epoch  uint64 `json:"epoch"`
	// Sealed is the epoch whose claims were handed over to the holder, 0 if none.
	Sealed uint64 `json:"sealed,omitempty"`
}

type dutyState struct {
	row     dutyRow
	version uint64
	since   time.Time // when this version was first seen
}

// ApplyNodes applies changed rows of leases. A lease counts from when its row was
// received, which is after it was written.
func (k *Keeper) ApplyNodes(rows []table.Row, _ time.Time) {
	k.mu.Lock()
	defer k.mu.Unlock()
	received := k.opts.Now()
	for _, row := range rows {
		name := strings.TrimPrefix(row.Key(), NodePrefix)
		if row.Deleted() {
			k.markEnded(name)
			continue
		}
		var n nodeRow
		if row.Decode(&n) != nil {
			continue
		}
		k.nodes[name] = observation{row: n, version: row.Version(), since: received}
	}
}

// markEnded moves the lease of a removed row to the ended leases. The caller holds the
// lock.
func (k *Keeper) markEnded(holder string) {
	if seen, listed := k.nodes[holder]; listed {
		k.ended[holder] = seen
	}
	delete(k.nodes, holder)
}

// pruneEnded drops ended leases that no duty refers to. The caller holds the lock.
func (k *Keeper) pruneEnded() {
	named := map[string]bool{}
	for _, d := range k.duties {
		named[d.row.Holder] = true
	}
	maps.DeleteFunc(k.ended, func(holder string, _ observation) bool { return !named[holder] })
}

// ReadDone must be called after each successful read of the table, once its rows are
// applied, with the time at which the read started.
func (k *Keeper) ReadDone(started time.Time) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.lastRead = started
	k.pruneEnded()
}

// RestartExpiry restarts the wait for the expiry of all leases. It must be called when
// the platform answers again after an outage: holders couldn't renew either, and get
// the chance to do so first.
func (k *Keeper) RestartExpiry() {
	k.mu.Lock()
	defer k.mu.Unlock()
	now := k.opts.Now()
	for name, seen := range k.nodes {
		seen.since = now
		k.nodes[name] = seen
	}
}

// ApplyDuties applies changed rows of duties.
func (k *Keeper) ApplyDuties(rows []table.Row, _ time.Time) {
	k.mu.Lock()
	var acquired []Acquisition
	for _, row := range rows {
		name := strings.TrimPrefix(row.Key(), DutyPrefix)
		var d dutyRow
		if row.Decode(&d) != nil || row.Version() <= k.duties[name].version {
			continue
		}
		k.duties[name] = dutyState{row: d, version: row.Version(), since: k.opts.Now()}
		acquired = k.appendAcquired(acquired, name, d)
	}
	k.mu.Unlock()
	k.notifyAcquired(acquired)
}

// appendAcquired appends a duty to the list if its row makes this daemon its holder.
// The previous holder's lease counts as expired if it had expired when this daemon
// requested the duty, since the transaction commits only if the holder's row hasn't
// changed since. It doesn't count if the holder came back meanwhile and handed the
// duty over. The caller holds the lock.
func (k *Keeper) appendAcquired(acquired []Acquisition, name string, d dutyRow) []Acquisition {
	if d.Holder != k.self.holder() {
		delete(k.taken, name)
		return acquired
	}
	if k.taken[name] == d.Epoch {
		return acquired
	}
	k.taken[name] = d.Epoch
	expired := k.afterExpiry[name] == d.Epoch && d.Sealed == 0
	delete(k.afterExpiry, name)
	return append(acquired, Acquisition{name: name, epoch: d.Epoch, sealed: d.Sealed, expired: expired})
}

func (k *Keeper) notifyAcquired(acquired []Acquisition) {
	if len(acquired) == 0 {
		return
	}
	names := make([]string, 0, len(acquired))
	for _, t := range acquired {
		names = append(names, t.name)
		k.opts.OnAcquired(t)
	}
	k.opts.Log.Info().Strs("duties", names).Msg("duties acquired")
}

// endedExpiredLocked reports whether the lease of a duty's holder has certainly expired
// although its row is gone. The lease can't be renewed without its row, and its row had
// not changed for long enough at the last read. The duty's row must not have changed for
// as long: a holder that releases its lease releases all duties that it has read, but a
// duty that it never read may have been released to it just before. The caller holds
// the lock.
func (k *Keeper) endedExpiredLocked(d dutyState) bool {
	seen, ended := k.ended[d.row.Holder]
	return ended && seen.expired(k.lastRead, k.opts.Lease, k.opts.Margin) && k.lastRead.Sub(d.since) > k.opts.Lease+k.opts.Margin
}

// expiredLocked reports whether a holder's lease has certainly expired without being
// removed. The caller holds the lock.
func (k *Keeper) expiredLocked(holder string) bool {
	seen, ok := k.nodes[holder]
	return ok && seen.expired(k.lastRead, k.opts.Lease, k.opts.Margin)
}
