// Package relay chooses the instances (relays) that watch the configuration manifest
// for their failure domain and forward new versions to its other instances.
package relay

import (
	"sort"

	"tamarackrun/internal/coordination/rendezvous"
	"tamarackrun/internal/state/roster"
)

// Count is the number of relays of a failure domain. With 3, two may fail at the
// same time.
const Count = 3

// Choose returns the names of the relays of a failure domain, the one with the
// highest rendezvous score first. Instances with different member lists may choose
// different relays; the only effect of an additional relay is more reads.
func Choose(members []roster.Member, domain string) []string {
	type candidate struct {
		name  string
		score uint64
	}
	var candidates []candidate
	for _, m := range members {
		if m.Serving() && m.Listing.FailureDomain == domain {
			candidates = append(candidates, candidate{m.Listing.Name, rendezvous.Score(domain, m.Listing.Name)})
		}
	}
	sort.Slice(candidates, func(i, j int) bool {
		if candidates[i].score != candidates[j].score {
			return candidates[i].score > candidates[j].score
		}
		return candidates[i].name < candidates[j].name
	})
	var names []string
	for _, c := range candidates[:min(Count, len(candidates))] {
		names = append(names, c.name)
	}
	return names
}

// WatchesManifest reports whether the instance self watches the manifest itself.
// Relays do, and so does an instance that can reach no relay of its failure domain.
func WatchesManifest(members []roster.Member, self, domain string) bool {
	relays := Choose(members, domain)
	for _, r := range relays {
		if r == self {
			return true
		}
	}
	return len(relays) == 0
}
