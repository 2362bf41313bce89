package follow

import (
	"context"
	"errors"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"

	"tamarackrun"
	"tamarackrun/internal/standin/recorder"
)

// cutFeed has no answer until healed; each call fails after the time of a lost
// dial. Then its history is gone once.
type cutFeed struct {
	// healed is in nanoseconds since 1970.
	healed atomic.Int64
	gone   bool
}

func (f *cutFeed) healedAt() time.Time { return time.Unix(0, f.healed.Load()) }

const dialTime = 500 * time.Millisecond

func (f *cutFeed) Read(context.Context, tamarackrun.Collection) (tamarackrun.Page, error) {
	if time.Now().Before(f.healedAt()) {
		time.Sleep(dialTime)
		return tamarackrun.Page{}, errors.New("i/o timeout")
	}
	return tamarackrun.Page{Full: true, Revision: 9}, nil
}

func (f *cutFeed) Watch(ctx context.Context, c tamarackrun.Collection, at int64, wait time.Duration) (tamarackrun.Page, error) {
	if page, err := f.Read(ctx, c); err != nil {
		return page, err
	}
	if !f.gone {
		f.gone = true
		return tamarackrun.Page{}, tamarackrun.ErrHistoryGone
	}
	time.Sleep(wait)
	return tamarackrun.Page{Revision: at}, nil
}

func (f *cutFeed) Announce(context.Context, string, tamarackrun.InstanceRecord) error { return nil }
func (f *cutFeed) Withdraw(context.Context, string) error                             { return nil }

// Guards against a return of contact that takes so long that a server that left
// meanwhile still gets requests when the instance counts as in contact again,
// 4 s later (DRAIN on scale-2, seeds 157148305659 and 314800258442).
func TestContactReturnsSoon(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		feed := &cutFeed{}
		returned := make(chan time.Duration, 9)
		f := &Follower{Feed: feed, Recorder: recorder.Discard{}, WatchTimeout: time.Second, MaxBackoff: 400 * time.Millisecond,
			Apply: func(_ tamarackrun.Page, regained bool) {
				if regained {
					returned <- time.Since(feed.healedAt())
				}
			}}
		ended := make(chan struct{})
		go func() {
			defer close(ended)
			f.Run(ctx)
		}()
		<-returned
		feed.healed.Store(time.Now().Add(12 * time.Second).UnixNano())
		if took := <-returned; took > 1200*time.Millisecond {
			t.Errorf("contact returned %s after the link", took)
		}
		cancel()
		<-ended
	})
}

// waitFeed notes how long its watches wait.
type waitFeed struct {
	cutFeed
	waits []time.Duration
}

func (f *waitFeed) Watch(_ context.Context, _ tamarackrun.Collection, at int64, wait time.Duration) (tamarackrun.Page, error) {
	f.waits = append(f.waits, wait)
	time.Sleep(wait)
	return tamarackrun.Page{Revision: at}, nil
}

// Guards against watches that wait longer than the bound on what they watch: a
// watch may miss a change without an error.
func TestWatchIsRenewed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithTimeout(t.Context(), 3500*time.Millisecond)
		defer cancel()
		feed := &waitFeed{}
		f := &Follower{Feed: feed, Recorder: recorder.Discard{}, WatchTimeout: time.Second, MaxBackoff: time.Second, Apply: func(tamarackrun.Page, bool) {}}
		f.Run(ctx)
		if diff := cmp.Diff([]time.Duration{time.Second, time.Second, time.Second, time.Second}, feed.waits); diff != "" {
			t.Errorf("waits (-want +got):\n%s", diff)
		}
	})
}

// slowFeed needs a round trip for each call.
type slowFeed struct {
	tamarackrun.RecordStore
	reads  int
	failed atomic.Bool
}

func (f *slowFeed) err() error {
	if f.failed.Load() {
		return errors.New("no contact")
	}
	return nil
}

const roundTrip = 250 * time.Millisecond

func (f *slowFeed) Read(ctx context.Context, _ tamarackrun.Collection) (tamarackrun.Page, error) {
	f.reads++
	select {
	case <-ctx.Done():
		return tamarackrun.Page{}, ctx.Err()
	case <-time.After(roundTrip):
		return tamarackrun.Page{Full: true, Revision: int64(f.reads)}, f.err()
	}
}

func (f *slowFeed) Watch(ctx context.Context, c tamarackrun.Collection, at int64, wait time.Duration) (tamarackrun.Page, error) {
	if wait == 0 {
		return f.Read(ctx, c)
	}
	select {
	case <-ctx.Done():
		return tamarackrun.Page{}, ctx.Err()
	case <-time.After(wait):
		return tamarackrun.Page{Revision: at}, f.err()
	}
}

// Guards against kicks that end a read that is under way, so that an instance
// that was cut off never learns of a change (CONFIG on hunt-e63e-11), and against
// kicks that are forgotten while no watch waits.
func TestKicksEndOnlyWatches(t *testing.T) {
	for name, lost := range map[string]bool{"in contact": false, "after lost contact": true} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithCancel(t.Context())
				feed, pages := &slowFeed{}, atomic.Int64{}
				feed.failed.Store(lost)
				f := &Follower{Feed: feed, Recorder: recorder.Discard{}, WatchTimeout: 30 * time.Second, MaxBackoff: 400 * time.Millisecond,
					Apply: func(tamarackrun.Page, bool) { pages.Add(1) }}
				ended := make(chan struct{})
				go func() {
					defer close(ended)
					f.Run(ctx)
				}()
				time.Sleep(2 * time.Second)
				feed.failed.Store(false)
				before := pages.Load()
				for range 20 {
					f.Resync()
					time.Sleep(100 * time.Millisecond)
				}
				if got := pages.Load() - before; got < 4 {
					t.Errorf("%d pages in 2 s of kicks", got)
				}
				cancel()
				<-ended
			})
		})
	}
}
