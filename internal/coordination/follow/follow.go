// Package follow keeps up with the changes of one collection of the platform's
// records.
package follow

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"tamarackrun"
	"tamarackrun/internal/coordination/waiting"
	"tamarackrun/internal/protocol/event"
)

const (
	// minBackoff is the first pause after a failed call; the pause doubles up to
	// MaxBackoff. Retries are limited because the store also counts refused calls.
	minBackoff = 200 * time.Millisecond
)

// Follower reads a collection once and then watches for its changes.
type Follower struct {
	// The exported fields are set before Run.

	// Store is the store that holds the collection.
	Store      tamarackrun.RecordReader
	Collection tamarackrun.Collection
	Recorder   tamarackrun.Recorder
	// MinInterval is the shortest time between two calls, so that frequent changes
	// arrive in batches.
	MinInterval time.Duration
	// Paced reports whether MinInterval applies to the present source; nil means that it
	// always does.
	Paced func() bool
	// WatchTimeout is how long a watch waits for a change.
	WatchTimeout time.Duration
	// MaxBackoff is the longest pause after a failed call. After an outage, this
	// pause and the time for which missing records are kept must together end
	// before the instance counts as in contact again.
	MaxBackoff time.Duration
	// Apply is called with each page. reconnected is true for the first page after a
	// failure, and for the very first page.
	Apply func(page tamarackrun.Page, reconnected bool)
	// Known returns the position up to which the instance knows the collection, also from other
	// reads than the follower's; nil means that there are none.
	Known func() tamarackrun.Position

	// resyncRequested and renewRequested are true from a call of Resync or Renew on until the
	// follower has noticed it.
	resyncRequested, renewRequested atomic.Bool
	// cancelWatch cancels the running watch. It is nil while no watch runs: a read
	// is never cancelled, because it would have to start again.
	cancelWatch atomic.Pointer[context.CancelFunc]
}

// Resync makes the follower read the whole collection again. It cancels the
// running watch.
func (f *Follower) Resync() {
	f.resyncRequested.Store(true)
	if cancel := f.cancelWatch.Load(); cancel != nil {
		(*cancel)()
	}
}

// Renew makes the follower watch from the position that Known returns. It cancels the running watch,
// which has not delivered a change that another read has shown.
func (f *Follower) Renew() {
	f.renewRequested.Store(true)
	if cancel := f.cancelWatch.Load(); cancel != nil {
		(*cancel)()
	}
}

// Run follows the collection until the context ends.
func (f *Follower) Run(ctx context.Context) {
	// position is that of the latest page. complete is true once the whole
	// collection has been read. failing is true until a call succeeds, and again
	// after one has failed.
	position, complete, failing := tamarackrun.Position{}, false, true
	backoff := minBackoff
	for ctx.Err() == nil {
		began := time.Now()
		if f.resyncRequested.Swap(false) {
			complete = false
		}
		f.renewRequested.Store(false)
		if f.Known != nil {
			position = tamarackrun.Latest(position, f.Known())
		}
		page, err := f.fetch(ctx, position, complete, failing)
		switch {
		case err != nil && f.renewRequested.Load() && complete && !failing && ctx.Err() == nil:
			// Renew cancelled the watch, which begins again from a later position.
			continue
		case f.resyncRequested.Load() && complete && !failing:
			// Resync cancelled the watch; what the watch returned is read again.
			continue
		case ctx.Err() != nil:
			return
		case errors.Is(err, tamarackrun.ErrHistoryGone):
			f.Recorder.Record(event.HistoryGone, "", "collection", f.Collection.String())
			if !complete {
				// A full read should never return this error; the pause prevents
				// a busy loop if one does.
				waiting.Pause(ctx, jitter(backoff))
			}
			complete = false
		case err != nil:
			if !failing {
				f.Recorder.Record(event.StoreUnreachable, "", "collection", f.Collection.String(), "error", err.Error())
			}
			failing = true
			waiting.Pause(ctx, jitter(backoff))
			backoff = min(2*backoff, f.MaxBackoff)
		default:
			if failing {
				f.Recorder.Record(event.StoreReachable, "", "collection", f.Collection.String())
			}
			f.Apply(page, failing)
			position, complete, failing, backoff = page.Position, complete || page.Full, false, minBackoff
			if f.Paced == nil || f.Paced() {
				waiting.Pause(ctx, f.MinInterval-time.Since(began))
			}
		}
	}
}

// fetch reads the whole collection unless that is done, and else watches for
// changes after the position.
func (f *Follower) fetch(ctx context.Context, position tamarackrun.Position, complete, failing bool) (tamarackrun.Page, error) {
	switch {
	case !complete:
		return f.Store.Read(ctx, f.Collection)
	case failing:
		// A watch that waits for a change would show only later that the store
		// answers again.
		return f.Store.Watch(ctx, f.Collection, position, 0)
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	f.cancelWatch.Store(&cancel)
	defer f.cancelWatch.Store(nil)
	if f.resyncRequested.Load() || f.renewRequested.Load() {
		cancel()
	}
	return f.Store.Watch(ctx, f.Collection, position, f.WatchTimeout)
}

// jitter returns a random duration from 0.5 to 1.5 times d.
func jitter(d time.Duration) time.Duration { return d/2 + rand.N(d) }
