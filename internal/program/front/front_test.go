package front

import (
	"math"
	"testing"
	"time"

	"tamarackrun/internal/state/configuration"
	"tamarackrun/internal/state/terms"
)

// Guards against more repeats than the users allow over all instances, which is
// a part of the requests plus a number, in any window.
func TestFleetKeepsRetryBudget(t *testing.T) {
	bounds := terms.Terms{RetryRatio: 0.2, RetrySlack: 56}
	for _, test := range []struct{ members, requests int }{{1, 0}, {7, 10}, {7, 500}, {31, 1}, {31, 2000}} {
		repeats := 0
		for range test.members {
			r := &retries{}
			r.divide(test.members)
			budget := r.of("s", &bounds)
			for range test.requests {
				budget.Request(time.Minute)
			}
			for budget.Retry(time.Minute) {
				repeats++
			}
		}
		most := bounds.RetryRatio*float64(test.members*test.requests) + bounds.RetrySlack
		if float64(repeats) > most {
			t.Errorf("%d instances with %d requests each repeat %d, at most %.0f", test.members, test.requests, repeats, most)
		}
		if repeats == 0 {
			t.Errorf("%d instances with %d requests each may not repeat any", test.members, test.requests)
		}
	}
}

// Guards against parts of a split that get another share than their weight.
func TestSplitFollowsWeights(t *testing.T) {
	route := configuration.Route{Split: []configuration.Part{{Service: "a", Weight: 90}, {Service: "b", Weight: 10}}}
	const n = 20_000
	counts := map[string]int{}
	for range n {
		counts[pickPart(route)]++
	}
	// Five standard deviations of the draw.
	if got := float64(counts["b"]) / n; math.Abs(got-0.1) > 5*math.Sqrt(0.1*0.9/n) {
		t.Errorf("part b gets %.3f, want 0.100", got)
	}
	if got := pickPart(configuration.Route{Service: "c"}); got != "c" {
		t.Errorf("a route without a split goes to %q", got)
	}
}
