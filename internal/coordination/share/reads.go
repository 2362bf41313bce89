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
	// settledInterval is the time between two reads of a record in which the instance's
	// share is at its target. Other instances do not change this share unless they
	// fence the instance's term, which the next renewal detects.
	settledInterval = 5 * time.Minute
	// maxReadInterval is the longest time between two reads while a share is not at its
	// target. This can last for hours, when a dead holder's share can't be reclaimed
	// yet.
	maxReadInterval = 15 * time.Second
	// While a share is not at its target, the time between two reads is the time since
	// the target changed divided by readIntervalDivisor: the end of a change that takes
	// 8 s is noticed at most 1 s late.
	readIntervalDivisor = 8
)

// readPlan determines when a record is read next.
type readPlan struct {
	// target is the target of the instance's share, set at the time since.
	target          rate.Fraction
	since, nextRead time.Duration
	// settled is true if the share was at its target in the latest step.
	settled bool
}

// planRead schedules the next read of a record.
func (m *Manager) planRead(organisation string, settled bool) {
	plan, now := m.readPlans[organisation], m.Clock.Now()
	plan.settled, plan.nextRead = settled, now+min(maxReadInterval, (now-plan.since)/readIntervalDivisor)
	if settled {
		plan.nextRead = now + settledInterval
	}
	m.readPlans[organisation] = plan
}

// readRecords reads the records that are due, of the organisations of which this instance
// has a share or is to get one. It returns false if the store did not answer.
func (m *Manager) readRecords(ctx context.Context, targets map[string]rate.Fraction) (map[string]stored[record], bool) {
	records := map[string]stored[record]{}
	for organisation, target := range targets {
		plan, known := m.readPlans[organisation]
		if !known || plan.target != target {
			plan = readPlan{target: target, since: m.Clock.Now(), nextRead: m.Clock.Now()}
		}
		_, uncertain := m.uncertainWrites[organisation]
		if target == 0 && m.Held(organisation) == 0 && !uncertain {
			plan.settled = true
			m.readPlans[organisation] = plan
			continue
		}
		m.readPlans[organisation] = plan
		if m.Clock.Now() < plan.nextRead {
			continue
		}
		r, readable, ok := read[record](ctx, m, recordPrefix+organisation)
		switch {
		case !ok:
			return nil, false
		case readable && r.value.valid():
			records[organisation] = r
		default:
			m.reportUnreadable(recordPrefix+organisation, r.version)
			m.planRead(organisation, false)
		}
	}
	return records, true
}

// readTerms reads the terms that are fenced or may have to be fenced. These are the terms of
// silent holders, and of all holders of a record that leaves too little for this instance's
// target: a holder that is alive may have lost its term to a reclaimer. It returns false if
// the store did not answer.
func (m *Manager) readTerms(ctx context.Context, records map[string]stored[record], targets map[string]rate.Fraction) (map[string]stored[term], bool) {
	terms := map[string]stored[term]{}
	for organisation, r := range records {
		tooSmall := r.value.Shares[m.current.name].sum()+max(0, r.value.free()) < targets[organisation]
		for name := range r.value.Shares {
			_, alreadyRead := terms[name]
			if alreadyRead || name == m.current.name || !tooSmall && m.Silent != nil && !m.Silent(name) {
				continue
			}
			t, readable, ok := read[term](ctx, m, termPrefix+name)
			if !ok {
				return nil, false
			}
			if !readable || !t.value.State.valid() {
				m.reportUnreadable(termPrefix+name, t.version)
				continue
			}
			terms[name] = t
		}
	}
	return terms, true
}

// read reads and decodes an object. An object that does not exist has version 0. readable
// is false if the object can't be decoded, and ok is false if the store did not answer.
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

// reportUnreadable records, once per version, an event for an object that can't be used.
// The object is not replaced, because the shares in use can't be known without it.
func (m *Manager) reportUnreadable(name string, version int64) {
	if m.reportedUnreadable[name] != version {
		m.reportedUnreadable[name] = version
		m.Recorder.Record(event.ShareUnreadable, "", "object", name)
	}
}
