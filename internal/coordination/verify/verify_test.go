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

// bound is the users' for the first sites.
const bound = 2500 * time.Millisecond

// store counts reads and has one revision.
type store struct {
	tamarackrun.RecordStore

	mu       sync.Mutex
	reads    int
	revision int64
	err      error
}

func (s *store) Read(context.Context, tamarackrun.Collection) (tamarackrun.Page, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.reads++
	return tamarackrun.Page{Full: true, Revision: s.revision}, s.err
}

// fleet is some verifiers that hear each other's reports.
type fleet struct {
	store     *store
	verifiers []*Verifier
	// kicks has the reads that each verifier asked for, in its own goroutine.
	kicks []map[tamarackrun.Collection]int
	// cut instances get and send no reports; away ones don't reach the store.
	cut, away []int
}

func newFleet(n int) *fleet {
	f := &fleet{store: &store{revision: 10}}
	for i := range n {
		kicks := map[tamarackrun.Collection]int{}
		f.kicks = append(f.kicks, kicks)
		f.verifiers = append(f.verifiers, &Verifier{Feed: f.store, PropagationBound: bound, HeartbeatInterval: 1500 * time.Millisecond, Rank: func() int { return f.rank(i) },
			WatchFailed:      func() bool { return slices.Contains(f.away, i) },
			Resync:           func(c tamarackrun.Collection) { kicks[c]++ },
			ApplyEvacuations: func(tamarackrun.Page) {}})
	}
	return f
}

func (f *fleet) rank(i int) int {
	rank := 0
	for j := range i {
		if !slices.Contains(f.away, j) && !slices.Contains(f.cut, j) {
			rank++
		}
	}
	return rank
}

// run runs all verifiers for a time, with reports every 250 ms that take 50 ms.
func (f *fleet) run(t *testing.T, d time.Duration) {
	ctx, cancel := context.WithTimeout(t.Context(), d)
	defer cancel()
	var group sync.WaitGroup
	for i, v := range f.verifiers {
		group.Go(func() { v.Run(ctx) })
		group.Go(func() { f.report(ctx, i) })
	}
	group.Wait()
}

func (f *fleet) report(ctx context.Context, i int) {
	for ctx.Err() == nil {
		time.Sleep(200 * time.Millisecond)
		revisions, age := f.verifiers[i].Report(time.Now())
		time.Sleep(50 * time.Millisecond)
		for j, v := range f.verifiers {
			if i != j && !slices.Contains(f.cut, i) && !slices.Contains(f.cut, j) {
				v.Learn(time.Now(), revisions, age+50*time.Millisecond)
			}
		}
	}
}

func changed(c tamarackrun.Collection, revision int64) (tamarackrun.Collection, tamarackrun.Page) {
	return c, tamarackrun.Page{Records: []tamarackrun.Record{{Name: "x", Revision: revision}}}
}

// Guards against calls to the store by every instance.
func TestInstancesTakeTurns(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(7)
		f.run(t, 20*time.Second)
		// The first turn may come before any report.
		if most := int(20*time.Second/f.verifiers[0].part(intervalPart)) + 7; f.store.reads > most {
			t.Errorf("%d reads in 20 s, want at most %d", f.store.reads, most)
		}
	})
}

// Guards against a change that no watch delivers: the reader finds it by the
// store's revision, the others by its reports, and reports of instances that do
// not know it either must not delay that (CONFIG and EVAC on scale-1).
func TestUnheardChangeIsFound(t *testing.T) {
	for name, away := range map[string][]int{"all read": nil, "the first two don't reach the store": {0, 1}} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFleet(7)
				f.away = away
				for _, v := range f.verifiers {
					v.Applied(changed(tamarackrun.Configurations, 10))
				}
				f.run(t, 5*time.Second)
				f.store.revision = 11
				reader := f.verifiers[len(away)]
				kick := reader.Resync
				reader.Resync = func(c tamarackrun.Collection) {
					kick(c)
					if c == tamarackrun.Configurations {
						reader.Applied(changed(c, 11))
					}
				}
				// The users' bound on configurations is 2.5 s.
				f.run(t, 2200*time.Millisecond)
				for i, kicks := range f.kicks {
					if kicks[tamarackrun.Configurations] == 0 {
						t.Errorf("instance %d does not read the configuration", i)
					}
				}
			})
		})
	}
}

// Guards against reads of collections that nothing is missing from.
func TestNothingIsReadAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(3)
		for _, v := range f.verifiers {
			v.Applied(changed(tamarackrun.Configurations, 10))
		}
		// A list shows no removal, so that its highest revision is lower.
		f.verifiers[0].Applied(tamarackrun.Servers, tamarackrun.Page{Full: true, Revision: 9, Records: []tamarackrun.Record{{Revision: 5}}})
		f.verifiers[1].Applied(changed(tamarackrun.Servers, 8))
		f.verifiers[2].Applied(changed(tamarackrun.Servers, 8))
		f.run(t, 10*time.Second)
		if diff := cmp.Diff([]map[tamarackrun.Collection]int{{}, {}, {}}, f.kicks); diff != "" {
			t.Errorf("reads (-want +got):\n%s", diff)
		}
	})
}

// Guards against records that are given up too soon after an outage.
func TestSteady(t *testing.T) {
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
			t.Errorf("steady before, during, soon after and later (-want +got):\n%s", diff)
		}
	})
}

// Guards against an outage that is suspected because the instances whose turn it
// is are cut off, so that servers that left are held (DRAIN on scale-2, seed
// 133531285401).
func TestCutOffReadersArePassedOver(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(7)
		f.run(t, 5*time.Second)
		f.cut = []int{0, 1}
		for _, i := range f.cut {
			f.verifiers[i].Feed = &store{err: context.DeadlineExceeded}
		}
		// The others have not noticed yet.
		for i := 2; i < 7; i++ {
			f.verifiers[i].Rank = func() int { return i }
		}
		for range 50 {
			f.run(t, 100*time.Millisecond)
			if !f.verifiers[6].StoreStable(time.Now()) {
				t.Fatal("the store is taken as away")
			}
		}
	})
}
