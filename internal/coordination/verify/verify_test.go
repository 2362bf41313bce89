package verify

import (
	"context"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"

	"tamarackrun"
)

// propagationBound is the users' bound for the first sites.
const propagationBound = 2500 * time.Millisecond

// store is a record store without records that counts reads.
type store struct {
	tamarackrun.RecordReader

	mu       sync.Mutex
	reads    int
	revision int64
	err      error
}

func (s *store) Read(context.Context, tamarackrun.Collection) (tamarackrun.Page, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.reads++
	return tamarackrun.Page{Full: true, Position: tamarackrun.Position{Revision: s.revision}}, s.err
}

// fleet holds verifiers that receive each other's reports.
type fleet struct {
	store     *store
	verifiers []*Verifier
	// resyncs counts the resyncs by verifier and collection. Each map is used only
	// by its verifier's goroutine.
	resyncs []map[tamarackrun.Collection]int
	// cutOff lists the instances that send and receive no reports, and storeless
	// those that cannot reach the store.
	cutOff, storeless []int
}

func newFleet(n int) *fleet {
	f := &fleet{store: &store{revision: 10}}
	for i := range n {
		resyncs := map[tamarackrun.Collection]int{}
		f.resyncs = append(f.resyncs, resyncs)
		f.verifiers = append(f.verifiers, &Verifier{
			Store:             f.store,
			PropagationBound:  propagationBound,
			HeartbeatInterval: 1500 * time.Millisecond,
			Rank:              func() int { return f.rank(i) },
			StoreFailed:       func() bool { return slices.Contains(f.storeless, i) },
			Resync:            func(c tamarackrun.Collection) { resyncs[c]++ },
		})
		f.verifiers[i].Apply = func(c tamarackrun.Collection, page tamarackrun.Page) { f.verifiers[i].Applied(c, page, false) }
	}
	return f
}

// rank returns the rank of instance i among those that report and reach the store.
func (f *fleet) rank(i int) int {
	rank := 0
	for j := range i {
		if !slices.Contains(f.storeless, j) && !slices.Contains(f.cutOff, j) {
			rank++
		}
	}
	return rank
}

// run runs all verifiers for a duration. Each sends a report every 250 ms, which
// takes 50 ms to arrive.
func (f *fleet) run(t *testing.T, d time.Duration) {
	ctx, cancel := context.WithTimeout(t.Context(), d)
	defer cancel()
	var group sync.WaitGroup
	for i, v := range f.verifiers {
		group.Go(func() { v.Run(ctx) })
		group.Go(func() { f.sendReports(ctx, i) })
	}
	group.Wait()
}

// sendReports delivers the reports of instance i to the other verifiers until the
// context ends.
func (f *fleet) sendReports(ctx context.Context, i int) {
	for ctx.Err() == nil {
		time.Sleep(200 * time.Millisecond)
		revisions, age := f.verifiers[i].OwnReport(time.Now())
		time.Sleep(50 * time.Millisecond)
		for j, v := range f.verifiers {
			if i != j && !slices.Contains(f.cutOff, i) && !slices.Contains(f.cutOff, j) {
				v.MergeReport(time.Now(), revisions, age+50*time.Millisecond)
			}
		}
	}
}

// pageWithRevision returns the arguments of Applied for a change of a collection.
func pageWithRevision(c tamarackrun.Collection, revision int64) (tamarackrun.Collection, tamarackrun.Page, bool) {
	return c, tamarackrun.Page{Records: []tamarackrun.Record{{Name: "x", Position: tamarackrun.Position{Revision: revision}}}}, false
}

// Guards against reads of the store by all instances in each interval.
func TestInstancesTakeTurnsToRead(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(7)
		f.run(t, 20*time.Second)
		// Each instance may read once before the first report arrives.
		if most := int(20*time.Second/f.verifiers[0].boundFraction(readIntervalFraction)) + 7; f.store.reads > most {
			t.Errorf("%d reads in 20 s, want at most %d", f.store.reads, most)
		}
	})
}

// Guards against a change that stays unknown because no watch delivers it. The
// reader finds it by the store's revision and the others by the reader's reports.
// Reports of instances that do not know the change either must not delay that
// (CONFIG and EVAC on scale-1).
func TestChangeMissedByWatchesIsFound(t *testing.T) {
	for name, storeless := range map[string][]int{"all read": nil, "the first two do not reach the store": {0, 1}} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFleet(7)
				f.storeless = storeless
				for _, v := range f.verifiers {
					v.Applied(pageWithRevision(tamarackrun.Configurations, 10))
				}
				f.run(t, 5*time.Second)
				f.store.revision = 11
				reader := f.verifiers[len(storeless)]
				resync := reader.Resync
				reader.Resync = func(c tamarackrun.Collection) {
					resync(c)
					if c == tamarackrun.Configurations {
						reader.Applied(pageWithRevision(c, 11))
					}
				}
				// The users' bound on configurations is 2.5 s.
				f.run(t, 2200*time.Millisecond)
				for i, resyncs := range f.resyncs {
					if resyncs[tamarackrun.Configurations] == 0 {
						t.Errorf("instance %d did not resync the configuration", i)
					}
				}
			})
		})
	}
}

// Guards against instances that go on with a removed record, because the only one that has found the
// removal, by reading the whole collection, does not know its position and tells nobody.
func TestRemovalFoundByReadIsReported(t *testing.T) {
	for _, c := range []tamarackrun.Collection{tamarackrun.Evacuations, tamarackrun.Servers} {
		t.Run(c.String(), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFleet(7)
				for _, v := range f.verifiers {
					v.Applied(pageWithRevision(c, 10))
				}
				f.run(t, 5*time.Second)
				f.store.revision = 11
				reader := f.verifiers[0]
				removed := tamarackrun.Page{Full: true, Position: tamarackrun.Position{Revision: 11}}
				reader.Resync = func(resynced tamarackrun.Collection) {
					reader.Applied(resynced, removed, resynced == c)
				}
				reader.Apply = func(read tamarackrun.Collection, page tamarackrun.Page) { reader.Applied(read, page, read == c) }
				// The users' bound on leaving servers is 2.5 s.
				f.run(t, 2200*time.Millisecond)
				for i, resyncs := range f.resyncs[1:] {
					if resyncs[c] == 0 {
						t.Errorf("instance %d did not read the collection again", i+1)
					}
				}
			})
		})
	}
}

// Guards against a resync of collections that miss no change.
func TestNoResyncWithoutMissedChange(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(3)
		for _, v := range f.verifiers {
			v.Applied(pageWithRevision(tamarackrun.Configurations, 10))
		}
		// The latest change is a removal, which a full page does not show: the
		// highest revision of its records is lower than the page's.
		f.verifiers[0].Applied(tamarackrun.Servers, tamarackrun.Page{Full: true, Position: tamarackrun.Position{Revision: 9}, Records: []tamarackrun.Record{{Position: tamarackrun.Position{Revision: 5}}}}, false)
		f.verifiers[1].Applied(pageWithRevision(tamarackrun.Servers, 8))
		f.verifiers[2].Applied(pageWithRevision(tamarackrun.Servers, 8))
		f.run(t, 10*time.Second)
		if diff := cmp.Diff([]map[tamarackrun.Collection]int{{}, {}, {}}, f.resyncs); diff != "" {
			t.Errorf("resyncs (-want +got):\n%s", diff)
		}
	})
}

// Guards against records that are dropped too soon after an outage, before they
// have had time to return.
func TestStoreStable(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(2)
		f.run(t, 5*time.Second)
		v := f.verifiers[1]
		got := []bool{v.StoreStable(time.Now())}
		f.store.err = context.DeadlineExceeded
		f.run(t, 5*time.Second)
		got = append(got, v.StoreStable(time.Now()))
		f.store.err = nil
		f.run(t, 1500*time.Millisecond)
		got = append(got, v.StoreStable(time.Now()))
		f.run(t, 4*time.Second)
		got = append(got, v.StoreStable(time.Now()))
		if diff := cmp.Diff([]bool{true, false, false, true}, got); diff != "" {
			t.Errorf("stable before the outage, during it, soon after it and later (-want +got):\n%s", diff)
		}
	})
}

// Guards against a false detection of an outage while the instances whose turn it
// is are cut off. The records of servers that left were then kept (DRAIN on
// scale-2, seed 133531285401).
func TestCutOffReadersAreSkipped(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(7)
		f.run(t, 5*time.Second)
		f.cutOff = []int{0, 1}
		for _, i := range f.cutOff {
			f.verifiers[i].Store = &store{err: context.DeadlineExceeded}
		}
		// The others still count the cut-off instances in their ranks.
		for i := 2; i < 7; i++ {
			f.verifiers[i].Rank = func() int { return i }
		}
		for range 50 {
			f.run(t, 100*time.Millisecond)
			if !f.verifiers[6].StoreStable(time.Now()) {
				t.Fatal("the store does not count as stable")
			}
		}
	})
}

// Pattern: changes without a pause, each of which reaches some instances later than others.
// Guards against resyncs of instances that miss nothing: while the servers of a large fleet
// changed all the time, some instance had always reported a newer revision, and every other
// one read the servers again every second.
func TestNoResyncWhileChangesArrive(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(2)
		for _, v := range f.verifiers {
			v.Applied(pageWithRevision(tamarackrun.Configurations, 10))
		}
		ctx, cancel := context.WithCancel(t.Context())
		go func() {
			for revision := int64(11); ctx.Err() == nil; revision++ {
				f.verifiers[0].Applied(pageWithRevision(tamarackrun.Servers, revision))
				time.Sleep(100 * time.Millisecond)
				late := revision
				time.AfterFunc(200*time.Millisecond, func() { f.verifiers[1].Applied(pageWithRevision(tamarackrun.Servers, late)) })
			}
		}()
		f.run(t, 20*time.Second)
		cancel()
		synctest.Wait()
		time.Sleep(time.Second)
		if got := f.resyncs[1][tamarackrun.Servers]; got > 0 {
			t.Errorf("%d resyncs, want none", got)
		}
	})
}

// Guards against instances that keep the records from before the store came back from a copy: the
// revisions from before are higher, and a watch that is renewed without an error waits for the next
// change.
func TestLaterEraIsOverdue(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(3)
		all := []tamarackrun.Collection{tamarackrun.Configurations, tamarackrun.Servers, tamarackrun.Instances}
		inEra := func(era, revision int64) tamarackrun.Page {
			return tamarackrun.Page{Full: true, Position: tamarackrun.Position{Era: era, Revision: revision}}
		}
		for _, v := range f.verifiers {
			for _, c := range append(all, tamarackrun.Evacuations) {
				v.Applied(c, inEra(0, 500), false)
			}
		}
		f.verifiers[0].Applied(tamarackrun.Evacuations, inEra(1, 40), false)
		f.run(t, propagationBound)
		for i, resyncs := range f.resyncs {
			for _, c := range all {
				if resyncs[c] == 0 {
					t.Errorf("instance %d does not read the %s again", i, c)
				}
			}
		}
		for _, v := range f.verifiers {
			for _, c := range append(all, tamarackrun.Evacuations) {
				v.Applied(c, inEra(1, 41), false)
			}
		}
		for _, resyncs := range f.resyncs {
			clear(resyncs)
		}
		f.run(t, 2*propagationBound)
		for i, resyncs := range f.resyncs {
			if len(resyncs) > 0 {
				t.Errorf("instance %d, which is up to date, reads again: %v", i, resyncs)
			}
		}
	})
}
