// Package admission decides which requests wait, which one is served next and which are
// refused. It reads no clock and starts no goroutines.
package admission

import (
	"cmp"
	"slices"
	"time"
)

// Order is the order in which a queue serves requests.
type Order int

const (
	// FIFO serves in order of arrival.
	FIFO Order = iota
	// EarliestDeadline serves the nearest deadline first (Liu and Layland,
	// JACM 1973).
	EarliestDeadline
	// LeastSlack serves the request with the least slack first, which is its deadline
	// less the time that loading and computing will take (CALVO, section 4).
	LeastSlack
)

// Ticket is a request that waits for admission or is about to.
type Ticket struct {
	customer string
	share    float64
	limit    int
	arrived  time.Time
	deadline time.Time
	duration time.Duration
	weight   float64
	sequence uint64 // order of arrival, 0 until the ticket is queued
}

// NewTicket returns a ticket of a customer that has a share of the capacity and may have
// limit requests waiting. duration is the expected time from admission to the end of the
// response, weight the value of a response in time.
func NewTicket(customer string, share float64, limit int, arrived, deadline time.Time, duration time.Duration, weight float64) *Ticket {
	return &Ticket{customer: customer, share: share, limit: limit, arrived: arrived, deadline: deadline, duration: duration, weight: weight}
}

// minDuration is the least duration that a value density is computed with. It stands in
// for the duration of requests that have no estimate yet.
const minDuration = 10 * time.Millisecond

// Density returns the value of a second of work on the request (value density, after
// Jensen, Locke and Tokuda, "A Time-Driven Scheduling Model", RTSS 1985).
func (t *Ticket) Density() float64 { return t.weight / max(t.duration, minDuration).Seconds() }

// Deadline returns when the response must be complete.
func (t *Ticket) Deadline() time.Time { return t.deadline }

// latestStart returns the latest admission time that still meets the deadline.
func (t *Ticket) latestStart() time.Time { return t.deadline.Add(-t.duration) }

// Queue holds the waiting tickets of all customers in one order. If some of them can't
// meet their deadlines, it drops the ticket with the lowest value density; among equals,
// one of the customer that is furthest above its share, so that a customer that sends too
// many requests loses its own first.
type Queue struct {
	order    Order
	tickets  []*Ticket // in order
	waiting  map[string]int
	sequence uint64
}

// NewQueue returns an empty queue.
func NewQueue(order Order) *Queue { return &Queue{order: order, waiting: map[string]int{}} }

// Len returns the number of waiting tickets.
func (q *Queue) Len() int { return len(q.tickets) }

// Fit returns the waiting tickets to drop so that t and all remaining ones can meet their
// deadlines if one is admitted per interval. It returns false if t itself is the one to
// drop, or if more than maxVictims others would have to go.
func (q *Queue) Fit(now time.Time, t *Ticket, interval time.Duration, maxVictims int) (victims []*Ticket, ok bool) {
	list := slices.Insert(slices.Clone(q.tickets), q.index(t), t)
	for {
		late := firstDelayed(list, t, now, interval)
		if late < 0 {
			return victims, true
		}
		victim := q.leastValuable(list[:late+1], t, victims)
		if list[victim] == t || len(victims) == maxVictims {
			return nil, false
		}
		victims = append(victims, list[victim])
		list = slices.Delete(list, victim, victim+1)
	}
}

// Shed removes and returns tickets until all others can meet their deadlines if one is
// admitted per interval, or until maxShed are removed. It walks the queue in order; at
// each ticket that would be late it drops the least valuable one up to there (Moore, "An
// n Job, One Machine Sequencing Algorithm", 1968, with value in place of length).
func (q *Queue) Shed(now time.Time, interval time.Duration, maxShed int) []*Ticket {
	var shed []*Ticket
	for i := 0; i < len(q.tickets) && len(shed) < maxShed; i++ {
		if !now.Add(time.Duration(i+1) * interval).After(q.tickets[i].latestStart()) {
			continue
		}
		victim := q.tickets[q.leastValuable(q.tickets[:i+1], nil, nil)]
		q.Remove(victim)
		shed = append(shed, victim)
		i--
	}
	return shed
}

// firstDelayed returns the index of the first ticket that misses its deadline because of
// newest, or -1 if there is none. Tickets that are late without newest are no reason to
// refuse it.
func firstDelayed(list []*Ticket, newest *Ticket, now time.Time, interval time.Duration) int {
	from := slices.Index(list, newest)
	for i := from; i < len(list); i++ {
		slack := list[i].latestStart().Sub(now) - time.Duration(i+1)*interval
		if slack < 0 && (i == from || slack >= -interval) {
			return i
		}
	}
	return -1
}

// leastValuable returns the index of the ticket to drop first.
func (q *Queue) leastValuable(list []*Ticket, newest *Ticket, victims []*Ticket) int {
	waitingPerShare := func(t *Ticket) float64 {
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
	least := 0
	for i, t := range list {
		order := cmp.Or(cmp.Compare(t.Density(), list[least].Density()), cmp.Compare(waitingPerShare(list[least]), waitingPerShare(t)))
		if order <= 0 {
			least = i
		}
	}
	return least
}

// Push adds a ticket. It returns false if the customer's limit is reached.
func (q *Queue) Push(t *Ticket) bool {
	if q.waiting[t.customer] >= t.limit {
		return false
	}
	q.sequence++
	t.sequence = q.sequence
	q.tickets = slices.Insert(q.tickets, q.index(t), t)
	q.waiting[t.customer]++
	return true
}

// index returns the index of a ticket, or the one at which it would be inserted.
func (q *Queue) index(t *Ticket) int {
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

// Pop removes the next ticket that can still meet its deadline, and the ones ahead of it
// that can't.
func (q *Queue) Pop(now time.Time) (next *Ticket, late []*Ticket) {
	for len(q.tickets) > 0 {
		t := q.tickets[0]
		q.Remove(t)
		if !now.After(t.latestStart()) {
			return t, late
		}
		late = append(late, t)
	}
	return nil, late
}

// Remove removes a ticket. It returns false if the ticket isn't in the queue.
func (q *Queue) Remove(t *Ticket) bool {
	i := q.index(t)
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

// before reports whether a is served before b.
func (q *Queue) before(a, b *Ticket) bool {
	order := 0
	switch q.order {
	case EarliestDeadline:
		order = a.deadline.Compare(b.deadline)
	case LeastSlack:
		order = a.latestStart().Compare(b.latestStart())
	}
	if order == 0 && a.sequence == 0 {
		return false // a isn't queued yet: it arrives last
	}
	return cmp.Or(order, cmp.Compare(a.sequence, b.sequence)) < 0
}
