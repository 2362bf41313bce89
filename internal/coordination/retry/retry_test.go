package retry

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"tamarackrun/internal/standin/property"
)

func TestMain(m *testing.M) { property.Main(m) }

// Guards against more retries in 10 s than 10% of the requests, or than 10 if that
// is more, and against a budget that refuses a retry within that limit.
func TestBudget(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var b Budget
		var requests, retries []time.Duration
		within := func(times []time.Duration, now time.Duration) (n int) {
			for _, at := range times {
				if now/time.Second-at/time.Second < stepCount {
					n++
				}
			}
			return n
		}
		now := time.Duration(rapid.IntRange(0, 100).Draw(t, "start")) * time.Second
		for range rapid.IntRange(0, 60).Draw(t, "steps") {
			now += time.Duration(rapid.IntRange(0, 1500).Draw(t, "ms")) * time.Millisecond
			for range rapid.IntRange(0, 60).Draw(t, "requests") {
				b.CountRequest(now)
				requests = append(requests, now)
			}
			for range rapid.IntRange(0, 20).Draw(t, "retries") {
				allowed := within(retries, now) < max(defaultMinimum, within(requests, now)/requestsPerRetry)
				if got := b.AllowRetry(now); got != allowed {
					t.Fatalf("retry allowed %v, want %v", got, allowed)
				}
				if allowed {
					retries = append(retries, now)
				}
			}
		}
	})
}

// Guards against budgets that forget the counted retries with each change of the
// fleet or of the settings.
func TestAdjustKeepsCounts(t *testing.T) {
	b := Budget{Ratio: 0.1, Minimum: 10}
	for range 8 {
		b.AllowRetry(0)
	}
	b.Adjust(0.1, 5)
	if b.AllowRetry(0) {
		t.Error("a retry is allowed beyond a smaller minimum")
	}
	b.Adjust(0.1, 9)
	if !b.AllowRetry(0) || b.AllowRetry(0) {
		t.Error("the budget does not count the retries before the change")
	}
}

// Guards against a budget that ignores a window other than the default one.
func TestBudgetWithOwnWindow(t *testing.T) {
	b := Budget{Ratio: 0.1, Minimum: 1, Window: 20 * time.Second}
	if !b.AllowRetry(0) || b.AllowRetry(19*time.Second) || !b.AllowRetry(20*time.Second) {
		t.Error("the budget does not count over 20 s")
	}
}
