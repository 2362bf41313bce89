package registry

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"tamarackrun"
	"tamarackrun/internal/standin/recorder"
)

func newTestRegistry() *Registry {
	r := New()
	r.Recorder, r.Regions = recorder.Discard{}, map[string]string{"a1": "a", "b1": "b"}
	r.ColdTime = func(string) time.Duration { return 3 * time.Second }
	r.StoreStable = func(time.Time) bool { return true }
	return r
}

func server(name, domain string, revision int64) tamarackrun.Record {
	return tamarackrun.Record{Name: name, Revision: revision, Server: &tamarackrun.ServerRecord{
		Address: "127.0.0.1:1", Service: "s", FailureDomain: domain, Slots: 3}}
}

func draining(r tamarackrun.Record) tamarackrun.Record {
	changed := *r.Server
	changed.Draining = true
	r.Server = &changed
	return r
}

func names(r *Registry) []string {
	list := []string{}
	for _, s := range r.ServersOf("s") {
		list = append(list, s.Name)
	}
	return list
}

// step applies one page or lets time pass, and gives the usable servers after it.
type step struct {
	at       time.Duration
	page     *tamarackrun.Page
	regained bool
	evacuate *tamarackrun.Page
	want     []string
}

func play(t *testing.T, steps []step) {
	t.Helper()
	r, start := newTestRegistry(), time.Now()
	for i, s := range steps {
		now := start.Add(s.at)
		if s.page != nil {
			r.ApplyServers(now, *s.page, s.regained)
		}
		if s.evacuate != nil {
			r.ApplyEvacuations(now, *s.evacuate)
		}
		r.Sweep(now)
		if diff := cmp.Diff(s.want, names(r)); diff != "" {
			t.Errorf("step %d: servers (-want +got):\n%s", i, diff)
		}
	}
}

func whole(records ...tamarackrun.Record) *tamarackrun.Page {
	return &tamarackrun.Page{Records: records, Full: true}
}

func changes(records ...tamarackrun.Record) *tamarackrun.Page {
	return &tamarackrun.Page{Records: records}
}

func TestServers(t *testing.T) {
	one, two := server("one", "a1", 1), server("two", "b1", 2)
	removed := tamarackrun.Record{Name: "two", Revision: 5, Removed: true}
	later := 10 * time.Second
	tests := map[string][]step{
		"a draining server gets nothing": {
			{page: whole(one, two), want: []string{"one", "two"}},
			{page: changes(draining(server("two", "b1", 3))), want: []string{"one"}},
		},
		"a removed entry is gone at once in calm times": {
			{page: whole(one, two), regained: true, want: []string{"one", "two"}},
			{at: later, page: changes(removed), want: []string{"one"}},
		},
		"an entry that lapsed during an outage may come back": {
			{page: whole(one, two), want: []string{"one", "two"}},
			{at: later, page: changes(removed), regained: true, want: []string{"one", "two"}},
			{at: later + time.Second, page: changes(server("two", "b1", 7)), want: []string{"one", "two"}},
			{at: later + 5*time.Second, want: []string{"one", "two"}},
		},
		"an entry that stays away after an outage is gone": {
			{page: whole(one, two), want: []string{"one", "two"}},
			{at: later, page: changes(removed), regained: true, want: []string{"one", "two"}},
			{at: later + 2200*time.Millisecond, want: []string{"one"}},
		},
		"a list without an entry removes it": {
			{page: whole(one, two), want: []string{"one", "two"}},
			{at: later, page: whole(one), want: []string{"one"}},
		},
		"an older revision changes nothing": {
			{page: whole(one, draining(server("two", "b1", 4))), want: []string{"one"}},
			{page: changes(two), want: []string{"one"}},
		},
		"an unusable record names no server and leaves the others": {
			{page: whole(one, two), want: []string{"one", "two"}},
			{page: changes(tamarackrun.Record{Name: "two", Revision: 9, Problem: "no address"}), want: []string{"one"}},
		},
		"an evacuated failure domain gets nothing until it is taken back": {
			{page: whole(one, two), want: []string{"one", "two"}},
			{evacuate: whole(tamarackrun.Record{Name: "a1"}), want: []string{"two"}},
			{evacuate: changes(tamarackrun.Record{Name: "a1", Removed: true}), want: []string{"one", "two"}},
		},
	}
	for name, steps := range tests {
		t.Run(name, func(t *testing.T) { play(t, steps) })
	}
}

// Guards against a rush of requests to the servers of a failure domain that was
// evacuated, which may be cold when it is taken back.
func TestReturnedDomainIsCold(t *testing.T) {
	r, now := newTestRegistry(), time.Now()
	r.ApplyServers(now, *whole(server("one", "a1", 1)), false)
	r.ApplyEvacuations(now, *whole(tamarackrun.Record{Name: "a1"}))
	r.ApplyEvacuations(now, *whole())
	// A heartbeat of the server must not end the caution.
	r.ApplyServers(now, *changes(server("one", "a1", 2)), false)
	got := []bool{}
	for _, after := range []time.Duration{0, 2900 * time.Millisecond, 3100 * time.Millisecond} {
		got = append(got, r.ServersOf("s")[0].Cold(now.Add(after)))
	}
	if diff := cmp.Diff([]bool{true, true, false}, got); diff != "" {
		t.Errorf("cold after 0, 2.9 and 3.1 s (-want +got):\n%s", diff)
	}
}

// Guards against servers that are given up because their records lapsed while
// the store was away, which other instances noticed.
func TestRecordsAreHeldWhileTheStoreIsAway(t *testing.T) {
	r, now, steady := newTestRegistry(), time.Now(), false
	r.StoreStable = func(time.Time) bool { return steady }
	r.ApplyServers(now, *whole(server("one", "a1", 1), server("two", "b1", 2)), false)
	r.ApplyServers(now, *changes(tamarackrun.Record{Name: "two", Revision: 3, Removed: true}), false)
	r.Sweep(now.Add(time.Minute))
	if diff := cmp.Diff([]string{"one", "two"}, names(r)); diff != "" {
		t.Errorf("while the store is away (-want +got):\n%s", diff)
	}
	steady = true
	r.Sweep(now.Add(time.Minute))
	if diff := cmp.Diff([]string{"one"}, names(r)); diff != "" {
		t.Errorf("after its return (-want +got):\n%s", diff)
	}
}
