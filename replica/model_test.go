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

// model is the protocol of the lease with two nodes at one moment: the real decisions of
// Lease, on a table that comes back from older copies, loses answers and carries out writes
// late, and with nodes that start again or know the table as it was.
type model struct {
	table  *memoryTable
	leases []*Lease
	// lives tells one start of a node from the next, and owners which one had a term.
	lives  []int
	owners map[uint64]int
	// restores, losses and starts are how many are left.
	restores, losses, starts int
	path                     []string
}

const modelTick = time.Second

func newModel() *model {
	m := &model{lives: []int{0, 1}, owners: map[uint64]int{}, restores: 2, losses: 1, starts: 1}
	m.table, m.leases = newLeases(2)
	m.table.era = 1
	// A node of a first start that first reads the table after a restore is not covered.
	m.leases[0].opts.FirstStart = true
	known, _ := m.table.Known(context.Background())
	m.leases[0].note(known)
	return m
}

// clone returns a model that shares nothing with this one.
func (m *model) clone() *model {
	c := *m
	table := *m.table
	table.rows = maps.Clone(m.table.rows)
	table.copies = slices.Clone(m.table.copies) // what was copied never changes
	table.late = slices.Clone(m.table.late)
	c.table = &table
	c.leases = nil
	for i, l := range m.leases {
		c.leases = append(c.leases, cloneLease(l, &table, i))
	}
	c.lives = slices.Clone(m.lives)
	c.owners = maps.Clone(m.owners)
	c.path = slices.Clone(m.path)
	return &c
}

func cloneLease(l *Lease, table *memoryTable, i int) *Lease {
	c := newLease(table, i, func() time.Time { return table.now })
	c.opts.FirstStart = l.opts.FirstStart
	c.announced = l.announced
	from, to := &l.state, &c.state
	to.current, to.at, to.until, to.nodes = from.current, from.at, from.until, from.nodes
	to.read, to.table, to.firstEra, to.lags = from.read, from.table, from.firstEra, from.lags
	to.free, to.freeAt, to.storeClock, to.sent = from.free, from.freeAt, from.storeClock, from.sent
	return c
}

// key names all that decides what may come next.
func (m *model) key() string {
	var b strings.Builder
	now := m.table.now
	fmt.Fprint(&b, m.table.era, m.table.version, m.restores, m.losses, m.starts, m.table.lose, len(m.table.copies), len(m.table.late), m.lives, m.owners)
	for _, rows := range append(slices.Clone(m.table.copies), m.table.rows) {
		fmt.Fprint(&b, "|", string(rows[leaseKey].Value), rows[leaseKey].At, now.UnixMilli())
	}
	for _, txn := range m.table.late {
		fmt.Fprint(&b, "|", string(txn.Writes[0].Value), txn.Conditions[0].Version)
	}
	if m.table.cached != nil {
		fmt.Fprint(&b, "|", m.table.cached.At, m.table.cached.lease, m.table.cached.Clock)
	}
	for _, l := range m.leases {
		s := &l.state
		fmt.Fprint(&b, "|", s.current, s.at, s.until.Sub(now) > 0, s.until.UnixMilli(), s.table, s.firstEra, s.lags, s.free.UnixMilli(), s.freeAt, s.storeClock, s.sent.UnixMilli())
	}
	return b.String()
}

// action is one step of the model; it returns false where it can't happen.
type action struct {
	name string
	do   func(t *testing.T, m *model) bool
}

var actions = []action{
	{"time passes", func(_ *testing.T, m *model) bool { m.table.now = m.table.now.Add(modelTick); return true }},
	{"first looks", func(t *testing.T, m *model) bool { m.leases[0].round(t.Context()); return true }},
	{"second looks", func(t *testing.T, m *model) bool { m.leases[1].round(t.Context()); return true }},
	{"the copy lacks one write", func(_ *testing.T, m *model) bool { return m.restoreFrom(1) }},
	{"the copy lacks two writes", func(_ *testing.T, m *model) bool { return m.restoreFrom(2) }},
	{"the next answer is lost", func(_ *testing.T, m *model) bool {
		if m.losses == 0 {
			return false
		}
		m.losses--
		m.table.lose = true
		return true
	}},
	{"a late write is carried out", func(_ *testing.T, m *model) bool {
		if len(m.table.late) == 0 {
			return false
		}
		m.table.deliverLate()
		return true
	}},
	{"the first starts again", func(_ *testing.T, m *model) bool {
		if m.starts == 0 {
			return false
		}
		m.starts--
		m.lives[0] = 2
		m.leases[0] = newLease(m.table, 0, m.leases[0].opts.Now)
		return true
	}},
	{"what nodes know stays as it is, or no longer", func(t *testing.T, m *model) bool {
		if m.table.cached != nil {
			m.table.cached = nil
			return true
		}
		known, err := m.table.Known(t.Context())
		m.table.cached = &known
		return err == nil
	}},
}

func (m *model) restoreFrom(lost int) bool {
	if m.restores == 0 || len(m.table.copies) < lost {
		return false
	}
	m.restores--
	m.table.restore(lost)
	return true
}

// check fails unless one node at most holds the lease, under a term of its own.
func (m *model) check(t *testing.T) {
	must.LessEq(t, 1, len(holders(m.leases)), must.Sprint("two hold the lease: ", m.path))
	for i, l := range m.leases {
		term, held := l.Held()
		if !held {
			continue
		}
		if _, known := m.owners[term]; !known {
			m.owners[term] = m.lives[i]
		}
		must.EqOp(t, m.owners[term], m.lives[i], must.Sprint("one term, two holders: ", m.path))
	}
}

// Two nodes hold the lease at one moment, or one term has two holders, in some order of few
// actions. All orders are played, each state once.
func TestLease_Model(t *testing.T) {
	seen := map[string]bool{}
	frontier := []*model{newModel()}
	for range *modelDepth {
		var next []*model
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
