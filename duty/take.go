package duty

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/pointpass/pointpass/audit"
	"github.com/pointpass/pointpass/table"
)

// startDelay is how long a daemon waits after its first renewal before it takes
// duties, so that daemons started together share them.
const startDelay = 1500 * time.Millisecond

// Rank orders nodes for a subject by highest random weight (Thaler and
// Ravishankar, "Using Name-Based Mappings to Increase Hit Rates", 1998): a
// node that joins or leaves moves only the subjects that rank it first.
func Rank(subject string, nodes []string) []string {
	weight := func(node string) uint64 { return xxhash.Sum64String(subject + "\x00" + node) }
	ranked := slices.Clone(nodes)
	slices.SortFunc(ranked, func(a, b string) int {
		return cmp.Or(cmp.Compare(weight(b), weight(a)), cmp.Compare(a, b))
	})
	return ranked
}

// nextRankDelay is how long a duty may stay free before the daemon of the next rank may
// take it. A daemon takes the duties that rank it first within startDelay and a quarter
// of its lease, or within a lease if the store fails once. If a daemon renews its lease
// but takes no duties, a domain is without groups for this long at most.
const nextRankDelay = 10 * time.Second

// freeDuty is a duty that this daemon should take.
type freeDuty struct {
	name          string
	state         dutyState
	expiredHolder string // holder whose expired lease must be removed, "" if none
	holderVersion uint64 // of that holder's row
	expired       bool   // the previous holder's lease has expired
}

// takeFree takes the free duties assigned to this daemon, in one transaction.
func (k *Keeper) takeFree(ctx context.Context) {
	wanted := k.opts.Wanted()
	candidates := k.opts.Candidates()
	k.mu.Lock()
	chosen := k.chooseFree(wanted, candidates)
	self := k.self
	ready := !k.releasing && k.lease.remaining(k.opts.Now()) > k.opts.Lease/2 && k.opts.Now().Sub(k.joinedAt) > startDelay
	if ready {
		k.markAfterExpiry(chosen)
	}
	k.mu.Unlock()
	k.warnNotTaken(chosen, ready)
	if len(chosen) == 0 || !ready {
		return
	}
	txn := takeTransaction(chosen, self)
	names := make([]string, 0, len(chosen))
	for _, f := range chosen {
		names = append(names, f.name)
	}
	entry := audit.NewEntry(k.opts.Now(), k.opts.Node, "duty.take", strings.Join(names, " "), reason(chosen))
	audit.Append(txn, entry.WithChange(chosen[0].state.row.Holder, self.holder()))
	version, err := k.store.Commit(ctx, *txn)
	if err != nil {
		k.takeFailed(err)
		return
	}
	k.recordTaken(chosen, self, version)
}

// warnNotTaken logs a warning if this daemon hasn't taken duties that have been free for
// nextRankDelay. It logs once until they are taken.
func (k *Keeper) warnNotTaken(chosen []freeDuty, ready bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	oldest := k.opts.Now()
	for _, f := range chosen {
		if at := k.freeSince[f.name]; at.Before(oldest) {
			oldest = at
		}
	}
	if k.opts.Now().Sub(oldest) < nextRankDelay {
		k.notTakenLogged = false
		return
	}
	if k.notTakenLogged {
		return
	}
	k.notTakenLogged = true
	k.opts.Log.Warn().Int("duties", len(chosen)).Dur("free_for", k.opts.Now().Sub(oldest)).Bool("ready", ready).Bool("releasing", k.releasing).
		Dur("lease_left", k.lease.remaining(k.opts.Now())).Dur("joined", k.opts.Now().Sub(k.joinedAt)).Str("last_failure", k.lastFailure).Msg("free duties assigned to this daemon are not taken")
}

// markAfterExpiry records the duties that are about to be taken from holders whose
// lease has expired. The caller holds the lock.
func (k *Keeper) markAfterExpiry(chosen []freeDuty) {
	for _, f := range chosen {
		if f.expired {
			k.afterExpiry[f.name] = f.state.row.Epoch + 1
		} else {
			delete(k.afterExpiry, f.name)
		}
	}
}

func reason(chosen []freeDuty) string {
	for _, f := range chosen {
		if f.expired {
			return "lease lapsed"
		}
	}
	return "not held"
}

func (k *Keeper) takeFailed(err error) {
	k.mu.Lock()
	k.lastFailure = err.Error()
	k.mu.Unlock()
	var conflict *table.ConflictError
	if errors.As(err, &conflict) {
		k.opts.Log.Debug().Err(err).Msg("duties not taken, another daemon changed the rows first")
		return
	}
	k.opts.Log.Warn().Err(err).Msg("duties not taken")
}

func (k *Keeper) recordTaken(chosen []freeDuty, self nodeRow, version uint64) {
	k.mu.Lock()
	var acquired []Acquisition
	if k.self.Boot == self.Boot {
		for _, f := range chosen {
			if k.duties[f.name].version >= version {
				continue
			}
			d := dutyRow{Holder: self.holder(), Addr: self.Addr, Epoch: f.state.row.Epoch + 1}
			k.duties[f.name] = dutyState{row: d, version: version, since: k.opts.Now()}
			acquired = k.appendAcquired(acquired, f.name, d)
		}
	}
	k.mu.Unlock()
	k.notifyAcquired(acquired)
}

func takeTransaction(chosen []freeDuty, self nodeRow) *table.Txn {
	txn := &table.Txn{}
	ended := map[string]bool{}
	for _, f := range chosen {
		key := DutyPrefix + f.name
		txn.Check(key, f.state.version)
		txn.Put(key, dutyRow{Holder: self.holder(), Addr: self.Addr, Epoch: f.state.row.Epoch + 1})
		if f.expiredHolder != "" && !ended[f.expiredHolder] {
			ended[f.expiredHolder] = true
			txn.Check(NodePrefix+f.expiredHolder, f.holderVersion)
			txn.Delete(NodePrefix + f.expiredHolder)
		}
	}
	return txn
}

// chooseFree returns the free duties that rank this daemon first among the live
// candidates, or that daemons of a higher rank have left free for nextRankDelay each.
// The caller holds the lock.
func (k *Keeper) chooseFree(wanted, candidates []string) []freeDuty {
	live := k.liveLocked(candidates)
	since := map[string]time.Time{}
	var chosen []freeDuty
	for _, name := range wanted {
		f, ok := k.freeLocked(name)
		if !ok {
			continue
		}
		since[name] = k.freeSinceLocked(name)
		if len(chosen) == maxTaken {
			continue
		}
		rank := slices.Index(Rank(name, live), k.opts.Node)
		if rank >= 0 && k.opts.Now().Sub(since[name]) >= time.Duration(rank)*nextRankDelay {
			chosen = append(chosen, f)
		}
	}
	k.freeSince = since
	return chosen
}

// freeSinceLocked returns since when this daemon has seen a duty free. The caller holds
// the lock.
func (k *Keeper) freeSinceLocked(name string) time.Time {
	if at, found := k.freeSince[name]; found {
		return at
	}
	return k.opts.Now()
}

func (k *Keeper) freeLocked(name string) (freeDuty, bool) {
	state := k.duties[name]
	f := freeDuty{name: name, state: state}
	holder := state.row.Holder
	if holder == "" {
		return f, true
	}
	if holder == k.self.holder() {
		return freeDuty{}, false
	}
	seen, listed := k.nodes[holder]
	if !listed {
		return k.freeEndedLocked(f)
	}
	if !k.expiredLocked(holder) {
		return freeDuty{}, false
	}
	f.expiredHolder = holder
	f.expired = true
	f.holderVersion = seen.version
	return f, true
}

// freeEndedLocked is freeLocked for a holder whose row is gone. A daemon that has seen
// the row waits for the rest of the lease and the margin, usually one or two reads of
// the table. Otherwise it would have to answer unknown for keys created since. The
// caller holds the lock.
func (k *Keeper) freeEndedLocked(f freeDuty) (freeDuty, bool) {
	if _, seen := k.ended[f.state.row.Holder]; !seen {
		return f, true
	}
	f.expired = k.endedExpiredLocked(f.state)
	return f, f.expired
}

// liveLocked returns the candidates whose last observed renewal is younger than a lease.
// This daemon counts as live. The caller holds the lock.
func (k *Keeper) liveLocked(candidates []string) []string {
	fresh := map[string]bool{k.opts.Node: true}
	for _, seen := range k.nodes {
		if k.opts.Now().Sub(seen.since) < k.opts.Lease {
			fresh[seen.row.Node] = true
		}
	}
	var live []string
	for _, node := range candidates {
		if fresh[node] {
			live = append(live, node)
		}
	}
	return live
}

// SlotDuty returns the name of the duty for one slot of keys.
func SlotDuty(slot int) string { return fmt.Sprintf("slot/%03d", slot) }

// DomainDuty returns the name of the duty for one fabric domain's groups.
func DomainDuty(domain string) string { return "domain/" + domain }
