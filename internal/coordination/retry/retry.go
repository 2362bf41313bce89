// Package retry limits the retries that one instance sends, so that they do not
// multiply the load when many requests fail.
package retry

import (
	"cmp"
	"sync"
	"time"
)

const (
	// defaultWindow is the length of the sliding window of a budget, and stepCount
	// the number of steps into which the window is divided.
	defaultWindow = 10 * time.Second
	stepCount     = 10
	// requestsPerRetry is the number of requests that allow one retry if no ratio
	// is set.
	requestsPerRetry = 10
	// defaultMinimum is the number of retries that are always allowed in a window
	// if no minimum is set.
	defaultMinimum = 10
)

// Budget limits the retries in a sliding window to a fraction of the requests in the
// window, but always allows a minimum number. It is safe for concurrent use.
type Budget struct {
	// Ratio is the number of retries allowed per request, 0.1 if it is 0. Minimum
	// is the number of retries that are always allowed, 10 if it is 0. Both are
	// set before the first CountRequest and changed by Adjust.
	Ratio   float64
	Minimum int
	// Window is the length of the sliding window, 10 s if it is 0.
	Window time.Duration

	mu sync.Mutex
	// counts holds the counts of the latest steps, by step number modulo stepCount.
	counts [stepCount]stepCounts
}

// stepCounts holds the counts of one step of the window.
type stepCounts struct {
	// step is the number of the step since time 0.
	step              int64
	requests, retries int
}

// current returns the counts of the current step. The caller holds b.mu.
func (b *Budget) current(now time.Duration) *stepCounts {
	step := int64(now / (cmp.Or(b.Window, defaultWindow) / stepCount))
	c := &b.counts[step%stepCount]
	if c.step != step {
		*c = stepCounts{step: step}
	}
	return c
}

// CountRequest counts a request of a caller, which raises the number of allowed
// retries.
func (b *Budget) CountRequest(now time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.current(now).requests++
}

// Adjust changes the ratio and the minimum. The counts of the window are kept.
func (b *Budget) Adjust(ratio float64, minimum int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.Ratio, b.Minimum = ratio, minimum
}

// AllowRetry reports whether the budget allows a retry now, and counts the retry if
// so.
func (b *Budget) AllowRetry(now time.Duration) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	current := b.current(now)
	requests, retries := 0, 0
	for _, c := range b.counts {
		if current.step-c.step < stepCount {
			requests += c.requests
			retries += c.retries
		}
	}
	if retries >= b.limit(requests) {
		return false
	}
	current.retries++
	return true
}

// limit returns the number of retries allowed in a window with the given number of
// requests.
func (b *Budget) limit(requests int) int {
	if b.Ratio == 0 {
		return max(cmp.Or(b.Minimum, defaultMinimum), requests/requestsPerRetry)
	}
	return max(cmp.Or(b.Minimum, defaultMinimum), int(b.Ratio*float64(requests)))
}
