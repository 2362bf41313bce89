// Package lookup chooses the entry instances of a caller. All choices are made
// in advance, so that answering takes no lock and allocates nothing.
package lookup

import (
	"encoding/json"
	"maps"
	"net/netip"
	"slices"
	"sort"
	"strconv"

	"github.com/cespare/xxhash/v2"

	"tamarackrun/internal/state/clientblock"
	"tamarackrun/internal/state/configuration"
	"tamarackrun/internal/state/roster"
)

const (
	// MaxInstances bounds an answer, so that it stays small in a large fleet.
	MaxInstances = 8
	// In a large fleet an answer holds at most this many instances of the
	// site's failure domain and of the rest of its region, so that it still
	// names working instances when one of them fails as a whole.
	maxSameDomain = 4
	maxSameRegion = 3
	// orders is the number of different answers of a failure domain. Client
	// blocks are spread over them by their hash. With 27 instances in a failure
	// domain each is first in 38 of them.
	orders = 1024
)

// Answer is the answer to a look-up.
type Answer struct {
	Instances []Instance `json:"instances"`
	// LifetimeMillis is how long the caller may use the answer.
	LifetimeMillis int64 `json:"lifetimeMillis"`
}

// Instance is one entry instance, best first.
type Instance struct {
	Name    string `json:"name"`
	Address string `json:"address"`
}

// Candidate is an instance that answers may name.
type Candidate struct {
	Instance
	FailureDomain string
	// Overloaded instances come last.
	Overloaded bool
}

// Candidates returns the members that answers may name, sorted by name:
// leaving, not ready, cut-off and unreachable ones are left out. overloaded
// tells which ones come last.
func Candidates(members []roster.Member, overloaded func(roster.Member) bool) []Candidate {
	candidates := make([]Candidate, 0, len(members))
	for _, m := range members {
		if !m.Serving() || m.State.CutOff {
			continue
		}
		candidates = append(candidates, Candidate{Instance{m.Listing.Name, m.Listing.CallerAddress},
			m.Listing.FailureDomain, overloaded(m)})
	}
	sort.Slice(candidates, func(i, j int) bool { return candidates[i].Name < candidates[j].Name })
	return candidates
}

// Overloaded says whether an instance's backend servers have more requests
// queued than slots. An instance that was overloaded stays so until the queues
// are shorter than half the slots, so that a load near the limit does not swap
// tables with each heartbeat.
func Overloaded(m roster.Member, before bool) bool {
	var queued, slots uint32
	for _, l := range m.State.GetServers() {
		queued, slots = queued+l.Queued, slots+l.Slots
	}
	if before {
		return queued > slots/2
	}
	return queued > slots
}

// Locator maps clients to failure domains. It depends on the configuration
// only and is immutable.
type Locator struct {
	blocks *clientblock.Table
	// siteDomain gives for each site the number of its failure domain.
	siteDomain []uint16
	domains    []string
	regions    []string
	lifetime   int64
	clients    []configuration.Clients
	sites      map[string]configuration.Site
}

// WithConfiguration returns the places of a newer configuration: p itself if it has the
// same blocks, sites and failure domains, since most changes concern others.
func (p *Locator) WithConfiguration(c *configuration.Snapshot) (*Locator, error) {
	same := p.lifetime == c.Fleet.LookupLifetime.Milliseconds() && maps.Equal(p.sites, c.Sites) &&
		len(p.domains) == len(c.Domains) && slices.EqualFunc(p.clients, c.Clients, equalClients)
	for i, name := range p.domains {
		same = same && c.Domains[name] == configuration.Domain{Name: name, Region: p.regions[i]}
	}
	if same {
		return p, nil
	}
	return NewLocator(c)
}

func equalClients(a, b configuration.Clients) bool {
	return a.Name == b.Name && a.Site == b.Site && slices.Equal(a.Blocks, b.Blocks)
}

// NewLocator returns the places of a configuration.
func NewLocator(c *configuration.Snapshot) (*Locator, error) {
	p := &Locator{lifetime: c.Fleet.LookupLifetime.Milliseconds(), clients: c.Clients, sites: c.Sites}
	numbers := map[string]uint16{}
	for _, name := range sorted(c.Domains) {
		numbers[name] = uint16(len(p.domains))
		p.domains, p.regions = append(p.domains, name), append(p.regions, c.RegionOf(name))
	}
	sites := map[string]uint16{}
	for _, name := range sorted(c.Sites) {
		if len(p.siteDomain) == clientblock.NoSite {
			return nil, clientblock.ErrTooManySites
		}
		sites[name] = uint16(len(p.siteDomain))
		p.siteDomain = append(p.siteDomain, numbers[c.Sites[name].Domain])
	}
	var blocks []clientblock.Block
	for _, l := range c.Clients {
		for _, prefix := range l.Blocks {
			blocks = append(blocks, clientblock.Block{Prefix: prefix, Site: sites[l.Site]})
		}
	}
	var err error
	p.blocks, err = clientblock.New(blocks)
	return p, err
}

func sorted[V any](m map[string]V) []string {
	names := make([]string, 0, len(m))
	for name := range m {
		names = append(names, name)
	}
	sort.Strings(names)
	return names
}

// Bytes returns the size of the client block table.
func (p *Locator) Bytes() int { return p.blocks.Bytes() }

// Table answers look-ups for one configuration and one state of the roster. It
// is immutable.
type Table struct {
	places     *Locator
	candidates []Candidate
	// pieces are the encoded candidates.
	pieces [][]byte
	end    []byte
	// lists holds the candidates' numbers for each failure domain and order.
	// The last domain is that of clients without a site.
	lists [][]uint16
}

// NewTable prepares all answers.
func NewTable(p *Locator, candidates []Candidate) *Table {
	t := &Table{places: p, candidates: slices.Clone(candidates),
		end: append(strconv.AppendInt([]byte(`],"lifetimeMillis":`), p.lifetime, 10), '}', '\n')}
	for _, c := range candidates {
		piece, err := json.Marshal(c.Instance)
		if err != nil {
			panic(err)
		}
		t.pieces = append(t.pieces, piece)
	}
	b := newBuilder(p, candidates)
	t.lists = make([][]uint16, (len(p.domains)+1)*orders)
	for o := range orders {
		b.rank(o)
		for d := range len(p.domains) + 1 {
			t.lists[d*orders+o] = b.list(d)
		}
	}
	return t
}

// Equal says whether the table was made from the same places and candidates.
func (t *Table) Equal(p *Locator, candidates []Candidate) bool {
	return t.places == p && slices.Equal(t.candidates, candidates)
}

// Find returns the numbers of the instances for a client, best first. The
// slice is part of the table.
func (t *Table) Find(client netip.Addr) []uint16 {
	m := t.places.blocks.Find(client)
	domain := len(t.places.domains)
	if m.Site != clientblock.NoSite {
		domain = int(t.places.siteDomain[m.Site])
	}
	return t.lists[domain*orders+int(m.Hash)%orders]
}

// Instance returns the instance with a number that Find returned.
func (t *Table) Instance(number uint16) Instance { return t.candidates[number].Instance }

// AppendAnswer appends the JSON form of a client's Answer.
func (t *Table) AppendAnswer(buffer []byte, client netip.Addr) []byte {
	buffer = append(buffer, `{"instances":[`...)
	for i, n := range t.Find(client) {
		if i > 0 {
			buffer = append(buffer, ',')
		}
		buffer = append(buffer, t.pieces[n]...)
	}
	return append(buffer, t.end...)
}

// Bytes returns the size of the table in memory, without its places.
func (t *Table) Bytes() int {
	const sliceHeader, perCandidate = 24, 80
	n := len(t.lists)*sliceHeader + len(t.candidates)*perCandidate
	for _, l := range t.lists {
		n += 2 * len(l)
	}
	for _, p := range t.pieces {
		n += sliceHeader + len(p)
	}
	return n
}

// builder makes the lists of one order after the other.
type builder struct {
	candidates []Candidate
	hashes     []uint64
	// domain and region are numbers of the candidates' places; region numbers
	// are those of any domain of the region.
	domain, region []int
	domainRegion   []int
	// ranking holds the candidates by descending score of the current order.
	ranking []uint16
	scores  []uint64
	// firsts counts, for each domain, how often a candidate came first.
	firsts [][]int
	// sizes has, for each domain, the number of candidates in each group.
	sizes [][2 * groups]int
}

// none is the number of an unknown place; clients without a site have it too.
const none = -1

func newBuilder(p *Locator, candidates []Candidate) *builder {
	b := &builder{candidates: candidates, scores: make([]uint64, len(candidates))}
	domains, regions := map[string]int{}, map[string]int{}
	for d, name := range p.domains {
		domains[name] = d
		if _, ok := regions[p.regions[d]]; !ok {
			regions[p.regions[d]] = d
		}
		b.domainRegion = append(b.domainRegion, regions[p.regions[d]])
	}
	b.domainRegion = append(b.domainRegion, none)
	for i, c := range candidates {
		b.hashes = append(b.hashes, xxhash.Sum64String(c.Name))
		b.ranking = append(b.ranking, uint16(i))
		d, ok := domains[c.FailureDomain]
		region := none
		if ok {
			region = b.domainRegion[d]
		} else {
			d = none
		}
		b.domain, b.region = append(b.domain, d), append(b.region, region)
	}
	for range len(p.domains) + 1 {
		b.firsts = append(b.firsts, make([]int, len(candidates)))
	}
	b.sizes = make([][2 * groups]int, len(p.domains)+1)
	for d := range b.sizes {
		for i := range candidates {
			b.sizes[d][b.group(uint16(i), d)]++
		}
	}
	return b
}

// mix is the finalizer of MurmurHash3. It is a bijection, so that equal scores
// need equal hashes.
func mix(x uint64) uint64 {
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	x *= 0xc4ceb9fe1a85ec53
	return x ^ x>>33
}

// rank sorts the candidates by their rendezvous scores for an order.
func (b *builder) rank(order int) {
	for i, h := range b.hashes {
		b.scores[i] = mix(h ^ mix(uint64(order)+1))
	}
	slices.SortFunc(b.ranking, func(i, j uint16) int {
		switch {
		case b.scores[i] > b.scores[j]:
			return -1
		case b.scores[i] < b.scores[j]:
			return 1
		default:
			return int(i) - int(j)
		}
	})
}

// Groups of candidates in the order in which clients try them. Overloaded
// candidates are in three further groups after these.
const (
	sameDomain = iota
	sameRegion
	elsewhere
	groups
)

// group is the group of a candidate for clients of a failure domain.
func (b *builder) group(candidate uint16, domain int) int {
	g := elsewhere
	switch {
	case b.domain[candidate] == domain:
		g = sameDomain
	case b.region[candidate] != none && b.region[candidate] == b.domainRegion[domain]:
		g = sameRegion
	}
	if b.candidates[candidate].Overloaded {
		g += groups
	}
	return g
}

// choice collects one list by groups.
type choice struct {
	picked, extra [2 * groups][]uint16
	size          int
}

var groupLimits = [2 * groups]int{sameDomain: maxSameDomain, sameRegion: maxSameRegion, elsewhere: MaxInstances}

// list returns the answer of the current order for a failure domain. It takes
// a bounded number of each group and then fills up with the best remaining, of
// which overloaded candidates are the last.
func (b *builder) list(domain int) []uint16 {
	var c choice
	sizes := &b.sizes[domain]
	for _, i := range b.ranking {
		g := b.group(i, domain)
		if len(c.picked[g]) < groupLimits[g] {
			c.picked[g] = append(c.picked[g], i)
			c.size++
		} else if len(c.extra[g]) < MaxInstances {
			c.extra[g] = append(c.extra[g], i)
		}
		if c.size >= MaxInstances && len(c.picked[sameDomain]) == min(maxSameDomain, sizes[sameDomain]) &&
			len(c.picked[sameRegion]) == min(maxSameRegion, sizes[sameRegion]) {
			break
		}
	}
	for g := range c.picked {
		n := min(max(0, MaxInstances-c.size), len(c.extra[g]))
		c.picked[g] = append(c.picked[g], c.extra[g][:n]...)
		c.size += n
	}
	b.balance(domain, &c.picked)
	list := make([]uint16, 0, min(MaxInstances, c.size))
	for _, p := range c.picked {
		list = append(list, p[:min(len(p), MaxInstances-len(list))]...)
	}
	return list
}

// balance moves to the front of the first group the best candidate that is not
// yet first in its part of the orders. Plain rendezvous hashing over 1024
// orders would load the busiest of 27 instances about 1.3 times the mean.
func (b *builder) balance(domain int, picked *[2 * groups][]uint16) {
	for g, n := range b.sizes[domain] {
		if n > 0 {
			b.promote(domain, g, (orders+n-1)/n, picked)
			return
		}
	}
}

func (b *builder) promote(domain, g, limit int, picked *[2 * groups][]uint16) {
	for _, i := range b.ranking {
		if b.group(i, domain) != g || b.firsts[domain][i] >= limit {
			continue
		}
		b.firsts[domain][i]++
		at := slices.Index(picked[g], i)
		if at < 0 {
			at = len(picked[g]) - 1
		}
		copy(picked[g][1:at+1], picked[g][:at])
		picked[g][0] = i
		return
	}
}
