package coldstart

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// Guards against more requests to a cold server than its limit in any second, summed
// over all instances, and against a server that gets none although its limit allows
// some.
func TestFleetKeepsLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limit := rapid.Float64Range(1, 40).Draw(t, "limit")
		var names []string
		for i := range rapid.IntRange(1, 40).Draw(t, "instances") {
			names = append(names, fmt.Sprint("instance-", i))
		}
		var sent []time.Time
		limiters := make([]*Limiter, len(names))
		for i, name := range names {
			limiters[i] = &Limiter{Name: name}
		}
		start := time.Unix(1000, 0)
		for ms := 0; ms < 3000; ms += 20 {
			now := start.Add(time.Duration(ms) * time.Millisecond)
			for _, l := range limiters {
				if l.Admit(now, "server", limit, names) {
					sent = append(sent, now)
				}
			}
		}
		from := 0
		for to := range sent {
			for sent[to].Sub(sent[from]) >= time.Second {
				from++
			}
			if got := to - from + 1; float64(got) > limit {
				t.Fatalf("%d requests in a second, limit %.1f", got, limit)
			}
		}
		if len(sent) == 0 && limit*usedFraction >= 1 {
			t.Fatal("the server gets no requests")
		}
	})
}

// Guards against a flood of a server that has turned cold: each instance added its whole share
// to the requests that it had sent before it knew.
func TestRequestsBeforeColdCount(t *testing.T) {
	l, names, now := &Limiter{Name: "a"}, []string{"a", "b"}, time.Unix(1000, 0)
	const limit = 20
	share := l.share("server", limit*usedFraction, names)
	for range share - 1 {
		l.Count(now, "server")
	}
	now = now.Add(window / 2)
	if !l.Admit(now, "server", limit, names) || l.Admit(now, "server", limit, names) {
		t.Error("the share does not include the requests that were sent before")
	}
	now = now.Add(window / 2)
	if !l.Admit(now, "server", limit, names) {
		t.Error("requests before the window count")
	}
}
