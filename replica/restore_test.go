package replica

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"github.com/pointpass/pointpass/store"
)

// newHeldLease returns n leases, the first of which is held, on a table in era 1 where no lease
// was held before.
func newHeldLease(t *testing.T, n int) (*memoryTable, []*Lease) {
	table, leases := newLeases(n)
	table.era = 1
	leases[0].opts.FirstStart = true
	leases[0].round(t.Context())
	must.Len(t, 1, holding(leases[:1]))
	return table, leases
}

// TestLease_HolderSurvivesRestore checks that the holder of the lease doesn't lose it, and its
// planner's state, when the store is restored without its last renewals.
func TestLease_HolderSurvivesRestore(t *testing.T) {
	table, leases := newHeldLease(t, 2)
	ctx := t.Context()
	term, _ := leases[0].Held()
	for range 3 {
		table.now = table.now.Add(renewInterval)
		leases[0].round(ctx)
	}
	table.restore(2)
	for range 10 {
		table.now = table.now.Add(leaseCheckInterval)
		leases[0].round(ctx)
		leases[1].round(ctx)
		must.Len(t, 1, holding(leases[:1]))
	}
	after, _ := leases[0].Held()
	must.EqOp(t, term, after)
}

// TestLease_IgnoresConflictOfLaterEra checks that a holder that has not observed a restore yet
// doesn't take a failed condition for a sign that another node holds the lease.
func TestLease_IgnoresConflictOfLaterEra(t *testing.T) {
	table, leases := newHeldLease(t, 1)
	ctx := t.Context()
	table.now = table.now.Add(renewInterval)
	leases[0].round(ctx)
	known, _ := table.Known(ctx)
	table.cached = &known
	table.restore(1)
	table.now = table.now.Add(leaseCheckInterval)
	leases[0].round(ctx)
	must.Len(t, 1, holding(leases))
	must.EqOp(t, leaseCheckInterval, leases[0].roundInterval(), must.Sprint("it checks again soon"))
	table.cached = nil
	leases[0].round(ctx)
	must.EqOp(t, renewInterval, leases[0].roundInterval())
}

// TestLease_WaitsForLeaseLostByRestore checks that no other node takes the lease while its last
// holder, whose row the store lost, may still give orders.
func TestLease_WaitsForLeaseLostByRestore(t *testing.T) {
	table, leases := newHeldLease(t, 2)
	ctx := t.Context()
	table.restore(1)
	must.MapEmpty(t, table.rows)
	start := table.now
	for len(holding(leases[1:])) == 0 {
		leases[1].round(ctx)
		must.LessEq(t, 1, len(holding(leases)))
		table.now = table.now.Add(100 * time.Millisecond)
	}
	must.Between(t, leaseLength, table.now.Sub(start), leaseLength+time.Second)
}

// TestLease_TermsRiseAcrossRestore checks that terms don't fall with the store's versions.
// Workers would refuse the orders of lower terms, or take those of an earlier holder.
func TestLease_TermsRiseAcrossRestore(t *testing.T) {
	must.Less(t, termAfter(store.At(2, 5)), termAfter(store.At(1, versionsPerEra-2)))
	must.EqOp(t, 6, termAfter(store.At(0, 5)))
	table, leases := newLeases(2)
	table.era = 1
	leases[0].opts.FirstStart = true
	ctx := t.Context()
	for range 5 {
		leases[0].announce(ctx)
	}
	leases[0].round(ctx)
	first, _ := leases[0].Held()
	table.restore(6)
	for len(holding(leases[1:])) == 0 {
		table.now = table.now.Add(leaseCheckInterval)
		leases[1].round(ctx)
	}
	second, _ := leases[1].Held()
	must.Greater(t, first, second)
}

// TestLease_HistoriesOfRestores restores the store from older copies amid outages, lost and late
// writes, stalls and restarts of nodes. No two nodes may hold the lease at the same time, and no
// term may have two holders.
func TestLease_HistoriesOfRestores(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		table, leases := newLeases(3)
		table.era = 1
		table.offset = time.Duration(rapid.IntRange(-1000, 1000).Draw(t, "offset")) * time.Hour
		owners := map[uint64]*Lease{}
		for range rapid.IntRange(10, 200).Draw(t, "steps") {
			table.now = table.now.Add(time.Duration(rapid.IntRange(1, 1000).Draw(t, "ms")) * time.Millisecond)
			node := rapid.IntRange(0, 2).Draw(t, "who")
			switch rapid.IntRange(0, 12).Draw(t, "what") {
			case 0:
				table.unavailable = !table.unavailable
			case 1:
				table.loseAnswer = true
			case 2:
				table.deliverLate()
			case 3:
				table.restore(rapid.IntRange(0, 6).Draw(t, "lost"))
			case 4:
				leases[node] = newLease(table, node, leases[node].opts.Now)
			case 5:
				known, err := table.Known(t.Context())
				if table.cached = nil; err == nil && rapid.Bool().Draw(t, "behind") {
					table.cached = &known
				}
			default:
				leases[node].round(t.Context())
			}
			held := holding(leases)
			must.LessEq(t, 1, len(held))
			for _, l := range held {
				term, _ := l.Held()
				if owners[term] == nil {
					owners[term] = l
				}
				must.True(t, owners[term] == l, must.Sprint("one term has two holders"))
			}
		}
	})
}
