package admission

import (
	"fmt"
	"os"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"github.com/pointpass/pointpass/common/histories"
)

func TestMain(m *testing.M) { os.Exit(histories.Run(m)) }

var start = time.Date(2026, 12, 2, 20, 0, 0, 0, time.UTC)

func ticket(customer string, share float64, deadline, duration time.Duration) *Ticket {
	return NewTicket(customer, share, 100, start, start.Add(deadline), duration, 1)
}

func TestQueue_OrdersTicketsOfOneCustomer(t *testing.T) {
	// Deadlines of 5, 3 and 4 s; the first takes so long that it has the least slack.
	cases := []struct {
		order Order
		want  []int
	}{
		{FIFO, []int{0, 1, 2}},
		{EarliestDeadline, []int{1, 2, 0}},
		{LeastSlack, []int{0, 1, 2}},
	}
	for _, c := range cases {
		q := NewQueue(c.order)
		tickets := []*Ticket{
			ticket("a", 1, 5*time.Second, 4*time.Second),
			ticket("a", 1, 3*time.Second, time.Second),
			ticket("a", 1, 4*time.Second, time.Second),
		}
		for _, tk := range tickets {
			must.True(t, q.Push(tk))
		}
		for _, want := range c.want {
			got, late := q.Pop(start)
			must.SliceEmpty(t, late)
			must.True(t, got == tickets[want], must.Sprintf("order %d: want ticket %d", c.order, want))
		}
	}
}

// fit adds a ticket that takes a second, at 10 admissions a second.
func fit(q *Queue, customer string, deadline time.Duration, weight float64) (*Ticket, []*Ticket, bool) {
	t := NewTicket(customer, 1, 100, start, start.Add(deadline), time.Second, weight)
	victims, ok := q.Fit(start, t, 100*time.Millisecond, 3)
	if ok {
		for _, v := range victims {
			q.Remove(v)
		}
		q.Push(t)
	}
	return t, victims, ok
}

func TestQueue_FloodEvictsItsOwnCustomer(t *testing.T) {
	q := NewQueue(EarliestDeadline)
	admitted := 0
	for range 100 {
		if _, _, ok := fit(q, "flood", 3*time.Second, 1); ok {
			admitted++
		}
	}
	must.EqOp(t, 20, admitted, must.Sprint("as many as can meet their deadlines"))
	for range 10 {
		_, victims, ok := fit(q, "small", 3*time.Second, 1)
		must.True(t, ok)
		must.SliceLen(t, 1, victims)
		must.EqOp(t, "flood", victims[0].customer)
	}
	_, _, ok := fit(q, "small", 3*time.Second, 1)
	must.False(t, ok, must.Sprint("each customer has its share"))
}

func TestQueue_EvictsTheLeastValuable(t *testing.T) {
	q := NewQueue(EarliestDeadline)
	for range 20 {
		fit(q, "a", 3*time.Second, 1)
	}
	_, victims, ok := fit(q, "a", 3*time.Second, 5)
	must.True(t, ok)
	must.SliceLen(t, 1, victims)
	must.EqOp(t, 1, victims[0].weight)
	_, _, ok = fit(q, "b", 3*time.Second, 0.5)
	must.False(t, ok)
}

func TestQueue_ShedsTheLeastValuableWhenThroughputFalls(t *testing.T) {
	q := NewQueue(EarliestDeadline)
	for range 10 {
		fit(q, "a", 3*time.Second, 1)
		fit(q, "a", 3*time.Second, 5)
	}
	must.SliceEmpty(t, q.Shed(start, 100*time.Millisecond, 100))
	shed := q.Shed(start, 200*time.Millisecond, 100)
	must.SliceLen(t, 10, shed)
	for _, tk := range shed {
		must.EqOp(t, 1, tk.weight)
	}
	must.EqOp(t, 10, q.Len())
}

func TestQueue_NewTicketMakesNoOtherLate(t *testing.T) {
	q := NewQueue(EarliestDeadline)
	for range 20 {
		_, _, ok := fit(q, "a", 3*time.Second, 5)
		must.True(t, ok)
	}
	_, _, ok := fit(q, "b", 1500*time.Millisecond, 1)
	must.False(t, ok, must.Sprint("the new ticket itself would be in time"))
}

func TestQueue_EnforcesTheCustomerLimit(t *testing.T) {
	q := NewQueue(FIFO)
	for range 3 {
		must.True(t, q.Push(NewTicket("a", 1, 3, start, start.Add(time.Second), 0, 1)))
	}
	must.False(t, q.Push(NewTicket("a", 1, 3, start, start.Add(time.Second), 0, 1)))
	must.True(t, q.Push(NewTicket("b", 1, 3, start, start.Add(time.Second), 0, 1)))
}

// TestQueue_Histories guards against tickets that are lost, duplicated or admitted too
// late in random histories, and against state kept for customers without tickets.
func TestQueue_Histories(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		q := NewQueue(Order(rapid.IntRange(0, 2).Draw(t, "order")))
		now := start
		waiting := map[*Ticket]bool{}
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 500).Draw(t, "ms")) * time.Millisecond)
			switch rapid.IntRange(0, 2).Draw(t, "step") {
			case 0:
				customer := fmt.Sprint(rapid.IntRange(0, 3).Draw(t, "customer"))
				deadline := now.Add(time.Duration(rapid.IntRange(1, 3000).Draw(t, "deadline")) * time.Millisecond)
				duration := time.Duration(rapid.IntRange(0, 800).Draw(t, "need")) * time.Millisecond
				tk := NewTicket(customer, 1, 5, now, deadline, duration, 1)
				if q.Push(tk) {
					waiting[tk] = true
				}
			case 1:
				next, late := q.Pop(now)
				for _, tk := range late {
					must.True(t, waiting[tk] && now.After(tk.latestStart()))
					delete(waiting, tk)
				}
				if next != nil {
					must.True(t, waiting[next] && !now.After(next.latestStart()))
					delete(waiting, next)
				}
			case 2:
				for tk := range waiting {
					must.True(t, q.Remove(tk))
					must.False(t, q.Remove(tk))
					delete(waiting, tk)
					break
				}
			}
			must.EqOp(t, len(waiting), q.Len())
		}
	})
}

func TestRetrySchedule_SpacesRetriesAtTheQueueRate(t *testing.T) {
	var a RetrySchedule
	for i := range 20 {
		want := 3*time.Second + time.Duration(i)*100*time.Millisecond
		must.EqOp(t, want, a.Reserve(start, 3*time.Second, 100*time.Millisecond, 0))
	}
	must.EqOp(t, time.Second, a.Reserve(start.Add(time.Hour), 0, time.Second, 0), must.Sprint("earlier reservations have passed"))
}

func TestRetrySchedule_StaysInBounds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var a RetrySchedule
		now := start
		for range rapid.IntRange(1, 100).Draw(t, "refusals") {
			now = now.Add(time.Duration(rapid.IntRange(0, 2000).Draw(t, "ms")) * time.Millisecond)
			backlog := time.Duration(rapid.IntRange(0, 30).Draw(t, "backlog")) * time.Second
			interval := time.Duration(rapid.IntRange(0, 5000).Draw(t, "each")) * time.Millisecond
			wait := a.Reserve(now, backlog, interval, rapid.Float64Range(0, 0.999).Draw(t, "random"))
			must.True(t, wait >= minRetryAfter && wait <= maxRetryAfter)
		}
	})
}
