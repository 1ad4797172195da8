package replica

import "time"

// mostQueued is how long an order may wait to be sent. Later the workers may be in
// another state than it was meant for, and the planner decides anew.
const mostQueued = 2 * time.Second

// urgency is in which order waiting orders are sent, the least first.
type urgency int

const (
	// freeing and opening orders let a group serve, or end, at once.
	urgent urgency = iota
	// joining orders are sent group by group, so that the first groups are whole soon.
	joining
	// staging orders prepare workers for later.
	staging
	// doubtful orders go to workers that did not answer their last one, and hold a place in
	// the window until they time out.
	doubtful
	urgencies
)

func urgencyOf(o Order, doubted bool) urgency {
	switch {
	case doubted:
		return doubtful
	case o.Op == Join:
		return joining
	case o.Op == Stage:
		return staging
	}
	return urgent
}

// queued is an order that waits to be sent.
type queued struct {
	order Order
	since time.Time
}

// queue holds the orders of one term of the lease that wait to be sent.
type queue struct {
	term    uint64
	waiting [urgencies][]queued
}

// begin drops what waits from another term.
func (q *queue) begin(term uint64) {
	if q.term != term {
		*q = queue{term: term}
	}
}

// add has an order wait. Doubted tells that its worker did not answer the last one.
func (q *queue) add(o Order, doubted bool, now time.Time) {
	u := urgencyOf(o, doubted)
	q.waiting[u] = append(q.waiting[u], queued{order: o, since: now})
}

// next takes out the order to send next.
func (q *queue) next() (queued, bool) {
	for u := range q.waiting {
		if len(q.waiting[u]) > 0 {
			first := q.waiting[u][0]
			q.waiting[u] = q.waiting[u][1:]
			return first, true
		}
	}
	return queued{}, false
}

// expired takes out the orders that have waited for too long.
func (q *queue) expired(now time.Time) []Order {
	var late []Order
	for u := range q.waiting {
		for len(q.waiting[u]) > 0 && now.Sub(q.waiting[u][0].since) > mostQueued {
			late = append(late, q.waiting[u][0].order)
			q.waiting[u] = q.waiting[u][1:]
		}
	}
	return late
}

// len returns how many orders wait.
func (q *queue) len() int {
	n := 0
	for _, list := range q.waiting {
		n += len(list)
	}
	return n
}
