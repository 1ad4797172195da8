package duty

import (
	"maps"
	"strings"
	"time"

	"github.com/pointpass/pointpass/table"
)

// The rows that hold leases and duties.
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
