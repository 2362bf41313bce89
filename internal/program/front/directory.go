package front

import (
	"math/rand/v2"
	"time"

	"tamarackrun/internal/coordination/directory"
	"tamarackrun/internal/coordination/membership"
)

const (
	// lookupLifetime is how long callers may use the addresses of a look-up. It
	// bounds how long they keep connecting to a dead instance.
	lookupLifetime = 2 * time.Second
	// maxAddresses is the largest number of addresses in an answer.
	maxAddresses = 64
)

// Ready reports whether the instance takes callers.
func (f *Front) Ready() bool { return f.members.IsReady() && !f.leaving.Load() }

// Lookup returns the addresses of serving instances in the caller's region, or in other regions
// if there is none, and how long the caller may use them.
func (f *Front) Lookup(region string) ([]string, time.Duration) {
	var near, far []membership.Member
	for _, m := range f.members.Members() {
		switch {
		case !m.Alive || !m.Ready || m.Leaving:
		case m.Region == region:
			near = append(near, m)
		default:
			far = append(far, m)
		}
	}
	if len(near) == 0 {
		near, region = far, ""
	}
	near = preferLinked(near)
	addresses := []string{}
	for _, m := range f.chooseInstances(region, near) {
		addresses = append(addresses, m.CallerAddress)
	}
	if len(addresses) > maxAddresses {
		// A fixed choice would leave the other instances without callers.
		rand.Shuffle(len(addresses), func(i, j int) { addresses[i], addresses[j] = addresses[j], addresses[i] })
		addresses = addresses[:maxAddresses]
	}
	return addresses, min(lookupLifetime, f.terms.Load().LookupLifetime)
}

// preferLinked returns the instances that reach backend servers, if they are at least half of all. The
// others serve callers too, by delegates, so that fewer than half need not take all callers.
func preferLinked(members []membership.Member) []membership.Member {
	var linked []membership.Member
	for _, m := range members {
		if !m.ServersUnreachable {
			linked = append(linked, m)
		}
	}
	if 2*len(linked) < len(members) {
		return members
	}
	return linked
}

// chooseInstances returns the instances of a region that callers are sent to. The region is
// empty for callers whose own region has no instance.
func (f *Front) chooseInstances(region string, serving []membership.Member) []membership.Member {
	f.selectorsMutex.Lock()
	defer f.selectorsMutex.Unlock()
	s := f.selectors[region]
	if s == nil {
		s = &directory.Selector{}
		f.selectors[region] = s
	}
	return s.Choose(time.Now(), serving)
}
