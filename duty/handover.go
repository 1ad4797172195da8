package duty

import (
	"context"
	"strings"

	"github.com/pointpass/pointpass/audit"
	"github.com/pointpass/pointpass/table"
)

// Handover is the transfer of one duty to another holder.
type Handover struct {
	name       string
	epoch      uint64
	successors []Holder
}

// NewHandover returns a handover of a duty that this daemon held in an epoch. The successors are
// the daemons that may hold it next, the preferred one first; there is at least one.
func NewHandover(name string, epoch uint64, successors []Holder) Handover {
	return Handover{name: name, epoch: epoch, successors: successors}
}

// Name returns the name of the duty.
func (h Handover) Name() string { return h.name }

// Epoch returns the epoch in which this daemon held the duty.
func (h Handover) Epoch() uint64 { return h.epoch }

// To returns the next holder.
func (h Handover) To() Holder { return h.successors[0] }

// Next returns the handover to the next best successor, or false if there is none.
func (h Handover) Next() (Handover, bool) {
	if len(h.successors) == 1 {
		return Handover{}, false
	}
	h.successors = h.successors[1:]
	return h, true
}

// Seal stops this daemon from acting on its duties, for good, and returns the possible next
// holders of each. It leaves out duties if no other daemon is live.
func (k *Keeper) Seal() []Handover {
	candidates := k.opts.Candidates()
	k.mu.Lock()
	defer k.mu.Unlock()
	k.releasing = true
	others := k.othersLocked(candidates)
	var nodes []string
	for node := range others {
		nodes = append(nodes, node)
	}
	var handovers []Handover
	for name, d := range k.duties {
		if d.row.Holder != k.self.holder() || len(nodes) == 0 {
			continue
		}
		var successors []Holder
		for _, node := range Rank(name, nodes) {
			successors = append(successors, others[node])
		}
		handovers = append(handovers, NewHandover(name, d.row.Epoch, successors))
	}
	return handovers
}

// othersLocked returns the live holders on other nodes, by node. The caller holds the
// lock.
func (k *Keeper) othersLocked(candidates []string) map[string]Holder {
	live := map[string]bool{}
	for _, node := range k.liveLocked(candidates) {
		live[node] = node != k.opts.Node
	}
	others := map[string]Holder{}
	for name, seen := range k.nodes {
		if live[seen.row.Node] && k.opts.Now().Sub(seen.since) < k.opts.Lease {
			others[seen.row.Node] = Holder{name: name, addr: seen.row.Addr}
		}
	}
	return others
}

// HandOver writes the next holder of each handed-over duty to the table and releases
// all other duties, in one transaction. It is called after Seal.
func (k *Keeper) HandOver(ctx context.Context, handovers []Handover) error {
	next := map[string]Handover{}
	for _, h := range handovers {
		next[h.name] = h
	}
	k.mu.Lock()
	holder := k.self.holder()
	version := k.version
	txn := (&table.Txn{}).Check(NodePrefix+holder, version).Delete(NodePrefix + holder)
	var names []string
	for name, d := range k.duties {
		if d.row.Holder != holder {
			continue
		}
		key := DutyPrefix + name
		txn.Check(key, d.version)
		row := dutyRow{Epoch: d.row.Epoch}
		if h, handed := next[name]; handed {
			row = dutyRow{Holder: h.To().name, Addr: h.To().addr, Epoch: d.row.Epoch + 1, Sealed: d.row.Epoch}
			names = append(names, name)
		}
		txn.Put(key, row)
	}
	k.mu.Unlock()
	if version == 0 {
		return nil
	}
	audit.Append(txn, audit.NewEntry(k.opts.Now(), k.opts.Node, "duty.handover", strings.Join(names, " "), "shutting down"))
	_, err := k.store.Commit(ctx, *txn)
	return err
}
