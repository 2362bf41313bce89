package front

import (
	"sync"

	"tamarackrun/internal/coordination/retry"
	"tamarackrun/internal/state/sla"
)

// usedPart is the part of the users' retry budget that is used: requests that
// one instance counts in a window may arrive in the next one.
const usedPart = 0.7

// retries has the retry budget of each service. Its zero value is ready for use.
type retries struct {
	mu       sync.Mutex
	services map[string]*retry.Budget
	members  int
	terms    *sla.Terms
}

// divide takes the number of instances that share the budgets.
func (r *retries) divide(members int, t *sla.Terms) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if members == r.members && t == r.terms {
		return
	}
	r.members, r.terms = members, t
	for _, b := range r.services {
		b.Adjust(usedPart*t.RetryRatio, r.minimum(t))
	}
}

// minimum is the instance's part of the slack.
func (r *retries) minimum(t *sla.Terms) int {
	return max(1, int(usedPart*t.RetrySlack/float64(max(1, r.members))))
}

// of returns the budget of a service. Changed terms reach it with the next
// division, except for the window.
func (r *retries) of(service string, t *sla.Terms) *retry.Budget {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.services == nil {
		r.services = map[string]*retry.Budget{}
	}
	b := r.services[service]
	if b == nil {
		b = &retry.Budget{Ratio: usedPart * t.RetryRatio, Minimum: r.minimum(t), Window: t.RetryWindow}
		r.services[service] = b
	}
	return b
}
