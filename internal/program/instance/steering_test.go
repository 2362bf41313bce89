package instance_test

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"os"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"tamarackrun"
	"tamarackrun/internal/protocol/document"
	"tamarackrun/internal/standin/caller"
	"tamarackrun/internal/standin/fleet"
	"tamarackrun/internal/standin/server"
)

// steeringWaitLimit bounds the waits of the steering tests whose length does not
// decide the result of a test.
const steeringWaitLimit = 40 * time.Second

// awaitAndTime polls until the condition holds and returns the time that it took.
func awaitAndTime(t *testing.T, what string, condition func() bool) time.Duration {
	t.Helper()
	began := time.Now()
	for !condition() {
		if time.Since(began) > steeringWaitLimit {
			t.Fatalf("%s did not happen within %v", what, steeringWaitLimit)
		}
		time.Sleep(20 * time.Millisecond)
	}
	return time.Since(began)
}

// The first shortPauses callers pause for 1 ms between requests, so that a
// connection that is closed too early meets a request; the pause of each
// following group of shortPauses callers is longer by pauseStep.
const (
	shortPauses = 48
	pauseStep   = 20 * time.Millisecond
)

// sendLoad sends requests from several callers until the returned function is
// called, which returns all results.
func sendLoad(t *testing.T, f *fleet.Fleet, callers int, method, target string) (stop func() []caller.Result) {
	ctx, cancel := context.WithCancel(t.Context())
	var group sync.WaitGroup
	results := make([][]caller.Result, callers)
	for n := range callers {
		group.Go(func() {
			c := f.Caller("tea")
			for ctx.Err() == nil {
				results[n] = append(results[n], c.Send(t.Context(), method, target, nil, nil))
				// The pause leaves some connections idle for a long time between
				// requests.
				time.Sleep(time.Millisecond + time.Duration(n/shortPauses)*pauseStep)
			}
		})
	}
	return func() []caller.Result {
		cancel()
		group.Wait()
		return slices.Concat(results...)
	}
}

func executionsOf(f *fleet.Fleet, name string) int { return len(f.Servers[name].Record().Executions) }

// tally counts results by outcome, reason, status and error.
func tally(results []caller.Result) map[string]int {
	counts := map[string]int{}
	for _, r := range results {
		key := fmt.Sprint(r.Outcome, " ", r.Reason, " ", r.Status)
		if r.Err != nil {
			key = r.Err.Error()
		}
		counts[key]++
	}
	return counts
}

// A backend server that is leaving by any of the four signals must get no new
// work, and what it still runs must not be cut off.
func TestLeavingServerGetsNoNewWork(t *testing.T) {
	t.Parallel()
	const leaving = "browse-01"
	for _, c := range []struct {
		name   string
		signal func(t *testing.T, f *fleet.Fleet)
	}{
		{"list", func(_ *testing.T, f *fleet.Fleet) {
			list := []tamarackrun.Listing{{Name: leaving, Leaving: true}}
			for _, i := range f.Instances {
				list = append(list, i.Listing)
			}
			f.Platform.SetInstances(list)
		}},
		{"health", func(_ *testing.T, f *fleet.Fleet) {
			f.Servers[leaving].SetFaults(server.Faults{WorkMillis: 100, Draining: true})
		}},
		{"header", func(_ *testing.T, f *fleet.Fleet) {
			f.Servers[leaving].SetFaults(server.Faults{WorkMillis: 100, Draining: true, MisleadHealth: true})
		}},
		{"order", func(t *testing.T, f *fleet.Fleet) {
			if _, err := f.Store.Put(t.Context(), "drain/"+leaving, []byte("{}"), 0); err != nil {
				t.Fatal(err)
			}
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			f := startFleet(t, fleet.Options{})
			for _, s := range f.Servers {
				s.SetFaults(server.Faults{WorkMillis: 100})
			}
			stop := sendLoad(t, f, 4, "GET", "/browse/x")
			awaitAndTime(t, "first executions", func() bool { return executionsOf(f, leaving) > 3 })
			c.signal(t, f)
			began, last, count := time.Now(), time.Now(), executionsOf(f, leaving)
			awaitAndTime(t, "end of new work", func() bool {
				if n := executionsOf(f, leaving); n != count {
					last, count = time.Now(), n
				}
				return time.Since(last) > 3*time.Second
			})
			t.Logf("last new request %v after the signal", last.Sub(began).Round(time.Millisecond))
			results := tally(stop())
			delete(results, "ran  200")
			if diff := cmp.Diff(map[string]int{}, results); diff != "" {
				t.Errorf("other results (-want +got):\n%s", diff)
			}
		})
	}
}

// The graceful shutdown of an entry instance must cut off no requests: those of
// callers with cached look-up answers and idle connections, those of other
// instances, and long streamed answers.
func TestGracefulShutdownCutsNothing(t *testing.T) {
	t.Parallel()
	for _, c := range []struct {
		name                               string
		callers, entryStreams, homeStreams int
	}{
		// http.Transport repeats a failed GET by itself, but not a POST.
		{"short requests", 60, 0, 0},
		{"streams through the instance", 4, 4, 0},
		{"streams of other instances", 4, 0, 8},
	} {
		t.Run(c.name, func(t *testing.T) { testGracefulShutdown(t, c.callers, c.entryStreams, c.homeStreams) })
	}
}

// preferredInstance returns the instance that look-up answers name first.
func preferredInstance(t *testing.T, f *fleet.Fleet) *fleet.Instance {
	t.Helper()
	answer, err := f.Caller("").Lookup(t.Context(), f.Instances[0].Listing.CallerAddress)
	if err != nil || len(answer.Instances) == 0 {
		t.Fatal("no look-up answer", err)
	}
	for _, i := range f.Instances {
		if i.Listing.Name == answer.Instances[0].Name {
			return i
		}
	}
	t.Fatal("unknown instance", answer)
	return nil
}

// testGracefulShutdown stops the instance that callers prefer. Meanwhile,
// entryStreams streams run through that instance, and homeStreams through the
// other instances to backend servers whose home may be the stopping one.
func testGracefulShutdown(t *testing.T, callers, entryStreams, homeStreams int) {
	f := startFleet(t, fleet.Options{Organisations: map[string]fleet.Rate{"tea": {Rate: 90000, Burst: 90000}},
		Services: []fleet.Service{
			{Name: "browse", Servers: 3, Slots: 9, Route: "methods = GET, POST\nidempotent = yes"},
			{Name: "stream", Servers: 3, Slots: 9, Route: "methods = GET\nidempotent = yes\ntimeout = 30s\nattempts = 1"},
		}})
	for name, s := range f.Servers {
		if strings.HasPrefix(name, "stream") {
			s.SetFaults(server.Faults{StreamMillis: 6000})
		}
	}
	leaving := preferredInstance(t, f)
	var entries []string
	for range entryStreams {
		entries = append(entries, leaving.Listing.CallerAddress)
	}
	for n := range homeStreams {
		entries = append(entries, f.Instances[(slices.Index(f.Instances, leaving)+1+n%2)%3].Listing.CallerAddress)
	}
	stop := sendLoad(t, f, callers, "POST", "/browse/x")
	var group sync.WaitGroup
	streams := make([]caller.Result, len(entries))
	for n := range streams {
		group.Go(func() { streams[n] = f.Caller("tea").SendTo(t.Context(), entries[n], "GET", "/stream/x", nil, nil) })
	}
	awaitAndTime(t, "streams", func() bool {
		return executionsOf(f, "stream-01")+executionsOf(f, "stream-02")+executionsOf(f, "stream-03") == len(streams)
	})
	awaitAndTime(t, "load", func() bool { return executionsOf(f, "browse-01") > 20 })
	began := time.Now()
	expectSignaled(t, leaving.Terminate())
	if !leaving.Wait(steeringWaitLimit) {
		t.Error("the instance did not stop")
	}
	t.Logf("drain time %v with a look-up lifetime of 1 s", time.Since(began).Round(time.Millisecond))
	group.Wait()
	for _, r := range streams {
		// The last line of the answer follows all pieces.
		if r.Err != nil || !strings.HasSuffix(r.Body, " ran GET /stream/x: \n") {
			t.Errorf("stream has %d pieces, error %v, outcome %s %s", strings.Count(r.Body, "piece"), r.Err, r.Outcome, r.Reason)
		}
	}
	results := tally(stop())
	t.Logf("results %v", results)
	delete(results, "ran  200")
	if diff := cmp.Diff(map[string]int{}, results); diff != "" {
		t.Errorf("other results (-want +got):\n%s", diff)
	}
}

// A backend server that fails every call must not stay in use because its
// health endpoint reports it as healthy, and it must return to service after it
// recovered.
func TestMisleadingHealthKeepsNoServer(t *testing.T) {
	t.Parallel()
	f := startFleet(t, fleet.Options{})
	f.Servers["browse-01"].SetFaults(server.Faults{FailAll: true, MisleadHealth: true})
	c := f.Caller("tea")
	good := 0
	took := awaitAndTime(t, "50 good answers in a row", func() bool {
		good++
		if r := c.Send(t.Context(), "GET", "/browse/x", nil, nil); r.Status != http.StatusOK {
			good = 0
		}
		return good == 50
	})
	t.Logf("50 good answers in a row after %v, %d calls of the failing server", took.Round(time.Millisecond), executionsOf(f, "browse-01"))
	f.Servers["browse-01"].SetFaults(server.Faults{})
	before := executionsOf(f, "browse-01")
	took = awaitAndTime(t, "return of the server", func() bool {
		c.Send(t.Context(), "GET", "/browse/x", nil, nil)
		return executionsOf(f, "browse-01") > before+10
	})
	t.Logf("10 calls of the recovered server after %v", took.Round(time.Millisecond))
}

// A home that was paused must not run requests whose deadline passed in the
// meantime.
func TestPausedHomeRunsNoExpiredRequests(t *testing.T) {
	t.Parallel()
	f := startFleet(t, fleet.Options{Instances: 2, Regions: []int{2}, LogLevel: "debug",
		Services: []fleet.Service{{Name: "browse", Servers: 1, Slots: 1, Route: "methods = GET\nidempotent = yes"}}})
	// The server is in the failure domain of the first instance, which is its
	// home.
	f.Servers["browse-01"].SetFaults(server.Faults{WorkMillis: 400})
	const requests = 12
	var group sync.WaitGroup
	for n := range requests {
		group.Go(func() {
			f.Caller("tea").SendTo(t.Context(), f.Instances[n%2].Listing.CallerAddress, "GET", "/browse/old", nil,
				http.Header{"Tamarackrun-Timeout-Ms": {"3000"}})
		})
	}
	awaitAndTime(t, "first execution", func() bool { return executionsOf(f, "browse-01") > 0 })
	// The time of a request begins when its entry instance reads it. One that is read
	// during the pause or after it has not expired when the home resumes.
	for _, i := range f.Instances {
		awaitAndTime(t, "requests that "+i.Listing.Name+" has read", func() bool {
			log, err := os.ReadFile(i.LogFile)
			return err == nil && bytes.Count(log, []byte(`"name":"requestAccepted"`)) == requests/len(f.Instances)
		})
	}
	expectSignaled(t, f.Instances[0].Pause())
	// The pause is longer than the timeout of all requests.
	time.Sleep(4 * time.Second)
	old := func() (n int) {
		for _, e := range f.Servers["browse-01"].Record().Executions {
			if e.Target == "/browse/old" {
				n++
			}
		}
		return n
	}
	before := old()
	expectSignaled(t, f.Instances[0].Resume())
	group.Wait()
	c := f.Caller("tea")
	awaitAndTime(t, "answer of the resumed home", func() bool {
		return c.SendTo(t.Context(), f.Instances[0].Listing.CallerAddress, "GET", "/browse/new", nil, nil).Outcome == "ran"
	})
	if diff := cmp.Diff(before, old()); diff != "" {
		t.Errorf("executions of expired requests (-before +after):\n%s", diff)
	}
}

// The home must enforce the cap on shifted requests even if an entry instance
// of another region sends more than the cap allows.
func TestHomeEnforcesShiftCap(t *testing.T) {
	t.Parallel()
	f := startFleet(t, fleet.Options{Instances: 2, Regions: []int{1, 1},
		Services: []fleet.Service{{Name: "browse", Servers: 1, Slots: 8, Route: "methods = GET\nidempotent = yes\nattempts = 1"}}})
	s := f.Servers["browse-01"]
	s.SetFaults(server.Faults{WorkMillis: 300})
	send := func() {
		var group sync.WaitGroup
		results := make([]caller.Result, 8)
		for n := range results {
			group.Go(func() {
				results[n] = f.Caller("tea").SendTo(t.Context(), f.Instances[1].Listing.CallerAddress, "GET", "/browse/x", nil, nil)
			})
		}
		group.Wait()
		if counts := tally(results); counts["notRun shiftCapped 503"] < 4 {
			t.Errorf("results %v, want at least 4 refusals for the cap of 4", counts)
		}
	}
	awaitAndTime(t, "4 shifted requests in flight", func() bool {
		send()
		return s.Record().MostInFlight >= 4
	})
	for range 10 {
		send()
	}
	if most := s.Record().MostInFlight; most > 4 {
		t.Errorf("%d shifted requests in flight, cap is 4", most)
	}
}

// TestAddedLatency logs the latency that the first and the second instance add.
// It fails only if requests fail.
func TestAddedLatency(t *testing.T) {
	f := startFleet(t, fleet.Options{Instances: 2, Regions: []int{2},
		Services: []fleet.Service{{Name: "browse", Servers: 1, Slots: 9, Route: "methods = GET\nidempotent = yes"}}})
	c, _ := document.Parse("fleet", []byte(f.Document))
	client := f.Caller("tea")
	for _, path := range []struct{ name, address string }{
		{"direct", c.Servers["browse-01"].Address},
		{"entry is home", f.Instances[0].Listing.CallerAddress},
		{"entry and home", f.Instances[1].Listing.CallerAddress},
	} {
		var latencies []time.Duration
		for n := range 1100 {
			r := client.SendTo(t.Context(), path.address, "GET", "/browse/x", nil, nil)
			if r.Err != nil || r.Status != http.StatusOK {
				t.Fatalf("%s: result %+v, want status 200", path.name, r)
			}
			if n >= 100 {
				latencies = append(latencies, r.Elapsed)
			}
			// The pause keeps the load below the organisation's rate per instance.
			time.Sleep(time.Millisecond)
		}
		slices.Sort(latencies)
		t.Logf("%s: p50 %v, p99 %v", path.name, latencies[len(latencies)/2], latencies[len(latencies)*99/100])
	}
}

// A request must not be retried after its answer began, because that would mix
// two answers. Where a retry is allowed, it must happen.
func TestRetriesOnlyBeforeTheAnswer(t *testing.T) {
	t.Parallel()
	f := startFleet(t, fleet.Options{})
	for _, c := range []struct {
		name   string
		faults server.Faults
		cut    bool
		runs   int
	}{
		{"truncated", server.Faults{TruncateAnswers: 1}, true, 1},
		// The region of origin has two servers, so the request runs twice; a single
		// refusal starts no shift.
		{"dropped", server.Faults{DropAnswers: 1}, true, 2},
	} {
		for _, s := range f.Servers {
			s.SetFaults(c.faults)
		}
		before := f.Executions("")
		r := f.Caller("tea").SendTo(t.Context(), f.Instances[0].Listing.CallerAddress, "GET", "/browse/x", nil, nil)
		if cut := r.Err != nil || r.Outcome != "ran"; cut != c.cut || f.Executions("")-before != c.runs {
			t.Errorf("%s: %d executions, result %+v, want %d executions", c.name, f.Executions("")-before, r, c.runs)
		}
	}
}

// Retries must not multiply the load when every request fails. Retries and
// denied retries must be counted by reason.
func TestRetryBudgetOfInstance(t *testing.T) {
	t.Parallel()
	const requests = 40
	f := startFleet(t, fleet.Options{Instances: 1, Regions: []int{1}, Services: []fleet.Service{
		{Name: "browse", Servers: 2, Slots: 3, Route: "methods = GET\nidempotent = yes\nattempts = 5"}}})
	for _, s := range f.Servers {
		s.SetFaults(server.Faults{DropAnswers: 1000})
	}
	began := time.Now()
	for range requests {
		f.Caller("tea").SendTo(t.Context(), f.Instances[0].Listing.CallerAddress, "GET", "/browse/x", nil, nil)
	}
	// The budget allows 10 retries in any 10 s.
	limit := requests + 10*(1+int(time.Since(began)/(10*time.Second)))
	if n := f.Executions(""); n <= requests || n > limit {
		t.Errorf("%d executions of %d requests, limit %d", n, requests, limit)
	}
	awaitAndTime(t, "counters in the metrics", func() bool {
		response, err := http.Get("http://" + f.Instances[0].Listing.ControlAddress + "/metrics")
		if err != nil {
			return false
		}
		defer func() { _ = response.Body.Close() }()
		text, _ := io.ReadAll(response.Body)
		return strings.Contains(string(text), `reason="answerLost",stage="retry"`) &&
			strings.Contains(string(text), `reason="answerLost",stage="retryDenied"`)
	})
}

// At normal load, no requests may be shifted to another region. An overloaded
// region must not refuse requests while another region has room. Shifted load
// must not exceed the cap even if callers of the overloaded region are directed
// to entry instances of the other one: their region of origin is known from
// their client block.
func TestOverloadedRegionShifts(t *testing.T) {
	t.Parallel()
	f := startFleet(t, fleet.Options{Instances: 2, Regions: []int{1, 1},
		Organisations: map[string]fleet.Rate{"tea": {Rate: 90000, Burst: 90000}},
		Services:      []fleet.Service{{Name: "browse", Servers: 2, Slots: 4, Route: "methods = GET\nidempotent = yes"}},
		ExtraDocument: "[base/clients/all]\nsite = r1-a\nblocks = 127.0.0.0/8\n"})
	for _, s := range f.Servers {
		s.SetFaults(server.Faults{WorkMillis: 50})
	}
	stop := sendLoad(t, f, 3, "GET", "/browse/x")
	awaitAndTime(t, "normal load", func() bool { return executionsOf(f, "browse-01") > 30 })
	stop()
	if n := executionsOf(f, "browse-02"); n != 0 {
		t.Errorf("%d requests were shifted at normal load", n)
	}
	stop = sendLoad(t, f, 60, "GET", "/browse/x")
	awaitAndTime(t, "shift", func() bool { return executionsOf(f, "browse-02") > 20 })
	t.Logf("results %v", tally(stop()))
	if most := f.Servers["browse-02"].Record().MostInFlight; most > 2 {
		t.Errorf("%d shifted requests in flight, cap is 2", most)
	}
}

// An entry instance must stop when an operator asks to drain it.
func TestDrainedInstanceStops(t *testing.T) {
	t.Parallel()
	f := startFleet(t, fleet.Options{})
	if _, err := f.Store.Put(t.Context(), "drain/instance/entry-2", []byte(`{"leaving":true}`), 0); err != nil {
		t.Fatal(err)
	}
	if !f.Instances[1].Wait(steeringWaitLimit) {
		t.Error("the instance did not stop")
	}
	if r := f.Caller("tea").Send(t.Context(), "GET", "/browse/x", nil, nil); r.Outcome != "ran" {
		t.Errorf("request after the stop: %+v, want the outcome ran", r)
	}
}
