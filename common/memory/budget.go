// Package memory bounds what a process holds for others, such as requests that arrive: all holders share a
// budget, and those that hold most for longest give way to others.
package memory

import (
	"errors"
	"sync"
	"time"
)

// ErrFull means that the budget has no room and nothing in it gives way, ErrEvicted that the holder itself has
// to give its memory back.
var (
	ErrFull    = errors.New("the memory for requests is used up")
	ErrEvicted = errors.New("the memory of the request is needed for others")
)

const (
	// minEvictionAge is how long a holder is left alone.
	minEvictionAge = time.Second
	// evictionTimeout bounds the wait for memory that is being given back.
	evictionTimeout = time.Second
)

// Budget is memory that accounts share. It is safe for concurrent use.
type Budget struct {
	limit func() int64
	now   func() time.Time

	mu   sync.Mutex
	used int64
	// evicting is the part of used that accounts were told to give back.
	evicting int64
	// evictable are the accounts that can be told to.
	evictable map[*Account]struct{}
	evictions uint64
	// released is closed and replaced when memory is given back.
	released chan struct{}
}

// NewBudget returns a budget. The function limit returns its size in bytes, which may change.
func NewBudget(limit func() int64, now func() time.Time) *Budget {
	return &Budget{limit: limit, now: now, evictable: map[*Account]struct{}{}, released: make(chan struct{})}
}

// Used returns how many bytes are reserved.
func (b *Budget) Used() int64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.used
}

// Evictions returns how many accounts were told to give their memory back.
func (b *Budget) Evictions() uint64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.evictions
}

// Account is the memory of one holder. One goroutine at a time may use it, except Close.
type Account struct {
	budget *Budget
	opened time.Time
	evict  func()
	// The lock of the budget guards what follows.
	held int64
	// passed is the part of held that another account has reserved.
	passed           int64
	evicted, closing bool
}

// Open returns an empty account, which must be closed. The budget calls evict once if the holder has to give its
// memory back, which it does by closing the account; evict must not block.
func (b *Budget) Open(evict func()) *Account {
	a := &Account{budget: b, opened: b.now(), evict: evict}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.evictable[a] = struct{}{}
	return a
}

// Held returns how many bytes the account holds.
func (a *Account) Held() int64 {
	b := a.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	return a.held
}

// Reserve adds n bytes to the account. It waits a short time for others to give way if there is no room.
func (a *Account) Reserve(n int64) error {
	b := a.budget
	var timeout <-chan time.Time
	b.mu.Lock()
	defer b.mu.Unlock()
	for {
		if a.evicted || a.closing {
			return ErrEvicted
		}
		if a.fits(n, b.limit()-b.used) {
			b.used += n
			a.held += n
			return nil
		}
		if !a.fits(n, b.limit()-b.used+b.evicting) && !b.evictFor(a, n) {
			return ErrFull
		}
		if timeout == nil {
			timeout = time.After(evictionTimeout)
		}
		released := b.released
		b.mu.Unlock()
		select {
		case <-released:
			b.mu.Lock()
		case <-timeout:
			b.mu.Lock()
			return ErrFull
		}
	}
}

// fits reports whether the account may hold n more bytes where free are left: what it has reserved then must not exceed
// what stays free.
func (a *Account) fits(n, free int64) bool { return a.held-a.passed+n <= free-n }

// evictFor tells the account with the greatest product of bytes and age to give its memory back. It returns false if
// there is none whose product is above that of the account that needs n bytes. The caller holds the lock.
func (b *Budget) evictFor(a *Account, n int64) bool {
	now := b.now()
	var victim *Account
	most := weight(a.held+n, now.Sub(a.opened))
	for other := range b.evictable {
		age := now.Sub(other.opened)
		if other == a || age < minEvictionAge {
			continue
		}
		if w := weight(other.held, age); w > most {
			victim, most = other, w
		}
	}
	if victim == nil {
		return false
	}
	delete(b.evictable, victim)
	victim.evicted = true
	b.evicting += victim.held
	b.evictions++
	victim.evict()
	b.wake() // it may be waiting itself
	return true
}

func weight(held int64, age time.Duration) float64 { return float64(held) * age.Seconds() }

// Release gives n bytes back.
func (a *Account) Release(n int64) {
	b := a.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	b.release(a, n)
}

// release implements Release. The caller holds the lock.
func (b *Budget) release(a *Account, n int64) {
	n = min(n, a.held)
	a.held -= n
	a.passed = min(a.passed, a.held)
	b.used -= n
	if a.evicted {
		b.evicting -= n
	}
	if n > 0 {
		b.wake()
	}
}

// MoveTo passes up to n bytes on to another account of the budget, which becomes at least as old. If the account was told to
// give its memory back, the other one counts as told too. It returns how many bytes were passed on.
func (a *Account) MoveTo(to *Account, n int64) int64 {
	b := a.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	n = min(n, a.held)
	if to.closing {
		b.release(a, n)
		return 0
	}
	switch {
	case a.evicted && !to.evicted:
		to.evicted = true
		b.evicting += to.held
		delete(b.evictable, to)
	case to.evicted && !a.evicted:
		b.evicting += n
	}
	a.held -= n
	a.passed = max(a.passed-n, 0)
	to.held += n
	to.passed += n
	if a.opened.Before(to.opened) {
		to.opened = a.opened
	}
	return n
}

// wake has all that wait for memory look again. The caller holds the lock.
func (b *Budget) wake() {
	close(b.released)
	b.released = make(chan struct{})
}

// Pin keeps the account from being told to give its memory back. It returns false if that has happened already.
func (a *Account) Pin() bool {
	b := a.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	if a.evicted {
		return false
	}
	delete(b.evictable, a)
	return true
}

// Keep pins the account also if it was told to give its memory back: its holder doesn't.
func (a *Account) Keep() {
	b := a.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	delete(b.evictable, a)
	if a.evicted {
		a.evicted = false
		b.evicting -= a.held
		b.wake()
	}
}

// Renew starts the account's age anew, with another way to have its memory given back. It returns false if the holder
// was told to give it back already.
func (a *Account) Renew(evict func()) bool {
	b := a.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	if a.evicted {
		return false
	}
	a.opened, a.evict = b.now(), evict
	return true
}

// Close gives all memory of the account back. Nothing can be reserved any more.
func (a *Account) Close() {
	b := a.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	a.closing = true
	delete(b.evictable, a)
	b.release(a, a.held)
}
