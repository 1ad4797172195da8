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

// settleTime is how long a daemon that has just started waits before it takes
// duties, so that daemons started together share them.
const settleTime = 1500 * time.Millisecond

// Rank orders nodes for a subject by highest random weight (Thaler and
// Ravishankar, "Using Name-Based Mappings to Increase Hit Rates", 1998): a
// node that comes or goes moves only what falls to it.
func Rank(subject string, nodes []string) []string {
	weight := func(node string) uint64 { return xxhash.Sum64String(subject + "\x00" + node) }
	ranked := slices.Clone(nodes)
	slices.SortFunc(ranked, func(a, b string) int {
		return cmp.Or(cmp.Compare(weight(b), weight(a)), cmp.Compare(a, b))
	})
	return ranked
}

// overdue is how long a duty may stay free before the daemon that ranks next takes it too:
// a daemon takes what falls to it within settleTime and a fourth of its lease, or within a
// lease where the store fails it once. Who renews its lease and takes nothing for whatever
// reason leaves a domain without groups for this long, and no longer.
const overdue = 10 * time.Second

// free is a duty that this daemon should take.
type free struct {
	name    string
	state   dutyState
	dead    string // holder whose lapsed lease must be ended first
	version uint64 // of the dead holder's row
	waited  bool   // the last holder's lease has lapsed
}

// takeFree takes, in one transaction, the duties that nobody holds and that
// fall to this daemon.
func (k *Keeper) takeFree(ctx context.Context) {
	wanted := k.opts.Wanted()
	candidates := k.opts.Candidates()
	k.mu.Lock()
	chosen := k.chooseFree(wanted, candidates)
	self := k.self
	ready := !k.releasing && k.lease.left(k.opts.Now()) > k.opts.Lease/2 && k.opts.Now().Sub(k.joined) > settleTime
	if ready {
		k.noteWaited(chosen)
	}
	k.mu.Unlock()
	k.noteLeft(chosen, ready)
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
	k.tookOver(chosen, self, version)
}

// noteLeft logs, once for each time that lasts, that this daemon leaves duties free which
// fall to it.
func (k *Keeper) noteLeft(chosen []free, ready bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	oldest := k.opts.Now()
	for _, f := range chosen {
		if at := k.free[f.name]; at.Before(oldest) {
			oldest = at
		}
	}
	if k.opts.Now().Sub(oldest) < overdue {
		k.leftLogged = false
		return
	}
	if k.leftLogged {
		return
	}
	k.leftLogged = true
	k.opts.Log.Warn().Int("duties", len(chosen)).Dur("free_for", k.opts.Now().Sub(oldest)).Bool("ready", ready).Bool("releasing", k.releasing).
		Dur("lease_left", k.lease.left(k.opts.Now())).Dur("joined", k.opts.Now().Sub(k.joined)).Str("last_failure", k.lastFailure).Msg("duties that fall to this daemon are not taken")
}

// noteWaited notes the duties that are about to be taken from holders whose lease
// has lapsed.
func (k *Keeper) noteWaited(chosen []free) {
	for _, f := range chosen {
		if f.waited {
			k.waited[f.name] = f.state.row.Epoch + 1
		} else {
			delete(k.waited, f.name)
		}
	}
}

func reason(chosen []free) string {
	for _, f := range chosen {
		if f.waited {
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
		k.opts.Log.Debug().Err(err).Msg("duties not taken, another daemon came first")
		return
	}
	k.opts.Log.Warn().Err(err).Msg("duties not taken")
}

func (k *Keeper) tookOver(chosen []free, self nodeRow, version uint64) {
	k.mu.Lock()
	var news []Taken
	if k.self.Boot == self.Boot {
		for _, f := range chosen {
			if k.duties[f.name].version >= version {
				continue
			}
			d := dutyRow{Holder: self.holder(), Addr: self.Addr, Epoch: f.state.row.Epoch + 1}
			k.duties[f.name] = dutyState{row: d, version: version, since: k.opts.Now()}
			news = k.noteTaken(news, f.name, d)
		}
	}
	k.mu.Unlock()
	k.tell(news)
}

func takeTransaction(chosen []free, self nodeRow) *table.Txn {
	txn := &table.Txn{}
	ended := map[string]bool{}
	for _, f := range chosen {
		key := DutyPrefix + f.name
		txn.Check(key, f.state.version)
		txn.Put(key, dutyRow{Holder: self.holder(), Addr: self.Addr, Epoch: f.state.row.Epoch + 1})
		if f.dead != "" && !ended[f.dead] {
			ended[f.dead] = true
			txn.Check(NodePrefix+f.dead, f.version)
			txn.Delete(NodePrefix + f.dead)
		}
	}
	return txn
}

// chooseFree returns the duties that nobody holds and that rank this daemon
// first among the live candidates, or that those before it leave free for too long.
func (k *Keeper) chooseFree(wanted, candidates []string) []free {
	live := k.liveLocked(candidates)
	since := map[string]time.Time{}
	var chosen []free
	for _, name := range wanted {
		f, ok := k.freeLocked(name)
		if !ok {
			continue
		}
		since[name] = k.sinceFreeLocked(name)
		if len(chosen) == maxTaken {
			continue
		}
		rank := slices.Index(Rank(name, live), k.opts.Node)
		if rank >= 0 && k.opts.Now().Sub(since[name]) >= time.Duration(rank)*overdue {
			chosen = append(chosen, f)
		}
	}
	k.free = since
	return chosen
}

// sinceFreeLocked returns since when this daemon has seen a duty free.
func (k *Keeper) sinceFreeLocked(name string) time.Time {
	if at, known := k.free[name]; known {
		return at
	}
	return k.opts.Now()
}

func (k *Keeper) freeLocked(name string) (free, bool) {
	state := k.duties[name]
	f := free{name: name, state: state}
	holder := state.row.Holder
	if holder == "" {
		return f, true
	}
	if holder == k.self.holder() {
		return free{}, false
	}
	seen, listed := k.nodes[holder]
	if !listed {
		return k.freeOfEndedLocked(f)
	}
	if !k.lapsedLocked(holder) {
		return free{}, false
	}
	f.dead = holder
	f.waited = true
	f.version = seen.version
	return f, true
}

// freeOfEndedLocked is freeLocked for a holder whose row is gone. Who has seen that row
// waits for what is left of the lease and the margin, a read of the table or two as a
// rule, rather than know nothing of the keys made since.
func (k *Keeper) freeOfEndedLocked(f free) (free, bool) {
	if _, seen := k.ended[f.state.row.Holder]; !seen {
		return f, true
	}
	f.waited = k.endedLapsedLocked(f.state)
	return f, f.waited
}

// liveLocked returns the candidates whose lease this daemon has seen renewed
// lately, itself included.
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

// SlotDuty returns the name of the duty over one slot of keys.
func SlotDuty(slot int) string { return fmt.Sprintf("slot/%03d", slot) }

// DomainDuty returns the name of the duty over one fabric domain's groups.
func DomainDuty(domain string) string { return "domain/" + domain }
