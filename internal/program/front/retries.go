package front

import (
	"sync"

	"tamarackrun/internal/coordination/retry"
	"tamarackrun/internal/state/terms"
)

// usedPart is the part of the users' retry budget that is used: requests that
// one instance counts in a window may arrive in the next one.
const usedPart = 0.7

// retries has the retry budget of each service. Its zero value is ready for use.
type retries struct {
	mu       sync.Mutex
	services map[string]*retry.Budget
	members  int
}

// divide takes the number of instances that share the budgets.
func (r *retries) divide(members int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if members != r.members {
		// The minimum of each instance depends on the number.
		r.members, r.services = members, nil
	}
}

// of returns the budget of a service.
func (r *retries) of(service string, t *terms.Terms) *retry.Budget {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.services == nil {
		r.services = map[string]*retry.Budget{}
	}
	b := r.services[service]
	if b == nil {
		least := usedPart * t.RetrySlack / float64(max(1, r.members))
		b = &retry.Budget{Ratio: usedPart * t.RetryRatio, Minimum: max(1, int(least))}
		r.services[service] = b
	}
	return b
}
