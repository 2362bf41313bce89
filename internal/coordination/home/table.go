package home

import (
	"slices"
	"time"

	"tamarackrun/internal/coordination/rendezvous"
	"tamarackrun/internal/protocol/wire"
	"tamarackrun/internal/state/configuration"
	"tamarackrun/internal/state/roster"
)

// Table places the servers of one configuration on the members of one moment.
// It is immutable. A server costs the serving members of its own failure domain
// only, or of its region if there are none.
type Table struct {
	// Configuration is the one whose servers are placed.
	Configuration *configuration.Snapshot
	// AllHeard says that every other listed instance was heard at least once.
	AllHeard bool

	known []known
	// domains, regions and all hold the serving members.
	domains, regions map[string][]string
	all              []string
	// listed holds all members by region.
	listed map[string][]string
	// placed holds the home of each server, placedOn the servers of one home.
	placed   map[string]string
	placedOn map[string][]string
	// reporters holds the members whose latest state names a server.
	reporters map[string][]string
}

// known is the part of a member that the table depends on.
type known struct {
	name, domain              string
	serving, reachable, heard bool
	servers                   []string
}

// Find returns the present state of a member.
type Find func(name string) (roster.Member, bool)

// NewTable places all servers. The members are sorted by name.
func NewTable(c *configuration.Snapshot, members []roster.Member, self string) *Table {
	t := &Table{Configuration: c, AllHeard: true, domains: map[string][]string{}, regions: map[string][]string{},
		listed: map[string][]string{}, placed: make(map[string]string, len(c.Servers)), placedOn: map[string][]string{},
		reporters: map[string][]string{}}
	for _, m := range members {
		t.add(m, self)
	}
	for name, v := range c.Servers {
		if home := t.among(v, nil); home != "" {
			t.placed[name] = home
			t.placedOn[home] = append(t.placedOn[home], name)
		}
	}
	return t
}

func (t *Table) add(m roster.Member, self string) {
	name, domain := m.Listing.Name, m.Listing.FailureDomain
	region := t.Configuration.RegionOf(domain)
	k := known{name: name, domain: domain, serving: m.Serving(), reachable: m.Reachable, heard: m.State != nil}
	t.AllHeard = t.AllHeard && (k.heard || name == self)
	t.listed[region] = append(t.listed[region], name)
	for _, l := range m.State.GetServers() {
		k.servers = append(k.servers, l.Name)
		t.reporters[l.Name] = append(t.reporters[l.Name], name)
	}
	if k.serving {
		t.domains[domain] = append(t.domains[domain], name)
		t.regions[region] = append(t.regions[region], name)
		t.all = append(t.all, name)
	}
	t.known = append(t.known, k)
}

// Matches says that a table of these inputs would be the same.
func (t *Table) Matches(c *configuration.Snapshot, members []roster.Member) bool {
	return t.Configuration == c && slices.EqualFunc(t.known, members, func(k known, m roster.Member) bool {
		return k.name == m.Listing.Name && k.domain == m.Listing.FailureDomain && k.serving == m.Serving() &&
			k.reachable == m.Reachable && k.heard == (m.State != nil) &&
			slices.EqualFunc(k.servers, m.State.GetServers(), func(s string, l *wire.ServerLoad) bool { return s == l.Name })
	})
}

// among returns the home among the members that serve now, or among all of the
// table if find is nil.
func (t *Table) among(v configuration.Server, find Find) string {
	for _, names := range [][]string{t.domains[v.Domain], t.regions[t.Configuration.RegionOf(v.Domain)], t.all} {
		best, bestScore := "", uint64(0)
		for _, name := range names {
			if find != nil {
				if m, _ := find(name); !m.Serving() {
					continue
				}
			}
			if s := rendezvous.Score(v.Name, name); best == "" || s > bestScore {
				best, bestScore = name, s
			}
		}
		if best != "" {
			return best
		}
	}
	return ""
}

// Place returns the name of the home by hashing among the serving members, or
// "" if there is none. A member that stopped serving after the table was made
// is left out.
func (t *Table) Place(v configuration.Server, find Find) string {
	if t.Configuration.Servers[v.Name].Domain == v.Domain {
		name := t.placed[v.Name]
		if m, _ := find(name); m.Serving() {
			return name
		}
	}
	return t.among(v, find)
}

// PlacedOn returns the names of the servers that are placed on the instance.
func (t *Table) PlacedOn(instance string) []string { return t.placedOn[instance] }

// CountListed returns the number of listed instances of a region.
func (t *Table) CountListed(region string) int { return len(t.listed[region]) }

// Owner returns the instance to which requests for the server go: the one that
// reports in heartbeats that it is the home, else the one that hashing places
// it on. Of several that report it, hashing chooses. A leaving home counts until
// another one reports the server, so that no request falls between the two.
func (t *Table) Owner(v configuration.Server, find Find, now time.Duration, self string) string {
	placed, leaving := t.Place(v, find), ""
	var reporters []roster.Member
	for _, name := range t.reporters[v.Name] {
		m, _ := find(name)
		fresh := name == self || now-m.LastHeartbeat <= reportLimit
		if !m.Reachable || !fresh || !reports(m, v.Name) {
			continue
		}
		switch {
		case name == placed:
			return placed
		case m.Serving():
			reporters = append(reporters, m)
		default:
			leaving = name
		}
	}
	if len(reporters) > 0 {
		return Of(t.Configuration, v, reporters)
	}
	if leaving != "" {
		return leaving
	}
	return placed
}

// MayHaveOtherHome says that an instance of the server's region is listed but does
// not answer. It may be cut off and still act as home for others, so this
// instance must not add requests of other regions to what it may have started.
func (t *Table) MayHaveOtherHome(v configuration.Server, find Find, self string) bool {
	for _, name := range t.listed[t.Configuration.RegionOf(v.Domain)] {
		if m, ok := find(name); ok && name != self && !m.Reachable {
			return true
		}
	}
	return false
}

// Reporter returns the name of another reachable instance that reports the
// server as its own, or "".
func (t *Table) Reporter(server string, find Find, self string) string {
	for _, name := range slices.Backward(t.reporters[server]) {
		if m, _ := find(name); name != self && m.Reachable && reports(m, server) {
			return name
		}
	}
	return ""
}

// ForEachReported calls take for each server that another instance, reachable when the
// table was made, reported.
func (t *Table) ForEachReported(self string, take func(server, by string)) {
	for _, k := range t.known {
		if !k.reachable || k.name == self {
			continue
		}
		for _, server := range k.servers {
			take(server, k.name)
		}
	}
}

// AffectsTable says whether a new state of a member changes the table.
func AffectsTable(old, state *wire.PeerState) bool {
	return old.GetPhase() != state.GetPhase() || !slices.EqualFunc(old.GetServers(), state.GetServers(),
		func(a, b *wire.ServerLoad) bool { return a.Name == b.Name })
}
