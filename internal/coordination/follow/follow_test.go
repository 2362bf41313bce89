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

// outageStore is a store whose calls fail until its recovery, each after
// failedCallTime. Its first watch then fails with ErrHistoryGone.
type outageStore struct {
	// recovery is the time of the recovery in nanoseconds since 1970.
	recovery atomic.Int64
	// historyGone is true once a watch has failed with ErrHistoryGone.
	historyGone bool
}

func (s *outageStore) recoveredAt() time.Time { return time.Unix(0, s.recovery.Load()) }

// failedCallTime is how long a dial without an answer takes to fail.
const failedCallTime = 500 * time.Millisecond

func (s *outageStore) Read(context.Context, tamarackrun.Collection) (tamarackrun.Page, error) {
	if time.Now().Before(s.recoveredAt()) {
		time.Sleep(failedCallTime)
		return tamarackrun.Page{}, errors.New("i/o timeout")
	}
	return tamarackrun.Page{Full: true, Position: tamarackrun.Position{Revision: 9}}, nil
}

func (s *outageStore) Watch(ctx context.Context, c tamarackrun.Collection, position tamarackrun.Position, timeout time.Duration) (tamarackrun.Page, error) {
	if page, err := s.Read(ctx, c); err != nil {
		return page, err
	}
	if !s.historyGone {
		s.historyGone = true
		return tamarackrun.Page{}, tamarackrun.ErrHistoryGone
	}
	time.Sleep(timeout)
	return tamarackrun.Page{Position: position}, nil
}

func (s *outageStore) Announce(context.Context, string, tamarackrun.InstanceRecord) error { return nil }
func (s *outageStore) Withdraw(context.Context, string) error                             { return nil }

// Guards against a follower that notices the end of an outage too late. An
// instance counts as in contact again after 4 s, and a server that left meanwhile
// must not get requests any more by then (DRAIN on scale-2, seeds 157148305659 and
// 314800258442).
func TestRecoversSoonAfterOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		store := &outageStore{}
		recovered := make(chan time.Duration, 9)
		f := &Follower{
			Store:        store,
			Recorder:     recorder.Discard{},
			WatchTimeout: time.Second,
			MaxBackoff:   400 * time.Millisecond,
			Apply: func(_ tamarackrun.Page, reconnected bool) {
				if reconnected {
					recovered <- time.Since(store.recoveredAt())
				}
			},
		}
		ended := make(chan struct{})
		go func() {
			defer close(ended)
			f.Run(ctx)
		}()
		<-recovered
		store.recovery.Store(time.Now().Add(12 * time.Second).UnixNano())
		if took := <-recovered; took > 1200*time.Millisecond {
			t.Errorf("the follower recovered %s after the store", took)
		}
		cancel()
		<-ended
	})
}

// watchTimeoutStore records the timeouts of its watches.
type watchTimeoutStore struct {
	outageStore
	timeouts []time.Duration
}

func (s *watchTimeoutStore) Watch(_ context.Context, _ tamarackrun.Collection, position tamarackrun.Position, timeout time.Duration) (tamarackrun.Page, error) {
	s.timeouts = append(s.timeouts, timeout)
	time.Sleep(timeout)
	return tamarackrun.Page{Position: position}, nil
}

// Guards against watches that outlast WatchTimeout. A watch may miss a change
// without an error, so it must be renewed in time.
func TestWatchEndsAfterTimeout(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithTimeout(t.Context(), 3500*time.Millisecond)
		defer cancel()
		store := &watchTimeoutStore{}
		f := &Follower{
			Store:        store,
			Recorder:     recorder.Discard{},
			WatchTimeout: time.Second,
			MaxBackoff:   time.Second,
			Apply:        func(tamarackrun.Page, bool) {},
		}
		f.Run(ctx)
		if diff := cmp.Diff([]time.Duration{time.Second, time.Second, time.Second, time.Second}, store.timeouts); diff != "" {
			t.Errorf("timeouts (-want +got):\n%s", diff)
		}
	})
}

// slowStore is a store whose reads take roundTrip. Its calls fail while failed is
// true.
type slowStore struct {
	tamarackrun.RecordReader
	reads  int
	failed atomic.Bool
}

func (s *slowStore) err() error {
	if s.failed.Load() {
		return errors.New("no contact")
	}
	return nil
}

// roundTrip is the time of one call to slowStore.
const roundTrip = 250 * time.Millisecond

func (s *slowStore) Read(ctx context.Context, _ tamarackrun.Collection) (tamarackrun.Page, error) {
	s.reads++
	select {
	case <-ctx.Done():
		return tamarackrun.Page{}, ctx.Err()
	case <-time.After(roundTrip):
		return tamarackrun.Page{Full: true, Position: tamarackrun.Position{Revision: int64(s.reads)}}, s.err()
	}
}

func (s *slowStore) Watch(ctx context.Context, c tamarackrun.Collection, position tamarackrun.Position, timeout time.Duration) (tamarackrun.Page, error) {
	if timeout == 0 {
		return s.Read(ctx, c)
	}
	select {
	case <-ctx.Done():
		return tamarackrun.Page{}, ctx.Err()
	case <-time.After(timeout):
		return tamarackrun.Page{Position: position}, s.err()
	}
}

// Guards against resyncs that cancel a running read, so that an instance that was
// cut off never learns of a change (CONFIG on hunt-e63e-11), and against resyncs
// that have no effect because no watch is running.
func TestResyncCancelsOnlyWatches(t *testing.T) {
	for name, failing := range map[string]bool{"in contact": false, "after lost contact": true} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithCancel(t.Context())
				store, pages := &slowStore{}, atomic.Int64{}
				store.failed.Store(failing)
				f := &Follower{
					Store:        store,
					Recorder:     recorder.Discard{},
					WatchTimeout: 30 * time.Second,
					MaxBackoff:   400 * time.Millisecond,
					Apply:        func(tamarackrun.Page, bool) { pages.Add(1) },
				}
				ended := make(chan struct{})
				go func() {
					defer close(ended)
					f.Run(ctx)
				}()
				time.Sleep(2 * time.Second)
				store.failed.Store(false)
				before := pages.Load()
				for range 20 {
					f.Resync()
					time.Sleep(100 * time.Millisecond)
				}
				if got := pages.Load() - before; got < 4 {
					t.Errorf("%d pages in 2 s of resyncs, want at least 4", got)
				}
				cancel()
				<-ended
			})
		})
	}
}

// Guards against a watch that goes on although it has missed a change that another read has shown: a
// store that dropped its history left watches waiting for 9 s (EVAC, stw-tamarack-large).
func TestRenewedWatchStartsAfterKnownPosition(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		store, known := &slowStore{}, atomic.Int64{}
		var pages []tamarackrun.Page
		f := &Follower{
			Store:        store,
			Recorder:     recorder.Discard{},
			WatchTimeout: 30 * time.Second,
			MaxBackoff:   400 * time.Millisecond,
			Apply:        func(page tamarackrun.Page, _ bool) { pages = append(pages, page) },
			Known:        func() tamarackrun.Position { return tamarackrun.Position{Revision: known.Load()} },
		}
		ended := make(chan struct{})
		go func() {
			defer close(ended)
			f.Run(ctx)
		}()
		time.Sleep(2 * time.Second)
		known.Store(20)
		f.Renew()
		time.Sleep(31 * time.Second)
		cancel()
		<-ended
		want := []tamarackrun.Page{{Full: true, Position: tamarackrun.Position{Revision: 1}}, {Position: tamarackrun.Position{Revision: 20}}}
		if diff := cmp.Diff(want, pages); diff != "" {
			t.Errorf("pages (-want +got):\n%s", diff)
		}
	})
}
