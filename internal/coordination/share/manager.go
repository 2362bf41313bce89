package share

import (
	"context"
	"fmt"
	"hash/fnv"
	"sort"
	"time"

	"tamarackrun"
	"tamarackrun/internal/coordination/rate"
	"tamarackrun/internal/protocol/event"
)

// Defaults of the Manager's fields.
const (
	DefaultUpperTerm = 10 * time.Minute
	DefaultFloorTerm = 4 * time.Hour
	DefaultMargin    = 5 * time.Second
	DefaultGrace     = 15 * time.Second
)

const (
	// driftPercent lengthens the reclaimer's wait, because clocks may drift.
	driftPercent = 1
	// renewalsPerTerm is the number of renewals in the shorter of UpperTerm and
	// FloorTerm.
	renewalsPerTerm = 4
)

// Manager keeps the shares of one instance in the store and in the instance's buckets. Its
// exported fields are set before use. Its methods are not safe for concurrent use.
type Manager struct {
	Store tamarackrun.ObjectStore
	Clock tamarackrun.Clock
	// Pool holds the buckets that enforce the shares.
	Pool     *rate.Pool
	Recorder tamarackrun.Recorder
	// Incarnation is the name of this process's first term in the store.
	Incarnation string
	// Silent reports whether the holder of a term looks dead or has left, so that its
	// term has to be read. If Silent is nil, all terms are read.
	Silent func(incarnation string) bool
	// UpperTerm and FloorTerm are how long the two halves of a share are valid after a
	// renewal of the term. Margin is how much longer than a term, with clock drift, a
	// reclaimer waits. Grace is how long the store must have answered before a
	// reclaimer fences a term. Terms are not renewed while the store is out, so that
	// without Grace the first instance to notice the end of an outage would reclaim
	// the shares of all others.
	UpperTerm, FloorTerm, Margin, Grace time.Duration

	// current is the term under which this instance holds its shares.
	current ownTerm
	// formerTerms are terms that were lost or given up. They are marked as reclaimed
	// once none of the shares is lent out.
	formerTerms []ownTerm
	// replacedTerms is the number of terms of this process that were lost.
	replacedTerms int
	// applied holds the share in the bucket of each organisation.
	applied map[string]splitShare
	// uncertainWrites holds, by organisation, the expected version of the latest write
	// of a record whose answer was lost. The write may still take effect as long as the
	// record has that version.
	uncertainWrites map[string]int64
	// sightings holds the sightings of other holders' terms by name.
	sightings map[string]sighting
	// readPlans holds the plans for reading the records by organisation.
	readPlans map[string]readPlan
	// reportedUnreadable holds the latest version of each object that was reported as
	// unreadable, by name.
	reportedUnreadable map[string]int64
	// answeringSince is the time since which the store has answered all calls.
	answeringSince time.Duration
	// storeFailing is true before the first step, and if the store did not answer in the
	// latest step.
	storeFailing bool
}

// sighting is the time at which a term was first seen with its present counter.
type sighting struct {
	counter int64
	at      time.Duration
}

// New returns a manager with the default durations.
func New(store tamarackrun.ObjectStore, clock tamarackrun.Clock, pool *rate.Pool, recorder tamarackrun.Recorder, incarnation string) *Manager {
	return &Manager{Store: store, Clock: clock, Pool: pool, Recorder: recorder, Incarnation: incarnation,
		UpperTerm: DefaultUpperTerm, FloorTerm: DefaultFloorTerm, Margin: DefaultMargin, Grace: DefaultGrace,
		current: ownTerm{name: incarnation}, applied: map[string]splitShare{}, uncertainWrites: map[string]int64{},
		sightings: map[string]sighting{}, readPlans: map[string]readPlan{}, reportedUnreadable: map[string]int64{}, storeFailing: true}
}

// Reconcile renews the term when it is due and moves the instance's shares towards the
// targets, which are given by organisation. It reports whether nothing is left to do.
func (m *Manager) Reconcile(ctx context.Context, targets map[string]rate.Fraction) (settled bool) {
	settled = m.renew(ctx)
	records, ok := m.readRecords(ctx, targets)
	var terms map[string]stored[term]
	if ok {
		terms, ok = m.readTerms(ctx, records, targets)
	}
	// Records are rarely read, so often only the renewal shows that the store is out.
	m.recordStoreResult(ok && settled)
	if !ok {
		return false
	}
	m.observeCounters(terms)
	m.fence(ctx, terms, records)
	m.releaseFormerTerms(ctx)
	settled = settled && len(m.formerTerms) == 0
	for _, organisation := range m.writeOrder(targets) {
		if r, due := records[organisation]; due {
			m.planRead(organisation, m.adjustShare(ctx, organisation, targets[organisation], r, terms))
		}
		settled = m.readPlans[organisation].settled && settled
	}
	return settled
}

// recordStoreResult records whether the store answered all calls of a step.
func (m *Manager) recordStoreResult(ok bool) {
	if ok && m.storeFailing {
		m.answeringSince = m.Clock.Now()
	}
	m.storeFailing = !ok
}

// writeOrder returns the organisations in the order in which to write their records. Each
// instance begins with a different organisation, so that instances that start together
// rarely write the same record at the same time.
func (m *Manager) writeOrder(targets map[string]rate.Fraction) []string {
	names := make([]string, 0, len(targets))
	for name := range targets {
		names = append(names, name)
	}
	sort.Strings(names)
	if len(names) == 0 {
		return nil
	}
	h := fnv.New32a()
	_, _ = h.Write([]byte(m.Incarnation))
	start := int(h.Sum32() % uint32(len(names)))
	return append(names[start:len(names):len(names)], names[:start]...)
}

// adjustShare moves the instance's share of one organisation towards its target. It
// lowers a share first in the bucket and then in the record, and raises it first in the
// record, so that the bucket never uses more than the record grants. It reports whether
// the share is at its target.
func (m *Manager) adjustShare(ctx context.Context, organisation string, target rate.Fraction, r stored[record], terms map[string]stored[term]) (settled bool) {
	if m.current.version == 0 {
		return false
	}
	m.resolveWrite(organisation, r)
	live := r.value.withoutReclaimed(terms)
	own := live.Shares[m.current.name]
	switch {
	case own.sum() > target:
		lowered := split(target)
		m.applyShare(organisation, lowered)
		if m.Pool.Bucket(organisation).Lent(m.Clock.Now()) > target {
			return false
		}
		return m.writeShare(ctx, organisation, live, lowered, r.version)
	case own.sum() < target && live.free() > 0:
		raised := split(min(target, own.sum()+live.free()))
		return m.writeShare(ctx, organisation, live, raised, r.version) && raised.sum() == target
	}
	if _, uncertain := m.uncertainWrites[organisation]; uncertain {
		// The uncertain write cannot take effect on a new version of the record.
		return m.writeShare(ctx, organisation, live, own, r.version)
	}
	if m.applied[organisation] != own {
		m.applyShare(organisation, own)
	}
	return own.sum() == target
}

// resolveWrite discards an uncertain write that can no longer take effect, because the
// record is past the version that the write expected.
func (m *Manager) resolveWrite(organisation string, r stored[record]) {
	if expected, uncertain := m.uncertainWrites[organisation]; uncertain && r.version > expected {
		delete(m.uncertainWrites, organisation)
	}
}

// writeShare writes the instance's share to a record and, when the store confirms it, to
// the bucket. It reports whether the store confirmed it.
func (m *Manager) writeShare(ctx context.Context, organisation string, r record, own splitShare, version int64) bool {
	if own.sum() == 0 {
		delete(r.Shares, m.current.name)
	} else {
		r.Shares[m.current.name] = own
	}
	_, err := m.Store.Put(ctx, recordPrefix+organisation, encode(r), version)
	switch {
	case err == nil:
		delete(m.uncertainWrites, organisation)
		m.applyShare(organisation, own)
		m.Recorder.Record(event.ShareChanged, "", "organisation", organisation, "part", fmt.Sprint(int64(own.sum())))
		return true
	case !isConflict(err):
		m.uncertainWrites[organisation] = version
	}
	return false
}

// applyShare sets the share of an organisation's bucket.
func (m *Manager) applyShare(organisation string, own splitShare) {
	m.applied[organisation] = own
	m.Pool.Bucket(organisation).SetShare(m.Clock.Now(), own.Upper, own.Floor)
}

// dropShares stops using all shares.
func (m *Manager) dropShares() {
	for organisation := range m.applied {
		m.applyShare(organisation, splitShare{})
	}
	clear(m.applied)
	clear(m.uncertainWrites)
	clear(m.readPlans)
	m.setShareExpiry(0, 0)
}

// setShareExpiry sets the ends of the two halves of all shares.
func (m *Manager) setShareExpiry(upperUntil, floorUntil time.Duration) {
	for _, b := range m.Pool.Buckets() {
		b.SetShareExpiry(m.Clock.Now(), upperUntil, floorUntil)
	}
}
