package steer

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"tamarackrun"
	"tamarackrun/internal/coordination/health"
	"tamarackrun/internal/state/registry"
)

// Guards against requests to a server that has said that it leaves, whatever its record says, and
// against a new process that is barred for what an earlier one of its name or address has said.
func TestLeavingServerGetsNothing(t *testing.T) {
	b, now := newBalancer(), time.Now()
	list, q := servers(2), Query{Object: "x", Region: "a"}
	list[0].StartMillis, list[0].Address = 7, "127.0.0.1:1"
	list[1].StartMillis, list[1].Address = 8, "127.0.0.1:2"
	if !b.ReportNotice(now, list[0], true, 0) || b.ReportNotice(now, list[0], true, 0) {
		t.Error("the first notice is not new, or the second one is")
	}
	b.Forget(now.Add(time.Minute), func(string) bool { return false })
	for _, after := range []time.Duration{0, time.Minute} {
		for range 20 {
			if c, reason := b.Choose(now.Add(after), list, q); reason != "" || c.Server != list[1] {
				t.Fatalf("server %v, reason %q after %s, want the other server", c.Server, reason, after)
			} else {
				b.Done(now, c, health.Success, false, 2)
			}
		}
	}
	c, reason := b.Choose(now.Add(time.Second), list[:1], q)
	if diff := cmp.Diff(Choice{Server: list[0], HeardAge: time.Second}, c); diff != "" || reason != tamarackrun.ServerLeaving {
		t.Errorf("refusal (-want +got):\n%sreason %q, want serverLeaving", diff, reason)
	}
	for name, change := range map[string]func(*registry.Server){
		"a new process":     func(s *registry.Server) { s.StartMillis = 9 },
		"at a new address":  func(s *registry.Server) { s.Address = "127.0.0.1:3" },
		"with another name": func(s *registry.Server) { s.Name = "other" },
	} {
		changed := *list[0]
		change(&changed)
		if b.Barred(now, &changed) {
			t.Errorf("%s is barred", name)
		}
	}
	b.Forget(now.Add(noticeMemory+2*time.Minute), func(string) bool { return false })
	if b.Barred(now, list[0]) {
		t.Error("the notice is never forgotten")
	}
}

// Guards against requests to a server that wants none for some time, and against callers that are told
// to come back before any server takes their request.
func TestRestingServerGetsNothing(t *testing.T) {
	b, now := newBalancer(), time.Now()
	list, q := servers(2), Query{Object: "x", Region: "a"}
	b.ReportNotice(now, list[0], false, 3*time.Second)
	b.ReportNotice(now, list[0], false, time.Second)
	b.ReportNotice(now, list[1], false, 5*time.Second)
	c, reason := b.Choose(now.Add(time.Second), list, q)
	if diff := cmp.Diff(Choice{Server: list[0], RetryAfter: 2 * time.Second, HeardAge: time.Second}, c); diff != "" || reason != tamarackrun.ServerResting {
		t.Errorf("refusal (-want +got):\n%sreason %q, want serverResting", diff, reason)
	}
	if c, reason := b.Choose(now.Add(3*time.Second), list, q); c.Server != list[0] || reason != "" {
		t.Errorf("server %v, reason %q after the rest, want the first server", c.Server, reason)
	}
}
