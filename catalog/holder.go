package catalog

import (
	"sync/atomic"
	"time"
)

// InForce is the current catalog with the evidence for it.
type InForce struct {
	Catalog *Catalog
	// Evidence is when the last call was sent whose answer confirmed that there is no newer
	// version.
	Evidence time.Time
}

// Age returns the age of the evidence.
func (f InForce) Age(now time.Time) time.Duration { return now.Sub(f.Evidence) }

// Holder holds the current catalog. Its version never decreases.
type Holder struct {
	current atomic.Pointer[InForce]
}

// Current returns the current catalog, which is nil before the first one.
func (h *Holder) Current() InForce {
	if f := h.current.Load(); f != nil {
		return *f
	}
	return InForce{}
}

// Accept replaces the current catalog with c if c is newer, and applies the evidence. It
// reports whether the catalog changed. Only one goroutine may call it.
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

// Confirm applies evidence that no newer catalog exists. It has no effect without a
// catalog. Only the goroutine that calls Accept may call it.
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
