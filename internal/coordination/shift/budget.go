package shift

import (
	"sync"
	"time"
)

// budgetBurst is the time of full use of a link that an idle one saves up.
const budgetBurst = time.Second

// LinkBudget is an entry instance's part of the bytes of one link between regions.
// The size of an answer is known only at its end, so spending may overdraw the
// budget; then nothing starts until it is made up. It is safe for concurrent
// use.
type LinkBudget struct {
	mu sync.Mutex
	// left is in bytes.
	left    float64
	updated time.Duration
	started bool
}

// LinkRate returns the bytes per second of one of n instances on a link.
func LinkRate(megabits, instances int) float64 {
	return float64(megabits) * 1e6 / 8 / float64(max(1, instances))
}

func (b *LinkBudget) refill(now time.Duration, rate float64) {
	burst := rate * budgetBurst.Seconds()
	if !b.started {
		b.left, b.started = burst, true
	}
	b.left = min(burst, b.left+rate*(now-b.updated).Seconds())
	b.updated = now
}

// Allows says whether a request may start.
func (b *LinkBudget) Allows(now time.Duration, rate float64) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.refill(now, rate)
	return b.left > 0
}

// Spend counts bytes that went over the link, in either direction.
func (b *LinkBudget) Spend(bytes int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.left -= float64(bytes)
}
