// Package configuration holds one accepted version of the operators' document
// in the form in which instances use it.
package configuration

import (
	"net/netip"
	"strings"
	"time"
)

// Class orders requests at the slots.
type Class uint8

// Classes of routes.
const (
	Interactive Class = iota
	Batch
)

// CutOffRule says what a route does when the instance may be cut off from the
// platform.
type CutOffRule uint8

// Rules for routes of an instance that may be cut off.
const (
	RefuseWhenCutOff CutOffRule = iota
	ServeWhenCutOff
)

// Team owns all sections whose names start with its name.
type Team struct {
	Name            string
	OperatorKeyHash [32]byte
}

// Fleet holds the settings that concern all instances.
type Fleet struct {
	// StoreRegion is the region of the platform's service.
	StoreRegion string
	// LookupLifetime is how long callers may cache a look-up answer.
	LookupLifetime time.Duration
}

// Region is a group of failure domains with short delays between them.
type Region struct {
	Name string
	// LinkMegabits is the capacity of the link to each other region, each way.
	LinkMegabits int
	// Delay is the one-way delay to other regions.
	Delay time.Duration
}

// Domain is a failure domain.
type Domain struct {
	Name   string
	Region string
}

// Organisation is a customer with a fleet-wide rate.
type Organisation struct {
	Name string
	// Rate is in requests per second, above 0.
	Rate float64
	// Burst is in requests, at least 1.
	Burst float64
	// Weight is the organisation's part of the slots when they are short, at
	// least 1.
	Weight int
	// Regions are those in which its requests may run; empty means all.
	Regions []string
	// Priority replaces that of the route if it is above 0; 1 is the most
	// urgent.
	Priority int
}

// Key is a caller's key, known only by its hash.
type Key struct {
	Name         string
	Organisation string
	Hash         [32]byte
	Withdrawn    bool
}

// Service is a group of backend servers that do the same work.
type Service struct {
	Name string
	// Slots is the number of requests that one server runs at a time.
	Slots int
	// Connections is the number of connections that one server accepts.
	Connections int
	// ShiftCap is the part of a region's slots, from 0 to 1, that may serve
	// requests of other regions.
	ShiftCap float64
	// HealthPath answers health probes; empty means that there is none.
	HealthPath string
	// ColdTime is how long a server is cold after its start, and ColdRate the
	// requests per second that a cold server bears; 0 means no limit.
	ColdTime time.Duration
	ColdRate float64
}

// WeightedService is one service of a split route.
type WeightedService struct {
	Service string
	// Weight is relative to the other parts of the route, above 0.
	Weight float64
}

// Limits bound what callers may send.
type Limits struct {
	HeaderBytes int
	BodyBytes   int64
	// HeaderTimeout bounds the time from the first byte of a request to the
	// end of its header; IdleTimeout the time between requests.
	HeaderTimeout, IdleTimeout time.Duration
}

// Server is a backend server.
type Server struct {
	Name    string
	Service string
	Domain  string
	Address string
	Slots   int
}

// Route says how one kind of call is treated.
type Route struct {
	Name string
	// Host limits the route to requests for this host; empty means all.
	Host string
	// Path is a prefix that ends at a path separator or at the end.
	Path       string
	Methods    []string
	Service    string
	Class      Class
	Idempotent bool
	// Open routes need no key.
	Open       bool
	Timeout    time.Duration
	CutOffRule CutOffRule
	// MaxAttempts is the most dispatches of one request, at least 1.
	MaxAttempts int
	// Headers are request headers passed on besides the default ones.
	Headers []string
	// Organisations may use the route; empty means all.
	Organisations []string
	// Split divides the requests over services; if it is empty, all go to
	// Service.
	Split []WeightedService
	// TargetLatency is the time within which an answer has its full value; 0 means
	// that no target is known.
	TargetLatency time.Duration
	// Priority is 1 for the most urgent routes; 0 means none.
	Priority int
	// Regions are those in which requests may run; empty means all.
	Regions []string
	// Sticky routes send requests for one object to the same server, which is
	// faster for objects that it handled recently.
	Sticky bool
}

// Clients maps client blocks to the site that serves them.
type Clients struct {
	Name   string
	Site   string
	Blocks []netip.Prefix
}

// Site is a place that client blocks are steered to.
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

	// index is nil in snapshots without a version, which are not served from.
	index *index
}

// WithVersion returns a copy with the version, which answers ServersOf,
// RouteNamed, GroupOf and DomainsIn without a walk.
func (s Snapshot) WithVersion(version int64) Snapshot {
	s.Version = version
	s.index = newIndex(&s)
	return s
}

// RouteForMethod returns the route with the longest matching path that allows the
// method. When a path matches but the method does not, found is false and
// pathKnown is true.
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

// RouteForHost returns the route of the host with the longest matching path.
func (s *Snapshot) RouteForHost(host, path string) (Route, bool) {
	for _, r := range s.indexed().hosts[host] {
		if matchesPrefix(path, r.Path) {
			return r, true
		}
	}
	return Route{}, false
}

func matchesPrefix(path, prefix string) bool {
	if !strings.HasPrefix(path, prefix) {
		return false
	}
	return len(path) == len(prefix) || strings.HasSuffix(prefix, "/") || path[len(prefix)] == '/'
}

// RegionOf returns the region of a failure domain, or "".
func (s *Snapshot) RegionOf(domain string) string { return s.Domains[domain].Region }
