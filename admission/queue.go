// Package admission decides who waits, who is next and who is refused. It is
// pure: it reads no clock and starts nothing.
package admission

import (
	"cmp"
	"container/heap"
	"time"
)

// Order is how the requests of one customer follow each other.
type Order int

const (
	// FIFO serves in order of arrival.
	FIFO Order = iota
	// EarliestDeadline serves the nearest deadline first (Liu and Layland,
	// JACM 1973).
	EarliestDeadline
	// MostValue serves first what is worth most for the time it takes, and the
	// nearest deadline among equals (value density, after Jensen, Locke and
	// Tokuda, "A Time-Driven Scheduling Model", RTSS 1985).
	MostValue
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

	sequence uint64
	index    int // in its customer's heap, -1 when in none
}

// NewTicket returns a ticket of a customer with a share of the capacity and a
// limit of waiting requests. Need is how long the request will probably take
// once it is let in, weight what its answer in time is worth.
func NewTicket(customer string, share float64, limit int, arrived, deadline time.Time, need time.Duration, weight float64) *Ticket {
	return &Ticket{customer: customer, share: share, limit: limit, arrived: arrived, deadline: deadline, need: need, weight: weight, index: -1}
}

// leastNeed stands in for the need of requests of which nothing is known yet.
const leastNeed = 10 * time.Millisecond

// Density returns what a second of work on the request is worth.
func (t *Ticket) Density() float64 { return t.weight / max(t.need, leastNeed).Seconds() }

// Deadline returns when the answer must be whole.
func (t *Ticket) Deadline() time.Time { return t.deadline }

// latest returns the last moment at which the request can be let in.
func (t *Ticket) latest() time.Time { return t.deadline.Add(-t.need) }

// Queue holds waiting tickets, fair between customers by start-time fair
// queueing (Goyal, Vin and Cheng, SIGCOMM 1996): each customer's turn comes
// after what it got so far, divided by its share.
type Queue struct {
	order     Order
	customers map[string]*line
	virtual   float64 // start tag of the ticket let in last
	waiting   int
	sequence  uint64
}

// line is one customer's waiting tickets.
type line struct {
	tickets ticketHeap
	finish  float64 // virtual time at which the customer's last turn ends
}

// NewQueue returns an empty queue.
func NewQueue(order Order) *Queue {
	return &Queue{order: order, customers: map[string]*line{}}
}

// Len returns how many tickets wait.
func (q *Queue) Len() int { return q.waiting }

// Waiting returns how many tickets of one customer wait.
func (q *Queue) Waiting(customer string) int {
	if l, ok := q.customers[customer]; ok {
		return len(l.tickets.tickets)
	}
	return 0
}

// Ahead returns how many tickets would be let in before a new one of the
// customer, if nothing else arrived: all its own that come first, and of every
// other customer as many as its share allows meanwhile.
func (q *Queue) Ahead(t *Ticket) int {
	own := 0
	if l, ok := q.customers[t.customer]; ok {
		for _, other := range l.tickets.tickets {
			if !q.before(t, other) {
				own++
			}
		}
	}
	ahead := own
	for name, l := range q.customers {
		if name == t.customer || len(l.tickets.tickets) == 0 {
			continue
		}
		turns := float64(own+1) * l.tickets.tickets[0].share / t.share
		ahead += min(len(l.tickets.tickets), int(turns))
	}
	return ahead
}

// Push adds a ticket. It returns false if the customer's limit is reached.
func (q *Queue) Push(t *Ticket) bool {
	l, ok := q.customers[t.customer]
	if !ok {
		l = &line{tickets: ticketHeap{queue: q}}
		q.customers[t.customer] = l
	}
	if len(l.tickets.tickets) >= t.limit {
		return false
	}
	if len(l.tickets.tickets) == 0 {
		l.finish = max(l.finish, q.virtual)
	}
	q.sequence++
	t.sequence = q.sequence
	heap.Push(&l.tickets, t)
	q.waiting++
	return true
}

// Pop takes out the next ticket that can still make its deadline, and all that
// it found on the way which can't.
func (q *Queue) Pop(now time.Time) (next *Ticket, late []*Ticket) {
	for q.waiting > 0 {
		l := q.nextLine()
		t := heap.Pop(&l.tickets).(*Ticket)
		q.waiting--
		if now.After(t.latest()) {
			late = append(late, t)
			q.forgetEmpty(t.customer, l)
			continue
		}
		q.virtual = l.finish
		l.finish += 1 / t.share
		q.forgetEmpty(t.customer, l)
		return t, late
	}
	return nil, late
}

// forgetEmpty drops a customer without tickets whose turn is already due, so
// that the queue doesn't grow with every customer it ever saw.
func (q *Queue) forgetEmpty(customer string, l *line) {
	if len(l.tickets.tickets) == 0 && l.finish <= q.virtual {
		delete(q.customers, customer)
	}
}

func (q *Queue) nextLine() *line {
	var next *line
	var nextName string
	for name, l := range q.customers {
		if len(l.tickets.tickets) == 0 {
			continue
		}
		if next == nil || l.finish < next.finish || (l.finish == next.finish && name < nextName) {
			next = l
			nextName = name
		}
	}
	return next
}

// Remove takes out a ticket whose caller has gone. It returns false if the
// ticket no longer waits.
func (q *Queue) Remove(t *Ticket) bool {
	l, ok := q.customers[t.customer]
	if !ok || t.index < 0 {
		return false
	}
	heap.Remove(&l.tickets, t.index)
	q.waiting--
	return true
}

// before tells whether a comes before b, both of one customer.
func (q *Queue) before(a, b *Ticket) bool {
	order := 0
	switch q.order {
	case EarliestDeadline:
		order = a.deadline.Compare(b.deadline)
	case MostValue:
		order = cmp.Or(cmp.Compare(b.Density(), a.Density()), a.deadline.Compare(b.deadline))
	case LeastSlack:
		order = a.latest().Compare(b.latest())
	}
	if order == 0 && a.sequence == 0 {
		return false // not queued yet: arrives last
	}
	return cmp.Or(order, cmp.Compare(a.sequence, b.sequence)) < 0
}

// ticketHeap is the heap.Interface over one customer's tickets.
type ticketHeap struct {
	queue   *Queue
	tickets []*Ticket
}

func (h ticketHeap) Len() int           { return len(h.tickets) }
func (h ticketHeap) Less(i, j int) bool { return h.queue.before(h.tickets[i], h.tickets[j]) }

func (h ticketHeap) Swap(i, j int) {
	h.tickets[i], h.tickets[j] = h.tickets[j], h.tickets[i]
	h.tickets[i].index = i
	h.tickets[j].index = j
}

func (h *ticketHeap) Push(x any) {
	t := x.(*Ticket)
	t.index = len(h.tickets)
	h.tickets = append(h.tickets, t)
}

func (h *ticketHeap) Pop() any {
	last := len(h.tickets) - 1
	t := h.tickets[last]
	h.tickets[last] = nil
	h.tickets = h.tickets[:last]
	t.index = -1
	return t
}
