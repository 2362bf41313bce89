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

// Guards against a failure domain without relays, and against a change of more
// relays than those that failed, which would move many watches at once.
func TestRelaysChangeLittle(t *testing.T) {
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
		for _, r := range before {
			if r != members[lost].Listing.Name && !slices.Contains(after, r) {
				t.Errorf("relay %s changed when %s was lost", r, members[lost].Listing.Name)
			}
		}
		watching := 0
		for _, m := range members {
			if m.Reachable && WatchesManifest(members, m.Listing.Name, "d") {
				watching++
			}
		}
		if diff := cmp.Diff(min(Count, len(members)-1), watching); diff != "" {
			t.Errorf("watches (-want +got):\n%s", diff)
		}
	})
}
