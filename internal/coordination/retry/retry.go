// Package retry bounds the repeated dispatches of one instance, so that retries
// do not multiply the load when many requests fail.
package retry

import (
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

// Budget allows retries up to 10% of the requests of the latest 10 s, and at
// least 10. It is safe for concurrent use.
type Budget struct {
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
	if retries >= max(minimum, requests/part) {
		return false
	}
	current.retries++
	return true
}
