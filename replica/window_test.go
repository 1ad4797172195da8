package replica

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/pointpass/pointpass/catalog"
	"github.com/pointpass/pointpass/workers"
)

// sender simulates a small VM that sends orders: it handles them one after the other. An order
// that waits there for longer than the timeout gets no answer, and neither does any to a worker
// that is gone.
type sender struct {
	now      time.Time
	perOrder time.Duration // time that the sender needs for an order
	freeAt   time.Time     // when the sender has handled all orders so far
	pending  []pendingOrder
}

// pendingOrder is an order in flight.
type pendingOrder struct {
	sent, endsAt time.Time
	order        Order
	answered     bool
}

const workerDelay = 4 * time.Millisecond

func (s *sender) send(o Order, gone bool) {
	if s.freeAt.Before(s.now) {
		s.freeAt = s.now
	}
	s.freeAt = s.freeAt.Add(s.perOrder)
	e := pendingOrder{sent: s.now, endsAt: s.freeAt.Add(workerDelay), order: o, answered: !gone}
	if gone || e.endsAt.Sub(s.now) > orderTimeout {
		e.endsAt = s.now.Add(orderTimeout)
		e.answered = false
	}
	s.pending = append(s.pending, e)
}

// finished removes and returns the orders that have ended by now.
func (s *sender) finished() (ended []pendingOrder) {
	var left []pendingOrder
	for _, e := range s.pending {
		if e.endsAt.After(s.now) {
			left = append(left, e)
		} else {
			ended = append(ended, e)
		}
	}
	s.pending = left
	return ended
}

// joinAll sends a join to each worker through a window, again where no answer comes. It returns
// how many orders were sent, and how long it took until all live workers had answered.
func joinAll(t *testing.T, n, gone int, perOrder time.Duration, w window) (sent int, took time.Duration) {
	started := time.Unix(1000, 0)
	s := &sender{now: started, perOrder: perOrder}
	var q queue
	for i := range n {
		q.add(Order{Op: Join, Worker: workers.Worker{ID: fmt.Sprint(i)}}, false, s.now)
	}
	isGone := map[string]bool{}
	for i := range gone {
		isGone[fmt.Sprint(i*n/gone)] = true
	}
	answered := 0
	for answered < n-gone {
		for w.hasRoom() {
			next, ok := q.next()
			if !ok {
				break
			}
			w.start()
			sent++
			s.send(next.order, isGone[next.order.Worker.ID])
		}
		s.now = s.now.Add(time.Millisecond)
		for _, e := range s.finished() {
			w.finish(e.sent, s.now, e.answered)
			if e.answered {
				answered++
				continue
			}
			q.add(e.order, true, s.now)
		}
		must.Less(t, time.Minute, s.now.Sub(started))
	}
	return sent, s.now.Sub(started)
}

// TestWindow_SmallSenderDoesNotResend checks that a sender that takes 1 ms for an order sends
// each order once and takes little more than the sum, at the size of the largest known fleet
// and at twice that. Without a window it resends many of them.
func TestWindow_SmallSenderDoesNotResend(t *testing.T) {
	for _, n := range []int{48, 2775, 5550} {
		sent, took := joinAll(t, n, 0, time.Millisecond, newWindow())
		must.EqOp(t, n, sent, must.Sprint(n, " workers"))
		must.Less(t, time.Duration(n)*time.Millisecond*5/4+100*time.Millisecond, took, must.Sprint(n, " workers"))
	}
	sent, _ := joinAll(t, 2775, 0, time.Millisecond, window{size: 1e6})
	must.Greater(t, 3*2775/2, sent, must.Sprint("without a window the sender is overloaded"))
}

// TestWindow_NarrowsForSlowSender checks that a sender that takes 20 ms for an order, such as
// one with an exhausted processor, resends at most a fifth of them.
func TestWindow_NarrowsForSlowSender(t *testing.T) {
	sent, _ := joinAll(t, 1000, 0, 20*time.Millisecond, newWindow())
	must.LessEq(t, 1200, sent)
}

// TestWindow_GoneWorkersDoNotDelayOthers has one worker in 25 never answer. The others must get
// their orders as soon as if all did, but for a few timeouts.
func TestWindow_GoneWorkersDoNotDelayOthers(t *testing.T) {
	_, allAlive := joinAll(t, 2775, 0, time.Millisecond/2, newWindow())
	_, took := joinAll(t, 2775, 111, time.Millisecond/2, newWindow())
	must.Less(t, allAlive+2*orderTimeout, took)
}

// TestQueue_SendsByPriority checks that orders that open or end groups come before joins, joins
// before staging, and workers that missed an answer last.
func TestQueue_SendsByPriority(t *testing.T) {
	now := time.Unix(1000, 0)
	var q queue
	q.startTerm(7)
	q.add(Order{Op: Leave, Worker: workers.Worker{ID: "missed"}}, true, now)
	for _, op := range []Op{Stage, Join, Open, Close, Leave} {
		q.add(Order{Op: op}, false, now)
	}
	must.EqOp(t, 6, q.len())
	for _, op := range []Op{Open, Close, Leave, Join, Stage} {
		next, ok := q.next()
		must.True(t, ok)
		must.EqOp(t, op, next.order.Op)
	}
	last, _ := q.next()
	must.EqOp(t, "missed", last.order.Worker.ID)
	_, ok := q.next()
	must.False(t, ok)
}

// TestQueue_DropsExpiredOrders checks that orders are dropped after maxQueueTime and under
// another term.
func TestQueue_DropsExpiredOrders(t *testing.T) {
	now := time.Unix(1000, 0)
	var q queue
	q.startTerm(7)
	q.add(Order{Op: Join, Worker: workers.Worker{ID: "early"}}, false, now)
	q.add(Order{Op: Join, Worker: workers.Worker{ID: "late"}}, false, now.Add(maxQueueTime))
	late := q.expired(now.Add(maxQueueTime + 1))
	must.Len(t, 1, late)
	must.EqOp(t, "early", late[0].Worker.ID)
	q.startTerm(7)
	must.EqOp(t, 1, q.len())
	q.startTerm(8)
	must.EqOp(t, 0, q.len())
}

// TestPlanner_ReplansOrdersNeverSent checks that an order that was never sent neither keeps its
// worker waiting nor counts as rejected.
func TestPlanner_ReplansOrdersNeverSent(t *testing.T) {
	w := newWorld(1, 8)
	w.step()
	p := NewPlanner(1, testCeiling)
	p.startedAt = w.now.Add(-maxSettleTime)
	situation := Situation{Now: w.now, View: w.view, Services: []*catalog.Service{w.service}, Idle: true, Failing: w.failing}
	orders := p.Plan(situation)
	must.SliceNotEmpty(t, orders)
	joins := 0
	for _, o := range orders {
		p.Result(w.now, o, Expired)
		if o.Op == Join {
			joins++
		}
	}
	again := 0
	for _, o := range p.Plan(situation) {
		if o.Op == Join {
			again++
		}
	}
	must.EqOp(t, joins, again)
}
