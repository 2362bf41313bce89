package home

import (
	"slices"
	"time"

	"tamarackrun/internal/coordination/rendezvous"
	"tamarackrun/internal/protocol/wire"
	"tamarackrun/internal/state/configuration"
	"tamarackrun/internal/state/roster"
)

// Table assigns the servers of one configuration to the members at one moment. It
// is immutable. To place a server, it scores only the serving members of the
// server's failure domain, or of its region if there are none, or all of them if
// the region has none either.
type Table struct {
	// Configuration is the configuration whose servers are placed.
	Configuration *configuration.Snapshot
	// AllHeard is true if every other listed instance has answered a heartbeat at
	// least once.
	AllHeard bool

	members []memberState
	// servingByDomain, servingByRegion and serving hold the names of the serving
	// members.
	servingByDomain, servingByRegion map[string][]string
	serving                          []string
	// listedByRegion holds the names of all members by region.
	listedByRegion map[string][]string
	// homes maps each server to its home, and serversByHome each home to its
	// servers.
	homes         map[string]string
	serversByHome map[string][]string
	// reporters holds, by server, the members whose latest state reports it.
	reporters map[string][]string
}

// memberState holds the properties of a member that the table depends on.
type memberState struct {
	name, domain              string
	serving, reachable, heard bool
	// servers holds the names of the servers that the member reports.
	servers []string
}

// Find returns the current state of a member and reports whether it exists.
type Find func(name string) (roster.Member, bool)

// NewTable returns the table that places all servers of a configuration. members
// must be sorted by name; self is the name of this instance.
func NewTable(c *configuration.Snapshot, members []roster.Member, self string) *Table {
	t := &Table{
		Configuration:   c,
		AllHeard:        true,
		servingByDomain: map[string][]string{},
		servingByRegion: map[string][]string{},
		listedByRegion:  map[string][]string{},
		homes:           make(map[string]string, len(c.Servers)),
		serversByHome:   map[string][]string{},
		reporters:       map[string][]string{},
	}
	for _, m := range members {
		t.add(m, self)
	}
	for name, server := range c.Servers {
		if home := t.choose(server, nil); home != "" {
			t.homes[name] = home
			t.serversByHome[home] = append(t.serversByHome[home], name)
		}
	}
	return t
}

// add adds a member to the table, before the servers are placed.
func (t *Table) add(m roster.Member, self string) {
	name, domain := m.Listing.Name, m.Listing.FailureDomain
	region := t.Configuration.RegionOf(domain)
	state := memberState{name: name, domain: domain, serving: m.Serving(), reachable: m.Reachable, heard: m.State != nil}
	t.AllHeard = t.AllHeard && (state.heard || name == self)
	t.listedByRegion[region] = append(t.listedByRegion[region], name)
	for _, l := range m.State.GetServers() {
		state.servers = append(state.servers, l.Name)
		t.reporters[l.Name] = append(t.reporters[l.Name], name)
	}
	if state.serving {
		t.servingByDomain[domain] = append(t.servingByDomain[domain], name)
		t.servingByRegion[region] = append(t.servingByRegion[region], name)
		t.serving = append(t.serving, name)
	}
	t.members = append(t.members, state)
}

// Matches reports whether NewTable would return an equal table for these inputs.
func (t *Table) Matches(c *configuration.Snapshot, members []roster.Member) bool {
	return t.Configuration == c && slices.EqualFunc(t.members, members, func(state memberState, m roster.Member) bool {
		return state.name == m.Listing.Name && state.domain == m.Listing.FailureDomain && state.serving == m.Serving() &&
			state.reachable == m.Reachable && state.heard == (m.State != nil) &&
			slices.EqualFunc(state.servers, m.State.GetServers(), func(s string, l *wire.ServerLoad) bool { return s == l.Name })
	})
}

// choose returns the nearest member with the highest score among those that were
// serving when the table was made. If find is not nil, it skips members that no
// longer serve.
func (t *Table) choose(server configuration.Server, find Find) string {
	for _, names := range [][]string{
		t.servingByDomain[server.Domain],
		t.servingByRegion[t.Configuration.RegionOf(server.Domain)],
		t.serving,
	} {
		best, bestScore := "", uint64(0)
		for _, name := range names {
			if find != nil {
				if m, _ := find(name); !m.Serving() {
					continue
				}
			}
			if score := rendezvous.Score(server.Name, name); best == "" || score > bestScore {
				best, bestScore = name, score
			}
		}
		if best != "" {
			return best
		}
	}
	return ""
}

// Place returns the name of the member on which hashing places the server, or "" if
// no member serves. It skips members that stopped serving after the table was made.
func (t *Table) Place(server configuration.Server, find Find) string {
	if t.Configuration.Servers[server.Name].Domain == server.Domain {
		name := t.homes[server.Name]
		if m, _ := find(name); m.Serving() {
			return name
		}
	}
	return t.choose(server, find)
}

// PlacedOn returns the names of the servers that hashing placed on the instance when
// the table was made.
func (t *Table) PlacedOn(instance string) []string { return t.serversByHome[instance] }

// CountListed returns the number of listed instances of a region.
func (t *Table) CountListed(region string) int { return len(t.listedByRegion[region]) }

// Owner returns the name of the instance to which requests for the server go: the
// one that reports in heartbeats that it is the home, or else the one on which
// hashing places the server. If several instances report it, hashing chooses one of
// them. A leaving home remains the owner until another instance reports the server,
// so that no request is sent to an instance that is not the home yet.
func (t *Table) Owner(server configuration.Server, find Find, now time.Duration, self string) string {
	placed, leaving := t.Place(server, find), ""
	var reporters []roster.Member
	for _, name := range t.reporters[server.Name] {
		m, _ := find(name)
		fresh := name == self || now-m.LastHeartbeat <= maxReportAge
		if !m.Reachable || !fresh || !reportsServer(m, server.Name) {
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
		return Of(t.Configuration, server, reporters)
	}
	if leaving != "" {
		return leaving
	}
	return placed
}

// MayHaveOtherHome reports whether a listed instance of the server's region does
// not answer. That instance may be cut off and still act as home for others, so
// this instance must not start requests of other regions in addition to those that
// the other one may have started.
func (t *Table) MayHaveOtherHome(server configuration.Server, find Find, self string) bool {
	for _, name := range t.listedByRegion[t.Configuration.RegionOf(server.Domain)] {
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
		if m, _ := find(name); name != self && m.Reachable && reportsServer(m, server) {
			return name
		}
	}
	return ""
}

// ForEachReported calls visit for each server that another instance reports, if that
// instance was reachable when the table was made.
func (t *Table) ForEachReported(self string, visit func(server, by string)) {
	for _, state := range t.members {
		if !state.reachable || state.name == self {
			continue
		}
		for _, server := range state.servers {
			visit(server, state.name)
		}
	}
}

// AffectsTable reports whether a change of a member's state changes the table.
func AffectsTable(old, updated *wire.PeerState) bool {
	return old.GetPhase() != updated.GetPhase() || !slices.EqualFunc(old.GetServers(), updated.GetServers(),
		func(a, b *wire.ServerLoad) bool { return a.Name == b.Name })
}
