package relay

import (
	"fmt"
	"slices"
	"testing"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"tamarackrun"
	"tamarackrun/internal/protocol/wire"
	"tamarackrun/internal/state/roster"
)

// Guards against a failure domain with too few relays, and against a lost instance
// that changes relays which did not fail, which would move many watches at once.
func TestOnlyLostRelayIsReplaced(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var members []roster.Member
		for n := range rapid.IntRange(1, 30).Draw(t, "members") {
			members = append(members, roster.Member{Reachable: true,
				Listing: tamarackrun.Listing{Name: fmt.Sprintf("entry-%d", n), FailureDomain: "d"},
				State:   &wire.PeerState{Phase: roster.Ready}})
		}
		before := Choose(members, "d")
		if diff := cmp.Diff(min(Count, len(members)), len(before)); diff != "" {
			t.Fatalf("relays (-want +got):\n%s", diff)
		}
		lost := rapid.IntRange(0, len(members)-1).Draw(t, "lost")
		members[lost].Reachable = false
		after := Choose(members, "d")
		for _, relay := range before {
			if relay != members[lost].Listing.Name && !slices.Contains(after, relay) {
				t.Errorf("relay %s changed when %s was lost", relay, members[lost].Listing.Name)
			}
		}
		watching := 0
		for _, m := range members {
			if m.Reachable && WatchesManifest(members, m.Listing.Name, "d") {
				watching++
			}
		}
		if diff := cmp.Diff(min(Count, len(members)-1), watching); diff != "" {
			t.Errorf("instances that watch the manifest (-want +got):\n%s", diff)
		}
	})
}
