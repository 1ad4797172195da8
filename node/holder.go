package node

import (
	"bytes"
	"os"
	"sync"
	"sync/atomic"
	"time"
)

// Holder holds the settings in force and reloads them from their file. The Settings that
// it returns are immutable, so callers have to get them again to see a change. A Holder is
// safe for concurrent use.
type Holder struct {
	file    string
	current atomic.Pointer[Settings]
	// confirmed is when the file was last read and contained the settings in force.
	confirmed atomic.Pointer[time.Time]

	mu   sync.Mutex // serializes reads of the file
	last fileContent
}

// fileContent is the result of reading the file.
type fileContent struct {
	data []byte
	err  error
}

// same reports whether both reads failed or both returned the same data.
func (c fileContent) same(other fileContent) bool {
	return (c.err == nil) == (other.err == nil) && bytes.Equal(c.data, other.data)
}

// Outcome is the outcome of reloading a settings file.
type Outcome string

// The outcomes of a reload.
const (
	// Changed means that changed settings were put in force.
	Changed Outcome = "changed"
	// Unchanged means that the file contains the settings in force.
	Unchanged Outcome = "unchanged"
	// Refused means that the file changes settings that can't change while a daemon runs.
	Refused Outcome = "refused"
	// Unreadable means that the file is missing, truncated or invalid.
	Unreadable Outcome = "unreadable"
)

// Outcomes returns all outcomes.
func Outcomes() []Outcome { return []Outcome{Changed, Unchanged, Refused, Unreadable} }

// ReloadResult is the result of reloading a settings file.
type ReloadResult struct {
	Outcome Outcome
	// Changes lists the settings that differ from the previous ones.
	Changes []Change
	// Err names every mistake with file, line and field. It is set if the previous settings
	// stay in force.
	Err error
}

// Open reads a settings file and returns a holder of its settings.
func Open(file string) (*Holder, error) {
	h := &Holder{file: file}
	h.last = h.readFile()
	if h.last.err != nil {
		return nil, h.last.err
	}
	s, err := Parse(file, h.last.data)
	if err != nil {
		return nil, err
	}
	h.store(s)
	return h, nil
}

// Current returns the settings in force.
func (h *Holder) Current() *Settings { return h.current.Load() }

// Bounds returns the bounds in force.
func (h *Holder) Bounds() Bounds { return h.Current().Bounds() }

// Age returns how long ago the file was last read and contained the settings in force.
func (h *Holder) Age(now time.Time) time.Duration { return now.Sub(*h.confirmed.Load()) }

// Reload reads the file and puts its settings in force, all of them or none.
func (h *Holder) Reload() ReloadResult {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.last = h.readFile()
	return h.apply(h.last)
}

// ReloadIfChanged is like Reload, but returns false if the file is the same as when it was
// last read, even if that read failed.
func (h *Holder) ReloadIfChanged() (ReloadResult, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	content := h.readFile()
	if content.same(h.last) {
		h.confirm(content)
		return ReloadResult{}, false
	}
	h.last = content
	return h.apply(content), true
}

func (h *Holder) readFile() fileContent {
	data, err := os.ReadFile(h.file)
	return fileContent{data: data, err: err}
}

// apply puts the settings of a file in force. The caller must hold the lock.
func (h *Holder) apply(content fileContent) ReloadResult {
	if content.err != nil {
		return ReloadResult{Outcome: Unreadable, Err: content.err}
	}
	next, document, err := parse(h.file, content.data)
	if err != nil {
		return ReloadResult{Outcome: Unreadable, Err: err}
	}
	previous := h.Current()
	if err := fixedMistakes(document, previous, next); err != nil {
		return ReloadResult{Outcome: Refused, Err: err}
	}
	next.firstStart = previous.firstStart
	h.store(next)
	changes := changesBetween(previous, next)
	if len(changes) == 0 {
		return ReloadResult{Outcome: Unchanged}
	}
	return ReloadResult{Outcome: Changed, Changes: changes}
}

// confirm updates the time of confirmation if an unchanged file contains the settings in
// force. It does nothing for a file that was rejected. The caller must hold the lock.
func (h *Holder) confirm(content fileContent) {
	if !bytes.Equal(content.data, h.Current().source) || content.err != nil {
		return
	}
	now := time.Now()
	h.confirmed.Store(&now)
}

func (h *Holder) store(s *Settings) {
	now := time.Now()
	h.current.Store(s)
	h.confirmed.Store(&now)
}
