package instance_test

import (
	"sort"
	"strings"
	"testing"

	"tamarackrun"
	"tamarackrun/internal/standin/fleet"
)

// Look-up answers must not name an instance that does not answer heartbeats, is
// leaving or was stopped, and must name it again when it is back.
func TestLookupFollowsTheRoster(t *testing.T) {
	t.Parallel()
	f := startFleet(t, fleet.Options{})
	expect := func(names string) {
		t.Helper()
		awaitCondition(t, "an answer with "+names, func() bool { return namesFromFirstInstance(t, f) == names })
	}
	expect("entry-1 entry-2 entry-3")
	expectSignaled(t, f.Instances[1].Pause())
	expect("entry-1 entry-3")
	expectSignaled(t, f.Instances[1].Resume())
	expect("entry-1 entry-2 entry-3")
	var list []tamarackrun.Listing
	for n, i := range f.Instances {
		l := i.Listing
		l.Leaving = n == 2
		list = append(list, l)
	}
	f.Platform.SetInstances(list)
	expect("entry-1 entry-2")
	f.PublishInstances()
	expect("entry-1 entry-2 entry-3")
	expectSignaled(t, f.Instances[2].Terminate())
	expect("entry-1 entry-2")
}

// namesFromFirstInstance returns the names in a look-up answer of the first
// instance.
func namesFromFirstInstance(t *testing.T, f *fleet.Fleet) string {
	answer, err := f.Caller("").Lookup(t.Context(), f.Instances[0].Listing.CallerAddress)
	if err != nil {
		return err.Error()
	}
	var names []string
	for _, i := range answer.Instances {
		names = append(names, i.Name)
	}
	sort.Strings(names)
	return strings.Join(names, " ")
}
