// Package directory chooses the instances that callers of a region are sent to. A large fleet
// has more instances than the callers need. With fewer of them in use, connections to backend
// servers are used again and each instance sees more of a server's load.
package directory

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"tamarackrun/internal/coordination/membership"
)

const (
	// targetRate is the rate of callers' requests that an instance is meant to get, in
	// requests per second. It leaves room for bursts until the number has grown.
	targetRate = 75
	// minInstances is the number of instances of a failure domain that callers are always
	// sent to, if it has as many.
	minInstances = 2
	// initialFraction is the part of a failure domain's instances that callers are sent to
	// until the load is known.
	initialFraction = 0.5
	// minSpread is the number of instances of a failure domain up to which all are used
	// until the load is known.
	minSpread = 6
	// shrinkPause is the time between two reductions of the number of instances, each by
	// shrinkFraction. Callers that were sent to an instance use it for some seconds more.
	shrinkPause    = 2 * time.Second
	shrinkFraction = 0.8
	// learnTime is how long the load must be known before the number is reduced.
	learnTime = 4 * time.Second
)

// Selector chooses the instances of one region. Its zero value is ready for use. It is not
// safe for concurrent use.
type Selector struct {
	// perDomain is the number of instances of each failure domain; 0 before the first call.
	perDomain int
	// firstLoad is when a load was known first, and lastShrink when perDomain was reduced last.
	firstLoad, lastShrink time.Time
}

// Choose returns the chosen ones of the region's serving instances. Instances keep their order
// by hash within their failure domain, so that few callers move when one joins or leaves.
func (s *Selector) Choose(now time.Time, serving []membership.Member) []membership.Member {
	domains := map[string][]membership.Member{}
	load, largest := 0.0, 0
	for _, m := range serving {
		domains[m.FailureDomain] = append(domains[m.FailureDomain], m)
		load += m.RequestRate
		largest = max(largest, len(domains[m.FailureDomain]))
	}
	s.update(now, load, len(domains), largest)
	var chosen []membership.Member
	for _, members := range domains {
		slices.SortFunc(members, func(a, b membership.Member) int {
			return cmp.Compare(xxhash.Sum64String(a.Name), xxhash.Sum64String(b.Name))
		})
		chosen = append(chosen, members[:min(s.perDomain, len(members))]...)
	}
	slices.SortFunc(chosen, func(a, b membership.Member) int { return cmp.Compare(a.Name, b.Name) })
	return chosen
}

// update sets the number of instances of each failure domain. It grows at once and shrinks
// slowly. load is the rate of the region's requests, and largest the number of instances of the
// largest failure domain.
func (s *Selector) update(now time.Time, load float64, domains, largest int) {
	if domains == 0 {
		return
	}
	if load > 0 && s.firstLoad.IsZero() {
		s.firstLoad = now
	}
	learned := !s.firstLoad.IsZero() && now.Sub(s.firstLoad) >= learnTime
	if !learned {
		// A process that has just started knows few instances at first.
		s.perDomain = max(s.perDomain, min(largest, minSpread), int(math.Ceil(initialFraction*float64(largest))))
	}
	needed := max(minInstances, int(math.Ceil(load/float64(domains)/targetRate)))
	switch {
	case needed > s.perDomain:
		s.perDomain = needed
	case learned && now.Sub(s.lastShrink) >= shrinkPause:
		s.lastShrink = now
		s.perDomain = max(needed, int(shrinkFraction*float64(min(s.perDomain, largest))))
	}
}
