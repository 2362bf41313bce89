// Package rate limits the requests of organisations.
package rate

import (
	"sync"
	"time"

	"tamarackrun"
)

// Bucket is a token bucket. It is safe for concurrent use.
type Bucket struct {
	Clock tamarackrun.Clock

	mu     sync.Mutex
	rate   float64
	burst  float64
	tokens float64
	last   time.Duration
}

// New returns an empty bucket, so that a new share adds nothing to what was
// admitted before.
func New(rate, burst float64, clock tamarackrun.Clock) *Bucket {
	return &Bucket{Clock: clock, rate: rate, burst: burst, last: clock.Now()}
}

// SetShare changes the rate in requests per second and the burst in requests.
func (b *Bucket) SetShare(rate, burst float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.refill()
	b.rate, b.burst = rate, burst
	b.tokens = min(b.tokens, burst)
}

// Take takes one token if there is one.
func (b *Bucket) Take() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.refill()
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

func (b *Bucket) refill() {
	now := b.Clock.Now()
	b.tokens = min(b.burst, b.tokens+b.rate*(now-b.last).Seconds())
	b.last = now
}
