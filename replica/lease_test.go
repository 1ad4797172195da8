package replica

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"github.com/phuslu/log"
	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"github.com/pointpass/pointpass/store"
)

// memoryTable is a store on a clock of its own, with faults.
type memoryTable struct {
	now       time.Time
	offset    time.Duration // of the store's clock
	era       uint64
	version   uint64
	rows      map[string]store.Row
	out, lose bool
	late      []store.Txn
	// copies are the rows as they were at each version of this era.
	copies []map[string]store.Row
	// cached is what the nodes know of the table, nil where they read it each time.
	cached *Known
}

var errOut = &store.CallError{Op: "test", Err: errors.New("out")}

func (m *memoryTable) clock() time.Duration { return m.offset + time.Duration(m.now.UnixNano()) }

func (m *memoryTable) Known(context.Context) (Known, error) {
	if m.out {
		return Known{}, errOut
	}
	if m.cached != nil {
		return *m.cached, nil
	}
	d := NewDirectory(func() time.Time { return m.now })
	d.Apply(store.Update{Full: true, Rows: slices.Collect(maps.Values(m.rows)), At: store.At(m.era, m.version), Clock: m.clock()})
	known, _ := d.Known()
	return known, nil
}

func (m *memoryTable) Commit(_ context.Context, txn store.Txn) (store.Snapshot, error) {
	if m.out {
		return store.Snapshot{}, errOut
	}
	if m.lose {
		m.lose = false
		m.late = append(m.late, txn)
		return store.Snapshot{}, errOut
	}
	if !m.apply(txn) {
		return store.Snapshot{}, &store.ConflictError{Era: m.era}
	}
	return store.Snapshot{At: store.At(m.era, m.version), Clock: m.clock()}, nil
}

func (m *memoryTable) apply(txn store.Txn) bool {
	for _, c := range txn.Conditions {
		if m.rows[c.Key].At.Version() != c.Version {
			return false
		}
	}
	m.copies = append(m.copies, maps.Clone(m.rows))
	m.version++
	for _, w := range txn.Writes {
		m.rows[w.Key] = store.Row{Key: w.Key, Value: w.Value, At: store.At(m.era, m.version)}
	}
	for _, w := range txn.Deletes {
		delete(m.rows, w.Key)
	}
	return true
}

// restore has the table come back from a copy that lacks the last transactions.
func (m *memoryTable) restore(lost int) {
	kept := max(0, len(m.copies)-lost)
	if kept == len(m.copies) {
		m.era++
		return
	}
	m.era++
	m.version -= uint64(len(m.copies) - kept)
	m.rows = m.copies[kept]
	m.copies = m.copies[:kept]
}

// deliverLate applies the writes whose answers were lost, if they still fit.
func (m *memoryTable) deliverLate() {
	for _, txn := range m.late {
		m.apply(txn)
	}
	m.late = nil
}

// noMemory is a Memory that keeps what it is told.
type noMemory struct{ idle, told map[string]string }

func (n *noMemory) Idle(int) map[string]string { return n.idle }

func (n *noMemory) Remember(last map[string]string) { n.told = last }

func newLeases(n int) (*memoryTable, []*Lease) {
	table := &memoryTable{now: time.Unix(1000, 0), rows: map[string]store.Row{}}
	var leases []*Lease
	for i := range n {
		now := func() time.Time { return table.now }
		leases = append(leases, newLease(table, i, now))
	}
	return table, leases
}

func selfWith(i int, cores float64) func() Node {
	return func() Node { return Node{Name: fmt.Sprint("n", i), Cores: cores} }
}

func newLease(table *memoryTable, i int, now func() time.Time) *Lease {
	return NewLease(LeaseOptions{Table: table, Self: selfWith(i, 0), Memory: &noMemory{}, Now: now, Log: &log.Logger{Level: log.PanicLevel}})
}

func holders(leases []*Lease) (held []*Lease) {
	for _, l := range leases {
		if _, ok := l.Held(); ok {
			held = append(held, l)
		}
	}
	return held
}

func TestLease_OneHoldsAndRenews(t *testing.T) {
	table, leases := newLeases(3)
	ctx := t.Context()
	for range 40 {
		for _, l := range leases {
			l.round(ctx)
		}
		must.Len(t, 1, holders(leases))
		term, _ := leases[0].Held()
		must.EqOp(t, 1, term)
		table.now = table.now.Add(renewEvery)
	}
}

func TestLease_ReleaseNeedsNoWait(t *testing.T) {
	table, leases := newLeases(2)
	ctx := t.Context()
	leases[0].announce(ctx)
	must.MapContainsKey(t, table.rows, nodePrefix+"n0")
	leases[0].round(ctx)
	must.NoError(t, leases[0].Release(ctx))
	must.Len(t, 0, holders(leases))
	leases[1].round(ctx)
	must.Len(t, 1, holders(leases))
	must.EqOp(t, assumedNodes, leases[1].Nodes(), must.Sprint("the first has taken back its row, the second has none"))
}

// TestLease_AnnouncesOnlyWhatIsMissing: a node that starts again finds its row, and
// costs the store no write. A row that went is written again, unless the node leaves.
func TestLease_AnnouncesOnlyWhatIsMissing(t *testing.T) {
	table, leases := newLeases(2)
	ctx := t.Context()
	own := nodePrefix + "n1"
	step := func(l *Lease) {
		l.round(ctx)
		l.announceIfMissing(ctx)
		table.now = table.now.Add(announceAgain)
	}
	leases[1].announceIfMissing(ctx)
	must.MapNotContainsKey(t, table.rows, own, must.Sprint("nothing is known yet"))
	step(leases[0])
	step(leases[1])
	first := table.rows[own]
	must.True(t, first.At.Known())
	step(newLease(table, 1, leases[0].opts.Now))
	must.Eq(t, first, table.rows[own])
	delete(table.rows, own)
	step(leases[1])
	must.MapContainsKey(t, table.rows, own)
	must.NoError(t, leases[1].Release(ctx))
	step(leases[1])
	must.MapNotContainsKey(t, table.rows, own)
}

func TestLease_WhoHasReleasedStaysOut(t *testing.T) {
	table, leases := newLeases(1)
	ctx := t.Context()
	leases[0].round(ctx)
	must.NoError(t, leases[0].Release(ctx))
	table.now = table.now.Add(2 * leaseLength)
	leases[0].round(ctx)
	must.Len(t, 0, holders(leases), must.Sprint("a daemon that is stopping gives no orders"))
}

func TestLease_EarlierLifeIsAnotherHolder(t *testing.T) {
	table, leases := newLeases(1)
	ctx := t.Context()
	leases[0].round(ctx)
	first, _ := leases[0].Held()
	table.version += 5
	again := newLease(table, 0, func() time.Time { return table.now })
	again.round(ctx)
	second, held := again.Held()
	must.True(t, held)
	must.Greater(t, first, second)
}

func TestLease_HandsOnWhatItsHolderKnew(t *testing.T) {
	table, leases := newLeases(2)
	first := &noMemory{idle: map[string]string{"w": "m"}}
	leases[0].opts.Memory = first
	leases[0].round(t.Context())
	table.now = table.now.Add(2 * leaseLength)
	next := &noMemory{}
	leases[1].opts.Memory = next
	leases[1].round(t.Context())
	must.Len(t, 1, holders(leases))
	must.Eq(t, first.idle, next.told)
}

// TestLease_TurnsBeginAnewAfterAnOutage: the holder is gone and the store was away for
// long. The node with the most processor time takes the lease, whoever looks first.
func TestLease_TurnsBeginAnewAfterAnOutage(t *testing.T) {
	table, leases := newLeases(3)
	ctx := t.Context()
	for i, l := range leases {
		l.opts.Self = selfWith(i, 0.2)
		if i == 2 {
			l.opts.Self = selfWith(i, 0.8)
		}
		l.announce(ctx)
	}
	leases[0].round(ctx)
	table.now = table.now.Add(2 * rankPause)
	leases[0].round(ctx)
	must.Len(t, 1, holders(leases[:1]))
	table.now = table.now.Add(leaseLength + time.Second)
	leases[1].round(ctx) // it sees the lease free, and waits for its turn
	table.out = true
	table.now = table.now.Add(10 * time.Second)
	leases[1].round(ctx)
	table.out = false
	leases[1].round(ctx)
	must.Len(t, 0, holders(leases))
	leases[2].round(ctx)
	must.Len(t, 1, holders(leases[2:]))
}

// TestLease_Histories plays outages, lost and late writes, and pauses: no two
// hold the lease at one moment, and terms rise.
func TestLease_Histories(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		table, leases := newLeases(3)
		table.offset = time.Duration(rapid.IntRange(-1000, 1000).Draw(t, "offset")) * time.Hour
		var newest uint64
		var newestHolder *Lease
		for range rapid.IntRange(10, 200).Draw(t, "steps") {
			table.now = table.now.Add(time.Duration(rapid.IntRange(1, 1500).Draw(t, "ms")) * time.Millisecond)
			switch rapid.IntRange(0, 9).Draw(t, "what") {
			case 0:
				table.out = !table.out
			case 1:
				table.lose = true
			case 2:
				table.deliverLate()
			default:
				l := leases[rapid.IntRange(0, 2).Draw(t, "who")]
				l.round(t.Context())
			}
			held := holders(leases)
			must.LessEq(t, 1, len(held))
			for _, l := range held {
				term, _ := l.Held()
				must.GreaterEq(t, newest, term)
				if term == newest && newestHolder != nil {
					must.True(t, l == newestHolder, must.Sprint("one term, two holders"))
				}
				newest, newestHolder = term, l
			}
		}
	})
}

// TestLease_AnnouncesAnotherShareOfACore: who has more processor time than before says so,
// once.
func TestLease_AnnouncesAnotherShareOfACore(t *testing.T) {
	table, leases := newLeases(1)
	ctx := t.Context()
	l := leases[0]
	l.opts.Self = selfWith(0, 0.2)
	l.announce(ctx)
	table.now = table.now.Add(announceAgain)
	l.opts.Self = selfWith(0, 0.8)
	for range 3 {
		l.round(ctx)
		l.announceIfMissing(ctx)
	}
	known, _ := table.Known(ctx)
	n, _ := known.Node("n0")
	must.EqOp(t, 0.8, n.Cores)
	announced := table.rows[nodePrefix+"n0"].At
	table.now = table.now.Add(announceAgain)
	l.round(ctx)
	l.announceIfMissing(ctx)
	must.EqOp(t, announced, table.rows[nodePrefix+"n0"].At)
}
