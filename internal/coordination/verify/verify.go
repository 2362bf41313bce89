// Package verify finds changes of the platform's records that waiting watches
// did not deliver. The instances take turns: one reads the store, and all learn
// from its reports which revisions they must have.
package verify

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"tamarackrun"
	"tamarackrun/internal/coordination/waiting"
	"tamarackrun/internal/state/sla"
)

// Parts of the users' bound on changes. A change that no watch delivers is found
// within interval and step, reported, and read by the others after grace.
const (
	// intervalPart is that of the time between two reads of the fleet.
	intervalPart = 0.32
	// turnPart is how much later than the instance before it the next one reads.
	// Reports of the read arrive within 0.4 s in a fleet of 7.
	turnPart = 0.2
	// gracePart is how long the own watch may need to deliver a change that
	// another instance has reported.
	gracePart = 0.16
)

const (
	// step is how often the instance looks whether it is its turn.
	step = 100 * time.Millisecond
	// Records lapse at the earliest two heartbeats after the store went away.
	// The store is taken as away awayMargin before, and the turns of instances
	// that were cut off must pass within that time.
	awayMargin = 200 * time.Millisecond
	// unknownAge stands for no read at all.
	unknownAge = time.Minute
	// readTimeout bounds a read, which takes up to three round trips between
	// regions.
	readTimeout = 600 * time.Millisecond
	// retry is the pause after a failed read.
	retry = time.Second
)

// Revisions are the highest revisions that are known of each collection.
type Revisions [4]int64

// max returns the highest revision.
func (r Revisions) max() int64 {
	highest := int64(0)
	for _, v := range r {
		highest = max(highest, v)
	}
	return highest
}

// Verifier is the part of one instance. It is safe for concurrent use.
type Verifier struct {
	// These fields are set before Run. Rank is the instance's place in the
	// order of turns, from 0; Away says that the store does not answer this
	// instance; Kick reads a collection again; Apply takes evacuations.
	Feed             tamarackrun.RecordStore
	Rank             func() int
	WatchFailed      func() bool
	Resync           func(collection tamarackrun.Collection)
	ApplyEvacuations func(page tamarackrun.Page)
	// PropagationBound is how soon any change must be in force, and Heartbeat the interval
	// at which servers renew their records.
	PropagationBound, HeartbeatInterval time.Duration

	// failed says that the latest own read failed.
	failed atomic.Bool

	mu sync.Mutex
	// known are the revisions of the latest changes of each collection, and
	// complete those up to which the collections were read as a whole.
	known, complete Revisions
	// returned is when a read succeeded after the store was away.
	returned time.Time
	// verified is when the latest read of any instance began.
	verified time.Time
	// audited is the store's revision of the latest read that led to kicks.
	audited int64
	// reported are the highest revisions that others have reported, and due is
	// when a collection is read again unless its watch delivers the reported
	// change before; zero if nothing is missing.
	reported Revisions
	due      [4]time.Time
}

// Applied notes the revisions of a page that was put in force.
func (v *Verifier) Applied(collection tamarackrun.Collection, page tamarackrun.Page) {
	v.mu.Lock()
	defer v.mu.Unlock()
	for _, r := range page.Records {
		v.known[collection] = max(v.known[collection], r.Revision)
	}
	if page.Full {
		// A list shows no removals.
		v.complete[collection] = max(v.complete[collection], page.Revision)
	}
}

// part returns a part of the bound.
func (v *Verifier) part(part float64) time.Duration {
	return time.Duration(part * float64(v.PropagationBound))
}

// awayAfter is the age of the latest read of any instance from which on the
// store is taken as away.
func (v *Verifier) awayAfter() time.Duration { return 2*v.HeartbeatInterval - awayMargin }

// StoreStable says that the store has answered some instance lately, and that records
// that lapsed while it was away have had the time to come back.
func (v *Verifier) StoreStable(now time.Time) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	return now.Sub(v.verified) < v.awayAfter() && now.Sub(v.returned) >= sla.LapsedRecordGrace
}

// verify notes a successful read that began at the time.
func (v *Verifier) verify(now, at time.Time) {
	if !at.After(v.verified) {
		return
	}
	if at.Sub(v.verified) >= v.awayAfter() {
		v.returned = now
	}
	v.verified = at
}

// StoreUnreachable says that the store does not answer this instance.
func (v *Verifier) StoreUnreachable() bool { return v.failed.Load() || v.WatchFailed() }

// Report returns what the own report says: the known revisions and the age of
// the latest read.
func (v *Verifier) Report(now time.Time) (Revisions, time.Duration) {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.known, min(now.Sub(v.verified), unknownAge)
}

// Learn takes the report of another instance.
func (v *Verifier) Learn(now time.Time, theirs Revisions, age time.Duration) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.verify(now, now.Add(-age))
	for c, revision := range theirs {
		v.reported[c] = max(v.reported[c], revision)
		switch {
		case v.reported[c] <= max(v.known[c], v.complete[c]):
			v.due[c] = time.Time{}
		case v.due[c].IsZero():
			v.due[c] = now.Add(v.part(gracePart))
		}
	}
}

// Run verifies until the context ends.
func (v *Verifier) Run(ctx context.Context) {
	ticker := time.NewTicker(step)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		for _, c := range v.missing(time.Now()) {
			v.Resync(c)
		}
		if v.turn(time.Now()) && !v.WatchFailed() && !v.read(ctx) {
			// The followers find out when the store answers again.
			waiting.Pause(ctx, retry)
		}
	}
}

// missing returns the collections of which a change is overdue.
func (v *Verifier) missing(now time.Time) []tamarackrun.Collection {
	v.mu.Lock()
	defer v.mu.Unlock()
	var list []tamarackrun.Collection
	for c, due := range v.due {
		if !due.IsZero() && !now.Before(due) {
			// The next report asks again if the read fails.
			v.due[c] = time.Time{}
			list = append(list, tamarackrun.Collection(c))
		}
	}
	return list
}

// turn says whether the instance is to read now.
func (v *Verifier) turn(now time.Time) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	return now.Sub(v.verified) >= v.part(intervalPart)+v.part(turnPart)*time.Duration(v.Rank())
}

// read reads the collection that is empty most of the time. The answer tells the
// store's revision: if it is above all known ones, some watch has missed a
// change. It returns whether the store answered.
func (v *Verifier) read(ctx context.Context) bool {
	began := time.Now()
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	page, err := v.Feed.Read(ctx, tamarackrun.Evacuations)
	v.failed.Store(err != nil)
	if err != nil {
		return false
	}
	v.ApplyEvacuations(page)
	v.mu.Lock()
	v.verify(time.Now(), began)
	behind := page.Revision > max(v.known.max(), v.complete.max(), v.audited)
	if behind {
		v.audited = page.Revision
	}
	v.mu.Unlock()
	v.Applied(tamarackrun.Evacuations, page)
	if behind {
		for _, c := range []tamarackrun.Collection{tamarackrun.Configurations, tamarackrun.Servers, tamarackrun.Instances} {
			v.Resync(c)
		}
	}
	return true
}
