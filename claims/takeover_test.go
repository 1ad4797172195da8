package claims

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/phuslu/log"
	"github.com/shoenig/test/must"

	"github.com/pointpass/pointpass/common/reqkey"
	"github.com/pointpass/pointpass/duty"
	"github.com/pointpass/pointpass/table"
)

const (
	testSlots  = 16
	testLease  = 4 * time.Second
	testMargin = 1500 * time.Millisecond
)

// successor is a keeper with the owner's side of claims, on a table in memory.
type successor struct {
	keeper  *duty.Keeper
	owner   *Owner
	version uint64
	// fresh are the slots taken since a key was last asked for.
	fresh []int
}

func newSuccessors(names []string, store *table.Memory, now func() time.Time) []*successor {
	var wanted []string
	for slot := range testSlots {
		wanted = append(wanted, duty.SlotDuty(slot))
	}
	var all []*successor
	for _, name := range names {
		s := &successor{}
		s.keeper = duty.NewKeeper(store, duty.Options{
			Node: name, Lease: testLease, Margin: testMargin,
			Candidates: func() []string { return names },
			Wanted:     func() []string { return wanted },
			OnTaken: func(t duty.Taken) {
				var slot int
				fmt.Sscanf(t.Name(), "slot/%d", &slot)
				s.owner.Taken(slot, t)
				s.fresh = append(s.fresh, slot)
			},
			Now: now, Log: &log.Logger{Level: log.PanicLevel},
		})
		s.owner = NewOwner(NewLedger(bounds()), s.keeper, testSlots, ahead, now)
		all = append(all, s)
	}
	return all
}

// step follows the table and works once.
func (s *successor) step(store *table.Memory, now time.Time) {
	changes, _ := store.Scan(context.Background(), s.version, duty.NodePrefix, duty.DutyPrefix)
	var nodes, duties []table.Row
	for _, r := range changes.Rows() {
		if r.Under(duty.NodePrefix) {
			nodes = append(nodes, r)
		} else {
			duties = append(duties, r)
		}
	}
	s.keeper.ApplyNodes(nodes, now)
	s.keeper.ApplyDuties(duties, now)
	s.keeper.Observed(now)
	s.version = changes.Version()
	s.keeper.Step(context.Background())
}

// TestOwner_NewKeysRunAtAllSuccessors: the slots of an owner that froze go to two others,
// one of which takes its part first and ends the frozen one's lease. A key made after a
// slot was taken is granted at either.
func TestOwner_NewKeysRunAtAllSuccessors(t *testing.T) {
	now := start
	store := table.NewMemory()
	all := newSuccessors([]string{"e1", "e2", "e3"}, store, func() time.Time { return now })
	run := func(d time.Duration, working ...*successor) {
		for end := now.Add(d); now.Before(end); now = now.Add(250 * time.Millisecond) {
			for _, s := range working {
				s.step(store, now)
			}
		}
	}
	run(10*time.Second, all...)
	frozen, others := all[0], all[1:]
	must.SliceNotEmpty(t, frozen.fresh)
	lost := len(frozen.fresh)
	for _, s := range others {
		s.fresh = nil
	}
	asked := 0
	for end := now.Add(3 * testLease); now.Before(end) && asked < lost; {
		run(250*time.Millisecond, others...)
		for _, s := range others {
			for _, slot := range s.fresh {
				key := keyIn(slot, now.Add(time.Millisecond))
				must.EqOp(t, Granted, s.owner.Claim(request(key, "a")).State(), must.Sprint(slot))
				asked++
			}
			s.fresh = nil
		}
	}
	must.EqOp(t, lost, asked, must.Sprint("all slots are taken"))
}

// keyIn returns a key of a slot that is dated at a time.
func keyIn(slot int, at time.Time) string {
	for n := 0; ; n++ {
		if key := keyAt(at, n); reqkey.Slot("c", key, testSlots) == slot {
			return key
		}
	}
}
