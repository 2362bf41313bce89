// Package membership tracks the other instances of the fleet. Each instance
// periodically sends a report to all others with its state, its demand by
// organisation and the record revisions that it knows.
package membership

import (
	"cmp"
	"context"
	"maps"
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
	// instances, because each instance sends to all others, but at least
	// minInterval and at most maxInterval.
	minInterval     = 250 * time.Millisecond
	maxInterval     = time.Second
	intervalPerPeer = 25 * time.Millisecond
	// heardFraction and aliveFraction are the fractions of DetectionBound for which
	// the sender of a report counts as heard and as alive.
	heardFraction = 0.5
	aliveFraction = 0.75
	// recentIntervals is the number of report intervals without a report after
	// which an instance loses its turn to read the store to the next one.
	recentIntervals = 3
	// removeAfter is how long an instance must be silent before its record may be
	// removed. Until then it may merely be cut off and still use its share of the
	// limits: at times the users' regions are partitioned for an hour.
	removeAfter = 24 * time.Hour
)

// Member holds the record of one instance and the state from its latest report.
type Member struct {
	Name string
	tamarackrun.InstanceRecord
	Ready, Leaving bool
	// Alive is true if the latest report is younger than aliveFraction of
	// DetectionBound.
	Alive bool
	// HeardRecently is true if a report arrived within the last recentIntervals
	// report intervals.
	HeardRecently bool
	// StoreUnreachable is true if the instance reported that it cannot reach the
	// store.
	StoreUnreachable bool
}

// Reachability counts the instances that share the limits of the fleet and those
// that are out of contact.
type Reachability struct {
	// Members is the number of instances between which limits are divided, and
	// Silent the number of those from which no report arrived for DetectionBound.
	Members, Silent int
	// CutOff is true if the instance has two-way contact with at most half of the
	// members, itself included, so that the others may count it as silent.
	CutOff bool
}

// peer holds what the instance knows of another one.
type peer struct {
	record  tamarackrun.InstanceRecord
	address netip.AddrPort
	// incarnation and sequence are those of the latest report. Late reports of
	// the process before, which had previousIncarnation, are ignored.
	incarnation, previousIncarnation int64
	sequence                         uint64
	ready, leaving                   bool
	// storeUnreachable is true if the peer reported that it cannot reach the
	// store.
	storeUnreachable bool
	// lastReport is when the latest report arrived, and lastMutual when the
	// latest report arrived that lists this instance as heard.
	lastReport, lastMutual time.Duration
	// recordSeen is when the record first arrived.
	recordSeen time.Duration
	// unreachable is true if the latest event about the peer is PeerUnreachable.
	unreachable bool
	// demands holds the demand by organisation in the latest report.
	demands map[string]float64
	// spareTokens holds, by organisation, the tokens that the peer would lend,
	// minus those that this instance asked for since its report.
	spareTokens map[string]float64
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
	// for that long. A cut-off instance stops using its share after half of that
	// time, which leaves a margin for the age of reports.
	DetectionBound time.Duration
	Recorder       tamarackrun.Recorder
	// Demands returns this instance's demand by organisation.
	Demands func() map[string]float64
	// SpareTokens returns the tokens that this instance would lend, by organisation.
	SpareTokens func() map[string]float64
	// Send sends a message to each of the addresses and returns the number of
	// addresses to which it could not be sent.
	Send func(message *wire.InstanceMessage, addresses ...netip.AddrPort) int
	// Verifier supplies the revisions that this instance reports and receives those
	// that others report.
	Verifier *verify.Verifier
	// OnReport is called after each report that this instance sends. totalDemand is
	// the demand of all instances that are not silent, by organisation.
	OnReport func(reachability Reachability, totalDemand map[string]float64)
	// OnRecordMissing is called when the store does not hold this instance's record.
	OnRecordMissing func()

	ready, leaving atomic.Bool

	// incarnation identifies the process; it is random and not 0. No clock can
	// order the processes of an instance: after a power loss the monotonic clock
	// starts again at zero, and the time of day may jump.
	incarnation int64

	mu       sync.Mutex
	peers    map[string]*peer
	sequence uint64
	// members is the latest list, which includes this instance.
	members atomic.Pointer[[]Member]
}

// New returns a membership without other instances.
func New(name string, ownRecord tamarackrun.InstanceRecord, clock tamarackrun.Clock) *Membership {
	m := &Membership{
		Name:        name,
		OwnRecord:   ownRecord,
		Clock:       clock,
		peers:       map[string]*peer{},
		incarnation: 1 + rand.Int64N(math.MaxInt64-1),
	}
	m.members.Store(&[]Member{})
	return m
}

// SetReady sets whether the instance reports that it is ready to serve.
func (m *Membership) SetReady(ready bool) { m.ready.Store(ready) }

// IsReady reports whether the instance is ready to serve.
func (m *Membership) IsReady() bool { return m.ready.Load() }

// Leave makes the following reports say that the instance is about to stop.
func (m *Membership) Leave() { m.leaving.Store(true) }

// Members returns all instances, sorted by name, as of the latest report that this
// instance sent. The slice is shared and must not be changed.
func (m *Membership) Members() []Member { return *m.members.Load() }

// Rank returns the position of the instance among those that were heard recently
// and reach the store. Instances are ordered by hash, so that neighbours in the
// order rarely fail together.
func (m *Membership) Rank() int {
	rank, ownHash := 0, xxhash.Sum64String(m.Name)
	for _, member := range m.Members() {
		if member.Name != m.Name && member.HeardRecently && !member.StoreUnreachable && xxhash.Sum64String(member.Name) < ownHash {
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
		maps.DeleteFunc(m.peers, func(name string, _ *peer) bool { return !listed[name] })
		if !listed[m.Name] {
			m.OnRecordMissing()
		}
	}
	for _, r := range page.Records {
		if r.Name == m.Name {
			if r.Removed {
				m.OnRecordMissing()
			}
			continue
		}
		if r.Removed {
			delete(m.peers, r.Name)
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
			p = &peer{lastReport: now - removeAfter, lastMutual: now - removeAfter, recordSeen: now}
			m.peers[r.Name] = p
			m.Recorder.Record(event.InstanceKnown, "", "peer", r.Name, "address", r.Instance.ReportAddress)
		}
		p.record, p.address = *r.Instance, address
	}
}

// Receive processes a report of another instance. It ignores reports of unknown
// instances and of the process before a restart, and those that arrive out of order.
func (m *Membership) Receive(report *wire.InstanceReport) {
	m.mu.Lock()
	defer m.mu.Unlock()
	p := m.peers[report.Name]
	if p == nil || report.Incarnation == p.previousIncarnation || report.Incarnation == p.incarnation && report.Sequence <= p.sequence {
		return
	}
	if report.Incarnation != p.incarnation {
		p.previousIncarnation = p.incarnation
	}
	now := m.Clock.Now()
	p.incarnation, p.sequence, p.lastReport = report.Incarnation, report.Sequence, now
	p.ready, p.leaving, p.storeUnreachable = report.Ready, report.Leaving, report.StoreAway
	ownHash := xxhash.Sum64String(m.Name)
	if slices.Contains(report.Heard, ownHash) {
		p.lastMutual = now
	}
	var revisions verify.Revisions
	copy(revisions[:], report.Revisions)
	m.Verifier.MergeReport(time.Now(), revisions, time.Duration(report.VerifiedAge)*time.Millisecond)
	p.demands = make(map[string]float64, len(report.Demands))
	p.spareTokens = map[string]float64{}
	for _, d := range report.Demands {
		p.demands[d.Organisation] = float64(d.Rate)
		if d.Spare >= 1 {
			p.spareTokens[d.Organisation] = float64(d.Spare)
		}
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
		case <-timer.C:
		}
		m.sendReport()
	}
}

// boundFraction returns the given fraction of DetectionBound.
func (m *Membership) boundFraction(fraction float64) time.Duration {
	return time.Duration(fraction * float64(m.DetectionBound))
}

// reportInterval returns the time between two reports. The caller holds m.mu.
func (m *Membership) reportInterval() time.Duration {
	return min(maxInterval, max(minInterval, time.Duration(len(m.peers))*intervalPerPeer))
}

// sendReport sends one report, publishes the members and calls OnReport.
func (m *Membership) sendReport() {
	ownDemand, spareTokens := m.Demands(), m.SpareTokens()
	m.mu.Lock()
	now := m.Clock.Now()
	m.sequence++
	report := &wire.InstanceReport{Name: m.Name, Incarnation: m.incarnation, Sequence: m.sequence, Ready: m.ready.Load(),
		Leaving: m.leaving.Load()}
	for organisation, spare := range spareTokens {
		if _, ok := ownDemand[organisation]; !ok {
			report.Demands = append(report.Demands, &wire.OrganisationDemand{Organisation: organisation, Spare: float32(spare)})
		}
	}
	for organisation, rate := range ownDemand {
		report.Demands = append(report.Demands, &wire.OrganisationDemand{Organisation: organisation, Rate: float32(rate),
			Spare: float32(spareTokens[organisation])})
	}
	revisions, age := m.Verifier.OwnReport(time.Now())
	report.StoreAway = m.Verifier.StoreUnreachable()
	report.Revisions, report.VerifiedAge = revisions[:], uint32(age.Milliseconds())
	var addresses []netip.AddrPort
	for name, p := range m.peers {
		addresses = append(addresses, p.address)
		if now-p.lastReport < m.boundFraction(heardFraction) {
			report.Heard = append(report.Heard, xxhash.Sum64String(name))
		}
	}
	reachability, totalDemand := m.summarise(now, ownDemand)
	m.publish(now)
	m.mu.Unlock()
	// A failed send needs no handling: the receiver's reports then stop listing
	// this instance as heard.
	_ = m.Send(&wire.InstanceMessage{Content: &wire.InstanceMessage_Report{Report: report}}, addresses...)
	m.OnReport(reachability, totalDemand)
}

// summarise returns the reachability of the fleet, and the demand by organisation
// summed over this instance and the peers that are not silent. The caller holds
// m.mu.
func (m *Membership) summarise(now time.Duration, ownDemand map[string]float64) (Reachability, map[string]float64) {
	// Silent instances count as members, because they may still serve on the
	// other side of a partition.
	members, silent, mutual := 1+len(m.peers), 0, 1
	totalDemand := make(map[string]float64, len(ownDemand))
	for organisation, rate := range ownDemand {
		totalDemand[organisation] = rate
	}
	for _, p := range m.peers {
		if now-p.lastMutual < m.boundFraction(heardFraction) {
			mutual++
		}
		if now-p.lastReport >= m.DetectionBound {
			silent++
			continue
		}
		for organisation, rate := range p.demands {
			totalDemand[organisation] += rate
		}
	}
	return Reachability{Members: members, Silent: silent, CutOff: 2*mutual <= members}, totalDemand
}

// ChooseLender returns the address of an instance that reported a spare token of
// an organisation's limit, and deducts the token from what it reported. It
// considers only instances that hear this one, and none of other regions, because
// a request cannot wait for a reply from there.
func (m *Membership) ChooseLender(organisation string) (address netip.AddrPort, ok bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.Clock.Now()
	var lenders []*peer
	for _, p := range m.peers {
		if p.spareTokens[organisation] >= 1 && p.record.Region == m.OwnRecord.Region &&
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
	p.spareTokens[organisation]--
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
	interval := m.reportInterval()
	members := []Member{{Name: m.Name, InstanceRecord: m.OwnRecord, Ready: m.ready.Load(), Leaving: m.leaving.Load(), Alive: true}}
	for name, p := range m.peers {
		alive := now-p.lastReport < m.boundFraction(aliveFraction)
		// A peer that has not reported yet gets some time before it counts as
		// unreachable.
		isNew := p.incarnation == 0 && now-p.recordSeen < m.boundFraction(aliveFraction)
		if alive == p.unreachable && !isNew {
			p.unreachable = !alive
			id := event.PeerReachable
			if p.unreachable {
				id = event.PeerUnreachable
			}
			m.Recorder.Record(id, "", "peer", name, "silentFor", (now - max(p.lastReport, p.recordSeen)).String())
		}
		members = append(members, Member{Name: name, InstanceRecord: p.record, Ready: p.ready, Leaving: p.leaving, Alive: alive,
			HeardRecently: now-p.lastReport < recentIntervals*interval, StoreUnreachable: p.storeUnreachable})
	}
	slices.SortFunc(members, func(a, b Member) int { return cmp.Compare(a.Name, b.Name) })
	m.members.Store(&members)
}
