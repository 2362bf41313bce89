package measure

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"strings"
	"time"

	"tamarackrun"
	"tamarackrun/internal/coordination/lookup"
	"tamarackrun/internal/protocol/wire"
	"tamarackrun/internal/state/configuration"
	"tamarackrun/internal/state/roster"
)

// sampleSeed is the seed of all generated input, so that two runs measure the same.
const sampleSeed = 11

// layout holds the numbers of failure domains, regions and sites over which the
// sample fleet is spread.
type layout struct{ domains, regions, sites int }

func (l layout) domain(n int) string { return fmt.Sprintf("domain-%02d", n%l.domains) }

// documentText returns an operators' document with the given numbers of client
// blocks, organisations (each with one key) and backend servers.
func documentText(l layout, blocks, organisations, servers int) string {
	var b strings.Builder
	hash := func(s string) string { h := sha256.Sum256([]byte(s)); return hex.EncodeToString(h[:]) }
	fmt.Fprintf(&b, "[base/team/base]\noperatorKeyHash = %s\n[base/fleet/fleet]\nstoreRegion = region-00\n", hash("base"))
	for r := range l.regions {
		fmt.Fprintf(&b, "[base/region/region-%02d]\nlinkMegabits = 4000\n", r)
	}
	for d := range l.domains {
		fmt.Fprintf(&b, "[base/domain/%s]\nregion = region-%02d\n", l.domain(d), d%l.regions)
	}
	for s := range l.sites {
		fmt.Fprintf(&b, "[base/site/site-%03d]\ndomain = %s\n", s, l.domain(s))
	}
	for o := range organisations {
		fmt.Fprintf(&b, "[base/organisation/organisation-%05d]\nrate = 100\nburst = 200\n[base/key/key-%05d]\norganisation = organisation-%05d\nhash = %s\n",
			o, o, o, hash(fmt.Sprint("key", o)))
	}
	b.WriteString("[base/service/service]\nslots = 3\n[base/route/route]\npath = /call\nmethods = GET\nservice = service\nidempotent = yes\n")
	for s := range servers {
		fmt.Fprintf(&b, "[base/server/server-%05d]\nservice = service\ndomain = %s\naddress = 10.%d.%d.%d:8080\n",
			s, l.domain(s), s>>16, s>>8&255, s&255)
	}
	writeBlocks(&b, l, blocks)
	return b.String()
}

// writeBlocks writes the client blocks, divided evenly among one section for each
// site.
func writeBlocks(b *strings.Builder, l layout, blocks int) {
	prefixes := samplePrefixes(blocks)
	for s := range l.sites {
		low, high := s*blocks/l.sites, (s+1)*blocks/l.sites
		if low == high {
			continue
		}
		fmt.Fprintf(b, "[base/clients/clients-%03d]\nsite = site-%03d\nblocks = ", s, s)
		for i := low; i < high; i++ {
			if i > low {
				b.WriteString(", ")
			}
			b.WriteString(prefixes[i].String())
		}
		b.WriteByte('\n')
	}
}

// samplePrefixes returns distinct client blocks, half of them IPv6. One in ten lies
// inside another block.
func samplePrefixes(n int) []netip.Prefix {
	r := rand.New(rand.NewPCG(sampleSeed, uint64(n)))
	seen := make(map[netip.Prefix]bool, n)
	prefixes := make([]netip.Prefix, 0, n)
	for len(prefixes) < n {
		p := samplePrefix(r)
		if k := len(prefixes); k%10 == 9 {
			outer := prefixes[r.IntN(k)]
			p = netip.PrefixFrom(outer.Addr(), min(outer.Bits()+1+r.IntN(4), outer.Addr().BitLen()))
		}
		if !seen[p] {
			seen[p] = true
			prefixes = append(prefixes, p)
		}
	}
	r.Shuffle(n, func(i, j int) { prefixes[i], prefixes[j] = prefixes[j], prefixes[i] })
	return prefixes
}

// samplePrefix returns a random client block: an IPv4 prefix of 16 to 24 bits or an
// IPv6 prefix of 32 to 48 bits.
func samplePrefix(r *rand.Rand) netip.Prefix {
	var raw [16]byte
	binary.BigEndian.PutUint64(raw[:], 0x2400<<48|r.Uint64()>>16)
	if r.IntN(2) == 0 {
		four := [4]byte{byte(1 + r.IntN(223)), byte(r.IntN(256)), byte(r.IntN(256)), byte(r.IntN(256))}
		p, _ := netip.AddrFrom4(four).Prefix(16 + r.IntN(9))
		return p
	}
	p, _ := netip.AddrFrom16(raw).Prefix(32 + r.IntN(17))
	return p
}

// sampleClients returns addresses inside random client blocks of the configuration.
func sampleClients(c *configuration.Snapshot, n int) []netip.Addr {
	r := rand.New(rand.NewPCG(sampleSeed, 1))
	clients := make([]netip.Addr, n)
	for i := range clients {
		l := c.Clients[r.IntN(len(c.Clients))]
		clients[i] = l.Blocks[r.IntN(len(l.Blocks))].Addr()
	}
	return clients
}

// sampleMembers returns serving instances spread over the failure domains.
func sampleMembers(l layout, n int) []roster.Member {
	members := make([]roster.Member, n)
	for i := range members {
		name := fmt.Sprintf("entry-%03d", i)
		members[i] = roster.Member{Reachable: true, State: sampleState(name, 6), Listing: tamarackrun.Listing{
			Name: name, FailureDomain: l.domain(i), CallerAddress: fmt.Sprintf("10.200.%d.%d:7100", i>>8, i&255),
			PeerAddress: fmt.Sprintf("10.200.%d.%d:7200", i>>8, i&255)}}
	}
	return members
}

func sampleCandidates(members []roster.Member) []lookup.Candidate {
	return lookup.Candidates(members, func(roster.Member) bool { return false })
}

// sampleState returns the content of a heartbeat with the load of some backend
// servers.
func sampleState(name string, servers int) *wire.PeerState {
	state := &wire.PeerState{Name: name, Incarnation: name + "-ABCDEFGHIJKLM", FailureDomain: "domain-00",
		Phase: roster.Ready, ConfigurationVersion: 123_456, ProofAgeMillis: 1234}
	for s := range servers {
		state.Servers = append(state.Servers, &wire.ServerLoad{Name: fmt.Sprintf("server-%05d", s),
			InFlight: 2, Queued: 1, Slots: 3, ShiftRoom: 1})
	}
	return state
}

// fixedClock is a clock that always returns the same time.
type fixedClock struct{}

func (fixedClock) Now() time.Duration { return time.Hour }
