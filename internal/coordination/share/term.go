package share

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"tamarackrun"
	"tamarackrun/internal/coordination/rate"
	"tamarackrun/internal/protocol/event"
)

// ownTerm holds what this instance knows of a term of its own in the store.
type ownTerm struct {
	name string
	// counter is the counter of the latest renewal, which was sent at the time sentAt.
	counter int64
	sentAt  time.Duration
	// version is the latest known version of the object, or 0 before the first write.
	version int64
	// confirmedAt is when the latest confirmed renewal was sent.
	confirmedAt time.Duration
	// answerLost is true if the answer to the latest renewal was lost.
	answerLost bool
	// upperUntil and floorUntil are the ends of the two halves of all shares, according
	// to the latest confirmed renewal.
	upperUntil, floorUntil time.Duration
}

// isConflict reports whether the store refused a write, which then has no effect.
func isConflict(err error) bool { return errors.Is(err, tamarackrun.ErrConflict) }

// renew renews the term when it is due. It reports whether the latest renewal is
// confirmed.
func (m *Manager) renew(ctx context.Context) bool {
	if m.current.answerLost && !m.readBack(ctx) {
		return false
	}
	due := m.current.version == 0 || m.Clock.Now()-m.current.confirmedAt >= min(m.UpperTerm, m.FloorTerm)/renewalsPerTerm
	if !due {
		// Buckets that were added since the renewal need the ends of the term.
		m.setShareExpiry(m.current.upperUntil, m.current.floorUntil)
		return true
	}
	m.current.counter++
	// The term counts from before the write is sent, and the reclaimer's wait begins
	// when the write takes effect at the earliest.
	m.current.sentAt = m.Clock.Now()
	o, err := m.Store.Put(ctx, termPrefix+m.current.name, encode(term{m.current.counter, held}), m.current.version)
	if err == nil {
		m.confirm(o.Version)
		return true
	}
	// A conflict is due to an earlier renewal whose answer was lost or to a reclaimer.
	// The stored object shows which.
	m.current.answerLost = true
	return m.readBack(ctx) && m.current.version != 0 && m.current.confirmedAt == m.current.sentAt
}

// confirm applies the latest renewal, which the store has confirmed.
func (m *Manager) confirm(version int64) {
	t := &m.current
	t.version, t.answerLost, t.confirmedAt = version, false, t.sentAt
	t.upperUntil, t.floorUntil = t.sentAt+m.UpperTerm, t.sentAt+m.FloorTerm
	m.setShareExpiry(t.upperUntil, t.floorUntil)
}

// readBack reads this instance's term from the store and applies what it finds. It
// reports whether the state of the term is known.
func (m *Manager) readBack(ctx context.Context) bool {
	o, err := m.Store.Get(ctx, termPrefix+m.current.name)
	if errors.Is(err, tamarackrun.ErrNotFound) {
		m.current.answerLost = false
		return true
	}
	var t term
	if err != nil {
		return false
	}
	if json.Unmarshal(o.Value, &t) != nil {
		m.reportUnreadable(termPrefix+m.current.name, o.Version)
		return false
	}
	switch {
	case t.State != held:
		m.replaceTerm()
	case t.Counter == m.current.counter:
		m.confirm(o.Version)
	default:
		// The latest renewal has not taken effect. If it still arrives after the next
		// one, which expects the version read here, it fails.
		m.current.version, m.current.answerLost = o.Version, false
	}
	return true
}

// replaceTerm starts a new term after a reclaimer fenced the present one. The instance
// stops using the shares of the old term, and gives up those that were not reclaimed.
func (m *Manager) replaceTerm() {
	m.Recorder.Record(event.TermLost, "", "term", m.current.name)
	m.dropShares()
	m.formerTerms = append(m.formerTerms, m.current)
	m.replacedTerms++
	m.current = ownTerm{name: fmt.Sprintf("%s.%d", m.Incarnation, m.replacedTerms)}
}

// ReturnShares gives up all shares, and is called until it reports that the store has
// confirmed it. After the first call the instance lends nothing.
func (m *Manager) ReturnShares(ctx context.Context) bool {
	for _, b := range m.Pool.Buckets() {
		b.StopLending()
	}
	m.dropShares()
	if m.current.counter > 0 {
		m.formerTerms = append(m.formerTerms, m.current)
		m.current = ownTerm{name: m.current.name + ".stopped"}
	}
	m.releaseFormerTerms(ctx)
	return len(m.formerTerms) == 0
}

// releaseFormerTerms marks former terms as reclaimed, so that others may take their
// shares at once. It waits until no part is lent out, because lent parts are in use until
// their loans end.
func (m *Manager) releaseFormerTerms(ctx context.Context) {
	if len(m.formerTerms) == 0 {
		return
	}
	for _, b := range m.Pool.Buckets() {
		if b.Lent(m.Clock.Now()) > 0 {
			return
		}
	}
	kept := m.formerTerms[:0]
	for _, t := range m.formerTerms {
		if !m.releaseTerm(ctx, t.name) {
			kept = append(kept, t)
		}
	}
	m.formerTerms = kept
}

// releaseTerm marks a term as reclaimed. It reports whether the term is reclaimed or does
// not exist.
func (m *Manager) releaseTerm(ctx context.Context, name string) bool {
	o, err := m.Store.Get(ctx, termPrefix+name)
	if errors.Is(err, tamarackrun.ErrNotFound) {
		return true
	}
	var t term
	if err != nil || json.Unmarshal(o.Value, &t) != nil {
		return false
	}
	if t.State == reclaimed {
		return true
	}
	t.State = reclaimed
	_, err = m.Store.Put(ctx, termPrefix+name, encode(t), o.Version)
	if err == nil {
		m.Recorder.Record(event.TermReturned, "", "term", name)
	}
	return err == nil
}

// observeCounters notes when each term was first seen with its present counter. It takes
// the time after the terms were read, and so after their renewals: a reclaimer never waits
// less than the required time since a renewal.
func (m *Manager) observeCounters(terms map[string]stored[term]) {
	now := m.Clock.Now()
	seen := make(map[string]sighting, len(terms))
	for name, t := range terms {
		s, ok := m.sightings[name]
		if !ok || s.counter != t.value.Counter {
			s = sighting{t.value.Counter, now}
		}
		seen[name] = s
	}
	m.sightings = seen
}

// fence reclaims the terms that their holders have not renewed for long enough.
func (m *Manager) fence(ctx context.Context, terms map[string]stored[term], records map[string]stored[record]) {
	if m.storeFailing || m.Clock.Now()-m.answeringSince < m.Grace {
		return
	}
	holders := map[string]bool{}
	for _, r := range records {
		for name := range r.value.Shares {
			holders[name] = name != m.current.name
		}
	}
	for name, t := range terms {
		s := m.sightings[name]
		next := nextState(t.value.State, m.Clock.Now()-s.at, m.reclaimDelay(m.UpperTerm), m.reclaimDelay(m.FloorTerm))
		if !holders[name] || next == t.value.State || t.version == 0 {
			continue
		}
		value := term{t.value.Counter, next}
		if o, err := m.Store.Put(ctx, termPrefix+name, encode(value), t.version); err == nil {
			terms[name] = stored[term]{value, o.Version}
			m.Recorder.Record(event.TermReclaimed, "", "term", name, "state", string(next))
		}
	}
}

// reclaimDelay returns how long after its last renewal a term of the given duration may be
// reclaimed.
func (m *Manager) reclaimDelay(term time.Duration) time.Duration {
	return term + term*driftPercent/100 + m.Margin
}

// nextState returns the state that a term gets after its counter was unchanged for a time.
func nextState(s state, unchanged, upperDelay, floorDelay time.Duration) state {
	switch {
	case s == reclaimed || unchanged >= floorDelay:
		return reclaimed
	case unchanged >= upperDelay:
		return upperReclaimed
	default:
		return s
	}
}

// Held returns the instance's own share of an organisation's limit.
func (m *Manager) Held(organisation string) rate.Fraction { return m.applied[organisation].sum() }
