// Package membership tracks the other instances of the fleet. Each instance
// periodically reports its state, its demand by organisation and the record revisions
// that it knows to the relays of its failure domain. The relays exchange digests of
// these reports and send a digest of the whole fleet back, so that the number of
// messages grows with the number of instances and not with its square. In a small fleet
// every instance is a relay.
package membership

import (
	"cmp"
	"context"
	"math"
	"math/rand/v2"
	"net/netip"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"tamarackrun"
	"tamarackrun/internal/coordination/verify"
	"tamarackrun/internal/protocol/event"
	"tamarackrun/internal/protocol/wire"
)

const (
	// The interval between reports is intervalPerPeer times the number of other
	// instances, but at least minInterval and at most maxInterval. Three intervals, the
	// longest way of a report, must end well within half of DetectionBound.
	minInterval     = 250 * time.Millisecond
	maxInterval     = 500 * time.Millisecond
	intervalPerPeer = 25 * time.Millisecond
	// heardFraction and aliveFraction are the fractions of DetectionBound for which
	// the sender of a report counts as heard and as alive.
	heardFraction = 0.6
	aliveFraction = 0.75
	// recentIntervals is the number of report intervals without a report after
	// which an instance loses its turn to read the store to the next one, and a relay is
	// replaced. Reports of other instances of large failure domains take relayHops
	// intervals more.
	recentIntervals = 3
	relayHops       = 2
	// removeAfter is how long an instance must be silent before its record may be
	// removed. Until then it may merely be cut off and still use its share of the
	// limits: at times the users' regions are partitioned for an hour.
	removeAfter = 24 * time.Hour
	// aloneTime is how long an instance that has read no record of another one may be unaware
	// of those that start at the same time. The records of instances are read again after a
	// second.
	aloneTime = 1500 * time.Millisecond
)

// Member holds the record of one instance and the state from its latest report.
type Member struct {
	Name string
	tamarackrun.InstanceRecord
	Ready, Leaving bool
	// Alive is true if the latest report is younger than aliveFraction of
	// DetectionBound.
	Alive bool
	// HeardRecently is true if the latest report is so young that its sender keeps its
	// turn to read the store.
	HeardRecently bool
	// StoreUnreachable is true if the instance reported that it cannot reach the
	// store.
	StoreUnreachable bool
	// ServersUnreachable is true if the instance reported that it reaches no backend server.
	ServersUnreachable bool
	// RequestRate is the rate at which callers' requests arrive, in requests per second.
	RequestRate float64
}

// Reachability counts the instances that share the limits of the fleet and those
// that are out of contact.
type Reachability struct {
	// Members is the number of instances between which limits are divided, and
	// Silent the number of those from which no report arrived for DetectionBound.
	Members, Silent int
	// CutOff is true if the instance has two-way contact with at most half of the
	// members, itself included, so that the others may count it as silent, or if it has
	// just started and knows no others.
	CutOff bool
	// Regions is the number of regions with live instances.
	Regions int
}

// stream orders the messages of one kind from one sender. Late messages of the process
// before, which had previousIncarnation, are ignored.
type stream struct {
	incarnation, previousIncarnation int64
	sequence                         uint64
}

// accept reports whether a message is newer than all earlier ones.
func (s *stream) accept(incarnation int64, sequence uint64) bool {
	if incarnation == s.previousIncarnation || incarnation == s.incarnation && sequence <= s.sequence {
		return false
	}
	if incarnation != s.incarnation {
		s.previousIncarnation = s.incarnation
	}
	s.incarnation, s.sequence = incarnation, sequence
	return true
}

// digestState holds the latest digest of one kind from a relay.
type digestState struct {
	stream
	// at is when the digest was sent, and readAt when it was read.
	at, readAt time.Duration
	// demands holds the sums of demand by the hash of the organisation that the relay has made itself, and members
	// the number of instances that they cover.
	demands map[uint64]float64
	members int
}

// compare returns a positive number if the digest is a better source of demand than the other one: it
// covers more instances, or as many and is younger.
func (d *digestState) compare(other *digestState) int {
	return cmp.Or(cmp.Compare(d.members, other.members), cmp.Compare(d.at, other.at))
}

// peer holds what the instance knows of another one. Times are on the instance's own
// clock; the age that a relay has stated is subtracted.
type peer struct {
	record  tamarackrun.InstanceRecord
	address netip.AddrPort
	// hash is the hash of the name.
	hash           uint64
	ready, leaving bool
	// storeUnreachable is true if the peer reported that it cannot reach the
	// store.
	storeUnreachable bool
	// serversUnreachable is true if the peer reported that it reaches no backend server.
	serversUnreachable bool
	// lastReport is when the peer sent its latest known report, and lastMutual until
	// when messages passed in both directions, directly or through relays.
	lastReport, lastMutual time.Duration
	// recordSeen is when the record first arrived, and recordEra the store's era when it arrived
	// last.
	recordSeen time.Duration
	recordEra  int64
	// requestRate is the rate at which callers' requests arrive there, in requests per
	// second.
	requestRate uint32
	// known is true once a report of the peer is known.
	known bool
	// unreachable is true if the latest event about the peer is PeerUnreachable.
	unreachable bool
	// spareTokens holds, by the hash of the organisation, the tokens that the peer would
	// lend, minus those that this instance asked for since its report.
	spareTokens map[uint64]float64

	// clock is that of the process that sent the latest message.
	clock peerClock

	// report is the latest report that the peer sent to this instance as a relay.
	report struct {
		stream
		at, readAt  time.Duration
		demands     map[uint64]float64
		spareTokens map[uint64]float64
	}
	// domain is the latest digest that the peer sent as the relay of another failure
	// domain, and fleet the latest that it sent as a relay of this one.
	domain, fleet digestState
	// askedSince is when the instance began to report to the peer, or 0 if it does not.
	askedSince time.Duration
	// avoidedSince is when the peer had not answered the instance's reports in time, or 0 if
	// it has answered since. Until then it is no relay for this instance.
	avoidedSince time.Duration
}

// Membership is the view that one instance has of the fleet. It is safe for
// concurrent use.
type Membership struct {
	// The exported fields are set before Run.

	// Name is the name of this instance, and OwnRecord its record in the store.
	Name      string
	OwnRecord tamarackrun.InstanceRecord
	Clock     tamarackrun.Clock
	// DetectionBound is the users' bound on noticing that contact is lost. The
	// other instances use the share of the limits of an instance that was silent
	// for that long. A cut-off instance stops using its share after heardFraction of that
	// time, which leaves a margin for the age of reports.
	DetectionBound time.Duration
	Recorder       tamarackrun.Recorder
	// Demands returns this instance's demand by organisation, in requests per second.
	Demands func() map[string]float64
	// RequestRate returns the rate at which callers' requests arrive, in requests per second.
	// It may be nil.
	RequestRate func() float64
	// ServersUnreachable reports whether this instance reaches no backend server. It may be nil.
	ServersUnreachable func() bool
	// SpareTokens returns the tokens that this instance would lend, by organisation.
	SpareTokens func() map[string]float64
	// Send sends a message to each of the addresses and returns the number of
	// addresses to which it could not be sent.
	Send func(message *wire.InstanceMessage, addresses ...netip.AddrPort) int
	// Verifier supplies the positions that this instance reports and receives those
	// that others report.
	Verifier *verify.Verifier
	// OnReport is called after each report that this instance sends once it has read the
	// records of the instances; before, it would know only itself. totalDemand returns
	// the demand of an organisation summed over all instances that are not silent.
	OnReport func(reachability Reachability, totalDemand func(organisation string) float64)
	// Suspects returns the hash of the facts about refused requests that this instance knows, 0 if it
	// knows none, and OnSuspects is called with the hash that another instance has reported, unless that
	// is 0, and the instance's report address. They may be nil.
	Suspects   func() uint64
	OnSuspects func(address string, hash uint64)
	// OnRecordMissing is called when the store does not hold this instance's record.
	OnRecordMissing func()

	ready, leaving atomic.Bool

	// started is when the process started.
	started time.Duration
	// incarnation identifies the process; it is random and not 0. No clock can
	// order the processes of an instance: after a power loss the monotonic clock
	// starts again at zero, and the time of day may jump.
	incarnation int64

	mu sync.Mutex
	// recordsReadAt is when the records of the instances were first read, or 0 if they have not
	// been.
	recordsReadAt time.Duration
	peers         map[string]*peer
	// byHash holds the peers by the hashes of their names.
	byHash   map[uint64]*peer
	sequence uint64
	// reportedAt is when this instance sent its latest report. It stood still from pausedAt to resumedAt; pausedAt is 0 if
	// it has not.
	reportedAt, pausedAt, resumedAt time.Duration
	// ownHash is the hash of Name.
	ownHash uint64
	// early receives a value when the next report is due at once.
	early chan struct{}
	// members is the latest list, which includes this instance.
	members atomic.Pointer[[]Member]
	// reader and remoteReader are the addresses that Reader and RemoteReader return.
	reader, remoteReader atomic.Pointer[string]
	// holderCandidates is the hash of the names of the region's instances that may hold
	// limits, and holdersChanged when it changed last.
	holderCandidates uint64
	holdersChanged   atomic.Pointer[time.Time]
}

// New returns a membership without other instances.
func New(name string, ownRecord tamarackrun.InstanceRecord, clock tamarackrun.Clock) *Membership {
	m := &Membership{
		Name:        name,
		OwnRecord:   ownRecord,
		Clock:       clock,
		started:     clock.Now(),
		peers:       map[string]*peer{},
		byHash:      map[uint64]*peer{},
		ownHash:     xxhash.Sum64String(name),
		early:       make(chan struct{}, 1),
		incarnation: 1 + rand.Int64N(math.MaxInt64-1),
	}
	m.members.Store(&[]Member{})
	m.reader.Store(new(string))
	m.remoteReader.Store(new(string))
	m.holdersChanged.Store(new(time.Time))
	return m
}

// SetReady sets whether the instance reports that it is ready to serve.
func (m *Membership) SetReady(ready bool) { m.ready.Store(ready) }

// IsReady reports whether the instance is ready to serve.
func (m *Membership) IsReady() bool { return m.ready.Load() }

// Leave reports that the instance is about to stop.
func (m *Membership) Leave() {
	m.leaving.Store(true)
	m.ReportSoon()
}

// ReportSoon makes Run send a report without waiting for the interval to end.
func (m *Membership) ReportSoon() {
	select {
	case m.early <- struct{}{}:
	default:
		// An early report is due already.
	}
}

// Members returns all instances, sorted by name, as of the latest report that this instance
// sent or the latest records that it read. The slice is shared and must not be changed.
func (m *Membership) Members() []Member { return *m.members.Load() }

// Rank returns the position of the instance among those that were heard recently
// and reach the store. Instances are ordered by hash, so that neighbours in the
// order rarely fail together.
func (m *Membership) Rank() int {
	rank := 0
	for _, member := range m.Members() {
		if member.Name != m.Name && member.HeardRecently && !member.StoreUnreachable && xxhash.Sum64String(member.Name) < m.ownHash {
			rank++
		}
	}
	return rank
}

// Apply adds, updates and removes peers according to a page of instance records.
func (m *Membership) Apply(page tamarackrun.Page) {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.Clock.Now()
	if page.Full {
		// Watches may miss removals.
		listed := map[string]bool{}
		for _, r := range page.Records {
			listed[r.Name] = true
		}
		for name, p := range m.peers {
			// A restored store may not have the record of an instance that reports. The
			// instance writes it again.
			restored := p.recordEra < page.Position.Era
			if !listed[name] && (!restored || now-p.lastReport >= m.DetectionBound) {
				m.remove(name)
			}
		}
		if !listed[m.Name] {
			m.OnRecordMissing()
		}
	}
	for _, r := range page.Records {
		if r.Name == m.Name {
			if r.Removed || r.Instance != nil && *r.Instance != m.OwnRecord {
				m.OnRecordMissing()
			}
			continue
		}
		if r.Removed {
			m.remove(r.Name)
			continue
		}
		if r.Instance == nil {
			continue
		}
		address, err := netip.ParseAddrPort(r.Instance.ReportAddress)
		if err != nil {
			continue
		}
		p := m.peers[r.Name]
		if p == nil {
			p = &peer{hash: xxhash.Sum64String(r.Name), lastReport: now - removeAfter, lastMutual: now - removeAfter,
				recordSeen: now}
			p.report.at, p.domain.at, p.fleet.at = now-removeAfter, now-removeAfter, now-removeAfter
			p.report.readAt, p.domain.readAt, p.fleet.readAt = p.report.at, p.domain.at, p.fleet.at
			m.peers[r.Name], m.byHash[p.hash] = p, p
			m.Recorder.Record(event.InstanceKnown, "", "peer", r.Name, "address", r.Instance.ReportAddress)
		}
		p.record, p.address, p.recordEra = *r.Instance, address, r.Position.Era
	}
	if m.recordsReadAt == 0 {
		m.recordsReadAt = now
		m.ReportSoon()
	}
	// A limit that is divided by the members must not wait for the next report.
	m.publish(now)
}

// remove forgets a peer. The caller holds m.mu.
func (m *Membership) remove(name string) {
	if p := m.peers[name]; p != nil {
		delete(m.peers, name)
		delete(m.byHash, p.hash)
	}
}

// Run sends a report at each interval until the context ends.
func (m *Membership) Run(ctx context.Context) {
	for {
		m.mu.Lock()
		timer := time.NewTimer(m.reportInterval())
		m.mu.Unlock()
		select {
		case <-ctx.Done():
			timer.Stop()
			return
		case <-m.early:
			timer.Stop()
		case <-timer.C:
		}
		m.sendReport()
	}
}

// requestRate returns the rate at which callers' requests arrive, in requests per second.
func (m *Membership) requestRate() uint32 {
	if m.RequestRate == nil {
		return 0
	}
	return uint32(math.Round(m.RequestRate()))
}

// serversUnreachable reports whether this instance reaches no backend server.
func (m *Membership) serversUnreachable() bool {
	return m.ServersUnreachable != nil && m.ServersUnreachable()
}

// suspects returns the hash of the facts about refused requests that this instance knows.
func (m *Membership) suspects() uint64 {
	if m.Suspects == nil {
		return 0
	}
	return m.Suspects()
}

// boundFraction returns the given fraction of DetectionBound.
func (m *Membership) boundFraction(fraction float64) time.Duration {
	return time.Duration(fraction * float64(m.DetectionBound))
}

// reportInterval returns the time between two reports. The caller holds m.mu.
func (m *Membership) reportInterval() time.Duration {
	return min(maxInterval, max(minInterval, time.Duration(len(m.peers))*intervalPerPeer))
}

// recentAge returns the age of a report up to which its sender counts as heard recently.
// The caller holds m.mu.
func (m *Membership) recentAge() time.Duration {
	intervals := recentIntervals
	if m.relayed() {
		intervals += relayHops
	}
	return time.Duration(intervals) * m.reportInterval()
}

// ReportHops returns the number of report intervals that a report takes to reach the whole
// fleet.
func (m *Membership) ReportHops() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.relayed() {
		return 1 + relayHops
	}
	return 1
}

// ChooseLender returns the address of an instance that reported a spare token of
// an organisation's limit, and deducts the token from what it reported. It
// considers only instances that hear this one, and none of other regions, because
// a request cannot wait for a reply from there.
func (m *Membership) ChooseLender(organisation string) (address netip.AddrPort, ok bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	now, hash := m.Clock.Now(), xxhash.Sum64String(organisation)
	var lenders []*peer
	for _, p := range m.peers {
		if p.spareTokens[hash] >= 1 && p.record.Region == m.OwnRecord.Region &&
			now-p.lastMutual < m.boundFraction(heardFraction) && !p.leaving {
			lenders = append(lenders, p)
		}
	}
	if len(lenders) == 0 {
		return netip.AddrPort{}, false
	}
	// The choice is random because all instances know the same reports and would
	// otherwise ask the same lender.
	p := lenders[rand.IntN(len(lenders))]
	p.spareTokens[hash]--
	return p.address, true
}

// RecordsToRemove returns the names of the instances that were silent for
// removeAfter and whose records this instance should remove. It returns names only
// on the instance of rank 0, so that one of the instances in contact removes them.
func (m *Membership) RecordsToRemove() []string {
	if m.Rank() != 0 || m.Verifier.StoreUnreachable() {
		return nil
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.Clock.Now()
	var names []string
	for name, p := range m.peers {
		if now-max(p.lastReport, p.recordSeen) >= removeAfter {
			names = append(names, name)
		}
	}
	return names
}

// publish stores the list that Members returns and records an event for each
// member that became unreachable or reachable. The caller holds m.mu.
func (m *Membership) publish(now time.Duration) {
	recent := m.recentAge()
	members := []Member{{Name: m.Name, InstanceRecord: m.OwnRecord, Ready: m.ready.Load(), Leaving: m.leaving.Load(), Alive: true,
		ServersUnreachable: m.serversUnreachable(), RequestRate: float64(m.requestRate())}}
	for name, p := range m.peers {
		alive := now-p.lastReport < m.boundFraction(aliveFraction)
		// A peer that has not reported yet gets some time before it counts as
		// unreachable.
		isNew := !p.known && now-p.recordSeen < m.boundFraction(aliveFraction)
		if alive == p.unreachable && !isNew {
			p.unreachable = !alive
			id := event.PeerReachable
			if p.unreachable {
				id = event.PeerUnreachable
			}
			m.Recorder.Record(id, "", "peer", name, "silentFor", (now - max(p.lastReport, p.recordSeen)).String(),
				"readAge", (now - max(p.report.readAt, p.domain.readAt, p.fleet.readAt)).String())
		}
		members = append(members, Member{Name: name, InstanceRecord: p.record, Ready: p.ready, Leaving: p.leaving, Alive: alive,
			HeardRecently: now-p.lastReport < recent, StoreUnreachable: p.storeUnreachable,
			ServersUnreachable: p.serversUnreachable, RequestRate: float64(p.requestRate)})
	}
	slices.SortFunc(members, func(a, b Member) int { return cmp.Compare(a.Name, b.Name) })
	m.members.Store(&members)
	m.chooseReader(now)
	m.noteHolders(members)
}
