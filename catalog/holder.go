package catalog

import (
	"sync/atomic"
	"time"
)

// InForce is the catalog in force with the evidence for it.
type InForce struct {
	Catalog *Catalog
	// Evidence is when the call was sent whose answer last confirmed that there
	// is no newer version.
	Evidence time.Time
}

// Age returns how old the evidence is.
func (f InForce) Age(now time.Time) time.Duration { return now.Sub(f.Evidence) }

// Holder holds the catalog in force. Versions only rise.
type Holder struct {
	current atomic.Pointer[InForce]
}

// Current returns what is in force; its catalog is nil before the first one.
func (h *Holder) Current() InForce {
	if f := h.current.Load(); f != nil {
		return *f
	}
	return InForce{}
}

// Accept puts a catalog in force unless a newer one is, and takes in the
// evidence that came with it. Only one goroutine may call it. It tells whether
// the catalog in force changed.
func (h *Holder) Accept(c *Catalog, evidence time.Time) bool {
	next := h.Current()
	changed := c.Newer(next.Catalog)
	if changed {
		next.Catalog = c
	}
	next.Evidence = later(next.Evidence, evidence)
	h.current.Store(&next)
	return changed
}

// Confirm takes in evidence that no newer catalog exists. Only the goroutine
// that calls Accept may call it. Without a catalog there is nothing to confirm.
func (h *Holder) Confirm(evidence time.Time) {
	next := h.Current()
	if next.Catalog == nil {
		return
	}
	next.Evidence = later(next.Evidence, evidence)
	h.current.Store(&next)
}

func later(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}
