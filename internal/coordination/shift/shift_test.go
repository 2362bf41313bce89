package shift

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"tamarackrun/internal/standin/property"
)

func TestMain(m *testing.M) { property.Main(m) }

// Guards against parts that sum to more than the cap or leave some of it unused.
func TestPartsSumToCap(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		slots, n := rapid.IntRange(0, 500).Draw(t, "slots"), rapid.IntRange(1, 40).Draw(t, "n")
		limit := RegionCap(rapid.Float64Range(0, 1).Draw(t, "fraction"), slots)
		sum := 0
		for i := range n {
			part := ServerCap(limit, i, n)
			if part < limit/n || part > limit/n+1 {
				t.Fatalf("part %d of %d/%d", part, limit, n)
			}
			sum += part
		}
		if sum != limit || limit > slots {
			t.Fatalf("parts sum to %d, cap is %d of %d", sum, limit, slots)
		}
	})
}

// Guards against a part that opens faster than one slot in 2 s, opens without
// use, or stays open while the server is slow.
func TestOpening(t *testing.T) {
	const part = 4
	var o SlowStart
	ms := time.Millisecond
	for range 10 {
		o.Observe(0, 10*ms, false, false)
	}
	var limits []int
	for s := range 8 {
		now := time.Duration(s) * time.Second
		limits = append(limits, o.Limit(now, part))
		o.Observe(now+ms, 100*ms, true, true)
		o.Observe(now+ms, 15*ms, false, true)
	}
	limits = append(limits, o.Limit(20*time.Second, part))
	closed := false
	for range 10 {
		closed = closed || o.Observe(20*time.Second, 80*ms, false, true)
	}
	limits = append(limits, o.Limit(21*time.Second, part), o.Limit(22*time.Second, part), o.Limit(90*time.Second, part))
	if diff := cmp.Diff([]int{1, 1, 2, 2, 3, 3, 4, 4, 4, 0, 1, 1}, limits); diff != "" || !closed {
		t.Errorf("closed %v, limits (-want +got):\n%s", closed, diff)
	}
}

// Guards against shifts after single refusals, and shifts that do not end.
func TestTrigger(t *testing.T) {
	s := time.Second
	for _, c := range []struct {
		name     string
		refusals []time.Duration
		now      time.Duration
		want     bool
	}{
		{"two refusals", []time.Duration{0, 0}, 0, false},
		{"three in a second", []time.Duration{0, s / 2, s}, s, true},
		{"three in more than a second", []time.Duration{0, s / 2, s + 1}, s + 1, false},
		{"before the pause", []time.Duration{0, 0, 0}, 5*s - 1, true},
		{"after the pause", []time.Duration{0, 0, 0}, 5 * s, false},
		{"prolonged", []time.Duration{0, 0, 0, 4 * s}, 8 * s, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			var trigger Trigger
			for _, at := range c.refusals {
				trigger.RecordRefusal(at)
			}
			if diff := cmp.Diff(c.want, trigger.Shifting(c.now)); diff != "" {
				t.Errorf("shifting (-want +got):\n%s", diff)
			}
		})
	}
}

// Guards against more bytes on a link than its rate and one second of burst, but
// for the answers that were running when the budget ran out.
func TestBudget(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const rate = 1000
		var b LinkBudget
		var now time.Duration
		spent, largest := 0, 0
		for range rapid.IntRange(1, 100).Draw(t, "steps") {
			now += time.Duration(rapid.IntRange(0, 2000).Draw(t, "ms")) * time.Millisecond
			if b.Allows(now, rate) {
				n := rapid.IntRange(0, 5000).Draw(t, "bytes")
				b.Spend(n)
				spent, largest = spent+n, max(largest, n)
			}
			if limit := rate*(now.Seconds()+1) + float64(largest); float64(spent) > limit {
				t.Fatalf("%d bytes in %v, limit %.0f", spent, now, limit)
			}
		}
	})
}
