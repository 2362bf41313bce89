// Package relay chooses the instances that watch the manifest for their
// failure domain and pass new versions on.
package relay

import (
	"sort"

	"tamarackrun/internal/coordination/rendezvous"

	"tamarackrun/internal/state/roster"
)

// Count is the number of relays of a failure domain: two may fail at the
// same time.
const Count = 3

// Choose returns the names of the relays of a failure domain among the
// members, best first. Instances with different member lists may choose
// different relays; a superfluous relay only reads more.
func Choose(members []roster.Member, domain string) []string {
	type ranked struct {
		name  string
		score uint64
	}
	var all []ranked
	for _, m := range members {
		if m.Serving() && m.Listing.FailureDomain == domain {
			all = append(all, ranked{m.Listing.Name, rendezvous.Score(domain, m.Listing.Name)})
		}
	}
	sort.Slice(all, func(i, j int) bool {
		if all[i].score != all[j].score {
			return all[i].score > all[j].score
		}
		return all[i].name < all[j].name
	})
	var names []string
	for _, r := range all[:min(Count, len(all))] {
		names = append(names, r.name)
	}
	return names
}

// WatchesManifest says whether an instance watches the manifest itself: relays do, and
// so does an instance whose failure domain has no relay that it can reach.
func WatchesManifest(members []roster.Member, self, domain string) bool {
	relays := Choose(members, domain)
	for _, r := range relays {
		if r == self {
			return true
		}
	}
	return len(relays) == 0
}
