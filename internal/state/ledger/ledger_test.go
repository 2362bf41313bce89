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

// init fixes the seed of the property tests, so that a failure is reproducible.
func init() { _ = flag.Set("rapid.seed", "1"); _ = flag.Set("rapid.checks", "2000") }

// ticketModel is the model of one ticket. It is never dropped.
type ticketModel struct {
	request Request
	// recorded is true after a first run was started.
	recorded bool
	// running is the run without an outcome, ended the latest one with an outcome.
	running *Run
	ended   *Run
	outcome tamarackrun.Outcome
	// try is the highest Try of all requests.
	try uint32
	// mayHaveRun is true if the latest outcome is not NotRun.
	mayHaveRun bool
}

// ledgerModel compares a Ledger with a model that keeps the whole history.
type ledgerModel struct {
	now     time.Duration
	ledger  *Ledger
	tickets []*ticketModel
	closed  bool
}

func newLedgerModel() *ledgerModel {
	m := &ledgerModel{ledger: New()}
	m.ledger.MaxRecords, m.ledger.MaxAnswerBytes = 1000, 40
	for n := range 6 {
		m.tickets = append(m.tickets, &ticketModel{request: Request{Sequence: uint64(n), Organisation: "tea",
			Expiry: time.Duration(n+1) * 10 * time.Minute, Try: 1}})
	}
	return m
}

// expect returns the result that Begin must have for a request: the outcome,
// whether a run is started, and whether the request waits for a running one.
func (m *ledgerModel) expect(ticket *ticketModel, request Request) (outcome tamarackrun.Outcome, started, waits bool) {
	switch {
	case m.now >= request.Expiry+KeepAfterExpiry:
		return tamarackrun.Uncertain(tamarackrun.RecordDropped), false, false
	case ticket.recorded && ticket.request.Hash != request.Hash && (m.now < request.Expiry || ticket.running != nil || ticket.mayHaveRun):
		return tamarackrun.Refused(tamarackrun.TicketReused), false, false
	case ticket.running != nil:
		return tamarackrun.Outcome{}, false, true
	case ticket.mayHaveRun:
		return ticket.outcome, false, false
	case ticket.recorded && request.Try <= ticket.try && m.now < request.Expiry:
		return ticket.outcome, false, false
	case m.now >= request.Expiry:
		// A record with the outcome NotRun may be dropped at any time after the
		// expiry, so the reason is not determined.
		return tamarackrun.Outcome{Kind: tamarackrun.NotRun}, false, false
	case m.closed:
		return tamarackrun.Refused(tamarackrun.TicketSealed), false, false
	}
	return tamarackrun.Outcome{}, true, false
}

// Begin passes a request to the ledger and compares the result with the model.
func (m *ledgerModel) Begin(t *rapid.T) {
	ticket := rapid.SampledFrom(m.tickets).Draw(t, "ticket")
	request := ticket.request
	request.Hash[0], request.Try = byte(rapid.IntRange(0, 1).Draw(t, "hash")), uint32(rapid.IntRange(1, 3).Draw(t, "try"))
	outcome, started, waits := m.expect(ticket, request)
	run, gotStarted := m.ledger.Begin(m.now, request)
	if gotStarted != started {
		t.Fatalf("started is %v, want %v (%+v)", gotStarted, started, ticket)
	}
	if started {
		ticket.request.Hash, ticket.recorded, ticket.running, ticket.try = request.Hash, true, run, max(ticket.try, request.Try)
		return
	}
	if waits {
		select {
		case <-run.Done():
			t.Fatal("a run has an outcome before its end")
		default:
		}
		if run != ticket.running {
			t.Fatal("the request waits for another run")
		}
		ticket.try = max(ticket.try, request.Try)
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
		t.Fatalf("outcome %s, want %s (%+v at %s)", got, outcome, ticket, m.now)
	}
	if ticket.recorded && ticket.request.Hash == request.Hash && m.now < request.Expiry+KeepAfterExpiry {
		ticket.try = max(ticket.try, request.Try)
	}
}

// Finish ends a running request with a random outcome.
func (m *ledgerModel) Finish(t *rapid.T) {
	ticket := rapid.SampledFrom(m.tickets).Draw(t, "ticket")
	if ticket.running == nil {
		t.Skip("not running")
	}
	outcome := rapid.SampledFrom([]tamarackrun.Outcome{tamarackrun.Done, tamarackrun.Refused(tamarackrun.ServerShed),
		tamarackrun.Uncertain(tamarackrun.AnswerLost)}).Draw(t, "outcome")
	m.ledger.Finish(ticket.request.Sequence, ticket.running, outcome, &Answer{Status: 200, Body: make([]byte, rapid.IntRange(0, 50).Draw(t, "size"))})
	ticket.running, ticket.ended, ticket.outcome = nil, ticket.running, outcome
	ticket.mayHaveRun = ticket.mayHaveRun || outcome.Kind != tamarackrun.NotRun
}

// FinishTwice reports a second outcome of a run, which must have no effect.
func (m *ledgerModel) FinishTwice(t *rapid.T) {
	ticket := rapid.SampledFrom(m.tickets).Draw(t, "ticket")
	if ticket.ended != nil {
		m.ledger.Finish(ticket.request.Sequence, ticket.ended, tamarackrun.Refused(tamarackrun.ServerShed), nil)
	}
}

// Amend replaces the outcome Unknown of a ticket.
func (m *ledgerModel) Amend(t *rapid.T) {
	ticket := rapid.SampledFrom(m.tickets).Draw(t, "ticket")
	if ticket.running != nil || ticket.outcome.Kind != tamarackrun.Unknown || m.now >= ticket.request.Expiry {
		t.Skip("not unknown")
	}
	outcome := rapid.SampledFrom([]tamarackrun.Outcome{tamarackrun.Done, tamarackrun.Refused(tamarackrun.AttemptCancelled)}).Draw(t, "outcome")
	if got, _ := m.ledger.Amend(ticket.request.Sequence, ticket.ended, outcome, &Answer{Status: 200, StatusOnly: true}); got != outcome {
		t.Fatalf("amended outcome %s, want %s", got, outcome)
	}
	ticket.outcome, ticket.mayHaveRun = outcome, outcome.Kind != tamarackrun.NotRun
}

// Advance moves the clock by 1 to 15 minutes.
func (m *ledgerModel) Advance(t *rapid.T) {
	m.now += time.Duration(rapid.IntRange(1, 15).Draw(t, "minutes")) * time.Minute
}

// Seal closes the ledger in one of ten calls and compares the sealed records with
// the model.
func (m *ledgerModel) Seal(t *rapid.T) {
	if rapid.IntRange(0, 9).Draw(t, "seal") > 0 {
		t.Skip("rare")
	}
	records, floor := m.ledger.Seal()
	m.closed = true
	sealed := map[uint64]tamarackrun.Outcome{}
	for _, l := range records {
		sealed[l.Sequence] = l.Outcome
	}
	for _, ticket := range m.tickets {
		got, listed := sealed[ticket.request.Sequence]
		want := ticket.outcome
		if ticket.running != nil {
			want = tamarackrun.Uncertain(tamarackrun.StillRunning)
		}
		if (ticket.running != nil || ticket.mayHaveRun) && ticket.request.Sequence >= floor && (!listed || got != want) {
			t.Fatalf("ticket %d is sealed as %v %s, want %s", ticket.request.Sequence, listed, got, want)
		}
		if ticket.running == nil && !ticket.mayHaveRun && listed {
			t.Fatalf("ticket %d did not run but is sealed as %s", ticket.request.Sequence, got)
		}
	}
}

// CheckStoredBytes checks the size of the kept answers against the ledger's own
// count and its limit.
func (m *ledgerModel) CheckStoredBytes(t *rapid.T) {
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

// Guards against a ticket whose request runs twice, and against a repeated request
// that gets another outcome than the first one.
func TestLedgerMatchesModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newLedgerModel()
		t.Repeat(map[string]func(*rapid.T){"Begin": m.Begin, "Finish": m.Finish, "FinishTwice": m.FinishTwice, "Amend": m.Amend,
			"Advance": m.Advance, "Seal": m.Seal, "": m.CheckStoredBytes})
	})
}

// Guards against an outcome of an earlier run that counts for a later one, which may have run, or which runs.
func TestAmendConcernsOnlyItsRun(t *testing.T) {
	l := New()
	request := Request{Sequence: 1, Expiry: time.Minute, Try: 1}
	lost, notRun := tamarackrun.Uncertain(tamarackrun.HomeLost), tamarackrun.Refused(tamarackrun.AttemptCancelled)
	first, _ := l.Begin(0, request)
	l.Finish(1, first, lost, nil)
	var got []tamarackrun.Outcome
	amendFirst := func() {
		outcome, _ := l.Amend(1, first, notRun, nil)
		got = append(got, outcome)
	}
	amendFirst()
	request.Try = 2
	second, _ := l.Begin(0, request)
	amendFirst()
	l.Finish(1, second, lost, nil)
	amendFirst()
	request.Try = 3
	_, started := l.Begin(0, request)
	want := []tamarackrun.Outcome{notRun, tamarackrun.Uncertain(tamarackrun.StillRunning), lost}
	if diff := cmp.Diff(want, got); diff != "" || started {
		t.Errorf("the order runs a third time: %v; outcomes (-want +got):\n%s", started, diff)
	}
}

// Guards against one organisation that fills the ledger for the others, and against
// a full ledger that drops the record of an order that ran instead of refusing.
func TestLedgerLimitsRecords(t *testing.T) {
	l := New()
	l.MaxRecords = 8
	begin := func(sequence uint64, organisation string) bool {
		run, started := l.Begin(0, Request{Sequence: sequence, Organisation: organisation, Expiry: time.Minute, Try: 1})
		if started {
			l.Finish(sequence, run, tamarackrun.Done, &Answer{StatusOnly: true})
		} else if o, _ := run.Outcome(); o != tamarackrun.Refused(tamarackrun.LedgerFull) {
			t.Errorf("outcome %s, want ledgerFull", o)
		}
		return started
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

// Guards against an attempt that starts and is also reported as NotRun when Begin
// and Resolve run concurrently.
func TestAttemptIsStartedOrCancelled(t *testing.T) {
	a := NewAttempts()
	for n := range 2000 {
		id := string(rune('a'+n%26)) + time.Duration(n).String()
		var group sync.WaitGroup
		var begun, resolved tamarackrun.Outcome
		group.Go(func() { begun = a.Begin(id, 0) })
		group.Go(func() { resolved, _, _ = a.Resolve(id) })
		group.Wait()
		if began := begun == tamarackrun.Done; began == (resolved.Kind == tamarackrun.NotRun) {
			t.Fatalf("Begin returned %s and Resolve %s, want either a start or notRun", begun, resolved)
		}
	}
}

// Guards against a home that reports NotRun for an attempt that it ran while issuers
// still accept that answer, and against attempts that are kept for ever.
func TestEndedAttemptIsKept(t *testing.T) {
	a := NewAttempts()
	if o := a.Begin("x", 0); o != tamarackrun.Done {
		t.Fatal(o)
	}
	if o, _, running := a.Resolve("x"); o.Kind != tamarackrun.Unknown || running == nil {
		t.Errorf("outcome of a running attempt is %s, want unknown", o)
	}
	a.End("x", time.Second, tamarackrun.Done, 201)
	_ = a.Begin("y", ResolveLimit+time.Minute)
	o, status, _ := a.Resolve("x")
	if diff := cmp.Diff([]any{tamarackrun.Done, 201}, []any{o, status}); diff != "" {
		t.Error(diff)
	}
	_ = a.Begin("z", time.Second+AttemptRetention+sweepInterval)
	if a.started["x"] != nil {
		t.Error("an old attempt is still kept")
	}
}
