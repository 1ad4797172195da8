package duty

import (
	"context"
	"errors"
	"fmt"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/phuslu/log"
	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"github.com/pointpass/pointpass/common/histories"
	"github.com/pointpass/pointpass/table"
)

func TestMain(m *testing.M) { os.Exit(histories.Run(m)) }

const (
	testLease  = 4 * time.Second
	testMargin = 1500 * time.Millisecond
)

// flakyTable is a table that can be unavailable or lose replies.
type flakyTable struct {
	*table.Memory
	unavailable, loseReply bool
	// beforeReply, if set, runs after a transaction has committed and before its reply
	// arrives.
	beforeReply func()
	// beforeTransaction, if set, runs before a transaction that writes duties.
	beforeTransaction func()
}

func (f *flakyTable) Commit(ctx context.Context, txn table.Txn) (uint64, error) {
	if f.unavailable {
		return 0, table.NewUnavailableError("commit", errors.New("outage"), false)
	}
	if f.beforeTransaction != nil && writesDuty(txn) {
		f.beforeTransaction()
	}
	version, err := f.Memory.Commit(ctx, txn)
	if f.beforeReply != nil {
		f.beforeReply()
	}
	if f.loseReply {
		f.loseReply = false
		return 0, table.NewUnavailableError("commit", errors.New("answer lost"), true)
	}
	return version, err
}

func writesDuty(txn table.Txn) bool {
	data, err := txn.MarshalJSON()
	return err == nil && strings.Contains(string(data), DutyPrefix)
}

// member is one keeper and the version of the table that it has read.
type member struct {
	keeper   *Keeper
	version  uint64
	lastPoll time.Time
	taken    []Acquisition
}

// cluster is a set of keepers that share one table and one clock.
type cluster struct {
	now     time.Time
	table   *flakyTable
	members []*member
}

func newCluster(n int) *cluster {
	c := &cluster{now: time.Date(2026, 12, 2, 20, 0, 0, 0, time.UTC), table: &flakyTable{Memory: table.NewMemory()}}
	var names []string
	for i := range n {
		names = append(names, fmt.Sprint("e", i))
	}
	for _, name := range names {
		m := &member{}
		m.keeper = NewKeeper(c.table, Options{
			Node:       name,
			Lease:      testLease,
			Margin:     testMargin,
			Candidates: func() []string { return names },
			Wanted:     func() []string { return []string{"d"} },
			OnAcquired: func(t Acquisition) { m.taken = append(m.taken, t) },
			Now:        func() time.Time { return c.now },
			Log:        &log.Logger{Level: log.PanicLevel},
		})
		c.members = append(c.members, m)
	}
	return c
}

func (c *cluster) poll(m *member) {
	if c.table.unavailable {
		return
	}
	if c.now.Sub(m.lastPoll) > 2*time.Second {
		m.keeper.RestartExpiry()
	}
	m.lastPoll = c.now
	changes, _ := c.table.Scan(context.Background(), m.version, NodePrefix, DutyPrefix)
	var nodes, duties []table.Row
	for _, r := range changes.Rows() {
		if r.HasPrefix(NodePrefix) {
			nodes = append(nodes, r)
		} else {
			duties = append(duties, r)
		}
	}
	m.keeper.ApplyNodes(nodes, c.now)
	m.keeper.ApplyDuties(duties, c.now)
	m.keeper.ReadDone(c.now)
	m.version = changes.Version()
}

func (c *cluster) step(m *member) {
	c.poll(m)
	m.keeper.Step(context.Background())
	c.poll(m)
}

// run steps all members but the paused one for a duration.
func (c *cluster) run(d time.Duration, paused ...*member) {
	for end := c.now.Add(d); c.now.Before(end); c.now = c.now.Add(500 * time.Millisecond) {
		for _, m := range c.members {
			if len(paused) == 0 || paused[0] != m {
				c.step(m)
			}
		}
	}
}

func (c *cluster) holders() []*member {
	var holders []*member
	for _, m := range c.members {
		if _, held := m.keeper.Held("d"); held {
			holders = append(holders, m)
		}
	}
	return holders
}

func TestKeeper_OneTakesTheDutyAndKeepsIt(t *testing.T) {
	c := newCluster(3)
	c.run(10 * time.Second)
	first := c.holders()
	must.SliceLen(t, 1, first)
	must.True(t, first[0].taken[0].First())
	c.run(time.Minute)
	must.Eq(t, first, c.holders())
	must.SliceLen(t, 1, first[0].taken)
}

// TestKeeper_NextRankTakesOverdueDuty guards against a daemon that renews its lease but
// doesn't take the duty that ranks it first. It once left a domain without groups for a
// minute.
func TestKeeper_NextRankTakesOverdueDuty(t *testing.T) {
	c := newCluster(3)
	first := Rank("d", []string{"e0", "e1", "e2"})[0]
	for _, m := range c.members {
		if m.keeper.opts.Node == first {
			m.keeper.opts.Wanted = func() []string { return nil }
		}
	}
	c.run(10 * time.Second)
	must.SliceEmpty(t, c.holders(), must.Sprint("the first rank may still take the duty"))
	c.run(2 * time.Second)
	next := c.holders()
	must.SliceLen(t, 1, next)
	must.EqOp(t, Rank("d", []string{"e0", "e1", "e2"})[1], next[0].keeper.opts.Node)
	c.run(time.Minute)
	must.Eq(t, next, c.holders())
}

func TestKeeper_SuccessorWaitsForTheLeaseAndTheMargin(t *testing.T) {
	c := newCluster(3)
	c.run(10 * time.Second)
	old := c.holders()[0]
	c.run(testLease-time.Second, old)
	must.Eq(t, []*member{old}, c.holders(), must.Sprint("the lease is still valid"))
	c.run(testMargin, old)
	must.SliceEmpty(t, c.holders(), must.Sprint("the margin has not passed"))
	c.run(3*time.Second, old)
	next := c.holders()
	must.SliceLen(t, 1, next)
	must.True(t, next[0] != old)
	must.True(t, next[0].taken[0].Expired())
	epoch, _ := next[0].keeper.Held("d")
	must.EqOp(t, 2, epoch)
	c.run(5 * time.Second)
	must.Eq(t, next, c.holders(), must.Sprint("the old holder is back and does not take the duty"))
}

// TestKeeper_RowsReadBeforeReplyCountAsExpired guards against a successor that loses the
// fact that the previous lease expired. It reads its own rows back before the
// transaction that wrote them returns, or the reply is lost.
func TestKeeper_RowsReadBeforeReplyCountAsExpired(t *testing.T) {
	for _, lost := range []bool{false, true} {
		t.Run(fmt.Sprint("answer lost ", lost), func(t *testing.T) {
			c := newCluster(2)
			c.run(10 * time.Second)
			old := c.holders()[0]
			next := c.members[0]
			if next == old {
				next = c.members[1]
			}
			c.table.beforeReply = func() {
				before := len(next.taken)
				c.poll(next)
				c.table.loseReply = lost && len(next.taken) > before
			}
			c.run(testLease+testMargin+3*time.Second, old)
			must.Eq(t, []*member{next}, c.holders())
			must.SliceLen(t, 1, next.taken)
			must.True(t, next.taken[0].Expired())
		})
	}
}

// TestKeeper_HandoverDoesNotCountAsExpired guards against a handover that is taken for an
// expired lease. The holder comes back and hands over to the daemon that is about to
// take the duty.
func TestKeeper_HandoverDoesNotCountAsExpired(t *testing.T) {
	c := newCluster(2)
	c.run(10 * time.Second)
	old := c.holders()[0]
	next := c.members[0]
	if next == old {
		next = c.members[1]
	}
	c.run(testLease+testMargin-500*time.Millisecond, old)
	c.table.beforeTransaction = func() {
		c.table.beforeTransaction = nil
		c.step(old)
		must.NoError(t, old.keeper.HandOver(context.Background(), old.keeper.Seal()))
	}
	for len(next.taken) == 0 {
		c.now = c.now.Add(500 * time.Millisecond)
		c.step(next)
	}
	must.EqOp(t, 1, next.taken[0].Sealed())
	must.False(t, next.taken[0].Expired())
}

func TestKeeper_ReleaseNeedsNoWait(t *testing.T) {
	c := newCluster(3)
	c.run(10 * time.Second)
	old := c.holders()[0]
	old.keeper.Seal()
	must.SliceEmpty(t, c.holders())
	must.NoError(t, old.keeper.HandOver(context.Background(), nil))
	c.run(2*time.Second, old)
	next := c.holders()
	must.SliceLen(t, 1, next)
	must.False(t, next[0].taken[0].Expired())
	must.False(t, next[0].taken[0].First())
}

func TestKeeper_HandsOverToANamedSuccessor(t *testing.T) {
	c := newCluster(3)
	c.run(10 * time.Second)
	old := c.holders()[0]
	handovers := old.keeper.Seal()
	must.SliceLen(t, 1, handovers)
	must.SliceEmpty(t, c.holders(), must.Sprint("sealed"))
	must.NoError(t, old.keeper.HandOver(context.Background(), handovers))
	c.run(500*time.Millisecond, old)
	next := c.holders()
	must.SliceLen(t, 1, next)
	must.EqOp(t, handovers[0].To().Name(), next[0].keeper.Name())
	must.EqOp(t, 1, next[0].taken[0].Sealed())
	must.EqOp(t, 2, next[0].taken[0].Epoch())
}

func TestKeeper_HoldersComeFirstAfterAnOutage(t *testing.T) {
	c := newCluster(3)
	c.run(10 * time.Second)
	old := c.holders()
	c.table.unavailable = true
	c.run(time.Minute)
	must.SliceEmpty(t, c.holders())
	c.table.unavailable = false
	c.run(10 * time.Second)
	must.Eq(t, old, c.holders())
	must.SliceLen(t, 1, old[0].taken, must.Sprint("the epoch stays the same"))
}

// TestKeeper_NobodyTakesBeforeReadingAfterAnOutage guards against a takeover from a
// holder that couldn't renew during an outage. A daemon renews its own lease before it
// has read the table again. The rows that it read before the outage don't show that
// leases have expired.
func TestKeeper_NobodyTakesBeforeReadingAfterAnOutage(t *testing.T) {
	c := newCluster(3)
	c.run(10 * time.Second)
	old := c.holders()[0]
	c.table.unavailable = true
	c.run(time.Minute)
	c.table.unavailable = false
	for _, m := range c.members {
		if m != old {
			m.keeper.Step(context.Background())
			m.keeper.Step(context.Background())
		}
	}
	c.run(10 * time.Second)
	must.Eq(t, []*member{old}, c.holders())
	must.SliceLen(t, 1, old.taken, must.Sprint("the epoch stays the same"))
}

func TestKeeper_LostAnswerOfARenewalKeepsTheLease(t *testing.T) {
	c := newCluster(1)
	c.run(10 * time.Second)
	must.SliceLen(t, 1, c.holders())
	for range 10 {
		c.table.loseReply = true
		c.run(time.Second)
		must.SliceLen(t, 1, c.holders())
	}
	must.SliceLen(t, 1, c.members[0].taken)
}

// TestKeeper_Histories runs random pauses, outages and lost replies. It checks that no
// two daemons hold a duty at the same time, and that epochs never decrease.
func TestKeeper_Histories(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := newCluster(3)
		resumeAt, readsFailUntil := map[*member]time.Time{}, map[*member]time.Time{}
		epoch := uint64(0)
		for range rapid.IntRange(20, 250).Draw(t, "steps") {
			c.now = c.now.Add(time.Duration(rapid.IntRange(10, 1200).Draw(t, "ms")) * time.Millisecond)
			m := c.members[rapid.IntRange(0, 2).Draw(t, "member")]
			switch rapid.IntRange(0, 12).Draw(t, "step") {
			case 0:
				resumeAt[m] = c.now.Add(time.Duration(rapid.IntRange(0, 15).Draw(t, "pause")) * time.Second)
			case 1:
				c.table.unavailable = !c.table.unavailable
			case 2:
				c.table.loseReply = true
			case 3:
				readsFailUntil[m] = c.now.Add(time.Duration(rapid.IntRange(0, 15).Draw(t, "deaf")) * time.Second)
			default:
				switch {
				case c.now.Before(resumeAt[m]):
				case c.now.Before(readsFailUntil[m]): // its writes succeed, but not its reads
					m.keeper.Step(context.Background())
				default:
					c.step(m)
				}
			}
			holders := c.holders()
			must.True(t, len(holders) <= 1, must.Sprint("more than one holder"))
			for _, h := range holders {
				held, _ := h.keeper.Held("d")
				must.True(t, held >= epoch, must.Sprint("the epoch decreased"))
				epoch = held
			}
		}
	})
}

func TestRank_RemovedNodeMovesOnlyItsSubjects(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		nodes := rapid.SliceOfNDistinct(rapid.StringMatching(`[a-z]{1,6}`), 2, 9, rapid.ID[string]).Draw(t, "nodes")
		subject := rapid.String().Draw(t, "subject")
		ranked := Rank(subject, nodes)
		lost := rapid.SampledFrom(ranked[1:]).Draw(t, "lost")
		var left []string
		for _, n := range nodes {
			if n != lost {
				left = append(left, n)
			}
		}
		must.EqOp(t, ranked[0], Rank(subject, left)[0])
	})
}

// TestKeeper_AllSuccessorsSeeExpiry guards against successors that don't count a lease as
// expired because another one removed its row. The duties of a dead holder go to several
// successors, and the first of them removes the lease from the table.
func TestKeeper_AllSuccessorsSeeExpiry(t *testing.T) {
	c := newCluster(3)
	var wanted []string
	for i := range 12 {
		wanted = append(wanted, fmt.Sprint("d", i))
	}
	for _, m := range c.members {
		m.keeper.opts.Wanted = func() []string { return wanted }
	}
	c.run(10 * time.Second)
	old := c.members[0]
	must.SliceNotEmpty(t, old.taken)
	c.run(testLease+testMargin+3*time.Second, old)
	for _, next := range c.members[1:] {
		second := 0
		for _, taken := range next.taken {
			if taken.Epoch() == 2 {
				second++
				must.True(t, taken.Expired(), must.Sprint(taken.Name()))
			}
		}
		must.Positive(t, second, must.Sprint("both successors take duties"))
	}
}

// TestKeeper_RemovedLeaseMustExpire checks when a duty whose holder's row is gone may be
// taken: once that row and the duty's have not changed for the lease and the margin. A
// daemon that never read the holder's row takes it at once, not as expired.
func TestKeeper_RemovedLeaseMustExpire(t *testing.T) {
	const untilExpiry = testLease + testMargin
	for _, c := range []struct {
		name          string
		seen          bool
		lease, duty   time.Duration // how long the rows had not changed at the last read
		free, expired bool
	}{
		{"both unchanged for long enough", true, untilExpiry + 1, untilExpiry + 1, true, true},
		{"the lease may still be valid", true, untilExpiry, untilExpiry + 1, false, false},
		{"the duty changed too recently", true, untilExpiry + 1, untilExpiry, false, false},
		{"the holder's row was never read", false, 0, untilExpiry + 1, true, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			cl := newCluster(1)
			k := cl.members[0].keeper
			k.lastRead = cl.now
			k.duties["d"] = dutyState{row: dutyRow{Holder: "x.1", Epoch: 3}, version: 7, since: cl.now.Add(-c.duty)}
			if c.seen {
				k.nodes["x.1"] = observation{version: 5, since: cl.now.Add(-c.lease)}
			}
			k.markEnded("x.1")
			f, isFree := k.freeLocked("d")
			must.EqOp(t, c.free, isFree)
			must.EqOp(t, c.expired, f.expired)
			must.EqOp(t, "", f.expiredHolder)
			k.pruneEnded()
			must.EqOp(t, c.seen, len(k.ended) == 1)
			delete(k.duties, "d")
			k.pruneEnded()
			must.MapEmpty(t, k.ended)
		})
	}
}
