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

// ownTerm is a term of this instance.
type ownTerm struct {
	name string
	// counter is of the latest renewal that was sent, at the time sent.
	counter int64
	sent    time.Duration
	// version is the latest version known; 0 before the first write.
	version int64
	// renewedAt is when the latest confirmed renewal was sent.
	renewedAt time.Duration
	// unresolved says that the answer to the latest renewal was lost.
	unresolved bool
	// upperUntil and floorUntil are the ends of the confirmed halves.
	upperUntil, floorUntil time.Duration
}

// isRefusal says that a write did not take effect.
func isRefusal(err error) bool { return errors.Is(err, tamarackrun.ErrConflict) }

// renew renews the term when it is due. It says whether the term is confirmed.
func (m *Manager) renew(ctx context.Context) bool {
	if m.own.unresolved && !m.readBack(ctx) {
		return false
	}
	due := m.own.version == 0 || m.Clock.Now()-m.own.renewedAt >= min(m.UpperTerm, m.FloorTerm)/renewals
	if !due {
		// Buckets of new organisations need the term as well.
		m.setTerm(m.own.upperUntil, m.own.floorUntil)
		return true
	}
	m.own.counter++
	// The validity counts from before the write is sent: the reclaimer's
	// wait begins when the write takes effect at the earliest.
	m.own.sent = m.Clock.Now()
	o, err := m.Store.Put(ctx, termPrefix+m.own.name, encode(term{m.own.counter, held}), m.own.version)
	if err == nil {
		m.confirm(o.Version)
		return true
	}
	// A conflict is either an earlier write whose answer was lost or a
	// reclaimer's; the object tells.
	m.own.unresolved = true
	return m.readBack(ctx) && m.own.version != 0 && m.own.renewedAt == m.own.sent
}

func (m *Manager) confirm(version int64) {
	t := &m.own
	t.version, t.unresolved, t.renewedAt = version, false, t.sent
	t.upperUntil, t.floorUntil = t.sent+m.UpperTerm, t.sent+m.FloorTerm
	m.setTerm(t.upperUntil, t.floorUntil)
}

// readBack reads the own term and says whether its state is known.
func (m *Manager) readBack(ctx context.Context) bool {
	o, err := m.Store.Get(ctx, termPrefix+m.own.name)
	if errors.Is(err, tamarackrun.ErrNotFound) {
		m.own.unresolved = false
		return true
	}
	var t term
	if err != nil {
		return false
	}
	if json.Unmarshal(o.Value, &t) != nil {
		m.unreadable(termPrefix+m.own.name, o.Version)
		return false
	}
	switch {
	case t.State != held:
		m.lose()
	case t.Counter == m.own.counter:
		m.confirm(o.Version)
	default:
		// An earlier renewal is in force. The latest one fails if it still
		// arrives after the next, which is sent with the version read here.
		m.own.version, m.own.unresolved = o.Version, false
	}
	return true
}

// lose starts a new term after a reclaimer fenced the present one. The shares
// of the old one are dropped, and what was not reclaimed is given up.
func (m *Manager) lose() {
	m.Recorder.Record(event.TermLost, "", "term", m.own.name)
	m.dropAll()
	m.former = append(m.former, m.own)
	m.generation++
	m.own = ownTerm{name: fmt.Sprintf("%s.%d", m.Incarnation, m.generation)}
}

// HandBack gives up all shares. No loan may be made after it is called for the
// first time. It says whether the store has confirmed it.
func (m *Manager) HandBack(ctx context.Context) bool {
	for _, b := range m.Pool.Buckets() {
		b.StopLending()
	}
	m.dropAll()
	if m.own.counter > 0 {
		m.former = append(m.former, m.own)
		m.own = ownTerm{name: m.own.name + ".stopped"}
	}
	m.giveUpFormer(ctx)
	return len(m.former) == 0
}

// giveUpFormer marks former terms as reclaimed, so that others may take their
// shares at once. Parts that are lent out are in use until the loans end.
func (m *Manager) giveUpFormer(ctx context.Context) {
	if len(m.former) == 0 {
		return
	}
	for _, b := range m.Pool.Buckets() {
		if b.Lent(m.Clock.Now()) > 0 {
			return
		}
	}
	kept := m.former[:0]
	for _, t := range m.former {
		if !m.giveUp(ctx, t.name) {
			kept = append(kept, t)
		}
	}
	m.former = kept
}

func (m *Manager) giveUp(ctx context.Context, name string) bool {
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

// sight notes when each term was first seen with its present counter. The time
// is read after the terms, so that a wait that begins with it is never shorter
// than since the renewal.
func (m *Manager) sight(terms map[string]stored[term]) {
	now := m.Clock.Now()
	seen := make(map[string]sighting, len(terms))
	for name, t := range terms {
		s, ok := m.seen[name]
		if !ok || s.counter != t.value.Counter {
			s = sighting{t.value.Counter, now}
		}
		seen[name] = s
	}
	m.seen = seen
}

// fence reclaims the terms of holders that did not renew for long enough.
func (m *Manager) fence(ctx context.Context, terms map[string]stored[term], records map[string]stored[record]) {
	if m.failing || m.Clock.Now()-m.answering < m.Grace {
		return
	}
	holders := map[string]bool{}
	for _, r := range records {
		for name := range r.value.Parts {
			holders[name] = name != m.own.name
		}
	}
	for name, t := range terms {
		s := m.seen[name]
		next := lapsed(t.value.State, m.Clock.Now()-s.at, m.wait(m.UpperTerm), m.wait(m.FloorTerm))
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

// wait is how long a reclaimer waits for a term of the given duration.
func (m *Manager) wait(d time.Duration) time.Duration { return d + d*driftPercent/100 + m.Margin }

// lapsed is the state that a term has after it was not renewed for a time.
func lapsed(s state, unchanged, upper, floor time.Duration) state {
	switch {
	case s == reclaimed || unchanged >= floor:
		return reclaimed
	case unchanged >= upper:
		return upperReclaimed
	default:
		return s
	}
}

// Held returns the part of an organisation that the record grants this
// instance.
func (m *Manager) Held(organisation string) rate.Fraction { return m.local[organisation].sum() }
