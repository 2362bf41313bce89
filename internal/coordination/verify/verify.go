// Package verify finds changes of the platform's records that watches did not
// deliver. The instances take turns in reading the store. A read shows the store's
// revision; the reader's reports then tell the others which revisions they must
// have.
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

// Fractions of PropagationBound. A change that no watch delivers is found within
// the read interval plus pollInterval, then reported, and read by the other
// instances after the watch grace.
const (
	// readIntervalFraction gives the time between two reads by any instance of the
	// fleet.
	readIntervalFraction = 0.32
	// turnFraction gives how much later each instance reads than the one of the
	// next lower rank. Reports of a read arrive within 0.4 s in a fleet of 7.
	turnFraction = 0.2
	// watchGraceFraction gives how long the instance's own watch may take to deliver
	// a change that another instance has reported, and readerGraceFraction how long the
	// instance that reads the store for this one may take, which waits between two calls.
	watchGraceFraction  = 0.16
	readerGraceFraction = 0.26
)

const (
	// pollInterval is how often the instance checks for overdue changes and
	// whether it is its turn to read.
	pollInterval = 100 * time.Millisecond
	// outageMargin is how long before records may lapse the store counts as
	// unreachable. Records lapse two heartbeats after the store became unreachable
	// at the earliest. The turns of readers that are cut off must pass within the
	// remaining time.
	outageMargin = 200 * time.Millisecond
	// maxReportedAge limits the age of the latest read in reports. It is also the
	// age if no instance has read the store yet.
	maxReportedAge = time.Minute
	// readTimeout bounds a read, which takes up to three round trips between
	// regions.
	readTimeout = 600 * time.Millisecond
	// retryPause is the pause after a failed read.
	retryPause = time.Second
)

// Revisions holds the highest known revision of each collection.
type Revisions [4]int64

// highest returns the highest revision of all collections.
func (r Revisions) highest() int64 {
	highest := int64(0)
	for _, v := range r {
		highest = max(highest, v)
	}
	return highest
}

// Verifier takes the turns of one instance and detects the changes that its
// watches missed. It is safe for concurrent use.
type Verifier struct {
	// The exported fields are set before Run.

	// Store is the store that is read.
	Store tamarackrun.RecordReader
	// Rank returns the instance's position in the order of turns, from 0.
	Rank func() int
	// StoreFailed reports whether the latest call of the instance's followers to the store
	// failed.
	StoreFailed func() bool
	// Resync makes the instance read a collection again.
	Resync func(collection tamarackrun.Collection)
	// ReadsStore reports whether the instance watches the collection in the store itself;
	// nil means that it does.
	ReadsStore func(collection tamarackrun.Collection) bool
	// ApplyEvacuations is called with the evacuations that each read returns.
	ApplyEvacuations func(page tamarackrun.Page)
	// PropagationBound is how soon any change must be in force, and
	// HeartbeatInterval the interval at which servers renew their records.
	PropagationBound, HeartbeatInterval time.Duration

	// lastReadFailed is true if this instance's latest read failed and the store has answered
	// no other call since.
	lastReadFailed atomic.Bool

	mu sync.Mutex
	// appliedRevisions holds the highest revision of an applied record of each
	// collection, and fullReadRevisions the revision up to which each collection
	// was read completely.
	appliedRevisions, fullReadRevisions Revisions
	// recoveredAt is when a read succeeded after an outage of the store.
	recoveredAt time.Time
	// lastRead is when the latest successful read by any instance began.
	lastRead time.Time
	// resyncRevision is the store's revision at the latest read by this instance
	// that led to a resync.
	resyncRevision int64
	// reportedRevisions holds the highest revisions that others have reported.
	// resyncDue is when a collection is read again unless its watch delivers the change
	// of resyncRevisions first; it is zero if no change is missing. resyncRevisions are
	// earlier reported revisions than the highest ones, which may grow all the time.
	reportedRevisions, resyncRevisions Revisions
	resyncDue                          [4]time.Time
}

// Applied records the revisions of a page that was applied.
func (v *Verifier) Applied(collection tamarackrun.Collection, page tamarackrun.Page) {
	v.mu.Lock()
	defer v.mu.Unlock()
	for _, r := range page.Records {
		v.appliedRevisions[collection] = max(v.appliedRevisions[collection], r.Revision)
	}
	if page.Full {
		// A full page does not show removals, so its records may have lower
		// revisions than the collection.
		v.fullReadRevisions[collection] = max(v.fullReadRevisions[collection], page.Revision)
	}
	v.updateResync(time.Now(), collection)
}

// boundFraction returns the given fraction of PropagationBound.
func (v *Verifier) boundFraction(fraction float64) time.Duration {
	return time.Duration(fraction * float64(v.PropagationBound))
}

// outageAfter returns the age of the latest read by any instance from which on the
// store counts as unreachable for the whole fleet.
func (v *Verifier) outageAfter() time.Duration { return 2*v.HeartbeatInterval - outageMargin }

// StoreStable reports whether the store has answered some instance recently and
// the records that lapsed in the latest outage have had time to return.
func (v *Verifier) StoreStable(now time.Time) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	return now.Sub(v.lastRead) < v.outageAfter() && now.Sub(v.recoveredAt) >= sla.LapsedRecordGrace
}

// Stale reports whether no instance that this one hears has read the store for longer than
// changes may take to be in force.
func (v *Verifier) Stale(now time.Time) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	return now.Sub(v.lastRead) > v.PropagationBound
}

// noteRead records a successful read, by any instance, that began at the given
// time. The caller holds v.mu.
func (v *Verifier) noteRead(now, began time.Time) {
	if !began.After(v.lastRead) {
		return
	}
	if began.Sub(v.lastRead) >= v.outageAfter() {
		v.recoveredAt = now
	}
	v.lastRead = began
}

// StoreAnswered records that the store has answered another call of this instance.
func (v *Verifier) StoreAnswered() { v.lastReadFailed.Store(false) }

// StoreUnreachable reports whether the store does not answer this instance.
func (v *Verifier) StoreUnreachable() bool { return v.lastReadFailed.Load() || v.StoreFailed() }

// OwnReport returns what this instance reports: the highest revisions that it has applied or
// heard of, since reports pass through relays, and the age of the latest read by any
// instance.
func (v *Verifier) OwnReport(now time.Time) (Revisions, time.Duration) {
	v.mu.Lock()
	defer v.mu.Unlock()
	known := v.appliedRevisions
	for c, revision := range v.reportedRevisions {
		known[c] = max(known[c], revision)
	}
	return known, min(now.Sub(v.lastRead), maxReportedAge)
}

// MergeReport processes the report of another instance. age is the age of the
// latest read that the other instance knows of.
func (v *Verifier) MergeReport(now time.Time, revisions Revisions, age time.Duration) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.noteRead(now, now.Add(-age))
	for c, revision := range revisions {
		v.reportedRevisions[c] = max(v.reportedRevisions[c], revision)
		v.updateResync(now, tamarackrun.Collection(c))
	}
}

// updateResync sets when a collection is read again. The caller holds v.mu.
func (v *Verifier) updateResync(now time.Time, c tamarackrun.Collection) {
	known := max(v.appliedRevisions[c], v.fullReadRevisions[c])
	if known >= v.resyncRevisions[c] {
		v.resyncDue[c] = time.Time{}
	}
	if known >= v.reportedRevisions[c] || !v.resyncDue[c].IsZero() {
		return
	}
	grace := watchGraceFraction
	if v.ReadsStore != nil && !v.ReadsStore(c) {
		grace = readerGraceFraction
	}
	v.resyncRevisions[c], v.resyncDue[c] = v.reportedRevisions[c], now.Add(v.boundFraction(grace))
}

// Run resyncs overdue collections and reads the store in turn until the context
// ends.
func (v *Verifier) Run(ctx context.Context) {
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		for _, c := range v.overdue(time.Now()) {
			v.Resync(c)
		}
		if v.isTurn(time.Now()) && !v.StoreFailed() && !v.readStore(ctx) {
			// The followers notice when the store answers again.
			waiting.Pause(ctx, retryPause)
		}
	}
}

// overdue returns the collections whose watch has not delivered a reported change
// in time.
func (v *Verifier) overdue(now time.Time) []tamarackrun.Collection {
	v.mu.Lock()
	defer v.mu.Unlock()
	var collections []tamarackrun.Collection
	for c, due := range v.resyncDue {
		if !due.IsZero() && !now.Before(due) {
			// If the resync fails, the next report sets the time again.
			v.resyncDue[c] = time.Time{}
			collections = append(collections, tamarackrun.Collection(c))
		}
	}
	return collections
}

// isTurn reports whether it is the instance's turn to read the store.
func (v *Verifier) isTurn(now time.Time) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	return now.Sub(v.lastRead) >= v.boundFraction(readIntervalFraction)+v.boundFraction(turnFraction)*time.Duration(v.Rank())
}

// readStore reads the evacuations, the collection that is empty most of the time,
// to learn the store's revision. If it is above all known revisions, some watch has
// missed a change, and the other collections are read again. It reports whether
// the store answered.
func (v *Verifier) readStore(ctx context.Context) bool {
	began := time.Now()
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	page, err := v.Store.Read(ctx, tamarackrun.Evacuations)
	v.lastReadFailed.Store(err != nil)
	if err != nil {
		return false
	}
	v.ApplyEvacuations(page)
	v.mu.Lock()
	v.noteRead(time.Now(), began)
	behind := page.Revision > max(v.appliedRevisions.highest(), v.fullReadRevisions.highest(), v.resyncRevision)
	if behind {
		v.resyncRevision = page.Revision
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
