package membership

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	"tamarackrun/internal/coordination/rendezvous"
)

const (
	// relaysPerDomain is the number of relays of a failure domain. With 2, one may fail
	// without a gap in the reports.
	relaysPerDomain = 2
	// answerIntervals is the number of report intervals in which a relay must answer. After
	// it the instance avoids the relay, which may be dead or out of its reach only.
	answerIntervals = 2
	// searchReports is the number of reports in which all instances of a failure domain are
	// tried from which nothing is heard.
	searchReports = 3
)

// relayed reports whether some failure domain has instances that are no relays. The caller
// holds m.mu.
func (m *Membership) relayed() bool {
	counts := map[string]int{m.OwnRecord.FailureDomain: 1}
	for _, p := range m.peers {
		counts[p.record.FailureDomain]++
		if counts[p.record.FailureDomain] > relaysPerDomain {
			return true
		}
	}
	return false
}

// presumedAlive reports whether the peer may serve as a relay: a report of it is recent, or
// its record is new and the report may be on the way. The caller holds m.mu.
func (m *Membership) presumedAlive(p *peer, now time.Duration) bool {
	return now-p.lastReport < m.recentAge() || !p.known && now-p.recordSeen < m.boundFraction(aliveFraction)
}

// peersOf returns the peers of a failure domain, ordered by the hash of their names, so that
// all instances choose the same relays. The caller holds m.mu.
func (m *Membership) peersOf(domain string) []*peer {
	var peers []*peer
	for _, p := range m.peers {
		if p.record.FailureDomain == domain {
			peers = append(peers, p)
		}
	}
	slices.SortFunc(peers, func(a, b *peer) int { return cmp.Compare(a.hash, b.hash) })
	return peers
}

// ownRelays returns the relays of the instance's failure domain other than itself, and
// whether the instance is a relay. An instance that hears no other of its domain is a relay
// and reports to all of them: after many have died at once, nobody knows who is left. The
// caller holds m.mu.
func (m *Membership) ownRelays(now time.Duration) (relays []*peer, isRelay bool) {
	peers := m.peersOf(m.OwnRecord.FailureDomain)
	position, lonely := 0, true
	var avoided []*peer
	for _, p := range peers {
		if !m.presumedAlive(p, now) {
			continue
		}
		if p.avoidedSince != 0 {
			avoided = append(avoided, p)
			continue
		}
		lonely = lonely && now-p.lastReport >= m.recentAge()
		if p.hash < m.ownHash {
			position++
		}
		if len(relays) < relaysPerDomain {
			relays = append(relays, p)
		}
	}
	isRelay = position < relaysPerDomain
	if isRelay && len(relays) == relaysPerDomain {
		// The instance itself is one of the relays.
		relays = relays[:relaysPerDomain-1]
	}
	if lonely {
		return peers, true
	}
	if len(avoided) > 0 {
		// The report shows whether the relay answers again.
		relays = append(relays, avoided[rand.IntN(len(avoided))])
	}
	return relays, isRelay
}

// silentPeers returns some of the instances of the own failure domain that are not heard, in turn, for a
// relay to report to. After many have stopped, those that are left may form groups that don't hear each
// other, each with relays of its own; the report of one of them joins the groups. The caller holds m.mu.
func (m *Membership) silentPeers(now time.Duration) []*peer {
	var silent []*peer
	for _, p := range m.peersOf(m.OwnRecord.FailureDomain) {
		if !m.presumedAlive(p, now) {
			silent = append(silent, p)
		}
	}
	return m.inTurn(silent, (len(silent)+searchReports-1)/searchReports)
}

// inTurn returns some of the peers, other ones with each report. The caller holds m.mu.
func (m *Membership) inTurn(peers []*peer, count int) []*peer {
	var chosen []*peer
	for i := range count {
		chosen = append(chosen, peers[(int(m.sequence%uint64(len(peers)))*count+i)%len(peers)])
	}
	return chosen
}

// domainRelays returns the relays of another failure domain. If none of its instances is heard,
// it returns others in turn, so that survivors find each other. The caller holds m.mu.
func (m *Membership) domainRelays(domain string, now time.Duration) []*peer {
	peers := m.peersOf(domain)
	var relays []*peer
	for _, p := range peers {
		if m.presumedAlive(p, now) && len(relays) < relaysPerDomain {
			relays = append(relays, p)
		}
	}
	if len(relays) == 0 && len(peers) > 0 {
		count := max(min(len(peers), relaysPerDomain), (len(peers)+searchReports-1)/searchReports)
		relays = m.inTurn(peers, count)
	}
	return relays
}

// Reader returns the report address of the instance that reads the platform's store for this
// one, or "" if this instance reads it itself.
func (m *Membership) Reader() string { return *m.reader.Load() }

// RemoteReader returns the report address of the reader of another failure domain, or "" if
// none is known to reach the store.
func (m *Membership) RemoteReader() string { return *m.remoteReader.Load() }

// chooseReader sets the reader: the first instance of the failure domain, in the order of
// relays, that is alive and reaches the store. If none reaches it, it is the remote reader. If
// there is none of those either, it is the first that is alive, so that only one keeps asking
// the store. The caller holds m.mu.
func (m *Membership) chooseReader(now time.Duration) {
	type candidate struct {
		hash    uint64
		address string
		reaches bool
	}
	candidates := []candidate{{m.ownHash, "", !m.Verifier.StoreUnreachable() && !m.leaving.Load()}}
	for _, p := range m.peersOf(m.OwnRecord.FailureDomain) {
		// One lost digest must not change the reader: the next one would not know that it is.
		silent := p.avoidedSince != 0 && now-p.avoidedSince >= m.reportInterval()
		if m.presumedAlive(p, now) && !silent && !p.leaving {
			candidates = append(candidates, candidate{p.hash, p.record.ReportAddress, !p.storeUnreachable})
		}
	}
	reader := slices.MinFunc(candidates, func(a, b candidate) int {
		if a.reaches != b.reaches {
			if a.reaches {
				return -1
			}
			return 1
		}
		return cmp.Compare(a.hash, b.hash)
	})
	remote := m.chooseRemoteReader(now)
	m.remoteReader.Store(&remote)
	if !reader.reaches && remote != "" {
		reader.address = remote
	}
	m.reader.Store(&reader.address)
}

// chooseRemoteReader returns the report address of the reader of another failure domain, of
// this region if there is one, or "". It is not the same for all instances, so that the readers
// share the instances of a failure domain that is cut off from the store. The caller holds m.mu.
func (m *Membership) chooseRemoteReader(now time.Duration) string {
	readers := map[string]*peer{}
	for _, p := range m.peers {
		if p.record.FailureDomain == m.OwnRecord.FailureDomain || !p.known || now-p.lastReport >= m.recentAge() || p.leaving || p.storeUnreachable {
			continue
		}
		if r := readers[p.record.FailureDomain]; r == nil || p.hash < r.hash {
			readers[p.record.FailureDomain] = p
		}
	}
	var best *peer
	for _, p := range readers {
		if best == nil || m.prefersReader(p, best) {
			best = p
		}
	}
	if best == nil {
		return ""
	}
	return best.record.ReportAddress
}

// prefersReader reports whether the first peer is the better remote reader.
func (m *Membership) prefersReader(first, second *peer) bool {
	if near := first.record.Region == m.OwnRecord.Region; near != (second.record.Region == m.OwnRecord.Region) {
		return near
	}
	return rendezvous.Mix(m.ownHash, first.hash) > rendezvous.Mix(m.ownHash, second.hash)
}

// noteAsked records that the instance reports to the relays, and avoids those that have not
// answered in time. The caller holds m.mu.
func (m *Membership) noteAsked(relays []*peer, now time.Duration) {
	asked := map[*peer]bool{}
	for _, p := range relays {
		asked[p] = true
		if p.askedSince == 0 {
			p.askedSince = now
		}
		if p.avoidedSince == 0 && now-max(p.askedSince, p.fleet.readAt) >= answerIntervals*m.reportInterval() {
			p.avoidedSince = now
		}
	}
	for _, p := range m.peers {
		if !asked[p] {
			p.askedSince = 0
		}
	}
}
