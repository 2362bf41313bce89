package membership

import (
	"maps"
	"math/rand/v2"
	"net/netip"
	"time"

	"github.com/cespare/xxhash/v2"

	"tamarackrun/internal/coordination/verify"
	"tamarackrun/internal/protocol/wire"
)

const (
	// minReportedDemand is the demand, in requests per second, below which an
	// organisation is left out of reports.
	minReportedDemand = 0.05
	// maxLenders is the number of lenders that a digest names for an organisation and a
	// failure domain. They change from digest to digest.
	maxLenders = 1
	// maxTokens bounds the number of tokens that a digest names for a lender.
	maxTokens = 99
)

// Flags of an instance in a member table.
const (
	flagReady = 1 << iota
	flagLeaving
	flagStoreUnreachable
	flagServersUnreachable
)

// ownState is what the instance itself contributes to its messages. Demands and tokens are by
// the hash of the organisation.
type ownState struct {
	demands, spareTokens map[uint64]float64
	// sums holds the instance's own sums of demand, and covered is the number of instances in them.
	sums    map[uint64]float64
	covered int
	// revisions holds the highest known revisions in the era, and verifiedAge is the age of the
	// latest read by any instance that showed the store's position.
	era         int64
	revisions   []int64
	verifiedAge time.Duration
	// suspects is the hash of the facts about refused requests.
	suspects uint64
}

func (s *ownState) ageMillis() uint32 { return uint32(s.verifiedAge.Milliseconds()) }

// sendReport sends one report and, as a relay, the digests, publishes the members and calls
// OnReport unless the records of the instances are still unknown.
func (m *Membership) sendReport() {
	var s ownState
	s.suspects = m.suspects()
	s.demands, s.spareTokens = hashKeys(m.Demands(), minReportedDemand), hashKeys(m.SpareTokens(), 1)
	var positions verify.Positions
	positions, s.verifiedAge = m.Verifier.OwnReport(time.Now())
	s.era, s.revisions = positions.Split()
	m.mu.Lock()
	now := m.Clock.Now()
	m.notePause(now)
	m.reportedAt = now
	m.sequence++
	heard := m.heardPeers(now, true)
	relays, isRelay := m.ownRelays(now)
	m.noteAsked(relays, now)
	report := &wire.InstanceReport{Name: m.Name, Incarnation: m.incarnation, Sequence: m.sequence, Ready: m.ready.Load(),
		Leaving: m.leaving.Load(), StoreAway: m.Verifier.StoreUnreachable(), ServersAway: m.serversUnreachable(), Era: s.era, Revisions: s.revisions,
		VerifiedAge: s.ageMillis(), Demands: rateTable(s.demands), SpareTokens: rateTable(s.spareTokens),
		HeardRelays: hashesOf(heard), RequestRate: m.requestRate(), Suspects: s.suspects, SentMillis: m.clockMillis(now),
		HeardClocks: m.heardClocks(now, heard)}
	if isRelay {
		relays = append(relays, m.silentPeers(now)...)
	}
	messages := []outgoing{{&wire.InstanceMessage{Content: &wire.InstanceMessage_Report{Report: report}}, addressesOf(relays)}}
	s.sums, s.covered = m.ownSums(now, s.demands)
	total := m.totalDemand(now, s.sums, s.covered)
	reporters := m.reporters(now, m.recentAge())
	if isRelay || len(reporters) > 0 || m.servesAsRelay(now) {
		messages = append(messages, m.digests(now, reporters, s)...)
	}
	reachability, recordsRead := m.reachability(now), m.recordsReadAt != 0
	m.publish(now)
	m.mu.Unlock()
	for _, message := range messages {
		// A failed send needs no handling: the receiver's messages then stop listing
		// this instance as heard.
		_ = m.Send(message.content, message.addresses...)
	}
	if !recordsRead {
		return
	}
	m.OnReport(reachability, func(organisation string) float64 { return total[xxhash.Sum64String(organisation)] })
}

// servesAsRelay reports whether an instance of another failure domain has sent its digest to
// this one, because it knows no relay of this failure domain. The caller holds m.mu.
func (m *Membership) servesAsRelay(now time.Duration) bool {
	for _, p := range m.peers {
		if now-p.domain.at < recentIntervals*m.reportInterval() {
			return true
		}
	}
	return false
}

// outgoing is a message with the addresses to which it is sent.
type outgoing struct {
	content   *wire.InstanceMessage
	addresses []netip.AddrPort
}

// digests returns the digests that the instance sends as a relay. The caller holds m.mu.
func (m *Membership) digests(now time.Duration, reporters []*peer, s ownState) []outgoing {
	domainDemands := maps.Clone(s.demands)
	spares := []memberTokens{{0, s.spareTokens}}
	// The demand of an instance that fell silent counts until it has stopped using its
	// share.
	counted := m.reporters(now, m.DetectionBound)
	for _, p := range counted {
		addTo(domainDemands, p.report.demands)
	}
	domainPeers, recent := m.peersOf(m.OwnRecord.FailureDomain), m.recentAge()
	for i, p := range domainPeers {
		if now-p.report.at < recent {
			spares = append(spares, memberTokens{i + 1, p.report.spareTokens})
		}
	}
	// Members that report to another relay are in the table too: after all relays of
	// another failure domain have died, its instances learn from it where to report.
	domainMembers := m.memberTable(now, domainPeers)
	domainMembers.ContactAges = nil
	heard := m.heardPeers(now, false)
	digest := func(withLenders bool) *wire.InstanceMessage {
		d := &wire.DomainDigest{Relay: m.Name, Incarnation: m.incarnation, Sequence: m.sequence, Members: domainMembers,
			Demands: rateTable(domainDemands), HeardRelays: hashesOf(heard), Era: s.era, Revisions: s.revisions,
			VerifiedAge: s.ageMillis(), Covered: uint32(1 + len(counted)), Suspects: s.suspects, SentMillis: m.clockMillis(now),
			HeardClocks: m.heardClocks(now, heard)}
		if withLenders {
			d.Lenders = lenderTable(spares)
		}
		return &wire.InstanceMessage{Content: &wire.InstanceMessage_DomainDigest{DomainDigest: d}}
	}
	var near, far []netip.AddrPort
	domains := map[string]string{}
	for _, p := range m.peers {
		domains[p.record.FailureDomain] = p.record.Region
	}
	delete(domains, m.OwnRecord.FailureDomain)
	for domain, region := range domains {
		addresses := addressesOf(m.domainRelays(domain, now))
		if region == m.OwnRecord.Region {
			near = append(near, addresses...)
		} else {
			far = append(far, addresses...)
		}
	}
	messages := []outgoing{{digest(true), near}, {digest(false), far}}
	if len(reporters) == 0 {
		return messages
	}
	all := make([]*peer, 0, len(m.peers))
	spares = []memberTokens{{0, s.spareTokens}}
	for _, p := range m.peers {
		all = append(all, p)
		if p.record.Region == m.OwnRecord.Region && len(p.spareTokens) > 0 {
			spares = append(spares, memberTokens{len(all), p.spareTokens})
		}
	}
	fleet := &wire.FleetDigest{Relay: m.Name, Incarnation: m.incarnation, Sequence: m.sequence, Members: m.memberTable(now, all),
		Demands: rateTable(s.sums), Covered: uint32(s.covered), Lenders: lenderTable(spares), Era: s.era, Revisions: s.revisions,
		VerifiedAge: s.ageMillis(), Suspects: s.suspects, SentMillis: m.clockMillis(now), HeardReporters: hashesOf(reporters),
		HeardClocks: m.heardClocks(now, reporters)}
	return append(messages, outgoing{&wire.InstanceMessage{Content: &wire.InstanceMessage_FleetDigest{FleetDigest: fleet}}, addressesOf(reporters)})
}

// reporters returns the peers of the own failure domain whose latest report to this instance
// is younger than the age. The caller holds m.mu.
func (m *Membership) reporters(now, age time.Duration) []*peer {
	var reporters []*peer
	for _, p := range m.peersOf(m.OwnRecord.FailureDomain) {
		if now-p.report.at < age {
			reporters = append(reporters, p)
		}
	}
	return reporters
}

// heardPeers returns the peers of the own failure domain, or those of all others, whose messages were read within one and a half
// intervals and had not waited for long. The receiver takes the contact as present when this message is sent, so a
// longer time would delay the moment at which a cut-off relay notices that it is cut off.
// The caller holds m.mu.
func (m *Membership) heardPeers(now time.Duration, ownDomain bool) []*peer {
	var heard []*peer
	for _, p := range m.peers {
		read := max(p.report.readAt, p.domain.readAt, p.fleet.readAt)
		sent := max(p.report.at, p.domain.at, p.fleet.at)
		if ownDomain == (p.record.FailureDomain == m.OwnRecord.FailureDomain) && now-read < 3*m.reportInterval()/2 && now-sent < m.recentAge() {
			heard = append(heard, p)
		}
	}
	return heard
}

// memberTable returns a table with this instance and the peers. The caller holds m.mu.
func (m *Membership) memberTable(now time.Duration, peers []*peer) *wire.MemberTable {
	t := &wire.MemberTable{Names: []uint64{m.ownHash}, Ages: []uint32{0}, ContactAges: []uint32{0}, RequestRates: []uint32{m.requestRate()},
		Flags: []byte{flags(m.ready.Load(), m.leaving.Load(), m.Verifier.StoreUnreachable(), m.serversUnreachable())}}
	for _, p := range peers {
		t.Names = append(t.Names, p.hash)
		t.Ages = append(t.Ages, uint32(min(now-p.lastReport, removeAfter).Milliseconds()))
		t.RequestRates = append(t.RequestRates, p.requestRate)
		t.Flags = append(t.Flags, flags(p.ready, p.leaving, p.storeUnreachable, p.serversUnreachable))
		t.ContactAges = append(t.ContactAges, uint32(min(now-p.lastMutual, removeAfter).Milliseconds()))
	}
	return t
}

func flags(ready, leaving, storeUnreachable, serversUnreachable bool) byte {
	return bit(ready, flagReady) | bit(leaving, flagLeaving) | bit(storeUnreachable, flagStoreUnreachable) |
		bit(serversUnreachable, flagServersUnreachable)
}

// bit returns the flag if it is set, and else 0.
func bit(set bool, flag byte) byte {
	if set {
		return flag
	}
	return 0
}

// memberTokens holds the tokens that the member at a position of a member table can lend, by
// the hash of the organisation.
type memberTokens struct {
	member int
	tokens map[uint64]float64
}

// lenderTable names, for each organisation, up to maxLenders random lenders.
func lenderTable(spares []memberTokens) *wire.LenderTable {
	rand.Shuffle(len(spares), func(i, j int) { spares[i], spares[j] = spares[j], spares[i] })
	t, counts := &wire.LenderTable{}, map[uint64]int{}
	for _, s := range spares {
		for organisation, tokens := range s.tokens {
			if tokens < 1 || counts[organisation] == maxLenders {
				continue
			}
			counts[organisation]++
			t.Organisations = append(t.Organisations, organisation)
			t.Members = append(t.Members, uint32(s.member))
			t.Tokens = append(t.Tokens, uint32(min(tokens, maxTokens)))
		}
	}
	return t
}

// hashKeys replaces the names of organisations by their hashes and leaves out values below
// the minimum.
func hashKeys(values map[string]float64, minimum float64) map[uint64]float64 {
	hashed := make(map[uint64]float64, len(values))
	for name, v := range values {
		if v >= minimum {
			hashed[xxhash.Sum64String(name)] = v
		}
	}
	return hashed
}

func rateTable(values map[uint64]float64) *wire.RateTable {
	t := &wire.RateTable{Organisations: make([]uint64, 0, len(values)), Values: make([]float32, 0, len(values))}
	for organisation, v := range values {
		t.Organisations = append(t.Organisations, organisation)
		t.Values = append(t.Values, float32(v))
	}
	return t
}

func addTo(sums, values map[uint64]float64) {
	for k, v := range values {
		sums[k] += v
	}
}

func addressesOf(peers []*peer) []netip.AddrPort {
	addresses := make([]netip.AddrPort, 0, len(peers))
	for _, p := range peers {
		addresses = append(addresses, p.address)
	}
	return addresses
}
