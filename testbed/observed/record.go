// Package observed keeps what the stand-ins really saw, so that tests ask them
// and not the product.
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
	// Whole tells whether all members of the group were up and joined.
	Whole bool
	// Leaving is when the VM was marked as leaving, zero if it was not.
	Leaving time.Time
}

// Order is one order as an engine took or refused it.
type Order struct {
	VM    string
	Group string
	Epoch uint64
	Role  string
	Taken bool
	Time  time.Time
}

// Record is shared by all stand-ins of a test.
type Record struct {
	mu       sync.Mutex
	runs     map[string]int
	arrivals []Arrival
	orders   []Order
	faults   []string
}

// New returns an empty record.
func New() *Record { return &Record{runs: map[string]int{}} }

// Run counts that the request with a key ran.
func (r *Record) Run(key string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.runs[key]++
}

// Runs returns how often the request with a key ran.
func (r *Record) Runs(key string) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.runs[key]
}

// Doubled returns the keys that ran more than once.
func (r *Record) Doubled() []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	var doubled []string
	for key, n := range r.runs {
		if n > 1 {
			doubled = append(doubled, key)
		}
	}
	return doubled
}

// Arrive notes a request.
func (r *Record) Arrive(a Arrival) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.arrivals = append(r.arrivals, a)
}

// Arrivals returns the requests since a time.
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

// Ordered notes an order.
func (r *Record) Ordered(o Order) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.orders = append(r.orders, o)
}

// Orders returns all orders.
func (r *Record) Orders() []Order {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]Order(nil), r.orders...)
}

// Fault notes something that must never happen.
func (r *Record) Fault(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.faults = append(r.faults, fmt.Sprintf(format, args...))
}

// Faults returns what must never have happened.
func (r *Record) Faults() []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]string(nil), r.faults...)
}
