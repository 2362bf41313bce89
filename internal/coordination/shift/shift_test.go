package shift

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"tamarackrun/internal/standin/property"
)

func TestMain(m *testing.M) { property.Main(m) }

// Guards against server caps that sum to more or less than the region's cap.
func TestServerCapsSumToRegionCap(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		slots, n := rapid.IntRange(0, 500).Draw(t, "slots"), rapid.IntRange(1, 40).Draw(t, "n")
		regionCap := RegionCap(rapid.Float64Range(0, 1).Draw(t, "fraction"), slots)
		sum := 0
		for i := range n {
			serverCap := ServerCap(regionCap, i, n)
			if serverCap < regionCap/n || serverCap > regionCap/n+1 {
				t.Fatalf("server cap is %d, region cap %d for %d servers", serverCap, regionCap, n)
			}
			sum += serverCap
		}
		if sum != regionCap || regionCap > slots {
			t.Fatalf("server caps sum to %d, region cap is %d of %d slots", sum, regionCap, slots)
		}
	})
}

// Guards against a limit that grows faster than one slot in 2 s, grows without
// shifted requests, or stays above 0 while the server is slow.
func TestSlowStart(t *testing.T) {
	const serverCap = 4
	var slowStart SlowStart
	ms := time.Millisecond
	for range 10 {
		slowStart.Observe(0, 10*ms, false, false)
	}
	var limits []int
	for s := range 8 {
		now := time.Duration(s) * time.Second
		limits = append(limits, slowStart.Limit(now, serverCap))
		slowStart.Observe(now+ms, 100*ms, true, true)
		slowStart.Observe(now+ms, 15*ms, false, true)
	}
	limits = append(limits, slowStart.Limit(20*time.Second, serverCap))
	stopped := false
	for range 10 {
		stopped = stopped || slowStart.Observe(20*time.Second, 80*ms, false, true)
	}
	limits = append(limits,
		slowStart.Limit(21*time.Second, serverCap),
		slowStart.Limit(22*time.Second, serverCap),
		slowStart.Limit(90*time.Second, serverCap))
	if diff := cmp.Diff([]int{1, 1, 2, 2, 3, 3, 4, 4, 4, 0, 1, 1}, limits); diff != "" || !stopped {
		t.Errorf("shifted requests stopped: %v, limits (-want +got):\n%s", stopped, diff)
	}
}

// Guards against shifts that start after fewer than 3 refusals in a second, or that do
// not end 5 s after the last refusal.
func TestShiftTrigger(t *testing.T) {
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

// Guards against more bytes on a link than its rate and one second of burst allow,
// apart from the last request before the budget ran out.
func TestLinkBudget(t *testing.T) {
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
