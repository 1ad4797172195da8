package retry

import (
	"sync"
	"time"
)

// Unread holds the sendings that ended without a sign that their workers have read them, until a worker answers a
// request that was sent to it later. It is safe for concurrent use.
type Unread struct {
	mu       sync.Mutex
	byWorker map[string][]unreadSending
	prunedAt time.Time
}

type unreadSending struct {
	*Sending
	ended time.Time
}

// NewUnread returns an empty set.
func NewUnread() *Unread { return &Unread{byWorker: map[string][]unreadSending{}} }

// Add adds a sending to a worker that has ended now.
func (u *Unread) Add(worker string, s *Sending, now time.Time) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.prune(now)
	u.byWorker[worker] = append(u.byWorker[worker], unreadSending{s, now})
}

// Answered records that a worker has answered a request that began to be written at a time: its process runs, and
// reads within SendDelay what has reached its machine before.
func (u *Unread) Answered(worker string, begun, now time.Time) {
	u.mu.Lock()
	defer u.mu.Unlock()
	list, found := u.byWorker[worker]
	if !found {
		return
	}
	var rest []unreadSending
	for _, s := range list {
		if begun.After(s.ended) {
			s.Read(now.Add(SendDelay))
			continue
		}
		rest = append(rest, s)
	}
	u.set(worker, rest)
}

// set sets the sendings to a worker. The caller holds the lock.
func (u *Unread) set(worker string, list []unreadSending) {
	if len(list) == 0 {
		delete(u.byWorker, worker)
		return
	}
	u.byWorker[worker] = list
}

// prune drops the sendings that nobody reads any more, once in MaxUnread. The caller holds the lock.
func (u *Unread) prune(now time.Time) {
	if now.Sub(u.prunedAt) < MaxUnread {
		return
	}
	u.prunedAt = now
	for worker, list := range u.byWorker {
		var rest []unreadSending
		for _, s := range list {
			if now.Sub(s.ended) < MaxUnread {
				rest = append(rest, s)
			}
		}
		u.set(worker, rest)
	}
}
