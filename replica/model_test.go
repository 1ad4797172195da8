package replica

import (
	"context"
	"flag"
	"fmt"
	"maps"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

var modelDepth = flag.Int("model.depth", 7, "how many actions in a row TestLease_Model plays")

// leaseModel is a state of two nodes and their table. It uses the real decisions of Lease, on a
// table that is restored from older copies, loses answers and commits writes late, and with
// nodes that restart or act on an old observation of the table.
type leaseModel struct {
	table  *memoryTable
	leases []*Lease
	// incarnations identifies the current start of each node, and owners the start that had a
	// term.
	incarnations []int
	owners       map[uint64]int
	// restores, losses and restarts are how many of these faults may still happen.
	restores, losses, restarts int
	path                       []string
}

const modelTick = time.Second

// newModel returns the initial state.
func newModel() *leaseModel {
	m := &leaseModel{incarnations: []int{0, 1}, owners: map[uint64]int{}, restores: 2, losses: 1, restarts: 1}
	m.table, m.leases = newLeases(2)
	m.table.era = 1
	// The model doesn't cover a node of a first start that first reads the table after a
	// restore.
	m.leases[0].opts.FirstStart = true
	known, _ := m.table.Known(context.Background())
	m.leases[0].applyTable(known)
	return m
}

// clone returns a deep copy.
func (m *leaseModel) clone() *leaseModel {
	c := *m
	table := *m.table
	table.rows = maps.Clone(m.table.rows)
	table.snapshots = slices.Clone(m.table.snapshots) // the snapshots never change
	table.lateTxns = slices.Clone(m.table.lateTxns)
	c.table = &table
	c.leases = nil
	for i, l := range m.leases {
		c.leases = append(c.leases, cloneLease(l, &table, i))
	}
	c.incarnations = slices.Clone(m.incarnations)
	c.owners = maps.Clone(m.owners)
	c.path = slices.Clone(m.path)
	return &c
}

// cloneLease returns a copy of a lease on another table.
func cloneLease(l *Lease, table *memoryTable, i int) *Lease {
	c := newLease(table, i, func() time.Time { return table.now })
	c.opts.FirstStart = l.opts.FirstStart
	c.announced = l.announced
	from, to := &l.state, &c.state
	to.current, to.at, to.until, to.nodes = from.current, from.at, from.until, from.nodes
	to.read, to.table, to.firstEra, to.stale = from.read, from.table, from.firstEra, from.stale
	to.free, to.freeAt, to.storeClock, to.sent = from.free, from.freeAt, from.storeClock, from.sent
	return c
}

// key identifies a state by all that determines what may follow.
func (m *leaseModel) key() string {
	var b strings.Builder
	now := m.table.now
	fmt.Fprint(&b, m.table.era, m.table.version, m.restores, m.losses, m.restarts, m.table.loseAnswer, len(m.table.snapshots), len(m.table.lateTxns), m.incarnations, m.owners)
	for _, rows := range append(slices.Clone(m.table.snapshots), m.table.rows) {
		fmt.Fprint(&b, "|", string(rows[leaseKey].Value), rows[leaseKey].At, now.UnixMilli())
	}
	for _, txn := range m.table.lateTxns {
		fmt.Fprint(&b, "|", string(txn.Writes[0].Value), txn.Conditions[0].Version)
	}
	if m.table.cached != nil {
		fmt.Fprint(&b, "|", m.table.cached.At, m.table.cached.lease, m.table.cached.Clock)
	}
	for _, l := range m.leases {
		s := &l.state
		fmt.Fprint(&b, "|", s.current, s.at, s.until.Sub(now) > 0, s.until.UnixMilli(), s.table, s.firstEra, s.stale, s.free.UnixMilli(), s.freeAt, s.storeClock, s.sent.UnixMilli())
	}
	return b.String()
}

// action is one step of the model. Its function returns false if the step can't happen.
type action struct {
	name string
	do   func(t *testing.T, m *leaseModel) bool
}

// actions are all steps of the model.
var actions = []action{
	{"time passes", func(_ *testing.T, m *leaseModel) bool { m.table.now = m.table.now.Add(modelTick); return true }},
	{"first node runs a round", func(t *testing.T, m *leaseModel) bool { m.leases[0].round(t.Context()); return true }},
	{"second node runs a round", func(t *testing.T, m *leaseModel) bool { m.leases[1].round(t.Context()); return true }},
	{"restore without the last write", func(_ *testing.T, m *leaseModel) bool { return m.restoreFrom(1) }},
	{"restore without the last two writes", func(_ *testing.T, m *leaseModel) bool { return m.restoreFrom(2) }},
	{"the next answer is lost", func(_ *testing.T, m *leaseModel) bool {
		if m.losses == 0 {
			return false
		}
		m.losses--
		m.table.loseAnswer = true
		return true
	}},
	{"late writes are committed", func(_ *testing.T, m *leaseModel) bool {
		if len(m.table.lateTxns) == 0 {
			return false
		}
		m.table.deliverLate()
		return true
	}},
	{"first node restarts", func(_ *testing.T, m *leaseModel) bool {
		if m.restarts == 0 {
			return false
		}
		m.restarts--
		m.incarnations[0] = 2
		m.leases[0] = newLease(m.table, 0, m.leases[0].opts.Now)
		return true
	}},
	{"observations freeze, or resume", func(t *testing.T, m *leaseModel) bool {
		if m.table.cached != nil {
			m.table.cached = nil
			return true
		}
		known, err := m.table.Known(t.Context())
		m.table.cached = &known
		return err == nil
	}},
}

// restoreFrom restores the table without the last transactions.
func (m *leaseModel) restoreFrom(lost int) bool {
	if m.restores == 0 || len(m.table.snapshots) < lost {
		return false
	}
	m.restores--
	m.table.restore(lost)
	return true
}

// check fails unless at most one node holds the lease, under a term that no other node had.
func (m *leaseModel) check(t *testing.T) {
	must.LessEq(t, 1, len(holding(m.leases)), must.Sprint("two nodes hold the lease: ", m.path))
	for i, l := range m.leases {
		term, held := l.Held()
		if !held {
			continue
		}
		if _, known := m.owners[term]; !known {
			m.owners[term] = m.incarnations[i]
		}
		must.EqOp(t, m.owners[term], m.incarnations[i], must.Sprint("one term has two holders: ", m.path))
	}
}

// TestLease_Model runs all sequences of a few actions, and visits each state once. In none may
// two nodes hold the lease at the same time, or one term have two holders.
func TestLease_Model(t *testing.T) {
	seen := map[string]bool{}
	frontier := []*leaseModel{newModel()}
	for range *modelDepth {
		var next []*leaseModel
		for _, m := range frontier {
			for _, a := range actions {
				after := m.clone()
				if !a.do(t, after) {
					continue
				}
				after.path = append(after.path, a.name)
				after.check(t)
				if key := after.key(); !seen[key] {
					seen[key] = true
					next = append(next, after)
				}
			}
		}
		frontier = next
	}
	t.Logf("%d states of up to %d actions", len(seen), *modelDepth)
	must.Greater(t, 1000, len(seen))
}
