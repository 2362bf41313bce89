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

// otherCollections are those that readStore does not read.
var otherCollections = [...]tamarackrun.Collection{tamarackrun.Configurations, tamarackrun.Servers, tamarackrun.Instances}

// Positions holds the latest known position of each collection.
type Positions [4]tamarackrun.Position

// Join returns the positions of revisions in an era, in the order of tamarackrun.Collection.
func Join(era int64, revisions []int64) Positions {
	var p Positions
	for c := range min(len(p), len(revisions)) {
		p[c] = tamarackrun.Position{Era: era, Revision: revisions[c]}
	}
	return p
}

// Split returns the latest era and the revisions in it. A collection whose position is of an
// earlier era has revision 0.
func (p Positions) Split() (era int64, revisions []int64) {
	era = p.latest().Era
	for _, position := range p {
		if position.Era != era {
			position.Revision = 0
		}
		revisions = append(revisions, position.Revision)
	}
	return era, revisions
}

// latest returns the latest position of all collections.
func (p Positions) latest() tamarackrun.Position { return tamarackrun.Latest(p[0], p[1:]...) }

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
	// Apply is called with the evacuations that each read returns, and calls Applied.
	Apply func(collection tamarackrun.Collection, page tamarackrun.Page)
	// PropagationBound is how soon any change must be in force, and
	// HeartbeatInterval the interval at which servers renew their records.
	PropagationBound, HeartbeatInterval time.Duration

	// lastReadFailed is true if this instance's latest read failed and the store has answered
	// no other call since.
	lastReadFailed atomic.Bool

	mu sync.Mutex
	// applied holds the latest position of an applied record of each collection, and
	// fullRead the position up to which each collection was read completely.
	applied, fullRead Positions
	// recoveredAt is when a read succeeded after an outage of the store.
	recoveredAt time.Time
	// lastRead is when the latest successful read by any instance began.
	lastRead time.Time
	// searching is true for the collections that are being read because the store's position
	// showed a change that no watch has delivered.
	searching [4]bool
	// readResync is the store's position at the latest read by this instance that led to a
	// resync.
	readResync tamarackrun.Position
	// reported holds the latest positions that others have reported. resyncDue is when a
	// collection is read again unless its watch delivers the change of awaited first; it is
	// zero if no change is missing. awaited holds earlier reported positions than the latest
	// ones, which may grow all the time.
	reported, awaited Positions
	resyncDue         [4]time.Time
}

// Applied records the positions of a page that was applied. vanished reports whether the page, the
// whole collection, lacks a record that was known.
func (v *Verifier) Applied(collection tamarackrun.Collection, page tamarackrun.Page, vanished bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if vanished && (collection == tamarackrun.Evacuations || v.searching[collection]) {
		// Nobody may have the position of the removal, so the others are told that of the page.
		v.applied[collection] = tamarackrun.Latest(v.applied[collection], page.Position)
	}
	for _, r := range page.Records {
		v.applied[collection] = tamarackrun.Latest(v.applied[collection], r.Position)
	}
	if page.Full {
		// A full page does not show removals, so its records may have lower
		// positions than the collection.
		v.fullRead[collection] = tamarackrun.Latest(v.fullRead[collection], page.Position)
		v.searching[collection] = false
	}
	now := time.Now()
	v.updateResync(now, collection)
	v.noteEra(now, page.Position.Era)
}

// noteEra makes the instance read the collections again of which it knows only an earlier era. A
// watch that was renewed without an error does not show that the store has come back from a copy.
// The caller holds v.mu.
func (v *Verifier) noteEra(now time.Time, era int64) {
	for c, reported := range v.reported {
		known := tamarackrun.Latest(v.applied[c], v.fullRead[c])
		if known != (tamarackrun.Position{}) && known.Era < era {
			v.reported[c] = tamarackrun.Latest(reported, tamarackrun.Position{Era: era})
			v.updateResync(now, tamarackrun.Collection(c))
		}
	}
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

// OwnReport returns what this instance reports: the latest positions that it has applied or
// heard of, since reports pass through relays, and the age of the latest read by any
// instance.
func (v *Verifier) OwnReport(now time.Time) (Positions, time.Duration) {
	v.mu.Lock()
	defer v.mu.Unlock()
	known := v.applied
	for c, position := range v.reported {
		known[c] = tamarackrun.Latest(known[c], position)
	}
	return known, min(now.Sub(v.lastRead), maxReportedAge)
}

// Reported returns the position of the latest change of a collection that others have reported.
func (v *Verifier) Reported(collection tamarackrun.Collection) tamarackrun.Position {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.reported[collection]
}

// MergeReport processes the report of another instance. age is the age of the
// latest read that the other instance knows of.
func (v *Verifier) MergeReport(now time.Time, positions Positions, age time.Duration) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.noteRead(now, now.Add(-age))
	for c, position := range positions {
		v.reported[c] = tamarackrun.Latest(v.reported[c], position)
		v.updateResync(now, tamarackrun.Collection(c))
	}
}

// updateResync sets when a collection is read again. The caller holds v.mu.
func (v *Verifier) updateResync(now time.Time, c tamarackrun.Collection) {
	known := tamarackrun.Latest(v.applied[c], v.fullRead[c])
	if !known.Before(v.awaited[c]) {
		v.resyncDue[c] = time.Time{}
	}
	if !known.Before(v.reported[c]) || !v.resyncDue[c].IsZero() {
		return
	}
	grace := watchGraceFraction
	if v.ReadsStore != nil && !v.ReadsStore(c) {
		grace = readerGraceFraction
	}
	v.awaited[c], v.resyncDue[c] = v.reported[c], now.Add(v.boundFraction(grace))
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
// to learn the store's position. If it is after all known positions, some watch has
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
	v.mu.Lock()
	v.noteRead(time.Now(), began)
	behind := tamarackrun.Latest(v.applied.latest(), v.fullRead.latest(), v.readResync).Before(page.Position)
	if behind {
		v.readResync = page.Position
		for _, c := range otherCollections {
			v.searching[c] = true
		}
	}
	v.mu.Unlock()
	v.Apply(tamarackrun.Evacuations, page)
	if behind {
		for _, c := range otherCollections {
			v.Resync(c)
		}
	}
	return true
}
