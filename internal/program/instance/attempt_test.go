package instance_test

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"tamarackrun/internal/standin/fleet"
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
