// Package clientblock maps client addresses to sites by longest prefix. A table is
// immutable and compact, so look-ups take no lock and allocate nothing.
package clientblock

import (
	"cmp"
	"encoding/binary"
	"errors"
	"net/netip"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// NoSite is the site number of addresses that no block contains.
const NoSite = 0xFFFF

const (
	// indexBits is the number of leading bits of an IPv4 address that index the
	// ranges directly, which saves most steps of the binary search.
	indexBits = 16
	indexSize = 1 << indexBits
	// fallbackBits4 and fallbackBits6 are the prefix lengths of the blocks that are
	// hashed for addresses without a site: the usual sizes of one assignment to a
	// customer.
	fallbackBits4 = 24
	fallbackBits6 = 48
)

// ErrTooManySites is returned if a site number does not fit the table, which has
// 16 bits for it.
var ErrTooManySites = errors.New("more than 65535 sites, the most that a table can number")

// Block is one client block of a site.
type Block struct {
	Prefix netip.Prefix
	// Site is the number of the site, below NoSite.
	Site uint16
}

// Match is the result of a look-up.
type Match struct {
	// Site is NoSite if no block contains the address.
	Site uint16
	// Hash is a hash of the most specific block, or of the address's /24 or /48 if no
	// block contains it. It is equal for the addresses of one block.
	Hash uint16
}

// Table maps addresses to the most specific of possibly nested blocks. The
// blocks are flattened to disjoint ranges, each stored by its first address.
type Table struct {
	// index4 maps each value of the leading bits of an IPv4 address to the number of
	// ranges that start at lower values.
	index4 []uint32
	// starts4 holds the first addresses of the IPv4 ranges, sorted, and matches4 the
	// match of each range.
	starts4  []uint32
	matches4 []Match
	// startsHigh6 and startsLow6 hold the upper and lower halves of the first
	// addresses of the IPv6 ranges, sorted, and matches6 the match of each range.
	startsHigh6, startsLow6 []uint64
	matches6                []Match
}

// New builds a table. Of several blocks with equal prefixes the last one counts.
func New(blocks []Block) (*Table, error) {
	var ranges4, ranges6 []addressRange
	for _, b := range blocks {
		if b.Site == NoSite {
			return nil, ErrTooManySites
		}
		p := unmap(b.Prefix).Masked()
		r := newAddressRange(p, Match{b.Site, hashOf(p)})
		if p.Addr().Is4() {
			ranges4 = append(ranges4, r)
		} else {
			ranges6 = append(ranges6, r)
		}
	}
	t := &Table{}
	t.setRanges4(flatten(ranges4, uint128{0, 1<<32 - 1}))
	t.setRanges6(flatten(ranges6, uint128{1<<64 - 1, 1<<64 - 1}))
	return t, nil
}

// unmap converts a block of IPv4-mapped IPv6 addresses to an IPv4 block, as Find
// does with addresses.
func unmap(p netip.Prefix) netip.Prefix {
	const mappedBits = 96
	if p.Addr().Is4In6() && p.Bits() >= mappedBits {
		return netip.PrefixFrom(p.Addr().Unmap(), p.Bits()-mappedBits)
	}
	return p
}

// hashOf returns a 16-bit hash of a block.
func hashOf(p netip.Prefix) uint16 {
	var buffer [17]byte
	address := p.Addr().As16()
	copy(buffer[:], address[:])
	buffer[16] = byte(p.Bits())
	return uint16(xxhash.Sum64(buffer[:]))
}

// uint128 is the value of an IPv4 or IPv6 address.
type uint128 struct{ high, low uint64 }

// less reports whether n is less than o.
func (n uint128) less(o uint128) bool {
	return n.high < o.high || n.high == o.high && n.low < o.low
}

func (n uint128) compare(o uint128) int {
	if c := cmp.Compare(n.high, o.high); c != 0 {
		return c
	}
	return cmp.Compare(n.low, o.low)
}

// next returns n + 1.
func (n uint128) next() uint128 {
	if n.low == 1<<64-1 {
		return uint128{n.high + 1, 0}
	}
	return uint128{n.high, n.low + 1}
}

// toUint128 returns the value of an address.
func toUint128(a netip.Addr) uint128 {
	if a.Is4() {
		raw := a.As4()
		return uint128{0, uint64(binary.BigEndian.Uint32(raw[:]))}
	}
	raw := a.As16()
	return uint128{binary.BigEndian.Uint64(raw[:8]), binary.BigEndian.Uint64(raw[8:])}
}

// addressRange is the range of addresses of one block.
type addressRange struct {
	first, last uint128
	match       Match
	// position is that of the block in the arguments of New.
	position int
}

// newAddressRange returns the range of a masked prefix.
func newAddressRange(p netip.Prefix, m Match) addressRange {
	r := addressRange{first: toUint128(p.Addr()), match: m}
	hostBits := p.Addr().BitLen() - p.Bits()
	r.last = r.first
	if hostBits >= 64 {
		r.last.low = 1<<64 - 1
		r.last.high |= 1<<(hostBits-64) - 1
	} else {
		r.last.low |= 1<<hostBits - 1
	}
	return r
}

// boundary is the first address of a disjoint range, which ends before the next
// boundary.
type boundary struct {
	start uint128
	match Match
}

// flatten converts the ranges of nested blocks to disjoint ranges. limit is the last
// address of the address space.
func flatten(ranges []addressRange, limit uint128) []boundary {
	// Comparing positions makes the sort stable. With the library's stable sort,
	// building a table of 470,000 blocks took 0.77 s instead of 0.59 s.
	for i := range ranges {
		ranges[i].position = i
	}
	slices.SortFunc(ranges, func(a, b addressRange) int {
		return cmp.Or(a.first.compare(b.first), b.last.compare(a.last), a.position-b.position)
	})
	boundaries := make([]boundary, 0, 2*len(ranges))
	// emit adds a boundary or replaces the match of one at the same address.
	emit := func(start uint128, m Match) {
		n := len(boundaries)
		if n > 0 && boundaries[n-1].start == start {
			boundaries[n-1].match = m
			return
		}
		boundaries = append(boundaries, boundary{start, m})
	}
	// enclosing is the stack of ranges that contain the current address.
	var enclosing []addressRange
	// closeBefore removes the ranges that end before an address, or all of them, and
	// emits the boundaries at which the ranges around them continue.
	closeBefore := func(first uint128, all bool) {
		for len(enclosing) > 0 && (all || enclosing[len(enclosing)-1].last.less(first)) {
			last := enclosing[len(enclosing)-1].last
			enclosing = enclosing[:len(enclosing)-1]
			if last == limit {
				continue
			}
			outer := Match{Site: NoSite}
			if len(enclosing) > 0 {
				outer = enclosing[len(enclosing)-1].match
			}
			emit(last.next(), outer)
		}
	}
	for _, r := range ranges {
		closeBefore(r.first, false)
		emit(r.first, r.match)
		enclosing = append(enclosing, r)
	}
	closeBefore(uint128{}, true)
	return boundaries
}

// setRanges4 fills the tables for IPv4 addresses.
func (t *Table) setRanges4(boundaries []boundary) {
	t.index4 = make([]uint32, indexSize+1)
	t.starts4, t.matches4 = make([]uint32, len(boundaries)), make([]Match, len(boundaries))
	for i, b := range boundaries {
		t.starts4[i], t.matches4[i] = uint32(b.start.low), b.match
		t.index4[t.starts4[i]>>(32-indexBits)+1]++
	}
	for i := range indexSize {
		t.index4[i+1] += t.index4[i]
	}
}

// setRanges6 fills the tables for IPv6 addresses.
func (t *Table) setRanges6(boundaries []boundary) {
	t.startsHigh6, t.startsLow6 = make([]uint64, len(boundaries)), make([]uint64, len(boundaries))
	t.matches6 = make([]Match, len(boundaries))
	for i, b := range boundaries {
		t.startsHigh6[i], t.startsLow6[i], t.matches6[i] = b.start.high, b.start.low, b.match
	}
}

// Find returns the match of the most specific block that contains the address.
func (t *Table) Find(a netip.Addr) Match {
	a = a.Unmap()
	n := toUint128(a)
	var m Match
	if a.Is4() {
		m = t.find4(uint32(n.low))
	} else {
		m = t.find6(n)
	}
	if m.Site != NoSite {
		return m
	}
	bits := fallbackBits6
	if a.Is4() {
		bits = fallbackBits4
	}
	p, _ := a.Prefix(bits)
	return Match{NoSite, hashOf(p)}
}

// find4 returns the match of the last range that starts at or before the address.
// That range may start at a lower value of the indexed bits.
func (t *Table) find4(a uint32) Match {
	bucket := a >> (32 - indexBits)
	low, high := t.index4[bucket], t.index4[bucket+1]
	for low < high {
		middle := (low + high) / 2
		if t.starts4[middle] <= a {
			low = middle + 1
		} else {
			high = middle
		}
	}
	if low == 0 {
		return Match{Site: NoSite}
	}
	return t.matches4[low-1]
}

// find6 returns the match of the last range that starts at or before the address.
func (t *Table) find6(n uint128) Match {
	low, high := 0, len(t.startsHigh6)
	for low < high {
		middle := (low + high) / 2
		if (uint128{t.startsHigh6[middle], t.startsLow6[middle]}).less(n) || t.startsHigh6[middle] == n.high && t.startsLow6[middle] == n.low {
			low = middle + 1
		} else {
			high = middle
		}
	}
	if low == 0 {
		return Match{Site: NoSite}
	}
	return t.matches6[low-1]
}

// Bytes returns the memory of the table's arrays.
func (t *Table) Bytes() int {
	const match = 4
	return 4*len(t.index4) + (4+match)*len(t.starts4) + (16+match)*len(t.startsHigh6)
}
