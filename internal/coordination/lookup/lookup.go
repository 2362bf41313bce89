// Package lookup chooses the entry instances of a caller.
package lookup

import (
	"net/netip"
	"sort"

	"github.com/cespare/xxhash/v2"

	"tamarackrun/internal/state/configuration"
	"tamarackrun/internal/state/roster"
)

// Answer is the answer to a look-up.
type Answer struct {
	Instances []Instance `json:"instances"`
	// LifetimeMillis is how long the caller may use the answer.
	LifetimeMillis int64 `json:"lifetimeMillis"`
}

// Instance is one entry instance, best first.
type Instance struct {
	Name    string `json:"name"`
	Address string `json:"address"`
}

// Choose returns the serving instances in the order in which the client should
// try them: the site's failure domain, then its region, then the others, each
// group spread by rendezvous hashing over client blocks.
func Choose(c *configuration.Snapshot, members []roster.Member, client netip.Addr) Answer {
	domain, block := siteOf(c, client)
	type ranked struct {
		instance Instance
		near     int
		score    uint64
	}
	var all []ranked
	for _, m := range members {
		if !m.Serving() || m.State.CutOff {
			continue
		}
		near := 2
		switch {
		case m.Listing.FailureDomain == domain:
			near = 0
		case c.RegionOf(m.Listing.FailureDomain) == c.RegionOf(domain):
			near = 1
		}
		all = append(all, ranked{Instance{m.Listing.Name, m.Listing.CallerAddress}, near,
			xxhash.Sum64String(block.String() + "\x00" + m.Listing.Name)})
	}
	sort.Slice(all, func(i, j int) bool {
		if all[i].near != all[j].near {
			return all[i].near < all[j].near
		}
		return all[i].score > all[j].score
	})
	answer := Answer{LifetimeMillis: c.Fleet.LookupLifetime.Milliseconds(), Instances: []Instance{}}
	for _, r := range all {
		answer.Instances = append(answer.Instances, r.instance)
	}
	return answer
}

// siteOf returns the failure domain and the most specific block of a client.
func siteOf(c *configuration.Snapshot, client netip.Addr) (domain string, block netip.Prefix) {
	best := -1
	for _, l := range c.Clients {
		for _, p := range l.Blocks {
			if p.Contains(client) && p.Bits() > best {
				best, block, domain = p.Bits(), p, c.Sites[l.Site].Domain
			}
		}
	}
	if best < 0 {
		block, _ = client.Prefix(client.BitLen())
	}
	return domain, block
}
