// Package home places each backend server on one instance by rendezvous
// hashing.
package home

import (
	"tamarackrun/internal/coordination/rendezvous"

	"tamarackrun/internal/state/configuration"
	"tamarackrun/internal/state/roster"
)

// Nearness ranks instances for a backend server; lower is nearer.
type nearness int

const (
	sameDomain nearness = iota
	sameRegion
	otherRegion
)

func near(c *configuration.Snapshot, domain, other string) nearness {
	switch {
	case domain == other:
		return sameDomain
	case c.RegionOf(domain) == c.RegionOf(other):
		return sameRegion
	default:
		return otherRegion
	}
}

// Of returns the name of the home of a server among the serving members, or ""
// if there is none.
func Of(c *configuration.Snapshot, server configuration.Server, members []roster.Member) string {
	best, bestNear, bestScore := "", otherRegion+1, uint64(0)
	for _, m := range members {
		if !m.Serving() {
			continue
		}
		n, s := near(c, server.Domain, m.Listing.FailureDomain), rendezvous.Score(server.Name, m.Listing.Name)
		if n < bestNear || n == bestNear && s > bestScore {
			best, bestNear, bestScore = m.Listing.Name, n, s
		}
	}
	return best
}
