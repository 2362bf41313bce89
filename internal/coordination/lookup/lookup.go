// Package lookup chooses the entry instances to which a caller should connect. All
// answers are prepared in advance, so that a look-up takes no lock and allocates
// nothing.
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
	// MaxInstances limits the instances in an answer, so that it stays small in a
	// large fleet.
	MaxInstances = 8
	// maxSameDomain limits the instances of the client's failure domain in an
	// answer of a large fleet, and maxSameRegion those of the rest of its region,
	// so that the answer still names working instances when the whole failure
	// domain or region fails.
	maxSameDomain = 4
	maxSameRegion = 3
	// orderingCount is the number of orderings of the candidates, and so of
	// different answers, for each failure domain. The hash of a client block
	// selects one. With 27 instances in a failure domain each is first in 38
	// orderings.
	orderingCount = 1024
)

// Answer is the answer to a look-up.
type Answer struct {
	// Instances is sorted, the best one first.
	Instances []Instance `json:"instances"`
	// LifetimeMillis is how long the caller may use the answer.
	LifetimeMillis int64 `json:"lifetimeMillis"`
}

// Instance is one entry instance of an answer.
type Instance struct {
	Name    string `json:"name"`
	Address string `json:"address"`
}

// Candidate is an instance that answers may name.
type Candidate struct {
	Instance
	FailureDomain string
	// Overloaded is true if answers name the instance after all others.
	Overloaded bool
}

// Candidates returns the members that answers may name, sorted by name. It omits
// members that are leaving, not ready, cut off or unreachable. overloaded reports
// whether answers name a member last.
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

// Overloaded reports whether an instance's backend servers have more requests
// queued than slots. An overloaded instance stays so until at most half as many
// requests are queued as there are slots, so that a load near the limit does not
// replace the table with each heartbeat.
func Overloaded(m roster.Member, wasOverloaded bool) bool {
	var queued, slots uint32
	for _, l := range m.State.GetServers() {
		queued, slots = queued+l.Queued, slots+l.Slots
	}
	if wasOverloaded {
		return queued > slots/2
	}
	return queued > slots
}

// Locator maps client addresses to failure domains. It depends only on the
// configuration and is immutable.
type Locator struct {
	// blocks maps client addresses to site numbers.
	blocks *clientblock.Table
	// siteDomain holds for each site number the number of its failure domain.
	siteDomain []uint16
	// domains and regions hold the name and the region of each failure domain, by
	// its number.
	domains []string
	regions []string
	// lifetime is how long callers may use an answer, in milliseconds.
	lifetime int64
	clients  []configuration.Clients
	sites    map[string]configuration.Site
}

// WithConfiguration returns the locator of a newer configuration. It returns l
// itself if the client blocks, sites, failure domains and lifetime are the same, as
// they are in most changes.
func (l *Locator) WithConfiguration(c *configuration.Snapshot) (*Locator, error) {
	same := l.lifetime == c.Fleet.LookupLifetime.Milliseconds() && maps.Equal(l.sites, c.Sites) &&
		len(l.domains) == len(c.Domains) && slices.EqualFunc(l.clients, c.Clients, sameClients)
	for i, name := range l.domains {
		same = same && c.Domains[name] == configuration.Domain{Name: name, Region: l.regions[i]}
	}
	if same {
		return l, nil
	}
	return NewLocator(c)
}

// sameClients reports whether two lists of client blocks are equal.
func sameClients(a, b configuration.Clients) bool {
	return a.Name == b.Name && a.Site == b.Site && slices.Equal(a.Blocks, b.Blocks)
}

// NewLocator returns the locator of a configuration. It fails if the configuration
// has too many sites for a client block table.
func NewLocator(c *configuration.Snapshot) (*Locator, error) {
	locator := &Locator{lifetime: c.Fleet.LookupLifetime.Milliseconds(), clients: c.Clients, sites: c.Sites}
	numbers := map[string]uint16{}
	for _, name := range sortedKeys(c.Domains) {
		numbers[name] = uint16(len(locator.domains))
		locator.domains, locator.regions = append(locator.domains, name), append(locator.regions, c.RegionOf(name))
	}
	sites := map[string]uint16{}
	for _, name := range sortedKeys(c.Sites) {
		if len(locator.siteDomain) == clientblock.NoSite {
			return nil, clientblock.ErrTooManySites
		}
		sites[name] = uint16(len(locator.siteDomain))
		locator.siteDomain = append(locator.siteDomain, numbers[c.Sites[name].Domain])
	}
	var blocks []clientblock.Block
	for _, l := range c.Clients {
		for _, prefix := range l.Blocks {
			blocks = append(blocks, clientblock.Block{Prefix: prefix, Site: sites[l.Site]})
		}
	}
	var err error
	locator.blocks, err = clientblock.New(blocks)
	return locator, err
}

func sortedKeys[V any](m map[string]V) []string {
	names := make([]string, 0, len(m))
	for name := range m {
		names = append(names, name)
	}
	sort.Strings(names)
	return names
}

// Bytes returns the size of the client block table in memory.
func (l *Locator) Bytes() int { return l.blocks.Bytes() }

// Table answers look-ups for one configuration and one state of the roster. It
// is immutable.
type Table struct {
	locator    *Locator
	candidates []Candidate
	// encoded holds the JSON form of each candidate, and suffix the rest of an
	// answer after the instances.
	encoded [][]byte
	suffix  []byte
	// answers holds candidate numbers, by failure domain and ordering. The last
	// domain number is that of clients without a site.
	answers [][]uint16
}

// NewTable prepares the answers for all failure domains and orderings.
func NewTable(locator *Locator, candidates []Candidate) *Table {
	t := &Table{locator: locator, candidates: slices.Clone(candidates),
		suffix: append(strconv.AppendInt([]byte(`],"lifetimeMillis":`), locator.lifetime, 10), '}', '\n')}
	for _, c := range candidates {
		text, err := json.Marshal(c.Instance)
		if err != nil {
			panic(err)
		}
		t.encoded = append(t.encoded, text)
	}
	b := newTableBuilder(locator, candidates)
	t.answers = make([][]uint16, (len(locator.domains)+1)*orderingCount)
	for o := range orderingCount {
		b.sortCandidates(o)
		for d := range len(locator.domains) + 1 {
			t.answers[d*orderingCount+o] = b.answer(d)
		}
	}
	return t
}

// Matches reports whether the table was made from the same locator and candidates.
func (t *Table) Matches(locator *Locator, candidates []Candidate) bool {
	return t.locator == locator && slices.Equal(t.candidates, candidates)
}

// Find returns the numbers of the instances for a client, best first. The slice is
// part of the table and must not be changed.
func (t *Table) Find(client netip.Addr) []uint16 {
	m := t.locator.blocks.Find(client)
	domain := len(t.locator.domains)
	if m.Site != clientblock.NoSite {
		domain = int(t.locator.siteDomain[m.Site])
	}
	return t.answers[domain*orderingCount+int(m.Hash)%orderingCount]
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
		buffer = append(buffer, t.encoded[n]...)
	}
	return append(buffer, t.suffix...)
}

// Bytes returns the size of the table in memory, without its locator.
func (t *Table) Bytes() int {
	const sliceHeader, perCandidate = 24, 80
	n := len(t.answers)*sliceHeader + len(t.candidates)*perCandidate
	for _, l := range t.answers {
		n += 2 * len(l)
	}
	for _, p := range t.encoded {
		n += sliceHeader + len(p)
	}
	return n
}

// tableBuilder makes the answers of one ordering after the other.
type tableBuilder struct {
	candidates []Candidate
	// hashes holds the hash of each candidate's name.
	hashes []uint64
	// candidateDomain and candidateRegion hold the number of each candidate's
	// failure domain and region, and domainRegion the region number of each
	// failure domain. A region has the number of its first failure domain.
	candidateDomain, candidateRegion []int
	domainRegion                     []int
	// ranked holds the candidate numbers by descending score in the current
	// ordering, and scores the scores by candidate number.
	ranked []uint16
	scores []uint64
	// firstCounts holds, by domain and candidate, how many answers name the
	// candidate first.
	firstCounts [][]int
	// groupSizes holds, for each domain, the number of candidates in each group.
	groupSizes [][2 * groups]int
}

// unknown is the number of a failure domain or region that is not in the
// configuration. It is also the region of clients without a site.
const unknown = -1

func newTableBuilder(locator *Locator, candidates []Candidate) *tableBuilder {
	b := &tableBuilder{candidates: candidates, scores: make([]uint64, len(candidates))}
	domains, regions := map[string]int{}, map[string]int{}
	for d, name := range locator.domains {
		domains[name] = d
		if _, ok := regions[locator.regions[d]]; !ok {
			regions[locator.regions[d]] = d
		}
		b.domainRegion = append(b.domainRegion, regions[locator.regions[d]])
	}
	b.domainRegion = append(b.domainRegion, unknown)
	for i, c := range candidates {
		b.hashes = append(b.hashes, xxhash.Sum64String(c.Name))
		b.ranked = append(b.ranked, uint16(i))
		d, ok := domains[c.FailureDomain]
		region := unknown
		if ok {
			region = b.domainRegion[d]
		} else {
			d = unknown
		}
		b.candidateDomain, b.candidateRegion = append(b.candidateDomain, d), append(b.candidateRegion, region)
	}
	for range len(locator.domains) + 1 {
		b.firstCounts = append(b.firstCounts, make([]int, len(candidates)))
	}
	b.groupSizes = make([][2 * groups]int, len(locator.domains)+1)
	for d := range b.groupSizes {
		for i := range candidates {
			b.groupSizes[d][b.group(uint16(i), d)]++
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

// sortCandidates sorts ranked by the rendezvous scores for an ordering.
func (b *tableBuilder) sortCandidates(ordering int) {
	for i, h := range b.hashes {
		b.scores[i] = mix(h ^ mix(uint64(ordering)+1))
	}
	slices.SortFunc(b.ranked, func(i, j uint16) int {
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

// Groups of candidates, in the order in which answers name them. Overloaded
// candidates are in three further groups, with groups added to their number.
const (
	sameDomain = iota
	sameRegion
	elsewhere
	groups
)

// group returns the group of a candidate for clients of a failure domain.
func (b *tableBuilder) group(candidate uint16, domain int) int {
	g := elsewhere
	switch {
	case b.candidateDomain[candidate] == domain:
		g = sameDomain
	case b.candidateRegion[candidate] != unknown && b.candidateRegion[candidate] == b.domainRegion[domain]:
		g = sameRegion
	}
	if b.candidates[candidate].Overloaded {
		g += groups
	}
	return g
}

// selection holds the candidates of one answer by group.
type selection struct {
	// picked holds the candidates within the limit of their group, and surplus
	// those beyond it, which fill up a short answer.
	picked, surplus [2 * groups][]uint16
	// size is the number of picked candidates.
	size int
}

// groupLimits holds the number of candidates that an answer takes from each group
// before it is filled up. It is 0 for the groups of overloaded candidates.
var groupLimits = [2 * groups]int{sameDomain: maxSameDomain, sameRegion: maxSameRegion, elsewhere: MaxInstances}

// answer returns the answer of the current ordering for a failure domain. It takes
// a limited number of candidates from each group and then fills the answer up with
// the best of the rest, overloaded candidates last.
func (b *tableBuilder) answer(domain int) []uint16 {
	var s selection
	sizes := &b.groupSizes[domain]
	for _, i := range b.ranked {
		g := b.group(i, domain)
		if len(s.picked[g]) < groupLimits[g] {
			s.picked[g] = append(s.picked[g], i)
			s.size++
		} else if len(s.surplus[g]) < MaxInstances {
			s.surplus[g] = append(s.surplus[g], i)
		}
		if s.size >= MaxInstances && len(s.picked[sameDomain]) == min(maxSameDomain, sizes[sameDomain]) &&
			len(s.picked[sameRegion]) == min(maxSameRegion, sizes[sameRegion]) {
			break
		}
	}
	for g := range s.picked {
		n := min(max(0, MaxInstances-s.size), len(s.surplus[g]))
		s.picked[g] = append(s.picked[g], s.surplus[g][:n]...)
		s.size += n
	}
	b.balanceFirst(domain, &s.picked)
	answer := make([]uint16, 0, min(MaxInstances, s.size))
	for _, p := range s.picked {
		answer = append(answer, p[:min(len(p), MaxInstances-len(answer))]...)
	}
	return answer
}

// balanceFirst makes sure that each candidate of the best group comes first in
// about equally many orderings. Plain rendezvous hashing over 1024 orderings would
// load the busiest of 27 instances with about 1.3 times the mean.
func (b *tableBuilder) balanceFirst(domain int, picked *[2 * groups][]uint16) {
	for g, n := range b.groupSizes[domain] {
		if n > 0 {
			b.promoteFirst(domain, g, (orderingCount+n-1)/n, picked)
			return
		}
	}
}

// promoteFirst moves the best candidate of a group that was first in fewer than
// limit orderings to the front of the group, replacing the group's last candidate
// if the answer does not contain it.
func (b *tableBuilder) promoteFirst(domain, group, limit int, picked *[2 * groups][]uint16) {
	for _, i := range b.ranked {
		if b.group(i, domain) != group || b.firstCounts[domain][i] >= limit {
			continue
		}
		b.firstCounts[domain][i]++
		at := slices.Index(picked[group], i)
		if at < 0 {
			at = len(picked[group]) - 1
		}
		copy(picked[group][1:at+1], picked[group][:at])
		picked[group][0] = i
		return
	}
}
