// Package admission decides who waits, who is next and who is refused. It is
// pure: it reads no clock and starts nothing.
package admission

import (
	"cmp"
	"slices"
	"time"
)

// Order is how requests follow each other.
type Order int

const (
	// FIFO serves in order of arrival.
	FIFO Order = iota
	// EarliestDeadline serves the nearest deadline first (Liu and Layland,
	// JACM 1973).
	EarliestDeadline
	// LeastSlack serves first what can wait least: deadline less the time that
	// loading and computing will take (CALVO, section 4).
	LeastSlack
)

// Ticket is a request that asks to be let in.
type Ticket struct {
	customer string
	share    float64
	limit    int
	arrived  time.Time
	deadline time.Time
	need     time.Duration
	weight   float64
	sequence uint64 // order of arrival, 0 before
}

// NewTicket returns a ticket of a customer with a share of the capacity and a
// limit of waiting requests. Need is how long the request will probably take
// once it is let in, weight what its answer in time is worth.
func NewTicket(customer string, share float64, limit int, arrived, deadline time.Time, need time.Duration, weight float64) *Ticket {
	return &Ticket{customer: customer, share: share, limit: limit, arrived: arrived, deadline: deadline, need: need, weight: weight}
}

// leastNeed stands in for the need of requests of which nothing is known yet.
const leastNeed = 10 * time.Millisecond

// Density returns what a second of work on the request is worth (value density,
// after Jensen, Locke and Tokuda, "A Time-Driven Scheduling Model", RTSS 1985).
func (t *Ticket) Density() float64 { return t.weight / max(t.need, leastNeed).Seconds() }

// Deadline returns when the answer must be whole.
func (t *Ticket) Deadline() time.Time { return t.deadline }

// latest returns the last moment at which the request can be let in.
func (t *Ticket) latest() time.Time { return t.deadline.Add(-t.need) }

// Queue holds waiting tickets in one order for all customers. Where not all of
// them can make their deadlines, the one is given up whose answer is worth least
// for the time it takes; among equals, one of the customer that is furthest
// above its share, so that a flood costs the customer that sends it.
type Queue struct {
	order    Order
	tickets  []*Ticket // in order
	waiting  map[string]int
	sequence uint64
}

// NewQueue returns an empty queue.
func NewQueue(order Order) *Queue { return &Queue{order: order, waiting: map[string]int{}} }

// Len returns how many tickets wait.
func (q *Queue) Len() int { return len(q.tickets) }

// Fit returns which waiting tickets have to be given up so that a new one and
// all others can make their deadlines, if each is let in some time after the one
// before. It returns false if the new one is the one to give up, or more than
// most others would be.
func (q *Queue) Fit(now time.Time, t *Ticket, each time.Duration, most int) (victims []*Ticket, ok bool) {
	list := slices.Insert(slices.Clone(q.tickets), q.place(t), t)
	for {
		late := madeLate(list, t, now, each)
		if late < 0 {
			return victims, true
		}
		worst := q.worst(list[:late+1], t, victims)
		if list[worst] == t || len(victims) == most {
			return nil, false
		}
		victims = append(victims, list[worst])
		list = slices.Delete(list, worst, worst+1)
	}
}

// Shed takes out and returns tickets until all others can make their deadlines
// at the present pace, or most are out. It goes through them in order and, where
// one would be late, gives up the one worth least so far (Moore, "An n Job, One
// Machine Sequencing Algorithm", 1968, with worth in place of length).
func (q *Queue) Shed(now time.Time, each time.Duration, most int) []*Ticket {
	var shed []*Ticket
	for i := 0; i < len(q.tickets) && len(shed) < most; i++ {
		if !now.Add(time.Duration(i+1) * each).After(q.tickets[i].latest()) {
			continue
		}
		worst := q.tickets[q.worst(q.tickets[:i+1], nil, nil)]
		q.Remove(worst)
		shed = append(shed, worst)
		i--
	}
	return shed
}

// madeLate returns the first place in the list that is let in too late to make
// its deadline because of the newest ticket, -1 if there is none. Those that are
// late without it are no reason to refuse it.
func madeLate(list []*Ticket, newest *Ticket, now time.Time, each time.Duration) int {
	from := slices.Index(list, newest)
	for i := from; i < len(list); i++ {
		spare := list[i].latest().Sub(now) - time.Duration(i+1)*each
		if spare < 0 && (i == from || spare >= -each) {
			return i
		}
	}
	return -1
}

// worst returns the place of the ticket to give up first.
func (q *Queue) worst(list []*Ticket, newest *Ticket, victims []*Ticket) int {
	above := func(t *Ticket) float64 {
		waiting := q.waiting[t.customer]
		if newest != nil && newest.customer == t.customer {
			waiting++
		}
		for _, v := range victims {
			if v.customer == t.customer {
				waiting--
			}
		}
		return float64(waiting) / t.share
	}
	worst := 0
	for i, t := range list {
		order := cmp.Or(cmp.Compare(t.Density(), list[worst].Density()), cmp.Compare(above(list[worst]), above(t)))
		if order <= 0 {
			worst = i
		}
	}
	return worst
}

// Push adds a ticket. It returns false if the customer's limit is reached.
func (q *Queue) Push(t *Ticket) bool {
	if q.waiting[t.customer] >= t.limit {
		return false
	}
	q.sequence++
	t.sequence = q.sequence
	q.tickets = slices.Insert(q.tickets, q.place(t), t)
	q.waiting[t.customer]++
	return true
}

// place returns where a ticket stands or would stand.
func (q *Queue) place(t *Ticket) int {
	i, _ := slices.BinarySearchFunc(q.tickets, t, func(other, t *Ticket) int {
		if other == t {
			return 0
		}
		if q.before(t, other) {
			return 1
		}
		return -1
	})
	return i
}

// Pop takes out the next ticket that can still make its deadline, and all that
// it found on the way which can't.
func (q *Queue) Pop(now time.Time) (next *Ticket, late []*Ticket) {
	for len(q.tickets) > 0 {
		t := q.tickets[0]
		q.Remove(t)
		if !now.After(t.latest()) {
			return t, late
		}
		late = append(late, t)
	}
	return nil, late
}

// Remove takes out a ticket. It returns false if the ticket doesn't wait.
func (q *Queue) Remove(t *Ticket) bool {
	i := q.place(t)
	if i >= len(q.tickets) || q.tickets[i] != t {
		return false
	}
	q.tickets = slices.Delete(q.tickets, i, i+1)
	q.waiting[t.customer]--
	if q.waiting[t.customer] == 0 {
		delete(q.waiting, t.customer)
	}
	return true
}

// before tells whether a comes before b.
func (q *Queue) before(a, b *Ticket) bool {
	order := 0
	switch q.order {
	case EarliestDeadline:
		order = a.deadline.Compare(b.deadline)
	case LeastSlack:
		order = a.latest().Compare(b.latest())
	}
	if order == 0 && a.sequence == 0 {
		return false // not queued yet: arrives last
	}
	return cmp.Or(order, cmp.Compare(a.sequence, b.sequence)) < 0
}
