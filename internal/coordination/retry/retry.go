// Package retry bounds the repeated dispatches of one instance, so that retries
// do not multiply the load when many requests fail.
package retry

import (
	"cmp"
	"sync"
	"time"
)

const (
	// defaultWindow is the time over which a budget counts, and steps the number
	// of counts in it.
	defaultWindow = 10 * time.Second
	steps         = 10
	// part is the number of requests that allow one retry.
	part = 10
	// minimum is the number of retries that are always allowed in a window.
	minimum = 10
)

// Budget allows retries up to a part of the requests of a window, and at least a
// minimum. It is safe for concurrent use.
type Budget struct {
	// Ratio is the part of the requests, 10% if it is 0, and Minimum the
	// number of retries that are allowed in any case, 10 if it is 0. They are
	// set before the first Request and changed by Adjust.
	Ratio   float64
	Minimum int
	// Window is the time over which the budget counts, 10 s if it is 0.
	Window time.Duration

	mu sync.Mutex
	// counts are those of the latest steps, by step modulo steps.
	counts [steps]count
}

// count is that of one step of the window.
type count struct {
	number            int64
	requests, retries int
}

func (b *Budget) at(now time.Duration) *count {
	number := int64(now / (cmp.Or(b.Window, defaultWindow) / steps))
	c := &b.counts[number%steps]
	if c.number != number {
		*c = count{number: number}
	}
	return c
}

// CountRequest counts a request of a caller.
func (b *Budget) CountRequest(now time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.at(now).requests++
}

// Adjust changes the ratio and the minimum. What was counted stays counted.
func (b *Budget) Adjust(ratio float64, minimum int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.Ratio, b.Minimum = ratio, minimum
}

// AllowRetry takes one retry from the budget if it allows one.
func (b *Budget) AllowRetry(now time.Duration) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	current := b.at(now)
	requests, retries := 0, 0
	for _, c := range b.counts {
		if current.number-c.number < steps {
			requests += c.requests
			retries += c.retries
		}
	}
	if retries >= b.allowed(requests) {
		return false
	}
	current.retries++
	return true
}

func (b *Budget) allowed(requests int) int {
	if b.Ratio == 0 {
		return max(cmp.Or(b.Minimum, minimum), requests/part)
	}
	return max(cmp.Or(b.Minimum, minimum), int(b.Ratio*float64(requests)))
}
