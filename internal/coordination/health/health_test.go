package health

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"tamarackrun/internal/standin/property"
)

func TestMain(m *testing.M) { property.Main(m) }

// Guards against ejections by single failures or inconclusive results, and against
// a server that fails more than half of its requests and is never ejected.
func TestEjection(t *testing.T) {
	for _, c := range []struct {
		name    string
		results []Result
		repeat  int
		want    bool
	}{
		{"four failures", []Result{Failure}, 4, false},
		{"five failures", []Result{Failure}, 5, true},
		{"cancelled requests", []Result{Inconclusive}, 50, false},
		{"half of them fail", []Result{Failure, Success}, 50, false},
		{"two of three fail", []Result{Failure, Success, Failure}, 7, true},
		{"two of three fail, too few results", []Result{Failure, Success, Failure}, 6, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			var tracker Tracker
			for range c.repeat {
				for _, r := range c.results {
					tracker.Observe(0, r, true)
				}
			}
			if diff := cmp.Diff(c.want, tracker.Ejected()); diff != "" {
				t.Errorf("ejected (-want +got):\n%s", diff)
			}
		})
	}
}

// Guards against ejections that never grow or grow without bound.
func TestEjectionTimeGrows(t *testing.T) {
	var tracker Tracker
	for range ejectAfterFailures {
		tracker.Observe(0, Failure, true)
	}
	var times []time.Duration
	for range 6 {
		times = append(times, tracker.ejectionTime)
		tracker.Admit(tracker.probeAt, true)
		tracker.ObserveProbe(tracker.probeAt, Failure)
	}
	want := []time.Duration{5, 10, 20, 40, 60, 60}
	for i := range want {
		want[i] *= time.Second
	}
	if diff := cmp.Diff(want, times); diff != "" {
		t.Errorf("ejection times (-want +got):\n%s", diff)
	}
}

// Guards against reinstatement by anything but a successful probe, against two
// probes at the same time, and against ejections of more than a third of the
// service's servers.
func TestEjectionProperties(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		servers := make([]Tracker, rapid.IntRange(1, 16).Draw(t, "servers"))
		probes := make([]bool, len(servers))
		count := func() (n int) {
			for i := range servers {
				if servers[i].Ejected() {
					n++
				}
			}
			return n
		}
		var now time.Duration
		for range rapid.IntRange(0, 300).Draw(t, "steps") {
			now += time.Duration(rapid.IntRange(0, 2000).Draw(t, "ms")) * time.Millisecond
			i := rapid.IntRange(0, len(servers)-1).Draw(t, "server")
			s, before := &servers[i], servers[i].Ejected()
			result := rapid.SampledFrom([]Result{Inconclusive, Success, Failure, Failure, Failure}).Draw(t, "result")
			if probes[i] && rapid.Bool().Draw(t, "ends") {
				probes[i] = false
				if s.ObserveProbe(now, result) != (result == Success) || s.Ejected() == (result == Success) {
					t.Fatalf("probe with result %d left ejected %v", result, s.Ejected())
				}
				continue
			}
			admitted, probe := s.Admit(now, true)
			if admitted != (!before || probe) || probe && (probes[i] || now < s.probeAt) {
				t.Fatalf("admitted %v, probe %v, ejected %v, running %v", admitted, probe, before, probes[i])
			}
			if probe {
				probes[i] = true
				continue
			}
			s.Observe(now, result, count() < MaxEjected(len(servers)))
			if before && !s.Ejected() {
				t.Fatal("reinstated without a probe")
			}
			if n := count(); n > len(servers)/3 {
				t.Fatalf("%d of %d servers are ejected", n, len(servers))
			}
		}
	})
}
