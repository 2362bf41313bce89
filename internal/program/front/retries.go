package front

import (
	"sync"

	"tamarackrun/internal/coordination/retry"
	"tamarackrun/internal/state/sla"
)

// usedFraction is the part of the users' retry budget that instances use. The rest
// is a reserve, since requests that one instance counts in a window may arrive in
// the next one.
const usedFraction = 0.7

// retryBudgets holds the instance's share of the retry budget of each service. Its
// zero value is ready for use.
type retryBudgets struct {
	mu sync.Mutex
	// budgets holds the budget of each service by name.
	budgets map[string]*retry.Budget
	// members is the number of instances that share each budget.
	members int
	terms   *sla.Terms
}

// setMembers sets the number of instances that share the budgets and the terms
// in force.
func (r *retryBudgets) setMembers(members int, t *sla.Terms) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if members == r.members && t == r.terms {
		return
	}
	r.members, r.terms = members, t
	for _, b := range r.budgets {
		b.Adjust(usedFraction*t.RetryRatio, r.minimum(t))
	}
}

// minimum returns the instance's share of the retries that are allowed regardless
// of the number of requests.
func (r *retryBudgets) minimum(t *sla.Terms) int {
	return max(1, int(usedFraction*t.RetrySlack/float64(max(1, r.members))))
}

// forService returns the budget of a service. Changed terms reach an existing
// budget with the next setMembers, except for the window, which stays.
func (r *retryBudgets) forService(service string, t *sla.Terms) *retry.Budget {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.budgets == nil {
		r.budgets = map[string]*retry.Budget{}
	}
	b := r.budgets[service]
	if b == nil {
		b = &retry.Budget{Ratio: usedFraction * t.RetryRatio, Minimum: r.minimum(t), Window: t.RetryWindow}
		r.budgets[service] = b
	}
	return b
}
