// Package engine provides stand-ins for model engines that span several VMs, and for
// plain services. One process hosts any number of them.
package engine

import (
	"sync"
	"time"

	"github.com/pointpass/pointpass/testbed/observed"
)

// Timing holds the simulated durations of the stand-ins' work.
type Timing struct {
	// Token is the interval between two tokens of an answer.
	Token time.Duration
	// Prefill is the time to compute a prompt that isn't cached.
	Prefill time.Duration
	// CacheLoad is the time to load the prefix of a cached prompt.
	CacheLoad time.Duration
	// Load is the time to load a model.
	Load time.Duration
}

// DefaultTiming returns durations for tests, with which answers of a few tens of tokens
// take less than a second.
func DefaultTiming() Timing {
	return Timing{
		Token:     5 * time.Millisecond,
		Prefill:   40 * time.Millisecond,
		CacheLoad: 5 * time.Millisecond,
		Load:      200 * time.Millisecond,
	}
}

// Limits bounds the concurrency and the cache of the stand-ins.
type Limits struct {
	// Streams is the number of requests that a group computes concurrently.
	Streams int
	// Prefixes is the number of prompts whose prefixes a group caches.
	Prefixes int
	// Loads is the number of VMs that may load from the weight store concurrently.
	Loads int
}

// Fabric connects the engines of one test. Engines look up through it whether the other
// members of their group take part, as a collective operation would require.
type Fabric struct {
	timing    Timing
	limits    Limits
	record    *observed.Record
	loadSlots chan struct{}

	mu      sync.Mutex
	engines map[string]*Engine
	leaving map[string]time.Time
}

// NewFabric returns a fabric without engines.
func NewFabric(timing Timing, limits Limits, record *observed.Record) *Fabric {
	return &Fabric{
		timing:    timing,
		limits:    limits,
		record:    record,
		loadSlots: make(chan struct{}, limits.Loads),
		engines:   map[string]*Engine{},
		leaving:   map[string]time.Time{},
	}
}

// Engine returns the stand-in of a VM, or nil if there is none.
func (f *Fabric) Engine(vm string) *Engine {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.engines[vm]
}

// MarkLeaving records that a VM was announced to leave, so that later arrivals at its
// group carry the time of the announcement.
func (f *Fabric) MarkLeaving(vm string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.leaving[vm] = time.Now()
}

// ClearLeaving removes the mark of MarkLeaving.
func (f *Fabric) ClearLeaving(vm string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.leaving, vm)
}

// leavingSince returns when one of the VMs was marked as leaving, or the zero time.
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

// allJoined reports whether all members are up and have joined the group.
func (f *Fabric) allJoined(members []string, group string, epoch uint64) bool {
	for _, vm := range members {
		member := f.Engine(vm)
		if member == nil || !member.joined(group, epoch) {
			return false
		}
	}
	return true
}
