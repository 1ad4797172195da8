// Package engine is a stand-in for model engines that span several VMs, and
// for plain services. One process hosts any number of them.
package engine

import (
	"sync"
	"time"

	"github.com/pointpass/pointpass/testbed/observed"
)

// Timing is how fast the stand-ins work.
type Timing struct {
	// Token is the time from one token to the next.
	Token time.Duration
	// Prefill is the time to compute a prompt that isn't cached.
	Prefill time.Duration
	// CacheLoad is the time to take a cached prompt's prefix into use.
	CacheLoad time.Duration
	// Load is the time to load a model.
	Load time.Duration
}

// DefaultTiming suits tests: answers of a few tens of tokens take less than a
// second.
func DefaultTiming() Timing {
	return Timing{
		Token:     5 * time.Millisecond,
		Prefill:   40 * time.Millisecond,
		CacheLoad: 5 * time.Millisecond,
		Load:      200 * time.Millisecond,
	}
}

// Limits bounds what a stand-in does at once.
type Limits struct {
	// Streams is how many requests a group computes at once.
	Streams int
	// Prefixes is how many prompts' prefixes a group keeps.
	Prefixes int
	// Loads is how many VMs may load from the weight store at once.
	Loads int
}

// Fabric joins the engines of one test: they see whether the other members of
// their group are there, as a collective operation would.
type Fabric struct {
	timing Timing
	limits Limits
	record *observed.Record
	loads  chan struct{}

	mu      sync.Mutex
	engines map[string]*Engine
	leaving map[string]time.Time
}

// NewFabric returns a fabric without engines.
func NewFabric(timing Timing, limits Limits, record *observed.Record) *Fabric {
	return &Fabric{
		timing:  timing,
		limits:  limits,
		record:  record,
		loads:   make(chan struct{}, limits.Loads),
		engines: map[string]*Engine{},
		leaving: map[string]time.Time{},
	}
}

// Engine returns the stand-in of a VM.
func (f *Fabric) Engine(vm string) *Engine {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.engines[vm]
}

// MarkLeaving notes that a VM was announced to leave, so that requests after
// it can be told.
func (f *Fabric) MarkLeaving(vm string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.leaving[vm] = time.Now()
}

// ClearLeaving takes the note back.
func (f *Fabric) ClearLeaving(vm string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.leaving, vm)
}

func (f *Fabric) leavingSince(vms []string) time.Time {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, vm := range vms {
		if since, ok := f.leaving[vm]; ok {
			return since
		}
	}
	return time.Time{}
}

// whole tells whether all members are up and joined to the group.
func (f *Fabric) whole(members []string, group string, epoch uint64) bool {
	for _, vm := range members {
		member := f.Engine(vm)
		if member == nil || !member.joined(group, epoch) {
			return false
		}
	}
	return true
}
