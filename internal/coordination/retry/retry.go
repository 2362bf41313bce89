// Package retry bounds the repeated dispatches of one instance, so that retries
// do not multiply the load when many requests fail.
package retry

import (
	"cmp"
	"sync"
	"time"
)

const (
	// window is the time over which the budget counts, in seconds.
	window = 10
	// part is the number of requests that allow one retry.
	part = 10
	// minimum is the number of retries that are always allowed in a window.
	minimum = 10
)

// Budget allows retries up to a part of the requests of the latest 10 s, and at
// least a minimum. It is safe for concurrent use.
type Budget struct {
	// Ratio is the part of the requests, 10% if it is 0, and Minimum the
	// number of retries that are allowed in any case, 10 if it is 0. They are
	// set before the first Request.
	Ratio   float64
	Minimum int

	mu sync.Mutex
	// seconds holds the counts of the latest seconds, by second modulo window.
	seconds [window]second
}

type second struct {
	number            int64
	requests, retries int
}

func (b *Budget) at(now time.Duration) *second {
	number := int64(now / time.Second)
	s := &b.seconds[number%window]
	if s.number != number {
		*s = second{number: number}
	}
	return s
}

// Request counts a request of a caller.
func (b *Budget) Request(now time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.at(now).requests++
}

// Retry takes one retry from the budget if it allows one.
func (b *Budget) Retry(now time.Duration) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	current := b.at(now)
	requests, retries := 0, 0
	for _, s := range b.seconds {
		if current.number-s.number < window {
			requests += s.requests
			retries += s.retries
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
