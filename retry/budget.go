// Package retry limits the number of retries relative to the number of requests, so that
// failures don't multiply the load that caused them.
package retry

import "sync"

// burst is the capacity of a budget in retries.
const burst = 10

// Budget is a token bucket: each request adds a fraction of a token and each retry takes one
// (Google, "Site Reliability Engineering", chapter 21).
type Budget struct {
	mu     sync.Mutex
	tokens float64
}

// NewBudget returns a full budget.
func NewBudget() *Budget { return &Budget{tokens: burst} }

// Earn adds percent/100 tokens for a request.
func (b *Budget) Earn(percent int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.tokens = min(burst, b.tokens+float64(percent)/100)
}

// Spend takes a token for a retry, and returns false if there is none.
func (b *Budget) Spend() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// Budgets holds a budget per customer.
type Budgets struct {
	mu  sync.Mutex
	all map[string]*Budget
}

// NewBudgets returns an empty set of budgets.
func NewBudgets() *Budgets { return &Budgets{all: map[string]*Budget{}} }

// Of returns a customer's budget and creates it if necessary. Customers come from the settings,
// so their number is bounded.
func (b *Budgets) Of(customer string) *Budget {
	b.mu.Lock()
	defer b.mu.Unlock()
	budget, ok := b.all[customer]
	if !ok {
		budget = NewBudget()
		b.all[customer] = budget
	}
	return budget
}
