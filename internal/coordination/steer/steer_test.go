package steer

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"tamarackrun"
	"tamarackrun/internal/coordination/health"
	"tamarackrun/internal/coordination/rendezvous"
	"tamarackrun/internal/state/registry"
)

func newBalancer() *Balancer {
	b := New()
	b.AdmitCold = func(time.Time, *registry.Server) bool { return false }
	b.CountWarm = func(time.Time, *registry.Server) {}
	b.ColdTime = func(string) time.Duration { return 3 * time.Second }
	return b
}

func servers(n int) []*registry.Server {
	var list []*registry.Server
	for i := range n {
		list = append(list, &registry.Server{Name: fmt.Sprint("server-", i), Hash: rendezvous.Hash(fmt.Sprint("server-", i)), Region: []string{"a", "b"}[i%2],
			ServerRecord: tamarackrun.ServerRecord{Slots: 3}})
	}
	return list
}

// Guards against instances that rank the servers of an object differently, which sends
// its requests to servers that do not have the object's data.
func TestInstancesAgreeOnRank(t *testing.T) {
	now, list := time.Now(), servers(12)
	reversed := make([]*registry.Server, len(list))
	for i, v := range list {
		reversed[len(list)-1-i] = v
	}
	for i := range 50 {
		q := Query{Object: fmt.Sprint("object-", i), Region: "a"}
		first, _ := newBalancer().Choose(now, list, q)
		second, _ := newBalancer().Choose(now, reversed, q)
		if first.Server != second.Server {
			t.Fatalf("object %d: one instance chooses %s and another one %s", i, first.Server.Name, second.Server.Name)
		}
	}
}

// Guards against choosing a server outside the allowed regions.
func TestAllowedRegions(t *testing.T) {
	b := newBalancer()
	for i := range 20 {
		c, _ := b.Choose(time.Now(), servers(12), Query{Object: fmt.Sprint(i), Region: "a", AllowedRegions: [][]string{{"b"}, nil}})
		if c.Server.Region != "b" {
			t.Fatalf("object %d runs in region %s", i, c.Server.Region)
		}
	}
	// The lists of the route and of the organisation apply together.
	_, reason := b.Choose(time.Now(), servers(12), Query{Region: "a", AllowedRegions: [][]string{{"b"}, {"a"}}})
	if diff := cmp.Diff(tamarackrun.NoHealthyServer, reason); diff != "" {
		t.Errorf("reason (-want +got):\n%s", diff)
	}
}

// Guards against sending all requests for an object to one server, however busy it is.
func TestFullServersAreSkipped(t *testing.T) {
	b, list := newBalancer(), servers(2)
	counts := map[string]int{}
	refused := 0
	for range 2*maxOutstanding + 1 {
		c, reason := b.Choose(time.Now(), list, Query{Object: "x", Region: "a"})
		if reason != "" {
			refused++
			continue
		}
		counts[c.Server.Name]++
	}
	if diff := cmp.Diff(map[string]int{"server-0": maxOutstanding, "server-1": maxOutstanding}, counts); diff != "" || refused != 1 {
		t.Errorf("counts (-want +got):\n%s refused %d", diff, refused)
	}
}

// Guards against further requests to a server whose connection failed, and against a
// backoff that outlasts the replacement of the server's process.
func TestUnreachableServersAreSkipped(t *testing.T) {
	b, list, now := newBalancer(), servers(2), time.Now()
	q := Query{Object: "x", Region: "a"}
	first, _ := b.Choose(now, list, q)
	b.Done(now, first, health.Failure, true, 2)
	second, _ := b.Choose(now, list, q)
	b.Done(now, second, health.Success, false, 2)
	if first.Server == second.Server {
		t.Error("the next request goes to the server whose connection failed")
	}
	restarted := *first.Server
	restarted.StartMillis++
	list = []*registry.Server{&restarted, second.Server}
	third, _ := b.Choose(now, list, q)
	if third.Server.Name != first.Server.Name {
		t.Error("a new process of the same name is still skipped")
	}
}

// Guards against a pause and an ejection of a server's new process for failures of requests that were sent to the
// previous one and that end late, by a timeout.
func TestFailuresOfPreviousProcessDoNotCount(t *testing.T) {
	b, list, now := newBalancer(), servers(1), time.Now()
	q := Query{Region: "a"}
	var choices []Choice
	for range maxOutstanding - 1 {
		c, _ := b.Choose(now, list, q)
		choices = append(choices, c)
	}
	restarted := *list[0]
	restarted.StartMillis++
	list = []*registry.Server{&restarted}
	if _, reason := b.Choose(now, list, q); reason != "" {
		t.Fatalf("reason %q for the new process", reason)
	}
	for i, c := range choices {
		if ejected, _ := b.Done(now, c, health.Failure, i == 0, 9); ejected {
			t.Error("the new process is ejected")
		}
	}
	c, reason := b.Choose(now, list, q)
	if reason != "" || c.Outstanding != 1 {
		t.Errorf("reason %q with %d outstanding requests for the new process after failures of the previous one, want none with 1", reason, c.Outstanding)
	}
}

// Guards against the load and the rate limit that a server's previous process has named in a late answer and that count for
// the new one.
func TestReportsOfPreviousProcessDoNotCount(t *testing.T) {
	b, list, now := newBalancer(), servers(1), time.Now()
	q := Query{Region: "a", TargetLatency: time.Second}
	b.AdmitLimited = func(time.Time, *registry.Server, float64) (bool, time.Duration) { return false, time.Second }
	late, _ := b.Choose(now, list, q)
	restarted := *list[0]
	restarted.StartMillis++
	list = []*registry.Server{&restarted}
	if _, reason := b.Choose(now, list, q); reason != "" {
		t.Fatalf("reason %q for the new process", reason)
	}
	limit := 0.1
	b.ReportLimit(now, late.Server, &limit, now)
	if _, reason := b.Choose(now, list, q); reason != "" {
		t.Errorf("reason %q for the new process after a limit of the previous one", reason)
	}
	b.ReportLoad(now, late.Server, 9, 3, 5*time.Second)
	if _, reason := b.Choose(now, list, q); reason != "" {
		t.Errorf("reason %q for the new process after a queue of the previous one", reason)
	}
}

// Guards against requests to cold servers that AdmitCold does not allow.
func TestColdServersAreLimited(t *testing.T) {
	b, now := newBalancer(), time.Now()
	list := servers(1)
	list[0].ColdUntil = now.Add(time.Second)
	if _, reason := b.Choose(now, list, Query{Region: "a"}); reason != tamarackrun.ServerCold {
		t.Errorf("reason %q while the server is cold, want serverCold", reason)
	}
	if _, reason := b.Choose(now.Add(time.Second), list, Query{Region: "a"}); reason != "" {
		t.Errorf("reason %q when the server is warm, want none", reason)
	}
}

// Guards against a burst of requests to a server that restarted under its old record:
// an instance that is cut off from the store does not learn that the server is cold.
func TestServerIsColdAfterFailedConnection(t *testing.T) {
	b, now := newBalancer(), time.Now()
	list, q := servers(1), Query{Region: "a"}
	c, _ := b.Choose(now, list, q)
	b.Done(now, c, health.Failure, true, 1)
	if _, reason := b.Choose(now.Add(initialBackoff+time.Second), list, q); reason != tamarackrun.ServerCold {
		t.Errorf("reason %q while the server may be cold, want serverCold", reason)
	}
	if _, reason := b.Choose(now.Add(initialBackoff+4*time.Second), list, q); reason != "" {
		t.Errorf("reason %q when the server is warm, want none", reason)
	}
}

// Guards against a failing server that is not ejected because servers of other services
// are: the limit on ejected servers applies to each service.
func TestEjectionsOfOtherServicesDoNotCount(t *testing.T) {
	b, now := newBalancer(), time.Now()
	failUntilEjected := func(service string) bool {
		list := servers(4)
		for _, v := range list {
			v.Name, v.Service = service+"-"+v.Name, service
		}
		for range 200 {
			now = now.Add(10 * time.Millisecond)
			c, reason := b.Choose(now, list, Query{Object: "x", Region: "a"})
			if reason != "" {
				t.Fatalf("no server is chosen, reason %q", reason)
			}
			if ejected, _ := b.Done(now, c, health.Failure, false, len(list)); ejected {
				return true
			}
		}
		return false
	}
	for _, service := range []string{"one", "two", "three"} {
		if !failUntilEjected(service) {
			t.Errorf("no server of service %s is ejected", service)
		}
	}
}

// Guards against overloading the servers of a small region when all regions have the
// same demand: their queues become longer than the others, and objects of the region
// then move to other servers. The users allow 15 in 100 requests to change servers. The
// test allows the region 15% more requests than its fraction of the servers.
func TestSmallRegionsAreNotOverloaded(t *testing.T) {
	var list []*registry.Server
	for region, n := range map[string]int{"a": 2, "b": 6, "c": 6} {
		for i := range n {
			list = append(list, &registry.Server{Name: fmt.Sprint(region, i), Hash: rendezvous.Hash(fmt.Sprint(region, i)), Region: region, ServerRecord: tamarackrun.ServerRecord{Slots: 9}})
		}
	}
	const objects = 20_000
	counts := map[string]float64{}
	for _, region := range []string{"a", "b", "c"} {
		for i := range objects {
			b := newBalancer()
			c, _ := b.Choose(time.Time{}, list, Query{Object: fmt.Sprint(i), Region: region})
			counts[c.Server.Region]++
		}
	}
	fraction := counts["a"] / (3 * objects)
	if want := 2.0 / 14; fraction > 1.15*want {
		t.Errorf("the region with 2 of 14 servers gets a fraction of %.3f of the requests, its fraction of the servers is %.3f", fraction, want)
	}
	t.Logf("requests by region: %v", counts)
}

// Guards against requests that wait in a long queue until their answers are late while
// a server with an empty queue could run them, and against load reports that never
// expire.
func TestLongQueues(t *testing.T) {
	q := Query{Object: "x", Region: "a", TargetLatency: time.Second}
	tests := map[string]struct {
		// first and second are the numbers of waiting requests that the best and the
		// second server report; -1 means no report. Each server has 3 slots.
		first, second       int
		responseTime, after time.Duration
		// want is the rank of the chosen server, or -1 if the request is refused.
		want int
	}{
		"no report":                      {-1, -1, 5 * time.Second, 0, 0},
		"short queue":                    {2, 0, 5 * time.Second, 0, 0},
		"long queue":                     {3, -1, 5 * time.Second, 0, -1},
		"long queue, second has room":    {3, 0, 5 * time.Second, 0, 1},
		"long queue, second has a queue": {3, 1, 5 * time.Second, 0, -1},
		"answers come early":             {3, 0, time.Second, 0, 0},
		"old report":                     {3, 3, 5 * time.Second, reportLifetime, 0},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			b, list, now := newBalancer(), servers(6), time.Now()
			firstChoice, _ := b.Choose(now, list, q)
			secondChoice, _ := b.Choose(now, list, Query{Object: "x", Region: "a", Tried: []string{firstChoice.Server.Name}})
			for server, waiting := range map[*registry.Server]int{firstChoice.Server: test.first, secondChoice.Server: test.second} {
				if waiting >= 0 {
					b.ReportLoad(now, server, waiting, 3, test.responseTime)
				}
			}
			got := -1
			if c, reason := b.Choose(now.Add(test.after), list, q); reason == "" {
				got = c.Rank
			} else if reason != tamarackrun.ServerBusy || c.Server != firstChoice.Server || c.Overload == nil || c.Overload.Waiting != test.first {
				t.Errorf("reason %q, choice %v, want the first server and its overload", reason, c)
			}
			if got != test.want {
				t.Errorf("rank %d, want %d", got, test.want)
			}
		})
	}
}

// Guards against refusing requests without an object while some server has no long
// queue, and against refusing requests for the last report of an ejected server.
func TestLongQueuesOfSomeServers(t *testing.T) {
	b, list, now := newBalancer(), servers(3), time.Now()
	q := Query{Region: "a", TargetLatency: time.Second}
	for i := range list {
		if c, reason := b.Choose(now, list, q); reason != "" {
			t.Fatalf("reason %q with %d servers without a long queue", reason, len(list)-i)
		} else {
			b.ReportLoad(now, c.Server, 3, 3, 5*time.Second)
		}
	}
	if _, reason := b.Choose(now, list, q); reason != tamarackrun.ServerBusy {
		t.Errorf("reason %q when all have long queues, want serverBusy", reason)
	}

	b, q.Object = newBalancer(), "x"
	for range 200 {
		now = now.Add(10 * time.Millisecond)
		c, _ := b.Choose(now, list, q)
		b.ReportLoad(now, c.Server, 0, 3, 5*time.Second)
		if ejected, _ := b.Done(now, c, health.Failure, false, 6); ejected {
			b.ReportLoad(now, c.Server, 3, 3, 5*time.Second)
			break
		}
	}
	if c, reason := b.Choose(now, list, q); reason != "" || c.Rank == 0 {
		t.Errorf("reason %q, rank %d while the best server is ejected", reason, c.Rank)
	}
}

// Guards against requests to a server beyond the rate limit that it has named, and against a
// refusal without the time at which it takes the next request.
func TestRateLimitOfServer(t *testing.T) {
	b, now, list, q := newBalancer(), time.Now(), servers(2), Query{Region: "a", Object: "object"}
	first, _ := b.Choose(now, list, q)
	limit, admits := 4.0, true
	b.AdmitLimited = func(_ time.Time, server *registry.Server, got float64) (bool, time.Duration) {
		if server.Name != first.Server.Name || got != limit {
			t.Errorf("limit %g of %s is checked, want %g of %s", got, server.Name, limit, first.Server.Name)
		}
		return admits, time.Second
	}
	b.ReportLimit(now, first.Server, &limit, now.Add(-time.Second))
	// A slow request from before the limit is answered without one (the soak, LIMIT, seed 900031).
	b.ReportLimit(now.Add(time.Second), first.Server, nil, now.Add(-time.Second))
	if c, _ := b.Choose(now, list, q); c.Server != first.Server {
		t.Error("a server within its limit is not chosen")
	}
	admits = false
	if c, reason := b.Choose(now, list, q); reason != "" || c.Server == first.Server {
		t.Errorf("reason %q; the request must go to the other server", reason)
	}
	q.Tried = []string{list[0].Name, list[1].Name}
	q.Tried = slices.DeleteFunc(q.Tried, func(name string) bool { return name == first.Server.Name })
	if c, reason := b.Choose(now, list, q); reason != tamarackrun.ServerLimited || c.RetryAfter != time.Second {
		t.Errorf("reason %q and %s, want %q and a second", reason, c.RetryAfter, tamarackrun.ServerLimited)
	}
	admits, q.Tried = true, nil
	returned := 0
	b.ReturnLimited = func(time.Time, *registry.Server) { returned++ }
	for _, connectFailed := range []bool{false, true} {
		c, _ := b.Choose(now, list, q)
		b.Done(now, c, health.Inconclusive, connectFailed, 2)
	}
	if returned != 1 {
		t.Errorf("%d tokens of one request that reached the server and one that did not are given back, want 1", returned)
	}
	now = now.Add(time.Minute)
	b.ReportLimit(now, first.Server, nil, now.Add(-time.Second))
	if c, _ := b.Choose(now, list, q); c.Server != first.Server {
		t.Error("a server whose limit has ended is not chosen")
	}
}

// Guards against a server that gets requests as if it were warm after it has said that it is
// cold, and against a late answer of its previous process.
func TestMarkedServerIsCold(t *testing.T) {
	b, now, list, q := newBalancer(), time.Now(), servers(1), Query{Region: "a"}
	c, _ := b.Choose(now, list, q)
	previous := *list[0]
	previous.StartMillis--
	b.MarkCold(&previous, now.Add(time.Second))
	if _, reason := b.Choose(now, list, q); reason != "" {
		t.Errorf("reason %q after an answer of the previous process", reason)
	}
	b.Done(now, c, health.Failure, true, 1)
	b.MarkCold(&previous, now.Add(time.Second))
	if _, reason := b.Choose(now.Add(initialBackoff/2), list, q); reason != tamarackrun.ServerPaused {
		t.Error("an answer of the previous process ends the pause after a failed connection")
	}
	now = now.Add(initialBackoff + b.ColdTime(""))
	b.MarkCold(list[0], now.Add(time.Second))
	if _, reason := b.Choose(now, list, q); reason != tamarackrun.ServerCold {
		t.Errorf("reason %q for a cold server without a share, want %q", reason, tamarackrun.ServerCold)
	}
	if _, reason := b.Choose(now.Add(time.Second), list, q); reason != "" {
		t.Errorf("reason %q once the server is warm", reason)
	}
}

// Guards against refusals that do not say why no server was chosen: an instance that has lost its
// links to the servers looked like one whose requests wait.
func TestRefusalSaysWhyServersWereSkipped(t *testing.T) {
	b, now, list, q := newBalancer(), time.Now(), servers(3), Query{Region: "a"}
	for range 3 {
		c, _ := b.Choose(now, list, q)
		b.Done(now, c, health.Failure, true, 3)
	}
	refused, reason := b.Choose(now, list, q)
	if diff := cmp.Diff([]any{tamarackrun.ServerPaused, Skipped{Paused: 3}}, []any{reason, refused.Skipped}); diff != "" {
		t.Errorf("reason and skipped servers after failed connections (-want +got):\n%s", diff)
	}
	b, list = newBalancer(), servers(1)
	for range maxOutstanding {
		b.Choose(now, list, q)
	}
	refused, reason = b.Choose(now, list, q)
	if diff := cmp.Diff([]any{tamarackrun.QueueFull, Skipped{Full: 1}}, []any{reason, refused.Skipped}); diff != "" {
		t.Errorf("reason and skipped servers with outstanding requests (-want +got):\n%s", diff)
	}
}

// Guards against pauses and ejections that outlast a cut of the instance's links: they refused requests
// for seconds after the links were back. What a server has done before the cut still counts.
func TestFailuresOfACutAreForgiven(t *testing.T) {
	b, now, list, q := newBalancer(), time.Now(), servers(4), Query{Region: "a"}
	fail := func(connectFailed bool) *registry.Server {
		c, reason := b.Choose(now, list, q)
		if reason != "" {
			t.Fatalf("refused with %q", reason)
		}
		b.Done(now, c, health.Failure, connectFailed, len(list))
		return c.Server
	}
	before := fail(true)
	cut := now.Add(time.Millisecond)
	now = cut
	for range 2 {
		fail(true)
	}
	for range 5 {
		fail(false)
	}
	if _, reason := b.Choose(now, list, q); reason == "" {
		t.Fatal("a server is chosen although all are paused or ejected")
	}
	b.Forgive(cut)
	b.AdmitCold = func(time.Time, *registry.Server) bool { return true }
	chosen := map[string]bool{}
	for range 3 * maxOutstanding {
		c, _ := b.Choose(now, list, q)
		if c.Server != nil {
			chosen[c.Server.Name] = true
		}
	}
	if len(chosen) != 3 || chosen[before.Name] {
		t.Errorf("servers %v get requests, want the three that failed in the cut only", chosen)
	}
}
