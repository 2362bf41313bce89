package membership

import (
	"maps"
	"slices"
	"time"

	"tamarackrun/internal/coordination/verify"
	"tamarackrun/internal/protocol/wire"
)

// Receive processes a report or digest of another instance. It ignores messages of unknown
// instances and of the process before a restart, and those that arrive out of order.
func (m *Membership) Receive(message *wire.InstanceMessage) {
	address, suspects := m.process(message)
	if address != "" && suspects != 0 && m.OnSuspects != nil {
		m.OnSuspects(address, suspects)
	}
}

// process processes a message and returns the report address of its sender, or "" if the message is ignored, and
// the hash of the facts about refused requests that the sender knows.
func (m *Membership) process(message *wire.InstanceMessage) (address string, suspects uint64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	var sender *peer
	switch content := message.Content.(type) {
	case *wire.InstanceMessage_Report:
		sender, suspects = m.receiveReport(content.Report), content.Report.GetSuspects()
	case *wire.InstanceMessage_DomainDigest:
		sender, suspects = m.receiveDomainDigest(content.DomainDigest), content.DomainDigest.GetSuspects()
	case *wire.InstanceMessage_FleetDigest:
		sender, suspects = m.receiveFleetDigest(content.FleetDigest), content.FleetDigest.GetSuspects()
	}
	if sender != nil {
		address = sender.record.ReportAddress
	}
	return address, suspects
}

// receiveReport returns the sender, or nil if the report is ignored. The caller holds m.mu.
func (m *Membership) receiveReport(r *wire.InstanceReport) *peer {
	p := m.peers[r.GetName()]
	if p == nil || !p.report.accept(r.Incarnation, r.Sequence) {
		return nil
	}
	now := m.Clock.Now()
	sent := m.sentAt(now, p, r, r.HeardRelays)
	p.report.at, p.report.readAt, p.report.demands, p.report.spareTokens = sent, now, readTable(r.Demands), readTable(r.SpareTokens)
	if r.Leaving && !p.leaving {
		m.ReportSoon()
	}
	p.known, p.lastReport, p.spareTokens = true, max(p.lastReport, sent), maps.Clone(p.report.spareTokens)
	p.ready, p.leaving, p.requestRate = r.Ready, r.Leaving, r.RequestRate
	p.storeUnreachable, p.serversUnreachable = r.StoreAway, r.ServersAway
	if slices.Contains(r.HeardRelays, m.ownHash) {
		p.lastMutual = max(p.lastMutual, sent)
	}
	m.mergePositions(r.Era, r.Revisions, r.VerifiedAge, now-sent)
	return p
}

// receiveDomainDigest returns the sender, or nil if the digest is ignored. The caller holds m.mu.
func (m *Membership) receiveDomainDigest(d *wire.DomainDigest) *peer {
	p := m.peers[d.GetRelay()]
	if p == nil || !p.domain.accept(d.Incarnation, d.Sequence) {
		return nil
	}
	now := m.Clock.Now()
	sent := m.sentAt(now, p, d, d.HeardRelays)
	p.domain.at, p.domain.readAt, p.domain.demands, p.domain.members = sent, now, readTable(d.Demands), int(d.Covered)
	mutual := now - removeAfter
	if slices.Contains(d.HeardRelays, m.ownHash) {
		mutual = sent
	}
	m.mergeMembers(now, sent, d.Members, d.Lenders, mutual)
	m.mergePositions(d.Era, d.Revisions, d.VerifiedAge, now-sent)
	return p
}

// receiveFleetDigest returns the sender, or nil if the digest is ignored. The caller holds m.mu.
func (m *Membership) receiveFleetDigest(d *wire.FleetDigest) *peer {
	p := m.peers[d.GetRelay()]
	if p == nil || !p.fleet.accept(d.Incarnation, d.Sequence) {
		return nil
	}
	now := m.Clock.Now()
	sent := m.sentAt(now, p, d, d.HeardReporters)
	p.fleet.at, p.fleet.readAt, p.fleet.demands, p.fleet.members = sent, now, readTable(d.Demands), int(d.Covered)
	p.avoidedSince = 0
	// The relay hears this instance if its table says so.
	mutual := now - removeAfter
	if i := slices.Index(d.Members.GetNames(), m.ownHash); i >= 0 && i < len(d.Members.GetAges()) {
		mutual = sent - time.Duration(d.Members.Ages[i])*time.Millisecond
	}
	m.mergeMembers(now, sent, d.Members, d.Lenders, mutual)
	m.mergePositions(d.Era, d.Revisions, d.VerifiedAge, now-sent)
	return p
}

// mergeMembers updates the peers from a relay's member table, which was sent at the given time. mutual is until when
// messages passed between this instance and the relay in both directions. In a DomainDigest the relay
// is in contact with all members, and in a FleetDigest with each as its contact age says. The
// caller holds m.mu.
func (m *Membership) mergeMembers(now, sent time.Duration, t *wire.MemberTable, lenders *wire.LenderTable, mutual time.Duration) {
	fromOtherDomain := len(t.GetContactAges()) == 0
	// Peers that report to this instance have told it their tokens themselves.
	reportsFrom := now - m.recentAge()
	count := min(len(t.GetNames()), len(t.GetAges()), len(t.GetFlags()))
	for i := range count {
		p := m.byHash[t.Names[i]]
		if p == nil {
			continue
		}
		at, f := sent-time.Duration(t.Ages[i])*time.Millisecond, t.Flags[i]
		if at > p.lastReport {
			p.known = p.known || t.Ages[i] < uint32(removeAfter.Milliseconds())
			p.lastReport = at
			if fromOtherDomain && f&flagLeaving != 0 && !p.leaving {
				// Callers must soon see that the directory no longer names the member.
				m.ReportSoon()
			}
			p.ready, p.leaving = f&flagReady != 0, f&flagLeaving != 0
			p.storeUnreachable, p.serversUnreachable = f&flagStoreUnreachable != 0, f&flagServersUnreachable != 0
			if i < len(t.RequestRates) {
				p.requestRate = t.RequestRates[i]
			}
		}
		contact := mutual
		if i < len(t.ContactAges) {
			contact = min(contact, sent-time.Duration(t.ContactAges[i])*time.Millisecond)
		}
		p.lastMutual = max(p.lastMutual, contact)
		if p.report.at < reportsFrom {
			p.spareTokens = nil
		}
	}
	for i, organisation := range lenders.GetOrganisations() {
		if i >= len(lenders.Members) || i >= len(lenders.Tokens) || int(lenders.Members[i]) >= count {
			continue
		}
		p := m.byHash[t.Names[lenders.Members[i]]]
		if p == nil || p.report.at >= reportsFrom {
			continue
		}
		if p.spareTokens == nil {
			p.spareTokens = map[uint64]float64{}
		}
		p.spareTokens[organisation] = float64(lenders.Tokens[i])
	}
}

// mergePositions passes on what another instance knew of the store when it sent a message of the given age.
func (m *Membership) mergePositions(era int64, revisions []int64, verifiedAge uint32, age time.Duration) {
	m.Verifier.MergeReport(time.Now(), verify.Join(era, revisions), time.Duration(verifiedAge)*time.Millisecond+age)
}

// ownSums returns the sums of demand by the hash of the organisation that this instance can make itself, and the number of instances
// that they cover: of its own demand, of the reports that it has got, and of the digests of other failure domains. The
// caller holds m.mu.
func (m *Membership) ownSums(now time.Duration, own map[uint64]float64) (map[uint64]float64, int) {
	digests := map[string][]*digestState{}
	sums, covered := maps.Clone(own), 1
	for _, p := range m.peers {
		if p.record.FailureDomain == m.OwnRecord.FailureDomain {
			if now-p.report.at < m.DetectionBound {
				addTo(sums, p.report.demands)
				covered++
			}
			continue
		}
		if now-p.domain.at < m.DetectionBound {
			digests[p.record.FailureDomain] = append(digests[p.record.FailureDomain], &p.domain)
		}
	}
	for _, list := range digests {
		best := slices.MaxFunc(list, (*digestState).compare)
		demands := maps.Clone(best.demands)
		for _, d := range list {
			// A younger digest that covers fewer instances may show a higher demand.
			if d.at > best.at {
				raiseTo(demands, d.demands)
			}
		}
		addTo(sums, demands)
		covered += best.members
	}
	return sums, covered
}

// totalDemand returns the demand of the fleet by the hash of the organisation, from this instance's own sums and those of its relays
// that cover more instances. It is not passed on, since two relays that take each other's sums would keep them when an
// instance that they cover has gone. Where the sums differ, the highest counts: an older one may lack an increase, and a part of a limit that
// is too large breaks the limit. The caller holds m.mu.
func (m *Membership) totalDemand(now time.Duration, sums map[uint64]float64, covered int) map[uint64]float64 {
	total := maps.Clone(sums)
	for _, p := range m.peersOf(m.OwnRecord.FailureDomain) {
		if now-p.fleet.at < m.DetectionBound && p.fleet.members > covered {
			raiseTo(total, p.fleet.demands)
		}
	}
	return total
}

// raiseTo raises the values to those of the other map.
func raiseTo(values, other map[uint64]float64) {
	for k, v := range other {
		values[k] = max(values[k], v)
	}
}

// reachability counts the fleet's instances. The caller holds m.mu.
func (m *Membership) reachability(now time.Duration) Reachability {
	// Silent instances count as members, because they may still serve on the
	// other side of a partition.
	members, silent, mutual := 1+len(m.peers), 0, 1
	regions := map[string]bool{m.OwnRecord.Region: true}
	for _, p := range m.peers {
		if now-p.lastReport < m.boundFraction(aliveFraction) {
			regions[p.record.Region] = true
		}
		if now-p.lastMutual < m.boundFraction(heardFraction) && now-p.lastReport < m.boundFraction(aliveFraction) {
			mutual++
		}
		if now-p.lastReport >= m.DetectionBound {
			silent++
		}
	}
	alone := members == 1 && now-m.recordsReadAt < aloneTime
	return Reachability{Members: members, Silent: silent, CutOff: alone || 2*mutual <= members, Regions: len(regions)}
}

// readTable returns the values of a table. Rows without a value are ignored.
func readTable(t *wire.RateTable) map[uint64]float64 {
	values := make(map[uint64]float64, len(t.GetOrganisations()))
	for i, organisation := range t.GetOrganisations() {
		if i < len(t.Values) && t.Values[i] > 0 {
			values[organisation] = float64(t.Values[i])
		}
	}
	return values
}
