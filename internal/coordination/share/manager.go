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

// Default terms.
const (
	DefaultUpperTerm = 10 * time.Minute
	DefaultFloorTerm = 4 * time.Hour
	// DefaultMargin lengthens the wait of a reclaimer beyond the drift.
	DefaultMargin = 5 * time.Second
	// DefaultGrace is how long the store must have answered before a
	// reclaimer fences a term. Terms are not renewed in an outage, so that
	// without it the first instance to see the store's return would reclaim
	// the shares of all others.
	DefaultGrace = 15 * time.Second

	driftPercent = 1
	// renewals is the number of renewals in the shorter term.
	renewals = 4
)

// Manager keeps the shares of one instance. Its methods are called from one
// goroutine.
type Manager struct {
	Store tamarackrun.ObjectStore
	Clock tamarackrun.Clock
	// Pool receives the shares and the term.
	Pool     *rate.Pool
	Recorder tamarackrun.Recorder
	// Incarnation names the holder in the store.
	Incarnation string
	// Silent says that the holder of a term looks dead or gone, so that its
	// term has to be read. If nil, all terms are read.
	Silent func(incarnation string) bool
	// UpperTerm and Floor are how long the halves of a share count after a
	// renewal. Set before use, like Margin and Grace.
	UpperTerm, FloorTerm, Margin, Grace time.Duration

	own ownTerm
	// former are terms that were lost or given up and are to be marked as
	// reclaimed when no loan is out any more.
	former []ownTerm
	// generation counts the terms of this incarnation.
	generation int
	// local is the share that the pool applies for each organisation.
	local map[string]part
	// unresolved is the expected version of the last write of each record
	// whose answer was lost. It may still take effect at that version.
	unresolved map[string]int64
	seen       map[string]sighting
	looks      map[string]look
	// reported is the version of each object that could not be decoded.
	reported map[string]int64
	// answering is the time since which all reads succeeded.
	answering time.Duration
	failing   bool
}

// sighting is when a term was first seen with its counter.
type sighting struct {
	counter int64
	at      time.Duration
}

// New returns a manager with the default terms.
func New(store tamarackrun.ObjectStore, clock tamarackrun.Clock, pool *rate.Pool, recorder tamarackrun.Recorder, incarnation string) *Manager {
	return &Manager{Store: store, Clock: clock, Pool: pool, Recorder: recorder, Incarnation: incarnation,
		UpperTerm: DefaultUpperTerm, FloorTerm: DefaultFloorTerm, Margin: DefaultMargin, Grace: DefaultGrace,
		own: ownTerm{name: incarnation}, local: map[string]part{}, unresolved: map[string]int64{},
		seen: map[string]sighting{}, looks: map[string]look{}, reported: map[string]int64{}, failing: true}
}

// Reconcile renews the term when it is due and moves the own shares towards the
// targets. It says whether nothing is left to do.
func (m *Manager) Reconcile(ctx context.Context, targets map[string]rate.Fraction) (settled bool) {
	settled = m.renew(ctx)
	records, ok := m.readRecords(ctx, targets)
	var terms map[string]stored[term]
	if ok {
		terms, ok = m.readTerms(ctx, records, targets)
	}
	// Records are rarely read, so that an outage shows in the renewal.
	m.noteRead(ok && settled)
	if !ok {
		return false
	}
	m.sight(terms)
	m.fence(ctx, terms, records)
	m.giveUpFormer(ctx)
	settled = settled && len(m.former) == 0
	for _, organisation := range m.order(targets) {
		if r, due := records[organisation]; due {
			m.looked(organisation, m.move(ctx, organisation, targets[organisation], r, terms))
		}
		settled = m.looks[organisation].settled && settled
	}
	return settled
}

// noteRead keeps the time since which the store answers.
func (m *Manager) noteRead(ok bool) {
	if ok && m.failing {
		m.answering = m.Clock.Now()
	}
	m.failing = !ok
}

// order starts with another organisation on each instance, so that instances
// that start together rarely write the same record at the same time.
func (m *Manager) order(targets map[string]rate.Fraction) []string {
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

// move brings the own part of one record to its target: it is lowered first
// locally and then in the record, and raised first in the record.
func (m *Manager) move(ctx context.Context, organisation string, target rate.Fraction, r stored[record], terms map[string]stored[term]) (settled bool) {
	if m.own.version == 0 {
		return false
	}
	m.resolve(organisation, r)
	clean := r.value.without(terms)
	mine := clean.Parts[m.own.name]
	switch {
	case mine.sum() > target:
		lowered := halves(target)
		m.apply(organisation, lowered)
		if m.Pool.Bucket(organisation).Lent(m.Clock.Now()) > target {
			return false
		}
		return m.write(ctx, organisation, clean, lowered, r.version)
	case mine.sum() < target && clean.free() > 0:
		raised := halves(min(target, mine.sum()+clean.free()))
		return m.write(ctx, organisation, clean, raised, r.version) && raised.sum() == target
	}
	if _, open := m.unresolved[organisation]; open {
		// A new version of the record keeps the lost write from taking effect.
		return m.write(ctx, organisation, clean, mine, r.version)
	}
	if m.local[organisation] != mine {
		m.apply(organisation, mine)
	}
	return mine.sum() == target
}

// resolve finds out what became of a write whose answer was lost. As long as
// the record has the version that the write expected, it may still take effect.
func (m *Manager) resolve(organisation string, r stored[record]) {
	if expected, open := m.unresolved[organisation]; open && r.version > expected {
		delete(m.unresolved, organisation)
	}
}

// write puts a new own part into a record and applies it when confirmed.
func (m *Manager) write(ctx context.Context, organisation string, r record, p part, version int64) bool {
	if p.sum() == 0 {
		delete(r.Parts, m.own.name)
	} else {
		r.Parts[m.own.name] = p
	}
	_, err := m.Store.Put(ctx, recordPrefix+organisation, encode(r), version)
	switch {
	case err == nil:
		delete(m.unresolved, organisation)
		m.apply(organisation, p)
		m.Recorder.Record(event.ShareChanged, "", "organisation", organisation, "part", fmt.Sprint(int64(p.sum())))
		return true
	case !isRefusal(err):
		m.unresolved[organisation] = version
	}
	return false
}

func (m *Manager) apply(organisation string, p part) {
	m.local[organisation] = p
	m.Pool.Bucket(organisation).SetShare(m.Clock.Now(), p.Upper, p.Floor)
}

// dropAll stops using all shares.
func (m *Manager) dropAll() {
	for organisation := range m.local {
		m.apply(organisation, part{})
	}
	clear(m.local)
	clear(m.unresolved)
	clear(m.looks)
	m.setTerm(0, 0)
}

func (m *Manager) setTerm(upperUntil, floorUntil time.Duration) {
	for _, b := range m.Pool.Buckets() {
		b.SetShareExpiry(m.Clock.Now(), upperUntil, floorUntil)
	}
}
