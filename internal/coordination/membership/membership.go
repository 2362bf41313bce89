// Package membership tracks the other instances of the fleet by the reports
// that all instances send each other.
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
	// minInterval is the interval of reports in a small fleet. In a larger one
	// the interval grows by perMember for each instance, since each sends to
	// all others, up to maxInterval.
	minInterval = 250 * time.Millisecond
	maxInterval = time.Second
	perMember   = 25 * time.Millisecond
	// heardPart and alivePart are the parts of the users' bound on lost contact
	// for which the sender of a report counts as heard and as alive.
	heardPart = 0.5
	alivePart = 0.75
	// recentReports is the number of intervals without a report after which the
	// sender's turn to read the store passes to the next one.
	recentReports = 3
	// goneAfter is how long an instance must be silent before its record may be
	// removed. Until then it may be cut off and use its part of the limits; the
	// users' regions are apart for an hour at times.
	goneAfter = 24 * time.Hour
)

// Member is what is known of one instance.
type Member struct {
	Name string
	tamarackrun.InstanceRecord
	Ready, Leaving bool
	// Alive says that a report arrived recently.
	Alive bool
	// Recent says that a report arrived within the latest intervals.
	Recent bool
	// StoreAway says that the store does not answer the instance.
	StoreAway bool
}

// Reachability is the instance's part of the limits of the fleet.
type Reachability struct {
	// Members is the number of instances between which limits are divided, and
	// Silent the number of those from which nothing is heard.
	Members, Silent int
	// CutOff says that the instance is not in contact with most others, so
	// that they may count it as silent.
	CutOff bool
}

type peer struct {
	record  tamarackrun.InstanceRecord
	address netip.AddrPort
	// incarnation and sequence are those of the latest report, and before is the
	// incarnation of the process before, whose reports may still arrive.
	incarnation, before int64
	sequence            uint64
	ready, leaving      bool
	// storeAway says that the store does not answer the instance.
	storeAway bool
	// last is when the latest report arrived, and mutual when the latest one
	// arrived that says that own reports are heard.
	last, mutual time.Duration
	// known is when the record arrived.
	known   time.Duration
	lost    bool
	demands map[string]float64
	// spares are the tokens that it would lend, less those that were asked for
	// since its report.
	spares map[string]float64
}

// Membership is the view of one instance. It is safe for concurrent use.
type Membership struct {
	// These fields are set before Run. Demands returns the instance's own
	// demand by organisation; Send sends a report.
	Name  string
	Own   tamarackrun.InstanceRecord
	Clock tamarackrun.Clock
	// ContactBound is the users' bound on noticing that contact is lost. The others
	// use an instance's part of the limits when it is silent for so long. A
	// cut-off instance stops using it after a half of that; the rest is margin
	// for the age of reports.
	ContactBound time.Duration
	Recorder     tamarackrun.Recorder
	Demands      func() map[string]float64
	// Spares returns the tokens that the instance would lend, by organisation.
	Spares func() map[string]float64
	Send   func(message *wire.InstanceMessage, addresses ...netip.AddrPort) int
	// Verifier takes and gives the revisions in reports.
	Verifier *verify.Verifier
	// OnReport is called after each report with the demand of all instances.
	OnReport func(part Reachability, totals map[string]float64)
	// OnRecordMissing is called when the store turns out not to hold the own record.
	OnRecordMissing func()

	ready, leaving atomic.Bool

	// incarnation is random and not 0. No clock can order the processes of an
	// instance: a machine that lost its power counts from its start, and its time
	// of day may jump.
	incarnation int64

	mu       sync.Mutex
	peers    map[string]*peer
	sequence uint64
	// members is the latest list, with this instance.
	members atomic.Pointer[[]Member]
}

// New returns a membership without other instances.
func New(name string, own tamarackrun.InstanceRecord, clock tamarackrun.Clock) *Membership {
	m := &Membership{Name: name, Own: own, Clock: clock, peers: map[string]*peer{}, incarnation: 1 + rand.Int64N(math.MaxInt64-1)}
	m.members.Store(&[]Member{})
	return m
}

// SetReady says whether the instance serves.
func (m *Membership) SetReady(ready bool) { m.ready.Store(ready) }

// IsReady says whether the instance serves.
func (m *Membership) IsReady() bool { return m.ready.Load() }

// Leave says that the instance is about to stop.
func (m *Membership) Leave() { m.leaving.Store(true) }

// Members returns the instances of the latest report, sorted by name. The slice
// is shared and must not be changed.
func (m *Membership) Members() []Member { return *m.members.Load() }

// Rank is the position of the instance among those that report and that the
// store answers. The order is by hash, so that instances that fail together are
// not next to each other.
func (m *Membership) Rank() int {
	rank, own := 0, xxhash.Sum64String(m.Name)
	for _, v := range m.Members() {
		if v.Name != m.Name && v.Recent && !v.StoreAway && xxhash.Sum64String(v.Name) < own {
			rank++
		}
	}
	return rank
}

// Apply takes records of instances.
func (m *Membership) Apply(page tamarackrun.Page) {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.Clock.Now()
	if page.Full {
		// Removals that no watch has delivered.
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
			p = &peer{last: now - goneAfter, mutual: now - goneAfter, known: now}
			m.peers[r.Name] = p
			m.Recorder.Record(event.InstanceKnown, "", "peer", r.Name, "address", r.Instance.ReportAddress)
		}
		p.record, p.address = *r.Instance, address
	}
}

// Receive takes a report of another instance.
func (m *Membership) Receive(report *wire.InstanceReport) {
	m.mu.Lock()
	defer m.mu.Unlock()
	p := m.peers[report.Name]
	if p == nil || report.Incarnation == p.before || report.Incarnation == p.incarnation && report.Sequence <= p.sequence {
		return
	}
	if report.Incarnation != p.incarnation {
		p.before = p.incarnation
	}
	now := m.Clock.Now()
	p.incarnation, p.sequence, p.last = report.Incarnation, report.Sequence, now
	p.ready, p.leaving, p.storeAway = report.Ready, report.Leaving, report.StoreAway
	own := xxhash.Sum64String(m.Name)
	if slices.Contains(report.Heard, own) {
		p.mutual = now
	}
	var theirs verify.Revisions
	copy(theirs[:], report.Revisions)
	m.Verifier.Learn(time.Now(), theirs, time.Duration(report.VerifiedAge)*time.Millisecond)
	p.demands = make(map[string]float64, len(report.Demands))
	p.spares = map[string]float64{}
	for _, d := range report.Demands {
		p.demands[d.Organisation] = float64(d.Rate)
		if d.Spare >= 1 {
			p.spares[d.Organisation] = float64(d.Spare)
		}
	}
}

// Run sends reports until the context ends.
func (m *Membership) Run(ctx context.Context) {
	for {
		m.mu.Lock()
		timer := time.NewTimer(m.interval())
		m.mu.Unlock()
		select {
		case <-ctx.Done():
			timer.Stop()
			return
		case <-timer.C:
		}
		m.report()
	}
}

// part returns a part of the bound on lost contact.
func (m *Membership) part(part float64) time.Duration {
	return time.Duration(part * float64(m.ContactBound))
}

// interval is the time between two reports; m.mu is held.
func (m *Membership) interval() time.Duration {
	return min(maxInterval, max(minInterval, time.Duration(len(m.peers))*perMember))
}

// report sends one report and divides the limits anew.
func (m *Membership) report() {
	own, spares := m.Demands(), m.Spares()
	m.mu.Lock()
	now := m.Clock.Now()
	m.sequence++
	message := &wire.InstanceReport{Name: m.Name, Incarnation: m.incarnation, Sequence: m.sequence, Ready: m.ready.Load(),
		Leaving: m.leaving.Load()}
	for organisation, spare := range spares {
		if _, ok := own[organisation]; !ok {
			message.Demands = append(message.Demands, &wire.OrganisationDemand{Organisation: organisation, Spare: float32(spare)})
		}
	}
	for organisation, rate := range own {
		message.Demands = append(message.Demands, &wire.OrganisationDemand{Organisation: organisation, Rate: float32(rate),
			Spare: float32(spares[organisation])})
	}
	revisions, age := m.Verifier.Report(time.Now())
	message.StoreAway = m.Verifier.StoreUnreachable()
	message.Revisions, message.VerifiedAge = revisions[:], uint32(age.Milliseconds())
	var addresses []netip.AddrPort
	for name, p := range m.peers {
		addresses = append(addresses, p.address)
		if now-p.last < m.part(heardPart) {
			message.Heard = append(message.Heard, xxhash.Sum64String(name))
		}
	}
	part, totals := m.divide(now, own)
	m.list(now)
	m.mu.Unlock()
	// A failed send shows as an instance that does not hear this one.
	_ = m.Send(&wire.InstanceMessage{Content: &wire.InstanceMessage_Report{Report: message}}, addresses...)
	m.OnReport(part, totals)
}

// divide returns the instance's part and the demands of all instances together.
func (m *Membership) divide(now time.Duration, own map[string]float64) (Reachability, map[string]float64) {
	// An instance that is silent for long may still serve behind a cut.
	members, silent, mutual := 1+len(m.peers), 0, 1
	totals := make(map[string]float64, len(own))
	for organisation, rate := range own {
		totals[organisation] = rate
	}
	for _, p := range m.peers {
		if now-p.mutual < m.part(heardPart) {
			mutual++
		}
		if now-p.last >= m.ContactBound {
			silent++
			continue
		}
		for organisation, rate := range p.demands {
			totals[organisation] += rate
		}
	}
	return Reachability{Members: members, Silent: silent, CutOff: 2*mutual <= members}, totals
}

// ChooseLender returns an instance that has reported a token of an organisation's limit
// to spare, and counts the token as asked for. Instances of other regions are too
// far for a request to wait for them. Only instances in contact lend.
func (m *Membership) ChooseLender(organisation string) (address netip.AddrPort, ok bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.Clock.Now()
	var lenders []*peer
	for _, p := range m.peers {
		if p.spares[organisation] >= 1 && p.record.Region == m.Own.Region && now-p.mutual < m.part(heardPart) && !p.leaving {
			lenders = append(lenders, p)
		}
	}
	if len(lenders) == 0 {
		return netip.AddrPort{}, false
	}
	// All instances know the same reports, and would ask the same lender.
	p := lenders[rand.IntN(len(lenders))]
	p.spares[organisation]--
	return p.address, true
}

// RecordsToRemove returns the instances whose records this instance is to remove because
// nothing was heard of them for long. Only one of the instances that hear each
// other does it.
func (m *Membership) RecordsToRemove() []string {
	if m.Rank() != 0 || m.Verifier.StoreUnreachable() {
		return nil
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.Clock.Now()
	var list []string
	for name, p := range m.peers {
		if now-max(p.last, p.known) >= goneAfter {
			list = append(list, name)
		}
	}
	return list
}

// list publishes the members and logs those that were lost or came back.
func (m *Membership) list(now time.Duration) {
	interval := m.interval()
	list := []Member{{Name: m.Name, InstanceRecord: m.Own, Ready: m.ready.Load(), Leaving: m.leaving.Load(), Alive: true}}
	for name, p := range m.peers {
		alive := now-p.last < m.part(alivePart)
		// An instance that was never heard is not lost yet.
		isNew := p.incarnation == 0 && now-p.known < m.part(alivePart)
		if alive == p.lost && !isNew {
			p.lost = !alive
			id := event.PeerReachable
			if p.lost {
				id = event.PeerUnreachable
			}
			m.Recorder.Record(id, "", "peer", name, "silentFor", (now - max(p.last, p.known)).String())
		}
		list = append(list, Member{Name: name, InstanceRecord: p.record, Ready: p.ready, Leaving: p.leaving, Alive: alive,
			Recent: now-p.last < recentReports*interval, StoreAway: p.storeAway})
	}
	slices.SortFunc(list, func(a, b Member) int { return cmp.Compare(a.Name, b.Name) })
	m.members.Store(&list)
}
