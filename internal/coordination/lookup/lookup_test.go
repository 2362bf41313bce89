package lookup_test

import (
	"encoding/json"
	"flag"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"slices"
	"sync/atomic"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"tamarackrun"
	"tamarackrun/internal/coordination/lookup"
	"tamarackrun/internal/protocol/wire"
	"tamarackrun/internal/state/configuration"
	"tamarackrun/internal/state/roster"
)

// init gives the property tests a fixed seed, so that each run tests the same
// cases. The command line can override it.
func init() { _ = flag.Set("rapid.seed", "1") }

// snapshot returns a configuration with 3 failure domains in each region, one site
// for each failure domain, and random client blocks.
func snapshot(domains, blocks int) *configuration.Snapshot {
	c := &configuration.Snapshot{Fleet: configuration.Fleet{LookupLifetime: 5 * time.Second},
		Domains: map[string]configuration.Domain{}, Sites: map[string]configuration.Site{}}
	r := rand.New(rand.NewPCG(7, uint64(blocks)))
	for d := range domains {
		name := domainName(d)
		c.Domains[name] = configuration.Domain{Name: name, Region: fmt.Sprintf("r%d", d/3)}
		c.Sites[name] = configuration.Site{Name: name, Domain: name}
		l := configuration.Clients{Name: name, Site: name}
		for range blocks / domains {
			p, _ := netip.AddrFrom4([4]byte{10, byte(r.IntN(256)), byte(r.IntN(256)), byte(r.IntN(256))}).Prefix(24 + r.IntN(9))
			l.Blocks = append(l.Blocks, p)
		}
		c.Clients = append(c.Clients, l)
	}
	return c
}

func domainName(d int) string { return fmt.Sprintf("d%02d", d) }

func member(name, domain string) roster.Member {
	return roster.Member{
		Reachable: true,
		State:     &wire.PeerState{Phase: roster.Ready},
		Listing:   tamarackrun.Listing{Name: name, FailureDomain: domain, CallerAddress: "127.0.0.1:1"},
	}
}

func newTable(t rapid.TB, c *configuration.Snapshot, members []roster.Member) *lookup.Table {
	t.Helper()
	locator, err := lookup.NewLocator(c)
	if err != nil {
		t.Fatal(err)
	}
	return lookup.NewTable(locator, lookup.Candidates(members, func(m roster.Member) bool { return lookup.Overloaded(m, false) }))
}

// expectedDomain returns the failure domain of the most specific block that
// contains an address.
func expectedDomain(c *configuration.Snapshot, a netip.Addr) string {
	best, domain := -1, ""
	for _, l := range c.Clients {
		for _, p := range l.Blocks {
			if p.Contains(a) && p.Bits() >= best {
				best, domain = p.Bits(), c.Sites[l.Site].Domain
			}
		}
	}
	return domain
}

// Guards against answers that name an instance that is leaving, not ready, cut off
// or unreachable, name an instance twice, omit one although there is room, or name
// a worse group before a better one.
func TestAnswerFollowsRules(t *testing.T) {
	c := snapshot(6, 40)
	rapid.Check(t, func(t *rapid.T) {
		var members []roster.Member
		usable := map[string]int{}
		client := netip.AddrFrom4([4]byte{10, rapid.Byte().Draw(t, "a"), rapid.Byte().Draw(t, "b"), rapid.Byte().Draw(t, "c")})
		clientDomain := expectedDomain(c, client)
		for i := range rapid.IntRange(0, 8).Draw(t, "members") {
			domain := domainName(rapid.IntRange(0, 6).Draw(t, "domain"))
			m := member(fmt.Sprintf("i%d", i), domain)
			fault := rapid.IntRange(0, 8).Draw(t, "fault")
			rank := 2
			if domain == clientDomain {
				rank = 0
			} else if clientDomain != "" && c.RegionOf(domain) == c.RegionOf(clientDomain) {
				rank = 1
			}
			switch fault {
			case 0:
				m.Listing.Leaving = true
			case 1:
				m.State.Phase = roster.Leaving
			case 2:
				m.State.CutOff = true
			case 3:
				m.Reachable = false
			case 4:
				m.State = nil
			case 5:
				m.State.Servers = []*wire.ServerLoad{{Queued: 4, Slots: 3}}
				rank += 3
			}
			if fault >= 5 {
				usable[m.Listing.Name] = rank
			}
			members = append(members, m)
		}
		var got []int
		var answer lookup.Answer
		if err := json.Unmarshal(newTable(t, c, members).AppendAnswer(nil, client), &answer); err != nil {
			t.Fatal(err)
		}
		for _, i := range answer.Instances {
			rank, ok := usable[i.Name]
			if !ok {
				t.Fatalf("%s is named twice or must not be named", i.Name)
			}
			delete(usable, i.Name)
			got = append(got, rank)
		}
		if len(usable) > 0 || !slices.IsSorted(got) || answer.LifetimeMillis != 5000 {
			t.Fatalf("missing %v, ranks %v, answer %+v", usable, got, answer)
		}
	})
}

// Guards against answers of a large fleet that name only instances of the client's
// failure domain, and against a lost instance that changes the first instance of
// clients in other failure domains.
func TestLargeFleet(t *testing.T) {
	c := snapshot(30, 3000)
	members := fleet(30, 27)
	before, after := newTable(t, c, members), newTable(t, c, members[1:])
	for _, l := range c.Clients {
		for _, p := range l.Blocks {
			list := before.Find(p.Addr())
			domain := expectedDomain(c, p.Addr())
			sameDomain := 0
			for _, n := range list {
				if before.Instance(n).Name[:3] == domain {
					sameDomain++
				}
			}
			if len(list) != 8 || sameDomain != 4 {
				t.Fatalf("%d instances, %d of the client's failure domain; want 8 and 4", len(list), sameDomain)
			}
			first := before.Instance(list[0]).Name
			if second := after.Instance(after.Find(p.Addr())[0]).Name; domain != members[0].Listing.FailureDomain && first != second {
				t.Fatalf("%v moved from %s to %s", p, first, second)
			}
		}
	}
}

// fleet returns ready members in each of the failure domains.
func fleet(domains, each int) []roster.Member {
	var members []roster.Member
	for d := range domains {
		for i := range each {
			members = append(members, member(fmt.Sprintf("%s-%d", domainName(d), i), domainName(d)))
		}
	}
	return members
}

// Guards against an instance that is named first to more client blocks than the
// other instances of its failure domain.
func TestClientsAreSpreadEvenly(t *testing.T) {
	for _, each := range []int{1, 2, 7, 27} {
		t.Run(fmt.Sprint(each), func(t *testing.T) {
			c := snapshot(3, 47_000)
			table := newTable(t, c, fleet(3, each))
			counts := map[string]int{}
			for _, l := range c.Clients {
				for _, p := range l.Blocks {
					counts[table.Instance(table.Find(p.Addr())[0]).Name]++
				}
			}
			total, most := 0, 0
			for _, n := range counts {
				total, most = total+n, max(most, n)
			}
			ratio := float64(most) * float64(3*each) / float64(total)
			t.Logf("most loaded instance over the mean: %.3f", ratio)
			if len(counts) != 3*each || ratio > 1.15 {
				t.Errorf("%d instances get clients, ratio %.3f; want all instances and at most 1.15", len(counts), ratio)
			}
		})
	}
}

// Guards against an overload state that changes with every heartbeat at a load
// near the limit, so that the table is replaced each time.
func TestOverloadedHysteresis(t *testing.T) {
	var got []bool
	state := false
	for _, queued := range []uint32{10, 11, 10, 6, 5, 6, 10, 11} {
		m := roster.Member{State: &wire.PeerState{Servers: []*wire.ServerLoad{{Queued: queued, Slots: 10}}}}
		state = lookup.Overloaded(m, state)
		got = append(got, state)
	}
	if diff := cmp.Diff([]bool{false, true, true, true, false, false, false, true}, got); diff != "" {
		t.Errorf("overloaded (-want +got):\n%s", diff)
	}
}

// Guards against allocations in the look-up and in the encoding of the answer.
func TestNoAllocation(t *testing.T) {
	table := newTable(t, snapshot(30, 3000), fleet(30, 3))
	client, buffer := netip.MustParseAddr("10.1.2.3"), make([]byte, 0, 4096)
	if n := testing.AllocsPerRun(1000, func() { buffer = table.AppendAnswer(buffer[:0], client) }); n != 0 {
		t.Errorf("%v allocations per look-up", n)
	}
}

// Guards against a locator that stays in use although the configuration moved a
// block, a site or a failure domain, or changed the lifetime.
func TestLocatorFollowsConfiguration(t *testing.T) {
	base := snapshot(3, 30)
	locator, err := lookup.NewLocator(base)
	if err != nil {
		t.Fatal(err)
	}
	changes := map[string]func(c *configuration.Snapshot){
		"nothing":  func(*configuration.Snapshot) {},
		"block":    func(c *configuration.Snapshot) { c.Clients[1].Blocks = c.Clients[1].Blocks[1:] },
		"site":     func(c *configuration.Snapshot) { c.Clients[1].Site = "d02" },
		"domain":   func(c *configuration.Snapshot) { c.Sites["d01"] = configuration.Site{Name: "d01", Domain: "d02"} },
		"region":   func(c *configuration.Snapshot) { c.Domains["d01"] = configuration.Domain{Name: "d01", Region: "r9"} },
		"added":    func(c *configuration.Snapshot) { c.Domains["d09"] = configuration.Domain{Name: "d09", Region: "r0"} },
		"lifetime": func(c *configuration.Snapshot) { c.Fleet.LookupLifetime = time.Second },
	}
	for name, change := range changes {
		c := snapshot(3, 30)
		change(c)
		got, err := locator.WithConfiguration(c)
		if err != nil {
			t.Fatal(err)
		}
		if diff := cmp.Diff(name == "nothing", got == locator); diff != "" {
			t.Errorf("%s: same locator (-want +got):\n%s", name, diff)
		}
	}
}

// BenchmarkFind measures the look-up of an address in tables of three sizes, with and
// without a writer that replaces the table at the same time.
func BenchmarkFind(b *testing.B) {
	for _, writer := range []bool{false, true} {
		for _, n := range []int{4_700, 47_000, 470_000} {
			b.Run(fmt.Sprintf("swapping=%v/%d", writer, n), func(b *testing.B) { benchmarkFind(b, n, writer) })
		}
	}
}

// benchmarkFind measures look-ups through an atomic pointer to the table. The
// writer alternates between two prepared tables, because building them would count
// towards the allocations per look-up.
func benchmarkFind(b *testing.B, n int, writer bool) {
	c := snapshot(30, n)
	var tables [2]*lookup.Table
	for i := range tables {
		locator, err := lookup.NewLocator(c)
		if err != nil {
			b.Fatal(err)
		}
		tables[i] = lookup.NewTable(locator, lookup.Candidates(fleet(30, 27)[i:], func(roster.Member) bool { return false }))
	}
	var current atomic.Pointer[lookup.Table]
	current.Store(tables[0])
	stop, ended := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(ended)
		for i := 1; writer; i++ {
			select {
			case <-stop:
				return
			default:
				current.Store(tables[i%2])
			}
		}
	}()
	r := rand.New(rand.NewPCG(3, 3))
	clients := make([]netip.Addr, 1<<16)
	for i := range clients {
		clients[i] = netip.AddrFrom4([4]byte{10, byte(r.IntN(256)), byte(r.IntN(256)), byte(r.IntN(256))})
	}
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		current.Load().Find(clients[i&(1<<16-1)])
	}
	close(stop)
	<-ended
}

// BenchmarkNewTable measures the construction of a table for 90, 270 and 810 instances.
func BenchmarkNewTable(b *testing.B) {
	locator, err := lookup.NewLocator(snapshot(30, 3000))
	if err != nil {
		b.Fatal(err)
	}
	for _, n := range []int{3, 9, 27} {
		candidates := lookup.Candidates(fleet(30, n), func(roster.Member) bool { return false })
		b.Run(fmt.Sprint(30*n), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				lookup.NewTable(locator, candidates)
			}
		})
	}
}
