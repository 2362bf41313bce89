// Package home assigns each backend server to one instance, its home, by
// rendezvous hashing. The home sends all requests to the server and enforces its
// slots.
package home

import (
	"tamarackrun/internal/coordination/rendezvous"
	"tamarackrun/internal/state/configuration"
	"tamarackrun/internal/state/roster"
)

// nearness ranks an instance by its distance from a backend server; lower is
// nearer.
type nearness int

const (
	sameDomain nearness = iota
	sameRegion
	otherRegion
)

// nearnessOf returns the nearness of two failure domains.
func nearnessOf(c *configuration.Snapshot, domain, other string) nearness {
	switch {
	case domain == other:
		return sameDomain
	case c.RegionOf(domain) == c.RegionOf(other):
		return sameRegion
	default:
		return otherRegion
	}
}

// Of returns the name of the home of a server: the member with the highest score
// among the nearest serving members. It returns "" if no member serves.
func Of(c *configuration.Snapshot, server configuration.Server, members []roster.Member) string {
	best, bestNear, bestScore := "", otherRegion+1, uint64(0)
	for _, m := range members {
		if !m.Serving() {
			continue
		}
		near, score := nearnessOf(c, server.Domain, m.Listing.FailureDomain), rendezvous.Score(server.Name, m.Listing.Name)
		if near < bestNear || near == bestNear && score > bestScore {
			best, bestNear, bestScore = m.Listing.Name, near, score
		}
	}
	return best
}
