package front

import (
	"math"
	"net/http"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"tamarackrun"
	"tamarackrun/internal/state/configuration"
	"tamarackrun/internal/state/sla"
	"tamarackrun/internal/transport/exchange"
)

// Guards against more repeats than the users allow over all instances, which is
// a part of the requests plus a number, in any window.
func TestFleetKeepsRetryBudget(t *testing.T) {
	bounds := sla.Terms{RetryRatio: 0.2, RetrySlack: 56}
	for _, test := range []struct{ members, requests int }{{1, 0}, {7, 10}, {7, 500}, {31, 1}, {31, 2000}} {
		repeats := 0
		for range test.members {
			r := &retries{}
			r.divide(test.members, &bounds)
			budget := r.of("s", &bounds)
			for range test.requests {
				budget.CountRequest(time.Minute)
			}
			for budget.AllowRetry(time.Minute) {
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
	route := configuration.Route{Split: []configuration.WeightedService{{Service: "a", Weight: 90}, {Service: "b", Weight: 10}}}
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

// Guards against a refusal "not run" of a request that some server may have run,
// and against repeats of requests that must not run twice.
func TestAttempts(t *testing.T) {
	shed := exchange.Reply{Outcome: tamarackrun.Refused(tamarackrun.ServerShed), Sent: true}
	lost := exchange.Reply{Outcome: tamarackrun.Uncertain(tamarackrun.AnswerLost), Sent: true}
	missed := exchange.Reply{Outcome: tamarackrun.Refused(tamarackrun.ConnectFailed)}
	broken := exchange.Reply{Outcome: tamarackrun.Done, Status: http.StatusInternalServerError, Sent: true}
	served := exchange.Reply{Outcome: tamarackrun.Done, Status: http.StatusOK, Sent: true}
	tests := map[string]struct {
		idempotent bool
		replies    []exchange.Reply
		decided    bool
		left       bool
		outcome    tamarackrun.Outcome
		status     int
	}{
		"served":                               {false, []exchange.Reply{served}, true, true, tamarackrun.Outcome{}, 200},
		"order that is lost":                   {false, []exchange.Reply{lost}, true, true, lost.Outcome, 0},
		"order that is refused":                {false, []exchange.Reply{shed}, false, true, shed.Outcome, 0},
		"order that its server failed":         {false, []exchange.Reply{broken}, true, true, tamarackrun.Outcome{}, 500},
		"read that is lost and then refused":   {true, []exchange.Reply{lost, shed}, false, false, lost.Outcome, 0},
		"read that is failed and then refused": {true, []exchange.Reply{broken, shed}, false, false, shed.Outcome, 500},
		"read that is failed and then served":  {true, []exchange.Reply{broken, served}, true, false, tamarackrun.Outcome{}, 200},
		"misses don't use up attempts":         {true, []exchange.Reply{missed, missed}, false, true, missed.Outcome, 0},
		"too many misses":                      {true, []exchange.Reply{missed, missed, missed}, false, false, missed.Outcome, 0},
	}
	now := time.Now()
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			a := &attempts{order: &order{route: configuration.Route{Idempotent: test.idempotent, MaxAttempts: 2}, deadline: now.Add(time.Second)}}
			decided := false
			for _, r := range test.replies {
				decided = a.note("server", r)
			}
			status := 0
			if a.answer != nil {
				status = a.answer.Status
			}
			if diff := cmp.Diff([]any{test.decided, test.left, test.outcome, test.status}, []any{decided, a.left(now), a.outcome, status}); diff != "" {
				t.Errorf("decided, left, outcome and status (-want +got):\n%s", diff)
			}
		})
	}
}
