package home

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"tamarackrun/internal/state/configuration"
	"tamarackrun/internal/state/roster"
)

// findIn returns a Find over the given members.
func findIn(members []roster.Member) Find {
	byName := map[string]roster.Member{}
	for _, m := range members {
		byName[m.Listing.Name] = m
	}
	return func(name string) (roster.Member, bool) {
		m, ok := byName[name]
		return m, ok
	}
}

// ownerWithoutTable applies the rule of Table.Owner to all members, without an
// index.
func ownerWithoutTable(c *configuration.Snapshot, server configuration.Server, members []roster.Member, now time.Duration, self string) string {
	placed, leaving := Of(c, server, members), ""
	var serving []roster.Member
	for _, m := range members {
		switch {
		case !m.Reachable || m.Listing.Name != self && now-m.LastHeartbeat > maxReportAge || !reportsServer(m, server.Name):
		case m.Listing.Name == placed:
			return placed
		case m.Serving():
			serving = append(serving, m)
		default:
			leaving = m.Listing.Name
		}
	}
	if len(serving) > 0 {
		return Of(c, server, serving)
	}
	if leaving != "" {
		return leaving
	}
	return placed
}

// drawMember draws a member whose state, domain and reported servers are random.
func drawMember(t *rapid.T, name string, domains, servers []string) roster.Member {
	mostly := func(name string) bool { return rapid.IntRange(0, 4).Draw(t, name) > 0 }
	m := member(name, rapid.SampledFrom(domains).Draw(t, "domain"),
		rapid.SampledFrom([]uint32{roster.Ready, roster.Ready, roster.Ready, roster.Leaving, roster.Starting}).Draw(t, "phase"),
		rapid.SliceOfNDistinct(rapid.SampledFrom(servers), 0, 2, rapid.ID).Draw(t, "reports")...)
	m.Reachable, m.Listing.Leaving = mostly("reachable"), !mostly("stays")
	m.LastHeartbeat = time.Duration(rapid.IntRange(0, 4).Draw(t, "heard")) * time.Second
	if !mostly("heard of") {
		m.State = nil
	}
	return m
}

// Guards against a table whose answers differ from those of the rule over all
// members, also if members stopped serving after the table was made, and against a
// table that matches a roster for which the rule gives other answers.
func TestTableMatchesRule(t *testing.T) {
	domains, servers := []string{"r1-a", "r1-b", "r2-a", "unknown", "unknown-2"}, []string{"s1", "s2", "s3", "s4"}
	rapid.Check(t, func(t *rapid.T) {
		c := &configuration.Snapshot{Domains: snapshot.Domains, Servers: map[string]configuration.Server{}}
		for _, name := range servers {
			c.Servers[name] = configuration.Server{Name: name, Domain: rapid.SampledFrom(domains).Draw(t, "domain")}
		}
		members := make([]roster.Member, rapid.IntRange(1, 7).Draw(t, "members"))
		for n := range members {
			members[n] = drawMember(t, fmt.Sprint("m", n), domains, servers)
		}
		table, now := NewTable(c, members, "m0"), 4*time.Second
		n := rapid.IntRange(0, len(members)-1).Draw(t, "changed")
		other := slices.Clone(members)
		other[n] = drawMember(t, members[n].Listing.Name, domains, servers)
		if rapid.Bool().Draw(t, "change the phase or reports only") && members[n].State != nil && other[n].State != nil {
			state := other[n].State
			other[n] = members[n]
			other[n].State = state
		}
		if table.Matches(c, other) {
			members = other
		}
		for n := range members {
			members[n].Reachable = members[n].Reachable && rapid.IntRange(0, 3).Draw(t, "fell silent") > 0
		}
		for _, v := range c.Servers {
			want := []string{Of(c, v, members), ownerWithoutTable(c, v, members, now, "m0")}
			got := []string{table.Place(v, findIn(members)), table.Owner(v, findIn(members), now, "m0")}
			if diff := cmp.Diff(want, got); diff != "" {
				t.Fatalf("place and owner of %v (-want +got):\n%s", v, diff)
			}
		}
	})
}

// benchmarkFleet returns the given number of instances in 30 failure domains and 11
// regions, each the home of 6 servers.
func benchmarkFleet(instances int) (*configuration.Snapshot, []roster.Member) {
	c := &configuration.Snapshot{Domains: map[string]configuration.Domain{}, Servers: map[string]configuration.Server{}}
	for n := range 30 {
		name := fmt.Sprint("d", n)
		c.Domains[name] = configuration.Domain{Name: name, Region: fmt.Sprint("r", n%11)}
	}
	var members []roster.Member
	for n := range instances {
		var reported []string
		for k := range 6 {
			v := configuration.Server{Name: fmt.Sprintf("server-%05d", 6*n+k), Domain: fmt.Sprint("d", n%30)}
			c.Servers[v.Name], reported = v, append(reported, v.Name)
		}
		members = append(members, member(fmt.Sprintf("entry-%03d", n), fmt.Sprint("d", n%30), roster.Ready, reported...))
	}
	return c, members
}

// BenchmarkHomes measures the look-up of the owners of 100 servers, which one
// request needs, with and without the table, and the placement of all servers,
// which one change needs.
func BenchmarkHomes(b *testing.B) {
	for _, instances := range []int{90, 270, 810} {
		c, members := benchmarkFleet(instances)
		table, find := NewTable(c, members, "self"), findIn(members)
		var servers []configuration.Server
		for n := range 100 {
			servers = append(servers, c.Servers[fmt.Sprintf("server-%05d", n)])
		}
		run := func(name string, task func()) {
			b.Run(fmt.Sprint(name, "/", instances), func(b *testing.B) {
				for b.Loop() {
					task()
				}
			})
		}
		run("request/rule", func() {
			for _, v := range servers {
				ownerWithoutTable(c, v, members, time.Second, "self")
			}
		})
		run("request/table", func() {
			for _, v := range servers {
				table.Owner(v, find, time.Second, "self")
			}
		})
		run("change/table", func() { NewTable(c, members, "self") })
		run("check/table", func() { table.Matches(c, members) })
	}
}
