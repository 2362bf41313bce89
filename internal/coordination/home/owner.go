package home

import (
	"time"

	"tamarackrun/internal/state/configuration"
	"tamarackrun/internal/state/roster"
)

// reportLimit is the age above which a report of ownership is ignored.
const reportLimit = roster.SilenceLimit

// Owner returns the instance to which requests for the server go: the one that
// reports in heartbeats that it is the home, else the one that hashing places
// it on. Of several that report it, hashing chooses. A leaving home counts until
// another one reports the server, so that no request falls between the two.
func Owner(c *configuration.Snapshot, server configuration.Server, members []roster.Member, now time.Duration, self string) string {
	placed, leaving := Of(c, server, members), ""
	var reporters []roster.Member
	for _, m := range members {
		fresh := m.Listing.Name == self || now-m.Heard <= reportLimit
		if !m.Reachable || !fresh || !reports(m, server.Name) {
			continue
		}
		switch {
		case m.Listing.Name == placed:
			return placed
		case m.Serving():
			reporters = append(reporters, m)
		default:
			leaving = m.Listing.Name
		}
	}
	if len(reporters) > 0 {
		return Of(c, server, reporters)
	}
	if leaving != "" {
		return leaving
	}
	return placed
}

func reports(m roster.Member, server string) bool {
	for _, l := range m.State.GetServers() {
		if l.Name == server {
			return true
		}
	}
	return false
}

// Disputable says that an instance of the server's region is listed but does
// not answer. It may be cut off and still act as home for others, so this
// instance must not add requests of other regions to what it may have started.
func Disputable(c *configuration.Snapshot, server configuration.Server, members []roster.Member, self string) bool {
	for _, m := range members {
		if m.Listing.Name != self && !m.Reachable && near(c, server.Domain, m.Listing.FailureDomain) != otherRegion {
			return true
		}
	}
	return false
}

// Reported returns the name of a reachable instance that reports each server as
// its own, and whether every listed instance was heard at least once.
func Reported(members []roster.Member, self string) (by map[string]string, allHeard bool) {
	by, allHeard = map[string]string{}, true
	for _, m := range members {
		if m.Listing.Name == self {
			continue
		}
		allHeard = allHeard && m.State != nil
		if !m.Reachable {
			continue
		}
		for _, l := range m.State.GetServers() {
			by[l.Name] = m.Listing.Name
		}
	}
	return by, allHeard
}

// GaveUp says that the older home is leaving and was heard, after the time at
// which the server was gained, without the server.
func GaveUp(members []roster.Member, older, server string, gained time.Duration) bool {
	for _, m := range members {
		if m.Listing.Name == older {
			return m.Heard > gained && m.State.GetPhase() == roster.Leaving && !reports(m, server)
		}
	}
	return false
}
