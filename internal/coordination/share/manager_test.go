package share

import (
	"context"
	"errors"
	"fmt"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"tamarackrun"
	"tamarackrun/internal/coordination/rate"
)

// memoryStore is a store in memory that can delay writes.
type memoryStore struct {
	tamarackrun.ObjectStore
	objects map[string]tamarackrun.Object
	// delayed collects the writes if it is not nil. Their callers get no answer.
	delayed *[]func() error
}

func (s *memoryStore) Get(_ context.Context, name string) (tamarackrun.Object, error) {
	if o, ok := s.objects[name]; ok {
		return o, nil
	}
	return tamarackrun.Object{}, tamarackrun.ErrNotFound
}

func (s *memoryStore) List(_ context.Context, prefix string) (list []tamarackrun.Object, _ error) {
	for name, o := range s.objects {
		if name[:len(prefix)] == prefix {
			list = append(list, o)
		}
	}
	return list, nil
}

func (s *memoryStore) Put(_ context.Context, name string, value []byte, expected int64) (tamarackrun.Object, error) {
	write := func() error {
		if s.objects[name].Version != expected {
			return tamarackrun.ErrConflict
		}
		s.objects[name] = tamarackrun.Object{Name: name, Version: expected + 1, Value: value}
		return nil
	}
	if s.delayed != nil {
		*s.delayed = append(*s.delayed, write)
		return tamarackrun.Object{}, errors.New("no answer")
	}
	err := write()
	return s.objects[name], err
}

// manualClock is a clock whose time changes only when it is set.
type manualClock struct{ now time.Duration }

func (c *manualClock) Now() time.Duration { return c.now }

type noRecorder struct{}

func (noRecorder) Record(tamarackrun.EventID, string, ...string) {}
func (noRecorder) CountOutcome(string, tamarackrun.Outcome)      {}

func newManager(store tamarackrun.ObjectStore, clock *manualClock, name string) *Manager {
	pool := rate.NewPool()
	pool.SetLimits(clock.Now(), map[string]rate.Limit{"tea": {Rate: 10, Burst: 10}})
	return New(store, clock, pool, noRecorder{}, name)
}

func target(f rate.Fraction) map[string]rate.Fraction { return map[string]rate.Fraction{"tea": f} }

// Guards against a write that lowers a share, whose answer was lost, and that takes effect
// after the holder has returned to its full share: the record would then leave to others a
// part that the holder uses.
func TestLateWriteDoesNotLowerRecordAlone(t *testing.T) {
	store, clock := &memoryStore{objects: map[string]tamarackrun.Object{}}, &manualClock{}
	m := newManager(store, clock, "a")
	m.Reconcile(t.Context(), target(rate.Whole))
	if diff := cmp.Diff(rate.Whole, m.Pool.Bucket("tea").Part(clock.now)); diff != "" {
		t.Fatalf("share after the first step (-want +got):\n%s", diff)
	}
	var delayed []func() error
	store.delayed = &delayed
	m.Reconcile(t.Context(), target(rate.Whole/2))
	store.delayed = nil
	m.Reconcile(t.Context(), target(rate.Whole))
	for _, write := range delayed {
		_ = write()
	}
	r, _, _ := read[record](t.Context(), m, recordPrefix+"tea")
	if diff := cmp.Diff(m.Pool.Bucket("tea").Part(clock.now), r.value.Shares["a"].sum()); diff != "" || len(delayed) != 1 {
		t.Errorf("share after %d late writes (-applied +recorded):\n%s", len(delayed), diff)
	}
}

// Guards against a reclaimer that fences the other holders at the end of an outage of the
// store, during which no holder could renew its term.
func TestOutageDoesNotReclaimLivingHolders(t *testing.T) {
	store, clock := &memoryStore{objects: map[string]tamarackrun.Object{}}, &manualClock{}
	a, b := newManager(store, clock, "a"), newManager(store, clock, "b")
	steps := func() {
		for _, m := range []*Manager{a, b} {
			m.Reconcile(t.Context(), target(rate.Whole/2))
		}
	}
	steps()
	steps()
	// The first step after an outage of 20 min fails for both.
	clock.now += 20 * time.Minute
	objects := store.objects
	a.recordStoreResult(false)
	b.recordStoreResult(false)
	steps()
	for name, o := range objects {
		if name == "term/a" || name == "term/b" {
			if diff := cmp.Diff(`{"counter":2,"state":"held"}`, string(o.Value)); diff != "" {
				t.Errorf("%s (-want +got):\n%s", name, diff)
			}
		}
	}
}

// Guards against more than 8 holders, and against all holders in one region.
func TestHoldersAreSpreadOverRegions(t *testing.T) {
	var candidates []Candidate
	for n := range 30 {
		candidates = append(candidates, Candidate{fmt.Sprint("i", n), fmt.Sprint("r", n%3)})
	}
	regions := map[string]int{}
	holders := Holders("tea", candidates)
	for _, name := range holders {
		for _, c := range candidates {
			if c.Name == name {
				regions[c.Region]++
			}
		}
	}
	if len(holders) != MaxHolders || regions["r0"] < 2 || regions["r1"] < 2 || regions["r2"] < 2 {
		t.Errorf("holders %v, by region %v; want MaxHolders, at least 2 in each region", holders, regions)
	}
}
