package share

import (
	"context"
	"encoding/json"
	"errors"
	"time"

	"tamarackrun"
	"tamarackrun/internal/coordination/rate"
	"tamarackrun/internal/protocol/event"
)

const (
	// settledPause is the pause between two reads of a record whose own part is
	// at its target. Nobody else changes the own part unless it fenced the
	// own term, which the renewal finds out.
	settledPause = 5 * time.Minute
	// mostPause bounds the pause while a part is not at its target. It matters
	// for hours when a dead holder's part can't be reclaimed yet.
	mostPause = 15 * time.Second
	// pauseShare lets the pause grow with the time since the target changed: a
	// division that takes 8 s is noticed 1 s late.
	pauseShare = 8
)

// look is the state of the reads of one record.
type look struct {
	target rate.Fraction
	// since is when the target was set, and due is the next read.
	since, due time.Duration
	settled    bool
}

// looked plans the next read of a record.
func (m *Manager) looked(organisation string, settled bool) {
	l, now := m.looks[organisation], m.Clock.Now()
	l.settled, l.due = settled, now+min(mostPause, (now-l.since)/pauseShare)
	if settled {
		l.due = now + settledPause
	}
	m.looks[organisation] = l
}

// readRecords reads the records that are due of the organisations of which this
// instance holds a part or is to hold one.
func (m *Manager) readRecords(ctx context.Context, targets map[string]rate.Fraction) (map[string]stored[record], bool) {
	records := map[string]stored[record]{}
	for organisation, target := range targets {
		l, known := m.looks[organisation]
		if !known || l.target != target {
			l = look{target: target, since: m.Clock.Now(), due: m.Clock.Now()}
		}
		_, unresolved := m.unresolved[organisation]
		if target == 0 && m.Held(organisation) == 0 && !unresolved {
			l.settled = true
			m.looks[organisation] = l
			continue
		}
		m.looks[organisation] = l
		if m.Clock.Now() < l.due {
			continue
		}
		r, readable, ok := read[record](ctx, m, recordPrefix+organisation)
		switch {
		case !ok:
			return nil, false
		case readable && r.value.valid():
			records[organisation] = r
		default:
			m.unreadable(recordPrefix+organisation, r.version)
			m.looked(organisation, false)
		}
	}
	return records, true
}

// readTerms reads the terms that may have to be fenced or are fenced: those of
// silent holders, and of all holders of a record that leaves nothing for the
// own target, since a living process may have lost its term to a reclaimer.
func (m *Manager) readTerms(ctx context.Context, records map[string]stored[record], targets map[string]rate.Fraction) (map[string]stored[term], bool) {
	terms := map[string]stored[term]{}
	for organisation, r := range records {
		short := r.value.Parts[m.own.name].sum()+max(0, r.value.free()) < targets[organisation]
		for name := range r.value.Parts {
			_, known := terms[name]
			if known || name == m.own.name || !short && m.Silent != nil && !m.Silent(name) {
				continue
			}
			t, readable, ok := read[term](ctx, m, termPrefix+name)
			if !ok {
				return nil, false
			}
			if !readable || !t.value.State.valid() {
				m.unreadable(termPrefix+name, t.version)
				continue
			}
			terms[name] = t
		}
	}
	return terms, true
}

// read reads and decodes an object; one that does not exist has version 0. It
// is not ok if the store did not answer.
func read[T any](ctx context.Context, m *Manager, name string) (s stored[T], readable, ok bool) {
	o, err := m.Store.Get(ctx, name)
	if errors.Is(err, tamarackrun.ErrNotFound) {
		return s, true, true
	}
	if err != nil {
		return s, false, false
	}
	s.version = o.Version
	readable = json.Unmarshal(o.Value, &s.value) == nil
	return s, readable, true
}

// unreadable records once per version that an object can't be used. It is left
// as it is, because parts that are in use can't be told from it.
func (m *Manager) unreadable(name string, version int64) {
	if m.reported[name] != version {
		m.reported[name] = version
		m.Recorder.Record(event.ShareUnreadable, "", "object", name)
	}
}
