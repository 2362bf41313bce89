package clientblock_test

import (
	"encoding/binary"
	"flag"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"testing"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"tamarackrun/internal/state/clientblock"
)

// init gives the property tests a fixed seed, so that each run tests the same
// cases. The command line overrides it.
func init() { _ = flag.Set("rapid.seed", "1") }

// longestPrefixSite returns the site of the longest prefix that contains the address,
// by a scan of all blocks.
func longestPrefixSite(blocks []clientblock.Block, a netip.Addr) uint16 {
	best, site := -1, uint16(clientblock.NoSite)
	for _, b := range blocks {
		if b.Prefix.Contains(a) && b.Prefix.Bits() >= best {
			best, site = b.Prefix.Bits(), b.Site
		}
	}
	return site
}

// drawAddr draws an address with few distinct values per octet, so that blocks often
// nest and often touch the ends of the address space.
func drawAddr(t *rapid.T, ipv6 bool, label string) netip.Addr {
	octets := rapid.SampledFrom([]byte{0, 1, 127, 128, 254, 255})
	var raw [16]byte
	for i := range raw {
		if i < 4 || i > 13 {
			raw[i] = octets.Draw(t, label)
		}
	}
	if ipv6 {
		return netip.AddrFrom16(raw)
	}
	return netip.AddrFrom4([4]byte(raw[:4]))
}

// Guards against a nested block that hides its neighbours, a range that does not end
// where its block ends, and errors at the ends of the address space.
func TestFindReturnsLongestPrefix(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var blocks []clientblock.Block
		for range rapid.IntRange(0, 24).Draw(t, "blocks") {
			a := drawAddr(t, rapid.Bool().Draw(t, "six"), "block")
			p, _ := a.Prefix(rapid.IntRange(0, a.BitLen()).Draw(t, "bits"))
			blocks = append(blocks, clientblock.Block{Prefix: p, Site: uint16(rapid.IntRange(0, 5).Draw(t, "site"))})
		}
		table, err := clientblock.New(blocks)
		if err != nil {
			t.Fatal(err)
		}
		probes := []netip.Addr{netip.IPv4Unspecified(), netip.IPv6Unspecified()}
		for range 20 {
			probes = append(probes, drawAddr(t, rapid.Bool().Draw(t, "six"), "probe"))
		}
		for _, b := range blocks {
			probes = append(probes, b.Prefix.Addr(), b.Prefix.Addr().Prev(), b.Prefix.Addr().Next())
		}
		for _, a := range probes {
			if !a.IsValid() || a.Is4In6() {
				continue
			}
			if diff := cmp.Diff(longestPrefixSite(blocks, a), table.Find(a).Site); diff != "" {
				t.Fatalf("%v in %v (-want +got):\n%s", a, blocks, diff)
			}
		}
	})
}

// Guards against a table of 64 MiB or more at the target size of 470,000 blocks, and
// against allocations in look-ups.
func TestTableAtTargetSize(t *testing.T) {
	blocks, addresses := sampleBlocks(470_000)
	table, err := clientblock.New(blocks)
	if err != nil {
		t.Fatal(err)
	}
	if table.Bytes() >= 64<<20 {
		t.Errorf("the table has %d bytes, want less than 64 MiB", table.Bytes())
	}
	n := 0
	if allocations := testing.AllocsPerRun(1000, func() { table.Find(addresses[n%len(addresses)]); n++ }); allocations != 0 {
		t.Errorf("%v allocations per look-up", allocations)
	}
}

// sampleBlocks returns n blocks, half of them IPv6 and a tenth nested in another, and
// random addresses inside them.
func sampleBlocks(n int) ([]clientblock.Block, []netip.Addr) {
	r := rand.New(rand.NewPCG(1, uint64(n)))
	blocks := make([]clientblock.Block, 0, n)
	for i := range n {
		var raw [16]byte
		binary.BigEndian.PutUint64(raw[:], 0x2400<<48|r.Uint64()>>16)
		p, _ := netip.AddrFrom16(raw).Prefix(32 + r.IntN(17))
		if i%2 == 0 {
			p, _ = netip.AddrFrom4([4]byte(raw[4:8])).Prefix(16 + r.IntN(9))
		}
		blocks = append(blocks, clientblock.Block{Prefix: p, Site: uint16(r.IntN(200))})
		if i%10 == 9 {
			outer := blocks[r.IntN(len(blocks))].Prefix
			inner, _ := outer.Addr().Prefix(min(outer.Bits()+4, outer.Addr().BitLen()))
			blocks[i].Prefix = inner
		}
	}
	addresses := make([]netip.Addr, 1<<16)
	for i := range addresses {
		addresses[i] = blocks[r.IntN(n)].Prefix.Addr().Next()
	}
	return blocks, addresses
}

// BenchmarkFind measures the look-up of an address in tables of three sizes, and reports
// the memory of each table.
func BenchmarkFind(b *testing.B) {
	for _, n := range []int{4_700, 47_000, 470_000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			blocks, addresses := sampleBlocks(n)
			table, err := clientblock.New(blocks)
			if err != nil {
				b.Fatal(err)
			}
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				table.Find(addresses[i&(1<<16-1)])
			}
			b.ReportMetric(float64(table.Bytes()), "tableBytes")
		})
	}
}
