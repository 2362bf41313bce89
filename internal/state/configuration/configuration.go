// Package configuration holds the settings of the fleet, as instances use them:
// one accepted version of the operators' document, parsed and checked.
package configuration

import (
	"net/netip"
	"strings"
	"time"
)

// Class decides which of the requests that wait for a slot goes first.
type Class uint8

// Classes of routes. Interactive requests go first, but batch requests get some of the
// slots too.
const (
	Interactive Class = iota
	Batch
)

// CutOffRule decides what a route does while the instance may be cut off from the
// platform and its configuration may be out of date.
type CutOffRule uint8

// Rules for the routes of an instance that may be cut off.
const (
	RefuseWhenCutOff CutOffRule = iota
	ServeWhenCutOff
)

// Team is a group of operators. It owns all sections of the document whose names
// start with its name.
type Team struct {
	Name            string
	OperatorKeyHash [32]byte
}

// Fleet holds the settings that apply to all instances.
type Fleet struct {
	// StoreRegion is the region in which the platform's store runs.
	StoreRegion string
	// LookupLifetime is how long callers may cache the answer to a look-up of
	// instance addresses.
	LookupLifetime time.Duration
}

// Region is a group of failure domains with short delays between them.
type Region struct {
	Name string
	// LinkMegabits is the capacity of the link to each other region, in Mbit/s in
	// each direction.
	LinkMegabits int
	// Delay is the one-way delay to other regions.
	Delay time.Duration
}

// Domain is a failure domain.
type Domain struct {
	Name   string
	Region string
}

// Organisation is a customer with a rate limit for the whole fleet.
type Organisation struct {
	Name string
	// Rate is the limit in requests per second, above 0.
	Rate float64
	// Burst is the number of requests, at least 1, that may exceed the rate at once.
	Burst float64
	// Weight is the organisation's relative share of the slots when requests wait
	// for them, at least 1.
	Weight int
	// Regions holds the regions in which its requests may run; empty means all.
	Regions []string
	// Priority replaces the route's priority if it is above 0; 1 is the most
	// urgent.
	Priority int
}

// Key is a caller's key, of which only the hash is stored.
type Key struct {
	Name         string
	Organisation string
	Hash         [32]byte
	Withdrawn    bool
}

// Service is a group of backend servers that do the same work.
type Service struct {
	Name string
	// Slots is the number of requests that one server runs concurrently, unless
	// the server has its own number.
	Slots int
	// Connections is the number of connections that one server accepts.
	Connections int
	// ShiftCap is the part of a region's slots, from 0 to 1, that may serve
	// requests shifted from other regions.
	ShiftCap float64
	// HealthPath is the path of health probes; empty means no probes.
	HealthPath string
	// ColdTime is how long a server is cold after its start.
	ColdTime time.Duration
	// ColdRate is the number of requests per second that a cold server may get;
	// 0 means no limit.
	ColdRate float64
}

// WeightedService is one of the services over which a route's requests are split.
type WeightedService struct {
	Service string
	// Weight is relative to the other services of the route, above 0.
	Weight float64
}

// Limits bounds what callers may send.
type Limits struct {
	HeaderBytes int
	BodyBytes   int64
	// HeaderTimeout bounds the time from the first byte of a request to the end of
	// its header, IdleTimeout the time between two requests on a connection.
	HeaderTimeout, IdleTimeout time.Duration
}

// Server is a backend server.
type Server struct {
	Name    string
	Service string
	// Domain is the server's failure domain.
	Domain string
	// Address is IP:PORT.
	Address string
	// Slots is the number of requests that the server runs concurrently.
	Slots int
}

// Route holds the rules for requests with a path prefix and certain methods.
type Route struct {
	Name string
	// Host limits the route to requests for this host; empty means all.
	Host string
	// Path is a prefix; it matches only whole path segments.
	Path       string
	Methods    []string
	Service    string
	Class      Class
	Idempotent bool
	// Open is true if requests need no key.
	Open       bool
	Timeout    time.Duration
	CutOffRule CutOffRule
	// MaxAttempts is the largest number of dispatches of one request, at least 1.
	MaxAttempts int
	// Headers holds the request headers that are passed on besides the default ones.
	Headers []string
	// Organisations holds the organisations that may use the route; empty means all.
	Organisations []string
	// Split holds the services over which the requests are divided; if it is empty,
	// all requests go to Service.
	Split []WeightedService
	// TargetLatency is the time within which an answer has its full value to the
	// caller; 0 means that no target is known.
	TargetLatency time.Duration
	// Priority is 1 for the most urgent routes; 0 means none.
	Priority int
	// Regions holds the regions in which requests may run; empty means all.
	Regions []string
	// Sticky is true if requests for one object go to the same server, which is
	// faster for objects that it handled recently.
	Sticky bool
}

// Clients is a list of client address blocks and the site that serves them.
type Clients struct {
	Name   string
	Site   string
	Blocks []netip.Prefix
}

// Site is a location, in one failure domain, to which clients are steered.
type Site struct {
	Name   string
	Domain string
}

// Snapshot is one version of the configuration. It is immutable: no field may
// change after the snapshot was published.
type Snapshot struct {
	// Version is the version of the manifest; higher versions replace lower
	// ones and never the other way round.
	Version       int64
	Fleet         Fleet
	Teams         map[string]Team
	Regions       map[string]Region
	Domains       map[string]Domain
	Organisations map[string]Organisation
	Keys          map[[32]byte]Key
	Services      map[string]Service
	Servers       map[string]Server
	// Routes are sorted by descending length of their path, so that the first
	// match is the longest.
	Routes  []Route
	Clients []Clients
	Sites   map[string]Site
	Limits  Limits

	// index is nil in a snapshot without a version, such as document.Parse returns.
	// Requests are not served from such a snapshot.
	index *index
}

// WithVersion returns a copy with the version and an index, with which
// RouteForHost, ServersOf, RouteByName, GroupOf and DomainCount need no walk over
// the snapshot.
func (s Snapshot) WithVersion(version int64) Snapshot {
	s.Version = version
	s.index = newIndex(&s)
	return s
}

// RouteForMethod returns the route with the longest matching path that allows the
// method. If a route matches the path but none of them allows the method, found is
// false and pathKnown is true.
func (s *Snapshot) RouteForMethod(method, path string) (route Route, found, pathKnown bool) {
	for _, r := range s.Routes {
		if !matchesPrefix(path, r.Path) {
			continue
		}
		pathKnown = true
		for _, m := range r.Methods {
			if m == method {
				return r, true, true
			}
		}
	}
	return Route{}, false, pathKnown
}

// RouteForHost returns the route of the host with the longest matching path, for
// any method.
func (s *Snapshot) RouteForHost(host, path string) (Route, bool) {
	for _, r := range s.indexed().routesByHost[host] {
		if matchesPrefix(path, r.Path) {
			return r, true
		}
	}
	return Route{}, false
}

// matchesPrefix reports whether the prefix covers whole segments of the path.
func matchesPrefix(path, prefix string) bool {
	if !strings.HasPrefix(path, prefix) {
		return false
	}
	return len(path) == len(prefix) || strings.HasSuffix(prefix, "/") || path[len(prefix)] == '/'
}

// RegionOf returns the region of a failure domain, or "" if the domain is unknown.
func (s *Snapshot) RegionOf(domain string) string { return s.Domains[domain].Region }
