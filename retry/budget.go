// Package retry bounds how many retries there are for the requests that came
// in, so that failures don't multiply the load that caused them.
package retry

import "sync"

// burst is how many retries may be saved up.
const burst = 10

// Budget earns a part of a retry with each request and spends a whole one with
// each retry (Google, "Site Reliability Engineering", chapter 21).
type Budget struct {
	mu    sync.Mutex
	saved float64
}

// NewBudget returns a budget that starts full.
func NewBudget() *Budget { return &Budget{saved: burst} }

// Earn counts a request that allows percent of a retry.
func (b *Budget) Earn(percent int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.saved = min(burst, b.saved+float64(percent)/100)
}

// Spend takes a retry out of the budget, and returns false if there is none.
func (b *Budget) Spend() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.saved < 1 {
		return false
	}
	b.saved--
	return true
}

// Budgets keeps a budget for each customer.
type Budgets struct {
	mu  sync.Mutex
	all map[string]*Budget
}

// NewBudgets returns budgets for customers yet to come.
func NewBudgets() *Budgets { return &Budgets{all: map[string]*Budget{}} }

// Of returns a customer's budget. Customers are known from the settings, so
// their number is bounded.
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
