package configuration

import (
	"cmp"
	"slices"
)

// Group describes the servers of one service in one region, and the position of one
// server among them.
type Group struct {
	// Slots is the sum of the servers' slots, Size the number of servers.
	Slots, Size int
	// Position is the server's position in the order of names, from 0.
	Position int
}

type groupKey struct{ service, region string }

// index holds maps for the look-ups that each request needs.
type index struct {
	serversByService map[string][]Server
	routesByName     map[string]Route
	groups           map[groupKey]Group
	// positions maps each server's name to its position in its group.
	positions map[string]int
	// domainCounts maps each region to its number of failure domains.
	domainCounts map[string]int
	// routesByHost holds the routes of each host, longest path first.
	routesByHost map[string][]Route
}

// newIndex returns the index of a snapshot.
func newIndex(s *Snapshot) *index {
	x := &index{
		serversByService: map[string][]Server{},
		routesByName:     make(map[string]Route, len(s.Routes)),
		groups:           map[groupKey]Group{},
		positions:        make(map[string]int, len(s.Servers)),
		domainCounts:     map[string]int{},
		routesByHost:     map[string][]Route{},
	}
	for _, v := range s.Servers {
		x.serversByService[v.Service] = append(x.serversByService[v.Service], v)
	}
	for service, servers := range x.serversByService {
		slices.SortFunc(servers, func(a, b Server) int { return cmp.Compare(a.Name, b.Name) })
		for _, v := range servers {
			key := groupKey{service, s.RegionOf(v.Domain)}
			g := x.groups[key]
			x.positions[v.Name] = g.Size
			g.Size++
			g.Slots += v.Slots
			x.groups[key] = g
		}
	}
	for _, r := range s.Routes {
		x.routesByName[r.Name] = r
		x.routesByHost[r.Host] = append(x.routesByHost[r.Host], r)
	}
	for _, routes := range x.routesByHost {
		slices.SortStableFunc(routes, func(a, b Route) int { return cmp.Compare(len(b.Path), len(a.Path)) })
	}
	for _, d := range s.Domains {
		x.domainCounts[d.Region]++
	}
	return x
}

// indexed returns the index of the snapshot, or a new one if there is none.
func (s *Snapshot) indexed() *index {
	if s.index != nil {
		return s.index
	}
	return newIndex(s)
}

// ServersOf returns the servers of a service, sorted by name. The slice is
// shared and must not be changed.
func (s *Snapshot) ServersOf(service string) []Server { return s.indexed().serversByService[service] }

// RouteByName returns the route with the name, if there is one.
func (s *Snapshot) RouteByName(name string) (Route, bool) {
	r, ok := s.indexed().routesByName[name]
	return r, ok
}

// GroupOf returns the group of a server. Position is 0 for a server that is not in
// this snapshot.
func (s *Snapshot) GroupOf(v Server) Group {
	x := s.indexed()
	g := x.groups[groupKey{v.Service, s.RegionOf(v.Domain)}]
	g.Position = x.positions[v.Name]
	return g
}

// DomainCount returns the number of failure domains of a region.
func (s *Snapshot) DomainCount(region string) int { return s.indexed().domainCounts[region] }
