package front

import (
	"context"
	"errors"
	"time"

	"tamarackrun"
	"tamarackrun/internal/coordination/crash"
	"tamarackrun/internal/coordination/waiting"
	"tamarackrun/internal/protocol/event"
	"tamarackrun/internal/protocol/wire"
)

const (
	// suspectInterval is the time between two rounds of keepSuspects.
	suspectInterval = 250 * time.Millisecond
	// maxSuspectWrites bounds the writes of a round. The store limits the calls of the whole fleet.
	maxSuspectWrites = 2
	// earlierWait bounds the time for which an instance that starts is not ready because it doesn't know
	// the requests that were refused before, and earlierPeerWait the part of it in which it asks only
	// another instance. earlierPause is the time between two tries.
	earlierWait     = 1500 * time.Millisecond
	earlierPeerWait = 500 * time.Millisecond
	earlierPause    = 100 * time.Millisecond
)

// errSuspectsIncomplete is the error of a question for refused requests to an instance that doesn't know
// those of before its own start.
var errSuspectsIncomplete = errors.New("the instance has not yet learned of earlier refused requests")

// keepSuspects keeps the refused requests in the platform's store, so that a fleet that has stopped as a
// whole knows them again. The holder of a request in the fleet writes its record. Records are read once,
// as instances tell each other of changes.
func (f *Front) keepSuspects(ctx context.Context) {
	waitFor(ctx, f.instancesRead)
	learned := f.learnEarlierSuspects(ctx)
	for ; ctx.Err() == nil; waiting.Pause(ctx, suspectInterval) {
		if f.source.StoreUnreachable() {
			continue
		}
		var err error
		if !learned {
			err = f.readSuspects(ctx)
			learned = err == nil
		}
		if err == nil {
			err = f.writeSuspects(ctx)
		}
		if err != nil {
			f.history.Record(event.SuspectsNotStored, "", "error", err.Error())
			waiting.Pause(ctx, announceRetryDelay)
		}
	}
}

// learnEarlierSuspects learns the requests that were refused before the instance started: from the instance
// that reads the store for it or, if there is none or it does not know them itself, from the store. The
// instance is ready then, or after earlierWait. learnEarlierSuspects reports whether it knows them.
func (f *Front) learnEarlierSuspects(ctx context.Context) bool {
	defer func() {
		f.suspectsKnown.Store(true)
		f.updateReady()
	}()
	began := time.Now()
	ctx, cancel := context.WithTimeout(ctx, earlierWait)
	defer cancel()
	for ; ; waiting.Pause(ctx, earlierPause) {
		var err error
		if reader := f.members.Reader(); reader != "" && time.Since(began) < earlierPeerWait {
			err = f.askForSuspects(ctx, reader, true)
		} else {
			err = f.readSuspects(ctx)
		}
		if err == nil {
			return true
		}
		if ctx.Err() != nil {
			f.history.Record(event.SuspectsNotStored, "", "error", err.Error())
			return false
		}
	}
}

// readSuspects learns the refused requests that are in the store.
func (f *Front) readSuspects(ctx context.Context) error {
	page, err := f.Store.Read(ctx, tamarackrun.Suspects)
	if err != nil {
		return err
	}
	f.recordRead(tamarackrun.Suspects, page, len(page.Records) > 0)
	for _, r := range page.Records {
		if r.Suspect == nil {
			f.history.Record(event.RecordUnusable, "", "suspect", r.Name, "problem", r.Problem)
			continue
		}
		known := &wire.Suspect{Request: r.Suspect.Request, Ended: r.Suspect.Ended, Cleared: r.Suspect.Cleared, Trials: r.Suspect.Trials,
			AgeMillis: uint64(max(0, time.Since(r.Suspect.Latest).Milliseconds()))}
		if f.learnSuspect(known) {
			f.crashes.Saved(known)
		} else if f.holdsInFleet(crash.Request(known.Request)) && time.Since(r.Suspect.Latest) > crash.RefusalMemory {
			f.removeSuspect(ctx, crash.Request(known.Request))
		}
	}
	return nil
}

// writeSuspects writes what has changed of the refused requests that this instance holds.
func (f *Front) writeSuspects(ctx context.Context) error {
	writes := 0
	for _, known := range f.crashes.Unsaved(time.Now()) {
		if !f.holdsInFleet(crash.Request(known.Request)) || writes == maxSuspectWrites {
			continue
		}
		writes++
		err := f.Store.SaveSuspect(ctx, tamarackrun.SuspectRecord{Request: known.Request, Ended: known.Ended, Cleared: known.Cleared,
			Trials: known.Trials, Latest: time.Now().Add(-time.Duration(known.AgeMillis) * time.Millisecond)})
		if err != nil {
			return err
		}
		f.crashes.Saved(known)
	}
	return nil
}

// forgetSuspects forgets the requests under which no server has ended for long, also in the store.
func (f *Front) forgetSuspects(now time.Time) {
	for _, request := range f.crashes.Forget(now) {
		if f.holdsInFleet(request) {
			go func() {
				defer f.recoverPanic("removal of a refused request", nil)
				f.removeSuspect(context.Background(), request)
			}()
		}
	}
}

// removeSuspect removes a request from the store. If that fails, an instance that starts later does it.
func (f *Front) removeSuspect(ctx context.Context, request crash.Request) {
	if err := f.Store.RemoveSuspect(ctx, uint64(request)); err != nil {
		f.history.Record(event.SuspectsNotStored, "", "identity", request.String(), "error", err.Error())
	}
}

// holdsInFleet reports whether this instance is the one of the fleet that decides on the request.
func (f *Front) holdsInFleet(request crash.Request) bool {
	_, self, _ := f.members.Holder(request.String(), "")
	return self
}
