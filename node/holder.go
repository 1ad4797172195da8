package node

import (
	"bytes"
	"os"
	"sync"
	"sync/atomic"
	"time"
)

// Holder holds the settings in force, and reads their file again when it is asked to.
// What it hands out never changes; who keeps it for long misses what changes. It is safe
// for use by many goroutines.
type Holder struct {
	file    string
	current atomic.Pointer[Settings]
	// confirmed is when the file was last read and said what is in force.
	confirmed atomic.Pointer[time.Time]

	mu   sync.Mutex // of reading
	seen glance
}

// glance is what was found at the file's place.
type glance struct {
	data []byte
	err  error
}

// same tells whether two glances found the same.
func (g glance) same(other glance) bool {
	return (g.err == nil) == (other.err == nil) && bytes.Equal(g.data, other.data)
}

// Outcome is what came of reading a settings file again.
type Outcome string

// The outcomes.
const (
	// Changed settings are in force.
	Changed Outcome = "changed"
	// Unchanged tells that the file says what is in force.
	Unchanged Outcome = "unchanged"
	// Refused tells that the file would change what can't change while a daemon runs.
	Refused Outcome = "refused"
	// Unreadable tells that the file is missing, cut short or holds mistakes.
	Unreadable Outcome = "unreadable"
)

// Outcomes returns all outcomes.
func Outcomes() []Outcome { return []Outcome{Changed, Unchanged, Refused, Unreadable} }

// Reading is what came of reading a settings file again.
type Reading struct {
	Outcome Outcome
	// Changes tells what differs from the settings before, if any differ.
	Changes []Change
	// Err names every mistake with file, line and field, where the settings before go on.
	Err error
}

// Open reads a settings file and returns a holder of its settings.
func Open(file string) (*Holder, error) {
	h := &Holder{file: file}
	h.seen = h.glance()
	if h.seen.err != nil {
		return nil, h.seen.err
	}
	s, err := Parse(file, h.seen.data)
	if err != nil {
		return nil, err
	}
	h.put(s)
	return h, nil
}

// Current returns the settings in force.
func (h *Holder) Current() *Settings { return h.current.Load() }

// Bounds returns the bounds in force.
func (h *Holder) Bounds() Bounds { return h.Current().Bounds() }

// Age returns how long ago the file was last read and said what is in force.
func (h *Holder) Age(now time.Time) time.Duration { return now.Sub(*h.confirmed.Load()) }

// Reload reads the file again and puts in force what it says, all of it or nothing.
func (h *Holder) Reload() Reading {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.seen = h.glance()
	return h.take(h.seen)
}

// Look is Reload where the file isn't what it was when it was last read, whatever came of
// that. It returns false if it is.
func (h *Holder) Look() (Reading, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	found := h.glance()
	if found.same(h.seen) {
		h.confirm(found)
		return Reading{}, false
	}
	h.seen = found
	return h.take(found), true
}

func (h *Holder) glance() glance {
	data, err := os.ReadFile(h.file)
	return glance{data: data, err: err}
}

// take puts in force what was found. The caller holds the lock.
func (h *Holder) take(found glance) Reading {
	if found.err != nil {
		return Reading{Outcome: Unreadable, Err: found.err}
	}
	next, document, err := parse(h.file, found.data)
	if err != nil {
		return Reading{Outcome: Unreadable, Err: err}
	}
	before := h.Current()
	if err := fixedMistakes(document, before, next); err != nil {
		return Reading{Outcome: Refused, Err: err}
	}
	next.firstStart = before.firstStart
	h.put(next)
	changes := changesBetween(before, next)
	if len(changes) == 0 {
		return Reading{Outcome: Unchanged}
	}
	return Reading{Outcome: Changed, Changes: changes}
}

// confirm notes that an unchanged file still says what is in force, unless it was the
// one that could not be taken. The caller holds the lock.
func (h *Holder) confirm(found glance) {
	if !bytes.Equal(found.data, h.Current().source) || found.err != nil {
		return
	}
	now := time.Now()
	h.confirmed.Store(&now)
}

func (h *Holder) put(s *Settings) {
	now := time.Now()
	h.current.Store(s)
	h.confirmed.Store(&now)
}
