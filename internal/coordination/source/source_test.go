package source

import (
	"context"
	"errors"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/google/go-cmp/cmp/cmpopts"

	"tamarackrun"
	"tamarackrun/internal/standin/recorder"
	"tamarackrun/internal/state/records"
)

var errAway = errors.New("no answer")

// copyOfStore is a store or a reader of one.
type copyOfStore struct {
	*records.Collection
	mu sync.Mutex
	// away makes all calls fail.
	away  bool
	calls int
}

func newCopy(page tamarackrun.Page) *copyOfStore {
	c := &copyOfStore{Collection: records.New()}
	c.Apply(page)
	return c
}

// count counts a call and returns its error.
func (c *copyOfStore) count() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.calls++
	if c.away {
		return errAway
	}
	return nil
}

func (c *copyOfStore) setAway(away bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.away = away
}

func (c *copyOfStore) Read(ctx context.Context, _ tamarackrun.Collection) (tamarackrun.Page, error) {
	if err := c.count(); err != nil {
		return tamarackrun.Page{}, err
	}
	return c.Collection.Read(ctx)
}

func (c *copyOfStore) Watch(ctx context.Context, _ tamarackrun.Collection, after tamarackrun.Position, wait time.Duration) (tamarackrun.Page, error) {
	if err := c.count(); err != nil {
		return tamarackrun.Page{}, err
	}
	return c.Collection.Watch(ctx, after, wait)
}

func record(name string, revision int64) tamarackrun.Record {
	return tamarackrun.Record{Name: name, Position: tamarackrun.Position{Revision: revision}}
}

func page(isFull bool, revision int64, records ...tamarackrun.Record) tamarackrun.Page {
	return tamarackrun.Page{Full: isFull, Position: tamarackrun.Position{Revision: revision}, Records: records}
}

// fixture is a source with a store and two readers.
type fixture struct {
	*Source
	// known is what the instance knows.
	known   *records.Collection
	store   *copyOfStore
	readers map[string]*copyOfStore
	mu      sync.Mutex
	reader  string
}

func newFixture() *fixture {
	f := &fixture{known: records.New(), store: newCopy(page(true, 10, record("a", 1))), reader: "one",
		readers: map[string]*copyOfStore{"one": newCopy(page(true, 10, record("a", 1))), "two": newCopy(page(true, 10, record("a", 1)))}}
	f.Source = &Source{Store: f.store, Recorder: recorder.Discard{},
		Known: func(tamarackrun.Collection) tamarackrun.Position { return f.known.Position() },
		Reader: func() string {
			f.mu.Lock()
			defer f.mu.Unlock()
			return f.reader
		},
		Dial: func(address string) tamarackrun.RecordReader { return f.readers[address] }}
	return f
}

// read reads the collection and applies the page.
func (f *fixture) read(t *testing.T) (tamarackrun.Page, error) {
	page, err := f.Read(t.Context(), tamarackrun.Servers)
	if err == nil {
		f.known.Apply(page)
	}
	return page, err
}

// from returns the page as one that the reader has sent.
func from(reader string, page tamarackrun.Page) tamarackrun.Page {
	page.Reader = reader
	return page
}

func (f *fixture) setReader(address string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.reader = address
}

// Guards against calls to the store that grow with the number of instances, and against an
// instance without records when its reader does not answer.
func TestReaderIsAskedBeforeStore(t *testing.T) {
	f := newFixture()
	got, err := f.read(t)
	if diff := cmp.Diff(from("one", page(true, 10, record("a", 1))), got); diff != "" || err != nil || f.store.calls != 0 {
		t.Errorf("page (-want +got):\n%s%v; %d calls to the store", diff, err, f.store.calls)
	}
	f.readers["one"].setAway(true)
	if _, err := f.read(t); err != nil || f.store.calls != 1 {
		t.Errorf("after the reader's failure: %v, %d calls to the store, want 1", err, f.store.calls)
	}
	asked := f.readers["one"].calls
	if _, err := f.read(t); err != nil || f.readers["one"].calls != asked {
		t.Errorf("the failed reader was asked again at once: %v", err)
	}
	if !f.ReadsStore(tamarackrun.Servers) {
		t.Error("the instance does not count as one that reads the store")
	}
}

// Guards against a server that has left, or a key that was withdrawn, that is in use again
// because a reader knows less than this instance has known.
func TestOlderReaderIsNotBelieved(t *testing.T) {
	f := newFixture()
	f.setReader("")
	f.store.Apply(page(false, 12, tamarackrun.Record{Name: "a", Position: tamarackrun.Position{Revision: 12}, Removed: true}))
	if _, err := f.read(t); err != nil {
		t.Fatal(err)
	}
	f.setReader("one")
	got, err := f.read(t)
	if diff := cmp.Diff(page(true, 12), got); diff != "" || err != nil {
		t.Errorf("page (-want +got):\n%s%v", diff, err)
	}
	// A later page of the reader that also holds the old record must not bring it back.
	f.readers["two"].Apply(page(false, 11, record("a", 11)))
	f.readers["two"].Apply(page(false, 13, record("b", 13)))
	f.setReader("two")
	got, err = f.Watch(t.Context(), tamarackrun.Servers, tamarackrun.Position{Revision: 12}, time.Second)
	if diff := cmp.Diff(from("two", page(false, 13, record("b", 13))), got); diff != "" || err != nil {
		t.Errorf("changes (-want +got):\n%s%v", diff, err)
	}
}

// Guards against an instance that reads a collection again because of a reported change, and takes a
// copy without that change from its reader each time (EVAC, stw-tamarack-large).
func TestReaderMustKnowReportedChange(t *testing.T) {
	f := newFixture()
	f.Reported = func(tamarackrun.Collection) tamarackrun.Position { return tamarackrun.Position{Revision: 12} }
	f.store.Apply(page(false, 12, record("b", 12)))
	got, err := f.read(t)
	if diff := cmp.Diff(page(true, 12, record("a", 1), record("b", 12)), got, cmpopts.SortSlices(func(a, b tamarackrun.Record) bool { return a.Name < b.Name })); diff != "" || err != nil {
		t.Errorf("page (-want +got):\n%s%v", diff, err)
	}
	f.readers["two"].Apply(page(false, 12, record("b", 12)))
	f.setReader("two")
	calls := f.store.calls
	if got, err = f.read(t); got.Reader != "two" || err != nil || f.store.calls != calls {
		t.Errorf("page from %q, %v, %d further calls to the store, want a page from two", got.Reader, err, f.store.calls-calls)
	}
}

// Guards against a watch that stays with a reader that was replaced, and against changes that
// arrive late because the reader has lost contact with the store.
func TestWatchFollowsReader(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture()
		time.AfterFunc(time.Second, func() { f.setReader("two") })
		began := time.Now()
		got, err := f.Watch(t.Context(), tamarackrun.Servers, tamarackrun.Position{Revision: 10}, time.Minute)
		if diff := cmp.Diff(page(false, 10), got); diff != "" || err != nil || time.Since(began) > time.Second+pollInterval {
			t.Errorf("page (-want +got):\n%s%v after %s", diff, err, time.Since(began))
		}
		f.store.Apply(page(false, 11, record("b", 11)))
		time.AfterFunc(time.Second, func() {
			if !f.CatchUp(tamarackrun.Servers) {
				t.Error("the instance does not catch up")
			}
			if f.CatchUp(tamarackrun.Servers) {
				t.Error("the instance catches up twice within catchUpPause")
			}
		})
		if got, err = f.Watch(t.Context(), tamarackrun.Servers, tamarackrun.Position{Revision: 10}, time.Minute); err != nil || got.Position.Revision != 10 {
			t.Errorf("the cancelled watch returned %v, %v", got, err)
		}
		got, err = f.Watch(t.Context(), tamarackrun.Servers, tamarackrun.Position{Revision: 10}, time.Minute)
		if diff := cmp.Diff(page(false, 11, record("b", 11)), got); diff != "" || err != nil {
			t.Errorf("changes from the store (-want +got):\n%s%v", diff, err)
		}
	})
}

// Guards against an instance that becomes the reader again and again although the store does
// not answer it, and against one that never becomes it again.
func TestUnreachableStoreIsProbed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture()
		f.setReader("")
		f.store.setAway(true)
		if _, err := f.Read(t.Context(), tamarackrun.Servers); !errors.Is(err, errAway) || !f.StoreUnreachable() {
			t.Errorf("read: %v, unreachable %v", err, f.StoreUnreachable())
		}
		f.setReader("one")
		if _, err := f.Read(t.Context(), tamarackrun.Servers); err != nil || !f.StoreUnreachable() {
			t.Errorf("read from the reader: %v, unreachable %v", err, f.StoreUnreachable())
		}
		ctx, cancel := context.WithCancel(t.Context())
		go f.Run(ctx, f.StoreUnreachable)
		time.Sleep(10 * probeInterval)
		if !f.StoreUnreachable() {
			t.Error("the store counts as reachable")
		}
		f.store.setAway(false)
		time.Sleep(2 * probeInterval)
		if f.StoreUnreachable() {
			t.Error("the store counts as unreachable after it has answered")
		}
		calls := f.store.calls
		time.Sleep(10 * probeInterval)
		if f.store.calls != calls {
			t.Errorf("%d calls to a store that answers", f.store.calls-calls)
		}
		cancel()
		synctest.Wait()
	})
}

// Guards against a catch-up that is requested between the decision where to read and the call to
// the reader, and that takes effect only when that watch ends.
func TestCatchUpWhileWatchBegins(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture()
		f.store.Apply(page(false, 11, record("b", 11)))
		if _, err := f.Read(t.Context(), tamarackrun.Servers); err != nil {
			t.Fatal(err)
		}
		reader := f.Reader
		f.Reader = func() string {
			f.CatchUp(tamarackrun.Servers)
			return reader()
		}
		began := time.Now()
		var got tamarackrun.Page
		for range 2 {
			var err error
			if got, err = f.Watch(t.Context(), tamarackrun.Servers, tamarackrun.Position{Revision: 10}, time.Minute); err != nil {
				t.Fatal(err)
			}
		}
		if diff := cmp.Diff(page(false, 11, record("b", 11)), got); diff != "" || time.Since(began) > time.Second {
			t.Errorf("changes after %s (-want +got):\n%s", time.Since(began), diff)
		}
	})
}

// delayedStore answers reads after a delay.
type delayedStore struct {
	tamarackrun.RecordReader
	delay time.Duration
}

func (s delayedStore) Read(ctx context.Context, c tamarackrun.Collection) (tamarackrun.Page, error) {
	select {
	case <-time.After(s.delay):
		return s.RecordReader.Read(ctx, c)
	case <-ctx.Done():
		return tamarackrun.Page{}, ctx.Err()
	}
}

// Guards against an instance that waits for a store that is silent towards it while other
// instances know the change, and against a load on readers whenever the store is slow.
func TestSilentStoreIsHedged(t *testing.T) {
	for _, c := range []struct {
		delay, longest time.Duration
		asked          int
		reader         string
	}{{hedgeDelay / 2, hedgeDelay / 2, 0, ""}, {time.Minute, hedgeDelay, 1, "two"}} {
		synctest.Test(t, func(t *testing.T) {
			f := newFixture()
			f.setReader("")
			ctx, cancel := context.WithTimeout(t.Context(), 2*time.Second)
			defer cancel()
			f.Store, f.RemoteReader = delayedStore{f.store, c.delay}, func() string { return "two" }
			began := time.Now()
			got, err := f.Read(ctx, tamarackrun.Servers)
			if diff := cmp.Diff(from(c.reader, page(true, 10, record("a", 1))), got); diff != "" || err != nil || time.Since(began) > c.longest {
				t.Errorf("page after %s (-want +got):\n%s%v", time.Since(began), diff, err)
			}
			if f.readers["two"].calls != c.asked {
				t.Errorf("the reader was asked %d times, want %d", f.readers["two"].calls, c.asked)
			}
		})
	}
}

// panickingStore panics on each read.
type panickingStore struct{ tamarackrun.RecordReader }

func (panickingStore) Read(context.Context, tamarackrun.Collection) (tamarackrun.Page, error) {
	panic("malformed record")
}

// Guards against a record that ends the process, because reads run on goroutines of their own.
func TestPanicOfReadIsAnError(t *testing.T) {
	f := newFixture()
	f.setReader("")
	f.Store = panickingStore{}
	if _, err := f.Read(t.Context(), tamarackrun.Servers); err == nil || !f.StoreUnreachable() {
		t.Errorf("read: %v, unreachable %v", err, f.StoreUnreachable())
	}
}
