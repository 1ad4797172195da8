package replica

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"github.com/pointpass/pointpass/store"
)

// takenBy has the first node take a lease that was never held, in era 1.
func takenBy(t *testing.T, n int) (*memoryTable, []*Lease) {
	table, leases := newLeases(n)
	table.era = 1
	leases[0].opts.FirstStart = true
	leases[0].round(t.Context())
	must.Len(t, 1, holders(leases[:1]))
	return table, leases
}

// The holder of the lease loses it, and its planner with what it knows, where the store came
// back without its last renewals.
func TestLease_ItsHolderKeepsItOverARestore(t *testing.T) {
	table, leases := takenBy(t, 2)
	ctx := t.Context()
	term, _ := leases[0].Held()
	for range 3 {
		table.now = table.now.Add(renewEvery)
		leases[0].round(ctx)
	}
	table.restore(2)
	for range 10 {
		table.now = table.now.Add(standbyEvery)
		leases[0].round(ctx)
		leases[1].round(ctx)
		must.Len(t, 1, holders(leases[:1]))
	}
	after, _ := leases[0].Held()
	must.EqOp(t, term, after)
}

// A holder that doesn't know of the restore yet takes the condition that fails for the word
// of a successor.
func TestLease_AConditionOfAnotherEraSaysNothing(t *testing.T) {
	table, leases := takenBy(t, 1)
	ctx := t.Context()
	table.now = table.now.Add(renewEvery)
	leases[0].round(ctx)
	known, _ := table.Known(ctx)
	table.cached = &known
	table.restore(1)
	table.now = table.now.Add(standbyEvery)
	leases[0].round(ctx)
	must.Len(t, 1, holders(leases))
	must.EqOp(t, standbyEvery, leases[0].pause(), must.Sprint("it looks again soon"))
	table.cached = nil
	leases[0].round(ctx)
	must.EqOp(t, renewEvery, leases[0].pause())
}

// Another daemon takes the lease while the last holder, whose lease the store has lost, still
// gives orders.
func TestLease_WhatTheStoreLostMayStillBeHeld(t *testing.T) {
	table, leases := takenBy(t, 2)
	ctx := t.Context()
	table.restore(1)
	must.MapEmpty(t, table.rows)
	begun := table.now
	for len(holders(leases[1:])) == 0 {
		leases[1].round(ctx)
		must.LessEq(t, 1, len(holders(leases)))
		table.now = table.now.Add(100 * time.Millisecond)
	}
	must.Between(t, leaseLength, table.now.Sub(begun), leaseLength+time.Second)
}

// Terms go back with the store's versions, so that workers refuse orders or take those of an
// earlier holder.
func TestLease_TermsRiseOverARestore(t *testing.T) {
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
	for len(holders(leases[1:])) == 0 {
		table.now = table.now.Add(standbyEvery)
		leases[1].round(ctx)
	}
	second, _ := leases[1].Held()
	must.Greater(t, first, second)
}

// TestLease_HistoriesOfRestores has the store come back from older copies amid outages, lost
// and late writes, pauses and nodes that start again: no two hold the lease at one moment, and
// no term has two holders.
func TestLease_HistoriesOfRestores(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		table, leases := newLeases(3)
		table.era = 1
		table.offset = time.Duration(rapid.IntRange(-1000, 1000).Draw(t, "offset")) * time.Hour
		owners := map[uint64]*Lease{}
		for range rapid.IntRange(10, 200).Draw(t, "steps") {
			table.now = table.now.Add(time.Duration(rapid.IntRange(1, 1000).Draw(t, "ms")) * time.Millisecond)
			who := rapid.IntRange(0, 2).Draw(t, "who")
			switch rapid.IntRange(0, 12).Draw(t, "what") {
			case 0:
				table.out = !table.out
			case 1:
				table.lose = true
			case 2:
				table.deliverLate()
			case 3:
				table.restore(rapid.IntRange(0, 6).Draw(t, "lost"))
			case 4:
				leases[who] = newLease(table, who, leases[who].opts.Now)
			case 5:
				known, err := table.Known(t.Context())
				if table.cached = nil; err == nil && rapid.Bool().Draw(t, "behind") {
					table.cached = &known
				}
			default:
				leases[who].round(t.Context())
			}
			held := holders(leases)
			must.LessEq(t, 1, len(held))
			for _, l := range held {
				term, _ := l.Held()
				if owners[term] == nil {
					owners[term] = l
				}
				must.True(t, owners[term] == l, must.Sprint("one term, two holders"))
			}
		}
	})
}
