package steer

import (
	"fmt"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"tamarackrun"
	"tamarackrun/internal/coordination/health"
	"tamarackrun/internal/state/registry"
)

func newSteering() *Balancer {
	s := New()
	s.AdmitCold = func(time.Time, *registry.Server) bool { return false }
	s.ColdTime = func(string) time.Duration { return 3 * time.Second }
	return s
}

func servers(n int) []*registry.Server {
	var list []*registry.Server
	for i := range n {
		list = append(list, &registry.Server{Name: fmt.Sprint("server-", i), Region: []string{"a", "b"}[i%2],
			ServerRecord: tamarackrun.ServerRecord{Slots: 3}})
	}
	return list
}

// Guards against instances that rank differently, which makes servers handle
// objects that they do not know.
func TestInstancesAgreeOnRank(t *testing.T) {
	now, list := time.Now(), servers(12)
	reversed := make([]*registry.Server, len(list))
	for i, v := range list {
		reversed[len(list)-1-i] = v
	}
	for i := range 50 {
		q := Query{Object: fmt.Sprint("object-", i), Region: "a"}
		one, _ := newSteering().Choose(now, list, q)
		two, _ := newSteering().Choose(now, reversed, q)
		if one.Server != two.Server {
			t.Fatalf("object %d: %s and %s", i, one.Server.Name, two.Server.Name)
		}
	}
}

func TestRegionsBind(t *testing.T) {
	s := newSteering()
	for i := range 20 {
		c, _ := s.Choose(time.Now(), servers(12), Query{Object: fmt.Sprint(i), Region: "a", AllowedRegions: [][]string{{"b"}, nil}})
		if c.Server.Region != "b" {
			t.Fatalf("object %d runs in region %s", i, c.Server.Region)
		}
	}
	// Route and organisation both bind.
	_, reason := s.Choose(time.Now(), servers(12), Query{Region: "a", AllowedRegions: [][]string{{"b"}, {"a"}}})
	if diff := cmp.Diff(tamarackrun.NoHealthyServer, reason); diff != "" {
		t.Errorf("reason (-want +got):\n%s", diff)
	}
}

// Guards against one server that gets all requests for an object however busy
// it is.
func TestFullServersPassOn(t *testing.T) {
	s, list := newSteering(), servers(2)
	counts := map[string]int{}
	refused := 0
	for range 2*maxOutstanding + 1 {
		c, reason := s.Choose(time.Now(), list, Query{Object: "x", Region: "a"})
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

// Guards against requests that go on to a server whose connections fail, and
// against a suspicion that stays when another process takes its place.
func TestFailedConnectionsPassOn(t *testing.T) {
	s, list, now := newSteering(), servers(2), time.Now()
	q := Query{Object: "x", Region: "a"}
	first, _ := s.Choose(now, list, q)
	s.Done(now, first, health.Failure, true, 2)
	second, _ := s.Choose(now, list, q)
	s.Done(now, second, health.Success, false, 2)
	if first.Server == second.Server {
		t.Error("the next request goes to the server whose connection failed")
	}
	reborn := *first.Server
	reborn.StartMillis++
	list = []*registry.Server{&reborn, second.Server}
	third, _ := s.Choose(now, list, q)
	if third.Server.Name != first.Server.Name {
		t.Error("a new process behind the name is still suspected")
	}
}

// Guards against requests to cold servers beyond their limit.
func TestColdServersAreAsked(t *testing.T) {
	s, now := newSteering(), time.Now()
	list := servers(1)
	list[0].ColdUntil = now.Add(time.Second)
	if _, reason := s.Choose(now, list, Query{Region: "a"}); reason != tamarackrun.QueueFull {
		t.Errorf("reason %q", reason)
	}
	if _, reason := s.Choose(now.Add(time.Second), list, Query{Region: "a"}); reason != "" {
		t.Errorf("reason %q when the server is warm", reason)
	}
}

// Guards against a rush to a server that started again under its old record: an
// instance that is cut off from the store does not learn that it is cold.
func TestRefusedServerReturnsCold(t *testing.T) {
	s, now := newSteering(), time.Now()
	list, q := servers(1), Query{Region: "a"}
	c, _ := s.Choose(now, list, q)
	s.Done(now, c, health.Failure, true, 1)
	if _, reason := s.Choose(now.Add(firstSuspicion+time.Second), list, q); reason != tamarackrun.QueueFull {
		t.Errorf("reason %q while the server may be cold", reason)
	}
	if _, reason := s.Choose(now.Add(firstSuspicion+4*time.Second), list, q); reason != "" {
		t.Errorf("reason %q later", reason)
	}
}

// Guards against a failing server that keeps its requests because servers of
// other services are ejected: the limit is one service's own.
func TestEjectionsOfOtherServicesDoNotCount(t *testing.T) {
	s, now := newSteering(), time.Now()
	failUntilEjected := func(service string) bool {
		list := servers(4)
		for _, v := range list {
			v.Name, v.Service = service+"-"+v.Name, service
		}
		for range 200 {
			now = now.Add(10 * time.Millisecond)
			c, reason := s.Choose(now, list, Query{Object: "x", Region: "a"})
			if reason != "" {
				t.Fatalf("reason %q", reason)
			}
			if ejected, _ := s.Done(now, c, health.Failure, false, len(list)); ejected {
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

// Guards against a region with few servers that get more than their part when
// all regions ask for the same: their queues outlast the others, and the requests
// of the region change where they run. The users' bound on such changes is 15 in
// 100.
func TestSmallRegionsAreNotOverloaded(t *testing.T) {
	var list []*registry.Server
	for region, n := range map[string]int{"a": 2, "b": 6, "c": 6} {
		for i := range n {
			list = append(list, &registry.Server{Name: fmt.Sprint(region, i), Region: region, ServerRecord: tamarackrun.ServerRecord{Slots: 9}})
		}
	}
	const objects = 20_000
	counts := map[string]float64{}
	for _, region := range []string{"a", "b", "c"} {
		for i := range objects {
			s := newSteering()
			c, _ := s.Choose(time.Time{}, list, Query{Object: fmt.Sprint(i), Region: region})
			counts[c.Server.Region]++
		}
	}
	part := counts["a"] / (3 * objects)
	if want := 2.0 / 14; part > 1.15*want {
		t.Errorf("the region with 2 of 14 servers gets a part of %.3f of the requests, %.3f is its own", part, want)
	}
	t.Logf("parts: %v", counts)
}

// Guards against requests that wait behind a long queue until their answers are
// late, while a server without a queue could run them, and against reports that
// count for ever.
func TestLongQueues(t *testing.T) {
	q := Query{Object: "x", Region: "a", TargetLatency: time.Second}
	tests := map[string]struct {
		// The waiting requests that the first and the second server report; -1
		// is no report. Each has 3 slots.
		first, second int
		took, later   time.Duration
		// want is the rank of the chosen server, -1 if the request is refused.
		want int
	}{
		"no report":                      {-1, -1, 5 * time.Second, 0, 0},
		"short queue":                    {2, 0, 5 * time.Second, 0, 0},
		"long queue":                     {3, -1, 5 * time.Second, 0, -1},
		"long queue, second has room":    {3, 0, 5 * time.Second, 0, 1},
		"long queue, second has a queue": {3, 1, 5 * time.Second, 0, -1},
		"answers come early":             {3, 0, time.Second, 0, 0},
		"old report":                     {3, 3, 5 * time.Second, reportAge, 0},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			s, list, now := newSteering(), servers(6), time.Now()
			one, _ := s.Choose(now, list, q)
			two, _ := s.Choose(now, list, Query{Object: "x", Region: "a", Tried: []string{one.Server.Name}})
			for server, waiting := range map[string]int{one.Server.Name: test.first, two.Server.Name: test.second} {
				if waiting >= 0 {
					s.ReportLoad(now, server, waiting, 3, test.took)
				}
			}
			got := -1
			if c, reason := s.Choose(now.Add(test.later), list, q); reason == "" {
				got = c.Rank
			} else if reason != tamarackrun.ServerBusy || c.Server != one.Server || c.Overload == nil || c.Overload.Waiting != test.first {
				t.Errorf("reason %q, choice %v", reason, c)
			}
			if got != test.want {
				t.Errorf("rank %d, want %d", got, test.want)
			}
		})
	}
}

// Guards against requests without an object that are refused while some server has
// no long queue, and against an ejected server whose last report refuses requests.
func TestLongQueuesOfSomeServers(t *testing.T) {
	s, list, now := newSteering(), servers(3), time.Now()
	q := Query{Region: "a", TargetLatency: time.Second}
	for i := range list {
		if c, reason := s.Choose(now, list, q); reason != "" {
			t.Fatalf("reason %q with %d servers without a long queue", reason, len(list)-i)
		} else {
			s.ReportLoad(now, c.Server.Name, 3, 3, 5*time.Second)
		}
	}
	if _, reason := s.Choose(now, list, q); reason != tamarackrun.ServerBusy {
		t.Errorf("reason %q when all have long queues", reason)
	}

	s, q.Object = newSteering(), "x"
	for range 200 {
		now = now.Add(10 * time.Millisecond)
		c, _ := s.Choose(now, list, q)
		s.ReportLoad(now, c.Server.Name, 0, 3, 5*time.Second)
		if ejected, _ := s.Done(now, c, health.Failure, false, 6); ejected {
			s.ReportLoad(now, c.Server.Name, 3, 3, 5*time.Second)
			break
		}
	}
	if c, reason := s.Choose(now, list, q); reason != "" || c.Rank == 0 {
		t.Errorf("reason %q, rank %d while the best server is ejected", reason, c.Rank)
	}
}
