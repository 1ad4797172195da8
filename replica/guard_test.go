package replica

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/phuslu/log"
	"github.com/shoenig/test/must"

	"github.com/pointpass/pointpass/workers"
)

// reports is a Reporter that gives one report after the other, the last one for ever. A nil report is none.
type reports struct{ list []*Report }

var errNoReport = errors.New("no report")

func (r *reports) Report(context.Context, workers.Worker) (Report, error) {
	next := r.list[0]
	if len(r.list) > 1 {
		r.list = r.list[1:]
	}
	if next == nil {
		return Report{}, errNoReport
	}
	return *next, nil
}

// sentOrders accepts all orders and records them. leave is the outcome of orders to leave.
type sentOrders struct {
	orders []Order
	leave  Outcome
}

func (o *sentOrders) Send(_ context.Context, order Order) (Outcome, error) {
	o.orders = append(o.orders, order)
	if order.Op == Leave {
		return o.leave, nil
	}
	return Started, nil
}

// TestController_GuardedJoins guards against a join that takes a worker out of a group into which a late
// order brought it, which its entry doesn't show yet: a guarded join names the orders that the worker has
// taken, and isn't sent while the worker reports another group.
func TestController_GuardedJoins(t *testing.T) {
	own, other := workers.NewGroupID("m", 2), workers.NewGroupID("m", 1)
	for _, c := range []struct {
		name    string
		guarded bool
		reports []*Report
		outcome Outcome
		sent    bool
		orders  int64
	}{
		{"unguarded", false, []*Report{nil}, Started, true, 0},
		{"in no group", true, []*Report{{Counted: true, Orders: 7}}, Started, true, 7},
		{"in the group that it is to join", true, []*Report{{Counted: true, Orders: 8, Group: own}}, Started, true, 8},
		{"in another group", true, []*Report{{Counted: true, Orders: 7, Group: other}}, WrongState, false, 0},
		{"in another group until now", true, []*Report{{Counted: true, Orders: 7, Group: other}, {Counted: true, Orders: 8}}, Started, true, 8},
		{"not counted", true, []*Report{{}}, Started, true, 0},
		{"not counted, in another group", true, []*Report{{Group: other}}, WrongState, false, 0},
		{"no report", true, []*Report{nil}, NotDelivered, false, 0},
	} {
		synctest.Test(t, func(t *testing.T) {
			sent := &sentOrders{}
			ctrl, term := newGuardingController(t, sent, &reports{list: c.reports})
			outcome, _ := ctrl.deliver(t.Context(), term, Order{Op: Join, Group: own, Guarded: c.guarded})
			must.EqOp(t, c.outcome, outcome, must.Sprint(c.name))
			must.EqOp(t, c.sent, len(sent.orders) == 1, must.Sprint(c.name))
			if c.sent {
				must.EqOp(t, c.orders, sent.orders[0].Condition, must.Sprint(c.name))
				must.EqOp(t, c.orders > 0, sent.orders[0].Conditional, must.Sprint(c.name))
			}
		})
	}
}

// TestController_LeavesBeforeAnUncheckedJoin guards against a join, to a worker that can't check a condition,
// that takes it out of a group which a late order brought it into: it is ordered to leave that group first, and
// not to join while the answer to that is missing.
func TestController_LeavesBeforeAnUncheckedJoin(t *testing.T) {
	own, earlier := workers.NewGroupID("m", 2), workers.NewGroupID("m", 1)
	for _, c := range []struct {
		left Outcome
		ops  []Op
	}{
		{Satisfied, []Op{Leave, Join}},
		{WrongState, []Op{Leave, Join}},
		{Unanswered, []Op{Leave}},
		{Outdated, []Op{Leave}},
	} {
		sent := &sentOrders{leave: c.left}
		ctrl, term := newGuardingController(t, sent, &reports{list: []*Report{{}}})
		ctrl.deliver(t.Context(), term, Order{Op: Join, Group: own, Guarded: true, Earlier: earlier})
		var ops []Op
		for _, o := range sent.orders {
			ops = append(ops, o.Op)
		}
		must.Eq(t, c.ops, ops, must.Sprint(c.left))
		must.EqOp(t, earlier, sent.orders[0].Group)
	}
}

// newGuardingController returns a controller that holds the lease, and its term.
func newGuardingController(t *testing.T, orders Orders, reporter Reporter) (*Controller, uint64) {
	_, leases := newLeases(1)
	leases[0].round(t.Context())
	term, held := leases[0].Held()
	must.True(t, held)
	return NewController(Options{
		Lease: leases[0], Orders: orders, Reporter: reporter, Fenced: func() bool { return false },
		Metrics: metrics.NewSet(), Now: time.Now, Log: &log.Logger{Level: log.PanicLevel},
	}), term
}

// endingReporter is a Reporter during whose report the lease ends.
type endingReporter struct{ end func() }

func (r endingReporter) Report(context.Context, workers.Worker) (Report, error) {
	r.end()
	return Report{}, nil
}

// TestController_NoOrderAfterTheLeaseEnds guards against a guarded join that is sent under a lease which
// ended while the worker was asked for its report.
func TestController_NoOrderAfterTheLeaseEnds(t *testing.T) {
	sent := &sentOrders{}
	reporter := &endingReporter{}
	ctrl, term := newGuardingController(t, sent, reporter)
	reporter.end = func() { must.NoError(t, ctrl.opts.Lease.Release(t.Context())) }
	outcome, _ := ctrl.deliver(t.Context(), term, Order{Op: Join, Guarded: true})
	must.EqOp(t, NotDelivered, outcome)
	must.SliceEmpty(t, sent.orders)
}
