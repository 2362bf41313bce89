package configuration

import (
	"cmp"
	"slices"
)

// Group is the position of a server among those of the same service and region.
type Group struct {
	// Slots is the sum over the group, Size the number of its servers.
	Slots, Size int
	// Position counts from 0 in the order of names.
	Position int
}

type groupKey struct{ service, region string }

// index holds what requests ask for.
type index struct {
	services  map[string][]Server
	routes    map[string]Route
	groups    map[groupKey]Group
	positions map[string]int
	domains   map[string]int
	// hosts has the routes of each host, longest path first.
	hosts map[string][]Route
}

func newIndex(s *Snapshot) *index {
	x := &index{services: map[string][]Server{}, routes: make(map[string]Route, len(s.Routes)), groups: map[groupKey]Group{},
		positions: make(map[string]int, len(s.Servers)), domains: map[string]int{}, hosts: map[string][]Route{}}
	for _, v := range s.Servers {
		x.services[v.Service] = append(x.services[v.Service], v)
	}
	for service, servers := range x.services {
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
		x.routes[r.Name] = r
		x.hosts[r.Host] = append(x.hosts[r.Host], r)
	}
	for _, routes := range x.hosts {
		slices.SortStableFunc(routes, func(a, b Route) int { return cmp.Compare(len(b.Path), len(a.Path)) })
	}
	for _, d := range s.Domains {
		x.domains[d.Region]++
	}
	return x
}

func (s *Snapshot) indexed() *index {
	if s.index != nil {
		return s.index
	}
	return newIndex(s)
}

// ServersOf returns the servers of a service, sorted by name. The slice is
// shared and must not be changed.
func (s *Snapshot) ServersOf(service string) []Server { return s.indexed().services[service] }

// RouteByName returns the route with the name.
func (s *Snapshot) RouteByName(name string) (Route, bool) {
	r, ok := s.indexed().routes[name]
	return r, ok
}

// GroupOf returns the group of a server of this snapshot. For a server that
// another snapshot had, Position is 0.
func (s *Snapshot) GroupOf(v Server) Group {
	x := s.indexed()
	g := x.groups[groupKey{v.Service, s.RegionOf(v.Domain)}]
	g.Position = x.positions[v.Name]
	return g
}

// DomainCount returns the number of failure domains of a region.
func (s *Snapshot) DomainCount(region string) int { return s.indexed().domains[region] }
