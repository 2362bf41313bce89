package share

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"tamarackrun"
	"tamarackrun/internal/coordination/rate"
	"tamarackrun/internal/protocol/event"
)

// countingStore counts the calls to the store.
type countingStore struct {
	memoryStore
	reads, writes float64
}

func (s *countingStore) Get(ctx context.Context, name string) (tamarackrun.Object, error) {
	s.reads++
	return s.memoryStore.Get(ctx, name)
}

func (s *countingStore) Put(ctx context.Context, name string, value []byte, expected int64) (tamarackrun.Object, error) {
	s.writes++
	return s.memoryStore.Put(ctx, name, value, expected)
}

func (s *countingStore) List(ctx context.Context, prefix string) ([]tamarackrun.Object, error) {
	s.reads++
	return s.memoryStore.List(ctx, prefix)
}

// Guards against too many calls to the store. At 810 instances and 2,000 organisations, the
// calls per second must stay far below the platform's limits of two thousand reads and
// several hundred writes.
func TestCallsPerSecondAtTargetSize(t *testing.T) {
	const instances, organisations, interval = 810, 2000, 1500 * time.Millisecond
	const start, measureStart, end = 3 * time.Minute, 6 * time.Minute, 16 * time.Minute
	for _, n := range []int{15, 30, 60} {
		store, clock := &countingStore{memoryStore: memoryStore{objects: map[string]tamarackrun.Object{}}}, &manualClock{}
		var candidates []Candidate
		for i := range n {
			candidates = append(candidates, Candidate{fmt.Sprint("i", i), fmt.Sprint("r", i%3)})
		}
		limits, holders := map[string]rate.Limit{}, map[string][]string{}
		for o := range n * organisations / instances {
			name := fmt.Sprint("o", o)
			limits[name], holders[name] = rate.Limit{Rate: 10, Burst: 10}, Holders(name, candidates)
		}
		var managers []*Manager
		targets := make([]map[string]rate.Fraction, n)
		for i, c := range candidates {
			m := newManager(store, clock, c.Name)
			m.Pool.SetLimits(clock.now, limits)
			m.Silent = func(string) bool { return false }
			managers, targets[i] = append(managers, m), map[string]rate.Fraction{}
			for o := range limits {
				targets[i][o] = Target(c.Name, holders[o])
			}
		}
		var started, reads, writes float64
		for ; clock.now < end; clock.now += interval {
			if clock.now == start {
				started = store.reads
			}
			if clock.now == measureStart {
				reads, writes = store.reads, store.writes
			}
			for i, m := range managers {
				m.Reconcile(t.Context(), targets[i])
			}
		}
		perSecond := func(calls float64) float64 { return calls / float64(n) / (end - measureStart).Seconds() * instances }
		r, w := perSecond(store.reads-reads), perSecond(store.writes-writes)
		t.Logf("%d instances, %d organisations: %.1f reads to start an instance; at %d instances %.1f reads/s and %.1f writes/s",
			n, len(limits), started/float64(n), instances, r, w)
		if r > 200 || w > 20 {
			t.Errorf("%.1f reads/s and %.1f writes/s, want at most 200 and 20", r, w)
		}
	}
}

// Guards against an object that can't be decoded and that stops the changes of all shares,
// without an event.
func TestUnreadableObjectsAreReportedAndSkipped(t *testing.T) {
	for _, c := range [][2]string{{"share/bad", "{"}, {"share/bad", `{"parts":{"x":{"upper":-5}}}`}, {"term/x", "{"}} {
		name, value := c[0], c[1]
		store, clock := &memoryStore{objects: map[string]tamarackrun.Object{}}, &manualClock{}
		store.objects["share/bad"] = tamarackrun.Object{Version: 1, Value: []byte(`{"parts":{"x":{"upper":1000000000}}}`)}
		store.objects[name] = tamarackrun.Object{Version: 1, Value: []byte(value)}
		m, events := newManager(store, clock, "a"), &eventCounter{}
		m.Recorder = events
		m.Pool.SetLimits(0, map[string]rate.Limit{"tea": {Rate: 10, Burst: 10}, "bad": {Rate: 10, Burst: 10}})
		for range 3 {
			clock.now += time.Minute
			m.Reconcile(t.Context(), map[string]rate.Fraction{"tea": rate.Whole, "bad": rate.Whole})
		}
		got := []any{m.Held("tea"), m.Held("bad"), events.unreadable}
		if diff := cmp.Diff([]any{rate.Whole, rate.Fraction(0), 1}, got); diff != "" {
			t.Errorf("%s %s: shares and events (-want +got):\n%s", name, value, diff)
		}
	}
}

type eventCounter struct {
	noRecorder
	unreadable int
}

func (e *eventCounter) Record(id tamarackrun.EventID, _ string, _ ...string) {
	if id == event.ShareUnreadable {
		e.unreadable++
	}
}
