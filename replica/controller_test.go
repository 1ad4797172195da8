package replica

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/phuslu/log"
	"github.com/shoenig/test/must"

	"github.com/pointpass/pointpass/catalog"
	"github.com/pointpass/pointpass/load"
	"github.com/pointpass/pointpass/workers"
)

// joinRecorder records the member lists that joins carry, by group.
type joinRecorder struct {
	mu    sync.Mutex
	lists map[workers.GroupID]map[string]bool
}

// Send records an order and leaves it unanswered.
func (l *joinRecorder) Send(_ context.Context, o Order) (Outcome, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if o.Op == Join {
		if l.lists[o.Group] == nil {
			l.lists[o.Group] = map[string]bool{}
		}
		l.lists[o.Group][fmt.Sprint(o.Members)] = true
	}
	return Unanswered, nil
}

func (l *joinRecorder) Answers(context.Context, workers.Worker) bool { return true }

func (l *joinRecorder) Accepts(context.Context, workers.Worker) bool { return true }

func (l *joinRecorder) Report(context.Context, workers.Worker) (Report, error) { return Report{}, nil }

// TestController_KeepsPlannerWhenRenewalIsLate lets the lease of a slow holder lapse while its
// renewal is in flight, and continue under the same term. A second planner of that term would
// reuse the names of the first one's groups for other groups.
func TestController_KeepsPlannerWhenRenewalIsLate(t *testing.T) {
	table, leases := newLeases(1)
	lease := leases[0]
	ctx := t.Context()
	lease.round(ctx)
	term, held := lease.Held()
	must.True(t, held)

	w := newWorld(1, 8)
	w.step()
	var catalogs catalog.Holder
	catalogs.Accept(catalog.New(1, catalog.Limits{}, nil, []catalog.Service{*w.service}, nil), table.now)
	orders := &joinRecorder{lists: map[workers.GroupID]map[string]bool{}}
	c := NewController(Options{
		Lease:        lease,
		Orders:       orders,
		Prober:       orders,
		Reporter:     orders,
		Workers:      func() *workers.View { return w.view },
		Catalogs:     &catalogs,
		Ceiling:      func() LoadCeiling { return testCeiling },
		Fenced:       func() bool { return false },
		Idle:         func() bool { return true },
		Failing:      func(string) bool { return false },
		OnMemberDead: func(string) {},
		StoreBack:    func() time.Time { return time.Time{} },
		Load:         func() load.Sum { return load.Sum{} },
		Halls:        func() Halls { return nil },
		Metrics:      metrics.NewSet(),
		Now:          func() time.Time { return table.now },
		Log:          &log.Logger{Level: log.PanicLevel},
	})
	act := func() {
		term, held := lease.Held()
		if !held {
			c.step(ctx)
			return
		}
		for _, o := range c.plan(ctx, term) {
			c.sendOrder(ctx, term, o)
		}
		c.drainResults()
	}
	act()
	table.now = table.now.Add(2 * time.Second)
	lease.renew(ctx, TableSnapshot{})
	act()
	must.MapNotEmpty(t, orders.lists)
	c.opts.Ceiling = func() LoadCeiling { return LoadCeiling{Window: time.Second} }
	act()
	must.EqOp(t, time.Second, c.planner.ceiling.Window, must.Sprint("the planner uses the new ceiling"))

	table.now = table.now.Add(leaseLength)
	_, held = lease.Held()
	must.False(t, held)
	act()
	lease.renew(ctx, TableSnapshot{})
	renewed, held := lease.Held()
	must.True(t, held)
	must.EqOp(t, term, renewed)
	w.reg.Apply(nil, []string{"i1"}, false)
	act()
	table.now = table.now.Add(time.Second)
	act()
	for id, lists := range orders.lists {
		must.MapLen(t, 1, lists, must.Sprint(id))
	}
}

// fakeProber is a Prober that some workers answer.
type fakeProber map[string]bool

func (s fakeProber) Answers(_ context.Context, w workers.Worker) bool { return s[w.ID] }

func (s fakeProber) Accepts(_ context.Context, w workers.Worker) bool { return s[w.ID] }

// TestProbe_ReportsNoneWhenMostAreSilent checks that a prober that most members of a group
// don't answer reports none of them: a member dies alone or with a few others, so the prober is
// cut off or slow itself, and must not dissolve the group.
func TestProbe_ReportsNoneWhenMostAreSilent(t *testing.T) {
	for silent := range 5 {
		var members []workers.Worker
		answers := fakeProber{}
		for i := range 4 {
			id := fmt.Sprint("i", i)
			members = append(members, workers.Worker{ID: id})
			answers[id] = i >= silent
		}
		var dead []string
		c := NewController(Options{
			Prober: answers, OnMemberDead: func(group string) { dead = append(dead, group) },
			Metrics: metrics.NewSet(), Now: time.Now, Log: &log.Logger{Level: log.PanicLevel},
		})
		c.probe(t.Context(), 1, &workers.Group{ID: workers.GroupID{Name: "m.1"}, Members: members})
		if silent == 0 || silent > 2 {
			must.SliceEmpty(t, dead, must.Sprint(silent))
			must.EqOp(t, 0, len(c.probeResults), must.Sprint(silent))
			continue
		}
		must.Eq(t, []string{"m.1"}, dead)
		must.EqOp(t, silent, len(c.probeResults), must.Sprint(silent))
	}
}

// pausingProber is a Prober that some workers answer only after a pause since it was made.
type pausingProber struct {
	start  time.Time
	pauses map[string]time.Duration
}

func (p pausingProber) Answers(ctx context.Context, w workers.Worker) bool {
	left := p.pauses[w.ID] - time.Since(p.start)
	if left <= 0 {
		return true
	}
	select {
	case <-time.After(left):
		return true
	case <-ctx.Done():
		return false
	}
}

// Accepts implements Prober: the machine of a paused worker accepts connections.
func (p pausingProber) Accepts(context.Context, workers.Worker) bool { return true }

// TestProbe_SilentSecondIsNotDead guards against groups that are dissolved since a sound member was
// silent for a second, and against requests that wait for it meanwhile.
func TestProbe_SilentSecondIsNotDead(t *testing.T) {
	const pause, dead = 1200 * time.Millisecond, time.Hour
	for _, c := range []struct {
		pauses []time.Duration
		want   []string
	}{
		{[]time.Duration{0, pause, 0, 0}, nil},
		{[]time.Duration{0, dead, 0, 0}, []string{"i1"}},
		{[]time.Duration{pause, dead, 0, 0}, []string{"i1"}},
	} {
		synctest.Test(t, func(t *testing.T) {
			prober := pausingProber{start: time.Now(), pauses: map[string]time.Duration{}}
			var members []workers.Worker
			for i, d := range c.pauses {
				id := fmt.Sprint("i", i)
				members = append(members, workers.Worker{ID: id})
				prober.pauses[id] = d
			}
			var warned time.Duration
			controller := NewController(Options{
				Prober: prober, OnMemberDead: func(string) { warned = time.Since(prober.start) },
				Metrics: metrics.NewSet(), Now: time.Now, Log: &log.Logger{Level: log.PanicLevel},
			})
			controller.probe(t.Context(), 1, &workers.Group{ID: workers.GroupID{Name: "m.1"}, Members: members})
			must.Between(t, time.Millisecond, warned, time.Second)
			var reported []string
			for range len(controller.probeResults) {
				reported = append(reported, (<-controller.probeResults).worker.ID)
			}
			must.Eq(t, c.want, reported)
		})
	}
}

// TestProbe_ClosedPortIsDeadAtOnce checks that a member that accepts no connections is reported without a delay.
func TestProbe_ClosedPortIsDeadAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		started := time.Now()
		c := NewController(Options{
			Prober: fakeProber{"i1": true, "i2": true}, OnMemberDead: func(string) {},
			Metrics: metrics.NewSet(), Now: time.Now, Log: &log.Logger{Level: log.PanicLevel},
		})
		c.probe(t.Context(), 1, &workers.Group{ID: workers.GroupID{Name: "m.1"}, Members: []workers.Worker{{ID: "i0"}, {ID: "i1"}, {ID: "i2"}}})
		must.EqOp(t, 1, len(c.probeResults))
		must.EqOp(t, "i0", (<-c.probeResults).worker.ID)
		must.EqOp(t, 0, time.Since(started))
	})
}

func TestOutranked_IgnoresJoinsAndUnfencedOrders(t *testing.T) {
	for _, c := range []struct {
		op      Op
		outcome Outcome
		fence   uint64
		want    bool
	}{
		{Leave, Outdated, 7, true},
		{Open, Outdated, 7, true},
		{Stage, Outdated, 7, true},
		{Join, Outdated, 7, false},
		{Leave, Outdated, 0, false},
		{Leave, WrongState, 7, false},
		{Leave, Unanswered, 7, false},
	} {
		must.EqOp(t, c.want, outranked(Order{Op: c.op, Fence: c.fence}, c.outcome), must.Sprint(c))
	}
}

// TestController_SendsTokensOnceWorkersCheckThem checks that an order carries a fencing token
// once workers check it, and that the rejection of an order without one doesn't end the lease.
func TestController_SendsTokensOnceWorkersCheckThem(t *testing.T) {
	_, leases := newLeases(1)
	ctx := t.Context()
	leases[0].round(ctx)
	term, _ := leases[0].Held()
	fenced := false
	orders := &rejectingOrders{}
	c := NewController(Options{
		Lease:   leases[0],
		Orders:  orders,
		Fenced:  func() bool { return fenced },
		Metrics: metrics.NewSet(),
		Now:     leases[0].opts.Now,
		Log:     &log.Logger{Level: log.PanicLevel},
	})
	c.sendOrder(ctx, term, Order{Op: Leave})
	fenced = true
	c.drainResults()
	_, held := leases[0].Held()
	must.True(t, held)
	c.sendOrder(ctx, term, Order{Op: Leave})
	c.drainResults()
	_, held = leases[0].Held()
	must.False(t, held)
	must.Eq(t, []uint64{0, term}, orders.fences)
}

// rejectingOrders rejects all orders as those of an earlier holder, and records their fencing
// tokens.
type rejectingOrders struct{ fences []uint64 }

// Send rejects an order.
func (r *rejectingOrders) Send(_ context.Context, o Order) (Outcome, error) {
	r.fences = append(r.fences, o.Fence)
	return Outdated, nil
}
