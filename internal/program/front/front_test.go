package front

import (
	"math"
	"net/http"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"tamarackrun"
	"tamarackrun/internal/coordination/membership"
	"tamarackrun/internal/state/configuration"
	"tamarackrun/internal/state/sla"
	"tamarackrun/internal/transport/exchange"
)

// Guards against more retries by all instances together than the users allow in a
// window: a fraction of the requests plus a fixed number.
func TestRetryBudgetOfAllInstances(t *testing.T) {
	terms := sla.Terms{RetryRatio: 0.2, RetrySlack: 56}
	for _, test := range []struct{ members, requests int }{{1, 0}, {7, 10}, {7, 500}, {31, 1}, {31, 2000}} {
		retries := 0
		for range test.members {
			budgets := &retryBudgets{}
			budgets.setMembers(test.members, &terms)
			budget := budgets.forService("s", &terms)
			for range test.requests {
				budget.CountRequest(time.Minute)
			}
			for budget.AllowRetry(time.Minute) {
				retries++
			}
		}
		limit := terms.RetryRatio*float64(test.members*test.requests) + terms.RetrySlack
		if float64(retries) > limit {
			t.Errorf("%d instances with %d requests each made %d retries, want at most %.0f", test.members, test.requests, retries, limit)
		}
		if retries == 0 {
			t.Errorf("%d instances with %d requests each may not retry at all", test.members, test.requests)
		}
	}
}

// Guards against services of a split route whose share of the requests differs
// from their weight.
func TestSplitFollowsWeights(t *testing.T) {
	route := configuration.Route{Split: []configuration.WeightedService{{Service: "a", Weight: 90}, {Service: "b", Weight: 10}}}
	const n = 20_000
	counts := map[string]int{}
	for range n {
		counts[pickService(route)]++
	}
	// The bound is five standard deviations of the random draw.
	if got := float64(counts["b"]) / n; math.Abs(got-0.1) > 5*math.Sqrt(0.1*0.9/n) {
		t.Errorf("service b gets %.3f of the requests, want 0.100", got)
	}
	if got := pickService(configuration.Route{Service: "c"}); got != "c" {
		t.Errorf("a route without a split goes to %q", got)
	}
}

// Guards against the outcome "not run" for a request that a server may have run,
// and against retries of requests that must not run twice.
func TestAttempts(t *testing.T) {
	shed := exchange.Result{Outcome: tamarackrun.Refused(tamarackrun.ServerShed), Sent: true}
	lost := exchange.Result{Outcome: tamarackrun.Uncertain(tamarackrun.AnswerLost), Sent: true}
	unconnected := exchange.Result{Outcome: tamarackrun.Refused(tamarackrun.ConnectFailed)}
	failed := exchange.Result{Outcome: tamarackrun.Done, Status: http.StatusInternalServerError, Sent: true}
	served := exchange.Result{Outcome: tamarackrun.Done, Status: http.StatusOK, Sent: true}
	tests := map[string]struct {
		idempotent  bool
		results     []exchange.Result
		final       bool
		mayContinue bool
		outcome     tamarackrun.Outcome
		status      int
	}{
		"served": {false, []exchange.Result{served}, true, true, tamarackrun.Outcome{}, 200},
		"non-idempotent request whose answer is lost":              {false, []exchange.Result{lost}, true, true, lost.Outcome, 0},
		"non-idempotent request that is refused":                   {false, []exchange.Result{shed}, false, true, shed.Outcome, 0},
		"non-idempotent request that the server fails":             {false, []exchange.Result{failed}, true, true, tamarackrun.Outcome{}, 500},
		"idempotent request whose answer is lost, then refused":    {true, []exchange.Result{lost, shed}, false, false, lost.Outcome, 0},
		"idempotent request that one server fails and one refuses": {true, []exchange.Result{failed, shed}, false, false, shed.Outcome, 500},
		"idempotent request that one server fails and one serves":  {true, []exchange.Result{failed, served}, true, false, tamarackrun.Outcome{}, 200},
		"failed connections are not attempts":                      {true, []exchange.Result{unconnected, unconnected}, false, true, unconnected.Outcome, 0},
		"too many failed connections":                              {true, []exchange.Result{unconnected, unconnected, unconnected}, false, false, unconnected.Outcome, 0},
	}
	now := time.Now()
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			a := &attempts{request: &request{route: configuration.Route{Idempotent: test.idempotent, MaxAttempts: 2}, deadline: now.Add(time.Second)}}
			final := false
			for _, r := range test.results {
				final = a.add("server", r)
			}
			status := 0
			if a.answer != nil {
				status = a.answer.Status
			}
			if diff := cmp.Diff([]any{test.final, test.mayContinue, test.outcome, test.status}, []any{final, a.mayContinue(now), a.outcome, status}); diff != "" {
				t.Errorf("final, may continue, outcome and status (-want +got):\n%s", diff)
			}
		})
	}
}

// Guards against callers that are sent to an instance which needs another one for each request, and
// against look-ups that leave too few instances when many have lost their links.
func TestLookupsPreferInstancesWithLinks(t *testing.T) {
	member := func(name string, unreachable bool) membership.Member {
		return membership.Member{Name: name, ServersUnreachable: unreachable}
	}
	a, b, c, cut, cutToo := member("a", false), member("b", false), member("c", false), member("cut", true), member("cutToo", true)
	tests := map[string]struct{ members, want []membership.Member }{
		"all have links":      {[]membership.Member{a, b}, []membership.Member{a, b}},
		"one of three is cut": {[]membership.Member{a, b, cut}, []membership.Member{a, b}},
		"half is cut":         {[]membership.Member{a, cut}, []membership.Member{a}},
		"most are cut":        {[]membership.Member{a, cut, cutToo}, []membership.Member{a, cut, cutToo}},
		"all are cut":         {[]membership.Member{cut, cutToo}, []membership.Member{cut, cutToo}},
		"two of five are cut": {[]membership.Member{a, b, c, cut, cutToo}, []membership.Member{a, b, c}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			if diff := cmp.Diff(test.want, preferLinked(test.members)); diff != "" {
				t.Errorf("instances (-want +got):\n%s", diff)
			}
		})
	}
}
