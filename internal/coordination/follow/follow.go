// Package follow keeps a copy of one collection of the platform's records.
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
	// minBackoff bounds the pause after a failed call, which doubles up to
	// MaxBackoff. The store counts refused calls too.
	minBackoff = 200 * time.Millisecond
)

// Follower reads a collection once and then follows its changes.
type Follower struct {
	// These fields are set before Run.
	Feed       tamarackrun.RecordStore
	Collection tamarackrun.Collection
	Recorder   tamarackrun.Recorder
	// MinInterval is the least time between two calls, so that records that change
	// all the time come in batches.
	MinInterval time.Duration
	// WatchTimeout is how long a call without changes lasts.
	WatchTimeout time.Duration
	// MaxBackoff bounds the pause after failed calls. After contact returns,
	// the pause and the hold on vanished records together must end within the
	// time after which an instance counts as in contact.
	MaxBackoff time.Duration
	// Apply takes each page. Regained says that it is the first one after a
	// failure, which includes the first one of all.
	Apply func(page tamarackrun.Page, regained bool)

	away   atomic.Bool
	kicked atomic.Bool
	// end ends the watch that is waiting; nil while no watch waits, because a
	// read that is ended has to begin again.
	end atomic.Pointer[context.CancelFunc]
}

// LastCallFailed says that the latest call failed.
func (f *Follower) LastCallFailed() bool { return f.away.Load() }

// Resync reads the collection again instead of waiting for changes.
func (f *Follower) Resync() {
	f.kicked.Store(true)
	if end := f.end.Load(); end != nil {
		(*end)()
	}
}

// Run follows until the context ends.
func (f *Follower) Run(ctx context.Context) {
	at, known, lost := int64(0), false, true
	backoff := minBackoff
	for ctx.Err() == nil {
		began := time.Now()
		if f.kicked.Swap(false) {
			known = false
		}
		page, err := f.call(ctx, at, known, lost)
		switch {
		case f.kicked.Load() && known && !lost:
			// The watch was ended; whatever it brought is read again.
			continue
		case ctx.Err() != nil:
			return
		case errors.Is(err, tamarackrun.ErrHistoryGone):
			f.Recorder.Record(event.HistoryGone, "", "collection", f.Collection.String())
			if !known {
				// A read can't fail so; the pause keeps the loop from spinning.
				waiting.Pause(ctx, jitter(backoff))
			}
			known = false
		case err != nil:
			if !lost {
				f.Recorder.Record(event.StoreUnreachable, "", "collection", f.Collection.String(), "error", err.Error())
			}
			lost = true
			f.away.Store(true)
			waiting.Pause(ctx, jitter(backoff))
			backoff = min(2*backoff, f.MaxBackoff)
		default:
			if lost {
				f.Recorder.Record(event.StoreReachable, "", "collection", f.Collection.String())
			}
			f.Apply(page, lost)
			f.away.Store(false)
			at, known, lost, backoff = page.Revision, known || page.Full, false, minBackoff
			waiting.Pause(ctx, f.MinInterval-time.Since(began))
		}
	}
}

func (f *Follower) call(ctx context.Context, at int64, known, lost bool) (tamarackrun.Page, error) {
	switch {
	case !known:
		return f.Feed.Read(ctx, f.Collection)
	case lost:
		// A watch that waits would tell only later that the store answers.
		return f.Feed.Watch(ctx, f.Collection, at, 0)
	}
	ctx, end := context.WithCancel(ctx)
	defer end()
	f.end.Store(&end)
	defer f.end.Store(nil)
	if f.kicked.Load() {
		end()
	}
	return f.Feed.Watch(ctx, f.Collection, at, f.WatchTimeout)
}

func jitter(d time.Duration) time.Duration { return d/2 + rand.N(d) }
