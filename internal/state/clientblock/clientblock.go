// Package clientblock maps client addresses to sites. A table is immutable and
// compact, so that look-ups take no lock and allocate nothing.
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
	// firstBits is the number of leading bits of an IPv4 address that select a
	// part of the ranges directly, which saves most steps of the binary search.
	firstBits = 16
	parts     = 1 << firstBits
	// defaultBits4 and defaultBits6 are the blocks by which addresses without
	// a site are spread: the usual sizes of one assignment to a customer.
	defaultBits4 = 24
	defaultBits6 = 48
)

// ErrTooManySites says that the sites do not fit the table's 16-bit numbers.
var ErrTooManySites = errors.New("more than 65534 sites")

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
	// Hash is a hash of the most specific block. Without a block it is a
	// hash of the address's surrounding /24 or /48.
	Hash uint16
}

// Table maps addresses to the most specific of possibly nested blocks. The
// blocks are flattened to disjoint ranges, each stored by its first address.
type Table struct {
	// first4 gives, for the leading bits of an IPv4 address, the number of
	// ranges that start at a lower part.
	first4 []uint32
	// start4 is sorted; value4 holds site and spread of each range.
	start4 []uint32
	value4 []Match
	// high6 and low6 are the halves of the sorted starts of the IPv6 ranges.
	high6, low6 []uint64
	value6      []Match
}

// New builds a table. Of equal prefixes the last one wins.
func New(blocks []Block) (*Table, error) {
	var four, six []span
	for _, b := range blocks {
		if b.Site == NoSite {
			return nil, ErrTooManySites
		}
		p := unmap(b.Prefix).Masked()
		s := newSpan(p, Match{b.Site, spreadOf(p)})
		if p.Addr().Is4() {
			four = append(four, s)
		} else {
			six = append(six, s)
		}
	}
	t := &Table{}
	t.fill4(flatten(four, number{0, 1<<32 - 1}))
	t.fill6(flatten(six, number{1<<64 - 1, 1<<64 - 1}))
	return t, nil
}

// unmap turns a block of IPv4-mapped IPv6 addresses into an IPv4 block, as Find
// does with addresses.
func unmap(p netip.Prefix) netip.Prefix {
	const mappedBits = 96
	if p.Addr().Is4In6() && p.Bits() >= mappedBits {
		return netip.PrefixFrom(p.Addr().Unmap(), p.Bits()-mappedBits)
	}
	return p
}

func spreadOf(p netip.Prefix) uint16 {
	var buffer [17]byte
	address := p.Addr().As16()
	copy(buffer[:], address[:])
	buffer[16] = byte(p.Bits())
	return uint16(xxhash.Sum64(buffer[:]))
}

// number is an address as an unsigned integer.
type number struct{ high, low uint64 }

func (n number) less(o number) bool {
	return n.high < o.high || n.high == o.high && n.low < o.low
}

func (n number) compare(o number) int {
	if c := cmp.Compare(n.high, o.high); c != 0 {
		return c
	}
	return cmp.Compare(n.low, o.low)
}

func (n number) next() number {
	if n.low == 1<<64-1 {
		return number{n.high + 1, 0}
	}
	return number{n.high, n.low + 1}
}

func numberOf(a netip.Addr) number {
	if a.Is4() {
		raw := a.As4()
		return number{0, uint64(binary.BigEndian.Uint32(raw[:]))}
	}
	raw := a.As16()
	return number{binary.BigEndian.Uint64(raw[:8]), binary.BigEndian.Uint64(raw[8:])}
}

// span is a block with its first and last address.
type span struct {
	first, last number
	match       Match
	order       int
}

func newSpan(p netip.Prefix, m Match) span {
	s := span{first: numberOf(p.Addr()), match: m}
	host := p.Addr().BitLen() - p.Bits()
	s.last = s.first
	if host >= 64 {
		s.last.low = 1<<64 - 1
		s.last.high |= 1<<(host-64) - 1
	} else {
		s.last.low |= 1<<host - 1
	}
	return s
}

// edge is the first address of a range; the range ends before the next edge.
type edge struct {
	start number
	match Match
}

// flatten turns nested blocks into disjoint ranges. limit is the last address.
func flatten(spans []span, limit number) []edge {
	// The order makes the sort stable. With the library's stable sort building
	// a table of 470,000 blocks took 0.77 s instead of 0.59 s.
	for i := range spans {
		spans[i].order = i
	}
	slices.SortFunc(spans, func(a, b span) int {
		return cmp.Or(a.first.compare(b.first), b.last.compare(a.last), a.order-b.order)
	})
	edges := make([]edge, 0, 2*len(spans))
	emit := func(start number, m Match) {
		n := len(edges)
		if n > 0 && edges[n-1].start == start {
			edges[n-1].match = m
			return
		}
		edges = append(edges, edge{start, m})
	}
	var open []span
	closeBefore := func(first number, all bool) {
		for len(open) > 0 && (all || open[len(open)-1].last.less(first)) {
			last := open[len(open)-1].last
			open = open[:len(open)-1]
			if last == limit {
				continue
			}
			outer := Match{Site: NoSite}
			if len(open) > 0 {
				outer = open[len(open)-1].match
			}
			emit(last.next(), outer)
		}
	}
	for _, s := range spans {
		closeBefore(s.first, false)
		emit(s.first, s.match)
		open = append(open, s)
	}
	closeBefore(number{}, true)
	return edges
}

func (t *Table) fill4(edges []edge) {
	t.first4 = make([]uint32, parts+1)
	t.start4, t.value4 = make([]uint32, len(edges)), make([]Match, len(edges))
	for i, e := range edges {
		t.start4[i], t.value4[i] = uint32(e.start.low), e.match
		t.first4[t.start4[i]>>(32-firstBits)+1]++
	}
	for i := range parts {
		t.first4[i+1] += t.first4[i]
	}
}

func (t *Table) fill6(edges []edge) {
	t.high6, t.low6 = make([]uint64, len(edges)), make([]uint64, len(edges))
	t.value6 = make([]Match, len(edges))
	for i, e := range edges {
		t.high6[i], t.low6[i], t.value6[i] = e.start.high, e.start.low, e.match
	}
}

// Find returns the site of the most specific block that contains the address.
func (t *Table) Find(a netip.Addr) Match {
	a = a.Unmap()
	n := numberOf(a)
	var m Match
	if a.Is4() {
		m = t.find4(uint32(n.low))
	} else {
		m = t.find6(n)
	}
	if m.Site != NoSite {
		return m
	}
	bits := defaultBits6
	if a.Is4() {
		bits = defaultBits4
	}
	p, _ := a.Prefix(bits)
	return Match{NoSite, spreadOf(p)}
}

// find4 returns the last range that starts at or before the address. It may be
// the last one of an earlier part.
func (t *Table) find4(a uint32) Match {
	part := a >> (32 - firstBits)
	low, high := t.first4[part], t.first4[part+1]
	for low < high {
		middle := (low + high) / 2
		if t.start4[middle] <= a {
			low = middle + 1
		} else {
			high = middle
		}
	}
	if low == 0 {
		return Match{Site: NoSite}
	}
	return t.value4[low-1]
}

func (t *Table) find6(n number) Match {
	low, high := 0, len(t.high6)
	for low < high {
		middle := (low + high) / 2
		if (number{t.high6[middle], t.low6[middle]}).less(n) || t.high6[middle] == n.high && t.low6[middle] == n.low {
			low = middle + 1
		} else {
			high = middle
		}
	}
	if low == 0 {
		return Match{Site: NoSite}
	}
	return t.value6[low-1]
}

// Bytes returns the size of the table's arrays in memory.
func (t *Table) Bytes() int {
	const match = 4
	return 4*len(t.first4) + (4+match)*len(t.start4) + (16+match)*len(t.high6)
}
