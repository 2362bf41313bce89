package instance_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"tamarackrun/internal/standin/fleet"
	"tamarackrun/internal/standin/server"
)

// After the death of a home, the other instances must send requests to other
// backend servers at once. In the demo, 61 of 480 requests were refused as
// homeUnreachable until the heartbeats detected the death, because each of them
// took a retry from the budget.
func TestDeadHomeIsAvoidedAtOnce(t *testing.T) {
	t.Parallel()
	f := startFleet(t, fleet.Options{Regions: []int{3}})
	awaitShares(t, f, 3)
	c := f.Caller("tea")
	f.Instances[1].Kill()
	outcomes := map[string]int{}
	for end := time.Now().Add(3 * time.Second); time.Now().Before(end); {
		r := c.SendTo(t.Context(), f.Instances[0].Listing.CallerAddress, "GET", "/browse/1", nil, nil)
		outcomes[r.Outcome+r.Reason]++
	}
	ran := outcomes["ran"]
	delete(outcomes, "ran")
	if diff := cmp.Diff(map[string]int{}, outcomes); diff != "" || ran < 100 {
		t.Errorf("%d requests ran; others (-want +got):\n%s", ran, diff)
	}
}

// A request whose first attempt may have run, and whose second one was refused, must not be reported
// as not run: the refusal says nothing about the first attempt.
func TestRefusalAfterLostAttemptIsUnknown(t *testing.T) {
	t.Parallel()
	f := startFleet(t, fleet.Options{Instances: 1, Regions: []int{1}, Services: []fleet.Service{
		{Name: "browse", Servers: 2, Slots: 3, Route: "methods = GET\nidempotent = yes\nattempts = 2"}}})
	f.Servers["browse-01"].SetFaults(server.Faults{DropAnswers: 1000})
	f.Servers["browse-02"].SetFaults(server.Faults{ShedAll: true})
	c := f.Caller("tea")
	unknown := 0
	for n := range 12 {
		target := fmt.Sprintf("/browse/%d", n)
		r := c.SendTo(t.Context(), f.Instances[0].Listing.CallerAddress, "GET", target, nil, nil)
		ran := false
		for _, e := range f.Servers["browse-01"].Record().Executions {
			ran = ran || e.Target == target
		}
		if ran && r.Outcome != "unknown" {
			t.Errorf("request %d ran and its outcome is %s %s, want unknown", n, r.Outcome, r.Reason)
		}
		if ran {
			unknown++
		}
	}
	if unknown == 0 {
		t.Error("no request ran")
	}
}
