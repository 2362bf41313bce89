package ledger

import (
	"flag"
	"sync"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"tamarackrun"
)

// The seed is fixed so that a failure repeats.
func init() { _ = flag.Set("rapid.seed", "1"); _ = flag.Set("rapid.checks", "2000") }

// modelled is the simple model of one ticket: the whole history is kept.
type modelled struct {
	entry   Request
	used    bool
	open    *Run
	ended   *Run
	outcome tamarackrun.Outcome
	try     uint32
	// mayHaveRun says that a run ended with another outcome than NotRun.
	mayHaveRun bool
}

// machine compares a Ledger with the model.
type machine struct {
	now     time.Duration
	ledger  *Ledger
	tickets []*modelled
	closed  bool
}

func newMachine() *machine {
	m := &machine{ledger: New()}
	m.ledger.MaxRecords, m.ledger.MaxAnswerBytes = 1000, 40
	for n := range 6 {
		m.tickets = append(m.tickets, &modelled{entry: Request{Sequence: uint64(n), Organisation: "tea",
			Expiry: time.Duration(n+1) * 10 * time.Minute, Try: 1}})
	}
	return m
}

// expect returns what the model says of a request.
func (m *machine) expect(v *modelled, e Request) (outcome tamarackrun.Outcome, fresh, waits bool) {
	switch {
	case m.now >= e.Expiry+KeepAfterExpiry:
		return tamarackrun.Uncertain(tamarackrun.RecordDropped), false, false
	case v.used && v.entry.Hash != e.Hash && (m.now < e.Expiry || v.open != nil || v.mayHaveRun):
		return tamarackrun.Refused(tamarackrun.TicketReused), false, false
	case v.open != nil:
		return tamarackrun.Outcome{}, false, true
	case v.mayHaveRun:
		return v.outcome, false, false
	case v.used && e.Try <= v.try && m.now < e.Expiry:
		return v.outcome, false, false
	case m.now >= e.Expiry:
		// A record NotRun may be dropped at any time after the expiry.
		return tamarackrun.Outcome{Kind: tamarackrun.NotRun}, false, false
	case m.closed:
		return tamarackrun.Refused(tamarackrun.TicketSealed), false, false
	}
	return tamarackrun.Outcome{}, true, false
}

func (m *machine) Begin(t *rapid.T) {
	v := rapid.SampledFrom(m.tickets).Draw(t, "ticket")
	e := v.entry
	e.Hash[0], e.Try = byte(rapid.IntRange(0, 1).Draw(t, "hash")), uint32(rapid.IntRange(1, 3).Draw(t, "try"))
	outcome, fresh, waits := m.expect(v, e)
	run, gotFresh := m.ledger.Begin(m.now, e)
	if gotFresh != fresh {
		t.Fatalf("fresh is %v, want %v (%+v)", gotFresh, fresh, v)
	}
	if fresh {
		v.entry.Hash, v.used, v.open, v.try = e.Hash, true, run, max(v.try, e.Try)
		return
	}
	if waits {
		select {
		case <-run.Done():
			t.Fatal("a run has an outcome before its end")
		default:
		}
		if run != v.open {
			t.Fatal("the request waits for another run")
		}
		v.try = max(v.try, e.Try)
		return
	}
	select {
	case <-run.Done():
	default:
		t.Fatal("the run has no outcome")
	}
	got, _ := run.Outcome()
	if outcome.Reason == "" {
		got.Reason = ""
	}
	if got != outcome {
		t.Fatalf("outcome %s, want %s (%+v at %s)", got, outcome, v, m.now)
	}
	if v.used && v.entry.Hash == e.Hash && m.now < e.Expiry+KeepAfterExpiry {
		v.try = max(v.try, e.Try)
	}
}

func (m *machine) Finish(t *rapid.T) {
	v := rapid.SampledFrom(m.tickets).Draw(t, "ticket")
	if v.open == nil {
		t.Skip("not running")
	}
	outcome := rapid.SampledFrom([]tamarackrun.Outcome{tamarackrun.Done, tamarackrun.Refused(tamarackrun.ServerShed),
		tamarackrun.Uncertain(tamarackrun.AnswerLost)}).Draw(t, "outcome")
	m.ledger.Finish(v.entry.Sequence, v.open, outcome, &Answer{Status: 200, Body: make([]byte, rapid.IntRange(0, 50).Draw(t, "size"))})
	v.open, v.ended, v.outcome = nil, v.open, outcome
	v.mayHaveRun = v.mayHaveRun || outcome.Kind != tamarackrun.NotRun
}

// FinishLate reports a second outcome of a run, which must change nothing.
func (m *machine) FinishLate(t *rapid.T) {
	v := rapid.SampledFrom(m.tickets).Draw(t, "ticket")
	if v.ended != nil {
		m.ledger.Finish(v.entry.Sequence, v.ended, tamarackrun.Refused(tamarackrun.ServerShed), nil)
	}
}

func (m *machine) Amend(t *rapid.T) {
	v := rapid.SampledFrom(m.tickets).Draw(t, "ticket")
	if v.open != nil || v.outcome.Kind != tamarackrun.Unknown || m.now >= v.entry.Expiry {
		t.Skip("not unknown")
	}
	outcome := rapid.SampledFrom([]tamarackrun.Outcome{tamarackrun.Done, tamarackrun.Refused(tamarackrun.AttemptCancelled)}).Draw(t, "outcome")
	m.ledger.Amend(v.entry.Sequence, outcome, &Answer{Status: 200, StatusOnly: true})
	v.outcome, v.mayHaveRun = outcome, outcome.Kind != tamarackrun.NotRun
}

func (m *machine) Advance(t *rapid.T) {
	m.now += time.Duration(rapid.IntRange(1, 15).Draw(t, "minutes")) * time.Minute
}

func (m *machine) Seal(t *rapid.T) {
	if rapid.IntRange(0, 9).Draw(t, "seal") > 0 {
		t.Skip("rare")
	}
	lines, floor := m.ledger.Seal()
	m.closed = true
	sealed := map[uint64]tamarackrun.Outcome{}
	for _, l := range lines {
		sealed[l.Sequence] = l.Outcome
	}
	for _, v := range m.tickets {
		got, listed := sealed[v.entry.Sequence]
		want := v.outcome
		if v.open != nil {
			want = tamarackrun.Uncertain(tamarackrun.StillRunning)
		}
		if (v.open != nil || v.mayHaveRun) && v.entry.Sequence >= floor && (!listed || got != want) {
			t.Fatalf("ticket %d is sealed as %v %s, want %s", v.entry.Sequence, listed, got, want)
		}
		if v.open == nil && !v.mayHaveRun && listed {
			t.Fatalf("ticket %d did not run but is sealed as %s", v.entry.Sequence, got)
		}
	}
}

// Check keeps the bounds.
func (m *machine) Check(t *rapid.T) {
	bytes := 0
	for _, r := range m.ledger.records {
		if a := r.run.answer; a != nil {
			bytes += a.size()
		}
	}
	if bytes != m.ledger.storedBytes || bytes > m.ledger.MaxAnswerBytes {
		t.Fatalf("%d bytes of answers are kept, %d counted, %d allowed", bytes, m.ledger.storedBytes, m.ledger.MaxAnswerBytes)
	}
}

// The ledger must start a ticket's request only if no earlier run of it may
// have run, and must tell every later request what became of it.
func TestLedgerFollowsTheModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newMachine()
		t.Repeat(map[string]func(*rapid.T){"Begin": m.Begin, "Finish": m.Finish, "FinishLate": m.FinishLate, "Amend": m.Amend,
			"Advance": m.Advance, "Seal": m.Seal, "": m.Check})
	})
}

// One organisation must not fill the ledger for the others, and a full ledger
// must refuse instead of forgetting an order that ran.
func TestLedgerBound(t *testing.T) {
	l := New()
	l.MaxRecords = 8
	begin := func(sequence uint64, organisation string) bool {
		run, fresh := l.Begin(0, Request{Sequence: sequence, Organisation: organisation, Expiry: time.Minute, Try: 1})
		if fresh {
			l.Finish(sequence, run, tamarackrun.Done, &Answer{StatusOnly: true})
		} else if o, _ := run.Outcome(); o != tamarackrun.Refused(tamarackrun.LedgerFull) {
			t.Errorf("outcome %s", o)
		}
		return fresh
	}
	var got []bool
	for n, organisation := range []string{"a", "a", "a", "b", "b", "c", "c", "d", "d", "e"} {
		got = append(got, begin(uint64(n), organisation))
	}
	want := []bool{true, true, false, true, true, true, true, true, true, false}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Error(diff)
	}
}

// An attempt must not both begin and be reported as NotRun, whichever of
// Dispatch and Resolve comes first.
func TestAttemptsBeginOrAreBarred(t *testing.T) {
	a := NewAttempts()
	for n := range 2000 {
		id := string(rune('a'+n%26)) + time.Duration(n).String()
		var group sync.WaitGroup
		var begun, resolved tamarackrun.Outcome
		group.Go(func() { begun = a.Begin(id, 0) })
		group.Go(func() { resolved, _, _ = a.Resolve(id) })
		group.Wait()
		if began := begun == tamarackrun.Done; began == (resolved.Kind == tamarackrun.NotRun) {
			t.Fatalf("begin %s, resolve %s", begun, resolved)
		}
	}
}

// A home must not report NotRun for an attempt that it ran, for as long as
// issuers believe it.
func TestAttemptsAreRemembered(t *testing.T) {
	a := NewAttempts()
	if o := a.Begin("x", 0); o != tamarackrun.Done {
		t.Fatal(o)
	}
	if o, _, running := a.Resolve("x"); o.Kind != tamarackrun.Unknown || running == nil {
		t.Errorf("running attempt: %s", o)
	}
	a.End("x", time.Second, tamarackrun.Done, 201)
	_ = a.Begin("y", ResolveLimit+time.Minute)
	o, status, _ := a.Resolve("x")
	if diff := cmp.Diff([]any{tamarackrun.Done, 201}, []any{o, status}); diff != "" {
		t.Error(diff)
	}
	_ = a.Begin("z", time.Second+AttemptRetention+sweepInterval)
	if a.begun["x"] != nil {
		t.Error("an old attempt is still kept")
	}
}
