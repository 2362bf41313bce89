package instance_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"os"
	"sort"
	"strings"
	"sync"
	"testing"
	"time"

	"tamarackrun/internal/standin/fleet"
	"tamarackrun/internal/standin/platform"
)

// maxTokenAge is the most time between taking a token and the execution of the
// request: 2 s to the dispatch, and the way to the backend server.
const maxTokenAge = 2500 * time.Millisecond

// browseService returns the service browse with three servers of the given
// number of slots. The tests choose enough slots for their rates.
func browseService(slots int) []fleet.Service {
	return []fleet.Service{{Name: "browse", Servers: 3, Slots: slots, Route: "methods = GET\nidempotent = yes"}}
}

// load sends requests with random pauses to one instance and counts the
// outcomes.
type load struct {
	f         *fleet.Fleet
	perSecond float64

	mu       sync.Mutex
	address  string
	outcomes map[string]int
	arrivals []time.Time
}

func newLoad(f *fleet.Fleet, instance int, perSecond float64) *load {
	return &load{f: f, address: f.Instances[instance].Listing.CallerAddress, perSecond: perSecond, outcomes: map[string]int{}}
}

// moveTo sends the following requests to another instance.
func (l *load) moveTo(address string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.address = address
}

// run sends until ctx ends and waits for the answers.
func (l *load) run(ctx context.Context, seed uint64, name string) {
	random, c := rand.New(rand.NewPCG(seed, 1)), l.f.Caller("tea")
	var group sync.WaitGroup
	defer group.Wait()
	next := time.Now()
	for n := 0; ; n++ {
		next = next.Add(time.Duration(random.ExpFloat64() / l.perSecond * float64(time.Second)))
		select {
		case <-ctx.Done():
			return
		case <-time.After(time.Until(next)):
		}
		l.mu.Lock()
		l.arrivals = append(l.arrivals, time.Now())
		address := l.address
		l.mu.Unlock()
		group.Go(func() {
			r := c.SendTo(context.Background(), address, "GET", fmt.Sprintf("/browse/%s-%d", name, n), nil, nil)
			outcome := r.Outcome + " " + r.Reason
			if r.Err != nil {
				outcome = "no answer"
			}
			l.mu.Lock()
			l.outcomes[outcome]++
			l.mu.Unlock()
		})
	}
}

// executions returns the times at which requests first ran, in order. A retry
// of an idempotent request is not a second admission.
func executions(f *fleet.Fleet) []time.Time {
	first := map[string]time.Time{}
	for _, s := range f.Servers {
		for _, e := range s.Record().Executions {
			if at, ok := first[e.Target]; !ok || e.At.Before(at) {
				first[e.Target] = e.At
			}
		}
	}
	var times []time.Time
	for _, at := range first {
		times = append(times, at)
	}
	sort.Slice(times, func(i, j int) bool { return times[i].Before(times[j]) })
	return times
}

// excess returns by how many requests the worst interval of length t exceeds
// perSecond*t + burst. It takes one pass.
func excess(times []time.Time, perSecond, burst float64) float64 {
	least, worst := 1e18, -1e18
	for i, at := range times {
		refilled := perSecond * at.Sub(times[0]).Seconds()
		least = min(least, float64(i)-refilled)
		worst = max(worst, float64(i+1)-refilled-least-burst)
	}
	return worst
}

// Together the instances must run at most rate*t + burst requests in any
// interval of length t, also when one is killed, one is paused and resumed, and
// the store is unavailable. An organisation sends 5 times its rate through all
// of them.
func TestRateHoldsThroughFailures(t *testing.T) {
	t.Parallel()
	const perSecond, burst, demandFactor = 40, 40, 5
	f := startFleet(t, fleet.Options{Services: browseService(50),
		Organisations: map[string]fleet.Rate{"tea": {Rate: perSecond, Burst: burst}}})
	ctx, stop := context.WithCancel(t.Context())
	var group sync.WaitGroup
	var loads []*load
	for n := range f.Instances {
		l := newLoad(f, n, demandFactor*perSecond/float64(len(f.Instances)))
		loads = append(loads, l)
		group.Go(func() { l.run(ctx, uint64(n), fmt.Sprint(n)) })
	}
	for _, step := range []struct {
		do   func()
		last time.Duration
	}{
		{func() {}, 2 * time.Second},
		{func() { expectSignaled(t, f.Instances[1].Pause()) }, 3500 * time.Millisecond},
		{func() { expectSignaled(t, f.Instances[1].Resume()) }, time.Second},
		{func() { f.Platform.SetFaults(platform.Faults{Outage: true}) }, 2 * time.Second},
		{func() { f.Instances[2].Kill() }, 2 * time.Second},
		{func() { f.Platform.SetFaults(platform.Faults{LoseAnswers: 3}) }, 2 * time.Second},
	} {
		step.do()
		time.Sleep(step.last)
	}
	stop()
	group.Wait()
	times := executions(f)
	worst := excess(times, perSecond, burst)
	t.Logf("%d executions in %v, worst interval %+.1f of the bound without the age of tokens", len(times), times[len(times)-1].Sub(times[0]), worst)
	for n, l := range loads {
		t.Logf("instance %d: %v", n+1, l.outcomes)
	}
	if limit := perSecond * maxTokenAge.Seconds(); worst > limit {
		t.Errorf("an interval has %.1f executions above the bound, allowed are %.1f for the age of tokens", worst, limit)
	}
	if len(times) < 5*perSecond {
		t.Errorf("only %d requests ran, so the bound was not tested", len(times))
	}
}

// An instance that shuts down gracefully must return its shares to the others
// before its term ends.
func TestGracefulShutdownReturnsShares(t *testing.T) {
	t.Parallel()
	f := startFleet(t, fleet.Options{Services: browseService(50)})
	awaitShares(t, f, 3)
	expectSignaled(t, f.Instances[2].Terminate())
	if !f.Instances[2].Wait(time.Minute) {
		t.Fatal("the instance did not stop")
	}
	awaitShares(t, f, 2)
}

// awaitShares waits until n holders hold the whole rate in equal parts.
func awaitShares(tb testing.TB, f *fleet.Fleet, n int) {
	tb.Helper()
	began := time.Now()
	for {
		o, err := f.Store.Get(tb.Context(), "share/tea")
		text := string(o.Value)
		floor := 1_000_000_000 / n / 2
		if err == nil && strings.Count(text, "upper") == n && strings.Count(text, fmt.Sprintf(`"floor":%d}`, floor)) == n {
			tb.Logf("%d holders have equal shares after %v", n, time.Since(began).Round(time.Millisecond))
			return
		}
		if time.Since(began) > 30*time.Second {
			tb.Fatalf("shares are not equal for %d holders: %v %s", n, err, text)
		}
		time.Sleep(20 * time.Millisecond)
	}
}

// A graceful shutdown must not wait long for a store that is unavailable, and
// it must record an event if it cannot return its shares.
func TestGracefulShutdownWithoutTheStore(t *testing.T) {
	t.Parallel()
	f := startFleet(t, fleet.Options{Services: browseService(50)})
	awaitShares(t, f, 3)
	f.Platform.SetFaults(platform.Faults{Outage: true})
	began := time.Now()
	expectSignaled(t, f.Instances[2].Terminate())
	if !f.Instances[2].Wait(time.Minute) {
		t.Fatal("the instance did not stop")
	}
	t.Logf("stopped after %v", time.Since(began).Round(100*time.Millisecond))
	log, err := os.ReadFile(f.Instances[2].LogFile)
	if err != nil || !strings.Contains(string(log), "shareNotReturned") {
		t.Errorf("the log has no shareNotReturned (%v):\n%s", err, log)
	}
}
