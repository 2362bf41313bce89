package shift

import (
	"sync"
	"time"
)

// burstTime is the time whose bytes an idle link accumulates as a burst.
const burstTime = time.Second

// LinkBudget limits the bytes that an entry instance sends over one link between
// regions, as a token bucket. The size of an answer is known only at its end, so
// the budget may become negative; then no request starts until it is positive
// again. It is safe for concurrent use.
type LinkBudget struct {
	mu sync.Mutex
	// available is the number of bytes left.
	available float64
	// updated is the time up to which available was refilled.
	updated time.Duration
	// started is true once available holds the first burst.
	started bool
}

// LinkRate returns the bytes per second that each of a number of instances may use
// of a link.
func LinkRate(megabits, instances int) float64 {
	return float64(megabits) * 1e6 / 8 / float64(max(1, instances))
}

// refill adds the bytes since the last call. The caller holds b.mu.
func (b *LinkBudget) refill(now time.Duration, rate float64) {
	burst := rate * burstTime.Seconds()
	if !b.started {
		b.available, b.started = burst, true
	}
	b.available = min(burst, b.available+rate*(now-b.updated).Seconds())
	b.updated = now
}

// Allows reports whether a request may start. rate is in bytes per second.
func (b *LinkBudget) Allows(now time.Duration, rate float64) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.refill(now, rate)
	return b.available > 0
}

// Spend deducts bytes that went over the link, in either direction.
func (b *LinkBudget) Spend(bytes int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.available -= float64(bytes)
}
