// Package observed records what the stand-ins received and ran, so that tests don't rely
// on the product's own reports.
package observed

import (
	"fmt"
	"sync"
	"time"
)

// Arrival is one request as it reached an endpoint.
type Arrival struct {
	VM    string
	Group string
	Epoch uint64
	Key   string
	Time  time.Time
	// Complete reports whether the request was for the VM's group and epoch, and all
	// members were up and had joined.
	Complete bool
	// LeavingSince is when a VM of the group was marked as leaving, or the zero time.
	LeavingSince time.Time
}

// Order is one order that an engine accepted or rejected.
type Order struct {
	VM       string
	Group    string
	Epoch    uint64
	Role     string
	Accepted bool
	Time     time.Time
}

// Record collects the observations of all stand-ins of a test. It is safe for concurrent
// use.
type Record struct {
	mu         sync.Mutex
	runs       map[string]int
	arrivals   []Arrival
	orders     []Order
	violations []string
}

// New returns an empty record.
func New() *Record { return &Record{runs: map[string]int{}} }

// CountRun counts a run of the request with a key.
func (r *Record) CountRun(key string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.runs[key]++
}

// RunCount returns how often the request with a key ran.
func (r *Record) RunCount(key string) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.runs[key]
}

// RepeatedKeys returns the keys of requests that ran more than once.
func (r *Record) RepeatedKeys() []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	var repeated []string
	for key, n := range r.runs {
		if n > 1 {
			repeated = append(repeated, key)
		}
	}
	return repeated
}

// AddArrival records the arrival of a request.
func (r *Record) AddArrival(a Arrival) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.arrivals = append(r.arrivals, a)
}

// Arrivals returns the arrivals after a time.
func (r *Record) Arrivals(since time.Time) []Arrival {
	r.mu.Lock()
	defer r.mu.Unlock()
	var found []Arrival
	for _, a := range r.arrivals {
		if a.Time.After(since) {
			found = append(found, a)
		}
	}
	return found
}

// AddOrder records an order.
func (r *Record) AddOrder(o Order) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.orders = append(r.orders, o)
}

// Orders returns all recorded orders.
func (r *Record) Orders() []Order {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]Order(nil), r.orders...)
}

// AddViolation records an event that must never happen.
func (r *Record) AddViolation(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.violations = append(r.violations, fmt.Sprintf(format, args...))
}

// Violations returns all recorded violations.
func (r *Record) Violations() []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]string(nil), r.violations...)
}
