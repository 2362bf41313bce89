package home

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"tamarackrun"
	"tamarackrun/internal/protocol/wire"
	"tamarackrun/internal/state/configuration"
	"tamarackrun/internal/state/roster"
)

var snapshot = &configuration.Snapshot{Domains: map[string]configuration.Domain{
	"r1-a": {Name: "r1-a", Region: "r1"}, "r1-b": {Name: "r1-b", Region: "r1"}, "r2-a": {Name: "r2-a", Region: "r2"}}}

var server = configuration.Server{Name: "s", Domain: "r1-a"}

// member returns a reachable member that reports the servers.
func member(name, domain string, phase uint32, servers ...string) roster.Member {
	m := roster.Member{Listing: tamarackrun.Listing{Name: name, FailureDomain: domain}, Reachable: true, LastHeartbeat: time.Second,
		State: &wire.PeerState{Phase: phase}}
	for _, s := range servers {
		m.State.Servers = append(m.State.Servers, &wire.ServerLoad{Name: s})
	}
	return m
}

// unreachable returns the member as unreachable.
func unreachable(m roster.Member) roster.Member {
	m.Reachable = false
	return m
}

// Guards against requests to an instance that is not the home yet while another one
// still is, and against the use of outdated reports.
func TestOwner(t *testing.T) {
	near, far := member("near", "r1-a", roster.Ready), member("far", "r2-a", roster.Ready)
	for _, c := range []struct {
		name    string
		now     time.Duration
		members []roster.Member
		want    string
	}{
		{"nobody reports", time.Second, []roster.Member{near, far}, "near"},
		{"nearest is unreachable", time.Second, []roster.Member{unreachable(near), far}, "far"},
		{"another one reports", time.Second, []roster.Member{near, member("far", "r2-a", roster.Ready, "s")}, "far"},
		{"report is old", time.Minute, []roster.Member{near, member("far", "r2-a", roster.Ready, "s")}, "near"},
		{"both report", time.Second, []roster.Member{member("near", "r1-a", roster.Ready, "s"), member("far", "r2-a", roster.Ready, "s")}, "near"},
		{"leaving home", time.Second, []roster.Member{member("near", "r1-a", roster.Leaving, "s"), far}, "near"},
		{"leaving home was replaced", time.Second, []roster.Member{member("near", "r1-a", roster.Leaving, "s"), member("far", "r2-a", roster.Ready, "s")}, "far"},
	} {
		t.Run(c.name, func(t *testing.T) {
			if diff := cmp.Diff(c.want, NewTable(snapshot, c.members, "self").Owner(server, findIn(c.members), c.now, "self")); diff != "" {
				t.Errorf("owner (-want +got):\n%s", diff)
			}
		})
	}
}

// Guards against requests of other regions at a home whose predecessor may be cut
// off and still serve other instances.
func TestMayHaveOtherHome(t *testing.T) {
	for _, c := range []struct {
		name    string
		members []roster.Member
		want    bool
	}{
		{"all answer", []roster.Member{member("x", "r1-b", roster.Ready)}, false},
		{"one of the region is unreachable", []roster.Member{unreachable(member("x", "r1-b", roster.Ready))}, true},
		{"one of another region is unreachable", []roster.Member{unreachable(member("x", "r2-a", roster.Ready))}, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			if diff := cmp.Diff(c.want, NewTable(snapshot, c.members, "self").MayHaveOtherHome(server, findIn(c.members), "self")); diff != "" {
				t.Errorf("may have another home (-want +got):\n%s", diff)
			}
		})
	}
}

// Guards against a new home that uses all slots or runs shifted requests while an older
// one may still run requests on the same slots.
func TestNewHomeLimits(t *testing.T) {
	type row struct {
		name          string
		ownership     Ownership
		now           time.Duration
		slots         int
		allowsShifted bool
	}
	for _, c := range []row{
		{"just gained", Ownership{LongestRequest: time.Second}, 0, 3, false},
		{"before the lag", Ownership{LongestRequest: time.Second}, MaxListLag - 1, 3, false},
		{"after the lag", Ownership{LongestRequest: time.Second}, MaxListLag, 9, false},
		{"after the longest request", Ownership{LongestRequest: time.Second}, MaxListLag + time.Second, 9, true},
		{"first home", Ownership{FirstHome: true}, 0, 9, true},
		{"handed over", Ownership{HandedOver: true}, 0, 9, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			got := row{c.name, c.ownership, c.now, c.ownership.Slots(9, c.now), c.ownership.AllowsShifted(c.now)}
			if diff := cmp.Diff(c, got, cmp.AllowUnexported(row{})); diff != "" {
				t.Errorf("limits (-want +got):\n%s", diff)
			}
		})
	}
	if got := (Ownership{}).Slots(2, 0); got != 1 {
		t.Errorf("%d of 2 slots, want 1", got)
	}
}

// Guards against requests of other regions above their cap while two instances may both serve
// them: the home that has taken a server over waits until those of the earlier home have ended.
func TestNewHomeRefusesShiftedRequests(t *testing.T) {
	gained, longest := time.Minute, 10*time.Second
	for _, test := range []struct {
		first bool
		after time.Duration
		want  bool
	}{{false, 0, false}, {false, MaxListLag + longest - 1, false}, {false, MaxListLag + longest, true}, {true, 0, true}} {
		o := Ownership{FirstHome: test.first, Gained: gained, LongestRequest: longest}
		if got := o.AllowsShifted(gained + test.after); got != test.want {
			t.Errorf("first home %v, %s after it was gained: shifted requests allowed %v, want %v", test.first, test.after, got, test.want)
		}
	}
}
