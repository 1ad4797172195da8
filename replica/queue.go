package replica

import "time"

// maxQueueTime is how long an order may wait to be sent. After that the workers may be in
// another state than it was meant for, and the planner decides again.
const maxQueueTime = 2 * time.Second

// priority is the order in which queued orders are sent, the lowest first.
type priority int

const (
	// priorityUrgent is for orders that let a group serve, or end, at once.
	priorityUrgent priority = iota
	// priorityJoin is for joins, which are sent group by group, so that the first groups are
	// complete soon.
	priorityJoin
	// priorityStage is for loads that prepare workers for later.
	priorityStage
	// priorityUnanswered is for orders to workers that did not answer their last one. Such an
	// order holds a place in the window until it times out.
	priorityUnanswered
	numPriorities
)

func priorityOf(o Order, unanswered bool) priority {
	switch {
	case unanswered:
		return priorityUnanswered
	case o.Op == Join:
		return priorityJoin
	case o.Op == Stage:
		return priorityStage
	}
	return priorityUrgent
}

// queued is an order that waits to be sent.
type queued struct {
	order    Order
	queuedAt time.Time
}

// queue holds the orders of one term of the lease that wait to be sent.
type queue struct {
	term    uint64
	waiting [numPriorities][]queued
}

// startTerm drops the queued orders of any other term.
func (q *queue) startTerm(term uint64) {
	if q.term != term {
		*q = queue{term: term}
	}
}

// add queues an order. Unanswered is set if its worker did not answer the last one.
func (q *queue) add(o Order, unanswered bool, now time.Time) {
	p := priorityOf(o, unanswered)
	q.waiting[p] = append(q.waiting[p], queued{order: o, queuedAt: now})
}

// next removes and returns the order to send next.
func (q *queue) next() (queued, bool) {
	for p := range q.waiting {
		if len(q.waiting[p]) > 0 {
			first := q.waiting[p][0]
			q.waiting[p] = q.waiting[p][1:]
			return first, true
		}
	}
	return queued{}, false
}

// expired removes and returns the orders that have waited for too long.
func (q *queue) expired(now time.Time) []Order {
	var late []Order
	for p := range q.waiting {
		for len(q.waiting[p]) > 0 && now.Sub(q.waiting[p][0].queuedAt) > maxQueueTime {
			late = append(late, q.waiting[p][0].order)
			q.waiting[p] = q.waiting[p][1:]
		}
	}
	return late
}

// len returns how many orders are queued.
func (q *queue) len() int {
	n := 0
	for _, list := range q.waiting {
		n += len(list)
	}
	return n
}
