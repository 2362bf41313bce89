package registry

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"tamarackrun"
	"tamarackrun/internal/standin/recorder"
	"tamarackrun/internal/state/sla"
)

func newTestRegistry() *Registry {
	r := New()
	r.Recorder, r.Regions = recorder.Discard{}, map[string]string{"a1": "a", "b1": "b"}
	r.ColdTime = func(string) time.Duration { return 3 * time.Second }
	r.StoreStable = func(time.Time) bool { return true }
	return r
}

func server(name, domain string, revision int64) tamarackrun.Record {
	return tamarackrun.Record{Name: name, Position: tamarackrun.Position{Revision: revision}, Server: &tamarackrun.ServerRecord{
		Address: "127.0.0.1:1", Service: "s", FailureDomain: domain, Slots: 3}}
}

func draining(r tamarackrun.Record) tamarackrun.Record {
	changed := *r.Server
	changed.Draining = true
	r.Server = &changed
	return r
}

func usableNames(r *Registry) []string {
	list := []string{}
	for _, s := range r.ServersOf("s") {
		list = append(list, s.Name)
	}
	return list
}

// step is one step of runSteps: the pages that are not nil are applied at a time since
// the start, and then the servers with the names in want must be usable.
type step struct {
	at          time.Duration
	servers     *tamarackrun.Page
	reconnected bool
	evacuations *tamarackrun.Page
	want        []string
}

// runSteps runs the steps in order on one registry.
func runSteps(t *testing.T, steps []step) {
	t.Helper()
	r, start := newTestRegistry(), time.Now()
	for i, s := range steps {
		now := start.Add(s.at)
		if s.servers != nil {
			r.ApplyServers(now, *s.servers, s.reconnected)
		}
		if s.evacuations != nil {
			r.ApplyEvacuations(now, *s.evacuations)
		}
		r.Sweep(now)
		if diff := cmp.Diff(s.want, usableNames(r)); diff != "" {
			t.Errorf("step %d: servers (-want +got):\n%s", i, diff)
		}
	}
}

func fullPage(records ...tamarackrun.Record) *tamarackrun.Page {
	return &tamarackrun.Page{Records: records, Full: true}
}

func changesPage(records ...tamarackrun.Record) *tamarackrun.Page {
	return &tamarackrun.Page{Records: records}
}

// Guards against requests to servers that are draining, evacuated, removed or whose
// record cannot be used, against an older revision that replaces a newer one, and against
// servers that are dropped because their records lapsed during an outage of the store.
func TestUsableServers(t *testing.T) {
	one, two := server("one", "a1", 1), server("two", "b1", 2)
	removed := tamarackrun.Record{Name: "two", Position: tamarackrun.Position{Revision: 5}, Removed: true}
	later := 10 * time.Second
	tests := map[string][]step{
		"a draining server gets nothing": {
			{servers: fullPage(one, two), want: []string{"one", "two"}},
			{servers: changesPage(draining(server("two", "b1", 3))), want: []string{"one"}},
		},
		"a removed record drops the server at once without an outage": {
			{servers: fullPage(one, two), reconnected: true, want: []string{"one", "two"}},
			{at: later, servers: changesPage(removed), want: []string{"one"}},
		},
		"a record that lapsed during an outage may come back": {
			{servers: fullPage(one, two), want: []string{"one", "two"}},
			{at: later, servers: changesPage(removed), reconnected: true, want: []string{"one", "two"}},
			{at: later + time.Second, servers: changesPage(server("two", "b1", 7)), want: []string{"one", "two"}},
			{at: later + 5*time.Second, want: []string{"one", "two"}},
		},
		"a server whose record stays away after an outage is dropped": {
			{servers: fullPage(one, two), want: []string{"one", "two"}},
			{at: later, servers: changesPage(removed), reconnected: true, want: []string{"one", "two"}},
			{at: later + 2200*time.Millisecond, want: []string{"one"}},
		},
		"a full list without a record drops the server": {
			{servers: fullPage(one, two), want: []string{"one", "two"}},
			{at: later, servers: fullPage(one), want: []string{"one"}},
		},
		"an older revision is ignored": {
			{servers: fullPage(one, draining(server("two", "b1", 4))), want: []string{"one"}},
			{servers: changesPage(two), want: []string{"one"}},
		},
		"an unusable record drops only its server": {
			{servers: fullPage(one, two), want: []string{"one", "two"}},
			{servers: changesPage(tamarackrun.Record{Name: "two", Position: tamarackrun.Position{Revision: 9}, Problem: "no address"}), want: []string{"one"}},
		},
		"an evacuated failure domain gets nothing until the evacuation ends": {
			{servers: fullPage(one, two), want: []string{"one", "two"}},
			{evacuations: fullPage(tamarackrun.Record{Name: "a1"}), want: []string{"two"}},
			{evacuations: changesPage(tamarackrun.Record{Name: "a1", Removed: true}), want: []string{"one", "two"}},
		},
	}
	for name, steps := range tests {
		t.Run(name, func(t *testing.T) { runSteps(t, steps) })
	}
}

// Guards against full load on the servers of a failure domain right after its
// evacuation, when they may be cold.
func TestDomainIsColdAfterEvacuation(t *testing.T) {
	r, now := newTestRegistry(), time.Now()
	r.ApplyServers(now, *fullPage(server("one", "a1", 1)), false)
	r.ApplyEvacuations(now, *fullPage(tamarackrun.Record{Name: "a1"}))
	r.ApplyEvacuations(now, *fullPage())
	// A renewed record must not reset the cold time.
	r.ApplyServers(now, *changesPage(server("one", "a1", 2)), false)
	got := []bool{}
	for _, after := range []time.Duration{0, 2900 * time.Millisecond, 3100 * time.Millisecond} {
		got = append(got, r.ServersOf("s")[0].Cold(now.Add(after)))
	}
	if diff := cmp.Diff([]bool{true, true, false}, got); diff != "" {
		t.Errorf("cold after 0, 2.9 and 3.1 s (-want +got):\n%s", diff)
	}
}

// Guards against servers that are dropped because their records lapsed during an
// outage of the store that this instance did not see but other instances reported.
func TestMissingRecordsAreKeptDuringOutage(t *testing.T) {
	r, now, stable := newTestRegistry(), time.Now(), false
	r.StoreStable = func(time.Time) bool { return stable }
	r.ApplyServers(now, *fullPage(server("one", "a1", 1), server("two", "b1", 2)), false)
	r.ApplyServers(now, *changesPage(tamarackrun.Record{Name: "two", Position: tamarackrun.Position{Revision: 3}, Removed: true}), false)
	r.Sweep(now.Add(time.Minute))
	if diff := cmp.Diff([]string{"one", "two"}, usableNames(r)); diff != "" {
		t.Errorf("during the outage (-want +got):\n%s", diff)
	}
	stable = true
	r.Sweep(now.Add(time.Minute))
	if diff := cmp.Diff([]string{"one"}, usableNames(r)); diff != "" {
		t.Errorf("after the outage (-want +got):\n%s", diff)
	}
}

// written returns the record as the server's process that started at startMillis has written it
// with the sequence number, at a position of the store.
func written(r tamarackrun.Record, startMillis, sequence, era, revision int64) tamarackrun.Record {
	changed := *r.Server
	changed.StartMillis, changed.Sequence = startMillis, sequence
	r.Server, r.Position = &changed, tamarackrun.Position{Era: era, Revision: revision}
	return r
}

func inEra(era, revision int64, page *tamarackrun.Page) *tamarackrun.Page {
	page.Position = tamarackrun.Position{Era: era, Revision: revision}
	return page
}

// Guards against servers that left, and evacuated failure domains, that are used again because the
// store has come back from a copy from before.
func TestCopyBringsNothingBack(t *testing.T) {
	one := written(server("one", "a1", 0), 7, 1, 0, 10)
	two := func(sequence, era, revision int64) tamarackrun.Record {
		return written(server("two", "b1", 0), 8, sequence, era, revision)
	}
	evacuated := tamarackrun.Record{Name: "b1"}
	tests := map[string][]step{
		"a draining server": {
			{servers: inEra(0, 20, fullPage(one, draining(two(5, 0, 20)))), want: []string{"one"}},
			{servers: inEra(1, 15, fullPage(one, two(3, 1, 12))), reconnected: true, want: []string{"one"}},
			{at: time.Second, servers: inEra(1, 16, fullPage(one, two(3, 1, 12))), want: []string{"one"}},
		},
		"a server that is gone": {
			{servers: inEra(0, 20, fullPage(one, two(3, 0, 12))), want: []string{"one", "two"}},
			{servers: inEra(0, 21, changesPage(tamarackrun.Record{Name: "two", Position: tamarackrun.Position{Revision: 21}, Removed: true})), want: []string{"one"}},
			{servers: inEra(1, 15, fullPage(one, two(3, 1, 12))), reconnected: true, want: []string{"one"}},
		},
		"an earlier process of a draining server": {
			{servers: inEra(0, 20, fullPage(one, draining(two(5, 0, 20)))), want: []string{"one"}},
			{servers: inEra(1, 15, fullPage(one, written(server("two", "b1", 0), 6, 9, 1, 12))), reconnected: true, want: []string{"one"}},
			{at: time.Second, servers: inEra(1, 17, changesPage(two(6, 1, 17))), want: []string{"one", "two"}},
		},
		"an earlier process of a server that is gone": {
			{servers: inEra(0, 20, fullPage(one, two(5, 0, 20))), want: []string{"one", "two"}},
			{servers: inEra(0, 21, fullPage(one)), want: []string{"one"}},
			{servers: inEra(1, 15, fullPage(one, written(server("two", "b1", 0), 6, 9, 1, 12))), reconnected: true, want: []string{"one"}},
		},
		"a process that starts by an earlier clock after the copy": {
			{servers: inEra(0, 20, fullPage(one, two(5, 0, 20))), want: []string{"one", "two"}},
			{servers: inEra(1, 15, fullPage(one, two(4, 1, 12))), reconnected: true, want: []string{"one", "two"}},
			{at: time.Second, servers: inEra(1, 17, changesPage(draining(written(server("two", "b1", 0), 6, 1, 1, 17)))), want: []string{"one"}},
		},
		"a server that still writes": {
			{servers: inEra(0, 20, fullPage(one, two(5, 0, 20))), want: []string{"one", "two"}},
			{servers: inEra(1, 15, fullPage(one)), reconnected: true, want: []string{"one", "two"}},
			{at: time.Second, servers: inEra(1, 16, changesPage(two(6, 1, 16))), want: []string{"one", "two"}},
			{at: time.Minute, servers: inEra(1, 16, fullPage(one, two(6, 1, 16))), want: []string{"one", "two"}},
		},
		"a new process of a server that is gone": {
			{servers: inEra(0, 20, fullPage(one, two(5, 0, 20))), want: []string{"one", "two"}},
			{servers: inEra(0, 21, fullPage(one)), want: []string{"one"}},
			{servers: inEra(1, 15, fullPage(one, written(server("two", "b1", 0), 9, 1, 1, 15))), reconnected: true, want: []string{"one", "two"}},
		},
		"an evacuated failure domain": {
			{servers: inEra(0, 20, fullPage(one, two(5, 0, 20))), evacuations: inEra(0, 21, fullPage(evacuated)), want: []string{"one"}},
			{evacuations: inEra(1, 15, fullPage()), want: []string{"one"}},
			{at: time.Second, evacuations: inEra(1, 16, fullPage(evacuated)), want: []string{"one"}},
			{at: time.Minute, evacuations: inEra(1, 17, fullPage(evacuated)), want: []string{"one"}},
			{at: time.Minute, evacuations: inEra(0, 30, fullPage()), want: []string{"one"}},
		},
		"a failure domain whose evacuation ends after the copy": {
			{servers: inEra(0, 20, fullPage(one, two(5, 0, 20))), evacuations: inEra(0, 21, fullPage(evacuated)), want: []string{"one"}},
			{evacuations: inEra(1, 15, fullPage(evacuated)), want: []string{"one"}},
			{at: time.Second, evacuations: inEra(1, 17, changesPage(tamarackrun.Record{Name: "b1", Removed: true})), want: []string{"one", "two"}},
		},
		"a failure domain whose evacuation nobody writes again": {
			{servers: inEra(0, 20, fullPage(one, two(5, 0, 20))), evacuations: inEra(0, 21, fullPage(evacuated)), want: []string{"one"}},
			{evacuations: inEra(1, 15, fullPage()), want: []string{"one"}},
			{at: sla.LapsedRecordGrace, want: []string{"one", "two"}},
		},
	}
	for name, steps := range tests {
		t.Run(name, func(t *testing.T) { runSteps(t, steps) })
	}
}

// Guards against servers that stay cold because a list with their unchanged records is read again.
func TestUnchangedRecordIsNoColdStart(t *testing.T) {
	r, now := newTestRegistry(), time.Now()
	cold := server("one", "a1", 1)
	cold.Server.ColdFor = 3 * time.Second
	r.ApplyServers(now, *fullPage(cold), false)
	r.ApplyServers(now.Add(2*time.Second), *fullPage(cold), true)
	if r.ServersOf("s")[0].Cold(now.Add(3 * time.Second)) {
		t.Error("the server is cold for longer than its record says")
	}
	changed := cold
	changed.Position.Revision++
	r.ApplyServers(now.Add(2*time.Second), *fullPage(changed), false)
	if !r.ServersOf("s")[0].Cold(now.Add(3 * time.Second)) {
		t.Error("a newer record does not make the server cold")
	}
}

// Guards against servers that count as running although they have ended under a request, because they are
// back, or another server has their address, before a connection is refused (BUDGET); and against servers
// that leave as planned and count as ended under a request.
func TestReplacedServers(t *testing.T) {
	now := time.Now()
	started := func(r tamarackrun.Record, millis int64) tamarackrun.Record {
		r.Server.StartMillis = millis
		return r
	}
	at := func(r tamarackrun.Record, address string) tamarackrun.Record {
		r.Server.Address = address
		return r
	}
	removed := func(name string) tamarackrun.Record {
		return tamarackrun.Record{Name: name, Removed: true, Position: tamarackrun.Position{Revision: 3}}
	}
	for _, c := range []struct {
		name  string
		later []tamarackrun.Record
		want  bool
	}{
		{"unchanged", []tamarackrun.Record{started(server("x", "a1", 2), 10)}, false},
		{"another server", []tamarackrun.Record{at(server("y", "a1", 2), "127.0.0.1:2")}, false},
		{"started again", []tamarackrun.Record{started(server("x", "a1", 2), 20)}, true},
		{"address of another server", []tamarackrun.Record{started(server("y", "a1", 2), 20)}, true},
		{"record lapsed", []tamarackrun.Record{removed("x")}, true},
		{"left", []tamarackrun.Record{draining(started(server("x", "a1", 2), 10)), removed("x")}, false},
	} {
		r := newTestRegistry()
		r.ApplyServers(now, tamarackrun.Page{Full: true, Records: []tamarackrun.Record{started(server("x", "a1", 1), 10)}}, false)
		before := r.ServersOf("s")[0]
		for i, record := range c.later {
			r.ApplyServers(now.Add(time.Duration(i+1)*time.Second), tamarackrun.Page{Records: []tamarackrun.Record{record}}, false)
		}
		if got := r.Replaced(before); got != c.want {
			t.Errorf("%s: replaced %t, want %t", c.name, got, c.want)
		}
	}
}
