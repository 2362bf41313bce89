package steer

import (
	"math"
	"slices"
	"time"

	"tamarackrun/internal/state/registry"
)

const (
	// minRemoteWeight is the least weight in rendezvous hashing of a server in
	// another region, relative to 1 for a server in the instance's own region. A
	// small region gives remote servers more weight, so that it is not overloaded.
	minRemoteWeight = 0.1
	// importFraction is the fraction of a region's room that is left for requests from other
	// regions if all regions have the same demand and room.
	importFraction = 0.25
	// maxLocalFraction is the greatest fraction of a region's room for its own requests. Objects
	// divide the load among few servers less evenly.
	maxLocalFraction = 0.9
	// minImport is the least fraction of its remote weight that a region has whose own
	// requests need more than its room. Such a region takes hardly any other requests, but
	// stays in the ranking in case the other regions are lost.
	minImport = 0.05
	// minRoom is the least room of a region as a fraction of its servers.
	minRoom = 0.05
	// confinedTimeConstant is the time constant of the confined demand. In 2 s it follows a
	// third of a change, so that a region's other requests leave it or return gradually.
	confinedTimeConstant = 5 * time.Second
)

// regionWeight is the weight in rendezvous hashing of a region's servers.
type regionWeight struct {
	region string
	// servers is the number of allowed servers, and room the part of it that is not needed
	// for requests that may only run in the region.
	servers, room float64
	weight        float64
}

// SetConfined sets the fraction of the fleet's requests that may run only in each region. The
// first call takes effect at once, later ones gradually.
func (b *Balancer) SetConfined(now time.Time, fractions map[string]float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	adopted := 1.0
	if b.confined != nil {
		adopted = 1 - math.Exp(-float64(now.Sub(b.confinedAt))/float64(confinedTimeConstant))
	} else {
		b.confined = map[string]float64{}
	}
	for region, fraction := range fractions {
		b.confined[region] += adopted * (fraction - b.confined[region])
	}
	b.confinedAt = now
}

// setWeights sets b.weights for a query. The weights depend neither on the load of servers nor on
// earlier attempts, so that an object keeps its ranking of servers. A region whose room is below
// an even part sends requests away, so it gets fewer from others.
func (b *Balancer) setWeights(servers []*registry.Server, q Query) {
	b.weights = b.weights[:0]
	for _, server := range servers {
		if allows(q.AllowedRegions, server.Region) {
			b.weightOf(server.Region).servers++
		}
	}
	allRoom, ownRoom := 0.0, 0.0
	for i := range b.weights {
		w := &b.weights[i]
		w.room = max(minRoom*w.servers, w.servers-b.confined[w.region]*float64(len(servers)))
		allRoom += w.room
		if w.region == q.Region {
			ownRoom = w.room
		}
	}
	evenRoom := allRoom / float64(len(b.weights))
	remote := remoteWeight(ownRoom, allRoom, evenRoom)
	for i := range b.weights {
		w := &b.weights[i]
		w.weight = w.room / w.servers
		if w.region != q.Region {
			w.weight *= remote * importFactor(w.room, evenRoom)
		}
	}
}

// importFactor returns which part of the usual requests from other regions a region takes.
func importFactor(room, evenRoom float64) float64 {
	return min(1, max(minImport, 2*room/evenRoom-1))
}

// weightOf returns the entry of a region in b.weights. It adds one if there is none.
func (b *Balancer) weightOf(region string) *regionWeight {
	i := slices.IndexFunc(b.weights, func(w regionWeight) bool { return w.region == region })
	if i < 0 {
		i, b.weights = len(b.weights), append(b.weights, regionWeight{region: region})
	}
	return &b.weights[i]
}

// remoteWeight returns the weight of other regions' room relative to the room of the instance's
// own region. It is above minRemoteWeight if the own region's requests would use more of its room
// than what requests from other regions leave.
func remoteWeight(ownRoom, allRoom, evenRoom float64) float64 {
	if ownRoom == 0 || ownRoom == allRoom {
		return minRemoteWeight
	}
	localFraction := min(maxLocalFraction, 1-importFraction*importFactor(ownRoom, evenRoom))
	// With the remote weight w, the fraction ownRoom / (ownRoom + w (allRoom - ownRoom)) of the
	// requests stays in the region.
	balanced := (evenRoom/localFraction - ownRoom) / (allRoom - ownRoom)
	return min(1, max(minRemoteWeight, balanced))
}
